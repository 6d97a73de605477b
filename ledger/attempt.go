package ledger

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/fleet"
)

// AttemptID identifies one attempt to run a call; it is never reused.
type AttemptID string

const (
	resultRetention = 2 * time.Minute // time for which results are kept for a fence or a lost connection
	tombstoneSlack  = 5 * time.Second // time for which a tombstone is kept after the start deadline
)

// The reasons for not running an attempt. Each of them but ErrDuplicate proves that it has not run here.
var (
	// ErrStartByExpired means that the start deadline has passed.
	ErrStartByExpired = errors.New("start deadline of the attempt has passed")
	// ErrIncarnationMismatch means that the attempt was issued for another incarnation of the node.
	ErrIncarnationMismatch = errors.New("attempt was issued for another incarnation of the node")
	// ErrFenced means that the attempt has been fenced and will never run.
	ErrFenced = errors.New("attempt has been fenced")
	// ErrDuplicate means that the attempt has been registered before; it does not run again.
	ErrDuplicate = errors.New("attempt is already registered")
)

// StartBy is the start deadline of an attempt, on the clock of the node on the target's VM.
type StartBy struct {
	Incarnation fleet.Incarnation
	// Uptime is the time since that incarnation of the node started.
	Uptime time.Duration
}

// String returns the form sent in headers.
func (s StartBy) String() string {
	return strconv.FormatUint(uint64(s.Incarnation), 10) + "." + strconv.FormatInt(s.Uptime.Milliseconds(), 10)
}

// ErrMalformedStartBy means that a start deadline can't be parsed.
var ErrMalformedStartBy = errors.New("malformed start deadline")

// ParseStartBy parses the form that String returns.
func ParseStartBy(s string) (StartBy, error) {
	a, b, _ := strings.Cut(s, ".")
	incarnation, err := strconv.ParseUint(a, 10, 64)
	if err != nil {
		return StartBy{}, errors.Wrapf(ErrMalformedStartBy, "%q", s)
	}
	ms, err := strconv.ParseInt(b, 10, 64)
	if err != nil {
		return StartBy{}, errors.Wrapf(ErrMalformedStartBy, "%q", s)
	}
	return StartBy{Incarnation: fleet.Incarnation(incarnation), Uptime: time.Duration(ms) * time.Millisecond}, nil
}

// State is the state of an attempt.
type State string

// The states of an attempt; NeverRun means that it has not run and never will.
const (
	Waiting  State = "waiting"
	Running  State = "running"
	Done     State = "done"
	NeverRun State = "never"
)

// Result is the response to an attempt that ran; Lost means that the response was not received or is not kept.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	Lost   bool
}

// Attempt is a node's entry for one attempt.
type Attempt struct {
	state   State
	startBy StartBy
	endedAt time.Duration // since the start of the node
	result  Result
	done    chan struct{}
}

// Done returns a channel that is closed when the attempt has ended or has been cancelled.
func (a *Attempt) Done() <-chan struct{} { return a.done }

// Ledger tracks the attempts at the targets of one node since its start. It is not safe for concurrent use.
type Ledger struct {
	incarnation fleet.Incarnation
	startedAt   time.Time
	attempts    map[AttemptID]*Attempt
	sweptAt     time.Duration // since the start of the node
}

// New returns an empty ledger for an incarnation of a node.
func New(i fleet.Incarnation, startedAt time.Time) *Ledger {
	return &Ledger{incarnation: i, startedAt: startedAt, attempts: map[AttemptID]*Attempt{}}
}

// Clock returns the reading of the node's clock, from which callers compute start deadlines.
func (l *Ledger) Clock(now time.Time) StartBy {
	return StartBy{Incarnation: l.incarnation, Uptime: now.Sub(l.startedAt)}
}

// Register registers an attempt that has arrived. Unless the error is ErrDuplicate, a rejected attempt has not run here
// and never will.
func (l *Ledger) Register(now time.Time, id AttemptID, startBy StartBy) (*Attempt, error) {
	l.sweep(now)
	if a, ok := l.attempts[id]; ok {
		if a.state == NeverRun {
			return nil, ErrFenced
		}
		return nil, ErrDuplicate
	}
	if startBy.Incarnation != l.incarnation {
		return nil, ErrIncarnationMismatch
	}
	if now.Sub(l.startedAt) > startBy.Uptime {
		return nil, ErrStartByExpired
	}
	a := &Attempt{state: Waiting, startBy: startBy, done: make(chan struct{})}
	l.attempts[id] = a
	return a, nil
}

// Start marks an attempt as running; after an error the attempt has not run and never will.
func (l *Ledger) Start(now time.Time, a *Attempt) error {
	if a.state != Waiting {
		return ErrFenced
	}
	if now.Sub(l.startedAt) > a.startBy.Uptime {
		l.Cancel(now, a)
		return ErrStartByExpired
	}
	a.state = Running
	return nil
}

// Cancel marks an attempt as never run, unless it has started.
func (l *Ledger) Cancel(now time.Time, a *Attempt) {
	if a.state == Waiting {
		a.state = NeverRun
		a.endedAt = now.Sub(l.startedAt)
		close(a.done)
	}
}

// CancelUnsent marks a running attempt as never run, since it could not be sent to its target.
func (l *Ledger) CancelUnsent(now time.Time, a *Attempt) {
	if a.state == Running {
		a.state = Waiting
		l.Cancel(now, a)
	}
}

// Finish stores the result of an attempt that ran.
func (l *Ledger) Finish(now time.Time, a *Attempt, r Result) {
	if a.state != Running {
		return
	}
	a.state, a.result = Done, r
	a.endedAt = now.Sub(l.startedAt)
	close(a.done)
}

// Fence keeps an attempt that has not started from ever starting, and returns its state. The state is empty if this
// node can't tell whether the attempt has run.
func (l *Ledger) Fence(now time.Time, id AttemptID, startBy StartBy) (State, *Attempt) {
	l.sweep(now)
	a, ok := l.attempts[id]
	if !ok {
		// The attempt may have run before the node's restart, or its result may have expired.
		if startBy.Incarnation != l.incarnation || now.Sub(l.startedAt) > startBy.Uptime+resultRetention {
			return "", nil
		}
		a = &Attempt{state: Waiting, startBy: startBy, done: make(chan struct{})}
		l.attempts[id] = a
	}
	l.Cancel(now, a)
	return a.state, a
}

// Result returns the state of an attempt, and its result if it is done.
func (l *Ledger) Result(a *Attempt) (State, Result) { return a.state, a.result }

const sweepInterval = time.Second

// sweep removes attempts whose results have expired, and tombstones tombstoneSlack after their start deadline.
func (l *Ledger) sweep(now time.Time) {
	t := now.Sub(l.startedAt)
	if t-l.sweptAt < sweepInterval {
		return
	}
	l.sweptAt = t
	for id, a := range l.attempts {
		switch {
		case a.state == Done && t > max(a.endedAt, a.startBy.Uptime)+resultRetention,
			a.state == NeverRun && t > a.startBy.Uptime+tombstoneSlack:
			delete(l.attempts, id)
		}
	}
}

// Find returns a registered attempt, or nil.
func (l *Ledger) Find(id AttemptID) *Attempt { return l.attempts[id] }
