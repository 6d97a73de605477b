package control

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
	"github.com/cassialead/cassialead/rollout"
)

// Intervals, timeouts and limits of the control protocol.
const (
	TickInterval         = 100 * time.Millisecond
	heartbeatInterval    = 500 * time.Millisecond
	heartbeatTimeout     = 2 * time.Second
	antiEntropyInterval  = 30 * time.Second
	leaseTTL             = 10 * time.Second
	leaseRenewInterval   = 3 * time.Second
	listLeadersInterval  = 30 * time.Second
	suspectDelay         = 1500 * time.Millisecond
	probeSweepDelay      = 5 * time.Second
	probeSweepBatch      = 2 // probes per tick while the version summary lacks nodes
	backoffBase          = 200 * time.Millisecond
	backoffCap           = 5 * time.Second
	discoveryTimeout     = 1500 * time.Millisecond
	discoveryJitter      = 2 * time.Second
	minVersionWait       = 3 * time.Second
	updateResendInterval = 400 * time.Millisecond
	maxResendDoublings   = 5
	resendsPerDoubling   = 5 // updates sent at one interval before it doubles, since an update may simply have been lost
	goneRetention        = 10 * time.Minute
	maxDistance          = 8
	fullSyncsPerSecond   = 25
)

// Settings holds a node's initial record and the addresses of the seed nodes that it joins through.
type Settings struct {
	Record fleet.Record
	Seeds  []fleet.Address
}

// Core is the state machine of one node; it is not safe for concurrent use.
type Core struct {
	now     time.Time
	rng     *rand.Rand
	self    fleet.Record
	seeds   []fleet.Address
	fleet   *fleet.Fleet
	replica *rollout.Replica
	actions []Action

	links             map[LinkID]*link
	lastLink          LinkID
	startedAt         time.Time
	discoveryDeadline time.Time

	parent              *link
	backup              *link
	backoffs            map[fleet.NodeID]*backoff
	bootstrap           backoff
	suggestedParents    []fleet.NodeID
	minVersionKnownFrom map[fleet.NodeID]bool // neighbours that have sent their MinVersion

	store             storeState
	pendingRecords    []pendingRecord
	suspectedSince    map[fleet.NodeID]time.Time
	summaryCompleteAt time.Time // at the root: last time the summary covered all nodes
	sweepIndex        int
	goneSince         map[fleet.NodeID]time.Time
	highestVersion    map[fleet.NodeID]config.Version
	lastAck           rollout.Summary
	fullSyncs         int
	fullSyncsSince    time.Time
	nextAntiEntropy   time.Time

	wasReady          bool
	wasRoot           bool
	publishedRevision uint64
}

// storeState tracks a root's requests to the store and their results.
type storeState struct {
	leaseHeld        bool
	leaseInFlight    bool
	nextLeaseRequest time.Time
	leaseExpiry      time.Time
	watchInFlight    bool
	nextWatch        time.Time
	watchBackoff     backoff
	nextListLeaders  time.Time
	listedLeaders    []fleet.Record
	behind           bool
	needSnapshot     bool // the next watch requests the full document
}

// New returns the state machine of a node that starts at now without configuration or records of other nodes.
func New(s Settings, now time.Time, rng *rand.Rand) *Core {
	c := &Core{
		now: now, rng: rng, self: s.Record, seeds: s.Seeds, startedAt: now, summaryCompleteAt: now,
		fleet: fleet.New(), replica: rollout.NewReplica(),
		links: map[LinkID]*link{}, backoffs: map[fleet.NodeID]*backoff{},
		minVersionKnownFrom: map[fleet.NodeID]bool{}, suspectedSince: map[fleet.NodeID]time.Time{},
		goneSince: map[fleet.NodeID]time.Time{}, highestVersion: map[fleet.NodeID]config.Version{},
	}
	c.discoveryDeadline = now.Add(discoveryTimeout + c.jitter(discoveryJitter))
	c.nextAntiEntropy = now.Add(c.jitter(antiEntropyInterval))
	c.fleet.Merge(c.self)
	return c
}

// Step processes an event at the given time and returns the actions to execute, in order.
func (c *Core) Step(now time.Time, e Event) []Action {
	c.now = now
	c.actions = nil
	switch e := e.(type) {
	case Tick:
		c.handleTick()
	case LinkOpened:
		c.handleLinkOpened(e.Link)
	case LinkClosed:
		c.handleLinkClosed(e.Link)
	case Received:
		c.handleMessage(e.Link, e.Message)
	case LeaseResult:
		c.handleLeaseResult(e)
	case HeadResult:
		c.handleHeadResult(e)
	case LeadersResult:
		c.handleLeadersResult(e)
	case ProbeResult:
		c.handleProbeResult(e)
	case TargetsChanged:
		c.updateOwnRecord(func(r *fleet.Record) { r.Targets = e.Targets })
	case Leave:
		c.handleLeave()
	case Shutdown:
		c.handleShutdown()
	}
	c.emitChanges()
	return c.actions
}

func (c *Core) emit(a Action) { c.actions = append(c.actions, a) }

func (c *Core) log(message, detail string) { c.emit(LogEntry{Message: message, Detail: detail}) }

