package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/soak"
)

// The figures of storeBacklog.
const (
	backlogRoutes   = 4000 // of the configuration, which stays below the store's limit of 1 MiB
	backlogCut      = 5500 * time.Millisecond
	backlogGap      = 180 * time.Millisecond // between two versions while the node is cut off
	backlogStorm    = 5 * time.Second
	backlogHistory  = 20 * time.Second       // that the store keeps
	backlogSpacing  = 700 * time.Millisecond // between two versions after the cut
	backlogWatched  = 3 * time.Second        // after each of them
	backlogInterval = 50 * time.Millisecond
	backlogTimeout  = 2 * time.Second
)

// storeBacklog checks how soon changes are in force at a node that has missed many versions.
func storeBacklog(d *deployment) (bool, error) {
	rules := []config.Rule{route("stock", "/stock/", "catalogo", config.Idempotent, backlogTimeout)}
	for i := range backlogRoutes {
		rules = append(rules, route(fmt.Sprintf("r-%d", i), fmt.Sprintf("/idle%d/", i), "catalogo", config.Idempotent, backlogTimeout))
	}
	version := 1
	put := func() time.Time {
		d.putPlan(version, []string{"catalogo"}, rules)
		version++
		return time.Now()
	}
	put()
	for i, p := range [][2]string{{"costa-norte", "costa"}, {"costa-sur", "costa"}, {"llanos-arauca", "llanos"}} {
		n, err := d.addNode(fmt.Sprintf("vm-%d", i), p[0], p[1], "catalogo", true)
		if err != nil {
			return false, err
		}
		if err := n.launch(); err != nil {
			return false, err
		}
		if _, err := d.addTarget(n, fmt.Sprintf("i-%d", i), 20*time.Millisecond); err != nil {
			return false, err
		}
	}
	if err := d.awaitReady(d.nodes...); err != nil {
		return false, err
	}
	time.Sleep(2 * contact)
	cut := d.nodes[2]
	cutAt := time.Now()
	if d.trouble {
		d.record("%s is partitioned from the store", cut.name)
		cut.storeLink.SetImpairment(soak.Impairment{BlockToServer: true, BlockToCaller: true})
	}
	for time.Since(cutAt) < backlogStorm {
		put()
		time.Sleep(backlogGap)
	}
	time.Sleep(time.Until(cutAt.Add(backlogCut)))
	cut.storeLink.SetImpairment(soak.Impairment{})
	d.record("%s reaches the store again", cut.name)
	time.Sleep(contact)
	var wg sync.WaitGroup
	var broken atomic.Int32
	for i := 0; time.Since(cutAt) < backlogHistory-backlogWatched; i++ {
		prefix := fmt.Sprintf("/added-%d/", i)
		rules = append(rules, route(fmt.Sprintf("added-%d", i), prefix, "catalogo", config.Idempotent, backlogTimeout))
		ackAt := put()
		wg.Go(func() {
			for time.Sleep(apply); time.Since(ackAt) < backlogWatched; time.Sleep(backlogInterval) {
				r := d.call(cut, http.MethodGet, prefix+"1", "", backlogTimeout)
				if r.status == http.StatusNotFound && r.sentAt.Sub(ackAt) > apply {
					broken.Add(1)
					d.record("CONFIG: %s refuses %s with 404, sent %.3f s after the version with its route was acknowledged", cut.name, r.id, r.sentAt.Sub(ackAt).Seconds())
				}
			}
		})
		time.Sleep(backlogSpacing)
	}
	wg.Wait()
	d.record("CHECK: %d requests on added routes were refused with 404 later than %v after the acknowledgement", broken.Load(), apply)
	return broken.Load() > 0, nil
}
