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

// verb is the kind of a command: a request, a fault or a repair.
type verb int

const (
	verbAsk verb = iota
	verbCancel
	verbDelete
	verbKill
	verbRestart
	verbStop
	verbCut
	verbSilence
	verbFreeze
	verbStoreFault
	verbTargetMode
	verbHostState
	verbHeal
	verbWait
	verbCount
)

// String returns the name that failure reports print.
func (v verb) String() string {
	names := [...]string{
		"ask", "cancel", "delete", "kill", "restart", "stop", "cut", "silence", "freeze", "storeFault", "targetMode",
		"hostState", "heal", "wait",
	}
	return names[v]
}

// command is one step of a session. When it is executed, a, b and c select processes, hosts and
// faults among those that exist then, and set counts and durations.
type command struct {
	verb    verb
	a, b, c int
	pause   time.Duration
}

// String formats the command for failure reports.
func (c command) String() string {
	return fmt.Sprintf("%s(%d,%d,%d)+%s", c.verb, c.a, c.b, c.c, c.pause)
}

// verbWeights lists each kind as often as its weight: requests are frequent, and faults are rare
// enough that mostly two of them overlap.
var verbWeights = []verb{
	verbAsk, verbAsk, verbAsk, verbAsk, verbAsk, verbAsk, verbAsk, verbCancel, verbDelete, verbDelete, verbKill, verbRestart, verbRestart, verbStop,
	verbCut, verbSilence, verbFreeze, verbStoreFault, verbStoreFault, verbTargetMode, verbTargetMode, verbHostState,
	verbHeal, verbWait,
}

func commands() *rapid.Generator[[]command] {
	one := rapid.Custom(func(t *rapid.T) command {
		return command{
			verb:  rapid.SampledFrom(verbWeights).Draw(t, "verb"),
			a:     rapid.IntRange(0, 11).Draw(t, "a"),
			b:     rapid.IntRange(0, 11).Draw(t, "b"),
			c:     rapid.IntRange(0, 11).Draw(t, "c"),
			pause: time.Duration(rapid.SampledFrom([]int{0, 0, 1, 7, 30, 120, 700}).Draw(t, "pause")) * time.Millisecond,
		}
	})
	return rapid.SliceOfN(one, 10, 60)
}

// session executes commands against a fleet and records the requests and their replies.
type session struct {
	fleet *fleet
	group sync.WaitGroup
	told  []*told
	mu    sync.Mutex
	keys  int
	// cancelled holds the ids of requests that were confirmed as cancelled before their start.
	cancelled map[string]bool
}

// run executes the commands, repairs all faults and returns the first violated guarantee.
func run(t *testing.T, list []command) string {
	broken := ""
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 3, 1)
		defer f.close()
		s := &session{fleet: f, cancelled: make(map[string]bool)}
		for _, c := range list {
			s.do(c)
			time.Sleep(c.pause)
		}
		s.heal()
		s.group.Wait()
		time.Sleep(5 * time.Second)
		broken = s.judge()
	})
	return broken
}

func (s *session) do(c command) {
	f := s.fleet
	switch c.verb {
	case verbAsk:
		s.ask(c)
	case verbCancel:
		s.cancel(c)
	case verbDelete:
		s.delete(c)
	case verbKill:
		if up := f.up(); len(up) > 1 {
			f.kill(up[c.a%len(up)])
		}
	case verbRestart:
		for _, p := range f.entries {
			if !p.isUp.Load() {
				f.startEntry(p.id)
				return
			}
		}
	case verbStop:
		if up := f.up(); len(up) > 1 {
			p := up[c.a%len(up)]
			p.isUp.Store(false)
			p.cancel()
		}
	case verbCut, verbSilence, verbFreeze:
		s.disturb(c)
	case verbStoreFault:
		f.store.Faults().Set(storeFaults[c.a%len(storeFaults)])
	case verbTargetMode:
		f.targets[hostNames()[c.a%8]].SetMode(targetModes[c.b%len(targetModes)])
	case verbHostState:
		f.platform.SetState(hostNames()[c.a%8], hostStates[c.b%len(hostStates)])
	case verbHeal:
		s.heal()
	case verbWait:
		time.Sleep(time.Duration(c.a) * 400 * time.Millisecond)
	}
}

var storeFaults = []bwstandin.Faults{
	{}, {Refuse: true}, {DelayMillis: 300}, {DropReplyRatio: 0.3}, {Silent: true}, {DropReplyRatio: 1}, {DelayMillis: 2500},
}

var targetModes = []bwstandin.TargetMode{
	{}, {FailAll: true}, {Truncate: true}, {Cross: true}, {SilentAfterStart: true}, {SlowFactor: 20},
}

var hostStates = []bwplatform.HostState{bwplatform.HostLive, bwplatform.HostLeaving}

