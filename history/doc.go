// Package history keeps the accepted versions of the operators' document in the platform's store.
package history
