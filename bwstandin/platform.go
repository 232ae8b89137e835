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

// ManagedTarget is the part of a target that the platform controls. Target and RemoteTarget
// implement it.
type ManagedTarget interface {
	Name() string
	SetDraining(draining bool)
	SetDown(down bool)
	InFlight() int
}

// Platform is a stand-in for the platform that manages the hosts, served over HTTP. It
// drains, stops, starts and reboots targets.
type Platform struct {
	injector   *FaultInjector
	mux        *mux.Router
	listLag    time.Duration
	rebootTime time.Duration

	mu            sync.Mutex
	hosts         map[string]*platformHost
	cachedList    []bwplatform.HostReport
	cachedAt      time.Time
	appliedIDs    map[string]bool
	appliedOrders []bwplatform.Order
}

type platformHost struct {
	target       ManagedTarget
	state        bwplatform.HostState
	isRunning    bool
	boots        int
	rebootDoneAt time.Time
}

// NewPlatform returns a platform that manages targets. Its host list is up to listLag old,
// and its reboots take rebootTime. Its random choices derive from seed.
func NewPlatform(targets []ManagedTarget, listLag, rebootTime time.Duration, seed uint64) *Platform {
	p := &Platform{
		injector:   NewFaultInjector(seed),
		mux:        mux.NewRouter(),
		listLag:    listLag,
		rebootTime: rebootTime,
		hosts:      make(map[string]*platformHost),
		appliedIDs: make(map[string]bool),
	}
	for _, t := range targets {
		p.hosts[t.Name()] = &platformHost{target: t, state: bwplatform.HostLive, isRunning: true}
	}
	p.mux.HandleFunc("/v1/hosts", p.list).Methods(http.MethodGet)
	p.mux.HandleFunc("/v1/hosts/{host}", p.get).Methods(http.MethodGet)
	p.mux.HandleFunc("/v1/orders", p.order).Methods(http.MethodPost)
	return p
}

// Handler returns the platform's HTTP handler with fault injection.
func (p *Platform) Handler() http.Handler { return p.injector.Wrap(p.mux) }

// Faults returns the platform's fault injector.
func (p *Platform) Faults() *FaultInjector { return p.injector }

// SetState sets the state of a host without an order, as when a host fails or recovers by
// itself.
func (p *Platform) SetState(host string, state bwplatform.HostState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	h := p.hosts[host]
	h.state = state
	h.target.SetDown(state == bwplatform.HostDown)
}

// Orders returns the orders that took effect, oldest first. Repeated orders are left out.
func (p *Platform) Orders() []bwplatform.Order {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]bwplatform.Order(nil), p.appliedOrders...)
}

func (p *Platform) list(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now := time.Now(); now.Sub(p.cachedAt) >= p.listLag || p.cachedList == nil {
		p.cachedAt = now
		p.cachedList = p.reports()
	}
	reply(w, http.StatusOK, p.cachedList)
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
	if !h.rebootDoneAt.IsZero() && time.Now().After(h.rebootDoneAt) {
		h.rebootDoneAt = time.Time{}
		h.state = bwplatform.HostLive
	}
	return bwplatform.HostReport{
		Host:     name,
		State:    h.state,
		Running:  h.isRunning,
		InFlight: h.target.InFlight(),
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
	if !p.appliedIDs[id] {
		p.appliedIDs[id] = true
		p.appliedOrders = append(p.appliedOrders, o)
		p.apply(o.Verb, h)
	}
	reply(w, http.StatusOK, p.report(o.Host, h))
}

// apply applies the verb of an order to a host. The caller must hold the lock.
func (p *Platform) apply(verb bwplatform.Verb, h *platformHost) {
	switch verb {
	case bwplatform.VerbDrain:
		h.target.SetDraining(true)
		h.state = bwplatform.HostLeaving
	case bwplatform.VerbStop:
		h.target.SetDown(true)
		h.isRunning = false
	case bwplatform.VerbReboot:
		h.boots++
		h.state = bwplatform.HostDown
		h.rebootDoneAt = time.Now().Add(p.rebootTime)
	case bwplatform.VerbStart:
		h.target.SetDraining(false)
		h.target.SetDown(false)
		h.isRunning = true
		if h.state == bwplatform.HostLeaving {
			h.state = bwplatform.HostLive
		}
	}
}
