package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/cassialead/cassialead/platform"
	"github.com/cassialead/cassialead/soak"
)

// The figures of cutRegion.
const (
	regionCut      = 30 * time.Second
	regionSettles  = 15 * time.Second // from the end of the cut to the measurement
	regionMeasured = 25 * time.Second
	regionInterval = 50 * time.Millisecond // between two requests of one VM's callers
	regionTimeout  = 2 * time.Second
	regionMinimum  = 200 // requests that the rule needs
	regionOff      = 0.2 // by which a part's share may differ from its weight's
)

// cutRegion checks that a route's parts get their shares after the region of one of them was cut off for a while.
func cutRegion(d *deployment) (bool, error) {
	d.putSplitPlan()
	places := [][3]string{{"costa-norte", "costa", "catalogo"}, {"llanos-arauca", "llanos", "pedidos"}}
	parts := map[string]*target{}
	for i, p := range places {
		n, err := d.addNode(fmt.Sprintf("vm-%d", i), p[0], p[1], p[2], true)
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
		parts[p[2]] = t
	}
	if err := d.awaitReady(d.nodes...); err != nil {
		return false, err
	}
	time.Sleep(contact)
	d.measureSplit("before", parts, 3*time.Second)
	if d.trouble {
		d.record("llanos is cut off from costa and from the store")
		d.impairLlanos(soak.Impairment{BlockToServer: true, BlockToCaller: true})
		time.Sleep(regionCut)
		d.impairLlanos(soak.Impairment{})
		d.record("llanos is connected again")
	}
	time.Sleep(regionSettles)
	ran, total := d.measureSplit("after", parts, regionMeasured)
	served := 0
	for _, n := range ran {
		served += n
	}
	if total < regionMinimum || served == 0 {
		return false, fmt.Errorf("%d requests, %d served: too few", total, served)
	}
	share := float64(ran["pedidos"]) / float64(served)
	d.record("CHECK: pedidos has a weight of 0.50 and got a share of %.2f", share)
	return share < 0.5-regionOff || share > 0.5+regionOff, nil
}

// impairLlanos impairs the links between the two regions, which have one VM each, and from llanos to the store.
func (d *deployment) impairLlanos(i soak.Impairment) {
	for _, n := range d.nodes {
		n.nodeLink.SetImpairment(i)
		if n.region == "llanos" {
			n.storeLink.SetImpairment(i)
		}
	}
}

// measureSplit sends requests through the node of costa and returns how many each part has run.
func (d *deployment) measureSplit(when string, parts map[string]*target, period time.Duration) (ran map[string]int, total int) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	ran = map[string]int{}
	statuses := map[int]int{}
	for end := time.Now().Add(period); time.Now().Before(end); time.Sleep(regionInterval) {
		wg.Go(func() {
			r := d.call(d.nodes[0], http.MethodGet, "/stock/1", "", regionTimeout)
			mu.Lock()
			defer mu.Unlock()
			total++
			statuses[r.status]++
			for part, t := range parts {
				ran[part] += t.ran(r.id)
			}
		})
	}
	wg.Wait()
	d.record("CHECK: %s: %d requests, by status %v, run by part %v", when, total, statuses, ran)
	return ran, total
}

// putSplitPlan writes a configuration with one route, whose requests are split evenly between two services.
func (d *deployment) putSplitPlan() {
	plan := map[string]any{"version": 1,
		"services": map[string]any{"columns": []string{"name", "healthPath", "maxConns"}, "rows": [][]any{{"catalogo", healthPath, 120}, {"pedidos", healthPath, 120}}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
		"routes": map[string]any{"columns": []string{"name", "host", "prefix", "kind", "timeoutS", "targetLatencyS", "priority", "weightedClusters", "maxAttempts", "service"},
			"rows": [][]any{{"stock", host, "/stock/", "safe", regionTimeout.Seconds(), 0.6, 2,
				[]map[string]any{{"service": "catalogo", "weight": 50}, {"service": "pedidos", "weight": 50}}, 2, nil}}}}
	b, err := json.Marshal(plan)
	if err != nil {
		panic(err) // can't happen: the message holds only strings and numbers
	}
	d.store.Put(string(platform.PlanKey), b)
	d.record("operator: version 1 acknowledged by the store")
}
