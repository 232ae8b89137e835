package bwcontroller

import (
	"encoding/json"
	"io"
	"net/http"

	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwpool"
	"basilwood.example/basilwood/bwstore"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"
)

// MoveRequest is the JSON request to move a host to another pool.
type MoveRequest struct {
	ToPool string `json:"toPool"`
}

// moveHost grants a permit for a move. The controller that the pool is assigned to then
// executes the move.
func (c *Controller) moveHost(r *http.Request) response {
	name := mux.Vars(r)["name"]
	var m MoveRequest
	input, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxInputBytes))
	if err == nil {
		err = json.Unmarshal(input, &m)
	}
	if err != nil {
		return errorResponse(http.StatusBadRequest, "invalid", "the body is not a move: "+err.Error())
	}
	snapshot := c.replica.Snapshot()
	h := snapshot.Host(name)
	switch {
	case h == nil:
		return errorResponse(http.StatusNotFound, "notFound", "no such host: "+name)
	case snapshot.Pool(m.ToPool) == nil:
		return errorResponse(http.StatusUnprocessableEntity, "invalid", "no such pool: "+m.ToPool)
	case h.GetPool() == m.ToPool:
		return errorResponse(http.StatusConflict, "refused", "the host belongs to that pool already")
	case !c.isHostListFresh():
		return errorResponse(http.StatusServiceUnavailable, "unavailable", "the platform's host list is too old to grant a permit by")
	}
	return c.updatePool(r, h.GetPool(), func(p *bwpool.Pool) response {
		hosts := c.hostViews(c.replica.Snapshot(), p.GetName())
		refusal := bwpool.CheckPermit(p, hosts, name)
		if refusal != bwpool.Allowed {
			return errorResponse(http.StatusConflict, "refused", refusal.String())
		}
		permit := &bwpool.Permit{Id: uuid.NewString(), Host: name, Kind: bwpool.PermitKind_move, ToPool: m.ToPool}
		p.AddPermit(permit, hosts, c.clock.Now())
		return response{}
	})
}

// updatePool changes a stored pool by compare-and-swap.
func (c *Controller) updatePool(r *http.Request, name string, change func(*bwpool.Pool) response) response {
	return c.updateKey(r, bwconfig.PoolKey(name), func(old bwstore.Entry) (proto.Message, response) {
		if old.IsDeleted() {
			return nil, errorResponse(http.StatusNotFound, "notFound", "no such pool: "+name)
		}
		p := new(bwpool.Pool)
		if err := bwcodec.Unmarshal(old.Value(), p); err != nil {
			return nil, errorResponse(http.StatusInternalServerError, "invalid", err.Error())
		}
		return p, change(p)
	})
}

// changeWave starts, pauses, resumes or cancels the maintenance wave of a pool. Permits
// that are already granted are completed in every case.
func (c *Controller) changeWave(r *http.Request) response {
	action := mux.Vars(r)["action"]
	return c.updatePool(r, mux.Vars(r)["name"], func(p *bwpool.Pool) response {
		state := p.GetWave().GetState()
		isOpen := state == bwpool.WaveState_running || state == bwpool.WaveState_paused
		switch {
		case action == "start" && !isOpen:
			p.Wave = &bwpool.Wave{
				Id:            uuid.NewString(),
				State:         bwpool.WaveState_running,
				StartedMillis: c.clock.Now().Millis(),
			}
		case action == "pause" && state == bwpool.WaveState_running:
			p.Wave.State = bwpool.WaveState_paused
		case action == "resume" && state == bwpool.WaveState_paused:
			p.Wave.State = bwpool.WaveState_running
		case action == "cancel" && isOpen:
			p.Wave.State = bwpool.WaveState_cancelled
			p.Wave.EndedMillis = c.clock.Now().Millis()
		default:
			return errorResponse(http.StatusConflict, "refused", "the wave is "+state.String())
		}
		return response{}
	})
}

// MaintenanceStatus is the JSON form of the maintenance progress of a pool.
type MaintenanceStatus struct {
	Pool    string         `json:"pool"`
	Wave    string         `json:"wave"`
	State   string         `json:"state"`
	Hosts   int            `json:"hosts"`
	Done    int            `json:"done"`
	Permits []PermitStatus `json:"permits"`
}

// PermitStatus is the JSON form of the progress of one host's permit.
type PermitStatus struct {
	Host string `json:"host"`
	Kind string `json:"kind"`
	Step string `json:"step"`
	// WaitsFor is the reason why the permit cannot advance, or empty.
	WaitsFor string `json:"waitsFor,omitempty"`
	// StepMillis is when the step was reached, in milliseconds since the Unix epoch.
	StepMillis int64  `json:"stepMillis"`
	ToPool     string `json:"toPool,omitempty"`
}

func (c *Controller) getMaintenance(r *http.Request) response {
	name := mux.Vars(r)["name"]
	p, _, err := c.readPool(r.Context(), name)
	if err != nil {
		return unavailableResponse(err)
	}
	if p == nil {
		return errorResponse(http.StatusNotFound, "notFound", "no such pool: "+name)
	}
	return okResponse(c.maintenanceStatus(p))
}

func (c *Controller) maintenanceStatus(p *bwpool.Pool) MaintenanceStatus {
	s := MaintenanceStatus{
		Pool:    p.GetName(),
		Wave:    p.GetWave().GetId(),
		State:   p.GetWave().GetState().String(),
		Hosts:   len(c.replica.Snapshot().PoolHosts(p.GetName())),
		Done:    len(p.GetWave().GetDone()),
		Permits: []PermitStatus{},
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, permit := range p.GetPermits() {
		s.Permits = append(s.Permits, PermitStatus{
			Host:       permit.GetHost(),
			Kind:       permit.GetKind().String(),
			Step:       permit.GetStep().String(),
			WaitsFor:   c.waitReasons[permit.GetId()],
			StepMillis: permit.GetStepMillis(),
			ToPool:     permit.GetToPool(),
		})
	}
	return s
}
