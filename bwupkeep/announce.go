package bwupkeep

import (
	"encoding/json"
	"errors"
	"sort"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwkv"
)

// ordersKey holds the hosts that the holder of the duty may have ordered of late.
const ordersKey = "hosts/orders"

const (
	// answeredMargin is how much longer than the wait of a new holder a host stays on the
	// stored list after an order; it covers the way of the order.
	answeredMargin = 400 * time.Millisecond
	// unansweredMargin is added for an order without an answer, which may be carried out
	// seconds later.
	unansweredMargin = 2 * time.Second
	// forgetInterval is the least time between two writes that only shorten the list.
	forgetInterval = time.Second
)

// announcer stores which hosts the duty is about to order, before it does. The next holder
// then has to wait with those only: no host gets orders of two holders within the platform's
// bound, and all others can move at once.
type announcer struct {
	stored map[string]bool
	// until is when each host may leave the list.
	until    map[string]bwclock.Time
	storedAt bwclock.Time
	revision int64
	// isUncertain is set while the latest write has no answer.
	isUncertain bool
}

// inherit reads the hosts that the earlier holder may have ordered. They count as ordered
// until the time for which a new holder has to wait is over.
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
		d.log.Warn("orders of the earlier holder cannot be read", "error", err.Error())
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

// announce stores the hosts of orders that are about to be given, and reports whether they
// may be given. Hosts that are on the stored list need no write.
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

// unanswered keeps a host on the list for longer after an order that may be carried out late.
func (d *Duty) unanswered(host string) {
	d.announced.until[host] = d.deps.Clock.Now().Add(d.quiet + unansweredMargin)
}

// forget shortens the stored list, so that a new holder does not wait without need.
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

// storeOrders writes the list with some hosts added and those left out that were ordered
// long ago.
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
		d.log.Error("list of ordered hosts cannot be encoded", "error", err.Error())
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
		// An earlier write without an answer has been carried out.
		a.revision = r.ItemOf(ordersKey).Revision
	}
	d.log.Warn("list of ordered hosts not stored", "newHosts", len(hosts), "outcome", r.Outcome.String())
	return false
}
