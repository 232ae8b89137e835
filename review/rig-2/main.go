// Command rig-2 plays the scripts of the second review: it starts the nodes as processes, beside stand-ins of the
// platform's store, of executors and of callers, and checks one rule.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

// cases holds the cases by name. Each returns an error if it could not run.
var cases = map[string]func(f *fleet, isTroubled bool) error{
	"moved-queue": playMovedQueue,
	"advice":      playAdvice,
	"wide-job":    playWideJob,
	"large-limit": playLargeLimit,
	"cancel":      playCancel,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Println("usage: rig-2 CASE FOLDER")
		os.Exit(2)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2]))
}

// stopOnSignal ends all processes that were started, and this one, when it is told to end early.
func (f *fleet) stopOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	<-signals
	f.stop()
	os.Exit(2)
}

func play(run func(f *fleet, isTroubled bool) error, folder string) int {
	rec, err := newRecord(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	f, err := newFleet(rec)
	if err != nil {
		fmt.Println("cannot run:", err)
		return 2
	}
	defer f.stop()
	go f.stopOnSignal()
	isTroubled := os.Getenv("TROUBLE") != "0"
	rec.write("disruption: %t", isTroubled)
	if err := run(f, isTroubled); err != nil {
		rec.fail("%v", err)
	}
	return rec.exitCode()
}
