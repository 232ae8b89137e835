package bwcontroller

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"

	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwpool"
	"basilwood.example/basilwood/bwsearch"
	"github.com/gorilla/mux"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// Status is the JSON overview of the fleet.
type Status struct {
	Revision int64         `json:"revision"`
	Pools    []PoolStatus  `json:"pools"`
	Entries  []EntryStatus `json:"entries"`
	// Attention lists what needs a person.
	Attention []string `json:"attention"`
	// ListAgeMillis is the age of the platform's host list.
	ListAgeMillis int64 `json:"listAgeMillis"`
}

// PoolStatus is the overview of one pool.
type PoolStatus struct {
	Pool        string `json:"pool"`
	Service     string `json:"service"`
	Hosts       int    `json:"hosts"`
	Up          int    `json:"up"`
	Down        int    `json:"down"`
	Permits     int    `json:"permits"`
	BudgetLeft  int    `json:"budgetLeft"`
	Wave        string `json:"wave"`
	Maintenance string `json:"maintenance"`
}

// EntryStatus is the overview of one registered entry.
type EntryStatus struct {
	Entry      string `json:"entry"`
	DataCentre string `json:"dataCentre"`
	Answers    bool   `json:"answers"`
	// Revision is the configuration revision that the entry works by.
	Revision int64 `json:"revision"`
}

// slowStep is how long a permit may stay at a step before a person should look.
const slowStep = 2 * time.Minute

func (c *Controller) status(r *http.Request) outcome {
	v := c.replica.Version()
	s := Status{Revision: v.Revision(), Pools: []PoolStatus{}, Attention: []string{}}
	s.Entries = c.entryStatuses(r)
	for _, p := range v.Pools() {
		s.Pools = append(s.Pools, c.poolStatus(v, p))
		s.Attention = append(s.Attention, c.attention(p)...)
	}
	for _, e := range s.Entries {
		if !e.Answers {
			s.Attention = append(s.Attention, "entry "+e.Entry+" is registered and does not answer")
		}
	}
	c.mu.Lock()
	s.ListAgeMillis = c.clock.Now().Sub(c.listedAt).Milliseconds()
	c.mu.Unlock()
	return done(s)
}

func (c *Controller) poolStatus(v *bwconfig.Version, p *bwpool.Pool) PoolStatus {
	hosts := c.hostViews(v, p.GetName())
	s := PoolStatus{
		Pool:        p.GetName(),
		Service:     p.GetService(),
		Hosts:       len(hosts),
		Permits:     len(p.GetPermits()),
		BudgetLeft:  int(p.GetMaxUnavailable()) - bwpool.UsageOf(p, hosts).Total(),
		Wave:        p.GetWave().GetState().String(),
		Maintenance: strconv.Itoa(len(p.GetWave().GetDone())) + "/" + strconv.Itoa(len(hosts)),
	}
	for _, h := range hosts {
		if h.IsDown() {
			s.Down++
		}
	}
	s.Up = s.Hosts - s.Down
	return s
}

// attention names the permits of a pool that have not advanced for long.
func (c *Controller) attention(p *bwpool.Pool) []string {
	var list []string
	now := c.clock.Now()
	for _, permit := range c.describe(p).Permits {
		waited := time.Duration(now.Millis()-permit.StepMillis) * time.Millisecond
		if waited > slowStep {
			list = append(list, "host "+permit.Host+" in pool "+p.GetName()+" is "+permit.Step+" for "+waited.Round(time.Second).String()+": "+permit.WaitsFor)
		}
	}
	return list
}

// entryStatuses asks every registered entry for the revision that it works by.
func (c *Controller) entryStatuses(r *http.Request) []EntryStatus {
	registered := c.replica.Version().Registered()
	statuses := make([]EntryStatus, 0, len(registered))
	var mu sync.Mutex
	var group sync.WaitGroup
	for id, beat := range registered {
		group.Go(func() {
			answer := c.askEntry(r.Context(), id, beat.GetAddress(), "")
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, EntryStatus{
				Entry:      id,
				DataCentre: beat.GetDataCentre(),
				Answers:    answer.IsKnown,
				Revision:   answer.Revision,
			})
		})
	}
	group.Wait()
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Entry < statuses[j].Entry })
	return statuses
}

// Applied is the JSON reply about a revision being in force.
type Applied struct {
	Revision int64 `json:"revision"`
	// InForce is true when every registered entry works by the revision or a later one.
	InForce bool          `json:"inForce"`
	Entries []EntryStatus `json:"entries"`
}

func (c *Controller) applied(r *http.Request) outcome {
	revision, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		return failed(http.StatusBadRequest, "invalid", "revision is not a number")
	}
	a := Applied{Revision: revision, Entries: c.entryStatuses(r), InForce: true}
	for _, e := range a.Entries {
		a.InForce = a.InForce && e.Answers && e.Revision >= revision
	}
	return done(a)
}

// AccountList is the JSON reply to a search for accounts.
type AccountList struct {
	Accounts []json.RawMessage `json:"accounts"`
	Complete bool              `json:"complete"`
}

// accounts searches the accounts of every entry and the store.
func (c *Controller) accounts(r *http.Request) outcome {
	query := r.URL.Query()
	request := &bwpeer.LookupRequest{
		RequestId:      query.Get("requestId"),
		IdempotencyKey: query.Get("idempotencyKey"),
		Caller:         query.Get("caller"),
	}
	if request.GetRequestId() == "" && request.GetIdempotencyKey() == "" && request.GetCaller() == "" {
		return failed(http.StatusBadRequest, "invalid", "give requestId, idempotencyKey, or caller with since")
	}
	if since := query.Get("since"); since != "" {
		at, err := time.Parse(time.RFC3339, since)
		if err != nil {
			return failed(http.StatusBadRequest, "invalid", "since is not an RFC 3339 time")
		}
		request.SinceMillis = at.UnixMilli()
	}
	var addresses []string
	for _, beat := range c.replica.Version().Registered() {
		addresses = append(addresses, beat.GetAddress())
	}
	found := bwsearch.Find(r.Context(), c.peers, addresses, c.store, nil, request)
	list := AccountList{Accounts: []json.RawMessage{}, Complete: found.IsComplete()}
	for _, a := range found.Accounts() {
		if data, err := bwcodec.Marshal(a); err == nil {
			list.Accounts = append(list.Accounts, data)
		}
	}
	return done(list)
}

// operationRoutes returns the operators' interface of the process.
func (c *Controller) operationRoutes() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(c.registry, promhttp.HandlerOpts{}))
	r.HandleFunc("/debug/state", func(w http.ResponseWriter, _ *http.Request) { bwhttp.WriteJSON(w, http.StatusOK, c.state()) })
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { bwhttp.WriteJSON(w, http.StatusOK, "ok") })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		bwhttp.WriteReadiness(w, c.replica.IsLoaded())
	})
	return r
}

// State is the dump of the process's state.
type State struct {
	Controller string              `json:"controller"`
	Revision   int64               `json:"revision"`
	Gate       string              `json:"gate"`
	Pools      []MaintenanceStatus `json:"pools"`
}

func (c *Controller) state() State {
	v := c.replica.Version()
	s := State{
		Controller: c.incarnation,
		Revision:   v.Revision(),
		Gate:       c.freshness.Gate(c.clock.Now()).String(),
	}
	for _, p := range v.Pools() {
		s.Pools = append(s.Pools, c.describe(p))
	}
	return s
}
