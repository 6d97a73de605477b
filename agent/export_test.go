package agent

import (
	"time"

	"github.com/cassialead/cassialead/fleet"
)

// The times of a node's state, for tests.
const (
	MaxTreeDepth      = maxTreeDepth
	WatchInterval     = watchInterval
	KeepaliveInterval = keepaliveInterval
	AgeSlack          = ageSlack
	ReadReserve       = readReserve
)

// NewSyncTimes returns the times that follow from a bound, for tests.
var NewSyncTimes = newSyncTimes

func (t syncTimes) Watch() time.Duration            { return t.watch }
func (t syncTimes) ReadAge(depth int) time.Duration { return t.readAge(depth) }

// Exclude lets a node follow no parent of the given name for a time, as it does after that was disconnected from the store.
func (a *Agent) Exclude(n fleet.NodeID, d time.Duration) { a.exclude(n, d) }
