package node

import (
	"cmp"
	"encoding/json"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/gateway"
)

const (
	announcementLife = 6 * time.Second // a target that stops announcing itself is withdrawn after this
	maxSlots         = 100_000
)

// Announcement is what a target on this VM says about itself, in JSON.
type Announcement struct {
	Service config.ServiceName `json:"service"`
	// Address is where the target listens on this VM.
	Address fleet.Address `json:"address"`
	Slots   int           `json:"slots"`
	// Connections bounds the connections to the target; zero means no bound.
	Connections int  `json:"connections"`
	Draining    bool `json:"draining"`
	// Echo says that the target returns each call's attempt id.
	Echo bool `json:"echo"`
}

type announced struct {
	Announcement
	renewed time.Time
	// drained says that an operator has asked the target to leave; only a withdrawal ends that.
	drained bool
}

// targets keeps the announcements of the targets on this VM.
type targets struct {
	now     func() time.Time
	changed func([]fleet.Target)
	mu      sync.Mutex
	known   map[config.ServiceName]announced
}

var _ gateway.Targets = (*targets)(nil)

func newTargets(now func() time.Time, changed func([]fleet.Target)) *targets {
	return &targets{now: now, changed: changed, known: map[config.ServiceName]announced{}}
}

// Target returns the target of a service on this VM.
func (t *targets) Target(s config.ServiceName) (gateway.LocalTarget, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	a, ok := t.known[s]
	return gateway.LocalTarget{Service: s, Address: a.Address, Slots: a.Slots, Connections: a.Connections,
		Draining: a.Draining, Echo: a.Echo}, ok
}

func (t *targets) announce(a Announcement) {
	t.mu.Lock()
	old, known := t.known[a.Service]
	a.Draining = a.Draining || old.drained
	t.known[a.Service] = announced{a, t.now(), old.drained}
	t.mu.Unlock()
	if !known || old.Slots != a.Slots || old.Draining != a.Draining {
		t.changed(t.list())
	}
}

func (t *targets) withdraw(s config.ServiceName) {
	t.mu.Lock()
	_, known := t.known[s]
	delete(t.known, s)
	t.mu.Unlock()
	if known {
		t.changed(t.list())
	}
}

// drain marks every target as leaving.
func (t *targets) drain() {
	t.mu.Lock()
	for s, a := range t.known {
		a.Draining, a.drained = true, true
		t.known[s] = a
	}
	t.mu.Unlock()
	t.changed(t.list())
}

func (t *targets) expire() {
	t.mu.Lock()
	var lapsed []config.ServiceName
	for s, a := range t.known {
		if t.now().Sub(a.renewed) > announcementLife {
			lapsed = append(lapsed, s)
		}
	}
	t.mu.Unlock()
	for _, s := range lapsed {
		t.withdraw(s)
	}
}

// list returns the targets that take new work.
func (t *targets) list() []fleet.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ts []fleet.Target
	for s, a := range t.known {
		if !a.Draining {
			ts = append(ts, fleet.Target{Service: s, Slots: a.Slots})
		}
	}
	slices.SortFunc(ts, func(a, b fleet.Target) int { return cmp.Compare(a.Service, b.Service) })
	return ts
}

func (t *targets) serveAnnounce(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&a); err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	if a.Service == "" || a.Address == "" || a.Slots < 1 || a.Slots > maxSlots {
		http.Error(w, "announcement: service, address and slots from 1 are required", http.StatusBadRequest)
		return
	}
	t.announce(a)
}
