package bwstandin

import (
	"bytes"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"basilwood.example/basilwood/bwtarget"
	"github.com/cespare/xxhash/v2"
)

const (
	maxRequestBodyBytes     = 8 << 20
	maxRecordedPayloadBytes = 64
)

// Execution records one request that a target started to execute.
type Execution struct {
	RequestID string `json:"requestId"`
	AttemptID string `json:"attemptId"`
	// Payload is the first 64 bytes of the request body.
	Payload  string `json:"payload"`
	Finished bool   `json:"finished"`
	// StartedMillis is the start time in milliseconds since the Unix epoch.
	StartedMillis int64 `json:"startedMillis"`
}

// TargetMode selects faults that are specific to targets, in addition to Faults.
type TargetMode struct {
	// FailAll answers every request immediately with status 500.
	FailAll bool `json:"failAll,omitempty"`
	// FailPayloadPrefix, if not empty, answers requests whose body has this prefix with status 500.
	FailPayloadPrefix string `json:"failPayload,omitempty"`
	// Truncate sends only the first half of each response body.
	Truncate bool `json:"truncate,omitempty"`
	// SwapBodies answers each request with the response body of the previous request, but
	// with the checksum of its own body.
	SwapBodies bool `json:"cross,omitempty"`
	// SilentAfterStart executes requests but never answers them.
	SilentAfterStart bool `json:"silentAfterStart,omitempty"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
}

// Target is a stand-in for a target, served over HTTP: an executor that runs requests in a
// fixed number of slots and echoes their bodies.
type Target struct {
	name            string
	slots           int
	meanServiceTime time.Duration
	injector        *FaultInjector

	mu           sync.Mutex
	mode         TargetMode
	random       *rand.Rand
	inFlight     int
	maxInFlight  int
	isDraining   bool
	isDown       bool
	interrupted  int
	executions   []Execution
	previousBody []byte
}

// NewTarget returns a target that runs up to slots requests at once, with exponentially
// distributed service times of the given mean. Its random choices derive from seed.
func NewTarget(name string, slots int, meanServiceTime time.Duration, seed uint64) *Target {
	return &Target{
		name:            name,
		slots:           slots,
		meanServiceTime: meanServiceTime,
		injector:        NewFaultInjector(seed),
		random:          rand.New(rand.NewPCG(seed, 1)),
	}
}

// Name returns the target's host name.
func (t *Target) Name() string { return t.name }

// Handler returns the target's HTTP handler with fault injection.
func (t *Target) Handler() http.Handler { return t.injector.Wrap(http.HandlerFunc(t.serve)) }

// Faults returns the target's fault injector.
func (t *Target) Faults() *FaultInjector { return t.injector }

// SetMode replaces the target-specific faults.
func (t *Target) SetMode(m TargetMode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
}

// SetDraining makes the target reject new requests, or accept them again.
func (t *Target) SetDraining(isDraining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.isDraining = isDraining
}

// SetDown stops or starts the executor. Requests that are in flight when it stops are
// counted as interrupted.
func (t *Target) SetDown(isDown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if isDown && !t.isDown {
		t.interrupted += t.inFlight
	}
	t.isDown = isDown
}

// InFlight returns the number of in-flight requests.
func (t *Target) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.inFlight
}

// Interrupted returns the number of requests that were in flight when the executor was stopped.
func (t *Target) Interrupted() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.interrupted
}

// MaxInFlight returns the highest number of concurrent in-flight requests so far.
func (t *Target) MaxInFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxInFlight
}

// Executions returns all requests that the target started, oldest first.
func (t *Target) Executions() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution(nil), t.executions...)
}

func (t *Target) serve(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/executions":
		reply(w, http.StatusOK, t.Executions())
		return
	case "/control":
		t.serveControl(w, r)
		return
	case "/mode":
		t.serveMode(w, r)
		return
	}
	body, err := io.ReadAll(io.LimitReader(r.Body, maxRequestBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	running, rejection := t.admit(r, body)
	if rejection != "" {
		w.Header().Set(bwtarget.HeaderNotStarted, rejection)
		http.Error(w, rejection, http.StatusServiceUnavailable)
		return
	}
	time.Sleep(running.duration)
	t.finish(running)
	t.respond(w, r, running, body)
}

// Control is the state of a target that a RemoteTarget reads and changes through /control. A
// change sets only Draining and Down.
type Control struct {
	Draining    bool `json:"draining"`
	Down        bool `json:"down"`
	InFlight    int  `json:"busy"`
	Interrupted int  `json:"cut"`
	MaxInFlight int  `json:"maxBusy"`
}

func (t *Target) serveControl(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var c Control
		if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		t.SetDraining(c.Draining)
		t.SetDown(c.Down)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	reply(w, http.StatusOK, Control{Draining: t.isDraining, Down: t.isDown, InFlight: t.inFlight, Interrupted: t.interrupted, MaxInFlight: t.maxInFlight})
}

func (t *Target) serveMode(w http.ResponseWriter, r *http.Request) {
	var m TargetMode
	if err := json.NewDecoder(r.Body).Decode(&m); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	t.SetMode(m)
	reply(w, http.StatusOK, m)
}

type runningRequest struct {
	executionIndex int
	duration       time.Duration
	mode           TargetMode
}

// admit takes a slot for a request and records its execution, or returns the reason for
// rejecting it.
func (t *Target) admit(r *http.Request, body []byte) (runningRequest, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.isDraining || t.isDown {
		return runningRequest{}, bwtarget.NotStartedDraining
	}
	if t.inFlight >= t.slots {
		return runningRequest{}, bwtarget.NotStartedBusy
	}
	t.inFlight++
	t.maxInFlight = max(t.maxInFlight, t.inFlight)
	t.executions = append(t.executions, Execution{
		RequestID:     r.Header.Get(bwtarget.HeaderRequestID),
		AttemptID:     r.Header.Get(bwtarget.HeaderAttemptID),
		StartedMillis: time.Now().UnixMilli(),
		Payload:       string(body[:min(len(body), maxRecordedPayloadBytes)]),
	})
	return runningRequest{executionIndex: len(t.executions) - 1, duration: t.sampleServiceTime(), mode: t.mode}, ""
}

func (t *Target) sampleServiceTime() time.Duration {
	if t.mode.FailAll {
		return 0
	}
	factor := t.mode.SlowFactor
	if factor == 0 {
		factor = 1
	}
	return time.Duration(t.random.ExpFloat64() * factor * float64(t.meanServiceTime))
}

func (t *Target) finish(running runningRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.inFlight--
	t.executions[running.executionIndex].Finished = true
}

// respond echoes the request body, subject to the faults in the mode of the request.
func (t *Target) respond(w http.ResponseWriter, r *http.Request, running runningRequest, body []byte) {
	if running.mode.SilentAfterStart {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	mustFail := running.mode.FailPayloadPrefix != "" && bytes.HasPrefix(body, []byte(running.mode.FailPayloadPrefix))
	if running.mode.FailAll || mustFail {
		status = http.StatusInternalServerError
	}
	h := w.Header()
	h.Set(bwtarget.HeaderRequestID, r.Header.Get(bwtarget.HeaderRequestID))
	h.Set(bwtarget.HeaderAttemptID, r.Header.Get(bwtarget.HeaderAttemptID))
	h.Set(bwtarget.HeaderChecksum, strconv.FormatUint(xxhash.Sum64(body), 16))
	h.Set("Content-Type", "application/octet-stream")
	if running.mode.SwapBodies {
		body = t.swapResponseBody(body)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if running.mode.Truncate {
		body = body[:len(body)/2]
	}
	// A write error means that the entry has closed the connection.
	_, _ = w.Write(body)
}

func (t *Target) swapResponseBody(body []byte) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.previousBody
	t.previousBody = body
	return previous
}
