package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Key names a value in the store.
type Key string

// Index is the store's revision of one entry; zero means the key is absent.
type Index uint64

// LeaseID names a lease held in the store.
type LeaseID string

// Entry is a value with its revision and, while held, its lease.
type Entry struct {
	Key   Key
	Value []byte
	Index Index
	Lease LeaseID
}

// The outcomes of a call that are not success.
var (
	// ErrRefused says that a compare-and-swap or an acquisition lost; nothing changed.
	ErrRefused = errors.New("store refused: the entry has changed")
	// ErrAbsent says that the key or lease does not exist.
	ErrAbsent = errors.New("store entry is absent")
	// ErrUnavailable says that the store did not take the call; nothing changed.
	ErrUnavailable = errors.New("store is unavailable")
	// ErrUnknownOutcome says that a write may or may not have taken effect.
	ErrUnknownOutcome = errors.New("store write has an unknown outcome")
)

// Port is what the system needs from the platform's key-value service.
type Port interface {
	// Get returns the entry, or ErrAbsent or ErrUnavailable.
	Get(ctx context.Context, key Key) (Entry, error)
	// List returns the entries under a prefix, or ErrUnavailable.
	List(ctx context.Context, prefix Key) ([]Entry, error)
	// Watch waits until the entry's index passes after, or until wait ends, and returns the entry as Get does.
	Watch(ctx context.Context, key Key, after Index, wait time.Duration) (Entry, error)
	// Swap writes the value if the entry still has index expect; zero expects an absent key.
	Swap(ctx context.Context, key Key, value []byte, expect Index) error
	// Delete removes the key; an absent key is no error.
	Delete(ctx context.Context, key Key) error
	// Grant creates a lease that lapses ttl after its last renewal.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// Renew extends a lease, or returns ErrAbsent once it has lapsed.
	Renew(ctx context.Context, lease LeaseID) error
	// Acquire writes the value under the lease, or returns ErrRefused while another lease holds the key.
	Acquire(ctx context.Context, key Key, value []byte, lease LeaseID) error
	// Revoke ends a lease and deletes the keys that it holds.
	Revoke(ctx context.Context, lease LeaseID) error
}
