package bwpool

import (
	"fmt"
	"strings"

	"basilwood.example/basilwood/bwroster"
)

// EntryStatus is what one live entry says about a host.
type EntryStatus struct {
	// Entry names the entry; IsKnown is false when it did not answer.
	Entry   string
	IsKnown bool
	// Revision is the configuration revision that the entry works by.
	Revision    int64
	InFlight    int
	Dispatching bool
}

// Facts are the observations that the next step of a permit depends on.
type Facts struct {
	// Host is the host's roster entry.
	Host *bwroster.Host
	// RosterRevision is the revision of the shard that holds it.
	RosterRevision int64
	Entries        []EntryStatus
	// PlatformKnown is false when the platform did not answer.
	PlatformKnown bool
	IsLive        bool
	IsRunning     bool
	InFlight      int
}

// Action is what a controller does next for a permit. A step ends with the platform's
// acceptance of its order and not with the state that the order leads to: a host can
// leave that state by itself, and a repeated order of the same permit has no effect.
type Action int

// The actions. Each one is safe to repeat.
const (
	// ActWait means that nothing can be done yet.
	ActWait Action = iota
	// ActMarkLeaving sets the host's roster state to leaving.
	ActMarkLeaving
	// ActDrain orders the platform to refuse new work on the host.
	ActDrain
	// ActStop orders the platform to stop the executor.
	ActStop
	// ActReboot orders the platform to reboot the host.
	ActReboot
	// ActTransfer moves the host to the other pool in the roster.
	ActTransfer
	// ActStart orders the platform to start the executor of the host's pool.
	ActStart
	// ActMarkActive sets the host's roster state to active.
	ActMarkActive
	// ActAdvance records that the present step is complete.
	ActAdvance
	// ActRelease removes the permit.
	ActRelease
)

// String returns the action in lower camel case.
func (a Action) String() string {
	names := [...]string{
		"wait", "markLeaving", "drain", "stop", "reboot", "transfer", "start", "markActive", "advance", "release",
	}
	return names[a]
}

// Decision is the next action for a permit, with the reason for a wait.
type Decision struct {
	action  Action
	step    Step
	problem string
}

// Action returns what to do.
func (d Decision) Action() Action { return d.action }

// Step returns the step that an ActAdvance leads to.
func (d Decision) Step() Step { return d.step }

// Problem returns what a wait is for, in plain words.
func (d Decision) Problem() string { return d.problem }

// Waiting returns the decision to wait for what is named.
func Waiting(what string) Decision { return waitFor(what) }

// AdvanceTo returns the decision to record a step as reached.
func AdvanceTo(s Step) Decision { return advance(s) }

func act(a Action) Decision           { return Decision{action: a} }
func advance(s Step) Decision         { return Decision{action: ActAdvance, step: s} }
func waitFor(what string) Decision    { return Decision{problem: what} }
func (f Facts) isIn(p string) bool    { return f.Host.GetPool() == p }
func (f Facts) state() bwroster.State { return f.Host.GetState() }

// NextAction decides the next action for a permit of the pool.
func NextAction(pool string, p *Permit, f Facts) Decision {
	if f.Host == nil {
		return act(ActRelease)
	}
	switch p.GetStep() {
	case Step_granted:
		return nextGranted(f)
	case Step_draining:
		return nextDraining(f)
	case Step_drained:
		return nextDrained(f)
	case Step_stopped:
		return nextStopped(pool, p, f)
	case Step_transferred:
		return nextTransferred(f)
	case Step_started:
		return nextStarted(f)
	}
	return act(ActRelease)
}

func nextGranted(f Facts) Decision {
	if f.state() != bwroster.State_leaving {
		return act(ActMarkLeaving)
	}
	return advance(Step_draining)
}

// nextDraining waits until no entry can send work any more before the platform closes
// the executor, so that the drain refuses as few requests as possible.
func nextDraining(f Facts) Decision {
	if f.state() != bwroster.State_leaving {
		return act(ActMarkLeaving)
	}
	if !f.PlatformKnown {
		return waitFor("the platform does not answer")
	}
	if !f.IsLive && !f.IsRunning {
		return advance(Step_drained)
	}
	if problem := undrained(f); problem != "" {
		return waitFor(problem)
	}
	return act(ActDrain)
}

// undrained names the entries that still use the host, or is empty.
func undrained(f Facts) string {
	var busy []string
	for _, e := range f.Entries {
		switch {
		case !e.IsKnown:
			busy = append(busy, e.Entry+" does not answer")
		case e.Revision < f.RosterRevision || e.Dispatching:
			busy = append(busy, e.Entry+" still sends work")
		case e.InFlight > 0:
			busy = append(busy, fmt.Sprintf("%s has %d requests in flight", e.Entry, e.InFlight))
		}
	}
	return strings.Join(busy, ", ")
}

func nextDrained(f Facts) Decision {
	switch {
	case !f.PlatformKnown:
		return waitFor("the platform does not answer")
	case f.InFlight > 0:
		return waitFor(fmt.Sprintf("the host still runs %d requests", f.InFlight))
	}
	return act(ActStop)
}

// nextStopped reboots for maintenance, or changes the pool for a move. A repeated
// reboot order of the same permit has no effect, so the host is live only after it.
func nextStopped(pool string, p *Permit, f Facts) Decision {
	if p.GetKind() == PermitKind_move {
		if f.isIn(pool) && p.GetToPool() != pool {
			return act(ActTransfer)
		}
		return advance(Step_transferred)
	}
	return act(ActReboot)
}

func nextTransferred(f Facts) Decision {
	if !f.PlatformKnown {
		return waitFor("the platform does not answer")
	}
	return act(ActStart)
}

func nextStarted(f Facts) Decision {
	switch {
	case !f.PlatformKnown:
		return waitFor("the platform does not answer")
	case !f.IsLive || !f.IsRunning:
		return waitFor("the host is not live yet")
	case f.state() != bwroster.State_active:
		return act(ActMarkActive)
	}
	return advance(Step_verified)
}
