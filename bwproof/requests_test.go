package bwproof_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwoutcome"
	"basilwood.example/basilwood/bwplatform"
	"basilwood.example/basilwood/bwstandin"
	"pgregory.net/rapid"
)

// commandKind is the kind of a command: a request, a fault or a repair.
type commandKind int

const (
	cmdRequest commandKind = iota
	cmdDisconnect
	cmdCancel
	cmdKill
	cmdRestart
	cmdStop
	cmdPartition
	cmdBlackhole
	cmdFreeze
	cmdStoreFault
	cmdTargetMode
	cmdHostState
	cmdHeal
	cmdWait
	cmdCount
)

// String returns the name that failure reports print.
func (k commandKind) String() string {
	names := [...]string{
		"request", "disconnect", "cancel", "kill", "restart", "stop", "partition", "blackhole", "freeze", "storeFault", "targetMode",
		"hostState", "heal", "wait",
	}
	return names[k]
}

// command is one step of a session. Its meaning is fixed only when it is executed: a, b and c then
// select among the processes, hosts and faults that exist, and set counts and durations.
type command struct {
	kind    commandKind
	a, b, c int
	pause   time.Duration
}

// String formats the command for failure reports.
func (c command) String() string {
	return fmt.Sprintf("%s(%d,%d,%d)+%s", c.kind, c.a, c.b, c.c, c.pause)
}

// weightedKinds lists each kind as often as its weight: requests are frequent, and faults are rare
// enough that usually no more than two of them overlap.
var weightedKinds = []commandKind{
	cmdRequest, cmdRequest, cmdRequest, cmdRequest, cmdRequest, cmdRequest, cmdRequest, cmdDisconnect, cmdCancel, cmdCancel, cmdKill, cmdRestart, cmdRestart, cmdStop,
	cmdPartition, cmdBlackhole, cmdFreeze, cmdStoreFault, cmdStoreFault, cmdTargetMode, cmdTargetMode, cmdHostState,
	cmdHeal, cmdWait,
}

func commands() *rapid.Generator[[]command] {
	commandGenerator := rapid.Custom(func(t *rapid.T) command {
		return command{
			kind:  rapid.SampledFrom(weightedKinds).Draw(t, "kind"),
			a:     rapid.IntRange(0, 11).Draw(t, "a"),
			b:     rapid.IntRange(0, 11).Draw(t, "b"),
			c:     rapid.IntRange(0, 11).Draw(t, "c"),
			pause: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 7, 30, 120, 700}).Draw(t, "pause")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(commandGenerator, 10, 60)
}

// session executes commands against a fleet and records the requests and their replies.
type session struct {
	fleet    *fleet
	group    sync.WaitGroup
	requests []*requestRecord
	mu       sync.Mutex
	keyCount int
	// cancelled holds the ids of requests that were confirmed as cancelled before their start.
	cancelled map[string]bool
}

// runCommands executes the commands, repairs all faults and returns the first violated guarantee.
func runCommands(t *testing.T, list []command) string {
	violation := ""
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.close()
		s := &session{fleet: f, cancelled: make(map[string]bool)}
		for _, c := range list {
			s.execute(c)
			time.Sleep(c.pause)
		}
		s.heal()
		s.group.Wait()
		time.Sleep(5 * time.Second)
		violation = s.verify()
	})
	return violation
}

func (s *session) execute(c command) {
	f := s.fleet
	switch c.kind {
	case cmdRequest:
		s.sendBurst(c)
	case cmdDisconnect:
		s.sendAndDisconnect(c)
	case cmdCancel:
		s.cancelUnfinished(c)
	case cmdKill:
		if running := f.runningEntries(); len(running) > 1 {
			f.kill(running[c.a%len(running)])
		}
	case cmdRestart:
		for _, p := range f.entries {
			if !p.isRunning.Load() {
				f.startEntry(p.id)
				return
			}
		}
	case cmdStop:
		if running := f.runningEntries(); len(running) > 1 {
			p := running[c.a%len(running)]
			p.isRunning.Store(false)
			p.cancel()
		}
	case cmdPartition, cmdBlackhole, cmdFreeze:
		s.injectFault(c)
	case cmdStoreFault:
		f.store.Faults().Set(standinFaults[c.a%len(standinFaults)])
	case cmdTargetMode:
		f.targets[hostNames()[c.a%8]].SetMode(targetModes[c.b%len(targetModes)])
	case cmdHostState:
		f.platform.SetState(hostNames()[c.a%8], hostStates[c.b%len(hostStates)])
	case cmdHeal:
		s.heal()
	case cmdWait:
		time.Sleep(time.Duration(c.a) * 400 * time.Millisecond)
	}
}

