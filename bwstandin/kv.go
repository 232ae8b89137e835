package bwstandin

import (
	"context"
	"errors"
	"math/rand/v2"
	"sort"
	"strings"
	"sync"
	"time"

	"basilwood.example/basilwood/bwkv"
)

// kvLatency is the simulated latency of each call.
const kvLatency = 4 * time.Millisecond

// errKVUnavailable is returned by calls while the service is unavailable.
var errKVUnavailable = errors.New("stand-in: key-value service is unavailable")

// KV is an in-memory stand-in for the platform's key-value service with the types of bwkv. It
// has multi-key transactions, leases, and watches over a history that can be compacted. It
// is called directly rather than over HTTP, so it works in tests with simulated time. It is
// safe for concurrent use.
type KV struct {
	mu                sync.Mutex
	random            *rand.Rand
	revision          int64
	compactedRevision int64
	items             map[string]kvItem
	history           []bwkv.Item
	leases            map[int64]*kvLease
	lastLeaseID       int64
	changed           chan struct{}
	isUnavailable     bool
	replyLossRatio    float64
	lateApplyRatio    float64
}

type kvItem struct {
	bwkv.Item
	leaseID int64
}

type kvLease struct {
	ttl       time.Duration
	expiresAt time.Time
}

// NewKV returns an empty key-value service. Its random choices derive from seed.
func NewKV(seed uint64) *KV {
	return &KV{
		random:   rand.New(rand.NewPCG(seed, seed)),
		revision: 1,
		items:    make(map[string]kvItem),
		leases:   make(map[int64]*kvLease),
		changed:  make(chan struct{}),
	}
}

// SetUnavailable makes every call fail, or restores the service. Leases keep expiring while
// the service is unavailable.
func (k *KV) SetUnavailable(isUnavailable bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.isUnavailable = isUnavailable
}

// SetReplyLoss sets the fraction of transactions whose replies are lost, and the fraction of
// those that are applied only after a random delay of 1 to 6 seconds.
func (k *KV) SetReplyLoss(replyLossRatio, lateApplyRatio float64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.replyLossRatio, k.lateApplyRatio = replyLossRatio, lateApplyRatio
}

// Compact discards the history, so that watches from earlier revisions fail with
// bwkv.ErrCompacted.
func (k *KV) Compact() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.compactedRevision = k.revision
	k.history = nil
	k.notifyWatches()
}

// Put sets a key unconditionally, as operators and executors do.
func (k *KV) Put(key string, value []byte) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.commit(bwkv.Transaction{Set: []bwkv.Write{{Key: key, Value: value}}})
}

// Delete removes a key unconditionally, as an executor does when it deregisters.
func (k *KV) Delete(key string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.commit(bwkv.Transaction{Remove: []string{key}})
}

// beginCall waits for the simulated latency, acquires the lock and expires leases. Unless it
// returns an error, the caller must release the lock.
func (k *KV) beginCall(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(kvLatency):
	}
	k.mu.Lock()
	if k.isUnavailable {
		k.mu.Unlock()
		return errKVUnavailable
	}
	k.expireLeases()
	return nil
}

// expireLeases removes the leases that have expired and their keys.
func (k *KV) expireLeases() {
	now := time.Now()
	for id, l := range k.leases {
		if now.After(l.expiresAt) {
			k.endLease(id)
		}
	}
}

func (k *KV) endLease(id int64) {
	delete(k.leases, id)
	var t bwkv.Transaction
	for key, item := range k.items {
		if item.leaseID == id {
			t.Remove = append(t.Remove, key)
		}
	}
	if len(t.Remove) > 0 {
		k.commit(t)
	}
}

// notifyWatches notifies the waiting watches of a change.
func (k *KV) notifyWatches() {
	close(k.changed)
	k.changed = make(chan struct{})
}

// commit applies a transaction without checking its expected revisions and returns the new
// revision.
func (k *KV) commit(t bwkv.Transaction) int64 {
	k.revision++
	for _, w := range t.Set {
		item := bwkv.Item{Key: w.Key, Value: append([]byte(nil), w.Value...), Revision: k.revision}
		k.items[w.Key] = kvItem{Item: item, leaseID: w.Lease}
		k.history = append(k.history, item)
	}
	for _, key := range t.Remove {
		if _, ok := k.items[key]; ok {
			delete(k.items, key)
			k.history = append(k.history, bwkv.Item{Key: key, Revision: k.revision, IsRemoved: true})
		}
	}
	k.notifyWatches()
	return k.revision
}

