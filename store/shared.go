package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Revision counts the changes of the whole store; zero is before the first one.
type Revision uint64

// LeaseNumber names a lease of a shared store; zero means none.
type LeaseNumber uint64

// Item is a value with the revision of its last change; a deleted item has no value.
type Item struct {
	Key      Key
	Value    []byte
	Revision Revision
	Lease    LeaseNumber
	Deleted  bool
}

// Condition demands that a key is at a revision; zero demands that it is absent.
type Condition struct {
	Key      Key
	Revision Revision
}

// Write is a value to be stored, under a lease unless that is zero.
type Write struct {
	Key   Key
	Value []byte
	Lease LeaseNumber
}

// Transaction takes effect whole, or not at all when a condition does not hold.
type Transaction struct {
	Expect []Condition
	Writes []Write
	Remove []Key
}

// ErrCompacted says that the changes asked for are no longer kept; the range has to be read anew.
var ErrCompacted = errors.New("store history has been compacted")

// Shared is the store as the nodes of a platform share it.
type Shared interface {
	// Range returns the items under a prefix and the revision to watch from; a stale read may be seconds old.
	Range(ctx context.Context, prefix Key, stale bool) ([]Item, Revision, error)
	// Changes waits for changes under a prefix after a revision; it returns none when wait ends first, or ErrCompacted.
	Changes(ctx context.Context, prefix Key, after Revision, wait time.Duration) ([]Item, Revision, error)
	// Read returns one item, or ErrAbsent.
	Read(ctx context.Context, key Key) (Item, error)
	// Commit returns the new revision, or ErrRefused, ErrAbsent (the lease has ended), ErrUnavailable, ErrUnknownOutcome.
	Commit(ctx context.Context, t Transaction) (Revision, error)
	// Lease creates a lease and returns the time to live that applies.
	Lease(ctx context.Context, ttl time.Duration) (LeaseNumber, time.Duration, error)
	// Keep renews a lease, or returns ErrAbsent once it has ended.
	Keep(ctx context.Context, lease LeaseNumber) error
	// End ends a lease and removes its keys.
	End(ctx context.Context, lease LeaseNumber) error
}
