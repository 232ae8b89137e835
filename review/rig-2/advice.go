package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	decideTime  = 250 * time.Millisecond
	adviceTime  = 170 * time.Millisecond
	ticketValid = 3 * time.Second
	// adviceExecutors is the number of executors at the start, and addedExecutors a quarter of it.
	adviceExecutors = 12
	addedExecutors  = 3
	// adviceWait is the time in which a job has to start.
	adviceWait = 40 * time.Second
)

// playAdvice adds empty executors to a service whose queue has advice, as the disruption, and submits a job.
func playAdvice(f *fleet, isTroubled bool) error {
	pools := []string{"alpha"}
	f.advice = map[string]int64{"decide_ms": decideTime.Milliseconds(), "period_ms": adviceTime.Milliseconds(), "valid_ms": ticketValid.Milliseconds()}
	q := route{name: "q-orders", prefix: "/po/", pool: "alpha", attempts: 4, hasAdvice: true}
	if err := f.configure(pools, q); err != nil {
		return err
	}
	if err := f.start(3, adviceExecutors, pools, ""); err != nil {
		return err
	}
	body := jobBody("ms=1000", map[string]any{"count": 2, "cpu": 1000, "mem_mb": 256, "est_ms": 1000})
	if state, err := f.submitAndWait("/po/00000000000000d1", body); err != nil || state != "done" {
		return fmt.Errorf("the job before the disruption is %q: %w", state, err)
	}
	if isTroubled {
		f.record.write("disruption: %d empty executors are added to %d", addedExecutors, adviceExecutors)
		if err := f.addExecutors("alpha", adviceExecutors, addedExecutors); err != nil {
			return err
		}
		time.Sleep(3 * time.Second)
	}
	const path = "/po/00000000000000d2"
	state, err := f.submitAndWait(path, body)
	if err != nil {
		return err
	}
	if state != "done" {
		f.record.breaks("LOST: job %s is %q after %s, nothing of it has started, and all executors are empty", path, state, adviceWait)
	}
	return nil
}

// submitAndWait submits a job and returns its state once it is done, or after adviceWait.
func (f *fleet) submitAndWait(path, body string) (string, error) {
	if status, _ := f.call(f.nodes[0], http.MethodPost, path, body); status != http.StatusOK {
		return "", fmt.Errorf("job %s got status %d", path, status)
	}
	state := ""
	for deadline := time.Now().Add(adviceWait); time.Now().Before(deadline) && state != "done"; time.Sleep(time.Second) {
		state = f.stateOf(path)
	}
	return state, nil
}
