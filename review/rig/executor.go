package rig

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"sync"
	"time"
)

// Figures of the small deployments.
const (
	heartbeatInterval = 1500 * time.Millisecond
	maxHold           = 10 * time.Second
	maxHoldWait       = 2 * time.Second
	stopTime          = 400 * time.Millisecond
	startupTime       = 900 * time.Millisecond
	maxListedEnds     = 500
	tick              = 10 * time.Millisecond
)

// Work says how long a run works and how it ends. A run that lasts works until it is stopped.
type Work struct {
	Duration time.Duration
	Fails    bool
	Lasts    bool
}

// Run is one run that an executor has begun.
type Run struct {
	Task      string
	Number    int
	Executor  string
	StartedAt time.Time
	// EndedAt and How are set when the run has ended. A run that a crash ended has How "crash".
	EndedAt time.Time
	How     string
	// Acked is set when acked_upto has reached the end, unless the executor's lease has lapsed
	// between the two.
	Acked bool
	// lapsed is set when the lease has lapsed after the end.
	lapsed bool
	work   Work
	// stopAt is when an ordered stop takes effect.
	stopAt time.Time
	end    int64
}

// Executor is a stand-in for one executor, reachable on a loopback address.
type Executor struct {
	ID      string
	Service string
	Rack    string
	CPU     int64
	Memory  int64
	address string
	store   *Store
	log     *Log
	work    func(task string, run int) Work

	mu       sync.Mutex
	server   *http.Server
	bootedAt time.Time
	born     int64
	seq      int64
	fence    int64
	until    int64
	running  map[string]*Run
	last     map[string]int
	ends     []*Run
	nextEnd  int64
	changed  chan struct{}
	boot     int
	all      []*Run
	state    string
	// refusesUntil is the time until which the executor is unhealthy: it answers orders to start
	// with 503 and does nothing.
	refusesUntil time.Time
}

// NewExecutor returns an executor that has not been started. work says what each run does.
func NewExecutor(id, service, rack string, cpu, memory int64, store *Store, log *Log, work func(task string, run int) Work) *Executor {
	return &Executor{ID: id, Service: service, Rack: rack, CPU: cpu, Memory: memory, address: FreeAddress(), store: store, log: log, work: work, state: "ready"}
}

// RefuseFor makes the executor answer orders to start with 503 for a time.
func (e *Executor) RefuseFor(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.refusesUntil = time.Now().Add(d)
}

// Start boots the executor. It holds and knows nothing of an earlier boot.
func (e *Executor) Start() {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		Fail("executor %s: %v", e.ID, err)
	}
	e.mu.Lock()
	e.boot++
	e.bootedAt = time.Now()
	e.born = e.bootedAt.UnixMilli()
	e.seq, e.fence, e.until, e.nextEnd = 0, 0, 0, 0
	e.running, e.last, e.ends = make(map[string]*Run), make(map[string]int), nil
	e.changed = make(chan struct{})
	boot := e.boot
	server := &http.Server{Handler: e.handler(boot)}
	e.server = server
	e.mu.Unlock()
	e.log.Add("executor %s boots, born %d", e.ID, e.born)
	go func() { _ = server.Serve(l) }()
	go e.runTasks(boot)
	go e.beat(boot)
}

// Crash ends the executor at once; all that runs on it is lost.
func (e *Executor) Crash() {
	e.mu.Lock()
	e.boot++
	server := e.server
	for _, r := range e.running {
		r.EndedAt, r.How = time.Now(), "crash"
	}
	e.log.Add("executor %s crashes with %d runs", e.ID, len(e.running))
	e.running = make(map[string]*Run)
	e.mu.Unlock()
	_ = server.Close()
}

// Runs returns copies of all runs that the executor has begun since its first boot.
func (e *Executor) Runs() []Run {
	e.mu.Lock()
	defer e.mu.Unlock()
	var list []Run
	for _, r := range e.all {
		list = append(list, *r)
	}
	return list
}

// CurrentID returns the id of the executor, which changes with an upkeep.
func (e *Executor) CurrentID() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ID
}

// Renew boots the executor under a new id, as after an upkeep of its machine.
func (e *Executor) Renew() {
	e.mu.Lock()
	e.ID += "-b"
	e.mu.Unlock()
	e.Start()
}

func (e *Executor) clock() int64 { return time.Since(e.bootedAt).Milliseconds() + 1000 }

// beat writes the registry entry until the boot ends.
func (e *Executor) beat(boot int) {
	for {
		e.mu.Lock()
		if e.boot != boot {
			e.mu.Unlock()
			return
		}
		e.seq++
		entry := map[string]any{"service": e.Service, "addr": e.address, "zone": "zone-a", "version": "v1", "slots": 8,
			"state": e.state, "cold_left_ms": 0, "capacity": map[string]int64{"cpu": e.CPU, "mem_mb": e.Memory, "gpu": 0},
			"labels": []string{"a", e.Rack}, "clock_ms": e.clock(), "seq": e.seq, "born": e.born}
		id := e.ID
		e.mu.Unlock()
		e.store.Put("servers/"+id, entry)
		time.Sleep(heartbeatInterval)
	}
}

