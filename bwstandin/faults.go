// Package bwstandin provides in-memory stand-ins (fakes) for the external systems: the
// key-value store, the platform, the targets and the executors of tasks. They are used by
// tests and by the scripts that run a fleet on one machine, and persist nothing.
//
// Store, Platform and Target serve HTTP through an http.Handler, so they work on a real
// listener as well as on an in-memory one, and share the same fault injection. KV and
// Executors are called directly.
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

// FaultInjector injects Faults into an HTTP handler. It is safe for concurrent use.
type FaultInjector struct {
	mu     sync.Mutex
	faults Faults
	random *rand.Rand
}

// NewFaultInjector returns a FaultInjector without faults. Its random choices derive from seed.
func NewFaultInjector(seed uint64) *FaultInjector {
	return &FaultInjector{random: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the active faults.
func (fi *FaultInjector) Set(f Faults) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	fi.faults = f
}

// sampleFaults returns the active faults and whether the reply to this call is dropped.
func (fi *FaultInjector) sampleFaults() (Faults, bool) {
	fi.mu.Lock()
	defer fi.mu.Unlock()
	return fi.faults, fi.faults.DropReplyRatio > 0 && fi.random.Float64() < fi.faults.DropReplyRatio
}

// Wrap returns a handler that injects the faults into calls to next. A request for /faults
// is not passed to next: it replaces the faults by those in its body.
func (fi *FaultInjector) Wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/faults" {
			fi.serveFaults(w, r)
			return
		}
		fi.serve(next, w, r)
	})
}

func (fi *FaultInjector) serveFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fi.Set(f)
	reply(w, http.StatusOK, f)
}

func (fi *FaultInjector) serve(next http.Handler, w http.ResponseWriter, r *http.Request) {
	f, isReplyDropped := fi.sampleFaults()
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
	if isReplyDropped {
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
