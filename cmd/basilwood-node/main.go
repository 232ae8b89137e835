// Command basilwood-node accepts jobs from the platform's callers and runs their tasks on the
// platform's executors. One process runs on each host to which callers connect.
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

// gcPercent is the GOGC value: how much the heap may grow between two collections. Live
// data take a few megabytes and the host has hundreds, so processor time is scarcer than
// memory. If the live data grow, the memory limit triggers earlier collections.
const gcPercent = 400

// memoryLimitPercent is the share of the memory granted to the process that is set as the Go
// memory limit. The rest is headroom for stacks, the log queue and memory that the kernel
// holds for the process.
const memoryLimitPercent = 60

func main() {
	app := kingpin.New("basilwood-node", "Runs jobs on the platform that "+platform.SettingsVariable+
		" describes. SIGTERM hands over the node's work and stops it; SIGHUP reloads the settings.")
	level := app.Flag("log-level", "Minimum level that is logged.").Envar("BASILWOOD_LOG_LEVEL").
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
	// The platform gives the process a fraction of one core, however many the host has.
	runtime.GOMAXPROCS(1)
	debug.SetGCPercent(gcPercent)
	debug.SetMemoryLimit(s.MemoryMB << 20 * memoryLimitPercent / 100)
	logWriter := bwlog.NewWriter(os.Stdout)
	log := bwlog.New("node", hclog.LevelFromString(*level), logWriter)
	err := run(s, log, logWriter)
	logWriter.Close()
	if err != nil {
		fmt.Fprintln(os.Stderr, "basilwood-node:", err)
		os.Exit(1)
	}
}
