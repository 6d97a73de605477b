package history_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/exchange"
	"github.com/cassialead/cassialead/history"
	"github.com/cassialead/cassialead/settings"
	"github.com/cassialead/cassialead/standin"
	"github.com/cassialead/cassialead/store"
)

func TestHistory(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "history")
}

// fixture is a version log in a simulated store.
type fixture struct {
	store *standin.Store
	kv    *store.Client
	log   *history.Log
	ids   int
	mu    sync.Mutex
}

func newFixture() *fixture {
	f := &fixture{store: standin.NewStore(100_000, 100_000)}
	l, err := exchange.Listen("127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(f.store.Serve(l, settings.Limits{}).Close)
	f.kv = store.New("http://"+l.Addr().String(), &http.Transport{DisableKeepAlives: true}, metrics.NewSet())
	f.log = history.New(f.kv, func() time.Time { return time.Unix(1_700_000_000, 0) }, func() string {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.ids++
		return fmt.Sprintf("id-%d", f.ids)
	})
	return f
}

func document(timeouts ...string) config.Document {
	doc := config.Document{"defaults": {"timeout": "1s"}}
	for i, t := range timeouts {
		doc[config.SectionName(fmt.Sprintf("service s%d", i))] = config.Section{"timeout": t, "retries": "1"}
	}
	return doc
}

func (f *fixture) apply(doc config.Document, base config.Version, id string) (config.Delta, error) {
	return f.log.Apply(context.Background(), history.Change{Document: doc, BaseVersion: base, Author: "op-" + id, Message: "m-" + id,
		ID: config.ChangeID(id)})
}

func (f *fixture) head() history.Head {
	h, _, err := f.log.Head(context.Background())
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return h
}

func (f *fixture) document(v config.Version) config.Document {
	doc, err := f.log.Document(context.Background(), f.head(), v)
	ExpectWithOffset(1, err).NotTo(HaveOccurred())
	return doc
}

var _ = Describe("accepted versions", func() {
	It("are numbered without gaps and rebuilt across many snapshots", func() {
		f := newFixture()
		for i := range 150 {
			delta, err := f.apply(document(fmt.Sprintf("%dms", i+1)), config.Version(i), fmt.Sprintf("c%d", i))
			Expect(err).NotTo(HaveOccurred())
			Expect(delta.To).To(Equal(config.Version(i + 1)))
		}
		for _, v := range []config.Version{150, 149, 130, 120} {
			Expect(f.document(v)).To(Equal(document(fmt.Sprintf("%dms", v))), "version %d", v)
		}
		_, err := f.log.Document(context.Background(), f.head(), 3)
		Expect(err).To(MatchError(history.ErrVersionNotRetained))
	})

	It("include both of two concurrent edits that do not overlap", func() {
		f := newFixture()
		_, err := f.apply(document("1s", "1s"), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.apply(document("2s", "1s"), 1, "ana")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.apply(document("1s", "3s"), 1, "yuki")
		Expect(err).NotTo(HaveOccurred())
		Expect(f.document(3)).To(Equal(document("2s", "3s")))
	})

	It("do not include overlapping edits; the error names both sides", func() {
		f := newFixture()
		_, err := f.apply(document("1s"), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.apply(document("2s"), 1, "ana")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.apply(document("3s"), 1, "yuki")
		var conflict *history.ConflictError
		Expect(errors.As(err, &conflict)).To(BeTrue())
		Expect(err.Error()).To(And(ContainSubstring(`key "timeout": base "1s", accepted "2s", yours "3s"`), ContainSubstring("version 2 by op-ana: m-ana")))
		Expect(f.head().Version).To(Equal(config.Version(2)))
	})

	It("include every edit of twenty concurrent operators", Label("known-red"), func() {
		f := newFixture()
		all := make([]string, 20)
		for i := range all {
			all[i] = "1s"
		}
		_, err := f.apply(document(all...), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		var wg sync.WaitGroup
		var accepted sync.Map
		for i := range all {
			wg.Go(func() {
				defer GinkgoRecover()
				edit := document(all...)
				edit[config.SectionName(fmt.Sprintf("service s%d", i))]["timeout"] = "5s"
				for attempt := range 20 {
					_, err := f.apply(edit, 1, fmt.Sprintf("race-%d-%d", i, attempt))
					if err == nil {
						accepted.Store(i, true)
						return
					}
					Expect(err).To(MatchError(store.ErrConflict))
				}
			})
		}
		wg.Wait()
		doc := f.document(f.head().Version)
		for i := range all {
			_, ok := accepted.Load(i)
			Expect(ok).To(BeTrue())
			Expect(doc[config.SectionName(fmt.Sprintf("service s%d", i))]["timeout"]).To(Equal("5s"))
		}
	})

	It("include a change once if the store's response is lost after the write was executed", func() {
		f := newFixture()
		_, err := f.apply(document("1s"), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		f.store.SetFaults(standin.StoreFaults{DropResponses: 1})
		delta, err := f.apply(document("2s"), 1, "lost")
		Expect(err).NotTo(HaveOccurred())
		Expect(delta.To).To(Equal(config.Version(2)))
		resubmitted, err := f.apply(document("2s"), 1, "lost")
		Expect(err).NotTo(HaveOccurred())
		Expect(resubmitted.To).To(Equal(config.Version(2)))
		Expect(f.head().Version).To(Equal(config.Version(2)))
	})

	It("are unchanged after an invalid document or one without a base version", func() {
		f := newFixture()
		_, err := f.apply(document("1s"), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.apply(config.Document{"route r": {"path": "/r", "service": "absent"}}, 1, "bad")
		Expect(err).To(MatchError(config.ErrInvalid))
		_, err = f.apply(document("2s"), 0, "baseless")
		Expect(err).To(MatchError(history.ErrBaseRequired))
		Expect(f.head().Version).To(Equal(config.Version(1)))
	})

	It("are recovered from a node after the store was restored from an old backup", func() {
		f := newFixture()
		_, err := f.apply(document("1s"), 0, "first")
		Expect(err).NotTo(HaveOccurred())
		backup := f.store.Dump()
		_, err = f.apply(document("2s"), 1, "second")
		Expect(err).NotTo(HaveOccurred())
		lineage := f.head().Lineage
		Expect(f.store.Restore(backup)).To(Succeed())
		_, err = f.log.Recover(context.Background(), lineage, 1, document("1s"), "op", "r1")
		Expect(err).To(MatchError(history.ErrStoreUpToDate))
		_, err = f.log.Recover(context.Background(), lineage, 2, document("2s"), "op", "r2")
		Expect(err).NotTo(HaveOccurred())
		Expect(f.document(2)).To(Equal(document("2s")))
		delta, err := f.apply(document("3s"), 2, "third")
		Expect(err).NotTo(HaveOccurred())
		Expect(delta.To).To(Equal(config.Version(3)))
		Expect(f.document(3)).To(Equal(document("3s")))
	})
})

var _ = Describe("the store client", func() {
	cases := map[string]struct {
		faults standin.StoreFaults
		want   error
	}{
		"an outage":          {standin.StoreFaults{Outage: true}, store.ErrUnavailable},
		"a store that hangs": {standin.StoreFaults{Outage: true, Hang: true}, store.ErrUnavailable},
	}
	for name, c := range cases {
		It("distinguishes "+name+" from a missing key", func() {
			f := newFixture()
			_, err := f.kv.Get(context.Background(), "absent")
			Expect(err).To(MatchError(store.ErrNotFound))
			f.store.SetFaults(c.faults)
			_, err = f.kv.Get(context.Background(), "absent")
			Expect(err).To(MatchError(c.want))
			err = f.kv.CompareAndSwap(context.Background(), "k", []byte("v"), 0)
			Expect(err).To(MatchError(store.ErrUnknownOutcome))
		})
	}

	It("returns from a watch when the key changes, and reports an expired lease", func() {
		f := newFixture()
		ctx := context.Background()
		lease, err := f.kv.Grant(ctx, 200*time.Millisecond)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.kv.Acquire(ctx, "lead", []byte("a"), lease)).To(Succeed())
		other, err := f.kv.Grant(ctx, time.Minute)
		Expect(err).NotTo(HaveOccurred())
		Expect(f.kv.Acquire(ctx, "lead", []byte("b"), other)).To(MatchError(store.ErrConflict))
		e, err := f.kv.Get(ctx, "lead")
		Expect(err).NotTo(HaveOccurred())
		_, err = f.kv.Watch(ctx, "lead", e.Index, time.Minute)
		Expect(err).To(MatchError(store.ErrNotFound), "the key is deleted when its lease expires")
		Expect(f.kv.Renew(ctx, lease)).To(MatchError(store.ErrNotFound))
		Expect(f.kv.Acquire(ctx, "lead", []byte("b"), other)).To(Succeed())
	})
})
