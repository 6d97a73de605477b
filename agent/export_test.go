package agent

import "time"

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
