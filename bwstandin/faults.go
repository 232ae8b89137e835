// Package bwstandin holds small stand-ins for the outside systems: the key-value
// store, the platform and the targets.
//
// Each stand-in is an http.Handler, so it serves a real listener as well as an
// in-memory one, and each carries the same fault switches. They exist for tests and
// for the local run and keep everything in memory.
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

// Faults are the fault switches of a stand-in. The zero value has none.
type Faults struct {
	// DelayMillis is added before each call takes effect.
	DelayMillis int64 `json:"delayMillis,omitempty"`
	// Refuse answers each call with status 503 and no effect.
	Refuse bool `json:"refuse,omitempty"`
	// DropReplyRatio is the share of calls whose connection breaks after the effect.
	DropReplyRatio float64 `json:"dropReplyRatio,omitempty"`
	// Silent leaves each call without effect or answer until the caller gives up.
	Silent bool `json:"silent,omitempty"`
}

// Switchboard applies Faults to a handler. It is safe for concurrent use.
type Switchboard struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

// NewSwitchboard returns a switchboard whose random choices follow seed.
func NewSwitchboard(seed uint64) *Switchboard {
	return &Switchboard{random: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the faults.
func (s *Switchboard) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// draw returns the faults and whether this call loses its reply.
func (s *Switchboard) draw() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.faults.DropReplyRatio > 0 && s.random.Float64() < s.faults.DropReplyRatio
}

// Wrap returns next with the faults applied. PUT /faults sets them.
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
		// The server only notices that the caller is gone after the body was read.
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

// reply writes v as JSON.
func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller may be gone, and a stand-in has nobody else to tell.
	_ = json.NewEncoder(w).Encode(v)
}
