package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gorilla/mux"
	"golang.org/x/time/rate"

	"github.com/cassialead/cassialead/settings"
)

const maxStoreValue = 1 << 20

// StoreFaults are the faults that a simulated store injects.
type StoreFaults struct {
	// Outage answers every call with status 503, or leaves it unanswered if Hang is set.
	Outage bool `json:"outage"`
	Hang   bool `json:"hang"`
	// LatencyMS delays every call, in milliseconds.
	LatencyMS int `json:"latency_ms"`
	// DropResponses is the number of subsequent writes that are executed without sending a response.
	DropResponses int `json:"lose_answers"`
}

// Store is an in-memory key-value service with compare-and-swap, sessions and blocking queries.
type Store struct {
	mu           sync.Mutex
	faults       StoreFaults
	index        uint64
	entries      map[string]*storeEntry
	sessions     map[string]*session
	changed      chan struct{} // closed and replaced on every change to wake blocking queries
	calls        map[string]int
	readLimiter  *rate.Limiter
	writeLimiter *rate.Limiter
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

// NewStore returns an empty store with the given rate limits for reads and writes.
func NewStore(readsPerSecond, writesPerSecond int) *Store {
	return &Store{
		entries:      map[string]*storeEntry{},
		sessions:     map[string]*session{},
		changed:      make(chan struct{}),
		calls:        map[string]int{},
		readLimiter:  rate.NewLimiter(rate.Limit(readsPerSecond), readsPerSecond),
		writeLimiter: rate.NewLimiter(rate.Limit(writesPerSecond), writesPerSecond),
	}
}

// SetFaults replaces the injected faults.
func (s *Store) SetFaults(f StoreFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns the number of calls received, by kind (read or write).
func (s *Store) Calls() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	calls := map[string]int{}
	for k, n := range s.calls {
		calls[k] = n
	}
	return calls
}

// Dump returns a backup of all entries, for Restore.
func (s *Store) Dump() []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	data, _ := json.Marshal(s.entries)
	return data
}

// Restore replaces all entries with those of a backup.
func (s *Store) Restore(dump []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	entries := map[string]*storeEntry{}
	if err := json.Unmarshal(dump, &entries); err != nil {
		return err
	}
	s.entries = entries
	s.incrementIndex()
	return nil
}

// Serve starts the store's HTTP interface on l within the limits; PUT /standin/faults switches its faults.
func (s *Store) Serve(l net.Listener, limits settings.Limits) *http.Server {
	return serve(l, "store", bounded(s.handler()), limits)
}

func (s *Store) handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/standin/faults", s.serveFaults).Methods(http.MethodPut)
	r.HandleFunc("/standin/calls", s.serveCalls).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{key:.*}", s.withFaults("read", s.get)).Methods(http.MethodGet)
	r.HandleFunc("/v1/kv/{key:.*}", s.withFaults("write", s.put)).Methods(http.MethodPut)
	r.HandleFunc("/v1/kv/{key:.*}", s.withFaults("write", s.remove)).Methods(http.MethodDelete)
	r.HandleFunc("/v1/session/create", s.withFaults("write", s.createSession)).Methods(http.MethodPut)
	r.HandleFunc("/v1/session/renew/{id}", s.withFaults("write", s.renewSession)).Methods(http.MethodPut)
	r.HandleFunc("/v1/session/destroy/{id}", s.withFaults("write", s.destroySession)).Methods(http.MethodPut)
	return r
}

func (s *Store) serveFaults(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxMessage)
	if !ok {
		return
	}
	var f StoreFaults
	if err := json.Unmarshal(body, &f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

func (s *Store) serveCalls(w http.ResponseWriter, _ *http.Request) {
	_ = json.NewEncoder(w).Encode(s.Calls())
}

// withFaults wraps a handler with call counts, the current faults and the rate limits.
func (s *Store) withFaults(kind string, h func(http.ResponseWriter, *http.Request)) http.HandlerFunc {
	limiter := s.readLimiter
	if kind == "write" {
		limiter = s.writeLimiter
	}
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls[kind]++
		f := s.faults
		dropResponse := kind == "write" && f.DropResponses > 0 && !f.Outage
		if dropResponse {
			s.faults.DropResponses--
		}
		s.mu.Unlock()
		if !sleep(r, time.Duration(f.LatencyMS)*time.Millisecond) {
			return
		}
		switch {
		case f.Outage && f.Hang:
			// net/http detects that the client has disconnected only after the request body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
		case f.Outage:
			http.Error(w, "outage", http.StatusServiceUnavailable)
		case !limiter.Allow():
			http.Error(w, "rate limit", http.StatusTooManyRequests)
		case dropResponse:
			h(discardWriter{}, r)
			panic(http.ErrAbortHandler)
		default:
			h(w, r)
		}
	}
}

