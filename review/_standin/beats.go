package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/config"
)

// The figures of lateBeats.
const (
	rollGap       = 1300 * time.Millisecond
	beatsDelayed  = 2                      // last heartbeats before the departure, which arrive late
	beatsApart    = 100 * time.Millisecond // between the late heartbeats
	inTouchMargin = 100 * time.Millisecond
	servesFor     = 12 * time.Second // from the acknowledged departure to the target's end
	probeInterval = 50 * time.Millisecond
	probesEach    = 4 // requests of each VM's callers at once
	beatsTimeout  = 2500 * time.Millisecond
)

// lateBeats checks that a target that has left gets no request after its node was stopped and started again.
func lateBeats(d *deployment) (bool, error) {
	d.putPlan(1, []string{"pedidos"}, []config.Rule{route("orders", "/orders/", "pedidos", config.AtMostOnce, beatsTimeout)})
	var targets []*target
	for i, place := range [][2]string{{"costa-norte", "costa"}, {"costa-sur", "costa"}, {"llanos-arauca", "llanos"}, {"llanos-casanare", "llanos"}} {
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
	leaver := targets[2]
	leaver.beating.Store(false)
	// The last heartbeats are on their way and arrive late; they are numbered before the departure.
	var late []uint64
	for range beatsDelayed {
		time.Sleep(heartbeat)
		late = append(late, leaver.seq.Add(1))
		d.record("%s sends heartbeat %d, which is delayed", leaver.id, late[len(late)-1])
	}
	leaver.leaving.Store(true)
	status, err := leaver.deregister()
	if err != nil || status/100 != 2 {
		return false, fmt.Errorf("departure not acknowledged: status %d, %w", status, err)
	}
	ackAt := time.Now()
	d.record("the departure of %s is acknowledged", leaver.id)
	if d.trouble {
		if err := d.roll(rollGap, leaver.n, d.nodes[3]); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(d.nodes...); err != nil {
		return false, err
	}
	time.Sleep(contact + inTouchMargin)
	for _, seq := range late {
		status, err := leaver.sendBeat(seq)
		d.record("heartbeat %d of %s arrives: status %d, %v", seq, leaver.id, status, err)
		time.Sleep(beatsApart)
	}
	var wg sync.WaitGroup
	var broken atomic.Int32
	for end := ackAt.Add(servesFor); time.Now().Before(end); time.Sleep(probeInterval) {
		for i := range len(d.nodes) * probesEach {
			n := d.nodes[i%len(d.nodes)]
			wg.Go(func() {
				r := d.call(n, http.MethodPost, "/orders/new", "order", beatsTimeout)
				if leaver.ran(r.id) > 0 && r.sentAt.Sub(ackAt) > drain && n.inTouch(r.sentAt) && leaver.n.inTouch(r.sentAt) {
					broken.Add(1)
					d.record("DRAIN: %s runs %s, which was sent to %s %.3f s after the departure was acknowledged", leaver.id, r.id, n.name, r.sentAt.Sub(ackAt).Seconds())
				}
			})
		}
	}
	wg.Wait()
	d.record("%d requests reached %s later than %v after its departure was acknowledged, through nodes in touch", broken.Load(), leaver.id, drain)
	return broken.Load() > 0, nil
}