var standinFaults = []bwstandin.Faults{
	{}, {Refuse: true}, {DelayMillis: 300}, {DropReplyRatio: 0.3}, {Silent: true}, {DropReplyRatio: 1}, {DelayMillis: 2500},
}

var targetModes = []bwstandin.TargetMode{
	{}, {FailAll: true}, {Truncate: true}, {SwapBodies: true}, {SilentAfterStart: true}, {SlowFactor: 20},
}

var hostStates = []bwplatform.HostState{bwplatform.HostLive, bwplatform.HostLeaving}

// injectFault injects a network fault between an entry and another host, or freezes the entry.
func (s *session) injectFault(c command) {
	f := s.fleet
	running := f.runningEntries()
	a := running[c.a%len(running)].ip
	others := []string{"10.0.0.1", "10.0.0.2", fmt.Sprintf("10.0.1.%d", c.b%8+1)}
	for _, p := range running {
		if p.ip != a {
			others = append(others, p.ip)
		}
	}
	b := others[c.b%len(others)]
	switch c.kind {
	case cmdPartition:
		f.net.SetPartitioned(a, b, true)
	case cmdBlackhole:
		f.net.BlackholeConnections(a, b)
	case cmdFreeze:
		f.net.SetFrozen(a, true)
		s.group.Go(func() {
			time.Sleep(time.Duration(1+c.c) * 500 * time.Millisecond)
			f.net.SetFrozen(a, false)
		})
	}
}

// heal ends every fault that does not end by itself and restarts the entries that are down.
func (s *session) heal() {
	f := s.fleet
	f.store.Faults().Set(bwstandin.Faults{})
	f.net.HealPartitions()
	for _, name := range hostNames() {
		f.targets[name].SetMode(bwstandin.TargetMode{})
		f.platform.SetState(name, bwplatform.HostLive)
	}
	for _, p := range f.entries {
		if !p.isRunning.Load() {
			f.startEntry(p.id)
		}
	}
}

// sendBurst sends a burst of up to 4 requests, some with an idempotency key that was used before.
func (s *session) sendBurst(c command) {
	f := s.fleet
	running := f.runningEntries()
	for i := range 1 + c.c/3 {
		pool := pools[c.a%2]
		r := &requestRecord{pool: pool, profile: pool + "-reads"}
		if c.b%2 == 0 {
			r.profile = pool + "-counts"
			r.key = s.nextKey(c.b%4 == 0)
		}
		p := running[(c.a+i)%len(running)]
		s.mu.Lock()
		r.payload = fmt.Sprintf("payload-%d/%s", len(s.requests), r.key)
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		timeout := time.Duration(50+300*c.b) * time.Millisecond
		s.group.Go(func() {
			// The client needs its own timeout, well after that of the request, because no reply
			// arrives on a blackholed connection.
			ctx, cancel := context.WithTimeout(context.Background(), timeout+10*time.Second)
			defer cancel()
			f.sendRequest(ctx, p, r, timeout)
		})
	}
}

// nextKey returns a new idempotency key, or the latest one if reuseLast is set.
func (s *session) nextKey(reuseLast bool) string {
	if !reuseLast || s.keyCount == 0 {
		s.keyCount++
	}
	return fmt.Sprintf("key%d", s.keyCount)
}

