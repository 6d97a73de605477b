// Package dispatch routes a caller's request to a service, selects targets by their load and distance, and retries or hedges
// the call within a retry budget.
package dispatch
