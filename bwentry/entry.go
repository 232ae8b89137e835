// Package bwentry implements the entry process, which serves the requests of callers.
//
// An Entry has four parts. The receiver serves the callers' HTTP API: it validates a
// request, chooses a home entry and relays the outcome. The dispatcher (bwdispatch) runs
// requests on the targets whose home is this entry. The claim owner (bwclaim) commits
// idempotency keys for the claim shards that this entry owns. The membership exchanges
// heartbeats with the other entries and recomputes the home of each target and the owner of
// each shard. An entry keeps nothing on disk; durable state is in the store.
package bwentry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwclaim"
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwdispatch"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwmember"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwplatform"
	"basilwood.example/basilwood/bwqueue"
	"basilwood.example/basilwood/bwroute"
	"basilwood.example/basilwood/bwstore"
	"basilwood.example/basilwood/bwtarget"
	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
)

// Identity is the configured name and location of an entry.
type Identity struct {
	ID         string
	DataCentre string
	// PeerAddress is the IP address and port that other processes call.
	PeerAddress string
}

// Listeners holds the network listeners that an entry serves.
type Listeners struct {
	Callers    net.Listener
	Peers      net.Listener
	Operations net.Listener
}

const (
	defaultAccountCapacity = 50_000
	defaultClaimWriteRate  = 120
	defaultDrainDelay      = 500 * time.Millisecond
	defaultStopTimeout     = 30 * time.Second
)

// Entry is one entry process. It is safe for concurrent use.
type Entry struct {
	identity        Identity
	incarnation     string
	clock           bwclock.Clock
	log             hclog.Logger
	store           *bwstore.Client
	platform        *bwplatform.Client
	peers           *bwpeer.ConnPool
	seeds           []string
	queuePolicy     bwqueue.Policy
	routePolicy     bwroute.Policy
	dialTarget      bwtarget.DialContext
	accountCapacity int
	claimWriteRate  float64
	drainDelay      time.Duration
	stopTimeout     time.Duration

	replica       *bwconfig.Replica
	freshness     *bwconfig.Freshness
	syncer        *bwconfig.Syncer
	claimOwner    *bwclaim.Owner
	dispatcher    *bwdispatch.Dispatcher
	recorder      *bwaccount.Recorder
	accountWriter *bwaccount.Writer
	metrics       *metrics
	membership    *membership
	registrar     *bwmember.Registrar

	requestSequence atomic.Int64
	leaving         atomic.Bool

	randomMu sync.Mutex
	random   *rand.Rand

	pendingMu sync.Mutex
	pending   map[string]*pendingRequest
}

// Option configures an Entry in New.
type Option func(*Entry)

// WithLog sets the logger.
func WithLog(l hclog.Logger) Option { return func(e *Entry) { e.log = l } }

// WithClock sets the clock.
func WithClock(c bwclock.Clock) Option { return func(e *Entry) { e.clock = c } }

// WithSeeds sets peer addresses that the entry contacts even if the store does not list
// them, so that it can start while the store is down.
func WithSeeds(addresses []string) Option { return func(e *Entry) { e.seeds = addresses } }

// WithQueuePolicy sets the order in which queued requests run.
func WithQueuePolicy(p bwqueue.Policy) Option { return func(e *Entry) { e.queuePolicy = p } }

// WithRoutePolicy sets how the home of a request is chosen.
func WithRoutePolicy(p bwroute.Policy) Option { return func(e *Entry) { e.routePolicy = p } }

// WithDialers sets the dialers for peers and targets, which may use in-memory connections.
func WithDialers(peer bwpeer.Dialer, target bwtarget.DialContext) Option {
	return func(e *Entry) {
		e.peers = bwpeer.NewConnPool(peer)
		e.dialTarget = target
	}
}

// WithClaimWriteRate limits the store writes per second that all entries together use for
// claims.
func WithClaimWriteRate(perSecond float64) Option {
	return func(e *Entry) { e.claimWriteRate = perSecond }
}

// WithStopTimeout limits the duration of a graceful shutdown.
func WithStopTimeout(d time.Duration) Option { return func(e *Entry) { e.stopTimeout = d } }

// New returns an entry that Run starts.
func New(id Identity, s *bwstore.Client, p *bwplatform.Client, options ...Option) *Entry {
	e := &Entry{
		identity:        id,
		clock:           bwclock.New(),
		log:             hclog.NewNullLogger(),
		store:           s,
		platform:        p,
		accountCapacity: defaultAccountCapacity,
		claimWriteRate:  defaultClaimWriteRate,
		drainDelay:      defaultDrainDelay,
		stopTimeout:     defaultStopTimeout,
		replica:         new(bwconfig.Replica),
		freshness:       new(bwconfig.Freshness),
		random:          rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		pending:         make(map[string]*pendingRequest),
	}
	e.peers = bwpeer.NewConnPool(bwpeer.DialTCP)
	for _, o := range options {
		o(e)
	}
	e.incarnation = bwmember.NewIncarnation(id.ID, e.clock.Now())
	e.log = e.log.With("entry", e.incarnation)
	e.build()
	return e
}