// commitIfMatching applies a transaction if all its expected revisions match and all its leases
// exist.
func (k *KV) commitIfMatching(t bwkv.Transaction) bwkv.Result {
	isMatching := true
	var items []bwkv.Item
	for _, e := range t.Expected {
		item, ok := k.items[e.Key]
		isMatching = isMatching && item.Revision == e.Revision
		if ok {
			items = append(items, item.Item)
		}
	}
	if !isMatching {
		return bwkv.Result{Outcome: bwkv.Conflict, Items: items}
	}
	for _, w := range t.Set {
		if w.Lease != 0 && k.leases[w.Lease] == nil {
			return bwkv.Result{Outcome: bwkv.LeaseGone}
		}
	}
	return bwkv.Result{Outcome: bwkv.Committed, Revision: k.commit(t)}
}

// Transact applies a transaction atomically.
func (k *KV) Transact(ctx context.Context, t bwkv.Transaction) bwkv.Result {
	if err := k.beginCall(ctx); err != nil {
		return bwkv.Result{Outcome: bwkv.NotDone}
	}
	defer k.mu.Unlock()
	if len(t.Expected)+len(t.Set)+len(t.Remove) > bwkv.MaxEntries {
		return bwkv.Result{Outcome: bwkv.NotDone}
	}
	if k.random.Float64() >= k.replyLossRatio {
		return k.commitIfMatching(t)
	}
	if k.random.Float64() < k.lateApplyRatio {
		delay := time.Second + time.Duration(k.random.Int64N(int64(5*time.Second)))
		time.AfterFunc(delay, func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.expireLeases()
			k.commitIfMatching(t)
		})
	} else {
		k.commitIfMatching(t)
	}
	return bwkv.Result{Outcome: bwkv.Unanswered}
}

// Get returns the item of a key.
func (k *KV) Get(ctx context.Context, key string) (bwkv.Item, error) {
	if err := k.beginCall(ctx); err != nil {
		return bwkv.Item{}, err
	}
	defer k.mu.Unlock()
	item, ok := k.items[key]
	if !ok {
		return bwkv.Item{}, bwkv.ErrNotFound
	}
	return item.Item, nil
}

// List returns the items under a prefix, sorted by key, and the current revision.
func (k *KV) List(ctx context.Context, prefix string) ([]bwkv.Item, int64, error) {
	if err := k.beginCall(ctx); err != nil {
		return nil, 0, err
	}
	defer k.mu.Unlock()
	var items []bwkv.Item
	for key, item := range k.items {
		if strings.HasPrefix(key, prefix) {
			items = append(items, item.Item)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	return items, k.revision, nil
}

// Watch waits for at most wait until there are changes under a prefix after a revision. It
// returns the changes and the current revision.
func (k *KV) Watch(ctx context.Context, prefix string, after int64, wait time.Duration) ([]bwkv.Item, int64, error) {
	deadline := time.After(wait)
	for {
		if err := k.beginCall(ctx); err != nil {
			return nil, 0, err
		}
		if after < k.compactedRevision {
			k.mu.Unlock()
			return nil, 0, bwkv.ErrCompacted
		}
		var events []bwkv.Item
		for _, item := range k.history {
			if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
				events = append(events, item)
			}
		}
		revision, changed := k.revision, k.changed
		k.mu.Unlock()
		if len(events) > 0 {
			return events, revision, nil
		}
		select {
		case <-ctx.Done():
			return nil, 0, ctx.Err()
		case <-deadline:
			return nil, revision, nil
		case <-changed:
		}
	}
}

// GrantLease creates a lease and returns its id and TTL.
func (k *KV) GrantLease(ctx context.Context, ttl time.Duration) (int64, time.Duration, error) {
	if err := k.beginCall(ctx); err != nil {
		return 0, 0, err
	}
	defer k.mu.Unlock()
	k.lastLeaseID++
	k.leases[k.lastLeaseID] = &kvLease{ttl: ttl, expiresAt: time.Now().Add(ttl)}
	return k.lastLeaseID, ttl, nil
}

// KeepLease renews a lease for its full TTL.
func (k *KV) KeepLease(ctx context.Context, id int64) error {
	if err := k.beginCall(ctx); err != nil {
		return err
	}
	defer k.mu.Unlock()
	l := k.leases[id]
	if l == nil {
		return bwkv.ErrNotFound
	}
	l.expiresAt = time.Now().Add(l.ttl)
	return nil
}

// EndLease revokes a lease and removes its keys.
func (k *KV) EndLease(ctx context.Context, id int64) error {
	if err := k.beginCall(ctx); err != nil {
		return err
	}
	defer k.mu.Unlock()
	k.endLease(id)
	return nil
}

// RemoveLeasedKeys removes the keys of all leases in one transaction, as the service does for
// clients that it has disconnected. The leases remain valid, so renewing them doesn't show
// that the keys are gone.
func (k *KV) RemoveLeasedKeys() {
	k.mu.Lock()
	defer k.mu.Unlock()
	var t bwkv.Transaction
	for key, item := range k.items {
		if item.leaseID != 0 {
			t.Remove = append(t.Remove, key)
		}
	}
	k.commit(t)
}
