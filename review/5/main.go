// Command 5 shows that a queue's count of waiting jobs leaves out jobs whose starts were refused.
package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"basilwood.example/basilwood/review/rig"
)

const (
	jobs = 6
	// greyTime is how long the last executor is unhealthy.
	greyTime = 6500 * time.Millisecond
	// The lasting work units leave room for no other one on the first eleven executors: six fit on
	// each.
	lastingPrefix = "11111111"
	lastingUnits  = 66
	unitsPerJob   = 6
	lasting       = `{"spec":"sweep","steps":[{"count":6,"cpu":10600,"mem_mb":8000,"est_ms":900,"long_running":true}]}`
	job           = `{"spec":"quote","steps":[{"count":1,"cpu":3500,"mem_mb":13000,"est_ms":640}]}`
	waitedLong    = rig.VisibleTime + 2*time.Second
)

func main() {
	r := rig.New()
	defer r.Close()
	work := func(task string, _ int) rig.Work {
		return rig.Work{Duration: 640 * time.Millisecond, Lasts: strings.HasPrefix(task, lastingPrefix)}
	}
	r.AddExecutors("quotes", 11, work)
	e := r.AddExecutor("quotes", 12, work)
	quote := rig.Route{Name: "r-quote", Host: "desk.example", Prefix: "/quote/", Kind: "unsafe", TimeoutMs: 3000, SloMs: 600, Service: "quotes", Attempts: 2, Stretch: 1.6}
	parts := rig.Route{Name: "r-parts", Host: "desk.example", Prefix: "/parts/", Kind: "unsafe", TimeoutMs: 3000, SloMs: 2500, Service: "quotes", Attempts: 4, Stretch: 2.2}
	r.Configure(3, []rig.Route{quote, parts}, []string{"quotes"})
	r.StartNodes(3)
	r.WaitUntilServing([]rig.Route{quote, parts})
	for i := range lastingUnits / unitsPerJob {
		r.Submit(parts, fmt.Sprintf("%s%08x", lastingPrefix, i), lasting)
	}
	time.Sleep(4 * time.Second)
	if rig.HasTrouble() {
		e.RefuseFor(greyTime)
	}
	e.Start()
	accepted := make(map[string]time.Time)
	for i := range jobs {
		id := fmt.Sprintf("5c0e7a21d94b36%02x", i)
		accepted[id] = r.Submit(quote, id, job)
	}
	var problems []string
	time.Sleep(waitedLong + 300*time.Millisecond)
	for _, n := range r.Nodes {
		waiting := 0
		asked := time.Now()
		status, body := r.Call(n, http.MethodGet, quote, "", "")
		for id, at := range accepted {
			if asked.Sub(at) > waitedLong && !hasBegun(r, id) {
				waiting++
			}
		}
		var reply struct {
			Pending int `json:"pending"`
		}
		_ = json.Unmarshal([]byte(body), &reply)
		if status == http.StatusOK && 2*reply.Pending < waiting {
			problems = append(problems, fmt.Sprintf("MIXED: %s gives %d as pending, %d jobs have waited for %s", n.Name, reply.Pending, waiting, waitedLong))
		}
	}
	r.Finish(problems)
}

func hasBegun(r *rig.Rig, id string) bool {
	for _, run := range r.Runs() {
		if strings.HasPrefix(run.Task, id) {
			return true
		}
	}
	return false
}
