// Package store defines the interfaces to the platform's key-value services and implements a client of the one with sessions.
package store
