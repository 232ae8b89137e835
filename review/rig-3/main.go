// Command rig-3 plays one case of the third review with real nodes and small stand-ins of the platform.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// The exit codes of a case.
const (
	exitHeld    = 0
	exitBroken  = 1
	exitCannot  = 2
	usageLength = 5
)

// playLimit ends a case that hangs.
const playLimit = 110 * time.Second

// caseFunc plays a case, with or without its disruption, and returns what was broken, or "".
type caseFunc func(f *fleet, hasTrouble bool) (string, error)

var cases = map[string]caseFunc{
	"hidden-ends": playHiddenEnds,
	"set-aside":   playSetAside,
	"wave":        playWave,
	"late-start":  playLateStart,
	"retention":   playRetention,
}

func main() {
	if len(os.Args) != usageLength || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig-3 CASE ROOT TEMPORARY-FOLDER RECORD")
		os.Exit(exitCannot)
	}
	os.Exit(play(cases[os.Args[1]], os.Args[2], os.Args[3], os.Args[4]))
}

func play(c caseFunc, root, folder, record string) int {
	f, err := newFleet(root, folder, record)
	if err != nil {
		fmt.Println("could not run:", err)
		return exitCannot
	}
	defer f.close()
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM, syscall.SIGPIPE)
	go func() {
		<-signals
		f.close()
		os.Exit(exitCannot)
	}()
	time.AfterFunc(playLimit, func() {
		fmt.Println("could not run: the case takes too long")
		f.close()
		os.Exit(exitCannot)
	})
	broken, err := c(f, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		f.record("verdict", "", "could not run: "+err.Error())
		fmt.Println("could not run:", err)
		return exitCannot
	case broken != "":
		f.record("verdict", "", "broken: "+broken)
		fmt.Println("broken:", broken)
		return exitBroken
	default:
		f.record("verdict", "", "held")
		fmt.Println("held")
		return exitHeld
	}
}

var errNoOwner = errors.New("no node owns the pool")
