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
	"basilwood.example/basilwood/bwmaintenance"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwpanic"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwsettings"
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
	// endpointRemovalDelay is how long the platform may keep sending new connections to a node
	// that is no longer ready: two readiness checks, one per second, and a margin.
	endpointRemovalDelay = 2300 * time.Millisecond
	// settingsPollInterval is the interval at which the settings file is checked for changes,
	// because it may change without a signal.
	settingsPollInterval = 2 * time.Second
	// stopMargin is the margin before SIGKILL by which a planned stop must be complete.
	stopMargin = 800 * time.Millisecond
)

// process is the node with its servers and clients.
type process struct {
	settings     platform.Settings
	log          hclog.Logger
	node         *bwnode.Node
	mesh         *bwmesh.Mesh
	guard        *bwpanic.Guard
	callerServer *http.Server
	servers      sync.WaitGroup
}

func run(s platform.Settings, log hclog.Logger, logWriter *bwlog.Writer) error {
	listeners, err := bwsettings.ListenAll(s.CallersAddress, s.ReadyAddress, s.NodeAddress, s.MetricsAddress)
	if err != nil {
		return err
	}
	registry := prometheus.NewRegistry()
	logWriter.Register(registry)
	p := newProcess(s, log, registry)
	log.Info("started", "node", s.Node, "incarnation", p.node.Incarnation(), "dataCentre", s.DataCentre, "revision", buildRevision())
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	p.startServer(func() error { return bwhttp.Serve(p.callerServer, listeners[0]) })
	p.startServer(func() error { return bwhttp.Serve(bwhttp.NewServer(p.readinessHandler()), listeners[1]) })
	p.startServer(func() error { return bwmesh.Serve(ctx, listeners[2], p.node.Services(), p.guard) })
	p.startServer(func() error { return bwhttp.Serve(bwhttp.NewServer(p.operationsHandler(registry)), listeners[3]) })
	go p.node.Run(ctx)
	p.waitForStop()
	p.stop(listeners)
	total, dropped := logWriter.LineCounts()
	log.Info("stopped", "logLines", total, "logLinesDropped", dropped)
	return nil
}

func newProcess(s platform.Settings, log hclog.Logger, registry *prometheus.Registry) *process {
	store := platform.NewStoreClient(s.StoreAddress)
	mesh := bwmesh.New(bwpeer.DialTCP)
	guard := bwpanic.NewGuard(log, registry)
	deps := bwnode.Deps{
		Store:     store,
		Registry:  platform.Registry(),
		Executors: platform.NewExecutorClient(log),
		Adviser:   platform.NewPolicyClient(s.PolicyAddress),
		Mesh:      mesh,
		Clock:     bwclock.NewBootTime(),
		Log:       log,
		Metrics:   bwnode.NewMetrics(registry),
		Guard:     guard,
	}
	if s.HostsAddress != "" {
		deps.Hosts = platform.NewHostClient(s.HostsAddress, s.Node, log)
	}
	node := bwnode.New(deps, bwnode.Identity{Name: s.Node, Address: s.NodeAddress, Cores: s.CPUCores, DataCentre: s.DataCentre}, bwnode.Settings{
		Owner: bwowner.Settings{
			LeaseLength:       min(executorLease, s.MaxLeaseLength),
			MaxLeaseLength:    s.MaxLeaseLength,
			MaxStopTime:       s.MaxTaskStopTime,
			EndedJobRetention: s.EndedJobRetention,
			CrossRackFactor:   s.CrossRackFactor,
		},
		Maintenance:        bwmaintenance.Settings{MaintenanceDuration: s.MaintenanceDuration, MoveDuration: s.MoveDuration},
		MaxVisibilityDelay: s.MaxVisibilityDelay,
		MaxCapacityDelay:   s.MaxCapacityDelay,
		HandoverDelay:      s.HandoverDelay,
	})
	return &process{settings: s, log: log, node: node, mesh: mesh, guard: guard, callerServer: bwhttp.NewServer(platform.NewIngress(node, log, guard))}
}

// startServer runs a server in its own goroutine until its listener is closed.
func (p *process) startServer(serve func() error) {
	p.servers.Add(1)
	go func() {
		defer p.servers.Done()
		if err := serve(); err != nil {
			p.log.Debug("server stopped with an error", "error", err.Error())
		}
	}()
}

func (p *process) readinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { bwhttp.WriteReadiness(w, p.node.IsReady()) })
}

// operationsHandler returns the handler for metrics and the state dump.
func (p *process) operationsHandler(registry *prometheus.Registry) http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(registry, promhttp.HandlerOpts{})).Methods(http.MethodGet)
	r.HandleFunc("/debug/state", func(w http.ResponseWriter, _ *http.Request) {
		bwhttp.WriteJSON(w, http.StatusOK, p.node.Dump())
	}).Methods(http.MethodGet)
	return r
}

// waitForStop blocks until a signal requests the process to stop. It reloads the settings on
// SIGHUP and when the settings file has changed.
func (p *process) waitForStop() {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGHUP, os.Interrupt)
	ticker := time.NewTicker(settingsPollInterval)
	defer ticker.Stop()
	version := platform.SettingsVersion()
	for {
		select {
		case s := <-signals:
			if s != syscall.SIGHUP {
				p.log.Info("stop requested", "signal", s.String())
				return
			}
			p.reload("signal")
		case <-ticker.C:
			if platform.SettingsVersion() == version {
				continue
			}
			p.reload("file changed")
		}
		version = platform.SettingsVersion()
	}
}

// reload reads and checks the settings. A changed termination grace period takes effect at
// once, all other changes at the next start.
func (p *process) reload(reason string) {
	s, problems := platform.ReadSettings()
	if len(problems) > 0 {
		p.log.Error("invalid settings; keeping the previous ones", "reason", reason, "problems", problems)
		return
	}
	p.log.Info("settings reloaded", "reason", reason, "hasChanged", s != p.settings)
	p.settings = s
}

// stop hands over the roles of the node, waits until the platform routes new connections to
// other nodes, and completes requests that are in flight.
func (p *process) stop(listeners []net.Listener) {
	started := time.Now()
	ctx, cancel := context.WithTimeout(context.Background(), max(p.settings.TerminationGracePeriod-stopMargin, time.Second))
	defer cancel()
	p.node.Stop(ctx)
	select {
	case <-ctx.Done():
	case <-time.After(endpointRemovalDelay - time.Since(started)):
	}
	if err := p.callerServer.Shutdown(ctx); err != nil {
		p.log.Warn("requests still in flight were aborted", "error", err.Error())
	}
	p.node.Close(ctx)
	for _, l := range listeners[1:] {
		// The listener may be closed already.
		_ = l.Close()
	}
	p.mesh.Close()
}

// buildRevision returns the version control revision of the build. It falls back to the
// module version, or to "unknown" if the binary has no build information.
func buildRevision() string {
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
