package bwnode

import (
	"slices"
	"strings"

	"basilwood.example/basilwood/bwownership"
	"basilwood.example/basilwood/bwrelay"
)

// newRelayClient returns a client of the executors of a pool that this node owns. The caller must hold
// n.mu, and closes it with closeRelayClient.
func (n *Node) newRelayClient(pool string) *bwrelay.Client {
	limits := n.relayLimits
	if limits == (bwrelay.Limits{}) {
		limits = bwrelay.LimitsFor(n.identity.Cores)
	}
	c := bwrelay.NewClient(pool, n.deps.Executors, n.deps.Mesh.Conn, n.deps.Clock, n.log,
		bwrelay.WithLimits(limits), bwrelay.WithMetrics(n.deps.Metrics.Relay()))
	n.relayClients[pool] = c
	c.SetMembers(n.relayMembers)
	c.SetTargets(n.relayTargets(pool))
	return c
}

func (n *Node) closeRelayClient(pool string, c *bwrelay.Client) {
	if c == nil {
		return
	}
	c.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.relayClients[pool] == c {
		delete(n.relayClients, pool)
	}
}

// setRelayMembers tells all clients which nodes may be relays: those that have told their data centre.
// The caller must hold n.mu.
func (n *Node) setRelayMembers(members []bwownership.Member, owners map[string]bwownership.Owner, dataCentres map[string]string) {
	isOwner := make(map[string]bool)
	for _, o := range owners {
		if !o.IsReleased {
			isOwner[o.Incarnation] = true
		}
	}
	var list []bwrelay.Member
	for _, m := range members {
		if dataCentre := dataCentres[m.Incarnation]; dataCentre != "" {
			list = append(list, bwrelay.Member{Address: m.Address, DataCentre: dataCentre, Cores: m.Cores, IsOwner: isOwner[m.Incarnation]})
		}
	}
	slices.SortFunc(list, func(a, b bwrelay.Member) int { return strings.Compare(a.Address, b.Address) })
	n.relayMembers = slices.Compact(list)
	for _, c := range n.relayClients {
		c.SetMembers(n.relayMembers)
	}
}

// setRelayTargets tells all clients which executors their pools have. The caller must hold n.mu.
func (n *Node) setRelayTargets() {
	for pool, c := range n.relayClients {
		c.SetTargets(n.relayTargets(pool))
	}
}

// relayTargets returns the executors of a pool, sorted by ID. The caller must hold n.mu.
func (n *Node) relayTargets(pool string) []bwrelay.Target {
	var list []bwrelay.Target
	for _, r := range n.registrations[pool] {
		list = append(list, bwrelay.Target{ID: r.ID, DataCentre: r.DataCentre})
	}
	slices.SortFunc(list, func(a, b bwrelay.Target) int { return strings.Compare(a.ID, b.ID) })
	return list
}
