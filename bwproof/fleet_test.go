// Package bwproof_test checks the guarantees of basilwood end to end. It runs real entries and
// controllers against stand-ins of the store, the platform and the targets, on an in-memory
// network and, except in TestRealTimeFleet, in simulated time.
package bwproof_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwcontroller"
	"basilwood.example/basilwood/bwentry"
	"basilwood.example/basilwood/bwpipe"
	"basilwood.example/basilwood/bwplatform"
	"basilwood.example/basilwood/bwstandin"
	"basilwood.example/basilwood/bwstore"
	"gotest.tools/v3/assert"
)

const (
	storeAddress    = "10.0.0.1:80"
	platformAddress = "10.0.0.2:80"
	clientHost      = "10.0.9.1"
	hostsPerPool    = 4
	meanServiceTime = 20 * time.Millisecond
	hostListLag     = 500 * time.Millisecond
	rebootTime      = 800 * time.Millisecond
)

// pools lists the pools of the fleet. In each pool, the "counts" profile is non-idempotent and
// the "reads" profile idempotent.
var pools = []string{"alpha", "beta"}

// fleet is a complete deployment, normally within one synctest bubble.
type fleet struct {
	t              *testing.T
	net            *bwpipe.Network
	store          *bwstandin.Store
	platform       *bwstandin.Platform
	targets        map[string]*bwstandin.Target
	entries        []*process
	controllers    []*process
	servers        []*http.Server
	client         *http.Client
	group          sync.WaitGroup
	loadGenerators []*loadGenerator
	isRealTime     bool
	// mu guards entries and controllers, which load generators read while the test replaces
	// processes.
	mu sync.Mutex
}

// process is one incarnation of an entry or a controller.
type process struct {
	id          int
	restarts    int
	ip          string
	cancel      context.CancelFunc
	done        chan struct{}
	isCleanStop bool
	isRunning   atomic.Bool
	isReady     atomic.Bool
}

func newFleet(t *testing.T, entries, controllers int) *fleet {
	f := &fleet{t: t, net: bwpipe.New(), store: bwstandin.NewStore(1), targets: make(map[string]*bwstandin.Target)}
	f.serve(storeAddress, f.store.Handler())
	var managedTargets []bwstandin.ManagedTarget
	for i, name := range hostNames() {
		target := bwstandin.NewTarget(name, 8, meanServiceTime, uint64(i))
		f.targets[name] = target
		managedTargets = append(managedTargets, target)
		f.serve(hostAddress(i), target.Handler())
	}
	f.platform = bwstandin.NewPlatform(managedTargets, hostListLag, rebootTime, 1)
	f.serve(platformAddress, f.platform.Handler())
	transport := &http.Transport{DialContext: f.net.DialContext(clientHost), MaxIdleConnsPerHost: 100}
	f.client = &http.Client{Transport: transport}
	for i := range controllers {
		f.startController(i)
	}
	time.Sleep(200 * time.Millisecond)
	if controllers > 0 {
		f.configure()
	}
	for i := range entries {
		f.startEntry(i)
	}
	f.awaitReady()
	return f
}

func hostNames() []string {
	var names []string
	for _, pool := range pools {
		for i := range hostsPerPool {
			names = append(names, fmt.Sprintf("%s-%d", pool, i))
		}
	}
	return names
}

// Each rack holds two hosts. The hosts are assigned to the three data centres in turn.
func rackOf(i int) string       { return fmt.Sprintf("rack%d", i/2) }
func dataCentreOf(i int) string { return fmt.Sprintf("dc%d", i%3) }

func hostAddress(i int) string         { return fmt.Sprintf("10.0.1.%d:80", i+1) }
func callersAddress(p *process) string { return p.ip + ":80" }

func (f *fleet) serve(address string, h http.Handler) {
	s := &http.Server{Handler: h}
	f.servers = append(f.servers, s)
	l := f.net.Listen(address)
	f.group.Go(func() { _ = s.Serve(l) })
}

