package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/config"
)

// The figures of foreignBeat.
const (
	foreignSequence = 1000                   // of the heartbeat of another writer
	foreignBurst    = 8                      // requests of each VM's callers
	foreignMargin   = 100 * time.Millisecond // from the end of the drain period to them
	foreignTimeout  = 2500 * time.Millisecond
)

// foreignBeat checks that a target that drains gets no request although a heartbeat came from another writer before.
func foreignBeat(d *deployment) (bool, error) {
	d.putPlan(1, []string{"pedidos"}, []config.Rule{route("orders", "/orders/", "pedidos", config.AtMostOnce, foreignTimeout)})
	var targets []*target
	for i, place := range [][2]string{{"costa-norte", "costa"}, {"costa-sur", "costa"}, {"llanos-arauca", "llanos"}} {
		n, err := d.addNode(fmt.Sprintf("vm-%d", i), place[0], place[1], "pedidos", false)
		if err != nil {
			return false, err
		}
		if err := n.launch(); err != nil {
			return false, err
		}
		t, err := d.addTarget(n, fmt.Sprintf("i-%d", i), 20*time.Millisecond)
		if err != nil {
			return false, err
		}
		targets = append(targets, t)
	}
	if err := d.awaitReady(d.nodes...); err != nil {
		return false, err
	}
	time.Sleep(contact)
	leaver := targets[0]
	if d.trouble {
		status, err := leaver.post("/api/Instances.Heartbeat/"+leaver.id, fmt.Sprintf(
			`{"address":%q,"info":{"service":"unnamed","version":"v1","zone":%q,"slots":%d},"status":{"state":"ready","sequence":%d,"coldLeftS":0}}`,
			leaver.n.app, leaver.n.zone, slots, foreignSequence))
		d.record("a heartbeat for %s of a service that the configuration doesn't name, sequence %d: status %d, %v", leaver.id, foreignSequence, status, err)
		time.Sleep(heartbeat)
	}
	ackAt, err := leaver.announceDrain()
	if err != nil {
		return false, err
	}
	// The callers are quiet until drainS has passed, so that no answer tells the node of the leaving before.
	time.Sleep(time.Until(ackAt.Add(drain + foreignMargin)))
	var wg sync.WaitGroup
	var broken atomic.Int32
	for range foreignBurst {
		for _, n := range d.nodes {
			wg.Go(func() {
				r := d.call(n, http.MethodPost, "/orders/new", "order", foreignTimeout)
				if leaver.ran(r.id) > 0 && r.sentAt.Sub(ackAt) > drain {
					broken.Add(1)
					d.record("DRAIN: %s runs %s, which was sent to %s %.3f s after its draining was acknowledged", leaver.id, r.id, n.name, r.sentAt.Sub(ackAt).Seconds())
				}
			})
		}
	}
	wg.Wait()
	d.record("CHECK: %d requests reached %s later than %v after its draining was acknowledged", broken.Load(), leaver.id, drain)
	return broken.Load() > 0, nil
}
