// Package bwaccount keeps the true account of each request: what happened to it and
// how sure that is.
//
// A Book holds the accounts that one entry knows, in memory, and a Writer stores them
// in batches. The batches of one run of an entry form a ring of store keys under the
// entry's incarnation, so their number is bounded. A request id starts with the
// incarnation of the entry that received it, which tells where to look.
package bwaccount

import (
	"sort"
	"sync"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwoutcome"
	"google.golang.org/protobuf/proto"
)

// Book holds the accounts that one entry knows. It is safe for concurrent use.
type Book struct {
	capacity int

	mu       sync.Mutex
	accounts map[string]*Account
	order    []string
	dirty    map[string]bool
}

// NewBook returns a book that forgets its oldest accounts beyond capacity.
func NewBook(capacity int) *Book {
	return &Book{capacity: capacity, accounts: make(map[string]*Account), dirty: make(map[string]bool)}
}

// Open starts the account of a request.
func (b *Book) Open(a *Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.accounts[a.GetRequestId()] == nil {
		b.order = append(b.order, a.GetRequestId())
	}
	b.accounts[a.GetRequestId()] = a
	for len(b.order) > b.capacity {
		delete(b.accounts, b.order[0])
		delete(b.dirty, b.order[0])
		b.order = b.order[1:]
	}
}

// Note adds an event to the account of a request.
func (b *Book) Note(requestID string, events ...*Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[requestID]; a != nil {
		a.Events = append(a.Events, events...)
	}
}

// Close records the outcome of a request and, if store is set, has it stored.
func (b *Book) Close(requestID string, o *bwoutcome.Outcome, store bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.accounts[requestID]
	if a == nil {
		return
	}
	a.Outcome = o.GetKind()
	a.Reason = o.GetReason()
	a.Status = o.GetStatus()
	a.Replayed = o.GetReplayed()
	a.Final = true
	if store {
		b.dirty[requestID] = true
	}
}

// Len returns the number of accounts.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.accounts)
}

// copiesPerLock bounds the accounts that are copied while requests wait for the lock.
const copiesPerLock = 32

// takeDirty returns copies of the accounts that wait to be stored and clears the mark.
func (b *Book) takeDirty(limit int) []*Account {
	var list []*Account
	for len(list) < limit {
		part := b.takeSome(min(copiesPerLock, limit-len(list)))
		if len(part) == 0 {
			break
		}
		list = append(list, part...)
	}
	return list
}

func (b *Book) takeSome(limit int) []*Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []*Account
	for id := range b.dirty {
		if len(list) == limit {
			break
		}
		list = append(list, proto.CloneOf(b.accounts[id]))
		delete(b.dirty, id)
	}
	return list
}

// markDirty has the accounts stored again after a failed write.
func (b *Book) markDirty(list []*Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range list {
		if b.accounts[a.GetRequestId()] != nil {
			b.dirty[a.GetRequestId()] = true
		}
	}
}

// Query selects accounts. Empty fields select all.
type Query struct {
	requestID string
	key       string
	caller    string
	since     bwclock.Time
}

// ByRequest selects the accounts of one request.
func ByRequest(id string) Query { return Query{requestID: id} }

// ByKey selects the accounts of an idempotency key.
func ByKey(key string) Query { return Query{key: key} }

// ByCaller selects the accounts of a caller since a moment.
func ByCaller(caller string, since bwclock.Time) Query { return Query{caller: caller, since: since} }

// Matches reports whether a is selected.
func (q Query) Matches(a *Account) bool {
	switch {
	case q.requestID != "":
		return a.GetRequestId() == q.requestID
	case q.key != "":
		return a.GetIdempotencyKey() == q.key
	}
	return a.GetCaller() == q.caller && a.GetReceivedMillis() >= q.since.Millis()
}

// Find returns copies of the selected accounts.
func (b *Book) Find(q Query) []*Account {
	b.mu.Lock()
	defer b.mu.Unlock()
	if q.requestID != "" {
		if a := b.accounts[q.requestID]; a != nil {
			return []*Account{proto.CloneOf(a)}
		}
		return nil
	}
	var list []*Account
	for _, id := range b.order {
		if a := b.accounts[id]; q.Matches(a) {
			list = append(list, proto.CloneOf(a))
		}
	}
	return list
}

// Merge joins what several entries know into one account for each request, in order of
// arrival. The account of the receiving entry decides the outcome once it is final.
func Merge(lists ...[]*Account) []*Account {
	byID := make(map[string]*Account)
	for _, list := range lists {
		for _, a := range list {
			byID[a.GetRequestId()] = mergeTwo(byID[a.GetRequestId()], a)
		}
	}
	merged := make([]*Account, 0, len(byID))
	for _, a := range byID {
		sort.SliceStable(a.Events, func(i, j int) bool {
			return a.Events[i].GetAtMillis() < a.Events[j].GetAtMillis()
		})
		merged = append(merged, a)
	}
	sort.Slice(merged, func(i, j int) bool {
		if merged[i].GetReceivedMillis() != merged[j].GetReceivedMillis() {
			return merged[i].GetReceivedMillis() < merged[j].GetReceivedMillis()
		}
		return merged[i].GetRequestId() < merged[j].GetRequestId()
	})
	return merged
}

func mergeTwo(a, b *Account) *Account {
	if a == nil {
		return b
	}
	if weight(b) > weight(a) {
		a, b = b, a
	}
	for _, e := range b.GetEvents() {
		if !hasEvent(a, e) {
			a.Events = append(a.Events, e)
		}
	}
	return a
}

// weight orders accounts by how much they decide.
func weight(a *Account) int {
	w := 0
	if a.GetFinal() {
		w += 2
	}
	if a.GetReceiver() {
		w++
	}
	return w
}

func hasEvent(a *Account, e *Event) bool {
	for _, own := range a.GetEvents() {
		if proto.Equal(own, e) {
			return true
		}
	}
	return false
}
