// Package dispatch finds the route of a caller's request, chooses its targets and decides on further attempts.
package dispatch
