// Command 1 shows that a work unit runs twice at the same time after the owner of its service
// was stopped as planned: the new owner does not take over a run that a crash has made suspect,
// but starts the work unit elsewhere while that run works.
package main

import (
	"strings"
	"time"

	"basilwood.example/basilwood/review/rig"
)

const (
	id       = "5c0e7a21d94b36f8"
	body     = `{"spec":"supplier purchase order","steps":[{"count":1,"cpu":5000,"mem_mb":9100,"est_ms":9000}]}`
	attempts = 4
	// crashAfter is the age of a run at which its executor crashes, downTime how long it is away.
	crashAfter = 2 * time.Second
	downTime   = 2 * time.Second
	// settleTime is the age of the third run at which the owner is stopped.
	settleTime = 4 * time.Second
)

// work lets the first run of a work unit fail, which counts as one of four attempts.
func work(_ string, run int) rig.Work {
	if run == 1 {
		return rig.Work{Duration: time.Second, Fails: true}
	}
	return rig.Work{Duration: 9 * time.Second}
}

func main() {
	r := rig.New()
	defer r.Close()
	r.AddExecutors("procurement", 9, work)
	route := rig.Route{Name: "r-po", Host: "desk.example", Prefix: "/po/", Kind: "unsafe", TimeoutMs: 3000, SloMs: 600, Service: "procurement", Attempts: attempts, Stretch: 1.6}
	r.Configure(3, []rig.Route{route}, []string{"procurement"})
	r.StartNodes(3)
	r.WaitUntilServing([]rig.Route{route})
	r.Submit(route, id, body)
	if rig.HasTrouble() {
		e := waitForRun(r, 2, crashAfter)
		e.Crash()
		time.Sleep(downTime)
		e.Start()
		waitForRun(r, 3, settleTime)
		owner := r.OwnerOf("procurement")
		if owner == nil {
			rig.Fail("no owner of the service")
		}
		r.Terminate(owner)
	}
	state := ""
	for deadline := time.Now().Add(40 * time.Second); time.Now().Before(deadline) && state != "done" && state != "failed"; {
		time.Sleep(time.Second)
		_, state = r.State(r.Nodes[0], route, id)
	}
	problems := r.DoubleRuns()
	if len(problems) == 0 && state != "done" {
		rig.Fail("job %s is not done by the end, its state is %q", id, state)
	}
	r.Finish(problems)
}

// waitForRun waits until a run with a number works for a time, and returns its executor.
func waitForRun(r *rig.Rig, number int, age time.Duration) *rig.Executor {
	for deadline := time.Now().Add(30 * time.Second); time.Now().Before(deadline); time.Sleep(20 * time.Millisecond) {
		for _, e := range r.Executors {
			for _, run := range e.Runs() {
				if strings.HasPrefix(run.Task, id) && run.Number == number && run.EndedAt.IsZero() && time.Since(run.StartedAt) >= age {
					return e
				}
			}
		}
	}
	rig.Fail("run %d did not start", number)
	return nil
}
