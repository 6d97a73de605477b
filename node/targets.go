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
	registrationTTL = 6 * time.Second // time without a heartbeat after which a target is deregistered
	maxSlots        = 100_000
)

// Registration is the registration of a target on this VM, in JSON; the target repeats it as its heartbeat.
type Registration struct {
	Service config.ServiceName `json:"service"`
	// Address is the target's listening address on this VM.
	Address fleet.Address `json:"address"`
	Slots   int           `json:"slots"`
	// MaxConnections is the maximum number of connections to the target; zero means unlimited.
	MaxConnections int  `json:"connections"`
	Draining       bool `json:"draining"`
	// EchoesAttemptID reports whether the target returns the attempt id of each call in its response.
	EchoesAttemptID bool `json:"echo"`
}

type registeredTarget struct {
	Registration
	heartbeatAt time.Time
	// drainRequested reports whether an operator has drained the target; it stays set until the target is deregistered.
	drainRequested bool
}

// targetRegistry holds the registrations of the targets on this VM, which expire without heartbeats.
type targetRegistry struct {
	now        func() time.Time
	onChange   func([]fleet.Target)
	mu         sync.Mutex
	registered map[config.ServiceName]registeredTarget
}

var _ gateway.Targets = (*targetRegistry)(nil)

func newTargetRegistry(now func() time.Time, onChange func([]fleet.Target)) *targetRegistry {
	return &targetRegistry{now: now, onChange: onChange, registered: map[config.ServiceName]registeredTarget{}}
}

// Target returns the target of a service on this VM.
func (t *targetRegistry) Target(s config.ServiceName) (gateway.LocalTarget, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	reg, ok := t.registered[s]
	return gateway.LocalTarget{Service: s, Address: reg.Address, Slots: reg.Slots, MaxConnections: reg.MaxConnections,
		Draining: reg.Draining, EchoesAttemptID: reg.EchoesAttemptID}, ok
}

func (t *targetRegistry) register(reg Registration) {
	t.mu.Lock()
	old, exists := t.registered[reg.Service]
	reg.Draining = reg.Draining || old.drainRequested
	t.registered[reg.Service] = registeredTarget{reg, t.now(), old.drainRequested}
	t.mu.Unlock()
	if !exists || old.Slots != reg.Slots || old.Draining != reg.Draining {
		t.onChange(t.accepting())
	}
}

func (t *targetRegistry) deregister(s config.ServiceName) {
	t.mu.Lock()
	_, exists := t.registered[s]
	delete(t.registered, s)
	t.mu.Unlock()
	if exists {
		t.onChange(t.accepting())
	}
}

// drain marks all registered targets as draining.
func (t *targetRegistry) drain() {
	t.mu.Lock()
	for s, reg := range t.registered {
		reg.Draining, reg.drainRequested = true, true
		t.registered[s] = reg
	}
	t.mu.Unlock()
	t.onChange(t.accepting())
}

func (t *targetRegistry) expire() {
	t.mu.Lock()
	var expired []config.ServiceName
	for s, reg := range t.registered {
		if t.now().Sub(reg.heartbeatAt) > registrationTTL {
			expired = append(expired, s)
		}
	}
	t.mu.Unlock()
	for _, s := range expired {
		t.deregister(s)
	}
}

// accepting returns the targets that accept new calls.
func (t *targetRegistry) accepting() []fleet.Target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var ts []fleet.Target
	for s, reg := range t.registered {
		if !reg.Draining {
			ts = append(ts, fleet.Target{Service: s, Slots: reg.Slots})
		}
	}
	slices.SortFunc(ts, func(a, b fleet.Target) int { return cmp.Compare(a.Service, b.Service) })
	return ts
}

func (t *targetRegistry) serveRegister(w http.ResponseWriter, r *http.Request) {
	var reg Registration
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, 64<<10)).Decode(&reg); err != nil {
		http.Error(w, "target registration: "+err.Error(), http.StatusBadRequest)
		return
	}
	if reg.Service == "" || reg.Address == "" || reg.Slots < 1 || reg.Slots > maxSlots {
		http.Error(w, "target registration: service, address and slots between 1 and 100000 are required", http.StatusBadRequest)
		return
	}
	t.register(reg)
}
