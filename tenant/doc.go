// Package tenant decides which client account a request belongs to, from the key that it carries, for deployments whose configuration
// names accounts; it is immutable, and its state is part of the configuration in force.
package tenant
