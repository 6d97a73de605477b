package node

import (
	"context"

	"github.com/cockroachdb/errors"
	"golang.org/x/time/rate"

	"github.com/cassialead/cassialead/ledger"
	"github.com/cassialead/cassialead/store"
)

const (
	claimPrefix     = "cassialead/claim/"
	claimsPerSecond = 2 // per node, to keep a fleet with many failures from overloading the store
	claimBurst      = 4
)

// errClaimLimit means that this node has exceeded its rate limit for claims.
var errClaimLimit = errors.New("rate limit for claims in the store exceeded")

// claimStore stores claims on names in the key-value store, by compare-and-swap.
type claimStore struct {
	store   store.KV
	limiter *rate.Limiter
}

func newClaimStore(kv store.KV) *claimStore {
	return &claimStore{store: kv, limiter: rate.NewLimiter(claimsPerSecond, claimBurst)}
}

// Claim claims a name unless it has been claimed, and returns the claimer that holds it.
func (c *claimStore) Claim(ctx context.Context, name string, claimer ledger.ClaimerID) (ledger.ClaimerID, error) {
	if !c.limiter.Allow() {
		return "", errClaimLimit
	}
	key := store.Key(claimPrefix + name)
	err := c.store.CompareAndSwap(ctx, key, []byte(claimer), 0)
	switch {
	case err == nil:
		return claimer, nil
	case errors.Is(err, store.ErrUnavailable):
		return "", err
	}
	// The write was rejected, or its outcome is unknown: the entry contains the claimer that succeeded.
	e, err := c.store.Get(ctx, key)
	return ledger.ClaimerID(e.Value), err
}

// Release deletes a claim if the given claimer holds it; a claim is only ever deleted by its own claimer.
func (c *claimStore) Release(ctx context.Context, name string, claimer ledger.ClaimerID) error {
	key := store.Key(claimPrefix + name)
	e, err := c.store.Get(ctx, key)
	if err != nil || ledger.ClaimerID(e.Value) != claimer {
		return err
	}
	return c.store.Delete(ctx, key)
}
