package main

import (
	"fmt"
	"net/http"
	"time"
)

// playSameID submits jobs to two queues of one service. With the disruption the callers of both queues number their
// jobs from 1, so that the IDs of two jobs are the same.
func playSameID(f *fleet, isTroubled bool) error {
	pools := []string{"alpha"}
	repairs := route{name: "q-repairs", prefix: "/repairs/", pool: "alpha", attempts: 4}
	orders := route{name: "q-orders", prefix: "/po/", pool: "alpha", attempts: 4}
	if err := f.configure(pools, repairs, orders); err != nil {
		return err
	}
	if err := f.start(3, 3, pools, ""); err != nil {
		return err
	}
	first, second := "/repairs/0000000000000001", "/po/0000000000000002"
	if isTroubled {
		second = "/po/0000000000000001"
	}
	body := jobBody("ms=1000", map[string]any{"count": 1, "cpu": 1000, "mem_mb": 256, "est_ms": 1000})
	if status, _ := f.call(f.nodes[0], http.MethodPost, first, body); status != http.StatusOK {
		return fmt.Errorf("the first job got status %d", status)
	}
	time.Sleep(3 * time.Second)
	isAccepted := false
	for i := 0; i < 5 && !isAccepted; i++ {
		status, _ := f.call(f.nodes[1], http.MethodPost, second, body)
		isAccepted = status == http.StatusOK
		time.Sleep(time.Second)
	}
	if !isAccepted {
		f.record.write("the second job was refused, which breaks no rule")
		return nil
	}
	time.Sleep(4 * time.Second)
	for _, n := range f.nodes {
		if status, _ := f.call(n, http.MethodGet, second, ""); status == http.StatusGone {
			f.record.breaks("LOST: job %s was accepted over 3 s ago and is answered with 410 by %s", second, n.name)
		}
	}
	return nil
}
