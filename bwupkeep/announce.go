package bwupkeep

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
	forgetInterval = time.Second
)

// orderList is the stored list of hosts that the coordinator may have ordered. A host is
// added before its order is issued, so that the next coordinator has to wait only for the
// listed hosts and can order all others at once. No host gets orders from two coordinators
// within the platform's bound.
type announcer struct {
	stored map[string]bool
	// keepUntil is the time from which each host may be removed from the list.
	until    map[string]bwclock.Time
	storedAt bwclock.Time
	revision int64
	// isUncertain is set after a write of the list that is not known to be committed.
	isUncertain bool
}

// loadOrders reads the hosts that the previous coordinator may have ordered and excludes them
// from orders until the handover delay is over.
func (d *Duty) inherit() bool {
	item, err := d.deps.Store.Get(d.ctx, ordersKey)
	if errors.Is(err, bwkv.ErrNotFound) {
		item, err = bwkv.Item{}, nil
	}
	var hosts []string
	if err == nil && len(item.Value) > 0 {
		err = json.Unmarshal(item.Value, &hosts)
	}
	if err != nil {
		d.log.Warn("failed to read the orders of the previous coordinator", "error", err.Error())
		return false
	}
	now := d.deps.Clock.Now()
	d.announced = &announcer{stored: make(map[string]bool), until: make(map[string]bwclock.Time), revision: item.Revision}
	for _, h := range hosts {
		d.announced.stored[h] = true
		d.announced.until[h] = now.Add(d.quiet)
	}
	d.planner.Keep(hosts, now.Add(d.quiet))
	d.log.Info("orders of the earlier holder read", "hosts", len(hosts), "wait", d.quiet.String())
	return true
}

// prepareOrders stores the hosts of the orders among the actions and reports whether the
// orders may be issued. Hosts that are already on the stored list need no write.
func (d *Duty) announce(actions []Action) bool {
	a := d.announced
	now := d.deps.Clock.Now()
	isNew := a.isUncertain
	var hosts []string
	for _, action := range actions {
		if action.Kind == Maintain || action.Kind == Move {
			hosts = append(hosts, action.Host)
			isNew = isNew || !a.stored[action.Host]
		}
	}
	if len(hosts) == 0 {
		return true
	}
	if isNew && !d.storeOrders(hosts, now) {
		return false
	}
	for _, h := range hosts {
		a.until[h] = now.Add(d.quiet + answeredMargin)
	}
	return true
}

// extendRetention keeps a host on the list for longer after an unanswered order, which may be
// executed late.
func (d *Duty) unanswered(host string) {
	d.announced.until[host] = d.deps.Clock.Now().Add(d.quiet + unansweredMargin)
}

// pruneOrders removes expired hosts from the stored list, so that a new coordinator does not
// wait for them.
func (d *Duty) forget() {
	now := d.deps.Clock.Now()
	if now.Sub(d.announced.storedAt) < forgetInterval {
		return
	}
	for h := range d.announced.stored {
		if !now.Before(d.announced.until[h]) {
			d.storeOrders(nil, now)
			return
		}
	}
}

// storeOrders writes the list with the given hosts added and the expired ones removed. It
// reports whether the write was committed.
func (d *Duty) storeOrders(hosts []string, now bwclock.Time) bool {
	a := d.announced
	wanted := make(map[string]bool)
	for _, h := range hosts {
		wanted[h] = true
	}
	for h := range a.stored {
		if now.Before(a.until[h]) {
			wanted[h] = true
		}
	}
	list := make([]string, 0, len(wanted))
	for h := range wanted {
		list = append(list, h)
	}
	sort.Strings(list)
	value, err := json.Marshal(list)
	if err != nil {
		d.log.Error("failed to encode the list of ordered hosts", "error", err.Error())
		return false
	}
	a.storedAt = now
	r := d.deps.Store.Transact(d.ctx, bwkv.Transaction{
		Expected: []bwkv.Expectation{{Key: d.key, Revision: d.fence}, {Key: ordersKey, Revision: a.revision}},
		Set:      []bwkv.Write{{Key: ordersKey, Value: value}},
	})
	a.isUncertain = r.Outcome != bwkv.Committed
	switch r.Outcome {
	case bwkv.Committed:
		a.stored, a.revision = wanted, r.Revision
		return true
	case bwkv.Conflict:
		if r.ItemOf(d.key).Revision != d.fence {
			d.lost("another holder has the duty's key")
			return false
		}
		// An earlier write whose reply was lost has been committed.
		a.revision = r.ItemOf(ordersKey).Revision
	}
	d.log.Warn("list of ordered hosts not stored", "newHosts", len(hosts), "outcome", r.Outcome.String())
	return false
}
