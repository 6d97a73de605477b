// Package settings holds the settings of a process; it parses those of a node from an INI file and reports all errors at once.
package settings
