package settings

import (
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
)

// Agent holds the settings of a node that runs on a platform, independent of the file format that they are read from.
type Agent struct {
	VM         fleet.NodeID
	DataCentre fleet.DataCentre
	Region     fleet.Region
	// Listen addresses for callers on the VM, other nodes, readiness checks, and the target's heartbeats.
	CallAddress, LinkAddress, ReadinessAddress, ControlAddress fleet.Address
	// AdvertisedAddress is the address at which other nodes reach LinkAddress.
	AdvertisedAddress fleet.Address
	// MetricsAddress is the listen address for metrics; it may be empty.
	MetricsAddress fleet.Address
	// Service is the service of the target on the VM, TargetAddress the address of that target.
	Service       config.ServiceName
	TargetAddress fleet.Address
	// StoreAddress is the address of the platform's store.
	StoreAddress fleet.Address
	// HeartbeatInterval is the time between two heartbeats of a target.
	HeartbeatInterval time.Duration
	// ShutdownGrace is the time from the termination signal until the process is killed.
	ShutdownGrace time.Duration
	// DrainPeriod is the time after a target announces its departure within which new calls to it must cease.
	DrainPeriod time.Duration
	// ApplyTime is the time after the store's acknowledgement within which a change has to be in force on all nodes.
	ApplyTime time.Duration
	// The retry budget of all nodes together: retries per window are limited to a ratio of the calls plus a constant slack.
	RetryBudgetRatio  float64
	RetryBudgetSlack  float64
	RetryBudgetWindow time.Duration
	// MemoryLimitBytes limits the memory of the process.
	MemoryLimitBytes int64
	// MaxDescriptors is the number of descriptors of the process; zero means that of the smallest VM.
	MaxDescriptors int
	// LinkBandwidth is the bandwidth of the VM's network link; zero means unknown.
	LinkBandwidth fleet.BitRate
	// QuotaWindow, QuotaOver and QuotaSlack are the tolerances of the tenants' limits: in any window all nodes together may admit
	// (limit x window + burst) x (1 + QuotaOver) + QuotaSlack requests of a tenant. They are zero where tenants have no limits.
	QuotaWindow           time.Duration
	QuotaOver, QuotaSlack float64
	// ExposeShare and ExposeSlack bound the requests that a bad version gets while it is rolled out by order: a share of all requests
	// of its service, plus a number. They are zero where no orders are followed.
	ExposeShare, ExposeSlack float64
	// RollbackTime is the time after the fiftieth bad answer of a version within which requests to it must cease.
	RollbackTime time.Duration
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
}
