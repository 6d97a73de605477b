// Package route chooses the target of a call from the configuration, the fleet's records and own observations.
package route
