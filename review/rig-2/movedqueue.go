package main

import (
	"fmt"
	"net/http"
	"time"
)

// playMovedQueue corrects the service of a new queue soon after its first job was accepted, and submits that job
// again, as callers occasionally do. As the disruption, one open connection between the store and the node that
// acts for the new service goes silent, on which the node watches its own keys; all others work.
func playMovedQueue(f *fleet, isTroubled bool) error {
	pools := []string{"alpha", "beta"}
	other := route{name: "q-other", prefix: "/other/", pool: "beta", attempts: 4}
	wrong := route{name: "q-orders", prefix: "/po/", pool: "alpha", attempts: 4}
	first := route{name: "q-first", prefix: "/first/", pool: "alpha", attempts: 4}
	corrected := wrong
	corrected.pool = "beta"
	if err := f.configure(pools, other, first, wrong); err != nil {
		return err
	}
	if err := f.start(3, 3, pools, ""); err != nil {
		return err
	}
	// A job of another queue shows that everything works.
	short := jobBody("ms=300", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "est_ms": 300})
	if status, _ := f.call(f.nodes[0], http.MethodPost, "/other/00000000000000a1", short); status != http.StatusOK {
		return fmt.Errorf("a job of another queue got status %d", status)
	}
	time.Sleep(time.Second)
	owner := f.nodeOf("beta")
	if owner == nil {
		return fmt.Errorf("nobody acts for the new service")
	}
	caller := f.nodes[0]
	if caller == owner {
		caller = f.nodes[1]
	}
	owner.storeLink.awaitWatch("nodes/", isTroubled)
	if isTroubled {
		f.record.write("disruption: one open connection between %s and the store has gone silent", owner.name)
	}
	const path = "/po/00000000000000b2"
	long := jobBody("ms=6000", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "est_ms": 6000})
	if status, _ := f.call(caller, http.MethodPost, path, long); status != http.StatusOK {
		return fmt.Errorf("the job got status %d", status)
	}
	if err := f.configure(pools, other, first, corrected); err != nil {
		return err
	}
	time.Sleep(repeatDelay)
	f.call(caller, http.MethodPost, path, long)
	for range 20 {
		time.Sleep(500 * time.Millisecond)
		f.call(caller, http.MethodGet, path, "")
	}
	return nil
}

// repeatDelay is the time after which the caller submits the job again.
const repeatDelay = 1100 * time.Millisecond
