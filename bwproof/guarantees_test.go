package bwproof_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwplatform"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwstandin"
	"gotest.tools/v3/assert"
)

// loadGenerator sends requests at a constant rate until it is stopped.
type loadGenerator struct {
	fleet *fleet
	stop  context.CancelFunc
	// timeout is the timeout that each request carries.
	timeout  time.Duration
	group    sync.WaitGroup
	mu       sync.Mutex
	requests []*requestRecord
}

// loadTimeout is the timeout of requests in tests that need no longer one.
const loadTimeout = 3 * time.Second

// startLoad starts a loadGenerator that spreads its requests over the ready entries in turn, as a
// load balancer does.
func startLoad(f *fleet, interval, timeout time.Duration) *loadGenerator {
	ctx, cancel := context.WithCancel(context.Background())
	l := &loadGenerator{fleet: f, stop: cancel, timeout: timeout}
	f.loadGenerators = append(f.loadGenerators, l)
	l.group.Go(func() {
		for n := 0; ctx.Err() == nil; n++ {
			l.group.Go(func() { l.sendOne(n) })
			time.Sleep(interval)
		}
	})
	return l
}

// readyEntries returns the running entries that have reported ready, to which a load balancer
// would send requests.
func (f *fleet) readyEntries() []*process {
	var list []*process
	for _, p := range f.runningEntries() {
		if p.isReady.Load() {
			list = append(list, p)
		}
	}
	return list
}

func (l *loadGenerator) sendOne(n int) {
	pool := pools[n%2]
	r := &requestRecord{pool: pool, profile: pool + "-reads", payload: fmt.Sprintf("n%d/", n)}
	if n%4 == 0 {
		r.profile = pool + "-counts"
		r.key = fmt.Sprintf("load%d", n)
		r.payload += r.key
	}
	// A request without a reply is retried at the next entry, as a load balancer does when the
	// connection is refused: nothing was sent then, so the retry is safe.
	for i := 0; i < 10 && r.outcome == ""; i++ {
		entries := l.fleet.readyEntries()
		l.fleet.sendRequest(context.Background(), entries[(n+i)%len(entries)], r, l.timeout)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
}

// finish stops the load generator, waits for its requests in flight and returns all requests.
func (l *loadGenerator) finish() []*requestRecord {
	l.stop()
	l.group.Wait()
	return l.requests
}

// countOutcomes returns the number of replies by outcome and reason.
func countOutcomes(list []*requestRecord) map[string]int {
	counts := make(map[string]int)
	for _, r := range list {
		counts[r.outcome+" "+r.reason]++
	}
	return counts
}

// runWave starts a maintenance wave over a pool, waits until it has completed and returns the time
// that it took.
func (f *fleet) runWave(pool string, limit time.Duration) time.Duration {
	f.t.Helper()
	started := time.Now()
	status, reply := f.adminRequest(http.MethodPost, "/v1/pools/"+pool+"/maintenance/start", nil)
	assert.Equal(f.t, status, http.StatusOK, string(reply))
	for time.Since(started) < limit {
		_, reply = f.adminRequest(http.MethodGet, "/v1/pools/"+pool+"/maintenance", nil)
		var s struct {
			State   string
			Permits []any
		}
		if json.Unmarshal(reply, &s) == nil && s.State == "completed" && len(s.Permits) == 0 {
			return time.Since(started)
		}
		time.Sleep(100 * time.Millisecond)
	}
	f.t.Fatalf("the maintenance wave did not complete within %s: %s", limit, reply)
	return 0
}

func TestRestartsAndWavesInterruptNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 2)
		defer f.close()
		// On every other host a request takes 30 times as long, which is longer than any delay within a
		// stop or a drain.
		for i, host := range hostNames() {
			f.targets[host].SetMode(bwstandin.TargetMode{SlowFactor: float64(1 + 29*(i%2))})
		}
		l := startLoad(f, 10*time.Millisecond, 30*time.Second)
		for i := range f.entries {
			f.stop(f.entries[i])
			assert.Assert(t, f.entries[i].isCleanStop, "entry %d interrupted a request", i)
			f.startEntry(i)
			f.awaitReady()
		}
		for _, pool := range pools {
			f.runWave(pool, time.Minute)
		}
		counts := countOutcomes(l.finish())
		t.Log(counts)
		for outcome, n := range counts {
			assert.Equal(t, outcome, "ran ", "%d requests", n)
		}
		for name, target := range f.targets {
			assert.Equal(t, target.Interrupted(), 0, name)
		}
		reboots := 0
		for _, o := range f.platform.Orders() {
			if o.Verb == bwplatform.VerbReboot {
				reboots++
			}
		}
		assert.Equal(t, reboots, len(f.targets))
	})
}

func TestConfigurationReachesEntriesInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, 1)
		defer f.close()
		var times []time.Duration
		for i := range 40 {
			if i == 20 {
				f.store.Faults().Set(bwstandin.Faults{DelayMillis: 200})
			}
			accepted := f.put("teams/team", map[string]any{"name": "team", "quotaSlots": 200 + i})
			times = append(times, f.waitForRevision(accepted))
		}
		sort.Slice(times, func(i, j int) bool { return times[i] < times[j] })
		t.Log("median", times[len(times)/2], "max", times[len(times)-1])
		assert.Assert(t, times[len(times)-1] <= 4*time.Second)
		assert.Assert(t, times[len(times)/2] <= time.Second)
	})
}

// waitForRevision waits for at most 10 s until every running entry has applied the revision and
// returns the time that it waited.
func (f *fleet) waitForRevision(revision int64) time.Duration {
	started := time.Now()
	for time.Since(started) < 10*time.Second {
		isEverywhere := true
		for _, p := range f.runningEntries() {
			isEverywhere = isEverywhere && f.entryState(p).Revision >= revision
		}
		if isEverywhere {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	return time.Since(started)
}

// entryState holds the fields of an entry's debug state that these tests use.
type entryState struct {
	Revision int64
	Gate     string
	Services []struct {
		Service string
		Targets []struct {
			Host   string
			Homed  bool
			Health string
		}
	}
}

func (f *fleet) entryState(p *process) entryState {
	var s entryState
	resp, err := f.client.Get("http://" + p.ip + ":82/debug/state")
	if err != nil {
		return s
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&s)
	return s
}

// hostHealth returns the health of a host as reported by its home, which is the entry that sends
// requests to it. It returns "" if no running entry is the home of the host.
func (f *fleet) hostHealth(host string) string {
	for _, p := range f.runningEntries() {
		for _, s := range f.entryState(p).Services {
			for _, target := range s.Targets {
				if target.Host == host && target.Homed {
					return target.Health
				}
			}
		}
	}
	return ""
}

func TestReplacedEntryLoadsStateFromPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.close()
		revision := f.put("teams/team", map[string]any{"name": "team", "quotaSlots": 321})
		f.waitForRevision(revision)
		f.store.Faults().Set(bwstandin.Faults{Refuse: true})
		f.kill(f.entries[0])
		p := f.startEntry(0)
		f.awaitReady()
		assert.Assert(t, f.entryState(p).Revision >= revision)
		r := &requestRecord{pool: "alpha", profile: "alpha-reads", payload: "x"}
		f.sendRequest(context.Background(), p, r, 2*time.Second)
		assert.Equal(t, r.outcome, "ran", r.reason)
		r = &requestRecord{pool: "alpha", profile: "alpha-counts", payload: "x"}
		f.sendRequest(context.Background(), p, r, 2*time.Second)
		assert.Equal(t, r.outcome+" "+r.reason, "notRun storeUnavailable")
	})
}

// markLeaving marks a host as leaving in the store, as a controller does, without the
// administration API.
func (f *fleet) markLeaving(host string) {
	s := f.storeClient("10.0.8.1")
	defer s.Close()
	assert.NilError(f.t, editHost(s, host, func(h *bwroster.Host) { h.State = bwroster.State_leaving }))
}

// lateStarts returns the number of executions on a host that started, and whose requests were
// sent, later than limit after at. A request that was sent in time can be delivered late by a
// frozen network, so the time of sending in the account decides.
func (f *fleet) lateStarts(host string, at time.Time, limit time.Duration) int {
	n := 0
	for _, e := range f.targets[host].Executions() {
		if e.StartedMillis <= at.Add(limit).UnixMilli() {
			continue
		}
		if f.lastSentMillis(e.RequestID, host) > at.Add(limit).UnixMilli() {
			f.t.Logf("late start %+v marked %s: %s", e, at, f.account(f.readyEntries()[0], e.RequestID))
			n++
		}
	}
	return n
}

// lastSentMillis returns the time, in milliseconds, at which a request was last sent to a host. It
// returns math.MaxInt64 if there is no account or no such event in it, so that the execution
// counts as late.
func (f *fleet) lastSentMillis(id, host string) int64 {
	a := f.account(f.readyEntries()[0], id)
	if a == nil {
		return math.MaxInt64
	}
	last := int64(math.MinInt64)
	for _, e := range a.GetEvents() {
		if e.GetKind() == bwaccount.EventKind_sent && e.GetHost() == host {
			last = max(last, e.GetAtMillis())
		}
	}
	if last == math.MinInt64 {
		return math.MaxInt64
	}
	return last
}