// sleep waits for d; it reports false if the client disconnects first.
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

type discardWriter struct{}

func (discardWriter) Header() http.Header         { return http.Header{} }
func (discardWriter) Write(p []byte) (int, error) { return len(p), nil }
func (discardWriter) WriteHeader(int)             {}

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
		found, newest := s.lookup(key, q.Has("recurse"))
		changed, index, unavailable := s.changed, s.index, s.faults.Outage
		s.mu.Unlock()
		if unavailable {
			http.Error(w, "outage", http.StatusServiceUnavailable)
			return
		}
		if after == 0 || newest != after || wait == 0 {
			s.writeEntries(w, found, max(newest, 1), index)
			return
		}
		select {
		case <-changed:
		case <-time.After(50 * time.Millisecond):
		case <-deadline.C:
			s.writeEntries(w, found, max(newest, 1), index)
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) lookup(key string, recurse bool) ([]storeEntry, uint64) {
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

func (s *Store) writeEntries(w http.ResponseWriter, found []storeEntry, newest, index uint64) {
	w.Header().Set("X-Consul-Index", strconv.FormatUint(max(newest, min(index, 1)), 10))
	if len(found) == 0 {
		http.Error(w, "", http.StatusNotFound)
		return
	}
	_ = json.NewEncoder(w).Encode(found)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	key := mux.Vars(r)["key"]
	value, ok := readBody(w, r, maxStoreValue)
	if !ok {
		return
	}
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	e := s.entries[key]
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
		s.incrementIndex()
		s.entries[key] = &storeEntry{Key: key, Value: value, ModifyIndex: s.index, Session: lease}
	}
	_, _ = w.Write([]byte(strconv.FormatBool(ok)))
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.entries, mux.Vars(r)["key"])
	s.incrementIndex()
	_, _ = w.Write([]byte("true"))
}

func (s *Store) createSession(w http.ResponseWriter, r *http.Request) {
	body, ok := readBody(w, r, maxMessage)
	if !ok {
		return
	}
	var request struct{ TTL string }
	_ = json.Unmarshal(body, &request) // a TTL that can't be read is refused below
	ttl, err := time.ParseDuration(request.TTL)
	if err != nil {
		http.Error(w, "bad TTL", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.incrementIndex()
	id := "session-" + strconv.FormatUint(s.index, 10)
	s.sessions[id] = &session{ttl: ttl, expires: time.Now().Add(ttl)}
	_ = json.NewEncoder(w).Encode(map[string]string{"ID": id})
}

func (s *Store) renewSession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	existing, ok := s.sessions[mux.Vars(r)["id"]]
	if !ok {
		http.Error(w, "no such session", http.StatusNotFound)
		return
	}
	existing.expires = time.Now().Add(existing.ttl)
	_, _ = w.Write([]byte("[]"))
}

func (s *Store) destroySession(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endSession(mux.Vars(r)["id"])
	_, _ = w.Write([]byte("true"))
}

// expire ends the sessions whose time to live has elapsed; the caller holds mu.
func (s *Store) expire() {
	now := time.Now()
	for id, existing := range s.sessions {
		if now.After(existing.expires) {
			s.endSession(id)
		}
	}
}

// endSession ends a session and deletes the keys it holds; the caller holds mu.
func (s *Store) endSession(id string) {
	delete(s.sessions, id)
	for k, e := range s.entries {
		if e.Session == id {
			delete(s.entries, k)
		}
	}
	s.incrementIndex()
}

// incrementIndex increments the index and wakes blocking queries; the caller holds mu.
func (s *Store) incrementIndex() {
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}
