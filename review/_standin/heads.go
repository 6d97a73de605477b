package main

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/member"
	"github.com/cassialead/cassialead/soak"
)

// The figures of turnedAway.
const (
	awayRounds   = 6
	awayPeriod   = 4500 * time.Millisecond
	awayPause    = 9 * time.Second       // between two rounds
	awayChange   = 50 * time.Millisecond // from the start of a round to the change of the configuration
	awayWatched  = 3500 * time.Millisecond
	awayInterval = 50 * time.Millisecond // between two requests to each node
	awayTimeout  = 2 * time.Second
)

// turnedAway checks how soon a change is in force at the nodes that the store serves, while it is silent towards two others.
func turnedAway(d *deployment) (bool, error) {
	rules := []config.Rule{route("stock", "/stock/", "catalogo", config.Idempotent, awayTimeout)}
	d.putPlan(1, []string{"catalogo"}, rules)
	for i, p := range [][2]string{{"costa-norte", "costa"}, {"costa-norte", "costa"}, {"costa-norte", "costa"}, {"costa-sur", "costa"}, {"costa-sur", "costa"},
		{"costa-sur", "costa"}, {"llanos-arauca", "llanos"}, {"llanos-casanare", "llanos"}} {
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
	away, served := d.splitHeads("costa")
	if len(away) != 2 {
		return false, fmt.Errorf("%d heads in place of two", len(away))
	}
	broken := 0
	for round := range awayRounds {
		time.Sleep(awayPause)
		if d.trouble {
			for _, n := range away {
				d.record("the store is silent towards %s and serves the others", n.name)
				n.storeLink.SetImpairment(soak.Impairment{BlockToServer: true, BlockToCaller: true})
			}
		}
		end := time.Now().Add(awayPeriod)
		time.Sleep(awayChange)
		prefix := fmt.Sprintf("/added-%d/", round)
		rules = append(rules, route(fmt.Sprintf("added-%d", round), prefix, "catalogo", config.Idempotent, awayTimeout))
		d.putPlan(round+2, []string{"catalogo"}, rules)
		broken += d.probeAdded(served, prefix, time.Now())
		time.Sleep(time.Until(end))
		for _, n := range away {
			n.storeLink.SetImpairment(soak.Impairment{})
		}
	}
	d.record("CHECK: %d requests on added routes were refused with 404 later than %v after the acknowledgement, by nodes that the store served", broken, apply)
	return broken > 0, nil
}

// splitHeads returns the two nodes of a region that watch the store for it, and all other nodes.
func (d *deployment) splitHeads(region string) (heads, others []*node) {
	var members []member.Member
	for _, n := range d.nodes {
		members = append(members, member.Member{Record: member.Record{Node: fleet.NodeID(n.name), Region: fleet.Region(n.region), DataCentre: fleet.DataCentre(n.zone),
			LinkBandwidth: 1e9}})
	}
	for _, n := range d.nodes {
		p := member.Locate(members, fleet.NodeID(n.name), func(fleet.NodeID) bool { return true })
		if n.region == region && p.Parent == nil {
			heads = append(heads, n)
		} else {
			others = append(others, n)
		}
	}
	return heads, others
}

// probeAdded sends requests on a route that was just added to each node, and returns how many were refused too late.
func (d *deployment) probeAdded(nodes []*node, prefix string, ackAt time.Time) int {
	var wg sync.WaitGroup
	var broken atomic.Int32
	for end := ackAt.Add(awayWatched); time.Now().Before(end); time.Sleep(awayInterval) {
		for _, n := range nodes {
			wg.Go(func() {
				r := d.call(n, http.MethodGet, prefix+"1", "", awayTimeout)
				if r.status == http.StatusNotFound && r.sentAt.Sub(ackAt) > apply {
					broken.Add(1)
					d.record("CONFIG: %s refuses %s with 404, sent %.3f s after the version with its route was acknowledged", n.name, r.id, r.sentAt.Sub(ackAt).Seconds())
				}
			})
		}
	}
	wg.Wait()
	return int(broken.Load())
}
