// Package control implements a node's state machine for the distribution tree: events in, typed actions out, no I/O.
package control
