// Package bwroute decides which entry a receiver hands a request to.
//
// Table is computed from the configuration and the live entries: each active host has
// one home entry, and the homes of a service's hosts are its candidates. Choose takes
// two candidates at random, weighted by their slots, and prefers the one with less
// load; a candidate in another data centre counts as somewhat more loaded. Requests
// that no candidate could serve in time are refused at the receiver, which keeps a
// flood away from the homes.
package bwroute

import (
	"math/rand/v2"
	"time"

	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwhome"
	"basilwood.example/basilwood/bwmember"
	"basilwood.example/basilwood/bwoutcome"
	"basilwood.example/basilwood/bwroster"
)

// remotePenalty is the load that a candidate in another data centre counts on top.
const remotePenalty = 0.1

// retryAfter is announced when every home is without a target in service.
const retryAfter = time.Second

// Policy is a rule for the choice of a home.
type Policy int

// The policies. TwoChoices is the product's; the others serve as baselines.
const (
	TwoChoices Policy = iota
	Random
)

// String returns the policy in lower camel case.
func (p Policy) String() string {
	if p == Random {
		return "random"
	}
	return "twoChoices"
}

// Candidate is one home of a service.
type Candidate struct {
	member bwmember.Member
	slots  int
}

// Member returns the entry.
func (c Candidate) Member() bwmember.Member { return c.member }

// Slots returns the slots of the service's hosts at this home.
func (c Candidate) Slots() int { return c.slots }

// Table maps each service to its homes. The zero value has no services.
type Table struct {
	services   map[string][]Candidate
	assignment bwhome.Assignment
}

// Candidates returns the homes of the service.
func (t Table) Candidates(service string) []Candidate { return t.services[service] }

// Assignment returns the hosts whose home is the process itself.
func (t Table) Assignment() bwhome.Assignment { return t.assignment }

// Build computes the table. isLeaving tells the hosts that the platform takes away.
func Build(v *bwconfig.Snapshot, live []bwmember.Member, isLeaving func(host string) bool) Table {
	t := Table{services: make(map[string][]Candidate), assignment: bwhome.NewAssignment()}
	for _, p := range v.Pools() {
		slots := make(map[string]int)
		for _, h := range v.PoolHosts(p.GetName()) {
			if h.GetState() != bwroster.State_active || isLeaving(h.GetName()) {
				continue
			}
			owner, ok := bwmember.Owner(h.GetName(), live)
			t.assignment.Add(h, ok && owner.IsSelf())
			if ok {
				slots[owner.ID()] += int(h.GetSlots())
			}
		}
		for _, m := range live {
			if slots[m.ID()] > 0 {
				t.services[p.GetService()] = append(t.services[p.GetService()], Candidate{member: m, slots: slots[m.ID()]})
			}
		}
	}
	return t
}

// WithMembers returns the table with the present facts about the same entries.
func (t Table) WithMembers(live []bwmember.Member) Table {
	byID := make(map[string]bwmember.Member, len(live))
	for _, m := range live {
		byID[m.ID()] = m
	}
	updated := Table{services: make(map[string][]Candidate, len(t.services)), assignment: t.assignment}
	for service, candidates := range t.services {
		list := make([]Candidate, len(candidates))
		for i, c := range candidates {
			list[i] = Candidate{member: byID[c.member.ID()], slots: c.slots}
		}
		updated.services[service] = list
	}
	return updated
}

// Query is what a choice depends on.
type Query struct {
	Service    string
	Profile    string
	DataCentre string
	Budget     time.Duration
	// Excluded names entries that have refused the request.
	Excluded map[string]bool
}

// Choice is a chosen home or the reason why there is none.
type Choice struct {
	member bwmember.Member
	reason bwoutcome.Reason
	wait   time.Duration
}

// Member returns the chosen home.
func (c Choice) Member() bwmember.Member { return c.member }

// Refusal returns why no home was chosen; Reason_none means that one was.
func (c Choice) Refusal() bwoutcome.Reason { return c.reason }

// Wait returns the shortest expected wait when every home is overloaded.
func (c Choice) Wait() time.Duration { return c.wait }

// Choose picks a home for a request.
func Choose(t Table, p Policy, q Query, random *rand.Rand) Choice {
	var usable []Candidate
	shortest := time.Duration(-1)
	for _, c := range t.services[q.Service] {
		if q.Excluded[c.member.ID()] {
			continue
		}
		wait, ok := c.accepts(q)
		if ok {
			usable = append(usable, c)
			continue
		}
		if shortest < 0 || wait < shortest {
			shortest = wait
		}
	}
	if len(usable) == 0 && shortest >= 0 {
		return Choice{reason: bwoutcome.Reason_floodShed, wait: shortest}
	}
	if len(usable) == 0 {
		return Choice{reason: bwoutcome.Reason_noTarget}
	}
	first := pick(usable, random)
	if p == Random {
		return Choice{member: first.member}
	}
	second := pick(usable, random)
	if second.load(q) < first.load(q) {
		first = second
	}
	return Choice{member: first.member}
}

// accepts reports whether the candidate's announced wait leaves time for the request.
func (c Candidate) accepts(q Query) (time.Duration, bool) {
	if l := c.member.Load(q.Service); l != nil && l.GetSlots() == 0 {
		// Its targets are out of service; q may come back when they are on trial.
		return retryAfter, false
	}
	for _, p := range c.member.Load(q.Service).GetProfiles() {
		if p.GetProfile() == q.Profile {
			wait := time.Duration(p.GetWaitMillis()) * time.Millisecond
			return wait, !p.GetFull() && wait <= q.Budget
		}
	}
	return 0, true
}

// load returns the requests at the candidate as a share of its slots.
func (c Candidate) load(q Query) float64 {
	l := c.member.Load(q.Service)
	load := float64(l.GetBusy()+l.GetQueued()) / float64(c.slots)
	if c.member.DataCentre() != q.DataCentre {
		load += remotePenalty
	}
	return load
}

// pick draws a candidate with a probability in proportion to its slots.
func pick(candidates []Candidate, random *rand.Rand) Candidate {
	total := 0
	for _, c := range candidates {
		total += c.slots
	}
	n := random.IntN(total)
	for _, c := range candidates {
		if n < c.slots {
			return c
		}
		n -= c.slots
	}
	return candidates[len(candidates)-1]
}
