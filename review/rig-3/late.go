package main

import (
	"fmt"
	"sort"
	"strings"
	"sync"
	"time"
)

const (
	lateJob  = "2222dddd3333eeee"
	lateWork = 8 * time.Second
	// lateAfter is how long after it was sent the order is carried out, of 2 to 12 s.
	lateAfter = 4 * time.Second
	// crashAfter is when the executor crashes, counted from the order, and crashTime how long it is down.
	crashAfter = 1500 * time.Millisecond
	crashTime  = 600 * time.Millisecond
)

// playLateStart hands in a job of one work unit. Its first order to start gets no answer and is carried out 4 s
// later. In between its executor crashes and is back under the same ID.
func playLateStart(f *fleet, hasTrouble bool) (string, error) {
	f.configure(1, []route{newRoute("lots", "ledger")}, "ledger")
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
	if err := f.submitUsual("/lots/", usualJobs); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	if hasTrouble {
		f.holdsBack = holdFirst(f)
	}
	if err := f.submit("/lots/"+lateJob, newJob(lateWork, stepBody{Count: 1, CPU: 4000, MemMB: 1000, EstMs: int(lateWork.Milliseconds())})); err != nil {
		return "", err
	}
	time.Sleep(lateAfter + lateWork + settleTime)
	return f.overlap(lateJob), nil
}

// holdFirst returns a function that holds back the first order to start.
func holdFirst(f *fleet) func(*executor, executorCall) bool {
	var mu sync.Mutex
	hasHeld := false
	return func(e *executor, call executorCall) bool {
		mu.Lock()
		defer mu.Unlock()
		if hasHeld {
			return false
		}
		hasHeld = true
		f.record("held", e.id, fmt.Sprintf("order to start %s run %d", call.Task, call.Run))
		time.AfterFunc(crashAfter, func() { e.crash(crashTime) })
		time.AfterFunc(lateAfter, func() {
			reason := "fence"
			if e.raiseFence(call.Fence) {
				reason = e.carryOut(call)
			}
			f.record("late", e.id, fmt.Sprintf("order to start %s run %d arrives; rejected: %q", call.Task, call.Run, reason))
		})
		return true
	}
}

// interval is the time in which one run was at work.
type interval struct {
	text     string
	from, to time.Time
}

// overlap returns a description of two runs of one work unit of a job at the same time, or "".
func (f *fleet) overlap(job string) string {
	byTask := make(map[string][]interval)
	add := func(e *executor, task string, number int, from, to time.Time, how string) {
		if !strings.HasPrefix(task, job) {
			return
		}
		text := fmt.Sprintf("run %d on %s from %.3f to %.3f s (%s)", number, e.id, from.Sub(f.begun).Seconds(), to.Sub(f.begun).Seconds(), how)
		byTask[task] = append(byTask[task], interval{text, from, to})
	}
	now := time.Now()
	for _, e := range f.executors {
		e.mu.Lock()
		for _, x := range e.ends {
			add(e, x.task, x.run, x.startAt, x.at, x.how)
		}
		for _, x := range e.lost {
			add(e, x.task, x.number, x.startAt, x.at, "lost")
		}
		for _, x := range e.runs {
			add(e, x.task, x.number, x.startAt, now, "at work")
		}
		e.mu.Unlock()
	}
	for task, list := range byTask {
		sort.Slice(list, func(a, b int) bool { return list[a].from.Before(list[b].from) })
		for i := 1; i < len(list); i++ {
			if list[i].from.Before(list[i-1].to) {
				return fmt.Sprintf("TWICE: two runs of %s at the same time: %s and %s", task, list[i-1].text, list[i].text)
			}
		}
	}
	return ""
}
