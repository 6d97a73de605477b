package lifecycle_test

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/cassialead/cassialead/lifecycle"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func ready(id lifecycle.ID, born lifecycle.Born, sequence uint64) lifecycle.Heartbeat {
	return lifecycle.Heartbeat{ID: id, Born: born, Sequence: sequence, Service: "drafts", Address: "192.0.2.1:80", Slots: 9}
}

func draining(id lifecycle.ID, born lifecycle.Born, sequence uint64) lifecycle.Heartbeat {
	h := ready(id, born, sequence)
	h.Draining = true
	return h
}

// The steps of a target's life.
type (
	departs struct {
		id   lifecycle.ID
		born lifecycle.Born
	}
	healthy  struct{ id lifecycle.ID }
	fails    struct{ id lifecycle.ID }
	restored struct {
		id   lifecycle.ID
		born lifecycle.Born
	}
	replaced struct{ id lifecycle.ID }
)

var _ = Describe("the life of a target", func() {
	cases := map[string]struct {
		steps []any
		id    lifecycle.ID
		state lifecycle.State
	}{
		"the first heartbeat alone proves nothing":              {[]any{ready("a", 1, 1)}, "a", lifecycle.Unknown},
		"the second heartbeat opens it":                         {[]any{ready("a", 1, 1), ready("a", 1, 2)}, "a", lifecycle.Open},
		"a health check opens it":                               {[]any{ready("a", 1, 1), healthy{"a"}}, "a", lifecycle.Open},
		"a health check of another target does not":             {[]any{ready("a", 1, 1), healthy{"b"}}, "a", lifecycle.Unknown},
		"the same heartbeat twice does not open it":             {[]any{ready("a", 1, 4), ready("a", 1, 4)}, "a", lifecycle.Unknown},
		"draining is kept against a late heartbeat":             {[]any{ready("a", 1, 1), ready("a", 1, 2), draining("a", 1, 4), ready("a", 1, 3)}, "a", lifecycle.Leaving},
		"draining is kept against a later heartbeat":            {[]any{ready("a", 1, 1), ready("a", 1, 2), draining("a", 1, 4), ready("a", 1, 5)}, "a", lifecycle.Leaving},
		"draining is kept against a health check":               {[]any{ready("a", 1, 1), draining("a", 1, 2), healthy{"a"}}, "a", lifecycle.Leaving},
		"a departure closes it":                                 {[]any{ready("a", 1, 1), ready("a", 1, 2), departs{"a", 1}}, "a", lifecycle.Leaving},
		"a departure without a birth closes it":                 {[]any{ready("a", 1, 1), ready("a", 1, 2), departs{"a", 0}}, "a", lifecycle.Leaving},
		"a departure of an earlier start does not close it":     {[]any{ready("a", 2, 1), ready("a", 2, 2), departs{"a", 1}}, "a", lifecycle.Open},
		"a departure of another target does not close it":       {[]any{ready("a", 2, 1), ready("a", 2, 2), departs{"b", 3}}, "a", lifecycle.Open},
		"a late heartbeat does not undo a departure":            {[]any{departs{"a", 1}, ready("a", 1, 1), ready("a", 1, 2)}, "", lifecycle.Unknown},
		"the same id opens again after another birth":           {[]any{ready("a", 1, 1), departs{"a", 1}, ready("a", 2, 1)}, "a", lifecycle.Open},
		"a late heartbeat of an earlier start changes nothing":  {[]any{ready("b", 2, 1), ready("b", 2, 2), ready("a", 1, 9)}, "b", lifecycle.Open},
		"a later start takes the place of an earlier one":       {[]any{ready("a", 1, 1), ready("b", 2, 1)}, "b", lifecycle.Open},
		"a departure from before a restart of the node is kept": {[]any{restored{"a", 1}, ready("a", 1, 7), ready("a", 1, 8)}, "", lifecycle.Unknown},
		"what was restored does not bind another birth":         {[]any{restored{"a", 1}, ready("a", 2, 1), ready("a", 2, 2)}, "a", lifecycle.Open},
		"a target without connections is down":                  {[]any{ready("a", 1, 1), healthy{"a"}, fails{"a"}}, "a", lifecycle.Down},
		"a heartbeat opens it again":                            {[]any{ready("a", 1, 1), healthy{"a"}, fails{"a"}, ready("a", 1, 2)}, "a", lifecycle.Open},
		"a target whose address another one has is gone":        {[]any{ready("a", 1, 1), healthy{"a"}, replaced{"a"}, ready("a", 1, 2)}, "", lifecycle.Unknown},
		"a health check alone opens a target that never spoke":  {[]any{healthy{"a"}}, "a", lifecycle.Open},
		"a heartbeat after the health check keeps it open":      {[]any{healthy{"a"}, ready("a", 1, 3)}, "a", lifecycle.Open},
	}
	for name, c := range cases {
		It(name, func() {
			l := lifecycle.NewLife()
			for _, step := range c.steps {
				switch s := step.(type) {
				case lifecycle.Heartbeat:
					l.Hear(s, now)
				case departs:
					l.Depart(s.id, s.born)
				case healthy:
					l.Health(s.id, true, 9, "drafts", "192.0.2.1:80")
				case fails:
					l.Fail(s.id)
				case restored:
					l.Restore(s.id, s.born, lifecycle.Leaving)
				case replaced:
					l.Replaced(s.id)
				}
			}
			Expect(l.Occupant().ID).To(Equal(c.id))
			Expect(l.Occupant().State).To(Equal(c.state))
		})
	}
})
