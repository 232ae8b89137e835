// Package bwaccount records the account of each request: its events, its outcome and
// whether the outcome is certain.
//
// A Book holds the accounts of one entry in memory, and a Writer stores them in batches.
// The batches of one incarnation of an entry form a ring of store keys, so their number
// is bounded. A request id starts with the incarnation of the entry that received the
// request, which tells under which keys its account is stored.
package bwaccount

import (
	"sort"
	"sync"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwoutcome"
	"google.golang.org/protobuf/proto"
)

// Book records the accounts of the requests that one entry received or ran. It is safe
// for concurrent use.
type Book struct {
	capacity int

	mu       sync.Mutex
	accounts map[string]*Account
	order    []string
	dirty    map[string]bool
}

// NewBook returns a recorder that drops the oldest accounts beyond capacity.
func NewBook(capacity int) *Book {
	return &Book{capacity: capacity, accounts: make(map[string]*Account), dirty: make(map[string]bool)}
}

// Open adds the account of a request and replaces an earlier account of that request.
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

// Note appends events to the account of a request. It does nothing if the account is not
// in memory.
func (b *Book) Note(requestID string, events ...*Event) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if a := b.accounts[requestID]; a != nil {
		a.Events = append(a.Events, events...)
	}
}

// Close records the final outcome of a request. If persist is set, the next flush stores
// the account.
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

// Len returns the number of accounts in memory.
func (b *Book) Len() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.accounts)
}

// copiesPerLock limits the accounts that are cloned under one hold of the lock, because
// requests wait for the lock meanwhile.
const copiesPerLock = 32

// takeDirty returns clones of at most limit accounts that are not stored yet and marks
// them as clean.
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

// markDirty marks accounts as not stored after a failed write, unless they have been
// dropped since.
func (b *Book) markDirty(list []*Account) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, a := range list {
		if b.accounts[a.GetRequestId()] != nil {
			b.dirty[a.GetRequestId()] = true
		}
	}
}

// Query selects accounts by request id, by idempotency key, or by caller and time.
type Query struct {
	requestID string
	key       string
	caller    string
	since     bwclock.Time
}

// ByRequest selects the accounts of one request.
func ByRequest(id string) Query { return Query{requestID: id} }

// ByKey selects the accounts of the requests with an idempotency key.
func ByKey(key string) Query { return Query{key: key} }

// ByCaller selects the accounts of the requests of a caller received at or after since.
func ByCaller(caller string, since bwclock.Time) Query { return Query{caller: caller, since: since} }

// Matches reports whether the query selects a.
func (q Query) Matches(a *Account) bool {
	switch {
	case q.requestID != "":
		return a.GetRequestId() == q.requestID
	case q.key != "":
		return a.GetIdempotencyKey() == q.key
	}
	return a.GetCaller() == q.caller && a.GetReceivedMillis() >= q.since.Millis()
}

// Find returns clones of the accounts in memory that the query selects.
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

// Merge merges the accounts of several entries into one account for each request, sorted
// by arrival time. Once the account of the receiving entry is final, it determines the
// outcome.
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

// weight returns the precedence of an account in a merge: final accounts take precedence
// over others, then those of the receiving entry.
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