// configure creates the team, the pools, the hosts and the profiles through the administration API.
func (f *fleet) configure() {
	f.put("teams/team", map[string]any{"name": "team", "quotaSlots": 100})
	f.put("pools/alpha", map[string]any{
		"name": "alpha", "service": "alpha", "maxUnavailable": 2, "maxUnavailablePerRack": 1, "maxUnavailablePerDataCentre": 1,
	})
	f.put("pools/beta", map[string]any{"name": "beta", "service": "beta", "maxUnavailable": 1})
	time.Sleep(200 * time.Millisecond)
	for i, name := range hostNames() {
		f.put("hosts/"+name, map[string]any{
			"name": name, "pool": pools[i/hostsPerPool], "rack": rackOf(i), "dataCentre": dataCentreOf(i),
			"address": hostAddress(i), "slots": 8, "cores": 16,
		})
	}
	time.Sleep(200 * time.Millisecond)
	for _, pool := range pools {
		f.put("profiles/"+pool+"-reads", map[string]any{
			"name": pool + "-reads", "team": "team", "pool": pool, "guaranteedSlots": 8, "timeoutMillis": 3000,
		})
		f.put("profiles/"+pool+"-counts", map[string]any{
			"name": pool + "-counts", "team": "team", "pool": pool, "guaranteedSlots": 8, "timeoutMillis": 3000,
			"urgency": "high", "repetition": "nonIdempotent", "keyWindowMillis": 600000,
		})
	}
}

// put stores a value through a running controller and returns its revision.
func (f *fleet) put(path string, value map[string]any) int64 {
	f.t.Helper()
	body, err := json.Marshal(value)
	assert.NilError(f.t, err)
	status, reply := f.adminRequest(http.MethodPut, "/v1/"+path, body)
	assert.Equal(f.t, status, http.StatusOK, string(reply))
	var item bwcontroller.Item
	assert.NilError(f.t, json.Unmarshal(reply, &item))
	return item.Revision
}

// adminRequest sends a request to the administration API of the first running controller that
// replies. It returns status 0 if none does.
func (f *fleet) adminRequest(method, path string, body []byte) (int, []byte) {
	f.t.Helper()
	f.mu.Lock()
	controllers := append([]*process(nil), f.controllers...)
	f.mu.Unlock()
	for _, p := range controllers {
		if !p.isRunning.Load() {
			continue
		}
		req, err := http.NewRequest(method, "http://"+p.ip+":80"+path, bytes.NewReader(body))
		assert.NilError(f.t, err)
		resp, err := f.client.Do(req)
		if err != nil {
			continue
		}
		defer resp.Body.Close()
		reply, err := io.ReadAll(resp.Body)
		assert.NilError(f.t, err)
		return resp.StatusCode, reply
	}
	return 0, nil
}

func (f *fleet) storeClient(ip string) *bwstore.Client {
	return bwstore.New("http://"+storeAddress,
		bwstore.WithTransport(&http.Transport{DialContext: f.net.DialContext(ip), MaxIdleConnsPerHost: 8}))
}

func (f *fleet) platformClient(ip string) *bwplatform.Client {
	return bwplatform.New("http://"+platformAddress,
		bwplatform.WithTransport(&http.Transport{DialContext: f.net.DialContext(ip), MaxIdleConnsPerHost: 4}))
}

// startEntry starts a new incarnation of entry i at a new address.
func (f *fleet) startEntry(i int) *process {
	p := &process{id: i, done: make(chan struct{})}
	p.isRunning.Store(true)
	f.mu.Lock()
	if i < len(f.entries) {
		p.restarts = f.entries[i].restarts + 1
		f.entries[i] = p
	} else {
		f.entries = append(f.entries, p)
	}
	f.mu.Unlock()
	p.ip = fmt.Sprintf("10.0.2.%d", 1+i+10*p.restarts)
	s, platform := f.storeClient(p.ip), f.platformClient(p.ip)
	var seeds []string
	for _, other := range f.entries {
		if other.isRunning.Load() && other != p {
			seeds = append(seeds, other.ip+":81")
		}
	}
	e := bwentry.New(bwentry.Identity{ID: fmt.Sprintf("entry%d", i), DataCentre: fmt.Sprintf("dc%d", i%3), PeerAddress: p.ip + ":81"},
		s, platform, bwentry.WithDialers(f.net.Dialer(p.ip), f.net.DialContext(p.ip)), bwentry.WithSeeds(seeds))
	listeners := bwentry.Listeners{
		Callers: f.net.Listen(p.ip + ":80"), Peers: f.net.Listen(p.ip + ":81"), Operations: f.net.Listen(p.ip + ":82"),
	}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	f.group.Go(func() {
		p.isCleanStop, _ = e.Run(ctx, listeners)
		s.Close()
		platform.Close()
		close(p.done)
	})
	return p
}

