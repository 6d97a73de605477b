package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/rollout"
)

// The timing of control traffic.
const (
	TickInterval       = 100 * time.Millisecond
	beatInterval       = 500 * time.Millisecond
	silenceLimit       = 2 * time.Second
	antiEntropyPeriod  = 30 * time.Second
	leaseTTL           = 10 * time.Second
	leaseRenewal       = 3 * time.Second
	listLeadsPeriod    = 30 * time.Second
	suspectDelay       = 1500 * time.Millisecond
	sweepDelay         = 5 * time.Second
	sweepBatch         = 2 // probes per tick while nodes are missing from the summary
	retryBase          = 200 * time.Millisecond
	retryCap           = 5 * time.Second
	joinAloneAfter     = 1500 * time.Millisecond
	joinAloneJitter    = 2 * time.Second
	floorWait          = 3 * time.Second
	offerResend        = 400 * time.Millisecond
	maxResendDoublings = 5
	resendsPerDoubling = 5 // offers that may simply have been lost before they are spaced out
	forgetGone         = 10 * time.Minute
	maxDistance        = 8
	fullSyncsPerSecond = 25
)

// Settings identify a node and say where it may enter the fleet.
type Settings struct {
	Record fleet.Record
	Seeds  []fleet.Address
}

// Core is the state machine of one node.
type Core struct {
	now    time.Time
	rng    *rand.Rand
	self   fleet.Record
	seeds  []fleet.Address
	fleet  *fleet.Fleet
	holder *rollout.Holder
	out    []Action

	links    map[LinkID]*link
	nextLink LinkID
	started  time.Time
	aloneAt  time.Time

	parent   *link
	spare    *link
	retry    map[fleet.NodeID]*backoff
	entry    backoff
	assigned []fleet.NodeID
	answered map[fleet.NodeID]bool // neighbours that have told their floor

	store    storeState
	pending  []pendingRecord
	suspects map[fleet.NodeID]time.Time
	missing  time.Time // since when the summary has lacked nodes, at the root
	sweep    int
	goneAt   map[fleet.NodeID]time.Time
	seen     map[fleet.NodeID]config.Version
	acked    rollout.Summary
	syncs    int
	syncsAt  time.Time
	entropy  time.Time

	lastReady bool
	lastRoot  bool
	published uint64
}

// storeState is what a root knows about its dealings with the store.
type storeState struct {
	leaseHeld  bool
	leaseAsked bool
	leaseNext  time.Time
	leaseUntil time.Time
	watching   bool
	watchNext  time.Time
	watchTries backoff
	leadsNext  time.Time
	listed     []fleet.Record
	behind     bool
	whole      bool // the next watch asks for the whole document
}

// New returns the state machine of a node that starts at now and holds nothing.
func New(s Settings, now time.Time, rng *rand.Rand) *Core {
	c := &Core{
		now: now, rng: rng, self: s.Record, seeds: s.Seeds, started: now, missing: now,
		fleet: fleet.New(), holder: rollout.New(),
		links: map[LinkID]*link{}, retry: map[fleet.NodeID]*backoff{},
		answered: map[fleet.NodeID]bool{}, suspects: map[fleet.NodeID]time.Time{},
		goneAt: map[fleet.NodeID]time.Time{}, seen: map[fleet.NodeID]config.Version{},
	}
	c.aloneAt = now.Add(joinAloneAfter + c.jitter(joinAloneJitter))
	c.entropy = now.Add(c.jitter(antiEntropyPeriod))
	c.fleet.Merge(c.self)
	return c
}

// Step takes an event at a time and returns what has to be done.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.now = now
	c.out = nil
	switch e := e.(type) {
	case Tick:
		c.tick()
	case LinkOpened:
		c.linkOpened(e.Link)
	case LinkClosed:
		c.linkClosed(e.Link)
	case Received:
		c.received(e.Link, e.Message)
	case LeaseResult:
		c.leaseResult(e)
	case HeadSeen:
		c.headSeen(e)
	case LeadsSeen:
		c.leadsSeen(e)
	case ProbeResult:
		c.probeResult(e)
	case TargetsChanged:
		c.updateSelf(func(r *fleet.Record) { r.Targets = e.Targets })
	case Leave:
		c.leave()
	case Shutdown:
		c.shutdown()
	}
	c.publish()
	return c.out
}

func (c *Core) do(a Action) { c.out = append(c.out, a) }

func (c *Core) report(change, detail string) { c.do(Report{Change: change, Detail: detail}) }

func (c *Core) jitter(most time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(most) + 1))
}

