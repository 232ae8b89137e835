package bwrelay_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwpipe"
	"basilwood.example/basilwood/bwrelay"
	"basilwood.example/basilwood/bwschedule"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// recordingExecutors accept each call after a delay and record where it came from.
type recordingExecutors struct {
	name  string
	delay time.Duration
	// isCut is set while the executors do not answer.
	isCut atomic.Bool

	mu       sync.Mutex
	orders   []bwschedule.Order
	renewals int
	permits  []bool
}

func (e *recordingExecutors) RenewLease(ctx context.Context, target bwowner.Target, renewal bwowner.LeaseRenewal) bwowner.ExecutorReply {
	if e.isCut.Load() {
		<-ctx.Done()
		return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
	}
	time.Sleep(e.delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.renewals++
	task := bwjob.TaskID{Job: "job", Occurrence: 1, Step: 2, Index: 3}
	return bwowner.ExecutorReply{Result: bwschedule.Accepted, Clock: renewal.LeaseUntil + renewal.Fence, Report: bwexecutor.Report{
		Incarnation: 17,
		Running:     []bwexecutor.RunStatus{{Task: task, Run: 4, Checkpoint: target.ID, Percent: 41, Load: 120}},
		Ended:       []bwexecutor.NumberedEnd{{Number: renewal.AckedUpTo + 1, End: bwjob.End{Task: task, Run: 3, Kind: bwjob.EndStopped, Checkpoint: "c"}}},
	}}
}

func (e *recordingExecutors) Order(ctx context.Context, _ bwowner.Target, o bwschedule.Order, _, _ int64) bwowner.ExecutorReply {
	time.Sleep(e.delay)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.permits = append(e.permits, bwhttp.IsPermitted(ctx))
	e.orders = append(e.orders, o)
	return bwowner.ExecutorReply{Result: bwschedule.RunTooOld, Clock: 9}
}

func (e *recordingExecutors) counts() (orders, renewals int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return len(e.orders), e.renewals
}

// fixture is an owner's client and two relays in the data centre of all executors.
type fixture struct {
	network *bwpipe.Network
	direct  *recordingExecutors
	relays  map[string]*recordingExecutors
	stop    map[string]func()
	client  *bwrelay.Client
}

const ownerHost = "10.0.0.9"

func withFixture(t *testing.T, f func(t *testing.T, x *fixture)) {
	synctest.Test(t, func(t *testing.T) {
		x := &fixture{network: bwpipe.New(), direct: &recordingExecutors{name: "direct"}, relays: make(map[string]*recordingExecutors), stop: make(map[string]func())}
		clock, log := bwclock.New(), hclog.NewNullLogger()
		var members []bwrelay.Member
		for i := range 2 {
			address := fmt.Sprintf("10.0.0.%d:70", i)
			relay := &recordingExecutors{name: address}
			x.relays[address] = relay
			members = append(members, bwrelay.Member{Address: address, DataCentre: "a"})
			ctx, cancel := context.WithCancel(t.Context())
			served := make(chan struct{})
			listener := x.network.Listen(address)
			go func() {
				defer close(served)
				services := bwmesh.Services{Node: &bwmesh.DRPCNodeUnimplementedServer{}, Relay: bwrelay.NewServer(relay, clock, log, nil)}
				_ = bwmesh.Serve(ctx, listener, services, nil)
			}()
			x.stop[address] = func() {
				cancel()
				<-served
			}
		}
		mesh := bwmesh.New(x.network.Dialer(ownerHost))
		x.client = bwrelay.NewClient("pool", x.direct, mesh.Conn, clock, log,
			bwrelay.WithLimits(bwrelay.Limits{MinExecutors: 4, ExecutorsPerRelay: 4}))
		x.client.SetMembers(members)
		x.client.SetTargets(targetsIn("a", 8))
		f(t, x)
		x.client.Close()
		mesh.Close()
		time.Sleep(2 * time.Second)
		for _, stop := range x.stop {
			stop()
		}
	})
}

func targetsIn(dataCentre string, n int) []bwrelay.Target {
	var list []bwrelay.Target
	for i := range n {
		list = append(list, bwrelay.Target{ID: fmt.Sprintf("%s-%d", dataCentre, i), DataCentre: dataCentre})
	}
	return list
}

func target(i int) bwowner.Target {
	return bwowner.Target{ID: fmt.Sprintf("a-%d", i), Address: fmt.Sprintf("10.9.0.%d:80", i)}
}

func startOrder(i int) bwschedule.Order {
	return bwschedule.Order{Kind: bwschedule.Start, Executor: target(i).ID, Task: bwjob.TaskID{Job: "job", Index: i}, Run: 2, Payload: "payload", Checkpoint: "c", Ticket: "t"}
}

// order sends a start order to each executor and returns the results.
func (x *fixture) order(t *testing.T, executors int) []bwschedule.Result {
	results := make([]bwschedule.Result, executors)
	var group sync.WaitGroup
	for i := range executors {
		group.Add(1)
		go func() {
			defer group.Done()
			ctx, cancel := context.WithTimeout(t.Context(), 400*time.Millisecond)
			defer cancel()
			results[i] = x.client.Order(ctx, target(i), startOrder(i), 7, 9).Result
		}()
	}
	group.Wait()
	return results
}

func TestCallsGoThroughRelaysUnchanged(t *testing.T) {
	withFixture(t, func(t *testing.T, x *fixture) {
		for _, result := range x.order(t, 8) {
			assert.Equal(t, result, bwschedule.RunTooOld)
		}
		orders := make(map[string]bwschedule.Order)
		for _, relay := range x.relays {
			assert.Assert(t, len(relay.orders) > 0)
			for i, o := range relay.orders {
				orders[o.Executor] = o
				assert.Equal(t, relay.permits[i], true)
			}
		}
		assert.Equal(t, len(orders), 8)
		for i := range 8 {
			assert.DeepEqual(t, orders[target(i).ID], startOrder(i))
		}
		reply := x.client.RenewLease(t.Context(), target(0), bwowner.LeaseRenewal{Fence: 7, LeaseUntil: 100, AckedUpTo: 5, MaxWait: time.Second})
		want := (&recordingExecutors{}).RenewLease(t.Context(), target(0), bwowner.LeaseRenewal{Fence: 7, LeaseUntil: 100, AckedUpTo: 5})
		assert.DeepEqual(t, reply, want)
		direct, _ := x.direct.counts()
		assert.Equal(t, direct, 0)
	})
}

// Executors in a data centre without a relay, and those of a small pool, are called directly.
func TestCallsWithoutRelayAreDirect(t *testing.T) {
	withFixture(t, func(t *testing.T, x *fixture) {
		for _, targets := range [][]bwrelay.Target{targetsIn("b", 8), targetsIn("a", 3)} {
			x.client.SetTargets(targets)
			before, _ := x.direct.counts()
			x.order(t, 2)
			after, _ := x.direct.counts()
			assert.Equal(t, after-before, 2)
		}
		assert.Equal(t, x.client.IsRelayed(), false)
	})
}

// Guards against executors that lose their leases with a relay: a relay that ends, falls silent or is
// frozen is replaced within a fraction of a lease, and orders without an answer are said to have none.
func TestLostRelayIsReplaced(t *testing.T) {
	for name, lose := range map[string]func(x *fixture, address string){
		"ends":   func(x *fixture, address string) { x.stop[address]() },
		"silent": func(x *fixture, address string) { x.network.BlackholeConnections(address[:len(address)-3], ownerHost) },
		"away":   func(x *fixture, address string) { x.network.Isolate(address[:len(address)-3]) },
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, x *fixture) {
				x.order(t, 8)
				lost := "10.0.0.0:70"
				lose(x, lost)
				ordersBefore, _ := x.relays[lost].counts()
				startedAt := time.Now()
				for isOK := false; !isOK; {
					assert.Assert(t, time.Since(startedAt) < 2500*time.Millisecond, "not replaced")
					isOK = true
					for i := range 8 {
						ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
						reply := x.client.RenewLease(ctx, target(i), bwowner.LeaseRenewal{Fence: 7})
						cancel()
						assert.Assert(t, reply.Result == bwschedule.Accepted || reply.Result == bwschedule.Unanswered || reply.Result == bwschedule.NotSent)
						isOK = isOK && reply.Result == bwschedule.Accepted
					}
				}
				for _, result := range x.order(t, 8) {
					assert.Equal(t, result, bwschedule.RunTooOld)
				}
				ordersAfter, _ := x.relays[lost].counts()
				assert.Equal(t, ordersAfter, ordersBefore)
			})
		})
	}
}

