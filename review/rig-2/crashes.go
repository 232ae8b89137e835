package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

const (
	crashSeed      = 7
	crashExecutors = 14
	// crashedAtOnce is a seventh of the executors.
	crashedAtOnce   = 2
	crashInterval   = time.Second
	crashDownTime   = 500 * time.Millisecond
	crashTime       = 60 * time.Second
	submitInterval  = 200 * time.Millisecond
	crashFinishTime = 20 * time.Second
)

// playCrashes submits jobs while executors crash, two of fourteen at a time, and start again. No run ever ends as
// failed, so no job may be shown as failed.
func playCrashes(f *fleet, isTroubled bool) error {
	pools := []string{"alpha"}
	q := route{name: "q-orders", prefix: "/po/", pool: "alpha", attempts: 4}
	if err := f.configure(pools, q); err != nil {
		return err
	}
	if err := f.start(3, crashExecutors, pools, ""); err != nil {
		return err
	}
	random := rand.New(rand.NewPCG(crashSeed, crashSeed))
	stop := make(chan struct{})
	var wait sync.WaitGroup
	wait.Add(1)
	go func() {
		defer wait.Done()
		t := time.NewTicker(crashInterval)
		defer t.Stop()
		for isTroubled {
			select {
			case <-stop:
				return
			case <-t.C:
				for _, i := range random.Perm(len(f.executors))[:crashedAtOnce] {
					f.executors[i].crash(crashDownTime)
				}
			}
		}
	}()
	body := jobBody("ms=1000", map[string]any{"count": 10, "cpu": 1500, "mem_mb": 512, "est_ms": 1000})
	var accepted []string
	began := time.Now()
	for i := 0; time.Since(began) < crashTime; i++ {
		path := fmt.Sprintf("/po/%016x", 0xc000+i)
		if status, _ := f.call(f.nodes[i%len(f.nodes)], http.MethodPost, path, body); status == http.StatusOK {
			accepted = append(accepted, path)
		}
		time.Sleep(submitInterval)
	}
	close(stop)
	wait.Wait()
	time.Sleep(crashFinishTime)
	return f.checkEnds(accepted)
}

// checkEnds asks for the state of jobs of which no run has ended as failed.
func (f *fleet) checkEnds(paths []string) error {
	done, failed, others := 0, 0, 0
	for i, path := range paths {
		status, body := f.call(f.nodes[i%len(f.nodes)], http.MethodGet, path, "")
		switch {
		case status == http.StatusOK && strings.Contains(body, `"failed"`):
			failed++
			f.record.breaks("LOST: job %s is shown as failed, and no run of it has ended failed", path)
		case status == http.StatusOK && strings.Contains(body, `"done"`):
			done++
		default:
			others++
		}
	}
	f.record.write("%d jobs accepted: %d done, %d failed, %d others", len(paths), done, failed, others)
	return nil
}
