// Package control is the state machine of a node: it takes the time and an event and returns typed actions, without I/O.
package control
