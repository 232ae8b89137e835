package bwpool

import (
	"fmt"
	"strings"

	"basilwood.example/basilwood/bwroster"
)

// EntryStatus is the state of a host as reported by one registered entry.
type EntryStatus struct {
	// Entry is the id of the entry; IsKnown is false if it did not respond.
	Entry   string
	IsKnown bool
	// Revision is the configuration revision that the entry has applied.
	Revision int64
	// InFlight is the number of requests from the entry in flight on the host.
	InFlight int
	// Dispatching is true while the entry may send new requests to the host.
	Dispatching bool
}

// Facts is the observed state that the next action for a permit depends on.
type Facts struct {
	// Host is the roster entry of the host, or nil if the roster does not hold the host.
	Host *bwroster.Host
	// RosterRevision is the store revision of the roster shard of the host.
	RosterRevision int64
	// Entries is only set while the permit is at the draining step.
	Entries []EntryStatus
	// PlatformKnown is false if the platform did not respond; the fields below are then unset.
	PlatformKnown bool
	IsLive        bool
	// IsRunning is true while the executor of the host accepts work.
	IsRunning bool
	// InFlight is the number of requests in flight on the executor.
	InFlight int
}

// Action is what the controller does next for a permit. A step is complete when the
// platform has accepted its order, not when the host is in the resulting state: a host
// can leave that state by itself, and repeating an order of the same permit has no effect.
type Action int

// The actions. Each one is idempotent.
const (
	// ActWait means that no action is possible yet.
	ActWait Action = iota
	// ActMarkLeaving sets the host's roster state to leaving.
	ActMarkLeaving
	// ActDrain orders the platform to reject new work on the host.
	ActDrain
	// ActStop orders the platform to stop the executor.
	ActStop
	// ActReboot orders the platform to reboot the host.
	ActReboot
	// ActTransfer assigns the host to the destination pool in the roster.
	ActTransfer
	// ActStart orders the platform to start the executor of the host's pool.
	ActStart
	// ActMarkActive sets the host's roster state to active.
	ActMarkActive
	// ActAdvance records that the current step is complete.
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

// Decision is the next action for a permit. A decision to wait may carry a reason.
type Decision struct {
	action     Action
	step       Step
	waitReason string
}

// Action returns the action to take.
func (d Decision) Action() Action { return d.action }

// Step returns the step that an ActAdvance advances to.
func (d Decision) Step() Step { return d.step }

// Problem returns the reason for an ActWait as a message for operators.
func (d Decision) Problem() string { return d.waitReason }

// Waiting returns the decision to wait for the given reason.
func Waiting(reason string) Decision { return waitDecision(reason) }

// AdvanceTo returns the decision to advance the permit to step s.
func AdvanceTo(s Step) Decision { return advanceDecision(s) }

func actionDecision(a Action) Decision    { return Decision{action: a} }
func advanceDecision(s Step) Decision     { return Decision{action: ActAdvance, step: s} }
func waitDecision(reason string) Decision { return Decision{waitReason: reason} }
func (f Facts) isInPool(pool string) bool { return f.Host.GetPool() == pool }
func (f Facts) hostState() bwroster.State { return f.Host.GetState() }

// NextAction returns the next action for a permit of the pool.
func NextAction(pool string, p *Permit, f Facts) Decision {
	if f.Host == nil {
		return actionDecision(ActRelease)
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
	return actionDecision(ActRelease)
}

func nextGranted(f Facts) Decision {
	if f.hostState() != bwroster.State_leaving {
		return actionDecision(ActMarkLeaving)
	}
	return advanceDecision(Step_draining)
}

// nextDraining waits until no entry dispatches to the host before it drains the
// executor, so that the drain rejects as few requests as possible.
func nextDraining(f Facts) Decision {
	if f.hostState() != bwroster.State_leaving {
		return actionDecision(ActMarkLeaving)
	}
	if !f.PlatformKnown {
		return waitDecision("the platform does not answer")
	}
	if !f.IsLive && !f.IsRunning {
		return advanceDecision(Step_drained)
	}
	if blockers := drainBlockers(f); blockers != "" {
		return waitDecision(blockers)
	}
	return actionDecision(ActDrain)
}

// drainBlockers lists the entries that may still use the host; it is empty if there are none.
func drainBlockers(f Facts) string {
	var blockers []string
	for _, e := range f.Entries {
		switch {
		case !e.IsKnown:
			blockers = append(blockers, e.Entry+" does not answer")
		case e.Revision < f.RosterRevision || e.Dispatching:
			blockers = append(blockers, e.Entry+" still sends work")
		case e.InFlight > 0:
			blockers = append(blockers, fmt.Sprintf("%s has %d requests in flight", e.Entry, e.InFlight))
		}
	}
	return strings.Join(blockers, ", ")
}

func nextDrained(f Facts) Decision {
	switch {
	case !f.PlatformKnown:
		return waitDecision("the platform does not answer")
	case f.InFlight > 0:
		return waitDecision(fmt.Sprintf("the host still runs %d requests", f.InFlight))
	}
	return actionDecision(ActStop)
}

// nextStopped reboots the host for maintenance or assigns it to the destination pool for
// a move. Repeating the reboot order of the same permit has no effect, so the host is
// live again only after the reboot is complete.
func nextStopped(pool string, p *Permit, f Facts) Decision {
	if p.GetKind() == PermitKind_move {
		if f.isInPool(pool) && p.GetToPool() != pool {
			return actionDecision(ActTransfer)
		}
		return advanceDecision(Step_transferred)
	}
	return actionDecision(ActReboot)
}

func nextTransferred(f Facts) Decision {
	if !f.PlatformKnown {
		return waitDecision("the platform does not answer")
	}
	return actionDecision(ActStart)
}

func nextStarted(f Facts) Decision {
	switch {
	case !f.PlatformKnown:
		return waitDecision("the platform does not answer")
	case !f.IsLive || !f.IsRunning:
		return waitDecision("the host is not live yet")
	case f.hostState() != bwroster.State_active:
		return actionDecision(ActMarkActive)
	}
	return advanceDecision(Step_verified)
}
