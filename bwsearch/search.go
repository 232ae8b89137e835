// Package bwsearch finds accounts wherever they are kept: in the memory of the entries
// and, for entries that are gone, in the store.
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

const timeout = 2 * time.Second

// store is what a search needs of the key-value service.
type store interface {
	Put(ctx context.Context, class bwstore.Class, key string, value []byte, expected int64, lease bwstore.LeaseID) bwstore.WriteResult
	List(ctx context.Context, prefix string) (bwstore.Listing, error)
}

// Found is the result of a search.
type Found struct {
	accounts   []*bwaccount.Account
	isComplete bool
}

// Accounts returns one account for each request, in order of arrival.
func (f Found) Accounts() []*bwaccount.Account { return f.accounts }

// IsComplete is false when the store or a known entry did not answer.
func (f Found) IsComplete() bool { return f.isComplete }

// QueryOf returns the selection that a lookup asks for.
func QueryOf(r *bwpeer.LookupRequest) bwaccount.Query {
	switch {
	case r.GetRequestId() != "":
		return bwaccount.ByRequest(r.GetRequestId())
	case r.GetIdempotencyKey() != "":
		return bwaccount.ByIdempotencyKey(r.GetIdempotencyKey())
	}
	return bwaccount.ByCaller(r.GetCaller(), bwclock.Time(r.GetSinceMillis()))
}

// Find asks the entries at the addresses and the store. Own holds what the process
// itself knows. The store is not asked when the receiver's final account is known.
func Find(ctx context.Context, p *bwpeer.Peers, addresses []string, s store, own []*bwaccount.Account, r *bwpeer.LookupRequest) Found {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	lists, isComplete := askEntries(ctx, p, addresses, r)
	lists = append(lists, own)
	if r.GetRequestId() != "" && hasFinal(lists) {
		return Found{accounts: bwaccount.Merge(lists...), isComplete: true}
	}
	stored, err := askStore(ctx, s, r)
	lists = append(lists, stored)
	return Found{accounts: bwaccount.Merge(lists...), isComplete: isComplete && err == nil}
}

func askEntries(ctx context.Context, p *bwpeer.Peers, addresses []string, r *bwpeer.LookupRequest) ([][]*bwaccount.Account, bool) {
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

// askStore reads the batches of the receiving entry first, and all batches when those
// hold nothing: a home stores an account itself when the receiver was lost.
func askStore(ctx context.Context, s store, r *bwpeer.LookupRequest) ([]*bwaccount.Account, error) {
	q := QueryOf(r)
	incarnation := bwaccount.IncarnationOf(r.GetRequestId())
	stored, err := bwaccount.ListStored(ctx, s, incarnation, q)
	if err != nil || len(stored) > 0 || incarnation == "" {
		return stored, err
	}
	return bwaccount.ListStored(ctx, s, "", q)
}

// hasFinal reports whether the receiver's final account is among the lists.
func hasFinal(lists [][]*bwaccount.Account) bool {
	for _, list := range lists {
		for _, a := range list {
			if a.GetFinal() && a.GetReceiver() {
				return true
			}
		}
	}
	return false
}