// disturb injects a network fault between an entry and another host, or freezes the entry.
func (s *session) disturb(c command) {
	f := s.fleet
	up := f.up()
	a := up[c.a%len(up)].ip
	others := []string{"10.0.0.1", "10.0.0.2", fmt.Sprintf("10.0.1.%d", c.b%8+1)}
	for _, p := range up {
		if p.ip != a {
			others = append(others, p.ip)
		}
	}
	b := others[c.b%len(others)]
	switch c.verb {
	case verbCut:
		f.net.Cut(a, b, true)
	case verbSilence:
		f.net.Silence(a, b)
	case verbFreeze:
		f.net.Freeze(a, true)
		s.group.Go(func() {
			time.Sleep(time.Duration(1+c.c) * 500 * time.Millisecond)
			f.net.Freeze(a, false)
		})
	}
}

// heal ends every fault that does not end by itself and restarts the entries that are down.
func (s *session) heal() {
	f := s.fleet
	f.store.Faults().Set(bwstandin.Faults{})
	f.net.HealCuts()
	for _, name := range hostNames() {
		f.targets[name].SetMode(bwstandin.TargetMode{})
		f.platform.SetState(name, bwplatform.HostLive)
	}
	for _, p := range f.entries {
		if !p.isUp.Load() {
			f.startEntry(p.id)
		}
	}
}

// ask sends a burst of up to 4 requests, some with an idempotency key that was used before.
func (s *session) ask(c command) {
	f := s.fleet
	up := f.up()
	for i := range 1 + c.c/3 {
		pool := pools[c.a%2]
		r := &told{pool: pool, profile: pool + "-reads"}
		if c.b%2 == 0 {
			r.profile = pool + "-counts"
			r.key = s.key(c.b%4 == 0)
		}
		p := up[(c.a+i)%len(up)]
		s.mu.Lock()
		r.payload = fmt.Sprintf("payload-%d/%s", len(s.told), r.key)
		s.told = append(s.told, r)
		s.mu.Unlock()
		timeout := time.Duration(50+300*c.b) * time.Millisecond
		s.group.Go(func() {
			// The client needs a limit of its own, well after the request's timeout: the connection
			// may be dead, and then no reply arrives.
			ctx, cancel := context.WithTimeout(context.Background(), timeout+10*time.Second)
			defer cancel()
			f.ask(ctx, p, r, timeout)
		})
	}
}

// key returns a new idempotency key, or the latest one if isRepeat is set.
func (s *session) key(isRepeat bool) string {
	if !isRepeat || s.keys == 0 {
		s.keys++
	}
	return fmt.Sprintf("key%d", s.keys)
}

// cancel sends requests whose client disconnects early, which cancels them. A client learns the
// request id only from the reply, so it cannot cancel by id before that.
func (s *session) cancel(c command) {
	f := s.fleet
	up := f.up()
	pool := pools[c.a%2]
	for range 1 + c.c {
		r := &told{pool: pool, profile: pool + "-counts", key: s.key(false)}
		s.mu.Lock()
		r.payload = fmt.Sprintf("payload-%d/%s", len(s.told), r.key)
		s.told = append(s.told, r)
		s.mu.Unlock()
		s.group.Go(func() {
			ctx, cancel := context.WithTimeout(context.Background(), time.Duration(c.b)*4*time.Millisecond)
			defer cancel()
			f.ask(ctx, up[c.b%len(up)], r, time.Second)
		})
	}
}

// delete cancels by id the requests that are unfinished according to an entry.
func (s *session) delete(c command) {
	f := s.fleet
	up := f.up()
	p := up[c.a%len(up)]
	s.group.Go(func() {
		for _, id := range f.unfinished(p) {
			if f.cancel(p, id) != "cancelledBeforeStart" {
				continue
			}
			s.mu.Lock()
			s.cancelled[id] = true
			s.mu.Unlock()
		}
	})
}

// judge compares all replies, confirmed cancellations and accounts with the executions and returns
// the first violated guarantee.
func (s *session) judge() string {
	executions := s.fleet.executions()
	byKey := make(map[string]int)
	for _, t := range s.fleet.targets {
		for _, e := range t.Executions() {
			if _, key, ok := strings.Cut(e.Payload, "/"); ok && key != "" {
				byKey[key]++
			}
		}
	}
	for i, r := range s.told {
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
	return s.judgeAccounts(executions)
}

// judgeAccounts compares the account of each request with the executions and the reply.
func (s *session) judgeAccounts(executions map[string]int) string {
	up := s.fleet.up()
	for i, r := range s.told {
		if r.id == "" {
			continue
		}
		a := s.fleet.account(up[i%len(up)], r.id)
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

func TestPromisesMachine(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		list := commands().Draw(rt, "commands")
		if broken := run(t, list); broken != "" {
			rt.Fatalf("%s", broken)
		}
	})
}
