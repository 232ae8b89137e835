package bwrelay_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwpipe"
	"basilwood.example/basilwood/bwrelay"
	"basilwood.example/basilwood/bwschedule"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// Guards against a task that is started again because its start, which a relay has got, counts as not sent once the relay is lost.
func TestOrderIsUnansweredWhenItsRelayIsLost(t *testing.T) {
	for name, lose := range map[string]func(x *fixture, address string){
		"ends":   func(x *fixture, address string) { x.stop[address]() },
		"silent": func(x *fixture, address string) { x.network.BlackholeConnections(address[:len(address)-3], ownerHost) },
		"away":   func(x *fixture, address string) { x.network.Isolate(address[:len(address)-3]) },
	} {
		t.Run(name, func(t *testing.T) {
			withFixture(t, func(t *testing.T, x *fixture) {
				x.order(t, 8)
				for _, relay := range x.relays {
					relay.delay = 5 * time.Second
				}
				time.AfterFunc(100*time.Millisecond, func() {
					for address := range x.relays {
						lose(x, address)
					}
				})
				results := make(chan bwschedule.Result, 8)
				for i := range 8 {
					go func() { results <- x.client.Order(t.Context(), target(i), startOrder(i), 7, 9).Result }()
				}
				for range 8 {
					assert.Equal(t, <-results, bwschedule.Unanswered)
				}
				time.Sleep(6 * time.Second)
			})
		})
	}
}

// listlessRelay answers all calls with one result, without saying what the executors run.
type listlessRelay struct{ result int32 }

func (r listlessRelay) Carry(stream bwrelay.DRPCRelay_CarryStream) error {
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		replies := &bwrelay.Replies{}
		for _, call := range message.GetCalls() {
			replies.Replies = append(replies.Replies, &bwrelay.Reply{Id: call.GetId(), Result: r.result})
		}
		if err := stream.Send(replies); err != nil {
			return err
		}
	}
}

// withListlessRelay runs f with a client whose calls go through a relay that gives the result.
func withListlessRelay(t *testing.T, result int32, f func(t *testing.T, client *bwrelay.Client)) {
	synctest.Test(t, func(t *testing.T) {
		const relay = "10.0.0.0:70"
		network, clock, log := bwpipe.New(), bwclock.New(), hclog.NewNullLogger()
		ctx, cancel := context.WithCancel(t.Context())
		served := make(chan struct{})
		listener := network.Listen(relay)
		go func() {
			defer close(served)
			_ = bwmesh.Serve(ctx, listener, bwmesh.Services{Node: &bwmesh.DRPCNodeUnimplementedServer{}, Relay: listlessRelay{result}}, nil)
		}()
		mesh := bwmesh.New(network.Dialer(ownerHost))
		client := bwrelay.NewClient("pool", &recordingExecutors{name: "direct"}, mesh.Conn, clock, log, bwrelay.WithLimits(bwrelay.Limits{MinExecutors: 1, ExecutorsPerRelay: 4}))
		client.SetMembers([]bwrelay.Member{{Address: relay, DataCentre: "a"}})
		client.SetTargets(targetsIn("a", 4))
		f(t, client)
		client.Close()
		mesh.Close()
		time.Sleep(2 * time.Second)
		cancel()
		<-served
	})
}

// Guards against tasks that are started again because a relayed reply without the lists counts as a report that nothing runs.
func TestRelayedReplyWithoutListsIsNoReport(t *testing.T) {
	withListlessRelay(t, int32(bwschedule.Accepted), func(t *testing.T, client *bwrelay.Client) {
		assert.Equal(t, client.RenewLease(t.Context(), target(0), bwowner.LeaseRenewal{Fence: 7}).Result, bwschedule.Unanswered)
	})
}

// Guards against a task that is started again because a result that only a later version of the relay knows counts as a refusal.
func TestUnknownRelayedResultMakesNoClaim(t *testing.T) {
	for _, result := range []int32{int32(bwschedule.Invalid) + 1, -1} {
		withListlessRelay(t, result, func(t *testing.T, client *bwrelay.Client) {
			assert.Equal(t, client.Order(t.Context(), target(0), startOrder(0), 7, 9).Result, bwschedule.Unanswered)
		})
	}
}

// Guards against a start that a relay sends after its owner has given it up.
func TestRelayMayNotSendAfterTheTimeoutOfTheCall(t *testing.T) {
	withFixture(t, func(t *testing.T, x *fixture) {
		x.order(t, 8)
		before := make(map[string]int)
		for address, relay := range x.relays {
			before[address], _ = relay.counts()
			relay.delay = time.Second
		}
		x.order(t, 8)
		time.Sleep(2 * time.Second)
		for address, relay := range x.relays {
			for _, isPermitted := range relay.permits[before[address]:] {
				assert.Equal(t, isPermitted, false)
			}
			relay.delay = 0
		}
	})
}
