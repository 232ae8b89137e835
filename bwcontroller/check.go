package bwcontroller

import (
	"fmt"

	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwpool"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwroster"
)

// The checks below compare an operator's input with the rest of the configuration. They
// read the local copy, so two operators who change different values at the same moment
// can each pass them; the status page then names the excess.

func checkName(path, name string) []string {
	if path == name {
		return nil
	}
	return []string{fmt.Sprintf("name %q: differs from %q in the address", name, path)}
}

func checkProfile(v *bwconfig.Snapshot, p *bwprofile.Profile) []string {
	problems := p.Validate()
	team := v.Team(p.GetTeam())
	if team == nil {
		problems = append(problems, fmt.Sprintf("team %q: does not exist", p.GetTeam()))
	}
	if v.Pool(p.GetPool()) == nil {
		problems = append(problems, fmt.Sprintf("pool %q: does not exist", p.GetPool()))
	}
	if len(problems) > 0 {
		return problems
	}
	ofTeam, ofPool := p.GetGuaranteedSlots(), p.GetGuaranteedSlots()
	for _, other := range v.Profiles() {
		if other.GetName() == p.GetName() {
			continue
		}
		if other.GetTeam() == p.GetTeam() {
			ofTeam += other.GetGuaranteedSlots()
		}
		if other.GetPool() == p.GetPool() {
			ofPool += other.GetGuaranteedSlots()
		}
	}
	if ofTeam > team.GetQuotaSlots() {
		problems = append(problems, fmt.Sprintf("guaranteedSlots: the team would hold %g of its quota of %g", ofTeam, team.GetQuotaSlots()))
	}
	if slots := poolSlots(v, p.GetPool()); slots > 0 && ofPool > slots {
		problems = append(problems, fmt.Sprintf("guaranteedSlots: the pool would guarantee %g of its %g slots", ofPool, slots))
	}
	return problems
}

// poolSlots returns the slots of all hosts of the pool.
func poolSlots(v *bwconfig.Snapshot, pool string) float64 {
	slots := 0
	for _, h := range v.PoolHosts(pool) {
		slots += int(h.GetSlots())
	}
	return float64(slots)
}

func checkTeam(v *bwconfig.Snapshot, t *bwprofile.Team) []string {
	problems := t.Validate()
	held := 0.0
	for _, p := range v.Profiles() {
		if p.GetTeam() == t.GetName() {
			held += p.GetGuaranteedSlots()
		}
	}
	if held > t.GetQuotaSlots() {
		problems = append(problems, fmt.Sprintf("quotaSlots %g: the team's profiles already hold %g", t.GetQuotaSlots(), held))
	}
	return problems
}

func checkPool(v *bwconfig.Snapshot, p *bwpool.Pool) []string {
	problems := p.Validate()
	if p.GetWave() != nil || len(p.GetPermits()) > 0 {
		problems = append(problems, "wave and permits: not set by operators; use maintenance and host move")
	}
	other := v.PoolOfService(p.GetService())
	if other != nil && other.GetName() != p.GetName() {
		problems = append(problems, fmt.Sprintf("service %q: pool %q runs it already", p.GetService(), other.GetName()))
	}
	return problems
}

func checkHost(v *bwconfig.Snapshot, h *bwroster.Host) []string {
	problems := h.Validate()
	if v.Pool(h.GetPool()) == nil {
		problems = append(problems, fmt.Sprintf("pool %q: does not exist", h.GetPool()))
	}
	if h.GetState() != bwroster.State_active {
		problems = append(problems, "state: not set by operators")
	}
	return problems
}

// users names what refers to a value that is about to be deleted.
func users(v *bwconfig.Snapshot, kind, name string) []string {
	var problems []string
	for _, p := range v.Profiles() {
		if (kind == "teams" && p.GetTeam() == name) || (kind == "pools" && p.GetPool() == name) {
			problems = append(problems, "profile "+p.GetName()+" refers to it")
		}
	}
	if kind == "pools" && len(v.PoolHosts(name)) > 0 {
		problems = append(problems, fmt.Sprintf("%d hosts belong to it", len(v.PoolHosts(name))))
	}
	return problems
}
