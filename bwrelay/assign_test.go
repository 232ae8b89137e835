package bwrelay_test

import (
	"fmt"
	"testing"

	"basilwood.example/basilwood/bwrelay"
	"gotest.tools/v3/assert"
)

func membersIn(dataCentres, perDataCentre int) []bwrelay.Member {
	var list []bwrelay.Member
	for d := range dataCentres {
		for i := range perDataCentre {
			list = append(list, bwrelay.Member{Address: fmt.Sprintf("10.%d.0.%d:70", d, i), DataCentre: fmt.Sprintf("dc%d", d), Cores: 0.2})
		}
	}
	return list
}

func executorsOf(pool string, dataCentres, n int) []bwrelay.Target {
	var list []bwrelay.Target
	for i := range n {
		list = append(list, bwrelay.Target{ID: fmt.Sprintf("%s-%d", pool, i), DataCentre: fmt.Sprintf("dc%d", i%dataCentres)})
	}
	return list
}

// Each executor is called by a relay in its data centre that owns nothing, and no relay has many times the
// work of another.
func TestRelaysShareTheExecutors(t *testing.T) {
	members := membersIn(5, 29)
	members[0].IsOwner, members[30].IsOwner = true, true
	dataCentreOf := make(map[string]string)
	for _, m := range members {
		if !m.IsOwner {
			dataCentreOf[m.Address] = m.DataCentre
		}
	}
	load := make(map[string]int)
	for _, pool := range []string{"desk", "lab", "ledger", "lineage"} {
		targets := executorsOf(pool, 5, 266)
		assigned := bwrelay.Assign(pool, members, targets, bwrelay.LimitsFor(0.8))
		for _, target := range targets {
			address := assigned[target.ID]
			assert.Equal(t, dataCentreOf[address], target.DataCentre)
			load[address]++
		}
	}
	for address, n := range load {
		assert.Assert(t, n <= 64, "%s calls %d executors", address, n)
	}
}

// A host that comes or goes, and a node that is lost, moves few executors to other relays.
func TestSmallChangesMoveFewExecutors(t *testing.T) {
	members, targets := membersIn(5, 29), executorsOf("desk", 5, 200)
	before := bwrelay.Assign("desk", members, targets, bwrelay.LimitsFor(0.8))
	countMoved := func(after map[string]string) int {
		n := 0
		for id, address := range before {
			if after[id] != "" && after[id] != address {
				n++
			}
		}
		return n
	}
	more := bwrelay.Assign("desk", members, append(targets, executorsOf("new", 5, 5)...), bwrelay.LimitsFor(0.8))
	assert.Assert(t, countMoved(more) <= 60, "%d of 200 moved with five more executors", countMoved(more))
	lost := before[targets[0].ID]
	var rest []bwrelay.Member
	for _, m := range members {
		if m.Address != lost {
			rest = append(rest, m)
		}
	}
	fewer := bwrelay.Assign("desk", rest, targets, bwrelay.LimitsFor(0.8))
	for id, address := range before {
		if address != lost {
			assert.Assert(t, fewer[id] == address || targetIn(id, targets) == "dc0")
		}
	}
}

func targetIn(id string, targets []bwrelay.Target) string {
	for _, t := range targets {
		if t.ID == id {
			return t.DataCentre
		}
	}
	return ""
}
