package ledger_test

import (
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"pgregory.net/rapid"

	"github.com/cassialead/cassialead/ledger"
)

func TestLedger(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ledger")
}

var start = time.Unix(1000, 0)

func startDeadline(d time.Duration) ledger.StartBy { return ledger.StartBy{Incarnation: 7, Uptime: d} }

var _ = Describe("the ledger of attempts", func() {
	It("never runs a fenced attempt, whether the fence or the attempt arrives first", func() {
		l := ledger.New(7, start)
		state, _ := l.Fence(start, "a", startDeadline(time.Second))
		Expect(state).To(Equal(ledger.NeverRun))
		_, err := l.Register(start, "a", startDeadline(time.Second))
		Expect(err).To(MatchError(ledger.ErrFenced))

		waiting, err := l.Register(start, "b", startDeadline(time.Second))
		Expect(err).NotTo(HaveOccurred())
		state, _ = l.Fence(start, "b", startDeadline(time.Second))
		Expect(state).To(Equal(ledger.NeverRun))
		Expect(l.Start(start, waiting)).To(MatchError(ledger.ErrFenced))
	})

	It("reports a running or finished attempt to a fence, with its result", func() {
		l := ledger.New(7, start)
		a, err := l.Register(start, "a", startDeadline(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Start(start, a)).To(Succeed())
		state, _ := l.Fence(start, "a", startDeadline(time.Second))
		Expect(state).To(Equal(ledger.Running))
		l.Finish(start, a, ledger.Result{Status: 201})
		state, found := l.Fence(start, "a", startDeadline(time.Second))
		Expect(state).To(Equal(ledger.Done))
		_, result := l.Result(found)
		Expect(result.Status).To(Equal(201))
	})

	It("does not report an attempt whose result has expired as never run", func() {
		l := ledger.New(7, start)
		a, err := l.Register(start, "a", startDeadline(time.Second))
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Start(start, a)).To(Succeed())
		l.Finish(start, a, ledger.Result{Status: 200})
		state, _ := l.Fence(start.Add(10*time.Minute), "a", startDeadline(time.Second))
		Expect(state).To(BeEmpty())
	})

	It("rejects attempts after their start deadline or for another incarnation of the node", func() {
		l := ledger.New(7, start)
		_, err := l.Register(start.Add(2*time.Second), "late", startDeadline(time.Second))
		Expect(err).To(MatchError(ledger.ErrStartByExpired))
		_, err = l.Register(start, "old", ledger.StartBy{Incarnation: 6, Uptime: time.Hour})
		Expect(err).To(MatchError(ledger.ErrIncarnationMismatch))
		state, _ := l.Fence(start, "older", ledger.StartBy{Incarnation: 6, Uptime: time.Hour})
		Expect(state).To(BeEmpty(), "it may have run before the restart")
	})
})

// TestNoOrderOfEventsRunsAnAttemptTwice applies random events to an attempt at random times. The attempt must start at
// most once, and a fence must not report it as never run after it has started.
func TestNoOrderOfEventsRunsAnAttemptTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := ledger.New(7, start)
		now := start
		startBy := startDeadline(time.Duration(rapid.IntRange(0, 8000).Draw(t, "start by")) * time.Millisecond)
		var registered []*ledger.Attempt
		starts, reportedNeverRun := 0, false
		for range rapid.IntRange(1, 30).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.SampledFrom([]int{0, 1, 500, 3000, 60_000}).Draw(t, "ms")) * time.Millisecond)
			switch rapid.SampledFrom([]string{"begin", "begin", "start", "finish", "fence", "abandon", "other"}).Draw(t, "event") {
			case "begin":
				if a, err := l.Register(now, "a", startBy); err == nil {
					registered = append(registered, a)
				}
			case "start":
				if len(registered) > 0 && l.Start(now, registered[len(registered)-1]) == nil {
					starts++
				}
			case "finish":
				if len(registered) > 0 {
					l.Finish(now, registered[len(registered)-1], ledger.Result{Status: 200})
				}
			case "fence":
				if state, _ := l.Fence(now, "a", startBy); state == ledger.NeverRun {
					if starts > 0 {
						// An attempt whose result has expired can't start again, but it has run.
						t.Fatalf("fence reports that the attempt never runs, but it has started")
					}
					reportedNeverRun = true
				}
			case "abandon":
				if len(registered) > 0 {
					l.Cancel(now, registered[len(registered)-1])
				}
			case "other":
				_, _ = l.Register(now, "b", startDeadline(now.Sub(start)+time.Second))
			}
			if starts > 1 || (reportedNeverRun && starts > 0) {
				t.Fatalf("%d starts, reported as never run: %v", starts, reportedNeverRun)
			}
		}
	})
}
