package bwnode

import (
	"context"
	"strings"
	"time"

	"basilwood.example/basilwood/bwfleet"
	"basilwood.example/basilwood/bwmaintenance"
	"basilwood.example/basilwood/bwmesh"
)

// hostsRole is the name of the role of the host coordinator, which nodes claim like the
// ownership of a pool. It is not a valid name of a pool.
const hostsRole = "~hosts"

// role is a function that this process performs while it holds an owner's key: the owner of a
// pool or the host coordinator.
type role interface {
	Run(ctx context.Context)
	Stop(ctx context.Context) bool
	Fence() int64
}

// newCoordinator returns the host coordinator that holds the given key.
func (n *Node) newCoordinator(key string, fence int64) *bwmaintenance.Coordinator {
	return bwmaintenance.NewCoordinator(bwmaintenance.Deps{
		Hosts:            n.deps.Hosts,
		Pools:            poolClient{n},
		Store:            n.deps.Store,
		Clock:            n.deps.Clock,
		Log:              n.log,
		Waves:            n.waves,
		Configuration:    n.Configuration,
		OwnedPools:       n.ownedPools,
		EncodeWaveStatus: n.deps.Registry.EncodeWaveStatus,
		IsConfirmed:      n.isConfirmed,
		OnLost:           func(reason string) { n.roleLost(hostsRole, reason) },
	}, n.maintenanceSettings, key, fence, n.handoverDelay)
}

// ownedPools returns the names of the pools that need an owner.
func (n *Node) ownedPools() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.configuration == nil {
		return nil
	}
	return n.poolNames()
}

// waves returns the maintenance waves that operators have requested.
func (n *Node) waves() []bwfleet.Wave {
	items, _ := n.operatorKeys.Items()
	var waves []bwfleet.Wave
	for key, item := range items {
		if !strings.HasPrefix(key, n.deps.Registry.WavePrefix) {
			continue
		}
		w, err := n.deps.Registry.DecodeWave(item)
		if err != nil {
			n.log.Error("failed to decode a wave", "key", key, "error", err.Error())
			continue
		}
		waves = append(waves, w)
	}
	return waves
}

// poolClient calls the owners of pools on behalf of the coordinator.
type poolClient struct {
	*Node
}

// Survey requests a survey from the owner of a pool. The survey of an owner that was replaced
// is rejected, because that owner does not know which tasks its successor starts.
func (p poolClient) Survey(ctx context.Context, pool string) (bwmaintenance.Survey, bool) {
	survey, known := p.surveyOwner(ctx, pool)
	p.mu.Lock()
	defer p.mu.Unlock()
	owner, isOwned := p.view.Owner(pool)
	return survey, known && isOwned && owner.Revision == survey.Fence
}

func (p poolClient) surveyOwner(ctx context.Context, pool string) (bwmaintenance.Survey, bool) {
	o, address := p.ownerOf(pool)
	switch {
	case o != nil:
		return o.Survey()
	case address == "":
		return bwmaintenance.Survey{}, false
	default:
		survey, err := p.deps.Mesh.Survey(ctx, address, pool)
		p.calls.record(peerCall{method: "survey", address: address, pool: pool}, err)
		return survey, err == nil
	}
}

// Cordon asks the owner of a pool to drain an executor and reports whether the executor is
// empty. The reply of an owner that was replaced is rejected.
func (p poolClient) Cordon(ctx context.Context, pool, executor string, d time.Duration) bool {
	isEmpty, fence := p.cordon(ctx, pool, executor, d)
	p.mu.Lock()
	defer p.mu.Unlock()
	owner, isOwned := p.view.Owner(pool)
	return isEmpty && isOwned && owner.Revision == fence
}

func (p poolClient) cordon(ctx context.Context, pool, executor string, d time.Duration) (bool, int64) {
	o, address := p.ownerOf(pool)
	switch {
	case o != nil:
		return o.Cordon(executor, d), o.Fence()
	case address == "":
		return false, 0
	}
	isEmpty, fence, err := p.deps.Mesh.Cordon(ctx, address, pool, executor, d)
	if err != nil {
		p.log.Warn("failed to cordon an executor", "pool", pool, "executor", executor, "error", err.Error())
		return false, 0
	}
	return isEmpty, fence
}

// Survey returns the survey of a pool that this node owns to the coordinator on another node.
func (s server) Survey(_ context.Context, r *bwmesh.SurveyRequest) (*bwmesh.SurveyReply, error) {
	o := s.localOwner(r.GetPool())
	if o == nil {
		return &bwmesh.SurveyReply{}, nil
	}
	return bwmesh.EncodeSurvey(o.Survey()), nil
}

// Cordon cordons an executor of a pool that this node owns for the coordinator on another
// node.
func (s server) Cordon(_ context.Context, r *bwmesh.CordonRequest) (*bwmesh.CordonReply, error) {
	o := s.localOwner(r.GetPool())
	if o == nil {
		return &bwmesh.CordonReply{}, nil
	}
	isEmpty := o.Cordon(r.GetExecutor(), time.Duration(r.GetForMillis())*time.Millisecond)
	return &bwmesh.CordonReply{Empty: isEmpty, Fence: o.Fence()}, nil
}
