package bwcontroller

import (
	"fmt"

	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwpool"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwroster"
)

// The checks below validate an operator's input against the rest of the configuration.
// They read the local replica, so two concurrent changes to different values can each pass
// and together exceed a limit; the status page then reports the excess.

func checkName(path, name string) []string {
	if path == name {
		return nil
	}
	return []string{fmt.Sprintf("name %q: differs from %q in the address", name, path)}
}

func checkProfile(snapshot *bwconfig.Snapshot, p *bwprofile.Profile) []string {
	problems := p.Validate()
	team := snapshot.Team(p.GetTeam())
	if team == nil {
		problems = append(problems, fmt.Sprintf("team %q: does not exist", p.GetTeam()))
	}
	if snapshot.Pool(p.GetPool()) == nil {
		problems = append(problems, fmt.Sprintf("pool %q: does not exist", p.GetPool()))
	}
	if len(problems) > 0 {
		return problems
	}
	teamGuaranteed, poolGuaranteed := p.GetGuaranteedSlots(), p.GetGuaranteedSlots()
	for _, other := range snapshot.Profiles() {
		if other.GetName() == p.GetName() {
			continue
		}
		if other.GetTeam() == p.GetTeam() {
			teamGuaranteed += other.GetGuaranteedSlots()
		}
		if other.GetPool() == p.GetPool() {
			poolGuaranteed += other.GetGuaranteedSlots()
		}
	}
	if teamGuaranteed > team.GetQuotaSlots() {
		problems = append(problems, fmt.Sprintf("guaranteedSlots: the team would hold %g of its quota of %g", teamGuaranteed, team.GetQuotaSlots()))
	}
	if slots := poolSlots(snapshot, p.GetPool()); slots > 0 && poolGuaranteed > slots {
		problems = append(problems, fmt.Sprintf("guaranteedSlots: the pool would guarantee %g of its %g slots", poolGuaranteed, slots))
	}
	return problems
}

// poolSlots returns the total number of slots of the pool's hosts.
func poolSlots(snapshot *bwconfig.Snapshot, pool string) float64 {
	slots := 0
	for _, h := range snapshot.PoolHosts(pool) {
		slots += int(h.GetSlots())
	}
	return float64(slots)
}

func checkTeam(snapshot *bwconfig.Snapshot, t *bwprofile.Team) []string {
	problems := t.Validate()
	guaranteed := 0.0
	for _, p := range snapshot.Profiles() {
		if p.GetTeam() == t.GetName() {
			guaranteed += p.GetGuaranteedSlots()
		}
	}
	if guaranteed > t.GetQuotaSlots() {
		problems = append(problems, fmt.Sprintf("quotaSlots %g: the team's profiles already hold %g", t.GetQuotaSlots(), guaranteed))
	}
	return problems
}

func checkPool(snapshot *bwconfig.Snapshot, p *bwpool.Pool) []string {
	problems := p.Validate()
	if p.GetWave() != nil || len(p.GetPermits()) > 0 {
		problems = append(problems, "wave and permits: not set by operators; use maintenance and host move")
	}
	other := snapshot.PoolOfService(p.GetService())
	if other != nil && other.GetName() != p.GetName() {
		problems = append(problems, fmt.Sprintf("service %q: pool %q runs it already", p.GetService(), other.GetName()))
	}
	return problems
}

func checkHost(snapshot *bwconfig.Snapshot, h *bwroster.Host) []string {
	problems := h.Validate()
	if snapshot.Pool(h.GetPool()) == nil {
		problems = append(problems, fmt.Sprintf("pool %q: does not exist", h.GetPool()))
	}
	if h.GetState() != bwroster.State_active {
		problems = append(problems, "state: not set by operators")
	}
	return problems
}

// deletionProblems returns a problem for each reference that prevents the deletion of a value.
func deletionProblems(snapshot *bwconfig.Snapshot, kind, name string) []string {
	var problems []string
	for _, p := range snapshot.Profiles() {
		if (kind == "teams" && p.GetTeam() == name) || (kind == "pools" && p.GetPool() == name) {
			problems = append(problems, "profile "+p.GetName()+" refers to it")
		}
	}
	if kind == "pools" && len(snapshot.PoolHosts(name)) > 0 {
		problems = append(problems, fmt.Sprintf("%d hosts belong to it", len(snapshot.PoolHosts(name))))
	}
	return problems
}
