package main

import (
	"fmt"
	"net/http"
	"strings"
	"syscall"
	"time"
)

const (
	wideJob   = "5c0e7a21d94b36f8"
	wideUnits = 600
	wideWork  = 3 * time.Second
	// restartDelay is the delay after which the platform starts a killed process again.
	restartDelay = 500 * time.Millisecond
)

// playHiddenEnds hands in one wide job of small work units, and kills the owner of its pool once all have
// started, shortly before they end. More ends than fit in one answer wait at an executor for the next owner.
func playHiddenEnds(f *fleet, hasTrouble bool) (string, error) {
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
	time.Sleep(3 * time.Second)
	path := "/lots/" + wideJob
	job := newJob(wideWork, stepBody{Count: wideUnits, CPU: 100, MemMB: 100, EstMs: int(wideWork.Milliseconds())})
	if status, _ := f.persist(http.MethodPost, path, job); status != http.StatusOK {
		return "", fmt.Errorf("the job was not accepted: %d", status)
	}
	if !waitFor(20*time.Second, func() bool { return f.countStarts() >= wideUnits }) {
		return "", fmt.Errorf("%d work units have started", f.countStarts())
	}
	f.mu.Lock()
	first := f.starts[0].at
	f.mu.Unlock()
	if hasTrouble {
		time.Sleep(time.Until(first.Add(wideWork - 100*time.Millisecond)))
		owner := f.owner("ledger")
		if owner == nil {
			return "", errNoOwner
		}
		f.signal(owner, syscall.SIGKILL)
		time.AfterFunc(restartDelay, func() { _ = f.startNode(owner) })
	}
	waitFor(30*time.Second, func() bool {
		time.Sleep(500 * time.Millisecond)
		_, text := f.persist(http.MethodGet, path, nil)
		return strings.Contains(text, "done")
	})
	time.Sleep(3 * time.Second)
	return f.startsAfterEnds(), nil
}

// startsAfterEnds returns a description of the work units that started after a run of theirs had ended done, if
// that end was taken note of then or later and the executor's lease did not lapse in between, or "".
func (f *fleet) startsAfterEnds() string {
	count, example := 0, ""
	f.mu.Lock()
	starts := f.starts
	f.mu.Unlock()
	for _, e := range f.executors {
		e.mu.Lock()
		for _, x := range e.ends {
			if x.how != "done" || x.ackedAt.IsZero() || e.hasLapsed(x.at, x.ackedAt) {
				continue
			}
			for _, s := range starts {
				if s.task == x.task && s.at.After(x.at) {
					count++
					example = fmt.Sprintf("%s run %d ended done on %s at %.3f s, taken note of at %.3f s, and was started again as run %d on %s at %.3f s",
						x.task, x.run, e.id, x.at.Sub(f.begun).Seconds(), x.ackedAt.Sub(f.begun).Seconds(), s.run, s.executor, s.at.Sub(f.begun).Seconds())
				}
			}
		}
		e.mu.Unlock()
	}
	if count == 0 {
		return ""
	}
	return fmt.Sprintf("TWICE: %d starts after a run had ended done; the last: %s", count, example)
}

// hasLapsed reports whether the lease lapsed between two times. The caller holds the lock.
func (e *executor) hasLapsed(from, to time.Time) bool {
	for _, t := range e.lapses {
		if t.After(from) && t.Before(to) {
			return true
		}
	}
	return false
}
