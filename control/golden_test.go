package control_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/control"
	"github.com/cassialead/cassialead/fleet"
)

var rewrite = flag.Bool("rewrite", false, "rewrite the golden files")

// traceStep writes an event and its actions to the trace, one line each; it omits ticks and heartbeats without actions.
func (w *world) traceStep(m *member, e control.Event, actions []control.Action) {
	var lines []string
	for _, a := range actions {
		if line := describeAction(m, a); line != "" {
			lines = append(lines, line)
		}
	}
	event := describeEvent(e)
	if len(lines) == 0 && (event == "tick" || strings.HasSuffix(event, "heartbeat")) {
		return
	}
	fmt.Fprintf(w.trace, "%6d ms  %s  %s\n", w.now.Sub(time.UnixMilli(1_700_000_000_000)).Milliseconds(), m.record.Node, event)
	for _, line := range lines {
		fmt.Fprintf(w.trace, "              -> %s\n", line)
	}
}

func describeEvent(e control.Event) string {
	switch e := e.(type) {
	case control.Tick:
		return "tick"
	case control.LinkOpened:
		return fmt.Sprintf("link %s opened", linkText(e.Link))
	case control.LinkClosed:
		return fmt.Sprintf("link %s closed", linkText(e.Link))
	case control.Received:
		return fmt.Sprintf("link %s received %s", linkText(e.Link), describe(e.Message))
	case control.LeaseResult:
		return fmt.Sprintf("lease held=%v unavailable=%v term=%d", e.Held, e.Unavailable, e.Term)
	case control.HeadResult:
		return fmt.Sprintf("store head version=%d unavailable=%v update=%v", e.Version, e.Unavailable, e.Update != nil)
	case control.LeadersResult:
		return fmt.Sprintf("store lists %d leaders", len(e.Leaders))
	case control.ProbeResult:
		return fmt.Sprintf("probe of %s alive=%v", e.Node, e.Alive)
	case control.TargetsChanged:
		return fmt.Sprintf("targets %v", e.Targets)
	}
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", e), "control."))
}

func describeAction(m *member, a control.Action) string {
	switch a := a.(type) {
	case control.Dial:
		return fmt.Sprintf("dial %s as link %s", a.Address, linkText(a.Link))
	case control.Close:
		return "close link " + linkText(a.Link)
	case control.Send:
		if _, ok := a.Message.(control.Heartbeat); ok {
			return ""
		}
		return fmt.Sprintf("send on %s: %s", linkText(a.Link), describe(a.Message))
	case control.WatchHead:
		return fmt.Sprintf("watch head beyond %d", a.Since.Version)
	case control.Publish:
		if !a.ConfigChanged {
			return ""
		}
		_, held := m.core.Config()
		return fmt.Sprintf("publish version %d", held.Version)
	case control.LogEntry:
		return fmt.Sprintf("log %s: %s", a.Message, a.Detail)
	case control.Probe:
		return "probe " + string(a.Node)
	case control.AcquireLease:
		return "acquire lease"
	}
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", a), "control."))
}

func linkText(id control.LinkID) string {
	if id > 1<<32 {
		return fmt.Sprintf("in%d", id-1<<32)
	}
	return fmt.Sprintf("out%d", id)
}

func describe(m control.Message) string {
	switch m := m.(type) {
	case control.Hello:
		return fmt.Sprintf("hello from %s role=%d version=%d", m.Record.Node, m.Role, m.ActiveConfig.Version)
	case control.Welcome:
		return fmt.Sprintf("welcome from %s accepted=%v minimum=%d parents=%d", m.Record.Node, m.Accepted, m.MinVersion, len(m.Parents))
	case control.Heartbeat:
		return "heartbeat"
	case control.ConfigUpdate:
		return fmt.Sprintf("update version=%d snapshot=%v deltas=%d", m.Version, m.Document != nil, len(m.Deltas))
	case control.Records:
		var rs []string
		for _, r := range m.Records {
			rs = append(rs, recordText(r))
		}
		return fmt.Sprintf("records %s digests=%v", strings.Join(rs, " "), m.Digests != nil)
	case control.Ack:
		return fmt.Sprintf("ack %v", m.Summary.Counts)
	case control.Suspect:
		return "suspect " + string(m.Node)
	}
	return strings.ToLower(strings.TrimPrefix(fmt.Sprintf("%T", m), "control."))
}

func recordText(r fleet.Record) string {
	return fmt.Sprintf("%s#%d/%s/term=%d/targets=%d", r.Node, r.Sequence, r.State, r.LeaderTerm, len(r.Targets))
}

var _ = Describe("recorded session", func() {
	sessions := map[string]func(w *world){
		"change-and-lead-loss": func(w *world) {
			w.start(3, "costa/norte")
			w.run(4 * time.Second)
			w.commit(document(0))
			w.run(time.Second)
			w.step(w.members["norte-001"], control.TargetsChanged{Targets: []fleet.Target{{Service: "orders", Slots: 9}}})
			w.run(time.Second)
			w.kill(w.leaseHolder("norte").record.Node, false)
			w.commit(document(1))
			w.run(4 * time.Second)
		},
		"two-regions-part-and-heal": func(w *world) {
			w.start(1, "costa/norte", "llanos/arauca")
			w.commit(document(0))
			w.run(6 * time.Second)
			w.partition(inDataCentres("arauca"))
			w.setStoreDown(true)
			w.run(5 * time.Second)
			w.setStoreDown(false)
			w.commit(document(1))
			w.heal()
			w.run(6 * time.Second)
		},
	}
	for name, run := range sessions {
		It("matches its golden file: "+name, func() {
			w := newWorld(11)
			w.trace = &strings.Builder{}
			run(w)
			Expect(w.checker.failures).To(BeEmpty())
			file := filepath.Join("_fixtures", name+".golden")
			if *rewrite {
				Expect(os.WriteFile(file, []byte(w.trace.String()), 0o644)).To(Succeed())
			}
			want, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			Expect(w.trace.String()).To(Equal(string(want)))
		})
	}
})
