package door

import (
	"cmp"
	"slices"
	"sync/atomic"
)

const (
	bufferMemoryShare = 8         // the kernel's buffers of all connections may use 1/bufferMemoryShare of the process's memory
	firstReceived     = 128 << 10 // bytes that a new connection may hold unread
)

// Buffers bounds the memory that the kernel uses for the connections of a process. A zero limit means none.
type Buffers struct {
	limit Bytes
	grown atomic.Int64 // bytes by which the buffers may have grown since they were measured
}

// NewBuffers returns the bound of a process with the given memory.
func NewBuffers(memory Bytes) *Buffers { return &Buffers{limit: memory / bufferMemoryShare} }

// Admitted records a new connection and reports whether the buffers have to be measured.
func (b *Buffers) Admitted() bool { return b.Grew(firstReceived) }

// Grew records that buffers may have grown by n bytes, and reports whether they have to be measured.
func (b *Buffers) Grew(n int) bool {
	return b.limit > 0 && n > 0 && Bytes(b.grown.Add(int64(n))) >= b.limit/2
}

// Measuring records that the buffers are about to be measured.
func (b *Buffers) Measuring() { b.grown.Store(0) }

// Buffered is the memory that the kernel uses for one connection.
type Buffered[T any] struct {
	Conn  T
	Bytes Bytes
	// Known is set for a connection that is not expected to fill its buffers.
	Known bool
	// Keeps excludes a connection from those that are closed.
	Keeps bool
}

// Pressure says how near the buffers are to their limit.
type Pressure int

// The pressures.
const (
	Low      Pressure = iota
	Possible          // the connections could exceed the limit if all of them filled their buffers
	High              // more than half of the limit is in use
)

// Excess returns the connections to close so that the others stay within the limit, the largest first, and the pressure before that.
func Excess[T any](b *Buffers, all []Buffered[T]) (excess []T, p Pressure) {
	var sum, expected Bytes
	for _, c := range all {
		sum += c.Bytes
		if !c.Known {
			expected += firstReceived
		}
	}
	switch {
	case sum > b.limit/2:
		p = High
	case expected > b.limit:
		p = Possible
	}
	if sum <= b.limit {
		return nil, p
	}
	slices.SortFunc(all, func(x, y Buffered[T]) int { return cmp.Compare(y.Bytes, x.Bytes) })
	for _, c := range all {
		if sum <= b.limit {
			break
		}
		if !c.Keeps {
			excess = append(excess, c.Conn)
			sum -= c.Bytes
		}
	}
	return excess, p
}
