package lifecycle

import "time"

// Departures records targets that have left, by the latest start time of each; it is not safe for concurrent use.
type Departures struct {
	startTimes map[ID]StartTime
	limit      int
}

// NewDepartures returns an empty record that is cleared when it would hold more than limit targets.
func NewDepartures(limit int) Departures {
	return Departures{startTimes: map[ID]StartTime{}, limit: limit}
}

// Add records that a target has left. If its start time is unknown, all starts up to now have left.
func (d *Departures) Add(id ID, startTime StartTime, now time.Time) {
	if startTime == 0 {
		startTime = StartTime(now.UnixMilli())
	}
	if len(d.startTimes) >= d.limit {
		clear(d.startTimes)
	}
	if startTime >= d.startTimes[id] {
		d.startTimes[id] = startTime
	}
}

// Contains reports whether the target has left since this start; a later start of the same target has not.
func (d *Departures) Contains(id ID, startTime StartTime) bool {
	left, ok := d.startTimes[id]
	return ok && startTime <= left
}
