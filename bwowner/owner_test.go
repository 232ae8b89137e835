package bwowner_test

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
	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
	"basilwood.example/basilwood/bwstandin"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

const ownerKey = "nodes/owners/pool"

// scriptedExecutors report that they run nothing, and answer orders as the test says.
type scriptedExecutors struct {
	onOrder func(ctx context.Context, o bwschedule.Order) bwschedule.Result
	// orderClock is the clock in the answers to orders.
	orderClock int64
	// onRenewal may be nil.
	onRenewal func(ctx context.Context, executor string, call int) (reply bwowner.ExecutorReply, ok bool)
	// isOwnershipUnconfirmed is set while the owner must not act.
	isOwnershipUnconfirmed atomic.Bool

	mu       sync.Mutex
	starts   []bwschedule.Order
	renewals map[string][]bwowner.LeaseRenewal
}

func (x *scriptedExecutors) RenewLease(ctx context.Context, target bwowner.Target, renewal bwowner.LeaseRenewal) bwowner.ExecutorReply {
	x.mu.Lock()
	if x.renewals == nil {
		x.renewals = make(map[string][]bwowner.LeaseRenewal)
	}
	x.renewals[target.ID] = append(x.renewals[target.ID], renewal)
	call := len(x.renewals[target.ID])
	x.mu.Unlock()
	if x.onRenewal != nil {
		if reply, ok := x.onRenewal(ctx, target.ID, call); ok {
			return reply
		}
	}
	bwclock.Sleep(ctx, max(renewal.MaxWait, time.Millisecond))
	if ctx.Err() != nil {
		return bwowner.ExecutorReply{Result: bwschedule.Unanswered}
	}
	return reportOf()
}

// reportOf returns a report of an executor with the given runs.
func reportOf(running ...bwexecutor.RunStatus) bwowner.ExecutorReply {
	return bwowner.ExecutorReply{Result: bwschedule.Accepted, Clock: time.Now().UnixMilli(), Report: bwexecutor.Report{Incarnation: 1, Running: running}}
}

func runStatusOf(o bwschedule.Order) bwexecutor.RunStatus {
	return bwexecutor.RunStatus{Task: o.Task, Run: o.Run, Percent: 100}
}

func (x *scriptedExecutors) Order(ctx context.Context, _ bwowner.Target, o bwschedule.Order, _, _ int64) bwowner.ExecutorReply {
	if o.Kind == bwschedule.Start {
		x.mu.Lock()
		x.starts = append(x.starts, o)
		x.mu.Unlock()
	}
	return bwowner.ExecutorReply{Result: x.onOrder(ctx, o), Clock: x.orderClock}
}

func (x *scriptedExecutors) started() []bwschedule.Order {
	x.mu.Lock()
	defer x.mu.Unlock()
	return append([]bwschedule.Order(nil), x.starts...)
}

// noPlacements are the placements of queues that have no jobs yet.
type noPlacements struct{}

func (noPlacements) Copy() bwfleet.Placements      { return bwfleet.Placements{} }
func (noPlacements) Refresh(context.Context) error { return nil }

// newOwner runs an owner of a pool of executors, which it has just claimed, until the test ends.
func newOwner(t *testing.T, x *scriptedExecutors, executors int) *bwowner.Owner {
	return newOwnerOf(t, bwstandin.NewKV(1), x, executors)
}

func newOwnerOf(t *testing.T, kv bwowner.Store, x *scriptedExecutors, executors int) *bwowner.Owner {
	r := kv.Transact(t.Context(), bwkv.Transaction{Set: []bwkv.Write{{Key: ownerKey, Value: []byte("{}")}}})
	assert.Equal(t, r.Outcome, bwkv.Committed)
	always := func() bool { return true }
	o := bwowner.New(bwowner.Deps{
		Store: kv, Executors: x, Clock: bwclock.New(), Log: hclog.NewNullLogger(),
		IsOwnershipConfirmed: func() bool { return !x.isOwnershipUnconfirmed.Load() }, IsOwnershipFresh: always, IsRegistryFresh: always,
		Placements: noPlacements{},
		OnLost:     func(string, string) {},
	}, bwowner.Ownership{Pool: "pool", Key: ownerKey, Fence: r.Revision, PlacementPrefix: "nodes/placements/pool/"},
		bwowner.Settings{LeaseLength: 3500 * time.Millisecond, EndedJobRetention: time.Minute})
	o.SetQueues([]bwfleet.Queue{queue})
	o.SetExecutors(registrations(executors))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() {
		defer close(done)
		o.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
	})
	return o
}

