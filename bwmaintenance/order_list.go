package bwmaintenance

import (
	"encoding/json"
	"errors"
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwkv"
)

// ordersKey is the key of the list of hosts that the coordinator may have ordered recently.
const ordersKey = "hosts/orders"

const (
	// answeredMargin is added to the handover delay to get the time for which a host stays
	// on the stored list after an order. It covers the transmission of the order.
	answeredMargin = 400 * time.Millisecond
	// unansweredMargin is used instead for an unanswered order, which may be executed
	// seconds later.
	unansweredMargin = 2 * time.Second
	// pruneInterval is the minimum time since the previous write before a write that only
	// removes hosts from the list.
	pruneInterval = time.Second
)

// orderList is the stored list of hosts that the coordinator may have ordered. A host is
// added before its order is issued, so that the next coordinator has to wait only for the
// listed hosts and can order all others at once. No host gets orders from two coordinators
// within the platform's bound.
type orderList struct {
	stored map[string]bool
	// keepUntil is the time from which each host may be removed from the list.
	keepUntil map[string]bwclock.Time
	storedAt  bwclock.Time
	revision  int64
	// isWriteUncertain is set after a write of the list that is not known to be committed.
	isWriteUncertain bool
}

// loadOrders reads the hosts that the previous coordinator may have ordered and excludes them
// from orders until the handover delay is over.
func (c *Coordinator) loadOrders() bool {
	item, err := c.deps.Store.Get(c.ctx, ordersKey)
	if errors.Is(err, bwkv.ErrNotFound) {
		item, err = bwkv.Item{}, nil
	}
	var hosts []string
	if err == nil && len(item.Value) > 0 {
		err = json.Unmarshal(item.Value, &hosts)
	}
	if err != nil {
		c.log.Warn("failed to read the orders of the previous coordinator", "error", err.Error())
		return false
	}
	now := c.deps.Clock.Now()
	c.orderList = &orderList{stored: make(map[string]bool), keepUntil: make(map[string]bwclock.Time), revision: item.Revision}
	for _, h := range hosts {
		c.orderList.stored[h] = true
		c.orderList.keepUntil[h] = now.Add(c.handoverDelay)
	}
	c.planner.Exclude(hosts, now.Add(c.handoverDelay))
	c.log.Info("orders of the earlier holder read", "hosts", len(hosts), "wait", c.handoverDelay.String())
	return true
}

// prepareOrders stores the hosts of the orders among the actions and reports whether the
// orders may be issued. Hosts that are already on the stored list need no write.
func (c *Coordinator) prepareOrders(actions []Action) bool {
	list := c.orderList
	now := c.deps.Clock.Now()
	needsWrite := list.isWriteUncertain
	var hosts []string
	for _, action := range actions {
		if action.Kind == Maintain || action.Kind == Move {
			hosts = append(hosts, action.Host)
			needsWrite = needsWrite || !list.stored[action.Host]
		}
	}
	if len(hosts) == 0 {
		return true
	}
	if needsWrite && !c.storeOrders(hosts, now) {
		return false
	}
	for _, h := range hosts {
		list.keepUntil[h] = now.Add(c.handoverDelay + answeredMargin)
	}
	return true
}

// extendRetention keeps a host on the list for longer after an unanswered order, which may be
// executed late.
func (c *Coordinator) extendRetention(host string) {
	c.orderList.keepUntil[host] = c.deps.Clock.Now().Add(c.handoverDelay + unansweredMargin)
}

// pruneOrders removes expired hosts from the stored list, so that a new coordinator does not
// wait for them.
func (c *Coordinator) pruneOrders() {
	now := c.deps.Clock.Now()
	if now.Sub(c.orderList.storedAt) < pruneInterval {
		return
	}
	for h := range c.orderList.stored {
		if !now.Before(c.orderList.keepUntil[h]) {
			c.storeOrders(nil, now)
			return
		}
	}
}

// storeOrders writes the list with the given hosts added and the expired ones removed. It
// reports whether the write was committed.
func (c *Coordinator) storeOrders(hosts []string, now bwclock.Time) bool {
	list := c.orderList
	wanted := make(map[string]bool)
	for _, h := range hosts {
		wanted[h] = true
	}
	for h := range list.stored {
		if now.Before(list.keepUntil[h]) {
			wanted[h] = true
		}
	}
	sorted := make([]string, 0, len(wanted))
	for h := range wanted {
		sorted = append(sorted, h)
	}
	sort.Strings(sorted)
	value, err := json.Marshal(sorted)
	if err != nil {
		c.log.Error("failed to encode the list of ordered hosts", "error", err.Error())
		return false
	}
	list.storedAt = now
	r := c.deps.Store.Transact(c.ctx, bwkv.Transaction{
		Expected: []bwkv.Expectation{{Key: c.key, Revision: c.fence}, {Key: ordersKey, Revision: list.revision}},
		Set:      []bwkv.Write{{Key: ordersKey, Value: value}},
	})
	list.isWriteUncertain = r.Outcome != bwkv.Committed
	switch r.Outcome {
	case bwkv.Committed:
		list.stored, list.revision = wanted, r.Revision
		return true
	case bwkv.Conflict:
		if r.ItemOf(c.key).Revision != c.fence {
			c.stepDown("another holder has the duty's key")
			return false
		}
		// An earlier write whose reply was lost has been committed.
		list.revision = r.ItemOf(ordersKey).Revision
	}
	c.log.Warn("list of ordered hosts not stored", "newHosts", len(hosts), "outcome", r.Outcome.String())
	return false
}
