// Package bwkv defines the values exchanged with the key-value service: items, transactions
// and their outcomes.
//
// The package has no client. Its users declare interfaces with the calls that they need,
// package platform implements them, and tests use an in-memory emulation.
package bwkv

import "errors"

// MaxEntries is the maximum number of expectations, writes and removals in one transaction
// together.
const MaxEntries = 32

// Errors returned by reads and lease calls.
var (
	// ErrCompacted means that the history after the given revision has been compacted, so
	// that changes since then cannot be listed.
	ErrCompacted = errors.New("history is compacted")
	// ErrNotFound means that there is no such key or lease.
	ErrNotFound = errors.New("not found")
)

// Item is the state of a key as of a revision: its value, or its removal.
type Item struct {
	Key       string
	Value     []byte
	Revision  int64
	IsRemoved bool
}

// Expectation is a precondition of a transaction: the revision that a key must have, or 0 if
// the key must not exist.
type Expectation struct {
	Key      string
	Revision int64
}

// Write sets a key. If Lease is not 0, the key is attached to that lease.
type Write struct {
	Key   string
	Value []byte
	Lease int64
}

// Transaction is applied atomically if all of its expectations hold.
type Transaction struct {
	Expected []Expectation
	Set      []Write
	Remove   []string
}

// Outcome is the result of a transaction.
type Outcome int

// The outcomes of transactions.
const (
	// Unanswered means that the transaction may have been applied or may be applied later.
	Unanswered Outcome = iota
	Committed
	// Conflict means that an expectation did not hold, so that nothing was applied.
	Conflict
	// LeaseGone means that a lease named in the transaction does not exist.
	LeaseGone
	// NotDone means that the transaction was refused or never sent, so that it is certain
	// not to be applied.
	NotDone
)

// String returns the outcome in camel case.
func (o Outcome) String() string {
	return [...]string{"unanswered", "committed", "conflict", "leaseGone", "notDone"}[o]
}

// Result is the reply to a transaction.
type Result struct {
	Outcome  Outcome
	Revision int64
	// Items holds the current state of the expected keys after a Conflict.
	Items []Item
}

// ItemOf returns the state of a key in the result. The revision of an absent key is 0.
func (r Result) ItemOf(key string) Item {
	for _, item := range r.Items {
		if item.Key == key {
			return item
		}
	}
	return Item{Key: key, IsRemoved: true}
}
