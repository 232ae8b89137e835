package bwnode

import (
	"context"
	"strings"
	"time"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwmesh"
	"basilwood.example/basilwood/bwupkeep"
)

// dutyHosts stands beside the pools as a thing to be owned. No pool has such a name.
const dutyHosts = "~hosts"

// task is what this process does under an owner's key: the work of a pool, or the duty for
// hosts.
type task interface {
	Run(ctx context.Context)
	Stop(ctx context.Context) bool
	Fence() int64
}

// newDuty returns the duty for hosts under a key of the store.
func (n *Node) newDuty(key string, fence int64) *bwupkeep.Coordinator {
	return bwupkeep.NewCoordinator(bwupkeep.Deps{
		Hosts:            n.deps.Hosts,
		Pools:            pools{n},
		Store:            n.deps.Store,
		Clock:            n.deps.Clock,
		Log:              n.log,
		Waves:            n.waves,
		Configuration:    n.Configuration,
		EncodeWaveStatus: n.deps.Registry.EncodeWaveStatus,
		IsConfirmed:      n.isConfirmed,
		OnLost:           func(reason string) { n.lost(dutyHosts, reason) },
	}, n.upkeep, key, fence, n.dutyLease)
}

// waves returns the waves that operators ask for.
func (n *Node) waves() []bwfleet.Wave {
	items, _ := n.operators.Items()
	var waves []bwfleet.Wave
	for key, item := range items {
		if !strings.HasPrefix(key, n.deps.Registry.WavePrefix) {
			continue
		}
		w, err := n.deps.Registry.DecodeWave(item)
		if err != nil {
			n.log.Error("wave cannot be read", "key", key, "error", err.Error())
			continue
		}
		waves = append(waves, w)
	}
	return waves
}

// pools reaches the owners of pools for the duty.
type pools struct {
	*Node
}

// Survey asks the owner of a pool. An owner that has been replaced does not count: it does
// not know what its successor starts.
func (p pools) Survey(ctx context.Context, pool string) (bwupkeep.Survey, bool) {
	survey, known := p.askOwner(ctx, pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	owner, isOwned := p.view.Owner(pool)
	return survey, known && isOwned && owner.Revision == survey.Fence
}

func (p pools) askOwner(ctx context.Context, pool string) (bwupkeep.Survey, bool) {
	o, address := p.ownerOf(pool)
	switch {
	case o != nil:
		return o.Survey()
	case address == "":
		return bwupkeep.Survey{}, false
	default:
		survey, err := p.deps.Mesh.Survey(ctx, address, pool)
		p.reach.note(question{call: "survey", address: address, pool: pool}, err)
		return survey, err == nil
	}
}

// Cordon asks the owner of a pool to empty an executor. What an owner says that has been
// replaced does not count.
func (p pools) Cordon(ctx context.Context, pool, executor string, d time.Duration) bool {
	isEmpty, fence := p.cordon(ctx, pool, executor, d)
	p.mu.Lock()
	defer p.mu.Unlock()
	owner, isOwned := p.view.Owner(pool)
	return isEmpty && isOwned && owner.Revision == fence
}

func (p pools) cordon(ctx context.Context, pool, executor string, d time.Duration) (bool, int64) {
	o, address := p.ownerOf(pool)
	switch {
	case o != nil:
		return o.Cordon(executor, d), o.Fence()
	case address == "":
		return false, 0
	}
	isEmpty, fence, err := p.deps.Mesh.Cordon(ctx, address, pool, executor, d)
	if err != nil {
		p.log.Warn("executor not cordoned", "pool", pool, "executor", executor, "error", err.Error())
		return false, 0
	}
	return isEmpty, fence
}

// Survey answers the duty of another node.
func (s server) Survey(_ context.Context, r *bwmesh.SurveyRequest) (*bwmesh.SurveyReply, error) {
	o := s.local(r.GetPool())
	if o == nil {
		return &bwmesh.SurveyReply{}, nil
	}
	return bwmesh.EncodeSurvey(o.Survey()), nil
}

// Cordon empties an executor for the duty of another node.
func (s server) Cordon(_ context.Context, r *bwmesh.CordonRequest) (*bwmesh.CordonReply, error) {
	o := s.local(r.GetPool())
	if o == nil {
		return &bwmesh.CordonReply{}, nil
	}
	isEmpty := o.Cordon(r.GetExecutor(), time.Duration(r.GetForMillis())*time.Millisecond)
	return &bwmesh.CordonReply{Empty: isEmpty, Fence: o.Fence()}, nil
}
