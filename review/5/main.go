// Command 5 shows that a job is failed because executors crashed during its runs, although no
// run of it has ended as failed.
package main

import (
	"fmt"
	"strings"
	"time"

	"basilwood.example/basilwood/review/rig"
)

const (
	crashes = 3
	// crashAfter is the age of a run at which its executor crashes, downTime how long the
	// executor is away.
	crashAfter = 2500 * time.Millisecond
	downTime   = 1500 * time.Millisecond
	attempts   = 4
	id         = "5c0e7a21d94b36f8"
	body       = `{"spec":"invoice batch","steps":[{"count":1,"cpu":5000,"mem_mb":13000,"est_ms":6000}]}`
)

func main() {
	r := rig.New()
	defer r.Close()
	r.AddExecutors("procurement", 9, func(string, int) rig.Work { return rig.Work{Duration: 6 * time.Second} })
	route := rig.Route{Name: "r-po", Host: "desk.example", Prefix: "/po/", Kind: "unsafe", TimeoutMs: 3000, SloMs: 600, Service: "procurement", Attempts: attempts, Stretch: 1.6}
	r.Configure(3, []rig.Route{route}, []string{"procurement"})
	r.StartNodes(3)
	r.WaitUntilServing([]rig.Route{route})
	accepted := r.Submit(route, id, body)
	if rig.HasTrouble() {
		for range crashes {
			crashRunning(r)
		}
	}
	state := ""
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline) && state != "done" && state != "failed"; {
		time.Sleep(time.Second)
		_, state = r.State(r.Nodes[0], route, id)
	}
	var problems []string
	failed := 0
	for _, run := range r.Runs() {
		if strings.HasPrefix(run.Task, id) && run.How == "failed" {
			failed++
		}
	}
	switch {
	case state == "failed" && failed < attempts:
		problems = append(problems, fmt.Sprintf("LOST: job %s is shown as failed %.1f s after its confirmation; %d of its runs have ended failed, attempts is %d",
			id, time.Since(accepted).Seconds(), failed, attempts))
	case state != "done":
		problems = append(problems, fmt.Sprintf("LOST: job %s is not done by the end, its state is %q", id, state))
	}
	r.Finish(problems)
}

// crashRunning crashes the executor that runs the job's task, and starts it again under the same id.
func crashRunning(r *rig.Rig) {
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, e := range r.Executors {
			for _, run := range e.Runs() {
				if run.EndedAt.IsZero() && time.Since(run.StartedAt) >= crashAfter {
					e.Crash()
					time.Sleep(downTime)
					e.Start()
					return
				}
			}
		}
	}
	r.Log.Add("the task was not started again")
}