func (f *fleet) startController(i int) *process {
	p := &process{id: i, done: make(chan struct{})}
	p.isRunning.Store(true)
	f.mu.Lock()
	if i < len(f.controllers) {
		p.restarts = f.controllers[i].restarts + 1
		f.controllers[i] = p
	} else {
		f.controllers = append(f.controllers, p)
	}
	f.mu.Unlock()
	p.ip = fmt.Sprintf("10.0.3.%d", 1+i+10*p.restarts)
	s, platform := f.storeClient(p.ip), f.platformClient(p.ip)
	c := bwcontroller.New(bwcontroller.Identity{ID: fmt.Sprintf("controller%d", i), Address: p.ip + ":80"},
		s, platform, bwcontroller.WithPeerDial(f.net.Dialer(p.ip)))
	listeners := bwcontroller.Listeners{Administration: f.net.Listen(p.ip + ":80"), Operations: f.net.Listen(p.ip + ":82")}
	var ctx context.Context
	ctx, p.cancel = context.WithCancel(context.Background())
	f.group.Go(func() {
		_ = c.Run(ctx, listeners)
		s.Close()
		platform.Close()
		close(p.done)
	})
	return p
}

// kill simulates a crash: it isolates the process from the network before it cancels it, so that
// goroutines that are still ending cannot reach any other process.
func (f *fleet) kill(p *process) {
	p.isRunning.Store(false)
	f.net.Isolate(p.ip)
	p.cancel()
}

// stop shuts a process down gracefully and waits until it has ended.
func (f *fleet) stop(p *process) {
	p.isRunning.Store(false)
	p.cancel()
	<-p.done
}

// awaitReady waits until every running entry reports that it is ready.
func (f *fleet) awaitReady() {
	f.t.Helper()
	for range 200 {
		ready := 0
		for _, p := range f.entries {
			if !p.isRunning.Load() {
				ready++
				continue
			}
			resp, err := f.client.Get("http://" + p.ip + ":82/readyz")
			if err != nil {
				continue
			}
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				p.isReady.Store(true)
				ready++
			}
		}
		if ready == len(f.entries) {
			time.Sleep(time.Second)
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("the entries did not become ready in time")
}

// close stops all processes, servers and load generators: synctest requires that every goroutine
// of the bubble ends.
func (f *fleet) close() {
	for _, l := range f.loadGenerators {
		l.finish()
	}
	for _, p := range append(f.entries, f.controllers...) {
		p.cancel()
	}
	for _, p := range append(f.entries, f.controllers...) {
		<-p.done
	}
	f.client.CloseIdleConnections()
	for _, s := range f.servers {
		_ = s.Close()
	}
	f.group.Wait()
	if !f.isRealTime {
		// Handlers whose caller has disconnected end only at their own timeouts.
		time.Sleep(time.Minute)
	}
}

// executions returns the number of executions that the targets started, by request id.
func (f *fleet) executions() map[string]int {
	counts := make(map[string]int)
	for _, t := range f.targets {
		for _, e := range t.Executions() {
			counts[e.RequestID]++
		}
	}
	return counts
}

// requestRecord records a request of a caller and the reply that the caller received.
type requestRecord struct {
	pool     string
	profile  string
	key      string
	payload  string
	id       string
	outcome  string
	reason   string
	status   int
	body     string
	replayed bool
	sentAt   time.Time
	duration time.Duration
}

// sendRequest sends the request r to an entry and records the reply in r.
func (f *fleet) sendRequest(ctx context.Context, p *process, r *requestRecord, timeout time.Duration) {
	r.sentAt = time.Now()
	defer func() { r.duration = time.Since(r.sentAt) }()
	url := "http://" + callersAddress(p) + "/v1/services/" + r.pool + "/requests"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader([]byte(r.payload)))
	if err != nil {
		return
	}
	req.GetBody = nil
	req.Header.Set(bwentry.HeaderProfile, r.profile)
	req.Header.Set(bwentry.HeaderCaller, "tester")
	req.Header.Set(bwentry.HeaderTimeout, timeout.String())
	if r.key != "" {
		req.Header.Set(bwentry.HeaderIdempotencyKey, r.key)
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		return
	}
	r.id = resp.Header.Get(bwentry.HeaderRequestID)
	r.outcome = resp.Header.Get(bwentry.HeaderOutcome)
	r.replayed = resp.Header.Get(bwentry.HeaderReplayed) != ""
	r.status = resp.StatusCode
	r.body = string(body)
	var problem bwentry.Problem
	if r.outcome != "ran" && json.Unmarshal(body, &problem) == nil {
		r.reason = problem.Reason
	}
}

