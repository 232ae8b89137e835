package main

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"time"
)

const (
	firstJob = "7777aaaa8888bbbb"
	// pollPause is the time between two requests for the state of a job.
	pollPause = 300 * time.Millisecond
	// jobsPerSecond is the rate of the site's drawer-desk, removedPerSecond that at which an owner removes records.
	jobsPerSecond    = 9.83
	removedPerSecond = 2.0
	// usualTraffic is how long the site has worked before the case, statusTime the users' status_s.
	usualTraffic = 24 * time.Hour
	statusTime   = 120 * time.Second
	// recoveryTime is the users' recovery_s, and askTime for how long requests are sent after it.
	recoveryTime = 12 * time.Second
	askTime      = 40 * time.Second
)

// playRetention puts into the store the records of ended jobs that a day of usual traffic leaves there, kills the
// owner of the pool, and hands in jobs from recovery_s after that on.
func playRetention(f *fleet, hasTrouble bool) (string, error) {
	f.configure(1, []route{newRoute("scan", "desk")}, "desk")
	if err := f.addExecutors("desk", 9); err != nil {
		return "", err
	}
	if err := f.startNodes(6); err != nil {
		return "", err
	}
	if !waitFor(readyWait, func() bool { return f.owner("desk") != nil }) {
		return "", errNoOwner
	}
	time.Sleep(settleTime)
	job := newJob(600*time.Millisecond, stepBody{Count: 6, CPU: 3500, MemMB: 1000, EstMs: 640})
	if err := f.submit("/scan/"+firstJob, job); err != nil {
		return "", err
	}
	isDone := func() bool {
		time.Sleep(pollPause)
		return f.state("/scan/"+firstJob) == "done"
	}
	if !waitFor(finishWait, isDone) {
		return "", fmt.Errorf("the first job is not done")
	}
	item, err := f.store.kv.Get(context.Background(), "jobs/desk/"+firstJob)
	if err != nil {
		return "", err
	}
	count := int(jobsPerSecond * statusTime.Seconds())
	if hasTrouble {
		count = int((jobsPerSecond - removedPerSecond) * usualTraffic.Seconds())
	}
	f.store.leave(count, func(i int) (string, []byte) {
		id := fmt.Sprintf("%016x", 0x0123456700000000+i)
		return "jobs/desk/" + id, bytes.ReplaceAll(item.Value, []byte(firstJob), []byte(id))
	})
	f.record("store", "", fmt.Sprintf("%d records of ended jobs of %d bytes", count, len(item.Value)))
	p := f.watchMemory()
	owner := f.owner("desk")
	if owner == nil {
		return "", errNoOwner
	}
	p.kill(owner)
	time.Sleep(recoveryTime)
	served, sent := 0, 0
	for end := time.Now().Add(askTime); time.Now().Before(end); time.Sleep(pollPause) {
		sent++
		if status, _ := f.request(f.nodes[sent%len(f.nodes)], http.MethodPost, fmt.Sprintf("/scan/%016x", 0xabc000+sent), job); status == http.StatusOK {
			served++
		}
	}
	peak, kills := p.counts()
	result := fmt.Sprintf("%d of %d jobs accepted that were handed in later than recovery_s, %d processes killed above %d MB, at most %d MB", served, sent, kills, memoryLimit>>20, peak>>20)
	f.record("phase", "", result)
	if 4*served >= sent {
		return "", nil
	}
	return "RECOVER: " + result, nil
}
