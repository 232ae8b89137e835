package bwnode

import (
	"basilwood.example/basilwood/bwowner"
)

// State is a snapshot of a node's view of the system, for the state dump.
type State struct {
	Node          string               `json:"node"`
	Incarnation   string               `json:"incarnation"`
	Configuration int64                `json:"configurationVersion"`
	IsStopping    bool                 `json:"isStopping"`
	IsConfirmed   bool                 `json:"isLeaseConfirmed"`
	Members       int                  `json:"members"`
	Owners        map[string]string    `json:"owners"`
	Pools         []bwowner.PoolStatus `json:"pools"`
	// OperatorsAge and NodesAge are the times since the mirrors of the store were last up to
	// date, in milliseconds.
	OperatorsAge int64 `json:"operatorsAgeMillis"`
	NodesAge     int64 `json:"nodesAgeMillis"`
}

// Dump returns a snapshot of the node's current view.
func (n *Node) Dump() State {
	now := n.deps.Clock.Now()
	n.mu.Lock()
	s := State{
		Node:         n.identity.Name,
		Incarnation:  n.incarnation,
		IsStopping:   n.isStopping,
		IsConfirmed:  n.lease.isConfirmed(),
		Members:      n.view.MemberCount(),
		Owners:       make(map[string]string),
		OperatorsAge: now.Sub(n.operatorKeys.FreshAt()).Milliseconds(),
		NodesAge:     now.Sub(n.nodeKeys.FreshAt()).Milliseconds(),
	}
	if n.configuration != nil {
		s.Configuration = n.configuration.Version()
		for _, name := range n.roleNames() {
			if o, ok := n.view.Owner(name); ok {
				s.Owners[name] = o.Incarnation
			}
		}
	}
	owners := n.localOwners()
	n.mu.Unlock()
	for _, o := range owners {
		s.Pools = append(s.Pools, o.Dump())
	}
	return s
}
