// Command basilwood-node takes jobs from the platform's callers and runs their tasks on its
// executors. One process runs on each entry host.
package main

import (
	"fmt"
	"os"
	"runtime"
	"runtime/debug"

	"basilwood.example/basilwood/bwlog"
	"basilwood.example/basilwood/bwsettings"
	"basilwood.example/basilwood/platform"
	"github.com/alecthomas/kingpin/v2"
	"github.com/hashicorp/go-hclog"
)

// collectPercent is how much the heap grows between two collections. Live data are a few
// megabytes of the host's hundreds, so that processor time is worth more than memory; where
// they are more, the memory limit makes the collector run sooner.
const collectPercent = 400

// heapPercent is the share of the host's memory that the heap may take; the rest is for
// stacks, the log's queue and what the system holds for the process.
const heapPercent = 60

func main() {
	app := kingpin.New("basilwood-node", "Runs jobs on the platform that "+platform.SettingsVariable+
		" describes. SIGTERM hands the node's work over; SIGHUP reads the settings again.")
	level := app.Flag("log-level", "Least level that is logged.").Envar("BASILWOOD_LOG_LEVEL").
		Default("info").Enum("debug", "info", "warn", "error")
	checkOnly := app.Flag("check-settings", "Check the settings and exit.").Bool()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	s, problems := platform.ReadSettings()
	if len(problems) > 0 {
		for _, p := range problems {
			fmt.Fprintln(os.Stderr, "settings:", p)
		}
		os.Exit(bwsettings.ExitSettings)
	}
	if *checkOnly {
		fmt.Println("settings are valid")
		return
	}
	// The platform gives a process a part of one core, whatever the machine has.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(collectPercent)
	debug.SetMemoryLimit(s.MemoryMB << 20 * heapPercent / 100)
	out := bwlog.NewWriter(os.Stdout)
	log := bwlog.New("node", hclog.LevelFromString(*level), out)
	err := run(s, log, out)
	out.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "basilwood-node:", err)
		os.Exit(1)
	}
}
