package bwstandin

import (
	"encoding/json"
	"io"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"basilwood.example/basilwood/bwstore"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
)

// maxHistoryLength is the number of changes kept for watches. When it is exceeded, the older
// half is compacted.
const maxHistoryLength = 100_000

// Store is a stand-in for the platform's key-value service as bwstore uses it: over HTTP, with
// compare-and-swap on single keys, leases and watches.
type Store struct {
	injector *FaultInjector
	mux      *mux.Router

	mu                sync.Mutex
	keys              map[string]storedKey
	leases            map[string]*storedLease
	history           []Change
	compactedRevision int64
	revision          int64
	changed           chan struct{}
	stats             StoreStats
	statsSecond       int64
	readsThisSecond   int
	writesThisSecond  int
}

type storedKey struct {
	message bwstore.KeyMessage
	leaseID string
}

type storedLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// Change is a write or deletion of a key and the time at which it was applied.
type Change struct {
	Message bwstore.KeyMessage
	At      time.Time
}

// StoreStats holds counters of the calls that the store served.
type StoreStats struct {
	Reads              int `json:"reads"`
	Writes             int `json:"writes"`
	MaxReadsPerSecond  int `json:"maxReadsPerSecond"`
	MaxWritesPerSecond int `json:"maxWritesPerSecond"`
	LargestValueBytes  int `json:"largestValueBytes"`
	OversizedWrites    int `json:"refusedForSizeCalls"`
}

// NewStore returns an empty store. Its random choices derive from seed.
func NewStore(seed uint64) *Store {
	s := &Store{
		injector: NewFaultInjector(seed),
		mux:      mux.NewRouter(),
		keys:     make(map[string]storedKey),
		leases:   make(map[string]*storedLease),
		changed:  make(chan struct{}),
	}
	s.mux.HandleFunc("/v1/keys", s.list).Methods(http.MethodGet)
	s.mux.HandleFunc("/v1/keys/{key:.+}", s.get).Methods(http.MethodGet)
	s.mux.HandleFunc("/v1/keys/{key:.+}", s.put).Methods(http.MethodPut)
	s.mux.HandleFunc("/v1/keys/{key:.+}", s.remove).Methods(http.MethodDelete)
	s.mux.HandleFunc("/v1/watch", s.watch).Methods(http.MethodGet)
	s.mux.HandleFunc("/v1/leases", s.grantLease).Methods(http.MethodPost)
	s.mux.HandleFunc("/v1/leases/{id}/renew", s.renewLease).Methods(http.MethodPost)
	s.mux.HandleFunc("/v1/leases/{id}", s.revokeLease).Methods(http.MethodDelete)
	s.mux.HandleFunc("/stats", s.serveStats).Methods(http.MethodGet)
	return s
}

// Handler returns the store's HTTP handler with fault injection.
func (s *Store) Handler() http.Handler { return s.injector.Wrap(s.mux) }

// Faults returns the store's fault injector.
func (s *Store) Faults() *FaultInjector { return s.injector }

// Stats returns the current counters.
func (s *Store) Stats() StoreStats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// History returns the changes in revision order, for test oracles. It holds only the
// changes that have not been compacted.
func (s *Store) History() []Change {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Change(nil), s.history...)
}

func (s *Store) serveStats(w http.ResponseWriter, _ *http.Request) {
	reply(w, http.StatusOK, s.Stats())
}

// countCall counts one call and expires leases. The caller must hold the lock.
func (s *Store) countCall(isWrite bool) {
	now := time.Now()
	if now.Unix() != s.statsSecond {
		s.statsSecond, s.readsThisSecond, s.writesThisSecond = now.Unix(), 0, 0
	}
	if isWrite {
		s.writesThisSecond++
		s.stats.Writes++
		s.stats.MaxWritesPerSecond = max(s.stats.MaxWritesPerSecond, s.writesThisSecond)
	} else {
		s.readsThisSecond++
		s.stats.Reads++
		s.stats.MaxReadsPerSecond = max(s.stats.MaxReadsPerSecond, s.readsThisSecond)
	}
	s.expireLeases(now)
}

// expireLeases removes the leases that have expired and deletes their keys.
func (s *Store) expireLeases(now time.Time) {
	for id, l := range s.leases {
		if now.After(l.expiresAt) {
			s.endLease(id)
		}
	}
}

