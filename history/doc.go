// Package history stores the accepted versions of the operators' configuration document in the platform's key-value store.
package history
