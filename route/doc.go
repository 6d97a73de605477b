// Package route selects a target for each call, using the configuration, the membership records of the fleet and this
// node's own load and latency statistics.
package route
