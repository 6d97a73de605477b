// Package lifecycle follows the life of the target beside a node: known, open, leaving, gone; it does no I/O.
package lifecycle
