// Package store is the port to the platform's key-value service and its HTTP client.
package store
