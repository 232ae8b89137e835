package main

import "time"

const (
	pinnedJob = "1111aaaa2222bbbb"
	largeJob  = "3333cccc4444dddd"
	smallJob  = "5555eeee6666ffff"
	// loneRack is the rack of the last of nine executors, which is alone in it.
	loneRack = "r-2"
	// settleTime is how long the case waits after a submission until its work has begun.
	settleTime = 3 * time.Second
)

// playSetAside hands in a lasting job of 8 cores that needs the label of a rack with one executor, then one of 60
// cores that can't be done beside it, and then a small job with the same label.
func playSetAside(f *fleet, hasTrouble bool) (string, error) {
	f.configure(1, []route{newRoute("watch", "desk"), newRoute("scan", "desk")}, "desk")
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
	if err := f.submitUsual("/scan/", usualJobs); err != nil {
		return "", err
	}
	pinned := stepBody{Count: 1, CPU: 8000, MemMB: 1000, EstMs: 1000, RequiredLabel: loneRack, LongRunning: true, MayMiss: 1}
	if err := f.submit("/watch/"+pinnedJob, newJob(lastingWork, pinned)); err != nil {
		return "", err
	}
	time.Sleep(settleTime)
	if hasTrouble {
		large := pinned
		large.CPU = 60000
		if err := f.submit("/watch/"+largeJob, newJob(lastingWork, large)); err != nil {
			return "", err
		}
	}
	time.Sleep(settleTime)
	small := stepBody{Count: 1, CPU: 4000, MemMB: 1000, EstMs: 1000, RequiredLabel: loneRack}
	if err := f.submit("/scan/"+smallJob, newJob(time.Second, small)); err != nil {
		return "", err
	}
	return f.idleJob("/scan/"+smallJob, smallJob), nil
}
