package dispatch

import (
	"hash/maphash"
	"sync"
	"time"
)

const (
	deadlineTolerance = 20 * time.Millisecond // apparent shift of a caller's deadline between two submissions of a request
	sweepInterval     = time.Second           // between two removals of requests whose deadline has passed
	maxUnserved       = 8192                  // recorded submissions; beyond that, resubmissions count as first submissions
)

// resubmissions recognises requests that a caller submits again after they were not served. A caller keeps its deadline across
// submissions: an equal request with the same deadline is assumed to come from the same caller, and its soft deadline counts from the
// first submission.
type resubmissions struct {
	seed     maphash.Seed
	mu       sync.Mutex
	unserved map[requestKey][]submission
	recorded int // submissions in unserved
	sweptAt  time.Time
}

func newResubmissions() resubmissions {
	return resubmissions{seed: maphash.MakeSeed(), unserved: map[requestKey][]submission{}}
}

// requestKey is a hash of a request's method, host, URI and size: a record must not hold the bytes of its request. Two requests with the same
// hash are taken for one only if their deadlines agree as well.
type requestKey uint64

type submission struct {
	receivedAt, deadline time.Time
}

func (r *resubmissions) key(in *Request) requestKey {
	return requestKey(maphash.Comparable(r.seed, struct {
		method, host, uri string
		bodyBytes         int
	}{in.Method, in.Host, in.URI, len(in.Body)}))
}

// record stores a request that was first received at a time and has not been served.
func (r *resubmissions) record(in *Request, firstReceivedAt, now time.Time) {
	if in.Timeout <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sweep(now)
	if r.recorded >= maxUnserved {
		return
	}
	r.recorded++
	k := r.key(in)
	r.unserved[k] = append(r.unserved[k], submission{firstReceivedAt, in.ReceivedAt.Add(in.Timeout)})
}

// firstReceivedAt returns when the first submission of a request was received, and removes its record. A request without a
// record is a first submission.
func (r *resubmissions) firstReceivedAt(in *Request) time.Time {
	if in.Timeout <= 0 {
		return in.ReceivedAt
	}
	deadline := in.ReceivedAt.Add(in.Timeout)
	r.mu.Lock()
	defer r.mu.Unlock()
	k := r.key(in)
	earlier := r.unserved[k]
	for i, s := range earlier {
		if s.deadline.Sub(deadline).Abs() <= deadlineTolerance {
			r.recorded--
			earlier[i] = earlier[len(earlier)-1]
			if r.unserved[k] = earlier[:len(earlier)-1]; len(earlier) == 1 {
				delete(r.unserved, k)
			}
			return s.receivedAt
		}
	}
	return in.ReceivedAt
}

// sweep removes requests whose deadline has passed; mu must be held.
func (r *resubmissions) sweep(now time.Time) {
	if now.Sub(r.sweptAt) < sweepInterval {
		return
	}
	r.sweptAt = now
	for k, recorded := range r.unserved {
		kept := recorded[:0]
		for _, s := range recorded {
			if now.Before(s.deadline) {
				kept = append(kept, s)
			}
		}
		r.recorded -= len(recorded) - len(kept)
		if r.unserved[k] = kept; len(kept) == 0 {
			delete(r.unserved, k)
		}
	}
}
