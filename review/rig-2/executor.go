package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"sync"
	"time"
)

const (
	holdMax      = 10 * time.Second
	maxHoldWait  = 2 * time.Second
	stopTime     = 100 * time.Millisecond
	heartbeat    = 1500 * time.Millisecond
	expiryPeriod = 20 * time.Millisecond
	// clockStart is the reading of an executor's clock at its start, in milliseconds.
	clockStart = 1000
	// checkpointInterval is checkpoint_interval_s of the settings.
	checkpointInterval = 2 * time.Second
	maxListedEnds      = 500
	// fullPercent is the percentage at which a task works at full speed.
	fullPercent = 100
)

// run is one run of a task. saved is its latest checkpoint.
type run struct {
	task   string
	number int
	cancel context.CancelFunc
	saved  string
}

// end is the end of a run as an executor lists it.
type end struct {
	number int64
	task   string
	run    int
	how    string
	saved  string
}

// executor is a stand-in of an executor that doesn't guard its capacity. How long a task works stands in the spec
// of its job as "ms=N", or "ms=N spread=M checkpoint=BYTES" for one that works up to M longer and saves checkpoints; a
// task without it lasts.
type executor struct {
	id, pool, rack, address string
	store                   *store
	record                  *record

	mu       sync.Mutex
	born     time.Time
	runs     map[string]*run
	ends     []end
	lastEnd  int64
	endedRun map[string]int
	fence    int64
	until    int64
	changed  chan struct{}
	seq      int
}

// newExecutor starts an executor on a free port.
func newExecutor(id, pool, rack string, s *store, rec *record) (*executor, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &executor{id: id, pool: pool, rack: rack, address: l.Addr().String(), store: s, record: rec, born: time.Now(),
		runs: make(map[string]*run), endedRun: make(map[string]int), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /basilwood/run-start", e.serve(e.startRun))
	mux.HandleFunc("POST /basilwood/run-stop", e.serve(e.stopRun))
	mux.HandleFunc("POST /basilwood/pace", e.serve(func(orderBody) (int, string) { return http.StatusOK, "" }))
	mux.HandleFunc("POST /basilwood/hold", e.serveHold)
	go func() { _ = http.Serve(l, mux) }()
	go e.register()
	go e.expire()
	e.record.write("executor %s is up", e.id)
	return e, nil
}

// register writes the executor's entry to the store at the interval of its heartbeats.
func (e *executor) register() {
	for {
		e.writeEntry()
		time.Sleep(heartbeat)
	}
}

func (e *executor) writeEntry() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.seq++
	err := e.store.put("servers/"+e.id, map[string]any{
		"service": e.pool, "addr": e.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"capacity": map[string]int{"cpu": 16000, "mem_mb": 65536, "gpu": 0}, "labels": []string{"a", e.rack},
		"clock_ms": e.clock(), "seq": e.seq, "born": e.born.UnixMilli(),
	})
	if err != nil {
		e.record.fail("entry of %s: %v", e.id, err)
	}
}

// clock returns the executor's clock in milliseconds. The caller holds the lock.
func (e *executor) clock() int64 { return clockStart + time.Since(e.born).Milliseconds() }

// expire ends all runs when the lease has ended.
func (e *executor) expire() {
	for range time.Tick(expiryPeriod) {
		e.mu.Lock()
		if e.until > 0 && e.clock() > e.until {
			for _, r := range e.runs {
				e.finish(r, "lapsed")
			}
		}
		e.mu.Unlock()
	}
}

// orderBody is the body of a start or stop order.
type orderBody struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	UntilMs int64  `json:"until_ms"`
	Fence   int64  `json:"fence"`
	// Checkpoint begins with the milliseconds of work that it saves.
	Checkpoint string `json:"checkpoint"`
}

// serve returns the handler of an order, which is carried out under the lock.
func (e *executor) serve(order func(orderBody) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var body orderBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			writeJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		e.mu.Lock()
		defer e.mu.Unlock()
		if r.Header.Get("Target-Instance") != e.id {
			writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
			return
		}
		status, reason := http.StatusConflict, "fence"
		if body.Fence >= e.fence {
			e.fence = body.Fence
			status, reason = order(body)
		}
		reply := map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli()}
		if reason != "" {
			reply["reason"] = reason
		}
		writeJSON(w, status, reply)
	}
}

// extend extends the lease, at most by holdMax from now.
func (e *executor) extend(until int64) {
	e.until = max(e.until, min(until, e.clock()+holdMax.Milliseconds()))
}