// post sends a request with the given headers and returns the status and, for a rejected request,
// the problem.
func (f *fleet) post(b badRequest) (int, bwentry.Problem) {
	url := "http://" + callersAddress(f.entries[0]) + "/v1/services/" + b.path + "/requests"
	req, err := http.NewRequest(http.MethodPost, url, strings.NewReader(b.body))
	assert.NilError(f.t, err)
	for name, value := range b.header {
		req.Header.Set(name, value)
	}
	resp, err := f.client.Do(req)
	assert.NilError(f.t, err)
	defer resp.Body.Close()
	var problem bwentry.Problem
	// The body of a target's reply does not decode and leaves problem empty.
	_ = json.NewDecoder(resp.Body).Decode(&problem)
	return resp.StatusCode, problem
}

// account returns the account of a request as an entry reports it, or nil if there is none.
func (f *fleet) account(p *process, id string) *bwaccount.Account {
	resp, err := f.client.Get("http://" + callersAddress(p) + "/v1/requests/" + id)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var list bwentry.AccountList
	if json.NewDecoder(resp.Body).Decode(&list) != nil || len(list.Accounts) != 1 {
		return nil
	}
	a := new(bwaccount.Account)
	if bwcodec.Unmarshal(list.Accounts[0], a) != nil {
		return nil
	}
	return a
}

// unfinishedRequests returns the ids of the requests whose account is not final according to an
// entry.
func (f *fleet) unfinishedRequests(p *process) []string {
	resp, err := f.client.Get("http://" + callersAddress(p) + "/v1/requests?caller=tester")
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var list bwentry.AccountList
	if json.NewDecoder(resp.Body).Decode(&list) != nil {
		return nil
	}
	var ids []string
	for _, raw := range list.Accounts {
		a := new(bwaccount.Account)
		if bwcodec.Unmarshal(raw, a) == nil && !a.GetFinal() {
			ids = append(ids, a.GetRequestId())
		}
	}
	return ids
}

// cancel asks an entry to cancel a request and returns the result.
func (f *fleet) cancel(p *process, id string) string {
	req, err := http.NewRequest(http.MethodDelete, "http://"+callersAddress(p)+"/v1/requests/"+id, nil)
	if err != nil {
		return ""
	}
	resp, err := f.client.Do(req)
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	var c bwentry.Cancellation
	if json.NewDecoder(resp.Body).Decode(&c) != nil {
		return ""
	}
	return c.Result
}

// runningEntries returns the entries that have not been killed or stopped.
func (f *fleet) runningEntries() []*process {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []*process
	for _, p := range f.entries {
		if p.isRunning.Load() {
			list = append(list, p)
		}
	}
	return list
}
