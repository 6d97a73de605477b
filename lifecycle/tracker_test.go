package lifecycle_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/lifecycle"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

var later = lifecycle.StartTime(now.Add(time.Second).UnixMilli())

func ready(id lifecycle.ID, startTime lifecycle.StartTime, sequence uint64) lifecycle.Heartbeat {
	return lifecycle.Heartbeat{ID: id, StartTime: startTime, Sequence: sequence, Service: "drafts", Address: "192.0.2.1:80", Slots: 9}
}

func draining(id lifecycle.ID, startTime lifecycle.StartTime, sequence uint64) lifecycle.Heartbeat {
	h := ready(id, startTime, sequence)
	h.Draining = true
	return h
}

// Events in the life of a target.
type (
	deregistered struct {
		id        lifecycle.ID
		startTime lifecycle.StartTime
	}
	healthy  struct{ id lifecycle.ID }
	refusing struct{ id lifecycle.ID }
	restored struct {
		id        lifecycle.ID
		startTime lifecycle.StartTime
	}
	replaced struct{ id lifecycle.ID }
	leaving  struct{ id lifecycle.ID }
)

var _ = Describe("the target tracker", func() {
	cases := map[string]struct {
		steps []any
		id    lifecycle.ID
		state lifecycle.State
	}{
		"the first heartbeat alone does not open it":                                            {[]any{ready("a", 1, 1)}, "a", lifecycle.Unknown},
		"two heartbeats do not open it":                                                         {[]any{ready("a", 1, 1), ready("a", 1, 2)}, "a", lifecycle.Unknown},
		"a health check after the second heartbeat opens it":                                    {[]any{ready("a", 1, 1), ready("a", 1, 2), healthy{"a"}}, "a", lifecycle.Open},
		"a later start replaces one that was not seen running and is not opened either":         {[]any{ready("a", 1, 1), ready("b", 2, 1)}, "b", lifecycle.Unknown},
		"draining applies although a heartbeat of another writer has raised its sequence":       {[]any{healthy{"a"}, ready("a", 1, 1000), draining("a", 1, 3)}, "a", lifecycle.Leaving},
		"draining of an earlier start does not apply":                                           {[]any{healthy{"a"}, ready("a", 2, 1), draining("a", 1, 3)}, "a", lifecycle.Open},
		"a health check opens it":                                                               {[]any{ready("a", 1, 1), healthy{"a"}}, "a", lifecycle.Open},
		"a health check of another target does not":                                             {[]any{ready("a", 1, 1), healthy{"b"}}, "a", lifecycle.Unknown},
		"the same heartbeat twice does not open it":                                             {[]any{ready("a", 1, 4), ready("a", 1, 4)}, "a", lifecycle.Unknown},
		"a delayed heartbeat does not undo draining":                                            {[]any{ready("a", 1, 1), ready("a", 1, 2), draining("a", 1, 4), ready("a", 1, 3)}, "a", lifecycle.Leaving},
		"a later heartbeat does not undo draining":                                              {[]any{ready("a", 1, 1), ready("a", 1, 2), draining("a", 1, 4), ready("a", 1, 5)}, "a", lifecycle.Leaving},
		"a health check does not undo draining":                                                 {[]any{ready("a", 1, 1), draining("a", 1, 2), healthy{"a"}}, "a", lifecycle.Leaving},
		"deregistration closes it":                                                              {[]any{ready("a", 1, 1), ready("a", 1, 2), deregistered{"a", 1}}, "a", lifecycle.Leaving},
		"deregistration without a start time closes it":                                         {[]any{ready("a", 1, 1), ready("a", 1, 2), deregistered{"a", 0}}, "a", lifecycle.Leaving},
		"deregistration of an earlier start does not close it":                                  {[]any{healthy{"a"}, ready("a", 2, 2), deregistered{"a", 1}}, "a", lifecycle.Open},
		"deregistration of another target does not close it":                                    {[]any{healthy{"a"}, ready("a", 2, 2), deregistered{"b", 3}}, "a", lifecycle.Open},
		"a delayed heartbeat does not undo a deregistration":                                    {[]any{deregistered{"a", 1}, ready("a", 1, 1), ready("a", 1, 2)}, "", lifecycle.Unknown},
		"a later start with the same id opens again":                                            {[]any{ready("a", 1, 1), deregistered{"a", 1}, ready("a", 2, 1)}, "a", lifecycle.Open},
		"a delayed heartbeat of an earlier start is ignored":                                    {[]any{healthy{"b"}, ready("b", 2, 2), ready("a", 1, 9)}, "b", lifecycle.Open},
		"a later start replaces an earlier one":                                                 {[]any{healthy{"a"}, ready("a", 1, 1), ready("b", 2, 1)}, "b", lifecycle.Open},
		"a departure is kept across a restart of the node":                                      {[]any{restored{"a", 1}, ready("a", 1, 7), ready("a", 1, 8)}, "", lifecycle.Unknown},
		"a restored departure does not apply to a later start":                                  {[]any{restored{"a", 1}, ready("a", 2, 1), healthy{"a"}}, "a", lifecycle.Open},
		"a target that refuses connections is down":                                             {[]any{ready("a", 1, 1), healthy{"a"}, refusing{"a"}}, "a", lifecycle.Down},
		"a heartbeat reopens a target that is down":                                             {[]any{ready("a", 1, 1), healthy{"a"}, refusing{"a"}, ready("a", 1, 2)}, "a", lifecycle.Open},
		"a target is removed when another one answers at its address":                           {[]any{ready("a", 1, 1), healthy{"a"}, replaced{"a"}, ready("a", 1, 2)}, "", lifecycle.Unknown},
		"a health check alone opens a target that sent no heartbeat":                            {[]any{healthy{"a"}}, "a", lifecycle.Open},
		"a departure without a start time applies to a target that is not known yet":            {[]any{deregistered{"a", 0}, ready("a", 1, 1), ready("a", 1, 2)}, "", lifecycle.Unknown},
		"a target replaced before its start time was known stays away":                          {[]any{healthy{"a"}, replaced{"a"}, ready("a", 1, 1), ready("a", 1, 2)}, "", lifecycle.Unknown},
		"a start after a departure without a start time opens again":                            {[]any{healthy{"a"}, leaving{"a"}, ready("a", later, 1)}, "a", lifecycle.Open},
		"a heartbeat of the start that left before its start time was known does not reopen it": {[]any{healthy{"a"}, leaving{"a"}, ready("a", 1, 1), ready("a", 1, 2)}, "a", lifecycle.Leaving},
		"a heartbeat after the health check keeps it open":                                      {[]any{healthy{"a"}, ready("a", 1, 3)}, "a", lifecycle.Open},
	}
	for name, c := range cases {
		It(name, func() {
			tracker := lifecycle.NewTracker()
			for _, step := range c.steps {
				switch s := step.(type) {
				case lifecycle.Heartbeat:
					tracker.HandleHeartbeat(s, now)
				case deregistered:
					tracker.Deregister(s.id, s.startTime, now)
				case healthy:
					tracker.HandleHealthCheck(s.id, true, 9, "drafts", "192.0.2.1:80")
				case refusing:
					tracker.MarkDown(s.id)
				case restored:
					tracker.Restore(s.id, s.startTime, lifecycle.Leaving, now)
				case replaced:
					tracker.MarkReplaced(s.id, now)
				case leaving:
					tracker.MarkLeaving(s.id, 0, now)
				}
			}
			Expect(tracker.Target().ID).To(Equal(c.id))
			Expect(tracker.Target().State).To(Equal(c.state))
		})
	}
	foreign := map[string]struct {
		steps []lifecycle.Heartbeat
		h     lifecycle.Heartbeat
		want  bool
	}{
		"of the target itself":                                {[]lifecycle.Heartbeat{ready("a", 1, 1)}, ready("a", 1, 2), false},
		"of another target":                                   {[]lifecycle.Heartbeat{ready("a", 1, 1)}, ready("b", 2, 1), false},
		"of another target without a start time":              {[]lifecycle.Heartbeat{ready("a", 1, 1)}, ready("b", 0, 2), true},
		"of another target while none has named a start time": {nil, ready("b", 0, 2), false},
		"of a later start":                                    {[]lifecycle.Heartbeat{ready("a", 1, 1)}, ready("a", 2, 1), false},
		"without a start time while one is known":             {[]lifecycle.Heartbeat{ready("a", 1, 1)}, ready("a", 0, 1000), true},
		"without a start time while none is known":            {nil, ready("a", 0, 1000), false},
		"of another service":                                  {[]lifecycle.Heartbeat{ready("a", 1, 1)}, lifecycle.Heartbeat{ID: "a", StartTime: 1, Sequence: 1000, Service: "orders"}, true},
		"of another service for an unknown target":            {nil, lifecycle.Heartbeat{ID: "b", StartTime: 1, Sequence: 1, Service: "orders"}, false},
		"of another address for the same start":               {[]lifecycle.Heartbeat{ready("a", 1, 1)}, lifecycle.Heartbeat{ID: "a", StartTime: 1, Sequence: 1000, Service: "drafts", Address: "192.0.2.9:80"}, true},
		"of another address while no start time is known":     {nil, lifecycle.Heartbeat{ID: "a", StartTime: 1, Sequence: 1, Service: "drafts", Address: "192.0.2.9:80"}, false},
		"of another address for a later start":                {[]lifecycle.Heartbeat{ready("a", 1, 1)}, lifecycle.Heartbeat{ID: "a", StartTime: 2, Sequence: 1, Service: "drafts", Address: "192.0.2.9:80"}, false},
		"of another service after the target's end":           {[]lifecycle.Heartbeat{ready("a", 1, 1), draining("a", 1, 2)}, lifecycle.Heartbeat{ID: "a", StartTime: 1, Sequence: 3, Service: "orders"}, true},
	}
	for name, c := range foreign {
		It("tells a heartbeat of another writer: "+name, func() {
			tracker := lifecycle.NewTracker()
			tracker.HandleHealthCheck("a", true, 9, "drafts", "192.0.2.1:80")
			for _, h := range c.steps {
				tracker.HandleHeartbeat(h, now)
			}
			Expect(tracker.Contradicts(c.h)).To(Equal(c.want))
		})
	}
})