// sendAndDisconnect sends requests whose client disconnects early, which cancels them. A client
// learns the request id only from the reply, so it cannot cancel by id before that.
func (s *session) sendAndDisconnect(c command) {
	f := s.fleet
	running := f.runningEntries()
	pool := pools[c.a%2]
	for range 1 + c.c {
		r := &requestRecord{pool: pool, profile: pool + "-counts", key: s.nextKey(false)}
		s.mu.Lock()
		r.payload = fmt.Sprintf("payload-%d/%s", len(s.requests), r.key)
		s.requests = append(s.requests, r)
		s.mu.Unlock()
		s.group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.b)*4*time.Millisecond)
			defer cancel()
			f.sendRequest(ctx, running[c.b%len(running)], r, time.Second)
		})
	}
}

// cancelUnfinished cancels by id the requests that are unfinished according to an entry.
func (s *session) cancelUnfinished(c command) {
	f := s.fleet
	running := f.runningEntries()
	p := running[c.a%len(running)]
	s.group.Go(func() {
		for _, id := range f.unfinishedRequests(p) {
			if f.cancel(p, id) != "cancelledBeforeStart" {
				continue
			}
			s.mu.Lock()
			s.cancelled[id] = true
			s.mu.Unlock()
		}
	})
}

// verify compares all replies, confirmed cancellations and accounts with the executions and returns
// the first violated guarantee.
func (s *session) verify() string {
	executions := s.fleet.executions()
	byKey := make(map[string]int)
	for _, t := range s.fleet.targets {
		for _, e := range t.Executions() {
			if _, key, ok := strings.Cut(e.Payload, "/"); ok && key != "" {
				byKey[key]++
			}
		}
	}
	for i, r := range s.requests {
		if r.outcome == "" || r.id == "" {
			continue
		}
		n := executions[r.id]
		switch {
		case r.outcome == "notRun" && n > 0:
			return fmt.Sprintf("request %d %s: the reply was notRun (%s), but it was executed %d times", i, r.id, r.reason, n)
		case r.outcome == "ran" && !r.replayed && n == 0:
			return fmt.Sprintf("request %d %s: the reply was ran, but it was never executed", i, r.id)
		case r.outcome == "ran" && !r.replayed && r.status == 200 && r.body != r.payload:
			return fmt.Sprintf("request %d %s: got the reply body %q for the payload %q", i, r.id, r.body, r.payload)
		}
	}
	for id := range s.cancelled {
		if executions[id] > 0 {
			return fmt.Sprintf("request %s: confirmed as cancelled before its start, but executed %d times", id, executions[id])
		}
	}
	for key, n := range byKey {
		if n > 1 {
			return fmt.Sprintf("idempotency key %s: executed %d times", key, n)
		}
	}
	return s.verifyAccounts(executions)
}

// verifyAccounts compares the account of each request with the executions and the reply.
func (s *session) verifyAccounts(executions map[string]int) string {
	running := s.fleet.runningEntries()
	for i, r := range s.requests {
		if r.id == "" {
			continue
		}
		a := s.fleet.account(running[i%len(running)], r.id)
		if a == nil {
			// The only entry that held the account may have been killed before it stored it.
			continue
		}
		if a.GetFinal() && a.GetOutcome() == bwoutcome.Kind_notRun && executions[r.id] > 0 {
			return fmt.Sprintf("account of %s says notRun, but it was executed %d times", r.id, executions[r.id])
		}
		if a.GetFinal() && a.GetOutcome() == bwoutcome.Kind_ran && !a.GetReplayed() && executions[r.id] == 0 {
			return fmt.Sprintf("account of %s says ran, but it was never executed", r.id)
		}
		if a.GetFinal() && a.GetReceiver() && r.outcome != "" && a.GetOutcome().String() != r.outcome {
			return fmt.Sprintf("account of %s says %s, but the reply to the caller was %s", r.id, a.GetOutcome(), r.outcome)
		}
	}
	return ""
}

func TestGuaranteesMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := commands().Draw(rt, "commands")
		if violation := runCommands(t, list); violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
}
