// Package standin simulates the platform's store and targets for tests, demos and measurements. Faults can be switched at run
// time.
package standin