// build creates the parts of the entry and connects them.
func (e *Entry) build() {
	e.membership = newMembership(e)
	e.syncer = bwconfig.NewSyncer(e.store, e.replica, e.freshness, e.clock, e.log.Named("config"), e.membership.refresh)
	e.claimOwner = bwclaim.NewOwner(e.store, e.incarnation, e.clock, e.log.Named("claims"))
	e.recorder = bwaccount.NewRecorder(e.accountCapacity)
	e.accountWriter = bwaccount.NewWriter(e.recorder, e.store, e.incarnation, e.log.Named("accounts"))
	e.dispatcher = bwdispatch.New(e.incarnation, e.clock, &claimRouter{entry: e}, e.freshness, e.recorder,
		bwdispatch.WithPolicy(e.queuePolicy), bwdispatch.WithDial(e.dialTarget), bwdispatch.WithLog(e.log.Named("home")))
	e.metrics = newMetrics(e)
	e.registrar = bwmember.NewRegistrar(e.store, bwconfig.EntryKey(e.identity.ID), &bwpeer.Beat{
		Id:          e.identity.ID,
		Incarnation: e.incarnation,
		Address:     e.identity.PeerAddress,
		DataCentre:  e.identity.DataCentre,
	}, e.log.Named("registrar"))
}

// Incarnation returns the id of this run of the entry process. It changes at each restart.
func (e *Entry) Incarnation() string { return e.incarnation }

// appliedRevision returns the configuration revision that requests run with.
func (e *Entry) appliedRevision() int64 { return e.membership.appliedRevision.Load() }

// IsReady reports whether the entry can serve callers.
func (e *Entry) IsReady() bool {
	return e.replica.IsLoaded() && !e.leaving.Load()
}

// Run serves until ctx ends and then shuts down in order: it announces that it leaves,
// ends queued requests so that their receivers can try another home, waits for running
// requests, stores the accounts and releases its lease. It reports whether every request
// finished within the stop timeout.
func (e *Entry) Run(ctx context.Context, l Listeners) (isClean bool, err error) {
	background, stopBackground := context.WithCancel(context.Background())
	defer stopBackground()
	group, groupCtx := errgroup.WithContext(background)
	callers := bwhttp.NewServer(e.callerRoutes())
	operations := bwhttp.NewServer(e.operationRoutes())
	group.Go(func() error { return bwhttp.Serve(callers, l.Callers) })
	group.Go(func() error { return bwhttp.Serve(operations, l.Operations) })
	group.Go(func() error { return ignoreCancel(groupCtx, bwpeer.Serve(groupCtx, l.Peers, &peerServer{entry: e})) })
	for _, run := range []func(context.Context){
		e.syncer.Run, e.syncer.RunTicker, e.dispatcher.Run, e.accountWriter.Run, e.membership.run, e.registrar.Run, e.membership.pollPlatform,
	} {
		group.Go(func() error {
			run(groupCtx)
			return nil
		})
	}
	e.log.Info("entry started", "dataCentre", e.identity.DataCentre, "peers", e.identity.PeerAddress)
	select {
	case <-ctx.Done():
	case <-groupCtx.Done():
	}
	isClean = e.stop(callers)
	stopBackground()
	_ = operations.Close()
	err = group.Wait()
	e.claimOwner.Close()
	e.peers.Close()
	e.log.Info("entry stopped", "clean", isClean)
	return isClean, err
}

// stop shuts the entry down gracefully and reports whether every request finished.
func (e *Entry) stop(callers *http.Server) bool {
	ctx, cancel := context.WithTimeout(context.Background(), e.stopTimeout)
	defer cancel()
	e.leaving.Store(true)
	e.membership.announceLeaving(ctx)
	// The load balancer has to see the failing readiness check before the listener closes.
	time.Sleep(e.drainDelay)
	dispatcherDone := e.dispatcher.Stop(ctx)
	callersDone := callers.Shutdown(ctx) == nil
	e.accountWriter.Flush(ctx)
	e.registrar.Deregister(ctx)
	return dispatcherDone && callersDone
}

// ignoreCancel discards the error of a server whose context has ended.
func ignoreCancel(ctx context.Context, err error) error {
	if ctx.Err() != nil {
		return nil
	}
	return err
}
