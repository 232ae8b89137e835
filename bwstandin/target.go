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
	maxTargetBody      = 8 << 20
	maxRecordedPayload = 64
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
	// FailPayload, if not empty, answers requests whose body has this prefix with status 500.
	FailPayload string `json:"failPayload,omitempty"`
	// Truncate sends only the first half of each response body.
	Truncate bool `json:"truncate,omitempty"`
	// Cross answers each request with the response body of the previous request.
	Cross bool `json:"cross,omitempty"`
	// SilentAfterStart executes requests but never answers them.
	SilentAfterStart bool `json:"silentAfterStart,omitempty"`
	// SlowFactor multiplies the service time; 0 means 1.
	SlowFactor float64 `json:"slowFactor,omitempty"`
}

// Target is a stand-in for a target: an executor that runs requests in a fixed number of
// slots and echoes their bodies.
type Target struct {
	name  string
	slots int
	mean  time.Duration
	board *Switchboard

	mu           sync.Mutex
	mode         TargetMode
	random       *rand.Rand
	busy         int
	maxBusy      int
	draining     bool
	down         bool
	cut          int
	executions   []Execution
	previousBody []byte
}

// NewTarget returns a target that runs up to slots requests at once, with exponentially
// distributed service times of the given mean. Its random choices derive from seed.
func NewTarget(name string, slots int, mean time.Duration, seed uint64) *Target {
	return &Target{
		name:   name,
		slots:  slots,
		mean:   mean,
		board:  NewSwitchboard(seed),
		random: rand.New(rand.NewPCG(seed, 1)),
	}
}

// Name returns the target's host name.
func (t *Target) Name() string { return t.name }

// Handler returns the target's HTTP handler with fault injection.
func (t *Target) Handler() http.Handler { return t.board.Wrap(http.HandlerFunc(t.serve)) }

// Faults returns the target's fault injector.
func (t *Target) Faults() *Switchboard { return t.board }

// SetMode replaces the target-specific faults.
func (t *Target) SetMode(m TargetMode) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.mode = m
}

// SetDraining makes the target reject new requests, or accept them again.
func (t *Target) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.draining = draining
}

// SetDown stops or starts the executor. Requests that are in flight when it stops are
// counted as interrupted.
func (t *Target) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if down && !t.down {
		t.cut += t.busy
	}
	t.down = down
}

// Busy returns the number of in-flight requests.
func (t *Target) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.busy
}

// Cut returns the number of requests that were in flight when the executor was stopped.
func (t *Target) Cut() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.cut
}

// MaxBusy returns the highest number of concurrent in-flight requests so far.
func (t *Target) MaxBusy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.maxBusy
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
	body, err := io.ReadAll(io.LimitReader(r.Body, maxTargetBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	run, refusal := t.start(r, body)
	if refusal != "" {
		w.Header().Set(bwtarget.HeaderNotStarted, refusal)
		http.Error(w, refusal, http.StatusServiceUnavailable)
		return
	}
	time.Sleep(run.duration)
	t.finish(run)
	t.answer(w, r, run, body)
}

// Control is the state of a target that the Platform stand-in reads and changes through
// /control.
type Control struct {
	Draining bool `json:"draining"`
	Down     bool `json:"down"`
	Busy     int  `json:"busy"`
	Cut      int  `json:"cut"`
	MaxBusy  int  `json:"maxBusy"`
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
	reply(w, http.StatusOK, Control{Draining: t.draining, Down: t.down, Busy: t.busy, Cut: t.cut, MaxBusy: t.maxBusy})
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

type execution struct {
	index    int
	duration time.Duration
	mode     TargetMode
}

// start admits a request, or returns the reason for rejecting it.
func (t *Target) start(r *http.Request, body []byte) (execution, string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.draining || t.down {
		return execution{}, bwtarget.NotStartedDraining
	}
	if t.busy >= t.slots {
		return execution{}, bwtarget.NotStartedBusy
	}
	t.busy++
	t.maxBusy = max(t.maxBusy, t.busy)
	t.executions = append(t.executions, Execution{
		RequestID:     r.Header.Get(bwtarget.HeaderRequestID),
		AttemptID:     r.Header.Get(bwtarget.HeaderAttemptID),
		StartedMillis: time.Now().UnixMilli(),
		Payload:       string(body[:min(len(body), maxRecordedPayload)]),
	})
	return execution{index: len(t.executions) - 1, duration: t.serviceTime(), mode: t.mode}, ""
}

func (t *Target) serviceTime() time.Duration {
	if t.mode.FailAll {
		return 0
	}
	factor := t.mode.SlowFactor
	if factor == 0 {
		factor = 1
	}
	return time.Duration(t.random.ExpFloat64() * factor * float64(t.mean))
}

func (t *Target) finish(e execution) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.busy--
	t.executions[e.index].Finished = true
}

// answer echoes the request body, subject to the faults in the mode of the request.
func (t *Target) answer(w http.ResponseWriter, r *http.Request, e execution, body []byte) {
	if e.mode.SilentAfterStart {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status := http.StatusOK
	isPoison := e.mode.FailPayload != "" && bytes.HasPrefix(body, []byte(e.mode.FailPayload))
	if e.mode.FailAll || isPoison {
		status = http.StatusInternalServerError
	}
	h := w.Header()
	h.Set(bwtarget.HeaderRequestID, r.Header.Get(bwtarget.HeaderRequestID))
	h.Set(bwtarget.HeaderAttemptID, r.Header.Get(bwtarget.HeaderAttemptID))
	h.Set(bwtarget.HeaderChecksum, strconv.FormatUint(xxhash.Sum64(body), 16))
	h.Set("Content-Type", "application/octet-stream")
	if e.mode.Cross {
		body = t.swapBody(body)
	}
	h.Set("Content-Length", strconv.Itoa(len(body)))
	w.WriteHeader(status)
	if e.mode.Truncate {
		body = body[:len(body)/2]
	}
	// A write error means that the entry has closed the connection.
	_, _ = w.Write(body)
}

func (t *Target) swapBody(body []byte) []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	previous := t.previousBody
	t.previousBody = body
	return previous
}
