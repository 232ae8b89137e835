// Command basilwood-standin serves a stand-in for the key-value store, for targets or for
// the platform. It is meant for tests and for running a fleet on one machine.
package main

import (
	"fmt"
	"net/http"
	"os"
	"sort"
	"sync"
	"time"

	"basilwood.example/basilwood/bwsettings"
	"basilwood.example/basilwood/bwstandin"
	"github.com/alecthomas/kingpin/v2"
)

const readHeaderTimeout = 5 * time.Second

type settings struct {
	address         string
	hostAddresses   map[string]string
	slots           int
	meanServiceTime time.Duration
	hostListLag     time.Duration
	rebootTime      time.Duration
	seed            uint64
}

func main() {
	s := settings{hostAddresses: make(map[string]string)}
	app := kingpin.New("basilwood-standin", "Runs an in-memory stand-in for an external system. PUT /faults sets the faults that it injects.")
	app.Flag("seed", "Seed of the random number generators.").Envar("BASILWOOD_SEED").Default("1").Uint64Var(&s.seed)
	store := app.Command("store", "The platform's key-value service.")
	store.Flag("address", "IP address and port on which to listen.").Default("127.0.0.1:7001").StringVar(&s.address)
	targets := app.Command("target", "One or more targets, each on its own address.")
	targets.Flag("host", "NAME=ADDRESS of a target; repeatable.").Required().StringMapVar(&s.hostAddresses)
	targets.Flag("slots", "Number of requests that a target runs concurrently.").Default("8").IntVar(&s.slots)
	targets.Flag("mean", "Mean service time.").Default("20ms").DurationVar(&s.meanServiceTime)
	platform := app.Command("platform", "The platform that drains, stops, starts and reboots targets.")
	platform.Flag("address", "IP address and port on which to listen.").Default("127.0.0.1:7002").StringVar(&s.address)
	platform.Flag("host", "NAME=ADDRESS of a target; repeatable.").Required().StringMapVar(&s.hostAddresses)
	platform.Flag("lag", "Maximum age of the host list.").Default("1s").DurationVar(&s.hostListLag)
	platform.Flag("reboot", "Duration of a reboot.").Default("1s").DurationVar(&s.rebootTime)
	command := kingpin.MustParse(app.Parse(os.Args[1:]))
	if err := s.run(command); err != nil {
		fmt.Fprintln(os.Stderr, "basilwood-standin:", err)
		os.Exit(1)
	}
}

// run serves the stand-ins of the command until SIGTERM or an interrupt.
func (s *settings) run(command string) error {
	handlers := make(map[string]http.Handler)
	switch command {
	case "store":
		handlers[s.address] = bwstandin.NewStore(s.seed).Handler()
	case "target":
		for i, name := range s.hostNames() {
			handlers[s.hostAddresses[name]] = bwstandin.NewTarget(name, s.slots, s.meanServiceTime, s.seed+uint64(i)).Handler()
		}
	case "platform":
		var managedTargets []bwstandin.ManagedTarget
		for _, name := range s.hostNames() {
			managedTargets = append(managedTargets, bwstandin.NewRemoteTarget(name, s.hostAddresses[name]))
		}
		handlers[s.address] = bwstandin.NewPlatform(managedTargets, s.hostListLag, s.rebootTime, s.seed).Handler()
	}
	return serve(handlers)
}

func (s *settings) hostNames() []string {
	var names []string
	for name := range s.hostAddresses {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

func serve(handlers map[string]http.Handler) error {
	ctx, cancel := bwsettings.SignalContext()
	defer cancel()
	var group sync.WaitGroup
	var servers []*http.Server
	for address, handler := range handlers {
		listener, err := bwsettings.Listen(address)
		if err != nil {
			return err
		}
		server := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
		servers = append(servers, server)
		group.Go(func() {
			// Serve is expected to return only after Close, with http.ErrServerClosed.
			_ = server.Serve(listener)
		})
	}
	<-ctx.Done()
	for _, server := range servers {
		_ = server.Close()
	}
	group.Wait()
	return nil
}
