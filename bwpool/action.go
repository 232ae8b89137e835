package bwpool

import (
	"fmt"
	"strings"

	"basilwood.example/basilwood/bwroster"
)

// EntryStatus is the state of a host as reported by one registered entry.
type EntryStatus struct {
	// Entry is the id of the entry; Responded is false if it did not respond.
	Entry     string
	Responded bool
	// Revision is the configuration revision that the entry has applied.
	Revision int64
	// InFlight is the number of requests from the entry in flight on the host.
	InFlight int
	// Dispatching is true while the entry may send new requests to the host.
	Dispatching bool
}

// ObservedState is the input that the next action for a permit depends on.
type ObservedState struct {
	// Host is the roster entry of the host, or nil if the roster does not hold the host.
	Host *bwroster.Host
	// RosterRevision is the store revision of the roster shard of the host.
	RosterRevision int64
	// Entries is only set while the permit is at the draining step.
	Entries []EntryStatus
	// PlatformResponded is false if the platform did not respond. The fields below are
	// then unset.
	PlatformResponded bool
	IsHostLive        bool
	// IsExecutorRunning is true while the executor of the host accepts work.
	IsExecutorRunning bool
	// InFlight is the number of requests in flight on the executor.
	InFlight int
}

// Action is what the controller does next for a permit. Stopping and starting the executor
// are complete when the platform has accepted the order, not when the host is in the
// resulting state, because a host can leave that state by itself. A drain is complete when
// no request is in flight, and a reboot when the host is live again. Repeating an order of
// the same permit has no effect, so orders can be retried.
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

// Step returns the step that ActAdvance advances the permit to.
func (d Decision) Step() Step { return d.step }

// WaitReason returns the reason for ActWait as a message for operators.
func (d Decision) WaitReason() string { return d.waitReason }

// WaitDecision returns the decision to wait for the given reason.
func WaitDecision(reason string) Decision { return waitDecision(reason) }

// AdvanceDecision returns the decision to advance the permit to step s.
func AdvanceDecision(s Step) Decision { return advanceDecision(s) }

func actionDecision(a Action) Decision            { return Decision{action: a} }
func advanceDecision(s Step) Decision             { return Decision{action: ActAdvance, step: s} }
func waitDecision(reason string) Decision         { return Decision{waitReason: reason} }
func (o ObservedState) isInPool(pool string) bool { return o.Host.GetPool() == pool }
func (o ObservedState) hostState() bwroster.State { return o.Host.GetState() }

// NextAction returns the next action for a permit of the pool.
func NextAction(pool string, p *Permit, o ObservedState) Decision {
	if o.Host == nil {
		return actionDecision(ActRelease)
	}
	switch p.GetStep() {
	case Step_granted:
		return nextGranted(o)
	case Step_draining:
		return nextDraining(o)
	case Step_drained:
		return nextDrained(o)
	case Step_stopped:
		return nextStopped(pool, p, o)
	case Step_transferred:
		return nextTransferred(o)
	case Step_started:
		return nextStarted(o)
	}
	return actionDecision(ActRelease)
}

func nextGranted(o ObservedState) Decision {
	if o.hostState() != bwroster.State_leaving {
		return actionDecision(ActMarkLeaving)
	}
	return advanceDecision(Step_draining)
}

// nextDraining waits until no entry dispatches to the host before it drains the
// executor, so that the drain rejects as few requests as possible.
func nextDraining(o ObservedState) Decision {
	if o.hostState() != bwroster.State_leaving {
		return actionDecision(ActMarkLeaving)
	}
	if !o.PlatformResponded {
		return waitDecision("the platform does not answer")
	}
	if !o.IsHostLive && !o.IsExecutorRunning {
		return advanceDecision(Step_drained)
	}
	if blockers := drainBlockers(o); blockers != "" {
		return waitDecision(blockers)
	}
	return actionDecision(ActDrain)
}

// drainBlockers lists the entries that may still use the host; it is empty if there are none.
func drainBlockers(o ObservedState) string {
	var blockers []string
	for _, e := range o.Entries {
		switch {
		case !e.Responded:
			blockers = append(blockers, e.Entry+" does not answer")
		case e.Revision < o.RosterRevision || e.Dispatching:
			blockers = append(blockers, e.Entry+" still sends work")
		case e.InFlight > 0:
			blockers = append(blockers, fmt.Sprintf("%s has %d requests in flight", e.Entry, e.InFlight))
		}
	}
	return strings.Join(blockers, ", ")
}

func nextDrained(o ObservedState) Decision {
	switch {
	case !o.PlatformResponded:
		return waitDecision("the platform does not answer")
	case o.InFlight > 0:
		return waitDecision(fmt.Sprintf("the host still runs %d requests", o.InFlight))
	}
	return actionDecision(ActStop)
}

// nextStopped reboots the host for maintenance or assigns it to the destination pool for
// a move. Repeating the reboot order of the same permit has no effect, so the host is
// live again only after the reboot is complete.
func nextStopped(pool string, p *Permit, o ObservedState) Decision {
	if p.GetKind() == PermitKind_move {
		if o.isInPool(pool) && p.GetToPool() != pool {
			return actionDecision(ActTransfer)
		}
		return advanceDecision(Step_transferred)
	}
	return actionDecision(ActReboot)
}

func nextTransferred(o ObservedState) Decision {
	if !o.PlatformResponded {
		return waitDecision("the platform does not answer")
	}
	return actionDecision(ActStart)
}

func nextStarted(o ObservedState) Decision {
	switch {
	case !o.PlatformResponded:
		return waitDecision("the platform does not answer")
	case !o.IsHostLive || !o.IsExecutorRunning:
		return waitDecision("the host is not live yet")
	case o.hostState() != bwroster.State_active:
		return actionDecision(ActMarkActive)
	}
	return advanceDecision(Step_verified)
}
