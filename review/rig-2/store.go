package main

import (
	"cmp"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the time in which the store answers.
	storeLatency = 4 * time.Millisecond
	maxPageItems = 500
	maxPageBytes = 1 << 20
	// maxValueBytes is value_bytes of the settings.
	maxValueBytes = 1 << 20
	maxWatchWait  = 30 * time.Second
	// leaseCheckInterval is the interval of the checks for expired leases.
	leaseCheckInterval = 50 * time.Millisecond
)

// item is a key of the store with its value.
type item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

// deletion is the event of a removed key.
type deletion struct {
	Key     string `json:"key"`
	Rev     int64  `json:"rev"`
	Deleted bool   `json:"deleted"`
}

type storeLease struct {
	ttl     time.Duration
	expires time.Time
}

// store is a stand-in of the platform's metadata store. It keeps its whole history.
type store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	leases  map[int64]*storeLease
	nextID  int64
	changed chan struct{}
	address string
}

// newStore starts a store on a free port.
func newStore() (*store, error) {
	s := &store{rev: 1, items: make(map[string]item), leases: make(map[int64]*storeLease), nextID: 100, changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /basilwood/kv-key", s.serveKey)
	mux.HandleFunc("GET /basilwood/kv-range", s.serveRange)
	mux.HandleFunc("GET /basilwood/kv-watch", s.serveWatch)
	mux.HandleFunc("POST /basilwood/kv-txn", s.serveTransaction)
	mux.HandleFunc("POST /basilwood/kv-lease", s.serveGrant)
	mux.HandleFunc("POST /basilwood/kv-keep/{id}", s.serveKeep)
	mux.HandleFunc("DELETE /basilwood/kv-lease-end/{id}", s.serveEnd)
	go func() { _ = http.Serve(l, mux) }()
	go s.expireLeases()
	return s, nil
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// put writes a key as the operator or an executor does.
func (s *store) put(key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(item{Key: key, Value: data})
	s.notify()
	return nil
}

// set writes an item at the current revision. The caller holds the lock.
func (s *store) set(i item) {
	i.Rev, i.Created = s.rev, s.rev
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	s.items[i.Key] = i
	s.history = append(s.history, i)
}

// delete removes a key at the current revision. The caller holds the lock.
func (s *store) delete(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, item{Key: key, Rev: s.rev, Deleted: true})
	}
}

// notify wakes all watches. The caller holds the lock.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) serveKey(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		AsOf int64 `json:"as_of"`
	}{i, s.rev})
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	slices.SortFunc(list, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(list) && n < maxPageItems && (n == 0 || size+len(list[n].Value) <= maxPageBytes) {
		size += len(list[n].Value)
		n++
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": list[:n], "truncated": n < len(list), "as_of": s.rev})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	millis, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
	deadline := time.After(min(time.Duration(millis)*time.Millisecond, maxWatchWait))
	time.Sleep(storeLatency)
	for {
		s.mu.Lock()
		events, asOf, changed := s.eventsAfter(query.Get("prefix"), after), s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			writeJSON(w, http.StatusOK, map[string]any{"events": events, "as_of": asOf})
			return
		}
	}
}

// eventsAfter returns the changes under a prefix after a revision. The caller holds the lock.
func (s *store) eventsAfter(prefix string, after int64) []any {
	events := []any{}
	first, _ := slices.BinarySearchFunc(s.history, after+1, func(i item, rev int64) int { return cmp.Compare(i.Rev, rev) })
	for _, i := range s.history[first:] {
		switch {
		case !strings.HasPrefix(i.Key, prefix):
		case i.Deleted:
			events = append(events, deletion{Key: i.Key, Rev: i.Rev, Deleted: true})
		default:
			events = append(events, i)
		}
	}
	return events
}

// transactionBody is the body of a transaction.
type transactionBody struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"set_keys"`
	Remove []string `json:"remove"`
}

func (s *store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var body transactionBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicts []item
	isConflict := false
	for _, e := range body.Expected {
		current, ok := s.items[e.Key]
		if ok {
			conflicts = append(conflicts, current)
		}
		isConflict = isConflict || current.Rev != e.Rev
	}
	if isConflict {
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": conflicts})
		return
	}
	for _, k := range body.SetKeys {
		if len(k.Value) > maxValueBytes {
			writeJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		if k.Lease != 0 && s.leases[k.Lease] == nil {
			writeJSON(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, k := range body.SetKeys {
		s.set(item{Key: k.Key, Value: k.Value, Lease: k.Lease})
	}
	for _, key := range body.Remove {
		s.delete(key)
	}
	s.notify()
	writeJSON(w, http.StatusOK, map[string]any{"rev": s.rev})
}

func (s *store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.leases[s.nextID] = &storeLease{ttl: ttl, expires: time.Now().Add(ttl)}
	writeJSON(w, http.StatusOK, map[string]any{"lease": s.nextID, "ttl_ms": body.TTLMs})
}

func (s *store) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	time.Sleep(storeLatency)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	writeJSON(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.endLease(id)
	writeJSON(w, http.StatusOK, struct{}{})
}

// endLease removes a lease and its keys. The caller holds the lock.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	s.rev++
	for key, i := range s.items {
		if i.Lease == id {
			s.delete(key)
		}
	}
	s.notify()
}

func (s *store) expireLeases() {
	for range time.Tick(leaseCheckInterval) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// holderOf returns the name in the value of a node's claim of a pool, or "" if there is none.
func (s *store) holderOf(pool string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	var v struct {
		Name       string `json:"name"`
		IsReleased bool   `json:"isReleased"`
	}
	if json.Unmarshal(s.items[fmt.Sprintf("nodes/owners/%s", pool)].Value, &v) != nil || v.IsReleased {
		return ""
	}
	return v.Name
}
