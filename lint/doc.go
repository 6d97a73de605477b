// Package lint finds entries of a valid plan that can't take effect or contradict each other, and the differences between two plans.
// It performs no I/O, and neither its findings nor its differences contain an API key.
package lint
