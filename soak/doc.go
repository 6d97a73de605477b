// Package soak runs nodes as separate processes on one machine, injects faults from outside and checks the
// system's invariants against what callers and targets observe.
package soak
