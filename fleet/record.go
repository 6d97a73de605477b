package fleet

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialead/cassialead/config"
)

// NodeID identifies a node; it is the name of its VM.
type NodeID string

// DataCentre is the name of a data centre.
type DataCentre string

// Region is the name of a region.
type Region string

// BitRate is a bandwidth in bits per second.
type BitRate float64

// Address is an IP address with a port.
type Address string

// Incarnation identifies one start of a node; it is the start time in Unix milliseconds.
type Incarnation uint64

// Sequence counts the changes of a record within an incarnation.
type Sequence uint64

// Term orders successive leaders of a data centre; it is the store index of the lease entry.
type Term uint64

// State is the lifecycle state of a node: serving, leaving or gone.
type State uint8

// The states of a node.
const (
	Serving State = iota
	Leaving
	Gone
)

// String returns the state's name.
func (s State) String() string {
	switch s {
	case Serving:
		return "serving"
	case Leaving:
		return "leaving"
	}
	return "gone"
}

// Target is the registration of a target with the node on its VM.
type Target struct {
	Service config.ServiceName `codec:"s" json:"service"`
	Slots   int                `codec:"n" json:"slots"`
}

// Record is the state that a node publishes about itself; only the node itself increments its sequence.
type Record struct {
	Node        NodeID      `codec:"n" json:"node"`
	Incarnation Incarnation `codec:"i" json:"incarnation"`
	Sequence    Sequence    `codec:"q" json:"sequence"`
	State       State       `codec:"s" json:"state"`
	DataCentre  DataCentre  `codec:"d" json:"data_centre"`
	Region      Region      `codec:"r" json:"region"`
	// Addresses on which the node accepts calls and links from other nodes.
	CallAddress Address  `codec:"c" json:"call"`
	LinkAddress Address  `codec:"l" json:"link"`
	Targets     []Target `codec:"t,omitempty" json:"targets,omitempty"`
	// LeaderTerm is the term in which the node leads its data centre; zero if it does not.
	LeaderTerm Term `codec:"e,omitempty" json:"lead,omitempty"`
}

// Supersedes reports whether r replaces o: the later incarnation wins, then the later sequence, then state Gone.
func (r Record) Supersedes(o Record) bool {
	if r.Incarnation != o.Incarnation {
		return r.Incarnation > o.Incarnation
	}
	if r.Sequence != o.Sequence {
		return r.Sequence > o.Sequence
	}
	return r.State == Gone && o.State != Gone
}

// Live reports whether the node has not been declared gone.
func (r Record) Live() bool { return r.State != Gone }

func (r Record) hash() uint64 {
	var b [17]byte
	binary.LittleEndian.PutUint64(b[:], uint64(r.Incarnation))
	binary.LittleEndian.PutUint64(b[8:], uint64(r.Sequence))
	if r.State == Gone {
		b[16] = 1
	}
	h := xxhash.New()
	_, _ = h.WriteString(string(r.Node))
	_, _ = h.Write(b[:])
	return h.Sum64()
}

// DigestBuckets is the number of hash buckets that records are divided into for anti-entropy.
const DigestBuckets = 128

// Digests holds one digest per bucket, the XOR of the hashes of its records.
type Digests [DigestBuckets]uint64

func bucketOf(n NodeID) int { return int(xxhash.Sum64String(string(n)) % DigestBuckets) }

// Fleet is a node's replica of all records; it is not safe for concurrent use.
type Fleet struct {
	records map[NodeID]Record
	digests Digests
	// revision counts all changes to records.
	revision   uint64
	topologies map[DataCentre]*Topology
	// leaders caches the result of Leaders as of leadersRevision.
	leaders         map[DataCentre]Record
	leadersRevision uint64
}

// New returns an empty fleet.
func New() *Fleet {
	return &Fleet{records: map[NodeID]Record{}, topologies: map[DataCentre]*Topology{}}
}

// Merge stores a record if it supersedes the stored one and reports whether it did.
func (f *Fleet) Merge(r Record) bool {
	old, known := f.records[r.Node]
	if known && !r.Supersedes(old) {
		return false
	}
	b := bucketOf(r.Node)
	if known {
		f.digests[b] ^= old.hash()
	}
	f.digests[b] ^= r.hash()
	f.records[r.Node] = r
	f.revision++
	if !known || old.State != r.State || old.LeaderTerm != r.LeaderTerm || old.DataCentre != r.DataCentre {
		delete(f.topologies, r.DataCentre)
		delete(f.topologies, old.DataCentre)
	}
	return true
}

// Remove deletes a node's record; used for nodes that have been gone for a long time.
func (f *Fleet) Remove(n NodeID) {
	if old, ok := f.records[n]; ok {
		f.digests[bucketOf(n)] ^= old.hash()
		delete(f.records, n)
		f.revision++
	}
}

// Get returns a node's record.
func (f *Fleet) Get(n NodeID) (Record, bool) {
	r, ok := f.records[n]
	return r, ok
}

// Len returns the number of records, including those of gone nodes.
func (f *Fleet) Len() int { return len(f.records) }

// Revision returns a counter that increases with every change to a record.
func (f *Fleet) Revision() uint64 { return f.revision }

// Digests returns the digests of all records.
func (f *Fleet) Digests() Digests { return f.digests }

// All returns all records, ordered by node.
func (f *Fleet) All() []Record {
	return f.filter(func(Record) bool { return true })
}

// Differing returns the records in the buckets whose digest differs from d.
func (f *Fleet) Differing(d Digests) []Record {
	if d == f.digests {
		return nil
	}
	return f.filter(func(r Record) bool {
		b := bucketOf(r.Node)
		return f.digests[b] != d[b]
	})
}

func (f *Fleet) filter(keep func(Record) bool) []Record {
	var rs []Record
	for _, r := range f.records {
		if keep(r) {
			rs = append(rs, r)
		}
	}
	slices.SortFunc(rs, func(a, b Record) int {
		if a.Node < b.Node {
			return -1
		}
		return 1
	})
	return rs
}
