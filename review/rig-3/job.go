package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

const (
	// finishWait is how long after the end of the traffic a job is asked for, and idleLimit how long it may have
	// nothing running then although there is room (the users' finish_s and 3 s).
	finishWait = 14 * time.Second
	idleLimit  = 3 * time.Second
	// usualJobs is the number of usual jobs beside a disruption that concerns one job or one order, so that its share is
	// below that of the site file.
	usualJobs = 20
	// lastingWork is longer than any case.
	lastingWork = time.Hour
)

// stepBody is a step of a job on the wire.
type stepBody struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu"`
	MemMB         int    `json:"mem_mb"`
	EstMs         int    `json:"est_ms"`
	RequiredLabel string `json:"required_label,omitempty"`
	LongRunning   bool   `json:"long_running,omitempty"`
	MayMiss       int    `json:"may_miss,omitempty"`
}

// jobBody is a job on the wire.
type jobBody struct {
	Spec  string     `json:"spec"`
	Steps []stepBody `json:"steps"`
}

// newJob returns a job whose work units work for a time.
func newJob(work time.Duration, steps ...stepBody) jobBody {
	return jobBody{Spec: fmt.Sprintf("work %d", work.Milliseconds()), Steps: steps}
}

// submit hands in a job, which must be accepted.
func (f *fleet) submit(path string, job jobBody) error {
	status, _ := f.persist(http.MethodPost, path, job)
	if status != http.StatusOK {
		return fmt.Errorf("%s was not accepted: status %d", path, status)
	}
	return nil
}

// submitUsual hands in usual jobs of one work unit each, under a prefix, and waits until all have started.
func (f *fleet) submitUsual(prefix string, count int) error {
	before := f.countStarts()
	for i := range count {
		job := newJob(time.Second, stepBody{Count: 1, CPU: 1000, MemMB: 1000, EstMs: 1000})
		if err := f.submit(fmt.Sprintf("%s%016x", prefix, 0x00d0000000000000+i), job); err != nil {
			return err
		}
	}
	if !waitFor(finishWait, func() bool { return f.countStarts() >= before+count }) {
		return fmt.Errorf("%d of %d usual jobs have started", f.countStarts()-before, count)
	}
	return nil
}

// state returns the state of a job, or "" without an answer that tells it.
func (f *fleet) state(path string) string {
	var body struct {
		State string `json:"state"`
	}
	_, text := f.persist(http.MethodGet, path, nil)
	if json.Unmarshal([]byte(text), &body) != nil {
		return ""
	}
	return body.State
}

// hasStarted reports whether a work unit of a job has started.
func (f *fleet) hasStarted(job string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, s := range f.starts {
		if len(s.task) > len(job) && s.task[:len(job)] == job {
			return true
		}
	}
	return false
}

// idleJob waits until the job is asked for after the traffic, and returns a description if it has nothing
// running then for idleLimit, or "" if it has started.
func (f *fleet) idleJob(path, id string) string {
	if waitFor(finishWait+idleLimit, func() bool { return f.hasStarted(id) }) {
		return ""
	}
	return fmt.Sprintf("LOST: %.0f s after the traffic the job %s is %q, none of its work units has ever started, and its executor has %s",
		(finishWait + idleLimit).Seconds(), id, f.state(path), f.describeRoom())
}

// describeRoom tells how much of the executor that the job needs, and of all, is in use.
func (f *fleet) describeRoom() string {
	f.mu.Lock()
	list := f.executors
	f.mu.Unlock()
	var last *executor
	runs := 0
	for _, e := range list {
		if e.rack == loneRack {
			last = e
		}
		e.mu.Lock()
		runs += len(e.runs)
		e.mu.Unlock()
	}
	last.mu.Lock()
	defer last.mu.Unlock()
	return fmt.Sprintf("%d work units running, all executors together %d", len(last.runs), runs)
}
