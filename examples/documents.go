package examples

import _ "embed"

// Palmared is the document of Consorcio Techos de Palma del Caribe.
//
//go:embed palmared.ini
var Palmared []byte

// Yukimichi is the document of Yukimichi Caption Works.
//
//go:embed yukimichi.ini
var Yukimichi []byte