func registrations(executors int) []bwexecutor.Registration {
	var list []bwexecutor.Registration
	for i := range executors {
		list = append(list, bwexecutor.Registration{ID: fmt.Sprintf("e%d", i), Incarnation: 1, Pool: "pool", Address: fmt.Sprintf("10.9.0.%d:80", i),
			DataCentre: "a", Rack: "r", Capacity: bwjob.Resources{CPU: 4000, MemoryMB: 8000}})
	}
	return list
}

var queue = bwfleet.Queue{Name: "q", Pool: "pool", Host: "h", Prefix: "/q/", MaxAttempts: 3, Stretch: 2, ObjectiveOffset: time.Second}

// Guards against an owner that starts a task elsewhere after an executor has refused its fencing token.
func TestFencedStartIsNotRepeatedOnAnotherExecutor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &scriptedExecutors{onOrder: func(context.Context, bwschedule.Order) bwschedule.Result { return bwschedule.Fenced }}
		o := newOwner(t, x, 3)
		time.Sleep(3 * time.Second)
		step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}
		assert.Equal(t, o.Submit(t.Context(), &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{step}}).Verdict, bwowner.OK)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(x.started()), 1, "%v", x.started())
	})
}

// Guards against a start that waits for a connection and is sent although its owner may no longer act, or has lost the pool.
func TestStartThatWaitsIsNotSentOnceItsOwnerMayNotAct(t *testing.T) {
	for name, lose := range map[string]func(x *scriptedExecutors, o *bwowner.Owner){
		"unconfirmed": func(x *scriptedExecutors, _ *bwowner.Owner) { x.isOwnershipUnconfirmed.Store(true) },
		"stopped": func(_ *scriptedExecutors, o *bwowner.Owner) {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			o.Stop(ctx)
		},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				permits := make(chan bool, 1)
				x := &scriptedExecutors{onOrder: func(ctx context.Context, _ bwschedule.Order) bwschedule.Result {
					time.Sleep(100 * time.Millisecond)
					permits <- bwhttp.IsPermitted(ctx)
					return bwschedule.NotSent
				}}
				o := newOwner(t, x, 1)
				time.Sleep(3 * time.Second)
				step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}
				assert.Equal(t, o.Submit(t.Context(), &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{step}}).Verdict, bwowner.OK)
				time.Sleep(50 * time.Millisecond)
				assert.Equal(t, len(x.started()), 1)
				lose(x, o)
				assert.Equal(t, <-permits, false)
				time.Sleep(time.Second)
				assert.Equal(t, len(x.started()), 1)
			})
		})
	}
}

// Guards against a start that waits for others and is sent although its owner stops as planned.
func TestStoppingOwnerSendsNoWaitingStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &scriptedExecutors{onOrder: func(context.Context, bwschedule.Order) bwschedule.Result {
			time.Sleep(100 * time.Millisecond)
			return bwschedule.Accepted
		}}
		o := newOwner(t, x, 1)
		time.Sleep(3 * time.Second)
		step := bwjob.Step{Count: 6, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}
		assert.Equal(t, o.Submit(t.Context(), &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{step}}).Verdict, bwowner.OK)
		time.Sleep(50 * time.Millisecond)
		inFlight := len(x.started())
		assert.Assert(t, inFlight > 0 && inFlight < step.Count)
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		assert.Assert(t, o.Stop(ctx))
		assert.Equal(t, len(x.started()), inFlight)
	})
}

