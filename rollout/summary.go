package rollout

import (
	"cmp"
	"slices"

	"github.com/cassialead/cassialead/config"
)

const (
	maxCounts   = 8 // versions told apart in a summary
	maxLaggards = 8 // names carried in a summary
)

// Count says how many nodes have a version in force.
type Count struct {
	Version config.Version `codec:"v" json:"version"`
	Nodes   int            `codec:"n" json:"nodes"`
}

// Laggard names a node with the version it has in force.
type Laggard struct {
	Node    string         `codec:"n" json:"node"`
	Version config.Version `codec:"v" json:"version"`
}

// Summary says which versions are in force on a node and all nodes below it.
type Summary struct {
	Counts   []Count   `codec:"c" json:"counts"` // by version, lowest first
	Laggards []Laggard `codec:"l,omitempty" json:"laggards,omitempty"`
}

// Own returns the summary of a single node.
func Own(node string, v config.Version) Summary {
	return Summary{Counts: []Count{{v, 1}}, Laggards: []Laggard{{node, v}}}
}

// Sum adds summaries and keeps the names of the nodes that are furthest behind; nodes at the highest version are not named.
func Sum(ss ...Summary) Summary {
	var out Summary
	for _, s := range ss {
		for _, c := range s.Counts {
			out.add(c)
		}
		out.Laggards = append(out.Laggards, s.Laggards...)
	}
	slices.SortFunc(out.Counts, func(a, b Count) int { return cmp.Compare(a.Version, b.Version) })
	for len(out.Counts) > maxCounts {
		out.Counts[0].Nodes += out.Counts[1].Nodes
		out.Counts = slices.Delete(out.Counts, 1, 2)
	}
	slices.SortFunc(out.Laggards, func(a, b Laggard) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Node, b.Node))
	})
	out.dropCurrent()
	out.Laggards = out.Laggards[:min(len(out.Laggards), maxLaggards)]
	return out
}

// dropCurrent leaves out the names of nodes at the highest version, except for one that stands for a uniform subtree.
func (s *Summary) dropCurrent() {
	if len(s.Laggards) < 2 {
		return
	}
	highest := s.Counts[len(s.Counts)-1].Version
	rest := slices.DeleteFunc(s.Laggards[1:], func(l Laggard) bool { return l.Version == highest })
	s.Laggards = s.Laggards[:1+len(rest)]
}

func (s *Summary) add(c Count) {
	for i := range s.Counts {
		if s.Counts[i].Version == c.Version {
			s.Counts[i].Nodes += c.Nodes
			return
		}
	}
	s.Counts = append(s.Counts, c)
}

// AtLeast returns how many nodes have v or a later version in force.
func (s Summary) AtLeast(v config.Version) int {
	n := 0
	for _, c := range s.Counts {
		if c.Version >= v {
			n += c.Nodes
		}
	}
	return n
}

// Nodes returns how many nodes the summary covers.
func (s Summary) Nodes() int {
	n := 0
	for _, c := range s.Counts {
		n += c.Nodes
	}
	return n
}

// Equal reports whether two summaries say the same.
func (s Summary) Equal(o Summary) bool {
	return slices.Equal(s.Counts, o.Counts) && slices.Equal(s.Laggards, o.Laggards)
}
