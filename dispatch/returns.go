package dispatch

import (
	"sync"
	"time"
)

const (
	returnSlack  = 20 * time.Millisecond // by which a caller's deadline seems to move between two tries of a request
	returnsSwept = time.Second           // between two looks at requests whose deadline has passed
	mostReturns  = 8192                  // requests that are remembered; more are taken for first tries when they come back
)

// returns recognises the further tries of requests that were not served: a caller that comes back for the same thing keeps its
// deadline, so the same request with the same end of its time is the same caller's, and its aim counts from its first try.
type returns struct {
	mu    sync.Mutex
	tries map[requestKey][]firstTry
	swept time.Time
}

type requestKey struct {
	method, host, uri string
	length            int
}

type firstTry struct {
	came, deadline time.Time
}

func (in *Request) key() requestKey { return requestKey{in.Method, in.Host, in.URI, len(in.Body)} }

// note remembers a request that came first at a time and was not served.
func (r *returns) note(in *Request, first, now time.Time) {
	if in.Left <= 0 {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tries == nil {
		r.tries = map[requestKey][]firstTry{}
	}
	r.sweep(now)
	if len(r.tries) >= mostReturns {
		return
	}
	k := in.key()
	r.tries[k] = append(r.tries[k], firstTry{first, in.Came.Add(in.Left)})
}

// first returns when the caller's first try of a request came: now, unless it is one that was not served before.
func (r *returns) first(in *Request) time.Time {
	if in.Left <= 0 {
		return in.Came
	}
	deadline := in.Came.Add(in.Left)
	r.mu.Lock()
	defer r.mu.Unlock()
	k := in.key()
	tries := r.tries[k]
	for i, t := range tries {
		if t.deadline.Sub(deadline).Abs() <= returnSlack {
			tries[i] = tries[len(tries)-1]
			if r.tries[k] = tries[:len(tries)-1]; len(tries) == 1 {
				delete(r.tries, k)
			}
			return t.came
		}
	}
	return in.Came
}

// sweep forgets requests whose deadline has passed; it is called with mu held.
func (r *returns) sweep(now time.Time) {
	if now.Sub(r.swept) < returnsSwept {
		return
	}
	r.swept = now
	for k, tries := range r.tries {
		kept := tries[:0]
		for _, t := range tries {
			if now.Before(t.deadline) {
				kept = append(kept, t)
			}
		}
		if r.tries[k] = kept; len(kept) == 0 {
			delete(r.tries, k)
		}
	}
}
