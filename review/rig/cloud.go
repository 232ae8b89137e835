package rig

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// upkeepTime is how long a machine is down for its upkeep, maintenance_s of the settings.
const upkeepTime = 2 * time.Second

// Cloud is a stand-in for the platform's service of machines. Each executor is a machine, whose
// name is that of the executor without the prefix of its id.
type Cloud struct {
	// Delay returns how late a call for the upkeep of a machine is carried out; such a call gets no
	// answer. A call that is not delayed has Delay 0.
	Delay func(machine string) time.Duration

	rig      *Rig
	mu       sync.Mutex
	changing map[string]string
	fences   map[string]int64
	Upkeeps  []Upkeep
}

// Upkeep is the upkeep of one machine.
type Upkeep struct {
	Machine string
	BeganAt time.Time
	EndedAt time.Time
}

func machineOf(e *Executor) string { return "m" + strings.TrimPrefix(e.ID, "i") }

// MachineOf returns the name of an executor's machine.
func MachineOf(e *Executor) string { return machineOf(e) }

// ServeHTTP implements the protocol of the service.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/basilwood/machines":
		c.serveList(w)
	case "/basilwood/machine-upkeep":
		c.serveUpkeep(w, r)
	default:
		reply(w, http.StatusBadRequest, struct{}{})
	}
}

func (c *Cloud) serveList(w http.ResponseWriter) {
	c.mu.Lock()
	defer c.mu.Unlock()
	machines := []map[string]any{}
	for _, e := range c.rig.Executors {
		state := "up"
		if s := c.changing[machineOf(e)]; s != "" {
			state = s
		}
		machines = append(machines, map[string]any{"machine": machineOf(e), "pool": e.Service, "state": state, "zone": "zone-a",
			"labels": []string{"a", e.Rack}, "capacity": map[string]int64{"cpu": e.CPU, "mem_mb": e.Memory, "gpu": 0}, "id": e.CurrentID()})
	}
	reply(w, http.StatusOK, map[string]any{"machines": machines, "next_token": nil})
}

func (c *Cloud) serveUpkeep(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Machine string `json:"machine"`
		Wave    int64  `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, struct{}{})
		return
	}
	fence, _ := strconv.ParseInt(r.Header.Get("Fence-Token"), 10, 64)
	if c.Delay != nil {
		if d := c.Delay(body.Machine); d > 0 {
			c.rig.Log.Add("cloud: upkeep of %s, fence %d: no answer, carried out %s later", body.Machine, fence, d)
			time.AfterFunc(d, func() {
				status, reason := c.upkeep(body.Machine, fence)
				c.rig.Log.Add("cloud: late upkeep of %s carried out: %d %s", body.Machine, status, reason)
			})
			<-r.Context().Done()
			return
		}
	}
	status, reason := c.upkeep(body.Machine, fence)
	c.rig.Log.Add("cloud: upkeep of %s, fence %d: %d %s", body.Machine, fence, status, reason)
	reply(w, status, map[string]string{"reason": reason})
}

// upkeep begins the upkeep of a machine unless it has had it.
func (c *Cloud) upkeep(machine string, fence int64) (int, string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.fences == nil {
		c.fences = make(map[string]int64)
	}
	if fence < c.fences[machine] {
		return http.StatusConflict, "fence"
	}
	c.fences[machine] = fence
	for _, u := range c.Upkeeps {
		if u.Machine == machine {
			return http.StatusOK, ""
		}
	}
	for _, e := range c.rig.Executors {
		if machineOf(e) != machine {
			continue
		}
		n := len(c.Upkeeps)
		c.Upkeeps = append(c.Upkeeps, Upkeep{Machine: machine, BeganAt: time.Now()})
		c.changing[machine] = "upkeep"
		c.rig.Log.Add("cloud: upkeep of %s begins", machine)
		e.Crash()
		c.rig.Store.Remove("servers/" + e.ID)
		time.AfterFunc(upkeepTime, func() {
			e.Renew()
			c.mu.Lock()
			defer c.mu.Unlock()
			c.Upkeeps[n].EndedAt = time.Now()
			delete(c.changing, machine)
			c.rig.Log.Add("cloud: upkeep of %s ends", machine)
		})
		return http.StatusOK, ""
	}
	return http.StatusBadRequest, ""
}
