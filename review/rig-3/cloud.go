package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// maintenanceTime is how long a machine is away for its upkeep.
const maintenanceTime = 2 * time.Second

// machine is a host. Its executor changes with each upkeep.
type machine struct {
	id       string
	executor *executor
	isUpkeep bool
	fence    int64
	done     map[int64]bool
}

// cloud is a stand-in of the platform's host service.
type cloud struct {
	fleet *fleet

	mu       sync.Mutex
	machines []*machine
	// next numbers the executors that come after an upkeep.
	next int
}

// startCloud lists the executors so far as machines and serves the calls for them.
func (f *fleet) startCloud() error {
	c := &cloud{fleet: f, next: len(f.executors)}
	for i, e := range f.executors {
		c.machines = append(c.machines, &machine{id: fmt.Sprintf("m-%02d", i), executor: e, done: make(map[int64]bool)})
	}
	f.cloudAt = f.address(3)
	l, err := net.Listen("tcp", f.cloudAt)
	if err != nil {
		return err
	}
	go func() { _ = http.Serve(l, c) }()
	return nil
}

// ServeHTTP implements http.Handler.
func (c *cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/basilwood/machines":
		c.list(w)
	case "/basilwood/machine-upkeep":
		c.upkeep(w, r)
	default:
		// There is one pool, to which each machine belongs already.
		writeJSON(w, http.StatusOK, struct{}{})
	}
}

func (c *cloud) list(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	list := []map[string]any{}
	for _, m := range c.machines {
		entry := map[string]any{
			"machine": m.id, "pool": m.executor.pool, "state": "up", "zone": m.executor.zone, "labels": []string{"a", m.executor.rack},
			"capacity": map[string]any{"cpu": executorCPU, "mem_mb": executorMemory, "gpu": 0}, "id": m.executor.id,
		}
		if m.isUpkeep {
			entry["state"], entry["id"] = "upkeep", ""
		}
		list = append(list, entry)
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": list, "next_token": nil})
}

func (c *cloud) upkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	fence, err := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.machines {
		if m.id != body.Machine {
			continue
		}
		switch {
		case fence < m.fence:
			writeJSON(w, http.StatusConflict, map[string]string{"reason": "fence"})
		case m.done[body.Wave]:
			writeJSON(w, http.StatusOK, struct{}{})
		case m.isUpkeep:
			writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
		default:
			m.fence, m.isUpkeep, m.done[body.Wave] = fence, true, true
			c.fleet.record("upkeep", m.id, fmt.Sprintf("begins, wave %d", body.Wave))
			m.executor.leave()
			time.AfterFunc(maintenanceTime, func() { c.finish(m) })
			writeJSON(w, http.StatusOK, struct{}{})
		}
		return
	}
	writeJSON(w, http.StatusBadRequest, struct{}{})
}

// finish starts the executor that comes after an upkeep.
func (c *cloud) finish(m *machine) {
	c.mu.Lock()
	defer c.mu.Unlock()
	old := m.executor
	e := &executor{fleet: c.fleet, id: fmt.Sprintf("i-%02d", c.next), pool: old.pool, zone: old.zone, rack: old.rack, address: c.fleet.address(100 + c.next)}
	c.next++
	if err := e.start(); err != nil {
		c.fleet.record("upkeep", m.id, "cannot start its executor: "+err.Error())
		return
	}
	m.executor, m.isUpkeep = e, false
	c.fleet.mu.Lock()
	c.fleet.executors = append(c.fleet.executors, e)
	c.fleet.mu.Unlock()
	c.fleet.record("upkeep", m.id, "over, executor "+e.id)
}
