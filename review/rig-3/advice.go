package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"
)

const (
	// adviceDecide, advicePeriod and adviceValid are the queue's decide_ms, period_ms and valid_ms.
	adviceDecide = 20 * time.Millisecond
	advicePeriod = 2 * time.Millisecond
	adviceValid  = 3 * time.Second
	firstJob     = "7777aaaa8888bbbb"
	secondJob    = "9999cccc0000dddd"
	// pollPause is the time between two requests for the state of a job.
	pollPause = 300 * time.Millisecond
)

// adviser is a stand-in of the service that knows which executors may run a step: all of them.
type adviser struct {
	fleet  *fleet
	name   string
	server *http.Server
	one    sync.Mutex
}

// startAdviser starts the service at an address.
func (f *fleet) startAdviser(name, address string) (*adviser, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	a := &adviser{fleet: f, name: name}
	a.server = &http.Server{Handler: a}
	go func() { _ = a.server.Serve(l) }()
	return a, nil
}

// ServeHTTP implements http.Handler.
func (a *adviser) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	a.one.Lock()
	time.Sleep(adviceDecide + time.Duration(len(body.Workers))*advicePeriod)
	a.one.Unlock()
	allowed := [][2]string{}
	for _, id := range body.Workers {
		allowed = append(allowed, [2]string{id, ticketFor(body.Step, id)})
	}
	a.fleet.record("advice", a.name, fmt.Sprintf("%s asked for %d executors", body.Step, len(body.Workers)))
	writeJSON(w, http.StatusOK, map[string]any{"allowed": allowed, "valid_ms": adviceValid.Milliseconds()})
}

func ticketFor(step, executor string) string { return step + "|" + executor }

// playSettings moves the service for advice to another address, writes that into all settings files and sends
// SIGHUP to half of the processes: the file may also change without a signal. A job of a queue with advice is handed in before and after.
func playSettings(f *fleet, hasTrouble bool) (string, error) {
	f.adviceAt = f.address(2)
	before, err := f.startAdviser("first", f.adviceAt)
	if err != nil {
		return "", err
	}
	r := newRoute("lots", "ledger")
	r.Advice = map[string]int{"decide_ms": int(adviceDecide.Milliseconds()), "period_ms": int(advicePeriod.Milliseconds()), "valid_ms": int(adviceValid.Milliseconds())}
	f.checkTicket = func(e *executor, call executorCall) string {
		if call.Ticket != ticketFor(call.Task[:len(call.Task)-len(".0")], e.id) {
			return "ticket"
		}
		return ""
	}
	f.configure(1, []route{r}, "ledger")
	if err := f.addExecutors("ledger", 9); err != nil {
		return "", err
	}
	if err := f.startNodes(6); err != nil {
		return "", err
	}
	if !waitFor(readyWait, func() bool { return f.owner("ledger") != nil }) {
		return "", errNoOwner
	}
	time.Sleep(settleTime)
	step := stepBody{Count: 4, CPU: 4000, MemMB: 1000, EstMs: 1000}
	if err := f.submit("/lots/"+firstJob, newJob(time.Second, step)); err != nil {
		return "", err
	}
	isDone := func() bool {
		time.Sleep(pollPause)
		return f.state("/lots/"+firstJob) == "done"
	}
	if !waitFor(finishWait, isDone) {
		return "", fmt.Errorf("the first job is not done")
	}
	if hasTrouble {
		f.adviceAt = f.address(4)
		if _, err := f.startAdviser("second", f.adviceAt); err != nil {
			return "", err
		}
		f.record("advice", "second", "the service has moved to another address")
		for i, n := range f.nodes {
			if err := f.writeSettings(n); err != nil {
				return "", err
			}
			f.record("settings", n.name, "file changed")
			if i%2 == 0 {
				f.signal(n, syscall.SIGHUP)
			}
		}
		time.Sleep(settleTime)
		if err := before.server.Close(); err != nil {
			return "", err
		}
		f.record("advice", "first", "ends")
	}
	time.Sleep(settleTime)
	if err := f.submit("/lots/"+secondJob, newJob(time.Second, step)); err != nil {
		return "", err
	}
	return f.idleJob("/lots/"+secondJob, secondJob), nil
}
