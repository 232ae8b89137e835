// Command 3 shows that a job fails after its first failed run when its queue was missing from
// the configuration while the jobs of its service changed their owner.
package main

import (
	"fmt"
	"strings"
	"time"

	"basilwood.example/basilwood/review/rig"
)

const (
	attempts = 4
	id       = "5c0e7a21d94b36f8"
	body     = `{"spec":"parts reconciliation","steps":[{"count":1,"cpu":5000,"mem_mb":13000,"est_ms":14000}]}`
)

// work lets the first run of a task fail and the others end as done.
func work(_ string, run int) rig.Work {
	if run == 1 {
		return rig.Work{Duration: 14 * time.Second, Fails: true}
	}
	return rig.Work{Duration: 2 * time.Second}
}

func main() {
	r := rig.New()
	defer r.Close()
	r.AddExecutors("quotes", 5, work)
	parts := rig.Route{Name: "r-parts", Host: "desk.example", Prefix: "/parts/", Kind: "unsafe", TimeoutMs: 3000, SloMs: 600, Service: "quotes", Attempts: attempts, Stretch: 1.6}
	quote := rig.Route{Name: "r-quote", Host: "desk.example", Prefix: "/quote/", Kind: "unsafe", TimeoutMs: 3000, SloMs: 600, Service: "quotes", Attempts: attempts, Stretch: 1.6}
	r.Configure(3, []rig.Route{parts, quote}, []string{"quotes"})
	r.StartNodes(3)
	r.WaitUntilServing([]rig.Route{parts, quote})
	accepted := r.Submit(parts, id, body)
	time.Sleep(rig.VisibleTime)
	if rig.HasTrouble() {
		r.Configure(7, []rig.Route{quote}, []string{"quotes"})
	}
	time.Sleep(rig.ApplyTime)
	owner := r.OwnerOf("quotes")
	if owner == nil {
		rig.Fail("no owner of the service")
	}
	r.Terminate(owner)
	time.Sleep(time.Until(accepted.Add(16 * time.Second)))
	if rig.HasTrouble() {
		r.Configure(12, []rig.Route{parts, quote}, []string{"quotes"})
	}
	time.Sleep(rig.ApplyTime + rig.ContactTime)
	state := ""
	for deadline := time.Now().Add(20 * time.Second); time.Now().Before(deadline) && state != "done" && state != "failed"; {
		time.Sleep(time.Second)
		_, state = r.State(r.Nodes[0], parts, id)
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
		problems = append(problems, fmt.Sprintf("LOST: job %s is shown as failed; %d of its runs have ended failed, attempts is %d", id, failed, attempts))
	case state != "done":
		rig.Fail("job %s is not done by the end, its state is %q", id, state)
	}
	r.Finish(problems)
}
