// Command 2 shows that the jobs of a queue are lost to their callers, and run twice, when the
// queue's route is removed from the configuration and added again for another service.
package main

import (
	"fmt"
	"net/http"
	"time"

	"basilwood.example/basilwood/review/rig"
)

const (
	jobs     = 4
	taskTime = 16 * time.Second
	// repeatAfter is the time from a 2xx answer until the same request arrives once more.
	repeatAfter = 12 * time.Second
	body        = `{"spec":"quote for an impeller","steps":[{"count":2,"cpu":2300,"mem_mb":13000,"est_ms":16000}]}`
)

func main() {
	r := rig.New()
	defer r.Close()
	work := func(string, int) rig.Work { return rig.Work{Duration: taskTime} }
	r.AddExecutors("quotes", 4, work)
	r.AddExecutors("dispatch", 4, work)
	quote := rig.Route{Name: "r-quote", Host: "desk.example", Prefix: "/quote/", Kind: "unsafe", TimeoutMs: 3000, SloMs: 600, Service: "quotes", Attempts: 4, Stretch: 1.6}
	visit := rig.Route{Name: "r-visit", Host: "desk.example", Prefix: "/visit/", Kind: "unsafe", TimeoutMs: 3000, SloMs: 600, Service: "dispatch", Attempts: 4, Stretch: 1.6}
	calls := rig.Route{Name: "r-calls", Host: "desk.example", Prefix: "/calls/", Kind: "unsafe", TimeoutMs: 3000, SloMs: 600, Service: "quotes", Attempts: 4, Stretch: 1.6}
	services := []string{"quotes", "dispatch"}
	r.Configure(3, []rig.Route{quote, visit, calls}, services)
	r.StartNodes(3)
	r.WaitUntilServing([]rig.Route{quote, visit, calls})

	accepted := make(map[string]time.Time)
	for i := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", i)
		accepted[id] = r.Submit(quote, id, body)
	}
	time.Sleep(rig.VisibleTime + time.Second)
	next := quote
	if rig.HasTrouble() {
		r.Configure(7, []rig.Route{visit, calls}, services)
		next.Service = "dispatch"
	} else {
		next.TimeoutMs = 2500
		r.Configure(7, []rig.Route{next, visit, calls}, services)
		next.TimeoutMs = 2000
	}
	time.Sleep(rig.ApplyTime + time.Second)
	r.Configure(12, []rig.Route{next, visit, calls}, services)
	time.Sleep(rig.ApplyTime + time.Second)

	var problems []string
	repeated := make(map[string]bool)
	done := make(map[string]bool)
	deadline := time.Now().Add(40 * time.Second)
	for len(done) < jobs && time.Now().Before(deadline) {
		for id, at := range accepted {
			if !repeated[id] && time.Since(at) >= repeatAfter {
				repeated[id] = true
				r.Call(r.Nodes[1], http.MethodPost, next, id, body)
			}
			status, state := r.State(r.Nodes[0], next, id)
			if status == http.StatusGone {
				problems = append(problems, fmt.Sprintf("LOST: GET for job %s is answered 410, %.1f s after its confirmation", id, time.Since(at).Seconds()))
			}
			if state == "done" {
				done[id] = true
			}
		}
		time.Sleep(time.Second)
	}
	problems = append(problems, r.DoubleRuns()...)
	if len(problems) == 0 && len(done) < jobs {
		rig.Fail("%d of %d jobs are done by the end", len(done), jobs)
	}
	r.Finish(problems)
}
