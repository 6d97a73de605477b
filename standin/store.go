package standin

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"
)

const maxStoreValue = 1 << 20

// StoreFaults are the faults of a stand-in store that can be switched at run time.
type StoreFaults struct {
	// Outage answers every call with status 503, or hangs it when Hang is set.
	Outage bool `json:"outage"`
	Hang   bool `json:"hang"`
	// LatencyMS delays every call, in milliseconds.
	LatencyMS int `json:"latency_ms"`
	// LoseAnswers drops the answers of that many coming writes after they took effect.
	LoseAnswers int `json:"lose_answers"`
}

// Store is an in-memory key-value service with check-and-set, sessions and blocking queries.
type Store struct {
	mu       sync.Mutex
	faults   StoreFaults
	index    uint64
	entries  map[string]*storeEntry
	sessions map[string]*session
	changed  chan struct{} // closed and replaced on every change
	calls    map[string]int
	reads    *rate.Limiter
	writes   *rate.Limiter
}

type storeEntry struct {
	Key         string
	Value       []byte
	ModifyIndex uint64
	Session     string
}

type session struct {
	ttl     time.Duration
	expires time.Time
}

// NewStore returns an empty store that serves the given numbers of reads and writes per second.
func NewStore(readsPerSecond, writesPerSecond int) *Store {
	return &Store{
		entries:  map[string]*storeEntry{},
		sessions: map[string]*session{},
		changed:  make(chan struct{}),
		calls:    map[string]int{},
		reads:    rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
		writes:   rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
	}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how many calls of each kind were taken.
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int{}
	for k, n := range s.calls {
		calls[k] = n
	}
	return calls
}

// Dump returns a copy of all entries, for Restore.
func (s *Store) Dump() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, _ := json.Marshal(s.entries)
	return data
}

// Restore replaces all entries by a dump, as an operator does who puts back an old copy.
func (s *Store) Restore(dump []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := map[string]*storeEntry{}
	if err := json.Unmarshal(dump, &entries); err != nil {
		return err
	}
	s.entries = entries
	s.bump()
	return nil
}

// Handler returns the store's HTTP interface, with its faults under /standin/faults.
func (s *Store) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/standin/faults", s.serveFaults).Methods(http.MethodPut)
	r.HandleFunc("/standin/calls", s.serveCalls).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{key:.*}", s.guard("read", s.get)).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{key:.*}", s.guard("write", s.put)).Methods(http.MethodPut)
	r.HandleFunc("/v1/kv/{key:.*}", s.guard("write", s.remove)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/session/create", s.guard("write", s.createSession)).Methods(http.MethodPut)
	r.HandleFunc("/v1/session/renew/{id}", s.guard("write", s.renewSession)).Methods(http.MethodPut)
	r.HandleFunc("/v1/session/destroy/{id}", s.guard("write", s.destroySession)).Methods(http.MethodPut)
	return r
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f StoreFaults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) serveCalls(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Calls())
}

// guard applies the faults and limits in force to a handler.
func (s *Store) guard(kind string, h func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
	limiter := s.reads
	if kind == "write" {
		limiter = s.writes
	}
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[kind]++
		f := s.faults
		lose := kind == "write" && f.LoseAnswers > 0 && !f.Outage
		if lose {
			s.faults.LoseAnswers--
		}
		s.mu.Unlock()
		if !sleep(r, time.Duration(f.LatencyMS)*time.Millisecond) {
			return
		}
		switch {
		case f.Outage && f.Hang:
			// The server notices that a caller has gone only once the body is read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case f.Outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case !limiter.Allow():
			http.Error(w, "rate limit", http.StatusTooManyRequests)
		case lose:
			h(discard{}, r)
			panic(http.ErrAbortHandler)
		default:
			h(w, r)
		}
	}
}

// sleep waits for d and reports whether the caller is still there.
func sleep(r *http.Request, d time.Duration) bool {
	if d <= 0 {
		return true
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-r.Context().Done():
		return false
	}
}

