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
// incarnations of a process sort by start time, which is padded to a fixed width.
func NewIncarnation(id string, now bwclock.Time) string {
	const startWidth = 9
	start := strconv.FormatInt(now.Millis(), 36)
	return fmt.Sprintf("%s-%0*s-%04x", id, startWidth, start, rand.N(1<<16))
}

// store is the part of the key-value client that a Registrar uses.
type store interface {
	Get(ctx context.Context, key string) (bwstore.Entry, error)
	Put(ctx context.Context, class bwstore.WriteClass, key string, value []byte, expected int64, lease bwstore.LeaseID) bwstore.WriteResult
	GrantLease(ctx context.Context, ttl time.Duration) (bwstore.LeaseID, error)
	RenewLease(ctx context.Context, id bwstore.LeaseID) (bool, error)
	RevokeLease(ctx context.Context, id bwstore.LeaseID) error
}

// Registrar keeps a process registered in the store under a lease.
type Registrar struct {
	store     store
	key       string
	heartbeat *bwpeer.Beat
	log       hclog.Logger

	// lock is a mutex whose acquisition can be cancelled by a context. It serializes calls
	// to the store and guards lease.
	lock  chan struct{}
	lease bwstore.LeaseID
}

// NewRegistrar returns a registrar that stores heartbeat under key.
func NewRegistrar(s store, key string, heartbeat *bwpeer.Beat, log hclog.Logger) *Registrar {
	return &Registrar{store: s, key: key, heartbeat: heartbeat, log: log, lock: make(chan struct{}, 1)}
}

// Run renews the registration until ctx is done. It registers again after the lease has
// expired.
func (r *Registrar) Run(ctx context.Context) {
	t := time.NewTicker(RenewInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		if err := r.ensureRegistered(ctx); err != nil {
			r.log.Warn("registration failed", "error", err)
		}
		select {
		case <-ctx.Done():
		case <-t.C:
		}
	}
}

// acquire acquires the lock. It returns false if ctx is done first.
func (r *Registrar) acquire(ctx context.Context) bool {
	select {
	case r.lock <- struct{}{}:
		return true
	case <-ctx.Done():
		return false
	}
}

func (r *Registrar) release() { <-r.lock }

// ensureRegistered renews the lease, or registers if there is no lease or it has expired.
func (r *Registrar) ensureRegistered(ctx context.Context) error {
	if !r.acquire(ctx) {
		return ctx.Err()
	}
	defer r.release()
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
	if r.isSuperseded(current) {
		return oops.In("bwmember").Errorf("a newer incarnation of %s is registered", r.heartbeat.GetId())
	}
	value, err := bwcodec.Marshal(r.heartbeat)
	if err != nil {
		return err
	}
	result := r.store.Put(ctx, bwstore.ClassMembership, r.key, value, current.Revision(), lease)
	if result.Status() != bwstore.Written {
		return oops.In("bwmember").Errorf("write registration of %s: %s", r.heartbeat.GetId(), result.Status())
	}
	r.lease = lease
	r.log.Info("registered", "revision", result.Revision())
	return nil
}

// isSuperseded reports whether a newer incarnation of the same process holds the key.
func (r *Registrar) isSuperseded(current bwstore.Entry) bool {
	if current.IsDeleted() {
		return false
	}
	registered := new(bwpeer.Beat)
	return bwcodec.Unmarshal(current.Value(), registered) == nil && registered.GetIncarnation() > r.heartbeat.GetIncarnation()
}

// Deregister revokes the lease, which removes the registration. If that fails, the
// registration remains until the lease expires.
func (r *Registrar) Deregister(ctx context.Context) {
	if !r.acquire(ctx) {
		return
	}
	defer r.release()
	if r.lease == bwstore.NoLease {
		return
	}
	if err := r.store.RevokeLease(ctx, r.lease); err != nil {
		r.log.Warn("failed to revoke lease; the registration remains until the lease expires", "error", err)
	}
}
