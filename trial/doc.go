// Package trial runs a fleet of nodes in one process with a simulated store and simulated targets, for the demo, tests and
// measurements.
package trial