// Guards against an owner that goes on after an executor has refused to renew its lease for its fencing token.
func TestOwnerEndsWhenARenewalIsFenced(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &scriptedExecutors{onOrder: func(context.Context, bwschedule.Order) bwschedule.Result { return bwschedule.Accepted }}
		x.onRenewal = func(_ context.Context, executor string, call int) (bwowner.ExecutorReply, bool) {
			return bwowner.ExecutorReply{Result: bwschedule.Fenced}, executor == "e0" && call > 2
		}
		o := newOwner(t, x, 2)
		time.Sleep(5 * time.Second)
		step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}
		assert.Equal(t, o.Submit(t.Context(), &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{step}}).Verdict, bwowner.Refused)
		assert.Equal(t, len(x.started()), 0)
	})
}

// Guards against ends that are acknowledged, and leases that are granted, to an executor that may have restarted since.
func TestFirstRenewalAfterAFailureGrantsAndAcknowledgesNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &scriptedExecutors{onOrder: func(context.Context, bwschedule.Order) bwschedule.Result { return bwschedule.Accepted }}
		x.onRenewal = func(ctx context.Context, _ string, call int) (bwowner.ExecutorReply, bool) {
			if call != 4 {
				return bwowner.ExecutorReply{}, false
			}
			<-ctx.Done()
			return bwowner.ExecutorReply{Result: bwschedule.Unanswered}, true
		}
		newOwner(t, x, 1)
		time.Sleep(10 * time.Second)
		x.mu.Lock()
		defer x.mu.Unlock()
		renewals := x.renewals["e0"]
		assert.Assert(t, renewals[3].LeaseUntil > 0 && renewals[5].LeaseUntil > 0)
		assert.Equal(t, renewals[4].LeaseUntil, int64(0))
		assert.Equal(t, renewals[4].AckedUpTo, int64(0))
	})
}

// Guards against a task that is started again while a lease that a previous owner has granted may last.
func TestNewOwnerWaitsForLeaseOfThePreviousOneAfterASingleReport(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := bwstandin.NewKV(1)
		spec := &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}}}
		record, err := bwjob.New(spec, bwclock.New().Now()).Encode()
		assert.NilError(t, err)
		kv.Put(bwowner.JobPrefix("pool")+"job", record)
		kv.Put("executors/pool", []byte(`[{"id":"e0","address":"10.9.0.0:80"}]`))
		x := &scriptedExecutors{onOrder: func(context.Context, bwschedule.Order) bwschedule.Result { return bwschedule.Accepted }}
		x.onRenewal = func(ctx context.Context, executor string, call int) (bwowner.ExecutorReply, bool) {
			if executor != "e0" {
				return bwowner.ExecutorReply{}, false
			}
			if call == 1 {
				return reportOf(bwexecutor.RunStatus{Task: bwjob.TaskID{Job: "job"}, Run: 1, Percent: 100}), true
			}
			<-ctx.Done()
			return bwowner.ExecutorReply{Result: bwschedule.Unanswered}, true
		}
		newOwnerOf(t, kv, x, 2)
		time.Sleep(3500 * time.Millisecond)
		assert.Equal(t, len(x.started()), 0)
		time.Sleep(time.Second)
		assert.Equal(t, len(x.started()), 1)
	})
}

// Guards against an answer from before a restart whose clock ends the lease of the new incarnation.
func TestClockOfEarlierIncarnationEndsNoLease(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var restartedBy atomic.Pointer[bwschedule.Order]
		x := &scriptedExecutors{orderClock: time.Now().Add(time.Hour).UnixMilli()}
		x.onOrder = func(_ context.Context, o bwschedule.Order) bwschedule.Result {
			if o.Kind == bwschedule.Start {
				restartedBy.CompareAndSwap(nil, &o)
				time.Sleep(300 * time.Millisecond)
			}
			return bwschedule.Accepted
		}
		x.onRenewal = func(_ context.Context, executor string, _ int) (bwowner.ExecutorReply, bool) {
			time.Sleep(100 * time.Millisecond)
			o := restartedBy.Load()
			if o == nil || o.Executor != executor {
				return reportOf(), true
			}
			reply := reportOf(bwexecutor.RunStatus{Task: o.Task, Run: o.Run, Percent: 100})
			reply.Report.Incarnation = 2
			return reply, true
		}
		o := newOwner(t, x, 2)
		time.Sleep(3 * time.Second)
		step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}
		assert.Equal(t, o.Submit(t.Context(), &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{step}}).Verdict, bwowner.OK)
		time.Sleep(3 * time.Second)
		assert.Equal(t, len(x.started()), 1, "%v", x.started())
	})
}

