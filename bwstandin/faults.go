// Package bwstandin provides in-memory stand-ins (fakes) for the external systems: the
// key-value store, the platform, the targets and the executors of tasks. They are used by
// tests and by the local run and persist nothing.
//
// Store, Platform and Target serve HTTP through an http.Handler, so they work on a real
// listener as well as on an in-memory one, and share the same fault injection. KV and
// Workers are called directly.
package bwstandin

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"sync"
	"time"
)

// Faults selects the faults that a stand-in injects. The zero value injects none.
type Faults struct {
	// DelayMillis is the delay before each call is handled.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// Refuse rejects each call with status 503 before it is handled.
	Refuse bool `json:"refuse,omitempty"`
	// DropReplyRatio is the fraction of calls that are handled, but whose connection is
	// closed before the reply is sent.
	DropReplyRatio float64 `json:"dropReplyRatio,omitempty"`
	// Silent leaves each call unhandled and unanswered until the client disconnects.
	Silent bool `json:"silent,omitempty"`
}

// Switchboard injects Faults into an HTTP handler. It is safe for concurrent use.
type Switchboard struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

// NewSwitchboard returns a Switchboard without faults. Its random choices derive from seed.
func NewSwitchboard(seed uint64) *Switchboard {
	return &Switchboard{random: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the active faults.
func (s *Switchboard) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// draw returns the active faults and whether the reply to this call is dropped.
func (s *Switchboard) draw() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faults.DropReplyRatio > 0 && s.random.Float64() < s.faults.DropReplyRatio
}

// Wrap returns a handler that injects the faults into calls to next. PUT /faults on it
// replaces the faults.
func (s *Switchboard) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			s.serveFaults(w, r)
			return
		}
		s.serve(next, w, r)
	})
}

func (s *Switchboard) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
	reply(w, http.StatusOK, f)
}

func (s *Switchboard) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	f, dropped := s.draw()
	if f.Silent {
		// The server detects a client disconnect only after the body has been read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if f.DelayMillis > 0 {
		time.Sleep(time.Duration(f.DelayMillis) * time.Millisecond)
	}
	if f.Refuse {
		http.Error(w, "the stand-in refuses calls", http.StatusServiceUnavailable)
		return
	}
	if dropped {
		next.ServeHTTP(httptest.NewRecorder(), r)
		panic(http.ErrAbortHandler)
	}
	next.ServeHTTP(w, r)
}

// reply writes a response with v as its JSON body.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An encoding error means that the client has disconnected; there is nowhere to report it.
	_ = json.NewEncoder(w).Encode(v)
}