type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(p []byte) (int, error) { return len(p), nil }
func (discard) WriteHeader(int)             {}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("index"), 10, 64)
	wait, _ := time.ParseDuration(q.Get("wait"))
	deadline := time.NewTimer(wait)
	defer deadline.Stop()
	for {
		s.mu.Lock()
		s.expire()
		found, newest := s.find(key, q.Has("recurse"))
		changed, index, down := s.changed, s.index, s.faults.Outage
		s.mu.Unlock()
		if down {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if after == 0 || newest != after || wait == 0 {
			s.answer(w, found, max(newest, 1), index)
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		case <-deadline.C:
			s.answer(w, found, max(newest, 1), index)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) find(key string, recurse bool) ([]storeEntry, uint64) {
	var found []storeEntry
	var newest uint64
	if e, ok := s.entries[key]; ok && !recurse {
		return []storeEntry{*e}, e.ModifyIndex
	}
	if recurse {
		for k, e := range s.entries {
			if strings.HasPrefix(k, key) {
				found = append(found, *e)
				newest = max(newest, e.ModifyIndex)
			}
		}
		slices.SortFunc(found, func(a, b storeEntry) int { return strings.Compare(a.Key, b.Key) })
	}
	return found, newest
}

func (s *Store) answer(w http.ResponseWriter, found []storeEntry, newest, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(max(newest, min(index, 1)), 10))
	if len(found) == 0 {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(found)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	value, err := io.ReadAll(io.LimitReader(r.Body, maxStoreValue+1))
	if err != nil || len(value) > maxStoreValue {
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e := s.entries[key]
	ok := true
	lease := ""
	if q.Has("cas") {
		expect, _ := strconv.ParseUint(q.Get("cas"), 10, 64)
		ok = (e == nil && expect == 0) || (e != nil && e.ModifyIndex == expect)
	}
	if q.Has("acquire") {
		lease = q.Get("acquire")
		_, alive := s.sessions[lease]
		ok = alive && (e == nil || e.Session == "" || e.Session == lease)
	}
	if ok {
		s.bump()
		s.entries[key] = &storeEntry{Key: key, Value: value, ModifyIndex: s.index, Session: lease}
	}
	_, _ = w.Write([]byte(strconv.FormatBool(ok)))
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, mux.Vars(r)["key"])
	s.bump()
	_, _ = w.Write([]byte("true"))
}

func (s *Store) createSession(w http.ResponseWriter, r *http.Request) {
	var body struct{ TTL string }
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl, err := time.ParseDuration(body.TTL)
	if err != nil {
		http.Error(w, "bad TTL", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.bump()
	id := "session-" + strconv.FormatUint(s.index, 10)
	s.sessions[id] = &session{ttl: ttl, expires: time.Now().Add(ttl)}
	_ = json.NewEncoder(w).Encode(map[string]string{"ID": id})
}

func (s *Store) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	found, ok := s.sessions[mux.Vars(r)["id"]]
	if !ok {
		http.Error(w, "no such session", http.StatusNotFound)
		return
	}
	found.expires = time.Now().Add(found.ttl)
	_, _ = w.Write([]byte("[]"))
}

func (s *Store) destroySession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop(mux.Vars(r)["id"])
	_, _ = w.Write([]byte("true"))
}

// expire drops the sessions that lapsed; the caller holds mu.
func (s *Store) expire() {
	now := time.Now()
	for id, found := range s.sessions {
		if now.After(found.expires) {
			s.drop(id)
		}
	}
}

// drop ends a session and deletes the keys it holds; the caller holds mu.
func (s *Store) drop(id string) {
	delete(s.sessions, id)
	for k, e := range s.entries {
		if e.Session == id {
			delete(s.entries, k)
		}
	}
	s.bump()
}

// bump moves the index and wakes the waiting watches; the caller holds mu.
func (s *Store) bump() {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}