// runTasks ends runs that are done, stopped or without a lease, until the boot ends.
func (e *Executor) runTasks(boot int) {
	for range time.Tick(tick) {
		e.mu.Lock()
		if e.boot != boot {
			e.mu.Unlock()
			return
		}
		now := time.Now()
		if e.clock() > e.until {
			for _, r := range e.ends {
				r.lapsed = true
			}
		}
		for _, r := range e.running {
			switch {
			case e.clock() > e.until:
				e.end(r, "lapsed")
			case !r.stopAt.IsZero() && now.After(r.stopAt):
				e.end(r, "stopped")
			case !r.work.Lasts && now.Sub(r.StartedAt) >= r.work.Duration:
				if r.work.Fails {
					e.end(r, "failed")
				} else {
					e.end(r, "done")
				}
			}
		}
		e.mu.Unlock()
	}
}

// end ends a run and lists its end. The caller holds the lock.
func (e *Executor) end(r *Run, how string) {
	delete(e.running, r.Task)
	e.nextEnd++
	r.EndedAt, r.How, r.end = time.Now(), how, e.nextEnd
	e.last[r.Task] = max(e.last[r.Task], r.Number)
	e.ends = append(e.ends, r)
	e.log.Add("executor %s: run %d of %s ends %s", e.ID, r.Number, r.Task, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

type orderBody struct {
	Task      string `json:"task"`
	Run       int    `json:"run"`
	UntilMs   int64  `json:"until_ms"`
	Fence     int64  `json:"fence"`
	AckedUpto int64  `json:"acked_upto"`
	WaitMs    int64  `json:"wait_ms"`
}

func (e *Executor) handler(boot int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			reply(w, http.StatusOK, struct{}{})
			return
		}
		if id := r.Header.Get("Target-Instance"); id != "" && id != e.CurrentID() {
			reply(w, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		var b orderBody
		if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
			reply(w, http.StatusBadRequest, struct{}{})
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if e.boot != boot {
			panic(http.ErrAbortHandler)
		}
		if b.Fence < e.fence {
			e.refuse(w, "fence")
			return
		}
		e.fence = b.Fence
		switch r.URL.Path {
		case "/basilwood/run-start":
			e.start(w, b)
		case "/basilwood/run-stop":
			e.stop(w, b)
		case "/basilwood/hold":
			e.hold(w, r, b)
		case "/basilwood/pace":
			e.accept(w)
		default:
			reply(w, http.StatusBadRequest, struct{}{})
		}
	})
}

func (e *Executor) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "born": e.born, "reason": reason})
}

func (e *Executor) accept(w http.ResponseWriter) {
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born})
}

func (e *Executor) extend(until int64) {
	e.until = max(e.until, min(until, e.clock()+maxHold.Milliseconds()))
}

func (e *Executor) start(w http.ResponseWriter, b orderBody) {
	if time.Now().Before(e.refusesUntil) {
		e.log.Add("executor %s: start of run %d of %s is answered 503", e.ID, b.Run, b.Task)
		reply(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	if b.UntilMs <= e.clock() {
		e.refuse(w, "late")
		return
	}
	e.extend(b.UntilMs)
	old := e.running[b.Task]
	switch {
	case old != nil && old.Number == b.Run:
		e.accept(w)
		return
	case old != nil || b.Run <= e.last[b.Task]:
		e.refuse(w, "old")
		return
	}
	r := &Run{Task: b.Task, Number: b.Run, Executor: e.ID, StartedAt: time.Now(), work: e.work(b.Task, b.Run)}
	e.running[b.Task] = r
	e.all = append(e.all, r)
	e.log.Add("executor %s: run %d of %s starts, fence %d", e.ID, b.Run, b.Task, b.Fence)
	e.accept(w)
}

func (e *Executor) stop(w http.ResponseWriter, b orderBody) {
	e.last[b.Task] = max(e.last[b.Task], b.Run)
	if r := e.running[b.Task]; r != nil && r.Number <= b.Run && r.stopAt.IsZero() {
		r.stopAt = time.Now().Add(stopTime)
		e.log.Add("executor %s: run %d of %s is being stopped", e.ID, r.Number, b.Task)
	}
	e.accept(w)
}

// hold renews the lease and returns both lists. The caller holds the lock, which is released
// while the response waits for an end.
func (e *Executor) hold(w http.ResponseWriter, r *http.Request, b orderBody) {
	if b.UntilMs > 0 {
		e.extend(b.UntilMs)
	}
	kept := e.ends[:0:0]
	for _, run := range e.ends {
		if run.end <= b.AckedUpto {
			run.Acked = !run.lapsed
		} else {
			kept = append(kept, run)
		}
	}
	e.ends = kept
	boot, changed := e.boot, e.changed
	if b.WaitMs > 0 && len(e.ends) == 0 {
		e.mu.Unlock()
		select {
		case <-changed:
		case <-r.Context().Done():
		case <-time.After(min(time.Duration(b.WaitMs)*time.Millisecond, maxHoldWait)):
		}
		e.mu.Lock()
		if e.boot != boot {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for _, run := range e.running {
		percent := 100
		if run.work.Lasts && time.Since(run.StartedAt) < startupTime {
			percent = 0
		}
		running = append(running, []any{run.Task, run.Number, "", percent, 0})
	}
	sort.Slice(running, func(a, b int) bool { return fmt.Sprint(running[a][0]) < fmt.Sprint(running[b][0]) })
	ended := [][]any{}
	for _, run := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ended = append(ended, []any{run.end, run.Task, run.Number, run.How, ""})
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born, "running": running, "ended": ended})
}