func TestLeavingHostGetsNoNewWork(t *testing.T) {
	faults := map[string]func(*fleet){
		"none":                   func(*fleet) {},
		"entries lose the store": func(f *fleet) { f.partitionFromStore(0); f.partitionFromStore(1) },
		"silent store":           func(f *fleet) { f.blackholeStoreConnections() },
		"isolated entry":         func(f *fleet) { f.isolate(0) },
		"frozen entry":           func(f *fleet) { f.net.SetFrozen(f.entries[0].ip, true) },
		"slow store":             func(f *fleet) { f.store.Faults().Set(bwstandin.Faults{DelayMillis: 250}) },
	}
	for name, fault := range faults {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := newFleet(t, 3, 1)
				defer f.close()
				l := startLoad(f, 5*time.Millisecond, loadTimeout)
				time.Sleep(time.Second)
				fault(f)
				time.Sleep(500 * time.Millisecond)
				f.markLeaving("alpha-1")
				marked := time.Now()
				time.Sleep(4 * time.Second)
				f.net.SetFrozen(f.entries[0].ip, false)
				time.Sleep(2 * time.Second)
				l.finish()
				assert.Assert(t, len(f.targets["alpha-1"].Executions()) > 0)
				assert.Equal(t, f.lateStarts("alpha-1", marked, 2*time.Second), 0)
			})
		})
	}
}

// isolate partitions an entry from the store, the platform and the other entries, but not from its
// callers and its targets.
func (f *fleet) isolate(i int) {
	f.partitionFromStore(i)
	f.net.SetPartitioned(f.entries[i].ip, hostOf(platformAddress), true)
	for j, p := range f.entries {
		if j != i {
			f.net.SetPartitioned(f.entries[i].ip, p.ip, true)
		}
	}
}

func (f *fleet) partitionFromStore(i int) {
	f.net.SetPartitioned(f.entries[i].ip, hostOf(storeAddress), true)
}

// blackholeStoreConnections discards all further data on the open connections between the entries
// and the store, without an error on either side; new connections work.
func (f *fleet) blackholeStoreConnections() {
	for _, p := range f.entries {
		f.net.BlackholeConnections(p.ip, hostOf(storeAddress))
	}
}

func TestPlatformListIsFallbackWithoutStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.close()
		l := startLoad(f, 5*time.Millisecond, loadTimeout)
		f.store.Faults().Set(bwstandin.Faults{Refuse: true})
		time.Sleep(3 * time.Second)
		f.platform.SetState("beta-2", bwplatform.HostLeaving)
		marked := time.Now().Add(hostListLag)
		time.Sleep(5 * time.Second)
		list := l.finish()
		assert.Equal(t, f.lateStarts("beta-2", marked, 2*time.Second), 0)
		ran := 0
		for _, r := range list {
			if r.profile == "beta-reads" && r.outcome == "ran" {
				ran++
			}
		}
		assert.Assert(t, ran > 100, "idempotent requests still run while the store is down")
	})
}

func TestFastFailingHostIsEjectedAndRecovers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.close()
		l := startLoad(f, 5*time.Millisecond, loadTimeout)
		time.Sleep(time.Second)
		f.targets["alpha-2"].SetMode(bwstandin.TargetMode{FailAll: true})
		failedAt := time.Now()
		for f.hostHealth("alpha-2") != "ejected" && time.Since(failedAt) < 10*time.Second {
			time.Sleep(20 * time.Millisecond)
		}
		took := time.Since(failedAt)
		t.Log("ejected after", took)
		assert.Assert(t, took <= 3*time.Second)
		before := len(f.targets["alpha-2"].Executions())
		time.Sleep(2500 * time.Millisecond)
		assert.Assert(t, len(f.targets["alpha-2"].Executions())-before < 10, "a host that fails fast attracts load")
		f.targets["alpha-2"].SetMode(bwstandin.TargetMode{})
		time.Sleep(15 * time.Second)
		assert.Equal(t, f.hostHealth("alpha-2"), "healthy")
		l.finish()
	})
}

func TestPoisonRequestEjectsNoHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.close()
		for _, target := range f.targets {
			target.SetMode(bwstandin.TargetMode{FailPayloadPrefix: "poison"})
		}
		l := startLoad(f, 5*time.Millisecond, loadTimeout)
		for i := range 30 {
			r := &requestRecord{pool: "alpha", profile: "alpha-reads", payload: fmt.Sprintf("poison%d", i)}
			f.sendRequest(context.Background(), f.entries[i%2], r, 3*time.Second)
			assert.Equal(t, r.outcome, "ran")
			assert.Equal(t, r.status, http.StatusInternalServerError)
			n := f.executions()[r.id]
			assert.Assert(t, n >= 1 && n <= 3, "%d attempts", n)
			for _, host := range hostNames() {
				assert.Equal(t, f.hostHealth(host), "healthy", host)
			}
		}
		l.finish()
	})
}

func TestStoreRatesAtFullLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 9, 9)
		defer f.close()
		l := startLoad(f, time.Millisecond, loadTimeout)
		f.runWave("alpha", time.Minute)
		l.finish()
		s := f.store.Stats()
		t.Logf("%+v", s)
		assert.Assert(t, s.MaxWritesPerSecond <= 200, "writes")
		assert.Assert(t, s.MaxReadsPerSecond <= 500, "reads")
	})
}
