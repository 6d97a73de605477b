package upgrade

import (
	"math"
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
)

const (
	stepsPerOctave = 4                      // time classes per doubling
	classes        = 64                     // time classes; they reach from shortest to 16 s
	shortest       = 250 * time.Microsecond // upper end of the lowest time class
	maxRoutes      = 64                     // routes that are counted apart; the answers of further ones count as those of route ""
)

// Counts are the answers of one target on one route since it was first counted.
type Counts struct {
	Answers int         `json:"n"`
	Bad     int         `json:"bad,omitempty"`   // failures among them
	Times   map[int]int `json:"times,omitempty"` // answers other than failures of warm targets, by time class
}

func (c *Counts) add(o Counts, sign int) {
	c.Answers += sign * o.Answers
	c.Bad += sign * o.Bad
	if c.Times == nil && len(o.Times) > 0 {
		c.Times = map[int]int{}
	}
	for class, n := range o.Times {
		c.Times[class] += sign * n
	}
}

// Report holds counts by route.
type Report map[config.RouteName]Counts

// Since returns what has been counted after an earlier report of the same tally.
func (r Report) Since(earlier Report) Report {
	d := Report{}
	for route, c := range r {
		e, delta := earlier[route], Counts{}
		delta.add(c, 1)
		delta.add(e, -1)
		if delta.Answers < 0 {
			return r // the tally has started anew
		}
		if delta.Answers > 0 {
			d[route] = delta
		}
	}
	return d
}

// Add adds the counts of another report.
func (r Report) Add(o Report) {
	for route, c := range o {
		sum := Counts{}
		sum.add(r[route], 1)
		sum.add(c, 1)
		r[route] = sum
	}
}

// Answers returns the number of answers on all routes.
func (r Report) Answers() int {
	n := 0
	for _, c := range r {
		n += c.Answers
	}
	return n
}

// Tally counts the answers of one target; it is safe for concurrent use.
type Tally struct {
	mu     sync.Mutex
	report Report
}

// NewTally returns an empty tally.
func NewTally() *Tally { return &Tally{report: Report{}} }

// Record counts an answer that took a time; the times of failures and of targets that are warming up are not compared.
func (t *Tally) Record(route config.RouteName, took time.Duration, bad, cold bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, known := t.report[route]
	if !known && len(t.report) >= maxRoutes {
		route = ""
		c = t.report[route]
	}
	c.Answers++
	switch {
	case bad:
		c.Bad++
	case !cold:
		if c.Times == nil {
			c.Times = map[int]int{}
		}
		c.Times[classOf(took)]++
	}
	t.report[route] = c
}

// Report returns a copy of the counts.
func (t *Tally) Report() Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	r := Report{}
	r.Add(t.report)
	return r
}

func classOf(d time.Duration) int {
	if d <= shortest {
		return 0
	}
	return min(int(math.Ceil(stepsPerOctave*math.Log2(float64(d)/float64(shortest)))), classes-1)
}
