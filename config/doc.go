// Package config parses, validates, versions and merges the operators' document.
package config
