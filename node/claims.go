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
	claimsPerSecond = 2 // by one node, so that a fleet in trouble does not use up the store
	claimBurst      = 4
)

// errClaimLimit says that this node has used up its share of the store.
var errClaimLimit = errors.New("too many claims in the store")

// claims keeps claims in the store, by compare-and-swap.
type claims struct {
	store   store.Port
	limiter *rate.Limiter
}

func newClaims(port store.Port) *claims {
	return &claims{store: port, limiter: rate.NewLimiter(claimsPerSecond, claimBurst)}
}

// Claim makes a claimer the holder of a name unless there is one, and returns the holder.
func (c *claims) Claim(ctx context.Context, name string, by ledger.Claimer) (ledger.Claimer, error) {
	if !c.limiter.Allow() {
		return "", errClaimLimit
	}
	key := store.Key(claimPrefix + name)
	err := c.store.Swap(ctx, key, []byte(by), 0)
	switch {
	case err == nil:
		return by, nil
	case errors.Is(err, store.ErrUnavailable):
		return "", err
	}
	// Reading back tells who came first and resolves a lost answer.
	e, err := c.store.Get(ctx, key)
	return ledger.Claimer(e.Value), err
}

// Release gives a name back that a claimer holds; only its claimer ever deletes a claim.
func (c *claims) Release(ctx context.Context, name string, by ledger.Claimer) error {
	key := store.Key(claimPrefix + name)
	e, err := c.store.Get(ctx, key)
	if err != nil || ledger.Claimer(e.Value) != by {
		return err
	}
	return c.store.Delete(ctx, key)
}
