package ledger

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/cassialead/cassialead/fleet"
)

// AttemptID names one attempt to run a call; it is never reused.
type AttemptID string

const (
	keepDone   = 2 * time.Minute // results are kept this long for a fence or a lost connection
	fenceSlack = 5 * time.Second // a tombstone outlives its start-by time by this
)

// The reasons for not running an attempt; each of them proves that it has not run here.
var (
	// ErrLate says that the start-by time has passed.
	ErrLate = errors.New("attempt arrived after its start-by time")
	// ErrOtherIncarnation says that the attempt was meant for the node before its restart.
	ErrOtherIncarnation = errors.New("attempt was issued before this node started")
	// ErrFenced says that the attempt has been fenced and will never run.
	ErrFenced = errors.New("attempt has been fenced")
	// ErrRepeated says that the attempt is known already; it does not run again.
	ErrRepeated = errors.New("attempt is already known")
)

// StartBy is the latest time to start an attempt, on the clock of the node beside the target.
type StartBy struct {
	Incarnation fleet.Incarnation
	// At is the time since that node started.
	At time.Duration
}

// String returns the form used in headers.
func (s StartBy) String() string {
	return strconv.FormatUint(uint64(s.Incarnation), 10) + "." + strconv.FormatInt(s.At.Milliseconds(), 10)
}

// ErrBadStartBy marks a start-by time that can't be read.
var ErrBadStartBy = errors.New("malformed start-by time")

// ParseStartBy reads what String wrote.
func ParseStartBy(s string) (StartBy, error) {
	a, b, _ := strings.Cut(s, ".")
	incarnation, err := strconv.ParseUint(a, 10, 64)
	if err != nil {
		return StartBy{}, errors.Wrapf(ErrBadStartBy, "%q", s)
	}
	ms, err := strconv.ParseInt(b, 10, 64)
	if err != nil {
		return StartBy{}, errors.Wrapf(ErrBadStartBy, "%q", s)
	}
	return StartBy{Incarnation: fleet.Incarnation(incarnation), At: time.Duration(ms) * time.Millisecond}, nil
}

// State says how far an attempt has come.
type State string

// The states of an attempt. Never means that it has not run and will not.
const (
	Waiting State = "waiting"
	Running State = "running"
	Done    State = "done"
	Never   State = "never"
)

// Result is the answer of an attempt that ran; Lost says that the run ended without an answer that could be kept.
type Result struct {
	Status int
	Header http.Header
	Body   []byte
	Lost   bool
}

// Attempt is what a node knows of one attempt.
type Attempt struct {
	state   State
	startBy StartBy
	ended   time.Duration
	result  Result
	done    chan struct{}
}

// Done is closed when the attempt's result is known.
func (a *Attempt) Done() <-chan struct{} { return a.done }

// Ledger knows the attempts at the targets of one node since it started; its methods must not be called concurrently.
type Ledger struct {
	incarnation fleet.Incarnation
	started     time.Time
	attempts    map[AttemptID]*Attempt
	swept       time.Duration
}

// New returns an empty ledger of a node that started at a time under an incarnation.
func New(i fleet.Incarnation, started time.Time) *Ledger {
	return &Ledger{incarnation: i, started: started, attempts: map[AttemptID]*Attempt{}}
}

// Clock returns the node's reading that callers base start-by times on.
func (l *Ledger) Clock(now time.Time) StartBy {
	return StartBy{Incarnation: l.incarnation, At: now.Sub(l.started)}
}

// Begin takes an attempt that has arrived; after an error it has not run and, but for ErrRepeated, never will.
func (l *Ledger) Begin(now time.Time, id AttemptID, by StartBy) (*Attempt, error) {
	l.sweep(now)
	if a, ok := l.attempts[id]; ok {
		if a.state == Never {
			return nil, ErrFenced
		}
		return nil, ErrRepeated
	}
	if by.Incarnation != l.incarnation {
		return nil, ErrOtherIncarnation
	}
	if now.Sub(l.started) > by.At {
		return nil, ErrLate
	}
	a := &Attempt{state: Waiting, startBy: by, done: make(chan struct{})}
	l.attempts[id] = a
	return a, nil
}

// Start marks an attempt as running; after an error it has not run and never will.
func (l *Ledger) Start(now time.Time, a *Attempt) error {
	if a.state != Waiting {
		return ErrFenced
	}
	if now.Sub(l.started) > a.startBy.At {
		l.Abandon(now, a)
		return ErrLate
	}
	a.state = Running
	return nil
}

// Abandon marks an attempt that did not start as one that never will.
func (l *Ledger) Abandon(now time.Time, a *Attempt) {
	if a.state == Waiting {
		a.state = Never
		a.ended = now.Sub(l.started)
		close(a.done)
	}
}

// Withdraw marks a started attempt that could not be sent to its target as one that has not run and never will.
func (l *Ledger) Withdraw(now time.Time, a *Attempt) {
	if a.state == Running {
		a.state = Waiting
		l.Abandon(now, a)
	}
}

// Finish keeps the result of an attempt that ran.
func (l *Ledger) Finish(now time.Time, a *Attempt, r Result) {
	if a.state != Running {
		return
	}
	a.state, a.result = Done, r
	a.ended = now.Sub(l.started)
	close(a.done)
}

// Fence makes sure that an attempt that has not started never will, and returns its state; the state is empty when
// this node can't know what became of the attempt.
func (l *Ledger) Fence(now time.Time, id AttemptID, by StartBy) (State, *Attempt) {
	l.sweep(now)
	a, ok := l.attempts[id]
	if !ok {
		// What the node ran before its restart, or has forgotten, is not known here.
		if by.Incarnation != l.incarnation || now.Sub(l.started) > by.At+keepDone {
			return "", nil
		}
		a = &Attempt{state: Waiting, startBy: by, done: make(chan struct{})}
		l.attempts[id] = a
	}
	l.Abandon(now, a)
	return a.state, a
}

// Result returns what an attempt has come to.
func (l *Ledger) Result(a *Attempt) (State, Result) { return a.state, a.result }

const sweepInterval = time.Second

// sweep forgets attempts whose results are no longer asked for and tombstones that have outlived their start-by time.
func (l *Ledger) sweep(now time.Time) {
	t := now.Sub(l.started)
	if t-l.swept < sweepInterval {
		return
	}
	l.swept = t
	for id, a := range l.attempts {
		switch {
		case a.state == Done && t > max(a.ended, a.startBy.At)+keepDone,
			a.state == Never && t > a.startBy.At+fenceSlack:
			delete(l.attempts, id)
		}
	}
}

// Find returns a known attempt, or nil.
func (l *Ledger) Find(id AttemptID) *Attempt { return l.attempts[id] }
