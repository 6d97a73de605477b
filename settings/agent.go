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
	Call, Link, Ready, Local fleet.Address
	// Advertised is the address at which other nodes reach LinkAddress.
	Advertised fleet.Address
	// Metrics is the listen address for metrics; it may be empty.
	Metrics fleet.Address
	// Service is the service of the target on the VM, TargetAddress the address of that target.
	Service config.ServiceName
	Target  fleet.Address
	// Store is the address of the platform's store.
	Store fleet.Address
	// Heartbeat is the time between two heartbeats of a target.
	Heartbeat time.Duration
	// Grace is the time from the termination signal until the process is killed.
	Grace time.Duration
	// Drain is the time after a target announces its departure within which new calls to it must cease.
	Drain time.Duration
	// The retry budget of all nodes together: retries per window are limited to a ratio of the calls plus a constant slack.
	RepeatRatio  float64
	RepeatSlack  float64
	RepeatWindow time.Duration
	// MemoryBytes limits the memory of the process.
	MemoryBytes int64
	// LinkRate is the bandwidth of the VM's network link; zero means unknown.
	LinkRate fleet.BitRate
	// MinLease is the shortest lease that the store grants.
	MinLease time.Duration
}
