package gate

import (
	"strconv"
	"time"

	"github.com/cassialead/cassialead/hop"
)

const (
	baseBurst   = 1                 // calls that an idle target may get at once, whatever its limit
	burstPeriod = time.Second       // of the limit, whose calls an idle target may also get at once
	minRate     = hop.CallRate(0.5) // calls per second to a target that names less; its answers tell when the limit is raised
	// unansweredSlots are the slots in use until the target's first answer: a node that has restarted doesn't know the limit that
	// the target has named before.
	unansweredSlots = 4
)

// RateLimit is the limit on all calls to a target together, if the target names one.
type RateLimit struct {
	Named     bool
	PerSecond hop.CallRate
}

// String formats the limit for the log.
func (l RateLimit) String() string {
	if !l.Named {
		return "none"
	}
	return strconv.FormatFloat(float64(l.PerSecond), 'f', 1, 64) + "/s"
}

// limitLogRatio is the ratio between two rate limits from which the change is logged.
const limitLogRatio = 1.5

// differs reports whether a limit differs from an earlier one by more than limitLogRatio.
func (l RateLimit) differs(from RateLimit) bool {
	return l.Named != from.Named || l.PerSecond > from.PerSecond*limitLogRatio || l.PerSecond < from.PerSecond/limitLogRatio
}

// tokenBucket admits calls at the rate that a target accepts. It is not safe for concurrent use.
type tokenBucket struct {
	limit      RateLimit
	tokens     float64
	refilledAt time.Time
}

// setLimit changes the limit; a bucket that had none starts empty, since calls that count against the limit are in flight.
func (b *tokenBucket) setLimit(now time.Time, l RateLimit) {
	if !b.limit.Named {
		b.tokens, b.refilledAt = 0, now
	}
	b.refill(now)
	b.limit = l
	b.tokens = min(b.tokens, b.capacity())
}

// perSecond returns the rate at which tokens accrue.
func (b *tokenBucket) perSecond() float64 { return float64(max(b.limit.PerSecond, minRate)) }

func (b *tokenBucket) capacity() float64 { return baseBurst + b.perSecond()*burstPeriod.Seconds() }

// refill adds the tokens accrued since the last call; an earlier time than that of the last call adds none.
func (b *tokenBucket) refill(now time.Time) {
	if now.Before(b.refilledAt) {
		return
	}
	b.tokens = min(b.tokens+b.perSecond()*now.Sub(b.refilledAt).Seconds(), b.capacity())
	b.refilledAt = now
}

// available reports whether a call may be sent.
func (b *tokenBucket) available(now time.Time) bool { return b.wait(now, 1) <= 0 }

// take withdraws the token of a call that is sent.
func (b *tokenBucket) take(now time.Time) {
	b.refill(now)
	b.tokens--
}

// refund returns the token of a call that was not sent.
func (b *tokenBucket) refund() { b.tokens = min(b.tokens+1, b.capacity()) }

// wait returns the time until the nth call from now may be sent; it is negative if there are more than n tokens, and zero
// without a limit.
func (b *tokenBucket) wait(now time.Time, n int) time.Duration {
	if !b.limit.Named {
		return 0
	}
	b.refill(now)
	return time.Duration((float64(n) - b.tokens) / b.perSecond() * float64(time.Second))
}
