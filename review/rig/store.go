package rig

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store's interface, as the users' pages state them.
const (
	maxPageItems   = 500
	maxWatchWait   = 30 * time.Second
	maxTxnEntries  = 32
	expiryInterval = 20 * time.Millisecond
)

// Item is one item of the store.
type Item struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

type storeLease struct {
	ttl   time.Duration
	endAt time.Time
}

// Store is a stand-in for the platform's metadata store: linearizable, without failures and
// with all of its history.
type Store struct {
	mu      sync.Mutex
	rev     int64
	items   map[string]Item
	history []Item
	changed chan struct{}
	leases  map[int64]*storeLease
	nextID  int64
}

// NewStore returns an empty store.
func NewStore() *Store {
	s := &Store{rev: 100, items: make(map[string]Item), changed: make(chan struct{}), leases: make(map[int64]*storeLease), nextID: 1}
	go func() {
		for range time.Tick(expiryInterval) {
			s.expireLeases()
		}
	}()
	return s
}

func (s *Store) expireLeases() {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	for id, l := range s.leases {
		if now.After(l.endAt) {
			s.endLease(id)
		}
	}
}

// endLease ends a lease and removes its keys. The caller holds the lock.
func (s *Store) endLease(id int64) {
	delete(s.leases, id)
	for key, i := range s.items {
		if i.Lease == id {
			s.rev++
			s.remove(key)
		}
	}
	s.notify()
}

func (s *Store) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, Item{Key: key, Rev: s.rev, Deleted: true})
	}
}

func (s *Store) set(key string, value []byte, lease int64) {
	i := Item{Key: key, Value: value, Rev: s.rev, Created: s.rev, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.history = append(s.history, i)
}

func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key, as the operator and the executors do.
func (s *Store) Put(key string, value any) {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.set(key, data, 0)
	s.notify()
}

// Remove removes a key.
func (s *Store) Remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	s.remove(key)
	s.notify()
}

// Get returns the value of a key.
func (s *Store) Get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[key]
	return i.Value, ok
}

// ServeHTTP implements the store's protocol.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch path := strings.TrimPrefix(r.URL.Path, "/basilwood/"); {
	case path == "kv-key":
		s.serveKey(w, r)
	case path == "kv-range":
		s.serveRange(w, r)
	case path == "kv-watch":
		s.serveWatch(w, r)
	case path == "kv-txn":
		s.serveTransaction(w, r)
	case path == "kv-lease":
		s.serveGrant(w, r)
	case strings.HasPrefix(path, "kv-keep/"):
		s.serveKeep(w, strings.TrimPrefix(path, "kv-keep/"))
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.serveLeaseEnd(w, strings.TrimPrefix(path, "kv-lease-end/"))
	default:
		reply(w, http.StatusBadRequest, struct{}{})
	}
}

func (s *Store) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, http.StatusNotFound, map[string]int64{"as_of": s.rev})
		return
	}
	reply(w, http.StatusOK, struct {
		Item
		AsOf int64 `json:"as_of"`
	}{i, s.rev})
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	list := []Item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	isTruncated := len(list) > maxPageItems
	reply(w, http.StatusOK, map[string]any{"items": list[:min(len(list), maxPageItems)], "truncated": isTruncated, "as_of": s.rev})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	deadline := time.After(min(time.Duration(wait)*time.Millisecond, maxWatchWait))
	for {
		events, rev, changed := s.eventsAfter(prefix, after)
		if len(events) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		case <-deadline:
			reply(w, http.StatusOK, map[string]any{"events": events, "as_of": rev})
			return
		}
	}
}

func (s *Store) eventsAfter(prefix string, after int64) ([]Item, int64, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	events := []Item{}
	first := sort.Search(len(s.history), func(n int) bool { return s.history[n].Rev > after })
	for _, i := range s.history[first:] {
		if strings.HasPrefix(i.Key, prefix) {
			events = append(events, i)
		}
	}
	return events, s.rev, s.changed
}

type transaction struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected"`
	Set []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"set_keys"`
	Remove []string `json:"remove"`
}

func (s *Store) serveTransaction(w http.ResponseWriter, r *http.Request) {
	var t transaction
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil || len(t.Expected)+len(t.Set)+len(t.Remove) > maxTxnEntries {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds := true
	current := []Item{}
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		holds = holds && i.Rev == e.Rev
		if ok {
			current = append(current, i)
		}
	}
	if !holds {
		reply(w, http.StatusPreconditionFailed, map[string]any{"items": current})
		return
	}
	for _, set := range t.Set {
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			reply(w, http.StatusNotFound, struct{}{})
			return
		}
	}
	s.rev++
	for _, set := range t.Set {
		s.set(set.Key, set.Value, set.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.notify()
	reply(w, http.StatusOK, map[string]int64{"rev": s.rev})
}

func (s *Store) serveGrant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMs int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := time.Duration(body.TTLMs) * time.Millisecond
	s.nextID++
	s.leases[s.nextID] = &storeLease{ttl: ttl, endAt: time.Now().Add(ttl)}
	reply(w, http.StatusOK, map[string]int64{"lease": s.nextID, "ttl_ms": body.TTLMs})
}

func (s *Store) serveKeep(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	l.endAt = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *Store) serveLeaseEnd(w http.ResponseWriter, text string) {
	id, _ := strconv.ParseInt(text, 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		reply(w, http.StatusNotFound, struct{}{})
		return
	}
	s.endLease(id)
	reply(w, http.StatusOK, struct{}{})
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may have left; nobody else needs the reply then.
	_ = json.NewEncoder(w).Encode(body)
}
