package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	secondJob = "9999cccc0000dddd"
	// visibleTime is the users' visible_ms, from which every node knows an accepted job, and applyTime their apply_ms.
	visibleTime = 3 * time.Second
	applyTime   = 2 * time.Second
)

// playRoute moves a queue to another prefix, and later gives the queue at that prefix another name and service. Jobs
// are accepted before each change; the second is asked for after both.
func playRoute(f *fleet, hasTrouble bool) (string, error) {
	first := newRoute("lots", "ledger")
	f.configure(1, []route{first}, "ledger", "archive")
	for _, service := range []string{"ledger", "archive"} {
		if err := f.addExecutors(service, 4); err != nil {
			return "", err
		}
	}
	if err := f.startNodes(6); err != nil {
		return "", err
	}
	if !waitFor(readyWait, func() bool { return f.owner("ledger") != nil }) {
		return "", errNoOwner
	}
	time.Sleep(settleTime)
	step := stepBody{Count: 2, CPU: 4000, MemMB: 1000, EstMs: 30000}
	if err := f.submit("/lots/"+firstJob, newJob(time.Second, step)); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	second := first
	second.Prefix = "/batches/"
	f.configure(2, []route{second}, "ledger", "archive")
	time.Sleep(applyTime + time.Second)
	path := second.Prefix + secondJob
	if err := f.submit(path, newJob(lastingWork, step)); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	if hasTrouble {
		third := second
		third.Name, third.Service = "batches", "archive"
		f.configure(3, []route{third}, "ledger", "archive")
	}
	time.Sleep(applyTime + visibleTime)
	gone, asked := 0, 0
	for end := time.Now().Add(finishWait); time.Now().Before(end); time.Sleep(pollPause) {
		asked++
		if status, _ := f.persist(http.MethodGet, path, nil); status == http.StatusGone {
			gone++
		}
	}
	if gone == 0 {
		return "", nil
	}
	return fmt.Sprintf("LOST: %d of %d GETs for the accepted job %s were answered with 410 while its work units run", gone, asked, secondJob), nil
}
