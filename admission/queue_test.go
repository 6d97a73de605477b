package admission_test

import (
	"fmt"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/admission"
	"github.com/cassialead/cassialead/config"
)

func TestAdmission(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "admission")
}

// fixture drives a queue in virtual time.
type fixture struct {
	now      time.Time
	queue    *admission.Queue
	admitted []string
	rejected map[string]admission.Cause
}

func newFixture(slots int) *fixture {
	return &fixture{now: time.Unix(1000, 0), queue: admission.NewQueue(slots), rejected: map[string]admission.Cause{}}
}

// offer submits a named call; maxWait is both the time until its deadline and its maximum queueing time.
func (f *fixture) offer(name string, tenant config.Tenant, class config.Class, maxWait time.Duration) admission.Decision {
	onDecision := func(d admission.Decision) {
		switch d := d.(type) {
		case admission.Admitted:
			f.admitted = append(f.admitted, name)
		case admission.Rejected:
			f.rejected[name] = d.Cause
		}
	}
	d := f.queue.Offer(f.now, &admission.Ticket{OnDecision: onDecision, Request: admission.Request{Tenant: tenant, Class: class,
		Deadline: f.now.Add(maxWait), MaxWait: maxWait, LongShare: 50, Weight: 1}})
	onDecision(d)
	return d
}

// release ends a call of a class that held its slot for the given time.
func (f *fixture) release(class config.Class, held time.Duration) {
	f.now = f.now.Add(held)
	f.queue.Release(f.now, class, held)
}

var _ = Describe("the admission queue of a target", func() {
	It("reserves a slot for short calls", func() {
		f := newFixture(9)
		for i := range 30 {
			f.offer(fmt.Sprintf("render-%d", i), "hall", config.ClassLong, time.Minute)
		}
		Expect(f.queue.Running()).To(Equal(8))
		Expect(f.offer("draft", "family", config.ClassShort, time.Second)).To(Equal(admission.Admitted{}))
	})

	It("reduces long calls to their declared share under a burst of short calls", func() {
		f := newFixture(10)
		for i := range 20 {
			f.offer(fmt.Sprintf("render-%d", i), "hall", config.ClassLong, time.Minute)
		}
		Expect(f.queue.Running()).To(Equal(9))
		for i := range 20 {
			f.offer(fmt.Sprintf("draft-%d", i), "family", config.ClassShort, 10*time.Second)
		}
		for range 4 {
			f.release(config.ClassLong, time.Millisecond)
		}
		drafts := 0
		for _, name := range f.admitted {
			if name[0] == 'd' {
				drafts++
			}
		}
		Expect(drafts).To(Equal(5), "long calls keep 5 of 10 slots")
	})

	It("serves a tenant fairly while another floods the queue", func() {
		f := newFixture(1)
		for i := range 8 {
			f.offer(fmt.Sprintf("flood-%d", i), "flooder", config.ClassShort, time.Minute)
		}
		f.offer("polite-1", "polite", config.ClassShort, time.Minute)
		f.offer("polite-2", "polite", config.ClassShort, time.Minute)
		for range 4 {
			f.release(config.ClassShort, time.Millisecond)
		}
		Expect(f.admitted[1:]).To(ContainElements("polite-1", "polite-2"))
	})

	It("evicts calls of the flooding tenant, not of the other one, when it is full", func() {
		f := newFixture(1)
		for i := range 20 {
			f.offer(fmt.Sprintf("flood-%d", i), "flooder", config.ClassShort, time.Minute)
		}
		Expect(f.offer("polite", "polite", config.ClassShort, time.Minute)).To(BeAssignableToTypeOf(admission.Queued{}))
		Expect(f.rejected).NotTo(HaveKey("polite"))
	})

	It("rejects a call at once if its expected wait exceeds its deadline, with a retry delay", func() {
		f := newFixture(1)
		f.offer("first", "t", config.ClassShort, time.Minute)
		f.release(config.ClassShort, time.Second)
		f.offer("running", "t", config.ClassShort, time.Minute)
		d := f.offer("hopeless", "t", config.ClassShort, 500*time.Millisecond)
		Expect(d).To(BeAssignableToTypeOf(admission.Rejected{}))
		Expect(d.(admission.Rejected).Cause).To(Equal(admission.TooLate))
		Expect(d.(admission.Rejected).RetryAfter).To(BeNumerically(">", 0))
	})

	It("serves a tenant's calls by earliest deadline, and rejects those whose deadline has passed", func() {
		f := newFixture(1)
		f.offer("running", "t", config.ClassShort, time.Minute)
		f.offer("late", "t", config.ClassShort, 50*time.Second)
		f.offer("early", "t", config.ClassShort, 20*time.Second)
		f.offer("passed", "t", config.ClassShort, time.Millisecond)
		f.release(config.ClassShort, 10*time.Millisecond)
		Expect(f.admitted).To(Equal([]string{"running", "early"}))
		Expect(f.rejected).To(HaveKeyWithValue("passed", admission.Expired))
	})

	It("rejects queued calls when it drains", func() {
		f := newFixture(1)
		f.offer("running", "t", config.ClassShort, time.Minute)
		f.offer("waiting", "t", config.ClassShort, time.Minute)
		f.queue.Drain()
		Expect(f.rejected).To(HaveKeyWithValue("waiting", admission.Draining))
		Expect(f.queue.Waiting()).To(Equal(0))
	})
})
