// Package config parses, validates, versions, diffs and merges the operators' configuration document, and compiles it and the
// platform's plan into forms that match requests to routes.
package config
