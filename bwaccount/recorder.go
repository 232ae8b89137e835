// Package bwaccount records the account of each request: its events, its outcome and
// whether the outcome is certain.
//
// A Recorder holds the accounts of one entry in memory, and a Writer stores them in
// batches. The batches of one incarnation of an entry form a ring of store keys, so their
// number is bounded. A request id starts with the incarnation of the entry that received
// the request, which tells under which keys its account is stored.
package bwaccount

import (
	"sort"
	"sync"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwoutcome"
	"google.golang.org/protobuf/proto"
)

// Recorder records the accounts of the requests that one entry received or ran. It is safe
// for concurrent use.
type Recorder struct {
	capacity int

	mu       sync.Mutex
	accounts map[string]*Account
	idsByAge []string
	dirty    map[string]bool
}

// NewRecorder returns a recorder that drops the oldest accounts beyond capacity.
func NewRecorder(capacity int) *Recorder {
	return &Recorder{capacity: capacity, accounts: make(map[string]*Account), dirty: make(map[string]bool)}
}

// Add adds the account of a request and replaces an earlier account of that request.
func (r *Recorder) Add(a *Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.accounts[a.GetRequestId()] == nil {
		r.idsByAge = append(r.idsByAge, a.GetRequestId())
	}
	r.accounts[a.GetRequestId()] = a
	for len(r.idsByAge) > r.capacity {
		delete(r.accounts, r.idsByAge[0])
		delete(r.dirty, r.idsByAge[0])
		r.idsByAge = r.idsByAge[1:]
	}
}

// AddEvents appends events to the account of a request. It does nothing if the account is
// not in memory.
func (r *Recorder) AddEvents(requestID string, events ...*Event) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if a := r.accounts[requestID]; a != nil {
		a.Events = append(a.Events, events...)
	}
}

// SetOutcome records the final outcome of a request. If persist is set, the next flush
// stores the account.
func (r *Recorder) SetOutcome(requestID string, o *bwoutcome.Outcome, persist bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	a := r.accounts[requestID]
	if a == nil {
		return
	}
	a.Outcome = o.GetKind()
	a.Reason = o.GetReason()
	a.Status = o.GetStatus()
	a.Replayed = o.GetReplayed()
	a.Final = true
	if persist {
		r.dirty[requestID] = true
	}
}

// Len returns the number of accounts in memory.
func (r *Recorder) Len() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.accounts)
}

// maxClonesPerLock limits the accounts that are cloned each time the lock is held, because
// requests wait for the lock meanwhile.
const maxClonesPerLock = 32

// takeDirty returns clones of at most limit accounts that are not stored yet and marks
// them as clean.
func (r *Recorder) takeDirty(limit int) []*Account {
	var list []*Account
	for len(list) < limit {
		chunk := r.takeDirtyChunk(min(maxClonesPerLock, limit-len(list)))
		if len(chunk) == 0 {
			break
		}
		list = append(list, chunk...)
	}
	return list
}

func (r *Recorder) takeDirtyChunk(limit int) []*Account {
	r.mu.Lock()
	defer r.mu.Unlock()
	var list []*Account
	for id := range r.dirty {
		if len(list) == limit {
			break
		}
		list = append(list, proto.CloneOf(r.accounts[id]))
		delete(r.dirty, id)
	}
	return list
}

// markDirty marks accounts as not stored after a failed write, unless they have been
// dropped since.
func (r *Recorder) markDirty(list []*Account) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, a := range list {
		if r.accounts[a.GetRequestId()] != nil {
			r.dirty[a.GetRequestId()] = true
		}
	}
}

// Query selects accounts by request id, by idempotency key, or by caller and time.
type Query struct {
	requestID      string
	idempotencyKey string
	caller         string
	since          bwclock.Time
}

// ByRequest selects the accounts of one request.
func ByRequest(id string) Query { return Query{requestID: id} }

// ByIdempotencyKey selects the accounts of the requests with an idempotency key.
func ByIdempotencyKey(idempotencyKey string) Query { return Query{idempotencyKey: idempotencyKey} }

// ByCaller selects the accounts of the requests of a caller received at or after since.
func ByCaller(caller string, since bwclock.Time) Query { return Query{caller: caller, since: since} }

// Matches reports whether the query selects a.
func (q Query) Matches(a *Account) bool {
	switch {
	case q.requestID != "":
		return a.GetRequestId() == q.requestID
	case q.idempotencyKey != "":
		return a.GetIdempotencyKey() == q.idempotencyKey
	}
	return a.GetCaller() == q.caller && a.GetReceivedMillis() >= q.since.Millis()
}

// Find returns clones of the accounts in memory that the query selects.
func (r *Recorder) Find(q Query) []*Account {
	r.mu.Lock()
	defer r.mu.Unlock()
	if q.requestID != "" {
		if a := r.accounts[q.requestID]; a != nil {
			return []*Account{proto.CloneOf(a)}
		}
		return nil
	}
	var list []*Account
	for _, id := range r.idsByAge {
		if a := r.accounts[id]; q.Matches(a) {
			list = append(list, proto.CloneOf(a))
		}
	}
	return list
}

// Merge merges the accounts of several entries into one account for each request, sorted
// by arrival time. A final account determines the outcome; if there are several, that of the
// receiving entry does.
func Merge(lists ...[]*Account) []*Account {
	byID := make(map[string]*Account)
	for _, list := range lists {
		for _, a := range list {
			byID[a.GetRequestId()] = mergePair(byID[a.GetRequestId()], a)
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

func mergePair(a, b *Account) *Account {
	if a == nil {
		return b
	}
	if mergePrecedence(b) > mergePrecedence(a) {
		a, b = b, a
	}
	for _, e := range b.GetEvents() {
		if !hasEvent(a, e) {
			a.Events = append(a.Events, e)
		}
	}
	return a
}

// mergePrecedence ranks the accounts of a request for a merge: a final account ranks
// higher, and among equals that of the receiving entry.
func mergePrecedence(a *Account) int {
	precedence := 0
	if a.GetFinal() {
		precedence += 2
	}
	if a.GetReceiver() {
		precedence++
	}
	return precedence
}

func hasEvent(a *Account, e *Event) bool {
	for _, existing := range a.GetEvents() {
		if proto.Equal(existing, e) {
			return true
		}
	}
	return false
}
