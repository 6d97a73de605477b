package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Key is the key of a value in the store.
type Key string

// Index is the modification index of one entry; zero means that the key does not exist.
type Index uint64

// LeaseID identifies a lease (session) in the store.
type LeaseID string

// Entry is a key and its value, with its modification index and, while the key is locked, the lease that holds it.
type Entry struct {
	Key   Key
	Value []byte
	Index Index
	Lease LeaseID
}

// Errors of store calls.
var (
	// ErrConflict means that a compare-and-swap or an acquisition failed its condition; the store was not changed.
	ErrConflict = errors.New("store conflict: entry was changed or locked by another client")
	// ErrNotFound means that the key or lease does not exist.
	ErrNotFound = errors.New("store key or lease not found")
	// ErrUnavailable means that the store did not execute the call; it was not changed.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnknownOutcome means that a write may or may not have been executed.
	ErrUnknownOutcome = errors.New("store write has an unknown outcome")
)

// KV is the interface to a key-value service with sessions and blocking queries.
type KV interface {
	// Get returns the entry, ErrNotFound or ErrUnavailable.
	Get(ctx context.Context, key Key) (Entry, error)
	// List returns the entries whose keys start with prefix, or ErrUnavailable.
	List(ctx context.Context, prefix Key) ([]Entry, error)
	// Watch blocks until the entry's index differs from after or wait has elapsed, then returns the entry as Get does.
	Watch(ctx context.Context, key Key, after Index, wait time.Duration) (Entry, error)
	// CompareAndSwap writes the value if the entry's index equals expect, or returns ErrConflict; zero means that the key must not exist.
	CompareAndSwap(ctx context.Context, key Key, value []byte, expect Index) error
	// Delete removes the key; deleting a key that does not exist is not an error.
	Delete(ctx context.Context, key Key) error
	// Grant creates a lease that expires ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease, or returns ErrNotFound if it has expired.
	Renew(ctx context.Context, lease LeaseID) error
	// Acquire locks the key with the lease and writes the value, or returns ErrConflict if another lease holds the key.
	Acquire(ctx context.Context, key Key, value []byte, lease LeaseID) error
	// Revoke ends a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseID) error
}