func (c *Core) tick() {
	c.maintainLinks()
	c.maintainParents()
	c.maintainStore()
	c.maintainPeers()
	c.maintainSuspects()
	c.flushRecords()
	c.sendAck()
	c.antiEntropy()
}

// publish tells the data path about changes that matter to it.
func (c *Core) publish() {
	if r := c.fleet.Revision(); r != c.published {
		c.published = r
		c.do(Publish{})
	}
	if ready := c.Ready(); ready != c.lastReady {
		c.lastReady = ready
		if ready {
			c.report("ready", versionText(c.holder.Version()))
		} else {
			c.report("not ready", versionText(c.holder.Version()))
		}
	}
	if root := c.isRoot(); root != c.lastRoot {
		c.lastRoot = root
		if root {
			c.report("root", string(c.self.DataCentre))
		} else {
			c.report("not root", string(c.self.DataCentre))
		}
	}
}

// Ready reports whether the node may serve: its version is at or above the floor, and the floor has been asked for.
func (c *Core) Ready() bool {
	return c.holder.Ready() && c.floorKnown()
}

func (c *Core) floorKnown() bool {
	if len(c.answered) >= 2 || c.now.Sub(c.started) >= floorWait {
		return len(c.answered) >= 1 || c.isRoot()
	}
	others := 0
	for _, id := range c.order().Ranked {
		if id != c.self.Node {
			others++
		}
	}
	return others <= len(c.answered) && (c.isRoot() || c.parent != nil)
}

// Config returns the configuration in force, or nil, with its version.
func (c *Core) Config() (*config.Config, Held) {
	return c.holder.Config(), c.held()
}

// Document returns the operators' document in force, or nil.
func (c *Core) Document() config.Document {
	o, _ := c.holder.Offer("", 0)
	return o.Document
}

// Records returns the records of all nodes known.
func (c *Core) Records() []fleet.Record { return c.fleet.All() }

// Self returns the node's own record.
func (c *Core) Self() fleet.Record { return c.self }

// Summary returns the versions in force on this node and those below it.
func (c *Core) Summary() rollout.Summary {
	all := []rollout.Summary{rollout.Own(string(c.self.Node), c.holder.Version())}
	for _, l := range c.sortedLinks() {
		if l.inbound && l.role == RoleChild && l.greeted {
			all = append(all, l.summary)
		}
	}
	return rollout.Sum(all...)
}

// Status describes a node's place in the fleet.
type Status struct {
	Record   fleet.Record    `json:"record"`
	Lineage  config.Lineage  `json:"lineage"`
	Version  config.Version  `json:"version"`
	Floor    config.Version  `json:"floor"`
	Ready    bool            `json:"ready"`
	Root     bool            `json:"root"`
	Lease    bool            `json:"lease"`
	Parent   fleet.NodeID    `json:"parent,omitempty"`
	Spare    fleet.NodeID    `json:"spare,omitempty"`
	Children int             `json:"children"`
	Distance int             `json:"distance"`
	Known    int             `json:"known"`
	Behind   bool            `json:"store_behind"`
	Summary  rollout.Summary `json:"summary"`
	// Members counts the live nodes of the data centre.
	Members int            `json:"members"`
	States  map[string]int `json:"states"`
	Leads   []fleet.Record `json:"leads"`
}

// Status returns the node's place in the fleet.
func (c *Core) Status() Status {
	s := Status{
		Record: c.self, Lineage: c.holder.Lineage(), Version: c.holder.Version(), Floor: c.holder.Floor(),
		Ready: c.Ready(), Root: c.isRoot(), Lease: c.store.leaseHeld, Distance: c.distance(),
		Known: c.fleet.Len(), Behind: c.store.behind, Summary: c.Summary(), Members: len(c.order().Ranked), States: map[string]int{},
	}
	if c.parent != nil {
		s.Parent = c.parent.node
	}
	if c.spare != nil {
		s.Spare = c.spare.node
	}
	for _, l := range c.links {
		if l.inbound && l.greeted && l.role == RoleChild {
			s.Children++
		}
	}
	for _, r := range c.fleet.All() {
		s.States[r.State.String()]++
	}
	for _, r := range c.fleet.Leads() {
		s.Leads = append(s.Leads, r)
	}
	slices.SortFunc(s.Leads, func(a, b fleet.Record) int {
		if a.DataCentre < b.DataCentre {
			return -1
		}
		return 1
	})
	return s
}

func (c *Core) held() Held {
	return Held{Lineage: c.holder.Lineage(), Version: c.holder.Version()}
}

func (c *Core) order() *fleet.Order { return c.fleet.Order(c.self.DataCentre) }
