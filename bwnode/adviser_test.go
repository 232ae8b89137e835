package bwnode_test

import (
	"context"
	"encoding/json"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
	"gotest.tools/v3/assert"
)

// busyAdviser counts the calls that wait for another one of the same host.
type busyAdviser struct {
	calls, inFlight, waiting atomic.Int64
}

func (a *busyAdviser) Advise(_ context.Context, q bwschedule.AdviceRequest) (bwschedule.Advice, error) {
	a.calls.Add(1)
	if a.inFlight.Add(1) > 1 {
		a.waiting.Add(1)
	}
	defer a.inFlight.Add(-1)
	time.Sleep(q.ExpectedTime)
	tickets := make(map[string]string)
	for _, id := range q.Executors {
		tickets[id] = "ticket"
	}
	return bwschedule.Advice{Tickets: tickets, ValidFor: 3 * time.Second}, nil
}

// Guards against tickets that expire while the call of one pool waits for that of another pool at the policy service.
func TestPoolsOfANodeAskForAdviceInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		adviser := &busyAdviser{}
		c := newCluster(t, 1, 1, 12, func(d *bwnode.Deps) { d.Adviser = adviser })
		defer c.close()
		for i := range c.queues {
			c.queues[i].NeedsAdvice = true
			c.queues[i].Advice = bwfleet.AdviceTimes{Decision: 250 * time.Millisecond, PerExecutor: 170 * time.Millisecond, TicketLifetime: 3 * time.Second}
		}
		value, err := json.Marshal(c.queues)
		assert.NilError(t, err)
		c.kv.Put(keyConfig, value)
		time.Sleep(visibleTime)
		for _, q := range c.queues {
			c.submitTask(q, "of-"+q.Name, bwjob.Step{Count: 2, Need: bwjob.Resources{CPU: 500}, Estimate: time.Second})
		}
		time.Sleep(6 * time.Second)
		for _, q := range c.queues {
			assert.Equal(t, c.state(q, "of-"+q.Name).State, bwowner.Done)
		}
		assert.Assert(t, adviser.calls.Load() >= 2)
		assert.Equal(t, adviser.waiting.Load(), int64(0))
	})
}
