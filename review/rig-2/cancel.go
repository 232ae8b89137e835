package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// cancelDelay is the time from the acceptance of a job until it is cancelled.
	cancelDelay = 700 * time.Millisecond
	// cancelBound and stopBound are cancel_ms and stop_ms of the settings.
	cancelBound = 3 * time.Second
	stopBound   = 900 * time.Millisecond
	// calmTime is contact_ms of the settings: what happens that long after a disruption isn't near it.
	calmTime = 3 * time.Second
)

// playCancel cancels a job that lasts soon after the service of its new queue was corrected. As the disruption, one
// open connection between the store and the node that the caller asks goes silent, on which the node watches its own
// keys; all others work.
func playCancel(f *fleet, isTroubled bool) error {
	pools := []string{"alpha", "beta"}
	other := route{name: "q-other", prefix: "/other/", pool: "beta", attempts: 4}
	first := route{name: "q-first", prefix: "/first/", pool: "alpha", attempts: 4}
	wrong := route{name: "q-watch", prefix: "/watch/", pool: "alpha", attempts: 4}
	corrected := wrong
	corrected.pool = "beta"
	if err := f.configure(pools, other, first, wrong); err != nil {
		return err
	}
	if err := f.start(4, 3, pools, ""); err != nil {
		return err
	}
	owner := f.nodeOf("alpha")
	var caller *node
	for _, n := range f.nodes {
		if n != owner && n != f.nodeOf("beta") {
			caller = n
		}
	}
	caller.storeLink.awaitWatch("nodes/", isTroubled)
	if isTroubled {
		f.record.write("disruption: one open connection between %s and the store has gone silent", caller.name)
	}
	const id = "00000000000000c3"
	body := jobBody("lasts", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "est_ms": 1000, "long_running": true})
	if status, _ := f.call(owner, http.MethodPost, "/watch/"+id, body); status != http.StatusOK {
		return fmt.Errorf("the job got status %d", status)
	}
	if err := f.configure(pools, other, first, corrected); err != nil {
		return err
	}
	time.Sleep(cancelDelay)
	status, _ := f.call(caller, http.MethodDelete, "/watch/"+id, "")
	if status != http.StatusOK && status != http.StatusGone {
		f.record.write("the cancel was not acknowledged, which breaks no rule")
		return nil
	}
	time.Sleep(cancelBound + stopBound + calmTime)
	for range 5 {
		f.call(owner, http.MethodGet, "/watch/"+id, "")
		time.Sleep(2 * time.Second)
	}
	if n := f.record.count(id + ".0.0.0"); n > 0 {
		f.record.breaks("UNASKED: %s.0.0.0 is still at work, and the cancel of its job was acknowledged with %d", id, status)
	}
	return nil
}
