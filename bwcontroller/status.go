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

// Status is the JSON form of the fleet status.
type Status struct {
	Revision int64         `json:"revision"`
	Pools    []PoolStatus  `json:"pools"`
	Entries  []EntryStatus `json:"entries"`
	// Attention lists the problems that an operator has to look at.
	Attention []string `json:"attention"`
	// ListAgeMillis is the age of the platform's host list.
	ListAgeMillis int64 `json:"listAgeMillis"`
}

// PoolStatus is the JSON form of the status of one pool.
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

// EntryStatus is the JSON form of the status of one registered entry.
type EntryStatus struct {
	Entry      string `json:"entry"`
	DataCentre string `json:"dataCentre"`
	Answers    bool   `json:"answers"`
	// Revision is the configuration revision that the entry has applied.
	Revision int64 `json:"revision"`
}

// stuckStepThreshold is how long a permit may stay at one step before the fleet status
// reports it to the operators.
const stuckStepThreshold = 2 * time.Minute

func (c *Controller) getStatus(r *http.Request) response {
	snapshot := c.replica.Snapshot()
	s := Status{Revision: snapshot.Revision(), Pools: []PoolStatus{}, Attention: []string{}}
	s.Entries = c.entryStatuses(r)
	for _, p := range snapshot.Pools() {
		s.Pools = append(s.Pools, c.poolStatus(snapshot, p))
		s.Attention = append(s.Attention, c.stuckPermits(p)...)
	}
	for _, e := range s.Entries {
		if !e.Answers {
			s.Attention = append(s.Attention, "entry "+e.Entry+" is registered and does not answer")
		}
	}
	c.mu.Lock()
	s.ListAgeMillis = c.clock.Now().Sub(c.hostListRequestedAt).Milliseconds()
	c.mu.Unlock()
	return okResponse(s)
}

func (c *Controller) poolStatus(snapshot *bwconfig.Snapshot, p *bwpool.Pool) PoolStatus {
	hosts := c.hostViews(snapshot, p.GetName())
	s := PoolStatus{
		Pool:        p.GetName(),
		Service:     p.GetService(),
		Hosts:       len(hosts),
		Permits:     len(p.GetPermits()),
		BudgetLeft:  int(p.GetMaxUnavailable()) - bwpool.ComputeBudgetUsage(p, hosts).Total(),
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

// stuckPermits describes the permits of a pool that have been at one step for longer than
// stuckStepThreshold.
func (c *Controller) stuckPermits(p *bwpool.Pool) []string {
	var list []string
	now := c.clock.Now()
	for _, permit := range c.maintenanceStatus(p).Permits {
		waited := time.Duration(now.Millis()-permit.StepMillis) * time.Millisecond
		if waited > stuckStepThreshold {
			list = append(list, "host "+permit.Host+" in pool "+p.GetName()+" is "+permit.Step+" for "+waited.Round(time.Second).String()+": "+permit.WaitsFor)
		}
	}
	return list
}

// entryStatuses queries every registered entry for the configuration revision that it has
// applied.
func (c *Controller) entryStatuses(r *http.Request) []EntryStatus {
	registered := c.replica.Snapshot().RegisteredEntries()
	statuses := make([]EntryStatus, 0, len(registered))
	var mu sync.Mutex
	var group sync.WaitGroup
	for id, beat := range registered {
		group.Go(func() {
			status := c.queryEntry(r.Context(), id, beat.GetAddress(), "")
			mu.Lock()
			defer mu.Unlock()
			statuses = append(statuses, EntryStatus{
				Entry:      id,
				DataCentre: beat.GetDataCentre(),
				Answers:    status.Responded,
				Revision:   status.Revision,
			})
		})
	}
	group.Wait()
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Entry < statuses[j].Entry })
	return statuses
}

// AppliedStatus is the JSON reply that says whether every entry has applied a revision.
type AppliedStatus struct {
	Revision int64 `json:"revision"`
	// InForce is true if every registered entry has applied the revision or a later one.
	InForce bool          `json:"inForce"`
	Entries []EntryStatus `json:"entries"`
}

func (c *Controller) getApplied(r *http.Request) response {
	revision, err := strconv.ParseInt(r.URL.Query().Get("revision"), 10, 64)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "invalid", "revision is not a number")
	}
	a := AppliedStatus{Revision: revision, Entries: c.entryStatuses(r), InForce: true}
	for _, e := range a.Entries {
		a.InForce = a.InForce && e.Answers && e.Revision >= revision
	}
	return okResponse(a)
}

// AccountList is the JSON reply to an account search.
type AccountList struct {
	Accounts []json.RawMessage `json:"accounts"`
	Complete bool              `json:"complete"`
}

// searchAccounts searches every registered entry and the store for accounts.
func (c *Controller) searchAccounts(r *http.Request) response {
	query := r.URL.Query()
	request := &bwpeer.LookupRequest{
		RequestId:      query.Get("requestId"),
		IdempotencyKey: query.Get("idempotencyKey"),
		Caller:         query.Get("caller"),
	}
	if request.GetRequestId() == "" && request.GetIdempotencyKey() == "" && request.GetCaller() == "" {
		return errorResponse(http.StatusBadRequest, "invalid", "give requestId, idempotencyKey, or caller with since")
	}
	if since := query.Get("since"); since != "" {
		at, err := time.Parse(time.RFC3339, since)
		if err != nil {
			return errorResponse(http.StatusBadRequest, "invalid", "since is not an RFC 3339 time")
		}
		request.SinceMillis = at.UnixMilli()
	}
	var addresses []string
	for _, beat := range c.replica.Snapshot().RegisteredEntries() {
		addresses = append(addresses, beat.GetAddress())
	}
	result := bwsearch.Find(r.Context(), c.peers, addresses, c.store, nil, request)
	list := AccountList{Accounts: []json.RawMessage{}, Complete: result.IsComplete()}
	for _, a := range result.Accounts() {
		if data, err := bwcodec.Marshal(a); err == nil {
			list.Accounts = append(list.Accounts, data)
		}
	}
	return okResponse(list)
}

// operationsRoutes returns the handler of the operations address: metrics, health, readiness
// and the state dump.
func (c *Controller) operationsRoutes() http.Handler {
	r := mux.NewRouter()
	r.Handle("/metrics", promhttp.HandlerFor(c.metricsRegistry, promhttp.HandlerOpts{}))
	r.HandleFunc("/debug/state", func(w http.ResponseWriter, _ *http.Request) { bwhttp.WriteJSON(w, http.StatusOK, c.stateDump()) })
	r.HandleFunc("/healthz", func(w http.ResponseWriter, _ *http.Request) { bwhttp.WriteJSON(w, http.StatusOK, "ok") })
	r.HandleFunc("/readyz", func(w http.ResponseWriter, _ *http.Request) {
		bwhttp.WriteReadiness(w, c.replica.IsLoaded())
	})
	return r
}

// StateDump is the JSON form of the state dump of the process.
type StateDump struct {
	Controller string              `json:"controller"`
	Revision   int64               `json:"revision"`
	Gate       string              `json:"gate"`
	Pools      []MaintenanceStatus `json:"pools"`
}

func (c *Controller) stateDump() StateDump {
	snapshot := c.replica.Snapshot()
	s := StateDump{
		Controller: c.incarnation,
		Revision:   snapshot.Revision(),
		Gate:       c.freshness.Gate(c.clock.Now()).String(),
	}
	for _, p := range snapshot.Pools() {
		s.Pools = append(s.Pools, c.maintenanceStatus(p))
	}
	return s
}
