// Package bwsearch finds accounts in the memory of the running entries and, for entries
// that have stopped, in the store.
package bwsearch

import (
	"context"
	"sync"
	"time"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwstore"
)

const searchTimeout = 2 * time.Second

// store is the part of the key-value client that a search uses.
type store interface {
	Put(ctx context.Context, class bwstore.WriteClass, key string, value []byte, expected int64, lease bwstore.LeaseID) bwstore.WriteResult
	List(ctx context.Context, prefix string) (bwstore.Listing, error)
}

// Result holds the accounts that a search found.
type Result struct {
	accounts   []*bwaccount.Account
	isComplete bool
}

// Accounts returns one account for each request, sorted by arrival time.
func (r Result) Accounts() []*bwaccount.Account { return r.accounts }

// IsComplete is false if accounts may be missing because an entry or the store did not
// answer.
func (r Result) IsComplete() bool { return r.isComplete }

// QueryOf converts a lookup request to a query.
func QueryOf(r *bwpeer.LookupRequest) bwaccount.Query {
	switch {
	case r.GetRequestId() != "":
		return bwaccount.ByRequest(r.GetRequestId())
	case r.GetIdempotencyKey() != "":
		return bwaccount.ByIdempotencyKey(r.GetIdempotencyKey())
	}
	return bwaccount.ByCaller(r.GetCaller(), bwclock.Time(r.GetSinceMillis()))
}

// Find looks the accounts up at the entries with the addresses and in the store, and
// merges them with local, which holds the accounts of this process. When r names a request
// and the receiving entry's final account is found, the result is complete and the store
// is not read.
func Find(ctx context.Context, p *bwpeer.ConnPool, addresses []string, s store, local []*bwaccount.Account, r *bwpeer.LookupRequest) Result {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	lists, isComplete := queryEntries(ctx, p, addresses, r)
	lists = append(lists, local)
	if r.GetRequestId() != "" && hasFinalFromReceiver(lists) {
		return Result{accounts: bwaccount.Merge(lists...), isComplete: true}
	}
	stored, err := queryStore(ctx, s, r)
	lists = append(lists, stored)
	return Result{accounts: bwaccount.Merge(lists...), isComplete: isComplete && err == nil}
}

func queryEntries(ctx context.Context, p *bwpeer.ConnPool, addresses []string, r *bwpeer.LookupRequest) ([][]*bwaccount.Account, bool) {
	var mu sync.Mutex
	var group sync.WaitGroup
	var lists [][]*bwaccount.Account
	isComplete := true
	for _, address := range addresses {
		group.Go(func() {
			reply, err := p.Client(ctx, address).Lookup(ctx, r)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				isComplete = false
				return
			}
			lists = append(lists, reply.GetAccounts())
		})
	}
	group.Wait()
	return lists, isComplete
}

// queryStore searches the stored batches of the receiving entry first. If they do not hold
// the request, it searches all batches, because a home stores the account itself if the
// receiving entry has stopped waiting for the outcome. A lookup without a request id searches
// all batches at once.
func queryStore(ctx context.Context, s store, r *bwpeer.LookupRequest) ([]*bwaccount.Account, error) {
	q := QueryOf(r)
	incarnation := bwaccount.IncarnationOf(r.GetRequestId())
	stored, err := bwaccount.ListStored(ctx, s, incarnation, q)
	if err != nil || len(stored) > 0 || incarnation == "" {
		return stored, err
	}
	return bwaccount.ListStored(ctx, s, "", q)
}

// hasFinalFromReceiver reports whether the lists contain a final account of the receiving
// entry.
func hasFinalFromReceiver(lists [][]*bwaccount.Account) bool {
	for _, list := range lists {
		for _, a := range list {
			if a.GetFinal() && a.GetReceiver() {
				return true
			}
		}
	}
	return false
}
