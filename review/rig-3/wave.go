package main

import (
	"fmt"
	"time"
)

// waveTime is the time in which the machines of the wave are due.
const waveTime = 26 * time.Second

// playWave asks for the upkeep of three machines. On one of them, which is alone in its rack, a lasting job works
// that needs the rack's label. A small job with the same label is handed in while the wave is running.
func playWave(f *fleet, hasTrouble bool) (string, error) {
	f.configure(1, []route{newRoute("watch", "desk"), newRoute("scan", "desk")}, "desk")
	if err := f.addExecutors("desk", 9); err != nil {
		return "", err
	}
	if err := f.startCloud(); err != nil {
		return "", err
	}
	if err := f.startNodes(6); err != nil {
		return "", err
	}
	if !waitFor(readyWait, func() bool { return f.owner("desk") != nil }) {
		return "", errNoOwner
	}
	time.Sleep(settleTime)
	pinned := stepBody{Count: 1, CPU: 8000, MemMB: 1000, EstMs: 1000, RequiredLabel: loneRack, LongRunning: true, MayMiss: 1}
	if err := f.submit("/watch/"+pinnedJob, newJob(lastingWork, pinned)); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	begun := time.Now()
	if hasTrouble {
		f.put("op/wave/1", map[string]any{"wave": 1, "machines": []string{"m-00", "m-04", "m-08"}, "deadline_s": waveTime.Seconds(), "max_count": 1})
		f.record("wave", "operator", "machines m-00, m-04, m-08")
	}
	time.Sleep(settleTime)
	small := stepBody{Count: 1, CPU: 4000, MemMB: 1000, EstMs: 1000, RequiredLabel: loneRack}
	if err := f.submit("/scan/"+smallJob, newJob(time.Second, small)); err != nil {
		return "", err
	}
	if waitFor(time.Until(begun.Add(waveTime)), func() bool { return f.hasStarted(smallJob) }) {
		return "", nil
	}
	broken := f.idleJob("/scan/"+smallJob, smallJob)
	if broken != "" {
		broken += fmt.Sprintf("; the wave was due %.0f s before", time.Since(begun.Add(waveTime)).Seconds())
	}
	return broken, nil
}
