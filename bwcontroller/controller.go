// Package bwcontroller implements the controller, which serves the administration API to
// operators and reconciles the moves and the maintenance of hosts.
//
// Any controller can reconcile any pool. Rendezvous hashing over the registered controllers
// assigns each pool to one of them. The assignment only avoids duplicate work and is not
// needed for safety: each step is either a compare-and-swap on one store key or a platform
// order that is idempotent per permit, so two controllers can reconcile the same pool
// concurrently. Package bwpool makes the decisions; this package collects their inputs and
// executes them.
package bwcontroller

import (
	"context"
	"net"
	"sync"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwmember"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwplatform"
	"basilwood.example/basilwood/bwstore"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"golang.org/x/sync/errgroup"
)

// Identity identifies a controller. It comes from the settings of the process.
type Identity struct {
	ID         string
	DataCentre string
	// Address is the IP address and port of the administration API.
	Address string
}

// Listeners are the listeners that the controller serves on.
type Listeners struct {
	Administration net.Listener
	Operations     net.Listener
}

const (
	reconcileInterval    = 100 * time.Millisecond
	platformPollInterval = time.Second
	entryCallTimeout     = time.Second
	writeTimeout         = 3 * time.Second
	shutdownTimeout      = 5 * time.Second
	// maxHostListAge is the maximum age of the platform's host list for granting permits.
	maxHostListAge = 5 * time.Second
)

// Controller is one controller process. It is safe for concurrent use.
type Controller struct {
	identity        Identity
	incarnation     string
	clock           bwclock.Clock
	log             hclog.Logger
	store           *bwstore.Client
	platform        *bwplatform.Client
	peers           *bwpeer.ConnPool
	replica         *bwconfig.Replica
	freshness       *bwconfig.Freshness
	syncer          *bwconfig.Syncer
	registrar       *bwmember.Registrar
	metricsRegistry *prometheus.Registry
	permitActions   *prometheus.CounterVec

	mu                  sync.Mutex
	hostReports         map[string]bwplatform.HostReport
	hostListRequestedAt bwclock.Time
	waitReasons         map[string]string
}

// Option configures a Controller.
type Option func(*Controller)

// WithLog sets the logger.
func WithLog(l hclog.Logger) Option { return func(c *Controller) { c.log = l } }

// WithClock sets the clock.
func WithClock(clock bwclock.Clock) Option { return func(c *Controller) { c.clock = clock } }

// WithPeerDial sets the dialer for connections to entries. Tests use it for an in-memory
// network.
func WithPeerDial(d bwpeer.Dialer) Option {
	return func(c *Controller) { c.peers = bwpeer.NewConnPool(d) }
}

// New returns a controller. Run starts it.
func New(id Identity, s *bwstore.Client, p *bwplatform.Client, options ...Option) *Controller {
	c := &Controller{
		identity:        id,
		clock:           bwclock.New(),
		log:             hclog.NewNullLogger(),
		store:           s,
		platform:        p,
		peers:           bwpeer.NewConnPool(bwpeer.DialTCP),
		replica:         new(bwconfig.Replica),
		freshness:       new(bwconfig.Freshness),
		metricsRegistry: prometheus.NewRegistry(),
		hostReports:     make(map[string]bwplatform.HostReport),
		waitReasons:     make(map[string]string),
	}
	for _, o := range options {
		o(c)
	}
	c.incarnation = bwmember.NewIncarnation(id.ID, c.clock.Now())
	c.log = c.log.With("controller", c.incarnation)
	c.syncer = bwconfig.NewSyncer(s, c.replica, c.freshness, c.clock, c.log.Named("config"), func() {})
	c.registrar = bwmember.NewRegistrar(s, bwconfig.ControllerKey(id.ID), &bwpeer.Beat{
		Id:          id.ID,
		Incarnation: c.incarnation,
		Address:     id.Address,
		DataCentre:  id.DataCentre,
	}, c.log.Named("registrar"))
	c.permitActions = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilwood_permit_actions_total",
		Help: "Actions taken for permits, by action.",
	}, []string{"action"})
	c.metricsRegistry.MustRegister(c.permitActions, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return c
}

// Run serves until ctx is cancelled or one of its HTTP servers fails. A controller has no
// durable state of its own, so it can be stopped at any time without data loss.
func (c *Controller) Run(ctx context.Context, l Listeners) error {
	serveCtx, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, serveCtx := errgroup.WithContext(serveCtx)
	administration := bwhttp.NewServer(c.administrationRoutes())
	operations := bwhttp.NewServer(c.operationsRoutes())
	group.Go(func() error { return bwhttp.Serve(administration, l.Administration) })
	group.Go(func() error { return bwhttp.Serve(operations, l.Operations) })
	for _, run := range []func(context.Context){
		c.syncer.Run, c.syncer.RunTicker, c.registrar.Run, c.pollPlatform, c.reconcileAll,
	} {
		group.Go(func() error {
			run(serveCtx)
			return nil
		})
	}
	c.log.Info("controller started", "address", c.identity.Address)
	select {
	case <-ctx.Done():
	case <-serveCtx.Done():
	}
	shutdownCtx, cancelShutdown := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancelShutdown()
	// The error is ignored: a request that does not finish before the deadline is cut off when
	// the process exits, and its operator sees a connection error.
	_ = administration.Shutdown(shutdownCtx)
	c.registrar.Deregister(shutdownCtx)
	cancel()
	_ = operations.Close()
	err := group.Wait()
	c.peers.Close()
	c.log.Info("controller stopped")
	return err
}

// pollPlatform polls the platform's host list until ctx is cancelled.
func (c *Controller) pollPlatform(ctx context.Context) {
	t := time.NewTicker(platformPollInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		requestedAt := c.clock.Now()
		reports, err := c.platform.Hosts(ctx)
		if err != nil {
			c.log.Warn("failed to read the platform's host list", "error", err)
		} else {
			c.setHostReports(reports, requestedAt)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (c *Controller) setHostReports(reports []bwplatform.HostReport, requestedAt bwclock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.hostListRequestedAt = requestedAt
	clear(c.hostReports)
	for _, r := range reports {
		c.hostReports[r.Host] = r
	}
}

// hostReport returns a host's state in the last host list, and whether the list contains it.
func (c *Controller) hostReport(host string) (bwplatform.HostReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.hostReports[host]
	return r, ok
}

// isHostListFresh reports whether the host list is recent enough for granting permits.
func (c *Controller) isHostListFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.hostListRequestedAt != bwclock.Never && c.clock.Now().Sub(c.hostListRequestedAt) <= maxHostListAge
}