// An order that a relay has got and does not answer in time may have been executed; one that has not been
// sent has not.
func TestOrderWithoutAnswerMakesNoClaim(t *testing.T) {
	withFixture(t, func(t *testing.T, x *fixture) {
		x.order(t, 8)
		for _, relay := range x.relays {
			relay.delay = time.Second
		}
		for _, result := range x.order(t, 8) {
			assert.Equal(t, result, bwschedule.Unanswered)
		}
		for _, relay := range x.relays {
			relay.delay = 0
		}
		time.Sleep(2 * time.Second)
		ctx := bwhttp.WithPermit(t.Context(), func() bool { return false })
		reply := x.client.Order(ctx, target(0), startOrder(0), 7, 9)
		assert.Equal(t, reply.Result, bwschedule.NotSent)
		assert.Assert(t, strings.HasPrefix(reply.Reason, "through relay 10.0.0."))
	})
}

// A relay that leaves as planned gets no new calls and answers those in flight.
func TestLeavingRelayAnswersCallsInFlight(t *testing.T) {
	withFixture(t, func(t *testing.T, x *fixture) {
		x.order(t, 8)
		for _, relay := range x.relays {
			relay.delay = 300 * time.Millisecond
		}
		left := "10.0.0.0:70"
		time.AfterFunc(100*time.Millisecond, func() {
			x.client.SetMembers([]bwrelay.Member{{Address: "10.0.0.1:70", DataCentre: "a"}})
		})
		for _, result := range x.order(t, 8) {
			assert.Equal(t, result, bwschedule.RunTooOld)
		}
		before, _ := x.relays[left].counts()
		x.order(t, 8)
		after, _ := x.relays[left].counts()
		assert.Equal(t, after, before)
	})
}

// Guards against executors that lose their leases because a relay is cut off from them, while the owner is
// not. They are called directly, and then through another relay.
func TestRelayThatIsCutOffFromExecutorsIsReplaced(t *testing.T) {
	withFixture(t, func(t *testing.T, x *fixture) {
		x.order(t, 8)
		cut := "10.0.0.0:70"
		x.relays[cut].isCut.Store(true)
		renewedAt := make([]time.Time, 8)
		var group sync.WaitGroup
		for i := range 8 {
			renewedAt[i] = time.Now()
			group.Add(1)
			go func() {
				defer group.Done()
				for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
					ctx, cancel := context.WithTimeout(t.Context(), 1500*time.Millisecond)
					if x.client.RenewLease(ctx, target(i), bwowner.LeaseRenewal{Fence: 7}).Result == bwschedule.Accepted {
						assert.Check(t, time.Since(renewedAt[i]) < 2500*time.Millisecond, "executor %d: %s", i, time.Since(renewedAt[i]))
						renewedAt[i] = time.Now()
					}
					cancel()
				}
			}()
		}
		group.Wait()
		for i := range 8 {
			assert.Assert(t, time.Since(renewedAt[i]) < 2500*time.Millisecond)
		}
	})
}
