package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxListedEnds is the number of ends in one answer.
	maxListedEnds = 500
	// heartbeat is the interval at which an executor writes its entry in the registry.
	heartbeat = 1500 * time.Millisecond
	// stopTime is how long a stop takes.
	stopTime = 50 * time.Millisecond
	// tick is the interval at which an executor looks for runs that are due to end.
	tick = 5 * time.Millisecond
)

// run is one run of a work unit.
type run struct {
	task    string
	number  int
	endsAt  time.Time
	startAt time.Time
	stopAt  time.Time
}

// end is the end of one run, with the time at which the executor took note of its acknowledgement.
type end struct {
	number  int64
	task    string
	run     int
	how     string
	startAt time.Time
	at      time.Time
	ackedAt time.Time
}

// executor is a stand-in of one executor. It doesn't guard its capacity.
type executor struct {
	fleet *fleet
	id    string
	pool  string
	zone  string
	rack  string
	// address is where it listens.
	address string
	born    time.Time
	server  *http.Server

	mu         sync.Mutex
	fence      int64
	leaseUntil int64
	lapses     []time.Time
	runs       map[string]*run
	// highest holds the highest run of each work unit that has ended or was stopped here.
	highest map[string]int
	ends    []*end
	acked   int64
	changed chan struct{}
	seq     int
	hasLeft bool
	// isDown is set while the executor has crashed and isn't back yet.
	isDown bool
	// lost holds the runs that ended with a crash.
	lost []lostRun
}

// lostRun is a run that ended with the life of its executor.
type lostRun struct {
	run
	at time.Time
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1000 }

// start listens, registers and runs until the case ends.
func (e *executor) start() error {
	l, err := net.Listen("tcp", e.address)
	if err != nil {
		return err
	}
	e.born = time.Now()
	e.runs, e.highest, e.changed = make(map[string]*run), make(map[string]int), make(chan struct{})
	e.server = &http.Server{Handler: e}
	go func() { _ = e.server.Serve(l) }()
	go e.beat()
	go e.work()
	return nil
}

func (e *executor) beat() {
	for {
		e.mu.Lock()
		if e.hasLeft {
			e.mu.Unlock()
			return
		}
		if e.isDown {
			e.mu.Unlock()
			time.Sleep(tick)
			continue
		}
		e.seq++
		entry := map[string]any{
			"service": e.pool, "addr": e.address, "zone": e.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]any{"cpu": executorCPU, "mem_mb": executorMemory, "gpu": 0}, "labels": []string{"a", e.rack},
			"clock_ms": e.clock(), "seq": e.seq, "born": e.born.UnixMilli(),
		}
		e.mu.Unlock()
		e.fleet.put("servers/"+e.id, entry)
		time.Sleep(heartbeat)
	}
}

// work ends the runs that are due.
func (e *executor) work() {
	for {
		time.Sleep(tick)
		now := time.Now()
		e.mu.Lock()
		if e.hasLeft {
			e.mu.Unlock()
			return
		}
		if e.leaseUntil > 0 && e.clock() > e.leaseUntil {
			e.leaseUntil = 0
			e.lapses = append(e.lapses, now)
			for _, r := range e.runs {
				e.endRun(r, "lapsed", now)
			}
		}
		var due []*run
		for _, r := range e.runs {
			if !r.stopAt.IsZero() && now.After(r.stopAt) || r.stopAt.IsZero() && now.After(r.endsAt) {
				due = append(due, r)
			}
		}
		sort.Slice(due, func(a, b int) bool { return due[a].endsAt.Before(due[b].endsAt) })
		for _, r := range due {
			how := "done"
			if !r.stopAt.IsZero() {
				how = "stopped"
			}
			e.endRun(r, how, now)
		}
		e.mu.Unlock()
	}
}

// endRun ends a run. The caller holds the lock.
func (e *executor) endRun(r *run, how string, now time.Time) {
	delete(e.runs, r.task)
	e.highest[r.task] = max(e.highest[r.task], r.number)
	x := &end{number: int64(len(e.ends) + 1), task: r.task, run: r.number, how: how, startAt: r.startAt, at: now}
	e.ends = append(e.ends, x)
	e.fleet.record("end", e.id, fmt.Sprintf("%s run %d %s (%d)", r.task, r.number, how, x.number))
	close(e.changed)
	e.changed = make(chan struct{})
}

