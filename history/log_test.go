package history_test

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/history"
	"github.com/cassialead/cassialead/standin"
	"github.com/cassialead/cassialead/store"
)

func TestHistory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "history")
}

// fixture is an operator's place at a stand-in store.
type fixture struct {
	store *standin.Store
	port  *store.Client
	log   *history.Log
	ids   int
	mu    sync.Mutex
}

func newFixture() *fixture {
	d := &fixture{store: standin.NewStore(100_000, 100_000)}
	server := httptest.NewServer(d.store.Handler())
	DeferCleanup(server.Close)
	d.port = store.New(server.URL, &http.Transport{DisableKeepAlives: true}, metrics.NewSet())
	d.log = history.New(d.port, func() time.Time { return time.Unix(1_700_000_000, 0) }, func() string {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.ids++
		return fmt.Sprintf("id-%d", d.ids)
	})
	return d
}

func document(timeouts ...string) config.Document {
	doc := config.Document{"defaults": {"timeout": "1s"}}
	for i, t := range timeouts {
		doc[config.SectionName(fmt.Sprintf("service s%d", i))] = config.Section{"timeout": t, "retries": "1"}
	}
	return doc
}

func (d *fixture) apply(doc config.Document, base config.Version, id string) (config.Delta, error) {
	return d.log.Apply(context.Background(), history.Change{Document: doc, Base: base, Author: "op-" + id, Message: "m-" + id,
		ID: config.ChangeID(id)})
}

func (d *fixture) head() history.Head {
	h, _, err := d.log.Head(context.Background())
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return h
}

func (d *fixture) document(v config.Version) config.Document {
	doc, err := d.log.Document(context.Background(), d.head(), v)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return doc
}

