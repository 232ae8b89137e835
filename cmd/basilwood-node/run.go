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
	// executorLease is how long executors keep their tasks without a renewal. It is long
	// enough for another node to detect the failure of a pool's owner and take the pool over.
	executorLease = 3500 * time.Millisecond
	// rotationTime is how long the platform may keep sending new connections to a node that
	// is no longer ready: two readiness checks, one per second, and a margin.
	rotationTime = 2300 * time.Millisecond
	// settingsInterval is the interval at which the settings file is polled, because it may
	// change without a signal.
	settingsInterval = 2 * time.Second
	// exitReserve is the margin before SIGKILL by which a planned stop must be complete.
	exitReserve = 800 * time.Millisecond
)

// program is the node with its servers and clients.
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
	total, dropped := out.LineCounts()
	log.Info("stopped", "logLines", total, "logLinesDropped", dropped)
	return nil
}

func newProgram(s platform.Settings, log hclog.Logger, registry *prometheus.Registry) *program {
	store := platform.NewStoreClient(s.StoreAddress)
	mesh := bwmesh.New(bwpeer.DialTCP)
	deps := bwnode.Deps{
		Store:     store,
		Registry:  platform.Registry(),
		Executors: platform.NewExecutorClient(log),
		Adviser:   platform.NewPolicyClient(s.PolicyAddress),
		Mesh:      mesh,
		Clock:     bwclock.NewBoot(),
		Log:       log,
		Metrics:   bwnode.NewMetrics(registry),
	}
	if s.HostsAddress != "" {
		deps.Hosts = platform.NewHostClient(s.HostsAddress, s.Node, log)
	}
	node := bwnode.New(deps, bwnode.Identity{Name: s.Node, Address: s.NodeAddress, Power: s.CPUCores}, bwnode.Settings{
		Owner:     bwowner.Settings{LeaseLength: min(executorLease, s.MaxLeaseLength), StopTime: s.MaxTaskStopTime, KeepEnded: s.EndedJobRetention},
		Upkeep:    bwupkeep.Settings{Maintenance: s.MaintenanceDuration, Move: s.MoveDuration},
		Visible:   s.MaxVisibilityDelay,
		DutyLease: s.DutyLease,
	})
	return &program{settings: s, log: log, node: node, mesh: mesh, callers: bwhttp.NewServer(platform.NewIngress(node, log))}
}

// serve runs a server in its own goroutine until its listener is closed.
func (p *program) serve(f func() error) {
	p.serving.Add(1)
	go func() {
		defer p.serving.Done()
		if err := f(); err != nil {
			p.log.Debug("server stopped with an error", "error", err.Error())
		}
	}()
}

func (p *program) readiness() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { bwhttp.Ready(w, p.node.IsReady()) })
}

// operations returns the handler for metrics and the state dump.
func (p *program) operations(registry *prometheus.Registry) http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/debug/state", func(w http.ResponseWriter, _ *http.Request) {
		bwhttp.WriteJSON(w, http.StatusOK, p.node.Dump())
	}).Methods(http.MethodGet)
	return r
}

// wait blocks until a signal requests the process to stop. It reloads the settings on SIGHUP
// and when the settings file has changed.
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

// reload reads and checks the settings. Changed addresses take effect only at the next start.
func (p *program) reload(reason string) {
	s, problems := platform.ReadSettings()
	if len(problems) > 0 {
		p.log.Error("invalid settings; keeping the previous ones", "reason", reason, "problems", problems)
		return
	}
	p.log.Info("settings reloaded", "reason", reason, "hasChanged", s != p.settings)
	p.settings = s
}

// stop hands over the pools, waits until the platform routes new connections to other nodes,
// and completes requests that are in flight.
func (p *program) stop(listeners []net.Listener) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), max(p.settings.TerminationGracePeriod-exitReserve, time.Second))
	defer cancel()
	p.node.Stop(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(rotationTime - time.Since(started)):
	}
	if err := p.callers.Shutdown(ctx); err != nil {
		p.log.Warn("requests still in flight were aborted", "error", err.Error())
	}
	p.node.Close(ctx)
	for _, l := range listeners[1:] {
		// The listener may be closed already.
		_ = l.Close()
	}
	p.mesh.Close()
}

// revision returns the version control revision of the build. It falls back to the module
// version, or to "unknown" if the binary has no build information.
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
