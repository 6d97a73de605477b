// Package trial runs a whole fleet of nodes and stand-ins in one process, for the demo, tests and measurements.
package trial