// listStore delays the answers to writes of the executor list while isSlow is set.
type listStore struct {
	*bwstandin.KV
	isSlow atomic.Bool
}

const listKey = "executors/pool"

func (s *listStore) Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result {
	r := s.KV.Transact(ctx, t)
	for _, w := range t.Set {
		if w.Key == listKey && s.isSlow.Load() {
			time.Sleep(3 * time.Second)
		}
	}
	return r
}

// Guards against a start on an executor that the stored list lacks, because a write that drops it has no answer yet.
func TestExecutorIsOnTheStoredListBeforeItGetsTasks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &listStore{KV: bwstandin.NewKV(1)}
		var isAway atomic.Bool
		x := &scriptedExecutors{}
		x.onOrder = func(ctx context.Context, o bwschedule.Order) bwschedule.Result {
			item, err := store.Get(ctx, listKey)
			assert.Check(t, err == nil && strings.Contains(string(item.Value), o.Executor), "%s started on %s, list %s", o.Task, o.Executor, item.Value)
			return bwschedule.Accepted
		}
		x.onRenewal = func(ctx context.Context, executor string, _ int) (bwowner.ExecutorReply, bool) {
			if executor != "e0" || !isAway.Load() {
				return bwowner.ExecutorReply{}, false
			}
			<-ctx.Done()
			return bwowner.ExecutorReply{Result: bwschedule.Unanswered}, true
		}
		o := newOwnerOf(t, store, x, 1)
		time.Sleep(3 * time.Second)
		isAway.Store(true)
		time.Sleep(2 * time.Second)
		step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}
		assert.Equal(t, o.Submit(t.Context(), &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{step}}).Verdict, bwowner.OK)
		assert.Equal(t, len(x.started()), 0)
		store.isSlow.Store(true)
		for isListed := true; isListed; time.Sleep(50 * time.Millisecond) {
			item, err := store.Get(t.Context(), listKey)
			assert.NilError(t, err)
			isListed = strings.Contains(string(item.Value), "e0")
		}
		isAway.Store(false)
		time.Sleep(500 * time.Millisecond)
		o.SetExecutors(registrations(2))
		time.Sleep(15 * time.Second)
		assert.Assert(t, len(x.started()) > 0)
	})
}

// Guards against a report that waited for a paused process and counts as news of the executor.
func TestReportThatIsReadAfterItsTimeoutIsNoNews(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := &scriptedExecutors{onOrder: func(context.Context, bwschedule.Order) bwschedule.Result { return bwschedule.Accepted }}
		x.onRenewal = func(_ context.Context, _ string, call int) (bwowner.ExecutorReply, bool) {
			if call < 3 {
				return bwowner.ExecutorReply{}, false
			}
			time.Sleep(1700 * time.Millisecond)
			return reportOf(), true
		}
		o := newOwner(t, x, 1)
		time.Sleep(6 * time.Second)
		step := bwjob.Step{Count: 1, Need: bwjob.Resources{CPU: 500}, Estimate: 30 * time.Second}
		assert.Equal(t, o.Submit(t.Context(), &bwjob.Spec{ID: "job", Queue: "q", Steps: []bwjob.Step{step}}).Verdict, bwowner.OK)
		time.Sleep(5 * time.Second)
		assert.Equal(t, len(x.started()), 0)
	})
}