type executorCall struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"until_ms"`
	Fence   int64  `json:"fence"`
	AckedUp int64  `json:"acked_upto"`
	WaitMs  int64  `json:"wait_ms"`
	Ticket  string `json:"ticket"`
	Saved   string `json:"checkpoint"`
	Percent int    `json:"percent"`
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call executorCall
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		e.answer(w, http.StatusBadRequest, "")
		return
	}
	if r.Header.Get("Target-Instance") != e.id {
		e.answer(w, http.StatusMisdirectedRequest, "")
		return
	}
	e.abortIfDown()
	if r.URL.Path == "/basilwood/run-start" && e.fleet.holdsBack(e, call) {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if !e.raiseFence(call.Fence) {
		e.answer(w, http.StatusConflict, "fence")
		return
	}
	switch r.URL.Path {
	case "/basilwood/hold":
		e.hold(w, r, call)
	case "/basilwood/run-start":
		e.startRun(w, call)
	case "/basilwood/run-stop":
		e.mu.Lock()
		if x := e.runs[call.Task]; x != nil && x.number == call.Run && x.stopAt.IsZero() {
			x.stopAt = time.Now().Add(stopTime)
		}
		e.highest[call.Task] = max(e.highest[call.Task], call.Run)
		e.mu.Unlock()
		e.answer(w, http.StatusOK, "")
	default:
		e.answer(w, http.StatusOK, "")
	}
}

// abortIfDown ends a call without an answer while the executor has crashed.
func (e *executor) abortIfDown() {
	e.mu.Lock()
	isDown := e.isDown
	e.mu.Unlock()
	if isDown {
		panic(http.ErrAbortHandler)
	}
}

// raiseFence reports whether a call with a fence may be carried out.
func (e *executor) raiseFence(fence int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if fence < e.fence {
		return false
	}
	e.fence = fence
	return true
}

// crash ends the executor's life. It is back after a while under the same ID, and knows nothing of before.
func (e *executor) crash(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	now := time.Now()
	e.fleet.record("crash", e.id, fmt.Sprintf("%d work units running, back after %s", len(e.runs), d))
	for _, r := range e.runs {
		e.lost = append(e.lost, lostRun{*r, now})
	}
	e.isDown = true
	e.runs, e.highest = make(map[string]*run), make(map[string]int)
	e.ends, e.acked, e.fence, e.leaseUntil = nil, 0, 0, 0
	close(e.changed)
	e.changed = make(chan struct{})
	time.AfterFunc(d, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.isDown, e.born = false, time.Now()
		e.fleet.record("back", e.id, "")
	})
}

func (e *executor) answer(w http.ResponseWriter, status int, reason string) {
	body := map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli()}
	if reason != "" {
		body["reason"] = reason
	}
	writeJSON(w, status, body)
}

// extend extends the lease. The caller holds the lock.
func (e *executor) extend(until int64) {
	if until > 0 {
		e.leaseUntil = max(e.leaseUntil, min(until, e.clock()+holdMax.Milliseconds()))
	}
}

func (e *executor) startRun(w http.ResponseWriter, call executorCall) {
	if reason := e.carryOut(call); reason != "" {
		e.answer(w, http.StatusConflict, reason)
		return
	}
	e.answer(w, http.StatusOK, "")
}

// carryOut starts a run and returns the reason for which it is rejected, or "".
func (e *executor) carryOut(call executorCall) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	if x := e.runs[call.Task]; x != nil && x.number == call.Run {
		e.extend(call.UntilMs)
		return ""
	}
	if call.UntilMs <= e.clock() {
		return "late"
	}
	e.extend(call.UntilMs)
	if call.Run <= e.highest[call.Task] {
		return "old"
	}
	now := time.Now()
	e.runs[call.Task] = &run{task: call.Task, number: call.Run, startAt: now, endsAt: now.Add(workTime(call.Spec))}
	e.fleet.noteStart(start{task: call.Task, run: call.Run, executor: e.id, at: now})
	return ""
}

// workTime returns how long a work unit works: the milliseconds that its spec names.
func workTime(spec string) time.Duration {
	ms, err := strconv.Atoi(strings.TrimPrefix(spec, "work "))
	if err != nil {
		return time.Second
	}
	return time.Duration(ms) * time.Millisecond
}

func (e *executor) hold(w http.ResponseWriter, r *http.Request, call executorCall) {
	now := time.Now()
	deadline := time.After(time.Duration(call.WaitMs) * time.Millisecond)
	e.mu.Lock()
	e.extend(call.UntilMs)
	for _, x := range e.ends {
		if x.number <= call.AckedUp && x.ackedAt.IsZero() {
			x.ackedAt = now
		}
	}
	e.acked = max(e.acked, call.AckedUp)
	for int64(len(e.ends)) <= e.acked && call.WaitMs > 0 {
		changed := e.changed
		e.mu.Unlock()
		isOver := false
		select {
		case <-changed:
		case <-deadline:
			isOver = true
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
		if e.isDown {
			e.mu.Unlock()
			panic(http.ErrAbortHandler)
		}
		if isOver {
			break
		}
	}
	running := [][]any{}
	for _, x := range e.runs {
		running = append(running, []any{x.task, x.number, "", 100, 100})
	}
	ended := [][]any{}
	for _, x := range e.ends {
		if x.number > e.acked && len(ended) < maxListedEnds {
			ended = append(ended, []any{x.number, x.task, x.run, x.how, ""})
		}
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli(), "running": running, "ended": ended})
}

// leave ends the executor and everything that runs on it.
func (e *executor) leave() {
	e.mu.Lock()
	e.hasLeft = true
	for _, r := range e.runs {
		e.fleet.record("end", e.id, fmt.Sprintf("%s run %d ended with its executor", r.task, r.number))
	}
	e.runs = make(map[string]*run)
	e.mu.Unlock()
	_ = e.server.Close()
	e.fleet.store.kv.Delete("servers/" + e.id)
}
