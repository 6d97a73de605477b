// Package soak runs nodes as separate processes on one machine, injects faults from outside them and checks, from what
// callers and targets see, that the promises to them are kept.
package soak
