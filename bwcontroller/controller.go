// Package bwcontroller is the process that operators talk to and that moves and
// maintains hosts.
//
// Any controller can do any pool. Rendezvous hashing over the registered controllers
// says which one should try, which only saves effort: each step is a compare-and-swap on
// one store key or an order that the platform carries out once for each permit, so two
// controllers that work on the same pool do no harm. The decisions are in bwpool; this
// package gathers the facts for them and executes them.
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

// Identity says who the controller is. Its settings give it.
type Identity struct {
	ID         string
	DataCentre string
	// Address is the IP number and port of the administration API.
	Address string
}

// Listeners are the sockets that the controller serves.
type Listeners struct {
	Administration net.Listener
	Operations     net.Listener
}

const (
	reconcileInterval = 100 * time.Millisecond
	platformInterval  = time.Second
	callTimeout       = time.Second
	writeTimeout      = 3 * time.Second
	stopTimeout       = 5 * time.Second
	// maxListAge bounds the age of the host list that permits are granted by.
	maxListAge = 5 * time.Second
)

// Controller is one controller process. It is safe for concurrent use.
type Controller struct {
	identity    Identity
	incarnation string
	clock       bwclock.Clock
	log         hclog.Logger
	store       *bwstore.Client
	platform    *bwplatform.Client
	peers       *bwpeer.ConnPool
	replica     *bwconfig.Replica
	freshness   *bwconfig.Freshness
	syncer      *bwconfig.Syncer
	registrar   *bwmember.Registrar
	registry    *prometheus.Registry
	steps       *prometheus.CounterVec

	mu       sync.Mutex
	reports  map[string]bwplatform.HostReport
	listedAt bwclock.Time
	problems map[string]string
}

// Option changes a Controller under construction.
type Option func(*Controller)

// WithLog sets the logger.
func WithLog(l hclog.Logger) Option { return func(c *Controller) { c.log = l } }

// WithClock sets the clock.
func WithClock(clock bwclock.Clock) Option { return func(c *Controller) { c.clock = clock } }

// WithPeerDial sets how entries are connected, for in-memory connections.
func WithPeerDial(d bwpeer.Dialer) Option {
	return func(c *Controller) { c.peers = bwpeer.NewConnPool(d) }
}

// New returns a controller that is not running yet.
func New(id Identity, s *bwstore.Client, p *bwplatform.Client, options ...Option) *Controller {
	c := &Controller{
		identity:  id,
		clock:     bwclock.New(),
		log:       hclog.NewNullLogger(),
		store:     s,
		platform:  p,
		peers:     bwpeer.NewConnPool(bwpeer.DialTCP),
		replica:   new(bwconfig.Replica),
		freshness: new(bwconfig.Freshness),
		registry:  prometheus.NewRegistry(),
		reports:   make(map[string]bwplatform.HostReport),
		problems:  make(map[string]string),
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
	c.steps = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "basilwood_permit_actions_total",
		Help: "Actions taken for permits, by action.",
	}, []string{"action"})
	c.registry.MustRegister(c.steps, collectors.NewGoCollector(),
		collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return c
}

// Run serves until ctx ends. A controller keeps nothing, so stopping it loses nothing.
func (c *Controller) Run(ctx context.Context, l Listeners) error {
	inner, cancel := context.WithCancel(context.Background())
	defer cancel()
	group, inner := errgroup.WithContext(inner)
	administration := bwhttp.NewServer(c.administrationRoutes())
	operations := bwhttp.NewServer(c.operationRoutes())
	group.Go(func() error { return bwhttp.Serve(administration, l.Administration) })
	group.Go(func() error { return bwhttp.Serve(operations, l.Operations) })
	for _, run := range []func(context.Context){
		c.syncer.Run, c.syncer.Ticker, c.registrar.Run, c.pollPlatform, c.reconcileAll,
	} {
		group.Go(func() error {
			run(inner)
			return nil
		})
	}
	c.log.Info("controller started", "address", c.identity.Address)
	select {
	case <-ctx.Done():
	case <-inner.Done():
	}
	stop, cancelStop := context.WithTimeout(context.Background(), stopTimeout)
	defer cancelStop()
	// Requests that do not finish in time are cut by Close; operators see the error.
	_ = administration.Shutdown(stop)
	c.registrar.Deregister(stop)
	cancel()
	_ = operations.Close()
	err := group.Wait()
	c.peers.Close()
	c.log.Info("controller stopped")
	return err
}

// pollPlatform follows the platform's host list until ctx ends.
func (c *Controller) pollPlatform(ctx context.Context) {
	t := time.NewTicker(platformInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		asked := c.clock.Now()
		reports, err := c.platform.Hosts(ctx)
		if err != nil {
			c.log.Warn("the platform's host list could not be read", "error", err)
		} else {
			c.setReports(reports, asked)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

func (c *Controller) setReports(reports []bwplatform.HostReport, at bwclock.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.listedAt = at
	clear(c.reports)
	for _, r := range reports {
		c.reports[r.Host] = r
	}
}

// report returns the listed state of a host.
func (c *Controller) report(host string) (bwplatform.HostReport, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.reports[host]
	return r, ok
}

// isListFresh reports whether the host list is recent enough to grant permits by.
func (c *Controller) isListFresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listedAt != bwclock.Never && c.clock.Now().Sub(c.listedAt) <= maxListAge
}
