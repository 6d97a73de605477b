// Package lifecycle tracks the state of the target on a node's VM: unknown, open, down or leaving; it does no I/O.
package lifecycle
