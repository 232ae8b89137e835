// Package bwroute selects the entry to which the receiving entry forwards a request.
//
// Table is computed from the configuration and the live entries. Each active host has one
// home entry, and the homes of a service's hosts are the candidates for its requests.
// Choose picks two candidates at random, weighted by their slots, and returns the less
// loaded one. A penalty is added to the load of candidates in other data centres. Requests
// that no candidate is expected to serve in time are rejected at the receiving entry, so
// that a flood of requests does not reach the homes.
package bwroute

import (
	"math/rand/v2"
	"time"

	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwdispatch"
	"basilwood.example/basilwood/bwmember"
	"basilwood.example/basilwood/bwoutcome"
	"basilwood.example/basilwood/bwroster"
)

// remoteLoadPenalty is added to the load of a candidate in another data centre.
const remoteLoadPenalty = 0.1

// ejectedWait is the expected wait that is assumed for a home whose targets are all ejected.
const ejectedWait = time.Second

// Policy is the algorithm that selects a home.
type Policy int

// The policies. TwoChoices is the one for production use; Random is a baseline for
// comparison.
const (
	// TwoChoices picks two candidates at random and selects the less loaded one.
	TwoChoices Policy = iota
	// Random picks one candidate at random.
	Random
)

// String returns the name of the policy in lower camel case.
func (p Policy) String() string {
	if p == Random {
		return "random"
	}
	return "twoChoices"
}

// Candidate is an entry that is the home of hosts of a service.
type Candidate struct {
	member bwmember.Member
	slots  int
}

// Member returns the candidate's entry.
func (c Candidate) Member() bwmember.Member { return c.member }

// Slots returns the total slots of the service's hosts whose home is the candidate.
func (c Candidate) Slots() int { return c.slots }

// Table maps each service to its candidates. The zero value has no services.
type Table struct {
	services   map[string][]Candidate
	assignment bwdispatch.Assignment
}

// Candidates returns the candidates for requests of the service.
func (t Table) Candidates(service string) []Candidate { return t.services[service] }

// Assignment returns the hosts whose home is this entry.
func (t Table) Assignment() bwdispatch.Assignment { return t.assignment }

// Build computes the table for a configuration and the live entries. It leaves out hosts for
// which isLeaving returns true, which the platform is about to remove.
func Build(snapshot *bwconfig.Snapshot, live []bwmember.Member, isLeaving func(host string) bool) Table {
	t := Table{services: make(map[string][]Candidate), assignment: bwdispatch.NewAssignment()}
	for _, p := range snapshot.Pools() {
		slots := make(map[string]int)
		for _, h := range snapshot.PoolHosts(p.GetName()) {
			if h.GetState() != bwroster.State_active || isLeaving(h.GetName()) {
				continue
			}
			home, ok := bwmember.Owner(h.GetName(), live)
			t.assignment.Add(h, ok && home.IsSelf())
			if ok {
				slots[home.ID()] += int(h.GetSlots())
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

// WithMembers returns a copy of the table with the current state of its entries, such as
// their loads. live must contain every entry of the table.
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

// Query describes the request for which a home is chosen.
type Query struct {
	Service string
	Profile string
	// DataCentre is the data centre of the receiving entry.
	DataCentre string
	// Budget is the time left until the request's deadline.
	Budget time.Duration
	// Excluded holds the ids of entries that must not be chosen, such as those that have
	// rejected the request.
	Excluded map[string]bool
}

// Choice is a chosen home, or the reason why none was chosen.
type Choice struct {
	member       bwmember.Member
	reason       bwoutcome.Reason
	shortestWait time.Duration
}

// Member returns the chosen home.
func (c Choice) Member() bwmember.Member { return c.member }

// RejectionReason returns the reason why no home was chosen, or Reason_none if one was.
func (c Choice) RejectionReason() bwoutcome.Reason { return c.reason }

// ShortestWait returns the shortest expected wait of the candidates if all of them are overloaded.
func (c Choice) ShortestWait() time.Duration { return c.shortestWait }

// Choose selects a home for a request according to the policy.
func Choose(t Table, p Policy, q Query, rng *rand.Rand) Choice {
	var accepting []Candidate
	shortestWait := time.Duration(-1)
	for _, c := range t.services[q.Service] {
		if q.Excluded[c.member.ID()] {
			continue
		}
		wait, ok := c.canAccept(q)
		if ok {
			accepting = append(accepting, c)
			continue
		}
		if shortestWait < 0 || wait < shortestWait {
			shortestWait = wait
		}
	}
	if len(accepting) == 0 && shortestWait >= 0 {
		return Choice{reason: bwoutcome.Reason_floodShed, shortestWait: shortestWait}
	}
	if len(accepting) == 0 {
		return Choice{reason: bwoutcome.Reason_noTarget}
	}
	chosen := pickWeighted(accepting, rng)
	if p == Random {
		return Choice{member: chosen.member}
	}
	second := pickWeighted(accepting, rng)
	if second.relativeLoad(q) < chosen.relativeLoad(q) {
		chosen = second
	}
	return Choice{member: chosen.member}
}

// canAccept returns the expected wait that the candidate has announced for the request's
// profile, and whether the candidate can serve the request within its budget.
func (c Candidate) canAccept(q Query) (time.Duration, bool) {
	if l := c.member.Load(q.Service); l != nil && l.GetSlots() == 0 {
		// All of its targets are ejected. The request can be retried once they are probed.
		return ejectedWait, false
	}
	for _, p := range c.member.Load(q.Service).GetProfiles() {
		if p.GetProfile() == q.Profile {
			wait := time.Duration(p.GetWaitMillis()) * time.Millisecond
			return wait, !p.GetFull() && wait <= q.Budget
		}
	}
	return 0, true
}

// relativeLoad returns the number of requests at the candidate relative to its slots,
// plus the penalty for another data centre.
func (c Candidate) relativeLoad(q Query) float64 {
	l := c.member.Load(q.Service)
	load := float64(l.GetBusy()+l.GetQueued()) / float64(c.slots)
	if c.member.DataCentre() != q.DataCentre {
		load += remoteLoadPenalty
	}
	return load
}

// pickWeighted returns a random candidate, with a probability proportional to its slots.
func pickWeighted(candidates []Candidate, rng *rand.Rand) Candidate {
	total := 0
	for _, c := range candidates {
		total += c.slots
	}
	n := rng.IntN(total)
	for _, c := range candidates {
		if n < c.slots {
			return c
		}
		n -= c.slots
	}
	return candidates[len(candidates)-1]
}
