package store

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Revision is the store-wide revision, incremented by every commit; zero precedes the first commit.
type Revision uint64

// Era counts the returns of the store from an older copy, each of which loses what was acknowledged since the copy was made and
// gives out revisions and lease numbers again; zero means unknown.
type Era uint64

// Position is a revision of one era; it means nothing in another one.
type Position struct {
	Era      Era
	Revision Revision
}

// LeaseNumber identifies a lease of a Transactional store; zero means no lease.
type LeaseNumber uint64

// Item is a key and its value, with the revision of its last change; a deleted item has no value.
type Item struct {
	Key      Key
	Value    []byte
	Revision Revision
	Lease    LeaseNumber
	Deleted  bool
}

// Condition requires that a key was last changed at a revision; zero requires that the key does not exist.
type Condition struct {
	Key      Key
	Revision Revision
}

// Write stores a value, attached to a lease unless that is zero.
type Write struct {
	Key   Key
	Value []byte
	Lease LeaseNumber
}

// Transaction applies its writes and deletions atomically if all conditions hold.
type Transaction struct {
	Conditions []Condition
	Writes     []Write
	Deletes    []Key
}

// ErrCompacted means that the requested revisions have been compacted; the caller has to read the range again.
var ErrCompacted = errors.New("store revisions have been compacted")

// ErrTooLong means that the changes since a position exceed what a client reads or receives in time; the caller has to read the
// range instead, whose pages are bounded.
var ErrTooLong = errors.New("store response is too long")

// ErrReturned means that the store has returned from an older copy since the position; the caller has to read the range again.
var ErrReturned = errors.New("store has returned from an older copy")

// Transactional is a key-value store with transactions, numbered leases and a store-wide revision to watch from.
type Transactional interface {
	// Range returns the items whose keys start with prefix and the position to watch from; a stale read may be seconds old.
	Range(ctx context.Context, prefix Key, stale bool) ([]Item, Position, error)
	// Changes blocks until keys with the prefix change after a position; it returns no items if wait elapses first,
	// ErrCompacted or ErrReturned.
	Changes(ctx context.Context, prefix Key, after Position, wait time.Duration) ([]Item, Position, error)
	// Read returns one item, or ErrNotFound.
	Read(ctx context.Context, key Key) (Item, error)
	// Commit executes a transaction and returns the new revision, or ErrConflict, ErrNotFound (the lease has ended),
	// ErrUnavailable or ErrUnknownOutcome.
	Commit(ctx context.Context, t Transaction) (Revision, error)
	// Grant creates a lease and returns its time to live as chosen by the store.
	Grant(ctx context.Context, ttl time.Duration) (LeaseNumber, time.Duration, error)
	// Renew renews a lease, or returns ErrNotFound if it has ended.
	Renew(ctx context.Context, lease LeaseNumber) error
	// Revoke revokes a lease and deletes the keys attached to it.
	Revoke(ctx context.Context, lease LeaseNumber) error
	// Era returns the highest era that the store has named in an answer; it is up to date when the call that received the
	// answer returns.
	Era() Era
}