var _ = Describe("accepted versions", func() {
	It("are dense, and rebuilt over many snapshots", func() {
		d := newFixture()
		for i := range 150 {
			delta, err := d.apply(document(fmt.Sprintf("%dms", i+1)), config.Version(i), fmt.Sprintf("c%d", i))
			Expect(err).NotTo(HaveOccurred())
			Expect(delta.To).To(Equal(config.Version(i + 1)))
		}
		for _, v := range []config.Version{150, 149, 130, 120} {
			Expect(d.document(v)).To(Equal(document(fmt.Sprintf("%dms", v))), "version %d", v)
		}
		_, err := d.log.Document(context.Background(), d.head(), 3)
		Expect(err).To(MatchError(history.ErrTooOld))
	})

	It("take disjoint edits of racing operators both", func() {
		d := newFixture()
		_, err := d.apply(document("1s", "1s"), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		_, err = d.apply(document("2s", "1s"), 1, "ana")
		Expect(err).NotTo(HaveOccurred())
		_, err = d.apply(document("1s", "3s"), 1, "yuki")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.document(3)).To(Equal(document("2s", "3s")))
	})

	It("refuse overlapping edits and name both sides", func() {
		d := newFixture()
		_, err := d.apply(document("1s"), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		_, err = d.apply(document("2s"), 1, "ana")
		Expect(err).NotTo(HaveOccurred())
		_, err = d.apply(document("3s"), 1, "yuki")
		var conflict *history.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(err.Error()).To(And(ContainSubstring(`key "timeout": base "1s", accepted "2s", yours "3s"`), ContainSubstring("version 2 by op-ana: m-ana")))
		Expect(d.head().Version).To(Equal(config.Version(2)))
	})

	It("lose no edit when twenty operators race", func() {
		d := newFixture()
		all := make([]string, 20)
		for i := range all {
			all[i] = "1s"
		}
		_, err := d.apply(document(all...), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		var wg sync.WaitGroup
		var accepted sync.Map
		for i := range all {
			wg.Go(func() {
				defer GinkgoRecover()
				edit := document(all...)
				edit[config.SectionName(fmt.Sprintf("service s%d", i))]["timeout"] = "5s"
				for try := range 20 {
					_, err := d.apply(edit, 1, fmt.Sprintf("race-%d-%d", i, try))
					if err == nil {
						accepted.Store(i, true)
						return
					}
					Expect(err).To(MatchError(store.ErrRefused))
				}
			})
		}
		wg.Wait()
		doc := d.document(d.head().Version)
		for i := range all {
			_, ok := accepted.Load(i)
			Expect(ok).To(BeTrue())
			Expect(doc[config.SectionName(fmt.Sprintf("service s%d", i))]["timeout"]).To(Equal("5s"))
		}
	})

	It("hold a change once when the store's answer is lost after the write took effect", func() {
		d := newFixture()
		_, err := d.apply(document("1s"), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		d.store.SetFaults(standin.StoreFaults{LoseAnswers: 1})
		delta, err := d.apply(document("2s"), 1, "lost")
		Expect(err).NotTo(HaveOccurred())
		Expect(delta.To).To(Equal(config.Version(2)))
		again, err := d.apply(document("2s"), 1, "lost")
		Expect(err).NotTo(HaveOccurred())
		Expect(again.To).To(Equal(config.Version(2)))
		Expect(d.head().Version).To(Equal(config.Version(2)))
	})

	It("are not touched when a document is bad, large or without a base", func() {
		d := newFixture()
		_, err := d.apply(document("1s"), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		_, err = d.apply(config.Document{"route r": {"path": "/r", "service": "absent"}}, 1, "bad")
		Expect(err).To(MatchError(config.ErrInvalid))
		_, err = d.apply(document("2s"), 0, "baseless")
		Expect(err).To(MatchError(history.ErrBaseRequired))
		Expect(d.head().Version).To(Equal(config.Version(1)))
	})

	It("come back from a node after the store was put back from an old copy", func() {
		d := newFixture()
		_, err := d.apply(document("1s"), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		old := d.store.Dump()
		_, err = d.apply(document("2s"), 1, "second")
		Expect(err).NotTo(HaveOccurred())
		lineage := d.head().Lineage
		Expect(d.store.Restore(old)).To(Succeed())
		_, err = d.log.Recover(context.Background(), lineage, 1, document("1s"), "op", "r1")
		Expect(err).To(MatchError(history.ErrNotBehind))
		_, err = d.log.Recover(context.Background(), lineage, 2, document("2s"), "op", "r2")
		Expect(err).NotTo(HaveOccurred())
		Expect(d.document(2)).To(Equal(document("2s")))
		delta, err := d.apply(document("3s"), 2, "third")
		Expect(err).NotTo(HaveOccurred())
		Expect(delta.To).To(Equal(config.Version(3)))
		Expect(d.document(3)).To(Equal(document("3s")))
	})
})

var _ = Describe("the store's client", func() {
	cases := map[string]struct {
		faults standin.StoreFaults
		want   error
	}{
		"an outage":          {standin.StoreFaults{Outage: true}, store.ErrUnavailable},
		"a store that hangs": {standin.StoreFaults{Outage: true, Hang: true}, store.ErrUnavailable},
	}
	for name, c := range cases {
		It("tells "+name+" from an absent key", func() {
			d := newFixture()
			_, err := d.port.Get(context.Background(), "absent")
			Expect(err).To(MatchError(store.ErrAbsent))
			d.store.SetFaults(c.faults)
			_, err = d.port.Get(context.Background(), "absent")
			Expect(err).To(MatchError(c.want))
			err = d.port.Swap(context.Background(), "k", []byte("v"), 0)
			Expect(err).To(MatchError(store.ErrUnknownOutcome))
		})
	}

	It("wakes a watch when the key changes, and lets a lease lapse", func() {
		d := newFixture()
		ctx := context.Background()
		lease, err := d.port.Grant(ctx, 200*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.port.Acquire(ctx, "lead", []byte("a"), lease)).To(Succeed())
		other, err := d.port.Grant(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(d.port.Acquire(ctx, "lead", []byte("b"), other)).To(MatchError(store.ErrRefused))
		e, err := d.port.Get(ctx, "lead")
		Expect(err).NotTo(HaveOccurred())
		_, err = d.port.Watch(ctx, "lead", e.Index, time.Minute)
		Expect(err).To(MatchError(store.ErrAbsent), "the lease lapsed and took the key with it")
		Expect(d.port.Renew(ctx, lease)).To(MatchError(store.ErrAbsent))
		Expect(d.port.Acquire(ctx, "lead", []byte("b"), other)).To(Succeed())
	})
})
