package control_test

import (
	"flag"
	"strconv"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/cassialead/cassialead/fleet"
)

var sessions = flag.Int("sessions", 20, "number of random sessions to run")

// injectFault draws one fault, repair or configuration change and applies it.
func injectFault(t *rapid.T, w *world) {
	live := w.live()
	pick := func() *member { return live[rapid.IntRange(0, len(live)-1).Draw(t, "node")] }
	switch rapid.SampledFrom([]string{"kill", "silent kill", "restart", "outage", "back", "part", "heal", "pause", "apply", "apply",
		"lead dies", "herd"}).Draw(t, "what") {
	case "kill":
		killAndRestart(w, pick(), false)
	case "silent kill":
		killAndRestart(w, pick(), true)
	case "restart":
		m := pick()
		w.kill(m.record.Node, false)
		w.startNode(m.record.Node, m.record.DataCentre, m.record.Region)
	case "outage":
		w.setStoreDown(true)
	case "back":
		w.setStoreDown(false)
	case "part":
		w.partition(inDataCentres("arauca"))
	case "heal":
		w.heal()
	case "pause":
		m := pick()
		m.paused = true
		w.schedule(time.Duration(rapid.IntRange(1, 20).Draw(t, "seconds"))*time.Second, func() {
			if m.alive {
				w.resume(m)
			}
		})
	case "lead dies":
		if m := w.leaseHolder("norte"); m != nil && m.alive {
			killAndRestart(w, m, false)
		}
	case "herd":
		dc := rapid.SampledFrom([]fleet.DataCentre{"norte", "sur"}).Draw(t, "data centre")
		for _, m := range live {
			if m.record.DataCentre == dc && m.record.Node[len(m.record.Node)-1]%2 == 0 {
				killAndRestart(w, m, true)
			}
		}
	case "apply":
		if !w.store.down {
			w.commit(document(len(w.store.versions)))
		}
	}
}

// killAndRestart kills a node and starts one of the same name three seconds later.
func killAndRestart(w *world, m *member, silent bool) {
	w.kill(m.record.Node, silent)
	w.schedule(3*time.Second, func() {
		if !w.members[m.record.Node].alive {
			w.startNode(m.record.Node, m.record.DataCentre, m.record.Region)
		}
	})
}

// TestRandomFailures runs sessions of random faults; -sessions sets their number, -rapid.seed the random seed.
func TestRandomFailures(t *testing.T) {
	if err := flag.Set("rapid.checks", strconv.Itoa(*sessions)); err != nil {
		t.Fatal(err)
	}
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		if err := flag.Set("rapid.seed", "1"); err != nil {
			t.Fatal(err)
		}
	}
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"))
		w.start(7, "costa/norte", "costa/sur", "llanos/arauca")
		w.commit(document(0))
		w.run(settleTime)
		for range rapid.IntRange(1, 8).Draw(t, "failures") {
			injectFault(t, w)
			w.run(time.Duration(rapid.IntRange(0, 8000).Draw(t, "pause ms")) * time.Millisecond)
		}
		w.heal()
		w.setStoreDown(false)
		w.run(40 * time.Second)
		v := w.commit(document(len(w.store.versions)))
		if elapsed, ok := w.runUntil(inForceLimit, w.inForce(v, nil)); !ok {
			t.Fatalf("version %d not active on all nodes after %s:%s", v, elapsed, describeLagging(w, v, nil))
		}
		if len(w.checker.failures) > 0 {
			t.Fatalf("%v", w.checker.failures)
		}
	})
}
