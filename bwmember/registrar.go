package bwmember

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwstore"
	"github.com/hashicorp/go-hclog"
	"github.com/samber/oops"
)

const (
	// LeaseTTL is how long a registration remains after its last renewal.
	LeaseTTL = 5 * time.Second
	// RenewInterval is the interval between renewals of the lease.
	RenewInterval = 1500 * time.Millisecond
)

// NewIncarnation returns a unique id for one run of the process with the given id. The
// incarnations of a process sort by start time.
func NewIncarnation(id string, now bwclock.Time) string {
	const sortableWidth = 9
	start := strconv.FormatInt(now.Millis(), 36)
	return fmt.Sprintf("%s-%0*s-%04x", id, sortableWidth, start, rand.N(1<<16))
}

// store is the part of the key-value client that a Registrar uses.
type store interface {
	Get(ctx context.Context, key string) (bwstore.Entry, error)
	Put(ctx context.Context, class bwstore.Class, key string, value []byte, expected int64, lease bwstore.LeaseID) bwstore.WriteResult
	GrantLease(ctx context.Context, ttl time.Duration) (bwstore.LeaseID, error)
	RenewLease(ctx context.Context, id bwstore.LeaseID) (bool, error)
	RevokeLease(ctx context.Context, id bwstore.LeaseID) error
}

// Registrar keeps a process registered in the store under a lease.
type Registrar struct {
	store store
	key   string
	beat  *bwpeer.Beat
	log   hclog.Logger

	// turn is a mutex that can be awaited together with a context. It serializes calls to
	// the store and guards lease.
	turn  chan struct{}
	lease bwstore.LeaseID
}

// NewRegistrar returns a registrar that stores beat under key.
func NewRegistrar(s store, key string, beat *bwpeer.Beat, log hclog.Logger) *Registrar {
	return &Registrar{store: s, key: key, beat: beat, log: log, turn: make(chan struct{}, 1)}
}

// Run renews the registration until ctx is done. It registers again after the lease has
// expired.
func (r *Registrar) Run(ctx context.Context) {
	t := time.NewTicker(RenewInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		if err := r.keep(ctx); err != nil {
			r.log.Warn("registration failed", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// take acquires the lock. It returns false if ctx is done first.
func (r *Registrar) take(ctx context.Context) bool {
	select {
	case r.turn <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Registrar) give() { <-r.turn }

// keep renews the lease, or registers if there is no lease or it has expired.
func (r *Registrar) keep(ctx context.Context) error {
	if !r.take(ctx) {
		return ctx.Err()
	}
	defer r.give()
	if r.lease != bwstore.NoLease {
		ok, err := r.store.RenewLease(ctx, r.lease)
		if ok || err != nil {
			return err
		}
	}
	return r.register(ctx)
}

func (r *Registrar) register(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, LeaseTTL)
	defer cancel()
	lease, err := r.store.GrantLease(ctx, LeaseTTL)
	if err != nil {
		return err
	}
	current, err := r.store.Get(ctx, r.key)
	if err != nil {
		return err
	}
	if r.isReplaced(current) {
		return oops.In("bwmember").Errorf("a newer incarnation of %s is registered", r.beat.GetId())
	}
	value, err := bwcodec.Marshal(r.beat)
	if err != nil {
		return err
	}
	result := r.store.Put(ctx, bwstore.ClassMembership, r.key, value, current.Revision(), lease)
	if result.Status() != bwstore.Written {
		return oops.In("bwmember").Errorf("write registration of %s: %s", r.beat.GetId(), result.Status())
	}
	r.lease = lease
	r.log.Info("registered", "revision", result.Revision())
	return nil
}

// isReplaced reports whether a newer incarnation of the same process holds the key.
func (r *Registrar) isReplaced(current bwstore.Entry) bool {
	if current.IsDeleted() {
		return false
	}
	other := new(bwpeer.Beat)
	return bwcodec.Unmarshal(current.Value(), other) == nil && other.GetIncarnation() > r.beat.GetIncarnation()
}

// Leave revokes the lease, which removes the registration. If that fails, the
// registration remains until the lease expires.
func (r *Registrar) Leave(ctx context.Context) {
	if !r.take(ctx) {
		return
	}
	defer r.give()
	if r.lease == bwstore.NoLease {
		return
	}
	if err := r.store.RevokeLease(ctx, r.lease); err != nil {
		r.log.Warn("failed to revoke lease; the registration remains until the lease expires", "error", err)
	}
}
