package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"sync"
	"syscall"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwlog"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwsettings"
	"basilwood.example/basilwood/bwupkeep"
	"basilwood.example/basilwood/platform"
	"github.com/gorilla/mux"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const (
	// executorLease is how long executors keep their tasks without a call. It covers the
	// time in which another node notices the loss of an owner and takes its pools.
	executorLease = 3500 * time.Millisecond
	// rotationTime is how long the platform takes to send no new connections to a node that
	// is not ready: two checks, one a second, and a margin.
	rotationTime = 2300 * time.Millisecond
	// settingsInterval is the time between two looks at the settings file, which may change
	// without a signal.
	settingsInterval = 2 * time.Second
	// exitReserve is the end of the time for a planned stop that is left unused.
	exitReserve = 800 * time.Millisecond
)

// program is the process with everything it listens on.
type program struct {
	settings platform.Settings
	log      hclog.Logger
	node     *bwnode.Node
	mesh     *bwmesh.Mesh
	callers  *http.Server
	serving  sync.WaitGroup
}

func run(s platform.Settings, log hclog.Logger, out *bwlog.Writer) error {
	listeners, err := bwsettings.ListenAll(s.CallersAddress, s.ReadyAddress, s.NodeAddress, s.MetricsAddress)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	out.Register(registry)
	p := newProgram(s, log, registry)
	log.Info("started", "node", s.Node, "incarnation", p.node.Incarnation(), "dataCentre", s.DataCentre, "revision", revision())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.serve(func() error { return bwhttp.Serve(p.callers, listeners[0]) })
	p.serve(func() error { return bwhttp.Serve(bwhttp.NewServer(p.readiness()), listeners[1]) })
	p.serve(func() error { return bwmesh.Serve(ctx, listeners[2], p.node.Server()) })
	p.serve(func() error { return bwhttp.Serve(bwhttp.NewServer(p.operations(registry)), listeners[3]) })
	go p.node.Run(ctx)
	p.wait()
	p.stop(listeners)
	total, dropped := out.Lines()
	log.Info("stopped", "logLines", total, "logLinesDropped", dropped)
	return nil
}

func newProgram(s platform.Settings, log hclog.Logger, registry *prometheus.Registry) *program {
	store := platform.NewStore(s.StoreAddress)
	mesh := bwmesh.New(bwpeer.DialTCP)
	deps := bwnode.Deps{
		Store:     store,
		Registry:  platform.Registry(),
		Executors: platform.NewExecutors(log),
		Adviser:   platform.NewAdviser(s.AdviceAddress),
		Mesh:      mesh,
		Clock:     bwclock.NewBoot(),
		Log:       log,
		Metrics:   bwnode.NewMetrics(registry),
	}
	if s.HostsAddress != "" {
		deps.Hosts = platform.NewHosts(s.HostsAddress, s.Node, log)
	}
	node := bwnode.New(deps, bwnode.Identity{Name: s.Node, Address: s.NodeAddress, Power: s.Power}, bwnode.Settings{
		Owner:     bwowner.Settings{LeaseLength: min(executorLease, s.HoldMax), StopTime: s.StopTime, KeepEnded: s.KeepEnded},
		Upkeep:    bwupkeep.Settings{Maintenance: s.Maintenance, Move: s.Move},
		Visible:   s.Visible,
		DutyLease: s.DutyLease,
	})
	return &program{settings: s, log: log, node: node, mesh: mesh, callers: bwhttp.NewServer(platform.NewIngress(node, log))}
}

// serve runs one listener until it is closed.
func (p *program) serve(f func() error) {
	p.serving.Add(1)
	go func() {
		defer p.serving.Done()
		if err := f(); err != nil {
			p.log.Debug("listener ended", "error", err.Error())
		}
	}()
}

func (p *program) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { bwhttp.WriteReadiness(w, p.node.IsReady()) })
}

// operations serves metrics and the state dump.
func (p *program) operations(registry *prometheus.Registry) http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/debug/state", func(w http.ResponseWriter, _ *http.Request) {
		bwhttp.WriteJSON(w, http.StatusOK, p.node.Dump())
	}).Methods(http.MethodGet)
	return r
}

// wait returns when the process is to stop. It reads the settings again on SIGHUP and when
// their file has changed.
func (p *program) wait() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	t := time.NewTicker(settingsInterval)
	defer t.Stop()
	version := platform.SettingsVersion()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				p.log.Info("stop requested", "signal", s.String())
				return
			}
			p.reload("signal")
		case <-t.C:
			if platform.SettingsVersion() == version {
				continue
			}
			p.reload("file changed")
		}
		version = platform.SettingsVersion()
	}
}

// reload checks the changed settings. Addresses are taken at the next start.
func (p *program) reload(reason string) {
	s, problems := platform.ReadSettings()
	if len(problems) > 0 {
		p.log.Error("settings not taken", "reason", reason, "problems", problems)
		return
	}
	p.log.Info("settings read again", "reason", reason, "hasChanged", s != p.settings)
	p.settings = s
}

// stop hands over the pools, waits until callers connect elsewhere, and answers what is
// under way.
func (p *program) stop(listeners []net.Listener) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), max(p.settings.Grace-exitReserve, time.Second))
	defer cancel()
	p.node.Stop(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(rotationTime - time.Since(started)):
	}
	if err := p.callers.Shutdown(ctx); err != nil {
		p.log.Warn("requests were cut", "error", err.Error())
	}
	p.node.Close(ctx)
	for _, l := range listeners[1:] {
		// A listener that is closed already is what this is for.
		_ = l.Close()
	}
	p.mesh.Close()
}

// revision returns the version control revision of the build, if it is known.
func revision() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}
