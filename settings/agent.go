package settings

import (
	"time"

	"github.com/cassialead/cassialead/config"
	"github.com/cassialead/cassialead/fleet"
)

// Agent holds the settings of a node that runs on a platform, whatever their source.
type Agent struct {
	VM         fleet.NodeID
	DataCentre fleet.DataCentre
	Region     fleet.Region
	// Call takes callers on the VM, Link other nodes, Ready readiness checks, Local the target's heartbeats.
	Call, Link, Ready, Local fleet.Address
	// Advertised is the address under which other nodes reach Link.
	Advertised fleet.Address
	// Metrics serves counters; it may be empty.
	Metrics fleet.Address
	// Service and Target are the target that the VM hosts.
	Service config.ServiceName
	Target  fleet.Address
	// Store is the address of the platform's store.
	Store fleet.Address
	// Heartbeat is the time between two heartbeats of a target.
	Heartbeat time.Duration
	// Grace is the time from a request to end until the process is killed.
	Grace time.Duration
	// Drain is the time in which a target that leaves has to get no more new calls.
	Drain time.Duration
	// RepeatRatio, RepeatSlack and RepeatWindow bound the repeats of all nodes together.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
	// MemoryBytes is the memory that the process may use.
	MemoryBytes int64
	// LinkRate is what the VM's link carries; zero means that it is not known.
	LinkRate fleet.BitRate
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
}