func (s *Store) endLease(id string) {
	delete(s.leases, id)
	var keys []string
	for key, k := range s.keys {
		if k.leaseID == id {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	for _, key := range keys {
		s.apply(bwstore.KeyMessage{Key: key, Deleted: true}, "")
	}
}

// apply commits one change at the next revision, notifies the watches and returns the
// revision.
func (s *Store) apply(m bwstore.KeyMessage, leaseID string) int64 {
	s.revision++
	m.Revision = s.revision
	if m.Deleted {
		delete(s.keys, m.Key)
	} else {
		s.keys[m.Key] = storedKey{message: m, leaseID: leaseID}
	}
	s.history = append(s.history, Change{Message: m, At: time.Now()})
	if len(s.history) > maxHistoryLength {
		half := maxHistoryLength / 2
		s.compactedRevision = s.history[half-1].Message.Revision
		s.history = append([]Change(nil), s.history[half:]...)
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

func (s *Store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCall(false)
	k, ok := s.keys[mux.Vars(r)["key"]]
	if !ok {
		reply(w, http.StatusNotFound, bwstore.RevisionMessage{})
		return
	}
	reply(w, http.StatusOK, k.message)
}

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCall(false)
	prefix := r.URL.Query().Get("prefix")
	m := bwstore.ListMessage{Revision: s.revision}
	for key, k := range s.keys {
		if strings.HasPrefix(key, prefix) {
			m.Entries = append(m.Entries, k.message)
		}
	}
	sort.Slice(m.Entries, func(i, j int) bool { return m.Entries[i].Key < m.Entries[j].Key })
	reply(w, http.StatusOK, m)
}

func (s *Store) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, 2*bwstore.MaxValueBytes))
	var m bwstore.PutMessage
	if err == nil {
		err = json.Unmarshal(data, &m)
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCall(true)
	s.compareAndSwap(w, mux.Vars(r)["key"], m)
}

// compareAndSwap sets a key if it is at the expected revision. The caller must hold the lock.
func (s *Store) compareAndSwap(w http.ResponseWriter, key string, m bwstore.PutMessage) {
	s.stats.LargestValueBytes = max(s.stats.LargestValueBytes, len(m.Value))
	if len(m.Value) > bwstore.MaxValueBytes {
		s.stats.OversizedWrites++
		http.Error(w, "value too large", http.StatusRequestEntityTooLarge)
		return
	}
	if _, ok := s.leases[m.LeaseID]; m.LeaseID != "" && !ok {
		http.Error(w, "lease ended", http.StatusGone)
		return
	}
	current := s.keys[key].message.Revision
	if current != m.ExpectedRevision {
		reply(w, http.StatusConflict, bwstore.RevisionMessage{Revision: current})
		return
	}
	revision := s.apply(bwstore.KeyMessage{Key: key, Value: m.Value}, m.LeaseID)
	reply(w, http.StatusOK, bwstore.RevisionMessage{Revision: revision})
}

func (s *Store) remove(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCall(true)
	key := mux.Vars(r)["key"]
	expected, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		http.Error(w, "revision: "+err.Error(), http.StatusBadRequest)
		return
	}
	current := s.keys[key].message.Revision
	if current != expected || current == 0 {
		reply(w, http.StatusConflict, bwstore.RevisionMessage{Revision: current})
		return
	}
	revision := s.apply(bwstore.KeyMessage{Key: key, Deleted: true}, "")
	reply(w, http.StatusOK, bwstore.RevisionMessage{Revision: revision})
}

func (s *Store) watch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, waitErr := strconv.ParseInt(query.Get("waitMillis"), 10, 64)
	if err != nil || waitErr != nil {
		http.Error(w, "after and waitMillis are numbers", http.StatusBadRequest)
		return
	}
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	s.mu.Lock()
	s.countCall(false)
	s.mu.Unlock()
	for {
		m, changed := s.changesAfter(after, query["prefix"])
		if len(m.Entries) > 0 || m.Compacted {
			reply(w, http.StatusOK, m)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, http.StatusOK, m)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes under the prefixes after a revision, and a channel that
// is closed at the next change.
func (s *Store) changesAfter(after int64, prefixes []string) (bwstore.ListMessage, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireLeases(time.Now())
	m := bwstore.ListMessage{Revision: s.revision, Compacted: after < s.compactedRevision}
	start := sort.Search(len(s.history), func(i int) bool { return s.history[i].Message.Revision > after })
	for _, change := range s.history[start:] {
		if hasAnyPrefix(change.Message.Key, prefixes) {
			m.Entries = append(m.Entries, change.Message)
		}
	}
	return m, s.changed
}

func hasAnyPrefix(key string, prefixes []string) bool {
	for _, p := range prefixes {
		if strings.HasPrefix(key, p) {
			return true
		}
	}
	return false
}

func (s *Store) grantLease(w http.ResponseWriter, r *http.Request) {
	var m bwstore.LeaseMessage
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCall(true)
	m.LeaseID = uuid.NewString()
	ttl := time.Duration(m.TTLMillis) * time.Millisecond
	s.leases[m.LeaseID] = &storedLease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	reply(w, http.StatusOK, m)
}

func (s *Store) renewLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCall(true)
	id := mux.Vars(r)["id"]
	l, ok := s.leases[id]
	if !ok {
		reply(w, http.StatusNotFound, bwstore.LeaseMessage{})
		return
	}
	l.expiresAt = time.Now().Add(l.ttl)
	reply(w, http.StatusOK, bwstore.LeaseMessage{LeaseID: id})
}

func (s *Store) revokeLease(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.countCall(true)
	s.endLease(mux.Vars(r)["id"])
	reply(w, http.StatusOK, bwstore.LeaseMessage{})
}
