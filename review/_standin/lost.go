package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/config"
)

// The figures of lostAnswers.
const (
	lostRouteTimeout = 2500 * time.Millisecond // of the route
	lostCallerWaits  = 3000 * time.Millisecond // Timeout-Ms
	lostLate         = 500 * time.Millisecond  // after the route's timeout, by when the caller must have its answer
	lostShare        = 0.3                     // of the requests that a target runs, while its answers are lost
	lostTargets      = 2                       // of three
	lostPeriod       = 6 * time.Second
	lostInterval     = 30 * time.Millisecond // between two requests of one VM's callers
	lostBodyBytes    = 1200                  // of an order
	lostAnswerBytes  = 5000                  // of its answer
	lostMinimum      = 8                     // requests without a final answer from which the rule is broken
)

// lostAnswers checks what callers get whose request was run and whose target's answer is lost.
func lostAnswers(d *deployment) (bool, error) {
	d.putPlan(1, []string{"pedidos", "catalogo"}, []config.Rule{route("orders", "/orders/", "pedidos", config.AtMostOnce, lostRouteTimeout)})
	var lossy atomic.Bool
	zones := [][2]string{{"costa-norte", "costa"}, {"costa-sur", "costa"}, {"llanos-arauca", "llanos"}}
	for i, s := range []string{"pedidos", "pedidos", "pedidos", "catalogo", "catalogo", "catalogo"} {
		n, err := d.addNode(fmt.Sprintf("vm-%d", i), zones[i%3][0], zones[i%3][1], s, false)
		if err != nil {
			return false, err
		}
		if err := n.launch(); err != nil {
			return false, err
		}
		t, err := d.addTarget(n, fmt.Sprintf("i-%d", i), 40*time.Millisecond)
		if err != nil {
			return false, err
		}
		t.padding = lostAnswerBytes
		if i >= lostTargets {
			continue
		}
		t.answer = func(_ *targetConn, r *http.Request) bool {
			if !lossy.Load() || rand.Float64() >= lostShare {
				return false
			}
			id := r.Header.Get("Request-Id")
			t.run(id)
			d.record("the answer of %s to %s is lost", t.id, id)
			return true
		}
	}
	if err := d.awaitReady(d.nodes...); err != nil {
		return false, err
	}
	time.Sleep(contact)
	if d.trouble {
		lossy.Store(true)
		d.record("the answers of two of three targets begin to be lost")
	}
	var wg sync.WaitGroup
	var replies sync.Map
	end := time.Now().Add(lostPeriod)
	for time.Now().Before(end) {
		for _, n := range d.nodes {
			wg.Go(func() {
				r := d.call(n, http.MethodPost, "/orders/new", strings.Repeat("o", lostBodyBytes), lostCallerWaits)
				replies.Store(r.id, r)
			})
		}
		time.Sleep(lostInterval)
	}
	lossy.Store(false)
	wg.Wait()
	ended, over, late := 0, 0, 0
	replies.Range(func(_, v any) bool {
		r := v.(reply)
		if r.status == http.StatusGatewayTimeout {
			ended++
		}
		if r.took > lostRouteTimeout {
			over++
		}
		if r.took >= lostRouteTimeout+lostLate {
			late++
		}
		return true
	})
	d.record("%d requests were ended with 504; %d had no answer at their route's timeout, and %d none %v after it", ended, over, late, lostLate)
	return late >= lostMinimum && 4*late > over+ended && 2*late > over, nil
}
