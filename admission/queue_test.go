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
	now     time.Time
	queue   *admission.Queue
	granted []string
	refused map[string]admission.Cause
}

func newFixture(slots int) *fixture {
	return &fixture{now: time.Unix(1000, 0), queue: admission.NewQueue(slots), refused: map[string]admission.Cause{}}
}

// offer asks for a slot for a named call; wait bounds both its deadline and its time in the queue.
func (b *fixture) offer(name string, tenant config.Tenant, class config.Class, wait time.Duration) admission.Decision {
	note := func(d admission.Decision) {
		switch d := d.(type) {
		case admission.Admitted:
			b.granted = append(b.granted, name)
		case admission.Refused:
			b.refused[name] = d.Cause
		}
	}
	d := b.queue.Offer(b.now, &admission.Ticket{Decided: note, Request: admission.Request{Tenant: tenant, Class: class,
		Deadline: b.now.Add(wait), MaxWait: wait, LongShare: 50, Weight: 1}})
	note(d)
	return d
}

// done ends the call that has run longest.
func (b *fixture) done(class config.Class, held time.Duration) {
	b.now = b.now.Add(held)
	b.queue.Done(b.now, class, held)
}

var _ = Describe("a queue of calls for a target", func() {
	It("never lets long calls take every slot", func() {
		b := newFixture(9)
		for i := range 30 {
			b.offer(fmt.Sprintf("render-%d", i), "hall", config.ClassLong, time.Minute)
		}
		Expect(b.queue.Running()).To(Equal(8))
		Expect(b.offer("draft", "family", config.ClassShort, time.Second)).To(Equal(admission.Admitted{}))
	})

	It("gives slots back to short calls down to the declared share when they come in numbers", func() {
		b := newFixture(10)
		for i := range 20 {
			b.offer(fmt.Sprintf("render-%d", i), "hall", config.ClassLong, time.Minute)
		}
		Expect(b.queue.Running()).To(Equal(9))
		for i := range 20 {
			b.offer(fmt.Sprintf("draft-%d", i), "family", config.ClassShort, 10*time.Second)
		}
		for range 4 {
			b.done(config.ClassLong, time.Millisecond)
		}
		drafts := 0
		for _, name := range b.granted {
			if name[0] == 'd' {
				drafts++
			}
		}
		Expect(drafts).To(Equal(5), "long calls keep 5 of 10 slots")
	})

	It("serves a tenant in its turn while another floods", func() {
		b := newFixture(1)
		for i := range 8 {
			b.offer(fmt.Sprintf("flood-%d", i), "flooder", config.ClassShort, time.Minute)
		}
		b.offer("polite-1", "polite", config.ClassShort, time.Minute)
		b.offer("polite-2", "polite", config.ClassShort, time.Minute)
		for range 4 {
			b.done(config.ClassShort, time.Millisecond)
		}
		Expect(b.granted[1:]).To(ContainElements("polite-1", "polite-2"))
	})

	It("turns away the flooder's calls, not the other tenant's, when it is full", func() {
		b := newFixture(1)
		for i := range 20 {
			b.offer(fmt.Sprintf("flood-%d", i), "flooder", config.ClassShort, time.Minute)
		}
		Expect(b.offer("polite", "polite", config.ClassShort, time.Minute)).To(BeAssignableToTypeOf(admission.Queued{}))
		Expect(b.refused).NotTo(HaveKey("polite"))
	})

	It("refuses at once what can't be started in time, and says when to come back", func() {
		b := newFixture(1)
		b.offer("first", "t", config.ClassShort, time.Minute)
		b.done(config.ClassShort, time.Second)
		b.offer("running", "t", config.ClassShort, time.Minute)
		d := b.offer("hopeless", "t", config.ClassShort, 500*time.Millisecond)
		Expect(d).To(BeAssignableToTypeOf(admission.Refused{}))
		Expect(d.(admission.Refused).Cause).To(Equal(admission.TooLate))
		Expect(d.(admission.Refused).RetryAfter).To(BeNumerically(">", 0))
	})

	It("starts the earliest deadline of a tenant first, and none that has passed", func() {
		b := newFixture(1)
		b.offer("running", "t", config.ClassShort, time.Minute)
		b.offer("late", "t", config.ClassShort, 50*time.Second)
		b.offer("early", "t", config.ClassShort, 20*time.Second)
		b.offer("passed", "t", config.ClassShort, time.Millisecond)
		b.done(config.ClassShort, 10*time.Millisecond)
		Expect(b.granted).To(Equal([]string{"running", "early"}))
		Expect(b.refused).To(HaveKeyWithValue("passed", admission.Expired))
	})

	It("refuses those that wait when the target leaves", func() {
		b := newFixture(1)
		b.offer("running", "t", config.ClassShort, time.Minute)
		b.offer("waiting", "t", config.ClassShort, time.Minute)
		b.queue.Drain()
		Expect(b.refused).To(HaveKeyWithValue("waiting", admission.Draining))
		Expect(b.queue.Waiting()).To(Equal(0))
	})
})
