package bwaccount

import (
	"context"
	"fmt"
	"strings"
	"time"

	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwstore"
	"github.com/hashicorp/go-hclog"
)

const (
	// FlushInterval is the time between two flushes. When an entry is killed, the outcomes
	// since its last flush are lost unless another entry holds them.
	FlushInterval = time.Second
	// RingSlots is the number of batches that one incarnation of an entry keeps in the
	// store; a new batch overwrites the oldest one.
	RingSlots = 512
	// maxBatchAccounts keeps a batch within the size limit of a store value.
	maxBatchAccounts = 1500
	flushTimeout     = 5 * time.Second
	keyPrefix        = "accounts/"
)

// store is the part of the key-value client that this package uses.
type store interface {
	Put(ctx context.Context, class bwstore.WriteClass, key string, value []byte, expected int64, lease bwstore.LeaseID) bwstore.WriteResult
	List(ctx context.Context, prefix string) (bwstore.Listing, error)
}

// Writer writes the accounts of a recorder to the store.
type Writer struct {
	recorder      *Recorder
	store         store
	incarnation   string
	log           hclog.Logger
	sequence      int64
	slotRevisions map[int64]int64
}

// NewWriter returns a writer for one incarnation of an entry.
func NewWriter(r *Recorder, s store, incarnation string, log hclog.Logger) *Writer {
	return &Writer{recorder: r, store: s, incarnation: incarnation, log: log, slotRevisions: make(map[int64]int64)}
}

// Run flushes at each FlushInterval until ctx ends.
func (w *Writer) Run(ctx context.Context) {
	t := time.NewTicker(FlushInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			w.Flush(ctx)
		}
	}
}

// Flush stores every account that is not stored yet. After a failed write, the remaining
// accounts stay in memory until the next flush.
func (w *Writer) Flush(ctx context.Context) {
	for {
		list := w.recorder.takeDirty(maxBatchAccounts)
		if len(list) == 0 {
			return
		}
		if !w.writeBatch(ctx, list) {
			w.recorder.markDirty(list)
			return
		}
	}
}

func (w *Writer) writeBatch(ctx context.Context, list []*Account) bool {
	value, err := bwcodec.MarshalBinary(&Batch{Accounts: list})
	if err != nil {
		w.log.Error("failed to encode accounts", "error", err)
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, flushTimeout)
	defer cancel()
	slot := w.sequence % RingSlots
	key := fmt.Sprintf("%s%s/%03d", keyPrefix, w.incarnation, slot)
	r := w.store.Put(ctx, bwstore.ClassAccounts, key, value, w.slotRevisions[slot], bwstore.NoLease)
	if r.Status() == bwstore.NotWritten {
		w.log.Warn("failed to store accounts; retrying at the next flush", "count", len(list))
		return false
	}
	// The slot counts as used even if the write conflicted or its result is unknown. The next
	// flush then writes the accounts again to the next slot.
	w.sequence++
	w.slotRevisions[slot] = r.Revision()
	return r.Status() == bwstore.Written
}

// ListStored reads the selected accounts of an incarnation from the store, or those of
// every incarnation if incarnation is empty.
func ListStored(ctx context.Context, s store, incarnation string, q Query) ([]*Account, error) {
	listPrefix := keyPrefix
	if incarnation != "" {
		listPrefix += incarnation + "/"
	}
	listing, err := s.List(ctx, listPrefix)
	if err != nil {
		return nil, err
	}
	var found []*Account
	for _, e := range listing.Entries() {
		b := new(Batch)
		if err := bwcodec.UnmarshalBinary(e.Value(), b); err != nil {
			return nil, err
		}
		for _, a := range b.GetAccounts() {
			if q.Matches(a) {
				found = append(found, a)
			}
		}
	}
	return found, nil
}

// IncarnationOf returns the incarnation of the entry that issued a request id, or "" if
// the id has another form.
func IncarnationOf(requestID string) string {
	i := strings.LastIndexByte(requestID, '-')
	if i < 0 {
		return ""
	}
	return requestID[:i]
}
