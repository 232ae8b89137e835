// Package bwrelay lets other nodes call executors for the owner of a large pool.
//
// An owner that calls all executors of its pool itself is limited by the link and the processor of one
// host. A Client carries its calls to relays, which are nodes in the data centres of the executors, many
// calls and replies in one message. A Server on each node makes the calls. A relay decides nothing and
// keeps no state: calls carry the fencing token of the owner, orders that a relay delays are refused like
// any late order, and a call that a relay loses has no answer. Assign decides which node calls which executor.
package bwrelay

import (
	"cmp"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ownedPerCore is how many executors the owner of a pool can call itself for each core that it has.
	ownedPerCore = 50
	// relayedPerCore is the same for a relay, which does nothing else for the pool. It leaves most of the
	// core for callers.
	relayedPerCore = 80
	// minPerRelay is the number of executors from which it pays to put their calls into common messages.
	minPerRelay = 4
)

// Member is a node that can be a relay.
type Member struct {
	Address    string
	DataCentre string
	// Cores is the share of its host's CPU that the node gets, in cores; 0 counts as one core.
	Cores float64
	// IsOwner is set if the node owns a pool or coordinates hosts. It is not used as a relay.
	IsOwner bool
}

// Target is an executor to be called.
type Target struct {
	ID         string
	DataCentre string
}

// Limits decide how many relays a pool uses.
type Limits struct {
	// MinExecutors is the number of executors from which a pool uses relays.
	MinExecutors int
	// ExecutorsPerRelay is the number of executors that one relay calls on average; 0 stands for what the
	// weakest member of the data centre can call.
	ExecutorsPerRelay int
}

// LimitsFor returns the limits of an owner that gets a number of cores; 0 counts as one core.
func LimitsFor(cores float64) Limits {
	return Limits{MinExecutors: max(minPerRelay, int(cmp.Or(cores, 1)*ownedPerCore))}
}

// Assign returns the address of the relay for each executor of a pool, by the executor's ID. Executors
// that the owner should call itself are left out. A relay is in the data centre of its executors. A change
// of the members or of the targets changes few assignments, because each change opens connections.
func Assign(pool string, members []Member, targets []Target, limits Limits) map[string]string {
	assigned := make(map[string]string)
	if len(targets) < limits.MinExecutors {
		return assigned
	}
	byDataCentre := make(map[string][]Target)
	for _, t := range targets {
		byDataCentre[t.DataCentre] = append(byDataCentre[t.DataCentre], t)
	}
	for dataCentre, local := range byDataCentre {
		relays := relaysIn(dataCentre, pool, members, len(local), limits.ExecutorsPerRelay)
		for _, t := range local {
			if address := nearest(t.ID, relays); address != "" {
				assigned[t.ID] = address
			}
		}
	}
	return assigned
}

// relayCount returns how many relays call a number of executors. It grows in steps of about a third, so
// that it seldom changes while hosts come and go.
func relayCount(executors, perRelay int) int {
	needed := (executors + perRelay - 1) / perRelay
	n := 1
	for n < needed {
		n += max(1, n/3)
	}
	return n
}

// relaysIn returns the addresses of the members of a data centre that are relays of the pool for a number
// of executors.
func relaysIn(dataCentre, pool string, members []Member, executors, perRelay int) []string {
	var addresses []string
	leastCores := math.Inf(1)
	for _, m := range members {
		if m.DataCentre == dataCentre && !m.IsOwner {
			addresses = append(addresses, m.Address)
			leastCores = min(leastCores, cmp.Or(m.Cores, 1))
		}
	}
	if len(addresses) == 0 {
		return nil
	}
	if perRelay == 0 {
		perRelay = max(minPerRelay, int(leastCores*relayedPerCore))
	}
	n := relayCount(executors, perRelay)
	slices.SortFunc(addresses, func(a, b string) int { return cmp.Compare(weight(pool, b), weight(pool, a)) })
	return addresses[:min(n, len(addresses))]
}

// nearest returns the address with the highest rendezvous weight for an executor, or "" if there is none.
func nearest(executor string, addresses []string) string {
	best := ""
	for _, a := range addresses {
		if best == "" || weight(executor, a) > weight(executor, best) {
			best = a
		}
	}
	return best
}

func weight(key, address string) uint64 { return xxhash.Sum64String(key + "\x00" + address) }