func (e *executor) startRun(o orderBody) (int, string) {
	if o.UntilMs <= e.clock() {
		return http.StatusConflict, "late"
	}
	e.extend(o.UntilMs)
	current := e.runs[o.Task]
	switch {
	case current != nil && current.number == o.Run:
		return http.StatusOK, ""
	case current != nil, o.Run <= e.endedRun[o.Task]:
		return http.StatusConflict, "old"
	}
	ctx, cancel := context.WithCancel(context.Background())
	r := &run{task: o.Task, number: o.Run, cancel: cancel}
	e.runs[o.Task] = r
	e.record.started(o.Task, o.Run, e.id)
	var millis, spread, size, worked int
	if _, err := fmt.Sscanf(o.Spec, "ms=%d spread=%d checkpoint=%d", &millis, &spread, &size); err != nil && millis == 0 {
		return http.StatusOK, ""
	}
	if spread > 0 {
		millis += int(crc32.ChecksumIEEE([]byte(o.Task))) % spread
	}
	if _, err := fmt.Sscanf(o.Checkpoint, "%d.", &worked); err == nil {
		r.saved = o.Checkpoint
	}
	go e.work(ctx, r, millis, worked, size)
	return http.StatusOK, ""
}

// work ends a run as done after a number of milliseconds of work, of which some are saved already. It saves
// checkpoints of a size, if that isn't 0.
func (e *executor) work(ctx context.Context, r *run, millis, worked, size int) {
	for worked < millis {
		part := min(millis-worked, int(checkpointInterval.Milliseconds()))
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Duration(part) * time.Millisecond):
		}
		worked += part
		if size > 0 {
			e.mu.Lock()
			r.saved = fmt.Sprintf("%-*s", size, fmt.Sprintf("%d.", worked))
			e.mu.Unlock()
		}
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if ctx.Err() == nil {
		e.finish(r, "done")
	}
}

func (e *executor) stopRun(o orderBody) (int, string) {
	e.endedRun[o.Task] = max(e.endedRun[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.number == o.Run {
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			if e.runs[o.Task] == r {
				e.finish(r, "stopped")
			}
		})
	}
	return http.StatusOK, ""
}

// finish ends a run and lists its end. The caller holds the lock.
func (e *executor) finish(r *run, how string) {
	r.cancel()
	delete(e.runs, r.task)
	e.endedRun[r.task] = max(e.endedRun[r.task], r.number)
	e.lastEnd++
	e.ends = append(e.ends, end{number: e.lastEnd, task: r.task, run: r.number, how: how, saved: r.saved})
	e.record.write("run %d of %s ended %s at %s", r.number, r.task, how, e.id)
	e.record.ended(r.task)
	close(e.changed)
	e.changed = make(chan struct{})
}

func (e *executor) serveHold(w http.ResponseWriter, r *http.Request) {
	var body struct {
		UntilMs   int64 `json:"until_ms"`
		Fence     int64 `json:"fence"`
		AckedUpto int64 `json:"acked_upto"`
		WaitMs    int64 `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	if r.Header.Get("Target-Instance") != e.id {
		writeJSON(w, http.StatusMisdirectedRequest, struct{}{})
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if body.Fence < e.fence {
		writeJSON(w, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "reason": "fence", "born": e.born.UnixMilli()})
		return
	}
	e.fence = body.Fence
	if body.UntilMs > 0 {
		e.extend(body.UntilMs)
	}
	for len(e.ends) > 0 && e.ends[0].number <= body.AckedUpto {
		e.record.write("end %d of %s is taken note of", e.ends[0].number, e.id)
		e.ends = e.ends[1:]
	}
	if changed := e.changed; len(e.ends) == 0 && body.WaitMs > 0 {
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Duration(body.WaitMs)*time.Millisecond, maxHoldWait)):
		case <-r.Context().Done():
		}
		e.mu.Lock()
	}
	writeJSON(w, http.StatusOK, e.lists())
}

// lists returns the body of a reply with both lists. The caller holds the lock.
func (e *executor) lists() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range e.runs {
		running = append(running, []any{r.task, r.number, r.saved, fullPercent, 0})
	}
	for _, x := range e.ends[:min(len(e.ends), maxListedEnds)] {
		ended = append(ended, []any{x.number, x.task, x.run, x.how, x.saved})
	}
	return map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli(), "running": running, "ended": ended}
}

func executorID(pool string, n int) string { return fmt.Sprintf("i-%s-%d", pool, n) }
