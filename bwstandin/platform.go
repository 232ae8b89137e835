package bwstandin

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"basilwood.example/basilwood/bwplatform"
	"github.com/gorilla/mux"
)

// Executor is the part of a target that the platform controls. Target and RemoteTarget
// implement it.
type Executor interface {
	Name() string
	SetDraining(draining bool)
	SetDown(down bool)
	Busy() int
}

// Platform is a stand-in for the platform. It drains, stops, starts and reboots targets.
type Platform struct {
	board      *Switchboard
	mux        *mux.Router
	lag        time.Duration
	rebootTime time.Duration

	mu      sync.Mutex
	hosts   map[string]*platformHost
	listed  []bwplatform.HostReport
	listAt  time.Time
	applied map[string]bool
	log     []bwplatform.Order
}

type platformHost struct {
	target  Executor
	state   bwplatform.HostState
	running bool
	boots   int
	upAt    time.Time
}

// NewPlatform returns a platform that manages targets. Its host list is refreshed at most
// once every lag, and its reboots take rebootTime.
func NewPlatform(targets []Executor, lag, rebootTime time.Duration, seed uint64) *Platform {
	p := &Platform{
		board:      NewSwitchboard(seed),
		mux:        mux.NewRouter(),
		lag:        lag,
		rebootTime: rebootTime,
		hosts:      make(map[string]*platformHost),
		applied:    make(map[string]bool),
	}
	for _, t := range targets {
		p.hosts[t.Name()] = &platformHost{target: t, state: bwplatform.HostLive, running: true}
	}
	p.mux.HandleFunc("/v1/hosts", p.list).Methods(http.MethodGet)
	p.mux.HandleFunc("/v1/hosts/{host}", p.get).Methods(http.MethodGet)
	p.mux.HandleFunc("/v1/orders", p.order).Methods(http.MethodPost)
	return p
}

// Handler returns the platform's HTTP handler with fault injection.
func (p *Platform) Handler() http.Handler { return p.board.Wrap(p.mux) }

// Faults returns the platform's fault injector.
func (p *Platform) Faults() *Switchboard { return p.board }

// SetState sets the state of a host without an order, as when a host fails or recovers by
// itself.
func (p *Platform) SetState(host string, s bwplatform.HostState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[host]
	h.state = s
	h.target.SetDown(s == bwplatform.HostDown)
}

// Orders returns the orders that took effect, oldest first. Repeated orders are left out.
func (p *Platform) Orders() []bwplatform.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]bwplatform.Order(nil), p.log...)
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.listAt) >= p.lag || p.listed == nil {
		p.listAt = now
		p.listed = p.reports()
	}
	reply(w, http.StatusOK, p.listed)
}

func (p *Platform) reports() []bwplatform.HostReport {
	reports := make([]bwplatform.HostReport, 0, len(p.hosts))
	for name, h := range p.hosts {
		reports = append(reports, p.report(name, h))
	}
	sort.Slice(reports, func(i, j int) bool { return reports[i].Host < reports[j].Host })
	return reports
}

func (p *Platform) report(name string, h *platformHost) bwplatform.HostReport {
	if !h.upAt.IsZero() && time.Now().After(h.upAt) {
		h.upAt = time.Time{}
		h.state = bwplatform.HostLive
	}
	return bwplatform.HostReport{
		Host:     name,
		State:    h.state,
		Running:  h.running,
		InFlight: h.target.Busy(),
		Boots:    h.boots,
	}
}

func (p *Platform) get(w http.ResponseWriter, r *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	name := mux.Vars(r)["host"]
	h, ok := p.hosts[name]
	if !ok {
		http.Error(w, "no such host", http.StatusNotFound)
		return
	}
	reply(w, http.StatusOK, p.report(name, h))
}

func (p *Platform) order(w http.ResponseWriter, r *http.Request) {
	var o bwplatform.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	h, ok := p.hosts[o.Host]
	if !ok {
		http.Error(w, "no such host", http.StatusNotFound)
		return
	}
	id := o.Permit + "/" + o.Host + "/" + string(o.Verb)
	if !p.applied[id] {
		p.applied[id] = true
		p.log = append(p.log, o)
		p.carryOut(o.Verb, h)
	}
	reply(w, http.StatusOK, p.report(o.Host, h))
}

// carryOut applies the verb of an order to a host. The caller must hold the lock.
func (p *Platform) carryOut(v bwplatform.Verb, h *platformHost) {
	switch v {
	case bwplatform.VerbDrain:
		h.target.SetDraining(true)
		h.state = bwplatform.HostLeaving
	case bwplatform.VerbStop:
		h.target.SetDown(true)
		h.running = false
	case bwplatform.VerbReboot:
		h.boots++
		h.state = bwplatform.HostDown
		h.upAt = time.Now().Add(p.rebootTime)
	case bwplatform.VerbStart:
		h.target.SetDraining(false)
		h.target.SetDown(false)
		h.running = true
		if h.state == bwplatform.HostLeaving {
			h.state = bwplatform.HostLive
		}
	}
}
