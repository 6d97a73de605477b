// Package settings reads a process's settings from an INI file and reports all faults together.
package settings
