package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// wideTasks tasks with checkpoints of wideCheckpoint bytes fit into the executors at once.
	wideTasks      = 1500
	wideCheckpoint = 1000
	wideExecutors  = 12
	wideWork       = 8 * time.Second
	wideSpread     = 8 * time.Second
	// startWait is the time in which all tasks have to start, and workBefore that until each has a checkpoint.
	startWait  = 20 * time.Second
	workBefore = 3 * time.Second
	// powerOffTime is how long all nodes are without power.
	powerOffTime = 5 * time.Second
	// recoveryTime is recovery_s of the settings.
	recoveryTime = 12 * time.Second
	smallJobs    = 20
	// laterTime is the time until small jobs are submitted once more.
	laterTime = 25 * time.Second
)

// playWideJob submits a job with many checkpointing tasks. Then all nodes lose power, as the disruption, for longer
// than the leases of the executors.
func playWideJob(f *fleet, isTroubled bool) error {
	pools := []string{"alpha"}
	if err := f.configure(pools, route{name: "q-orders", prefix: "/po/", pool: "alpha", attempts: 4}); err != nil {
		return err
	}
	if err := f.start(3, wideExecutors, pools, ""); err != nil {
		return err
	}
	before := f.submitSmallJobs(0xa000)
	spec := fmt.Sprintf("ms=%d spread=%d checkpoint=%d", wideWork.Milliseconds(), wideSpread.Milliseconds(), wideCheckpoint)
	wide := jobBody(spec, map[string]any{"count": wideTasks, "cpu": 120, "mem_mb": 40, "est_ms": wideWork.Milliseconds(), "checkpointing": true})
	const path = "/po/00000000000000e1"
	if status, _ := f.call(f.nodes[0], http.MethodPost, path, wide); status != http.StatusOK {
		return fmt.Errorf("the wide job got status %d", status)
	}
	for deadline := time.Now().Add(startWait); f.record.countAll() < wideTasks; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return fmt.Errorf("only %d tasks have started", f.record.countAll())
		}
	}
	time.Sleep(workBefore)
	if isTroubled {
		f.record.write("disruption: all nodes lose power for %s", powerOffTime)
		for _, n := range f.nodes {
			n.stop()
		}
		time.Sleep(powerOffTime)
		for _, n := range f.nodes {
			if err := n.run(); err != nil {
				return err
			}
		}
		if err := f.awaitReady(pools); err != nil {
			return err
		}
	}
	f.record.write("the nodes are ready")
	time.Sleep(recoveryTime)
	after := f.submitSmallJobs(0xb000)
	time.Sleep(laterTime)
	later := f.submitSmallJobs(0xc000)
	f.call(f.nodes[0], http.MethodGet, path, "")
	f.record.write("small jobs accepted: %d of %d before, %d of %d after, %d of %d later; runs at work now: %d", before, smallJobs,
		after, smallJobs, later, smallJobs, f.record.countAll())
	if 4*before >= smallJobs && 4*(after+later) < 2*smallJobs {
		f.record.breaks("RECOVER: %d of %d requests sent over %s after the nodes were back are served", after+later, 2*smallJobs, recoveryTime)
	}
	return nil
}

// submitSmallJobs submits jobs over some seconds and returns how many were accepted.
func (f *fleet) submitSmallJobs(firstID int) int {
	body := jobBody("ms=300", map[string]any{"count": 1, "cpu": 100, "mem_mb": 16, "est_ms": 300})
	accepted := 0
	for i := range smallJobs {
		status, _ := f.call(f.nodes[i%len(f.nodes)], http.MethodPost, fmt.Sprintf("/po/%016x", firstID+i), body)
		if status == http.StatusOK {
			accepted++
		}
		time.Sleep(500 * time.Millisecond)
	}
	return accepted
}
