package main

import (
	"fmt"
	"net/http"
	"syscall"
	"time"
)

const (
	// noLimit is the largest integer that every JSON reader keeps exactly.
	noLimit = 1<<53 - 1
	// graceTime is grace_s of the settings.
	graceTime = 6 * time.Second
	// contactTime is contact_ms of the settings.
	contactTime = 3 * time.Second
)

// playLargeLimit submits a job whose limit for each executor is a large number. Then, as the disruption, the node that
// acts for its service is stopped as planned and started again.
func playLargeLimit(f *fleet, isTroubled bool) error {
	pools := []string{"alpha"}
	if err := f.configure(pools, route{name: "q-orders", prefix: "/po/", pool: "alpha", attempts: 4}); err != nil {
		return err
	}
	if err := f.start(3, 3, pools, ""); err != nil {
		return err
	}
	const path = "/po/00000000000000f1"
	body := jobBody("ms=12000", map[string]any{"count": 2, "cpu": 1000, "mem_mb": 256, "est_ms": 12000, "max_per_server": noLimit})
	isAccepted := false
	// After a 504 a request with the same ID arrives again, at any node.
	for i := 0; i < 2*len(f.nodes) && !isAccepted; i++ {
		status, _ := f.call(f.nodes[i%len(f.nodes)], http.MethodPost, path, body)
		if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusBadRequest {
			f.record.write("the job was not accepted, which breaks no rule")
			return nil
		}
		isAccepted = status == http.StatusOK
	}
	if !isAccepted {
		return fmt.Errorf("the job has got no answer")
	}
	time.Sleep(2 * time.Second)
	owner := f.nodeOf("alpha")
	if isTroubled {
		f.record.write("disruption: %s gets SIGTERM and starts again", owner.name)
		if err := owner.restart(); err != nil {
			return err
		}
	}
	time.Sleep(contactTime + time.Second)
	for range 15 {
		for _, n := range f.nodes {
			if status, _ := f.call(n, http.MethodGet, path, ""); status == http.StatusGone && n != owner {
				f.record.breaks("LOST: job %s was accepted over 3 s ago and is answered with 410 by %s", path, n.name)
			}
		}
		time.Sleep(time.Second)
	}
	if !isTroubled && f.stateOf(path) != "done" {
		f.record.breaks("LOST: job %s is not done", path)
	}
	return nil
}

// restart stops the node with SIGTERM, and with SIGKILL after graceTime, and starts it again.
func (n *node) restart() error {
	if err := n.process.Process.Signal(syscall.SIGTERM); err != nil {
		return err
	}
	timer := time.AfterFunc(graceTime, func() { _ = n.process.Process.Kill() })
	_ = n.process.Wait()
	timer.Stop()
	return n.run()
}