func (c *Core) jitter(limit time.Duration) time.Duration {
	return time.Duration(c.rng.Int64N(int64(limit) + 1))
}

func (c *Core) handleTick() {
	c.maintainLinks()
	c.maintainParents()
	c.maintainStoreRequests()
	c.maintainPeers()
	c.maintainSuspects()
	c.flushRecords()
	c.sendAck()
	c.antiEntropy()
}

// emitChanges emits Publish if records changed and logs changes of readiness and of the root role.
func (c *Core) emitChanges() {
	if r := c.fleet.Revision(); r != c.publishedRevision {
		c.publishedRevision = r
		c.emit(Publish{})
	}
	if ready := c.Ready(); ready != c.wasReady {
		c.wasReady = ready
		if ready {
			c.log("node ready", formatVersion(c.replica.Version()))
		} else {
			c.log("node not ready", formatVersion(c.replica.Version()))
		}
	}
	if root := c.isRoot(); root != c.wasRoot {
		c.wasRoot = root
		if root {
			c.log("became tree root", string(c.self.DataCentre))
		} else {
			c.log("no longer tree root", string(c.self.DataCentre))
		}
	}
}

// Ready reports whether the node may serve: the minimum version is known and the active version has reached it.
func (c *Core) Ready() bool {
	return c.replica.Ready() && c.minVersionKnown()
}

func (c *Core) minVersionKnown() bool {
	if len(c.minVersionKnownFrom) >= 2 || c.now.Sub(c.startedAt) >= minVersionWait {
		return len(c.minVersionKnownFrom) >= 1 || c.isRoot()
	}
	otherNodes := 0
	for _, id := range c.topology().Ranked {
		if id != c.self.Node {
			otherNodes++
		}
	}
	return otherNodes <= len(c.minVersionKnownFrom) && (c.isRoot() || c.parent != nil)
}

// Config returns the active configuration, or nil, and its lineage and version.
func (c *Core) Config() (*config.Config, ConfigRef) {
	return c.replica.Config(), c.activeConfig()
}

// Document returns the source document of the active configuration, or nil.
func (c *Core) Document() config.Document {
	update, _ := c.replica.UpdateFor("", 0)
	return update.Document
}

// Records returns the records of all known nodes, ordered by node.
func (c *Core) Records() []fleet.Record { return c.fleet.All() }

// Self returns the node's own record.
func (c *Core) Self() fleet.Record { return c.self }

// Summary returns the active versions on this node and its subtree.
func (c *Core) Summary() rollout.Summary {
	summaries := []rollout.Summary{rollout.NodeSummary(string(c.self.Node), c.replica.Version())}
	for _, l := range c.sortedLinks() {
		if l.inbound && l.role == RoleChild && l.accepted {
			summaries = append(summaries, l.summary)
		}
	}
	return rollout.Sum(summaries...)
}

// Status describes a node's configuration, its position in the tree and its view of the fleet.
type Status struct {
	Record       fleet.Record    `json:"record"`
	Lineage      config.Lineage  `json:"lineage"`
	Version      config.Version  `json:"version"`
	MinVersion   config.Version  `json:"floor"`
	Ready        bool            `json:"ready"`
	Root         bool            `json:"root"`
	LeaseHeld    bool            `json:"lease"`
	Parent       fleet.NodeID    `json:"parent,omitempty"`
	BackupParent fleet.NodeID    `json:"spare,omitempty"`
	Children     int             `json:"children"`
	Distance     int             `json:"distance"`
	KnownNodes   int             `json:"known"`
	StoreBehind  bool            `json:"store_behind"`
	Summary      rollout.Summary `json:"summary"`
	// DataCentreNodes is the number of live nodes in the data centre.
	DataCentreNodes int            `json:"members"`
	NodeStates      map[string]int `json:"states"`
	Leaders         []fleet.Record `json:"leads"`
}

// Status returns the node's current status.
func (c *Core) Status() Status {
	s := Status{
		Record: c.self, Lineage: c.replica.Lineage(), Version: c.replica.Version(), MinVersion: c.replica.MinVersion(),
		Ready: c.Ready(), Root: c.isRoot(), LeaseHeld: c.store.leaseHeld, Distance: c.distance(),
		KnownNodes: c.fleet.Len(), StoreBehind: c.store.behind, Summary: c.Summary(), DataCentreNodes: len(c.topology().Ranked),
		NodeStates: map[string]int{},
	}
	if c.parent != nil {
		s.Parent = c.parent.node
	}
	if c.backup != nil {
		s.BackupParent = c.backup.node
	}
	for _, l := range c.links {
		if l.inbound && l.accepted && l.role == RoleChild {
			s.Children++
		}
	}
	for _, r := range c.fleet.All() {
		s.NodeStates[r.State.String()]++
	}
	for _, r := range c.fleet.Leaders() {
		s.Leaders = append(s.Leaders, r)
	}
	slices.SortFunc(s.Leaders, func(a, b fleet.Record) int {
		if a.DataCentre < b.DataCentre {
			return -1
		}
		return 1
	})
	return s
}

func (c *Core) activeConfig() ConfigRef {
	return ConfigRef{Lineage: c.replica.Lineage(), Version: c.replica.Version()}
}

func (c *Core) topology() *fleet.Topology { return c.fleet.Topology(c.self.DataCentre) }
