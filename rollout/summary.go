package rollout

import (
	"cmp"
	"slices"

	"github.com/cassialead/cassialead/config"
)

const (
	maxVersionCounts = 8 // distinct versions in a summary
	maxLaggards      = 8 // laggards listed in a summary
)

// VersionCount is the number of nodes that have a version in force.
type VersionCount struct {
	Version config.Version `codec:"v" json:"version"`
	Nodes   int            `codec:"n" json:"nodes"`
}

// Laggard is a node whose version in force is behind, with that version.
type Laggard struct {
	Node    string         `codec:"n" json:"node"`
	Version config.Version `codec:"v" json:"version"`
}

// Summary counts the versions in force on a node and on all nodes below it in the tree.
type Summary struct {
	Counts   []VersionCount `codec:"c" json:"counts"` // by version, ascending
	Laggards []Laggard      `codec:"l,omitempty" json:"laggards,omitempty"`
}

// NodeSummary returns the summary of a single node.
func NodeSummary(node string, v config.Version) Summary {
	return Summary{Counts: []VersionCount{{v, 1}}, Laggards: []Laggard{{node, v}}}
}

// Sum merges summaries and lists the nodes that are furthest behind; nodes at the highest version are not listed.
func Sum(ss ...Summary) Summary {
	var out Summary
	for _, s := range ss {
		for _, c := range s.Counts {
			out.addCount(c)
		}
		out.Laggards = append(out.Laggards, s.Laggards...)
	}
	slices.SortFunc(out.Counts, func(a, b VersionCount) int { return cmp.Compare(a.Version, b.Version) })
	for len(out.Counts) > maxVersionCounts {
		out.Counts[0].Nodes += out.Counts[1].Nodes
		out.Counts = slices.Delete(out.Counts, 1, 2)
	}
	slices.SortFunc(out.Laggards, func(a, b Laggard) int {
		return cmp.Or(cmp.Compare(a.Version, b.Version), cmp.Compare(a.Node, b.Node))
	})
	out.dropUpToDate()
	out.Laggards = out.Laggards[:min(len(out.Laggards), maxLaggards)]
	return out
}

// dropUpToDate removes the nodes at the highest version from the laggards, except for the first laggard, which represents the
// subtree if all of its nodes have the same version.
func (s *Summary) dropUpToDate() {
	if len(s.Laggards) < 2 {
		return
	}
	highest := s.Counts[len(s.Counts)-1].Version
	rest := slices.DeleteFunc(s.Laggards[1:], func(l Laggard) bool { return l.Version == highest })
	s.Laggards = s.Laggards[:1+len(rest)]
}

func (s *Summary) addCount(c VersionCount) {
	for i := range s.Counts {
		if s.Counts[i].Version == c.Version {
			s.Counts[i].Nodes += c.Nodes
			return
		}
	}
	s.Counts = append(s.Counts, c)
}

// AtLeast returns the number of nodes that have v or a later version in force.
func (s Summary) AtLeast(v config.Version) int {
	n := 0
	for _, c := range s.Counts {
		if c.Version >= v {
			n += c.Nodes
		}
	}
	return n
}

// Nodes returns the number of nodes that the summary covers.
func (s Summary) Nodes() int {
	n := 0
	for _, c := range s.Counts {
		n += c.Nodes
	}
	return n
}

// Equal reports whether two summaries are equal.
func (s Summary) Equal(o Summary) bool {
	return slices.Equal(s.Counts, o.Counts) && slices.Equal(s.Laggards, o.Laggards)
}
