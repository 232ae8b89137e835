package bwcontroller

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwconfig"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwpool"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwroster"
	"basilwood.example/basilwood/bwstore"
	"github.com/gorilla/mux"
	"google.golang.org/protobuf/proto"
)

const (
	maxInputBytes    = 1 << 20
	maxWriteAttempts = 5
)

// Item is the JSON form of one configuration value.
type Item struct {
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// ItemList is the JSON reply to a list request.
type ItemList struct {
	Items    []Item `json:"items"`
	Revision int64  `json:"revision"`
}

// ErrorBody is the JSON reply to a failed request.
type ErrorBody struct {
	// Code is conflict, invalid, notFound, refused, doubtful or unavailable.
	Code     string   `json:"code"`
	Problems []string `json:"problems"`
	// Revision is the current revision of the value, set only for a conflict.
	Revision int64 `json:"revision,omitempty"`
}

// response is the HTTP status and JSON body that answer an administration request.
type response struct {
	status int
	body   any
}

func okResponse(body any) response { return response{status: http.StatusOK, body: body} }

func errorResponse(status int, code string, problems ...string) response {
	return response{status: status, body: ErrorBody{Code: code, Problems: problems}}
}

func unavailableResponse(err error) response {
	return errorResponse(http.StatusServiceUnavailable, "unavailable", "the store does not answer: "+err.Error())
}

// administrationRoutes returns the handler of the administration API, which operators use.
func (c *Controller) administrationRoutes() http.Handler {
	r := mux.NewRouter()
	handle := func(method, path string, f func(*http.Request) response) {
		r.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			resp := f(r)
			bwhttp.WriteJSON(w, resp.status, resp.body)
		}).Methods(method)
	}
	handle(http.MethodGet, "/v1/{kind:profiles|teams|pools|hosts}", c.listItems)
	handle(http.MethodGet, "/v1/{kind:profiles|teams|pools|hosts}/{name}", c.getItem)
	handle(http.MethodPut, "/v1/{kind:profiles|teams|pools}/{name}", c.putItem)
	handle(http.MethodDelete, "/v1/{kind:profiles|teams|pools}/{name}", c.deleteItem)
	handle(http.MethodPut, "/v1/hosts/{name}", c.putHost)
	handle(http.MethodDelete, "/v1/hosts/{name}", c.deleteHost)
	handle(http.MethodPost, "/v1/hosts/{name}/move", c.moveHost)
	handle(http.MethodGet, "/v1/pools/{name}/maintenance", c.getMaintenance)
	handle(http.MethodPost, "/v1/pools/{name}/maintenance/{action:start|pause|resume|cancel}", c.changeWave)
	handle(http.MethodGet, "/v1/status", c.getStatus)
	handle(http.MethodGet, "/v1/applied", c.getApplied)
	handle(http.MethodGet, "/v1/accounts", c.searchAccounts)
	return r
}

// listItems returns every value of a kind from the local configuration replica.
func (c *Controller) listItems(r *http.Request) response {
	snapshot := c.replica.Snapshot()
	list := ItemList{Items: []Item{}, Revision: snapshot.Revision()}
	add := func(key string, m proto.Message) {
		if data, err := bwcodec.MarshalIndented(m); err == nil {
			list.Items = append(list.Items, Item{Revision: snapshot.KeyRevision(key), Value: data})
		}
	}
	switch mux.Vars(r)["kind"] {
	case "profiles":
		for _, p := range snapshot.Profiles() {
			add(bwconfig.ProfileKey(p.GetName()), p)
		}
	case "teams":
		for _, t := range snapshot.Teams() {
			add(bwconfig.TeamKey(t.GetName()), t)
		}
	case "pools":
		for _, p := range snapshot.Pools() {
			add(bwconfig.PoolKey(p.GetName()), p)
		}
	case "hosts":
		for _, h := range snapshot.Hosts() {
			add(bwconfig.RosterKey(h.GetName()), h)
		}
	}
	return okResponse(list)
}

// getItem reads one value from the store, so the reply is current even if the local
// replica lags.
func (c *Controller) getItem(r *http.Request) response {
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	if kind == "hosts" {
		return c.getHost(r.Context(), name)
	}
	e, err := c.store.Get(r.Context(), configKey(kind, name))
	if err != nil {
		return unavailableResponse(err)
	}
	if e.IsDeleted() {
		return errorResponse(http.StatusNotFound, "notFound", "no such "+kind+" entry: "+name)
	}
	return okResponse(Item{Revision: e.Revision(), Value: e.Value()})
}

func (c *Controller) getHost(ctx context.Context, name string) response {
	shard, e, err := c.readShard(ctx, name)
	if err != nil {
		return unavailableResponse(err)
	}
	h := shard.Find(name)
	if h == nil {
		return errorResponse(http.StatusNotFound, "notFound", "no such host: "+name)
	}
	value, err := bwcodec.Marshal(h)
	if err != nil {
		return unavailableResponse(err)
	}
	return okResponse(Item{Revision: e.Revision(), Value: value})
}

func configKey(kind, name string) string {
	switch kind {
	case "profiles":
		return bwconfig.ProfileKey(name)
	case "teams":
		return bwconfig.TeamKey(name)
	}
	return bwconfig.PoolKey(name)
}

// putItem creates or replaces a profile, a team or the specification of a pool.
func (c *Controller) putItem(r *http.Request) response {
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	input, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxInputBytes))
	if err != nil {
		return errorResponse(http.StatusBadRequest, "invalid", err.Error())
	}
	m, problems := c.parseAndValidate(kind, name, input)
	if len(problems) > 0 {
		return errorResponse(http.StatusUnprocessableEntity, "invalid", problems...)
	}
	return c.updateKey(r, configKey(kind, name), func(old bwstore.Entry) (proto.Message, response) {
		if p, ok := m.(*bwpool.Pool); ok && !old.IsDeleted() {
			return preserveWaveAndPermits(p, old)
		}
		return m, response{}
	})
}

// preserveWaveAndPermits copies the wave and the permits from the stored pool to p. The
// controllers maintain both, so a specification from an operator must not overwrite them.
func preserveWaveAndPermits(p *bwpool.Pool, old bwstore.Entry) (proto.Message, response) {
	stored := new(bwpool.Pool)
	if err := bwcodec.Unmarshal(old.Value(), stored); err != nil {
		return nil, errorResponse(http.StatusInternalServerError, "invalid", err.Error())
	}
	p.Wave = stored.GetWave()
	p.Permits = stored.GetPermits()
	return p, response{}
}

// updateKey changes a key by compare-and-swap. If the request sets expectedRevision, it
// makes one attempt; otherwise it retries after a conflicting write, up to maxWriteAttempts
// attempts in total. If change returns a response with a status, nothing is written and that
// response is returned.
func (c *Controller) updateKey(r *http.Request, key string, change func(old bwstore.Entry) (proto.Message, response)) response {
	expected, err := expectedRevision(r)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "invalid", "expectedRevision is not a number")
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	var result bwstore.WriteResult
	for range maxWriteAttempts {
		old, err := c.store.Get(ctx, key)
		if err != nil {
			return unavailableResponse(err)
		}
		if expected >= 0 && old.Revision() != expected {
			return conflictResponse(old.Revision())
		}
		m, resp := change(old)
		if resp.status != 0 {
			return resp
		}
		value, err := bwcodec.Marshal(m)
		if err != nil {
			return errorResponse(http.StatusInternalServerError, "invalid", err.Error())
		}
		result = c.store.Put(ctx, bwstore.ClassConfiguration, key, value, old.Revision(), bwstore.NoLease)
		if result.Status() != bwstore.Conflict || expected >= 0 {
			break
		}
	}
	return writeResultResponse(result)
}

// writeResultResponse returns the response for the result of a store write.
func writeResultResponse(r bwstore.WriteResult) response {
	switch r.Status() {
	case bwstore.Written:
		return okResponse(Item{Revision: r.Revision()})
	case bwstore.Conflict:
		return conflictResponse(r.Revision())
	case bwstore.Uncertain:
		return errorResponse(http.StatusGatewayTimeout, "doubtful", "the change may or may not be in force; read the value again")
	}
	return errorResponse(http.StatusServiceUnavailable, "unavailable", "the change was not stored")
}

func conflictResponse(revision int64) response {
	return response{status: http.StatusConflict, body: ErrorBody{
		Code:     "conflict",
		Problems: []string{"another operator changed the value; it is now at revision " + strconv.FormatInt(revision, 10)},
		Revision: revision,
	}}
}

// expectedRevision returns the value of the expectedRevision query parameter, or -1 if it
// is absent and any revision is accepted.
func expectedRevision(r *http.Request) (int64, error) {
	value := r.URL.Query().Get("expectedRevision")
	if value == "" {
		return -1, nil
	}
	return strconv.ParseInt(value, 10, 64)
}

// parseAndValidate decodes and validates the JSON input for a profile, a team or a pool.
func (c *Controller) parseAndValidate(kind, name string, input []byte) (proto.Message, []string) {
	snapshot := c.replica.Snapshot()
	switch kind {
	case "profiles":
		p := new(bwprofile.Profile)
		if err := bwcodec.UnmarshalStrict(input, p); err != nil {
			return nil, []string{err.Error()}
		}
		p.SetDefaults()
		return p, append(checkName(name, p.GetName()), checkProfile(snapshot, p)...)
	case "teams":
		t := new(bwprofile.Team)
		if err := bwcodec.UnmarshalStrict(input, t); err != nil {
			return nil, []string{err.Error()}
		}
		return t, append(checkName(name, t.GetName()), checkTeam(snapshot, t)...)
	}
	p := new(bwpool.Pool)
	if err := bwcodec.UnmarshalStrict(input, p); err != nil {
		return nil, []string{err.Error()}
	}
	return p, append(checkName(name, p.GetName()), checkPool(snapshot, p)...)
}

// deleteItem deletes a profile, a team or a pool unless another value refers to it.
func (c *Controller) deleteItem(r *http.Request) response {
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	if problems := deletionProblems(c.replica.Snapshot(), kind, name); len(problems) > 0 {
		return errorResponse(http.StatusConflict, "refused", problems...)
	}
	expected, err := expectedRevision(r)
	if err != nil {
		return errorResponse(http.StatusBadRequest, "invalid", "expectedRevision is not a number")
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	old, err := c.store.Get(ctx, configKey(kind, name))
	if err != nil {
		return unavailableResponse(err)
	}
	if old.IsDeleted() {
		return errorResponse(http.StatusNotFound, "notFound", "no such "+kind+" entry: "+name)
	}
	if expected >= 0 && expected != old.Revision() {
		return conflictResponse(old.Revision())
	}
	return writeResultResponse(c.store.Delete(ctx, bwstore.ClassConfiguration, old.Key(), old.Revision()))
}

// putHost adds a host or changes its attributes. The pool of an existing host can only be
// changed with a move.
func (c *Controller) putHost(r *http.Request) response {
	name := mux.Vars(r)["name"]
	input, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxInputBytes))
	if err != nil {
		return errorResponse(http.StatusBadRequest, "invalid", err.Error())
	}
	h := new(bwroster.Host)
	if err := bwcodec.UnmarshalStrict(input, h); err != nil {
		return errorResponse(http.StatusUnprocessableEntity, "invalid", err.Error())
	}
	problems := append(checkName(name, h.GetName()), checkHost(c.replica.Snapshot(), h)...)
	if len(problems) > 0 {
		return errorResponse(http.StatusUnprocessableEntity, "invalid", problems...)
	}
	return c.updateShard(r, name, func(shard *bwroster.Shard) response {
		old := shard.Find(name)
		if old != nil && old.GetPool() != h.GetPool() {
			return errorResponse(http.StatusConflict, "refused", "the host belongs to pool "+old.GetPool()+"; use host move")
		}
		if old != nil {
			h.State = old.GetState()
		}
		shard.Set(h)
		return response{}
	})
}

// deleteHost removes a host from the roster unless it holds a permit.
func (c *Controller) deleteHost(r *http.Request) response {
	name := mux.Vars(r)["name"]
	snapshot := c.replica.Snapshot()
	if h := snapshot.Host(name); h != nil && snapshot.Pool(h.GetPool()).FindPermit(name) != nil {
		return errorResponse(http.StatusConflict, "refused", "the host has a permit; wait until its maintenance or move is over")
	}
	return c.updateShard(r, name, func(shard *bwroster.Shard) response {
		if shard.Find(name) == nil {
			return errorResponse(http.StatusNotFound, "notFound", "no such host: "+name)
		}
		shard.Remove(name)
		return response{}
	})
}

func (c *Controller) updateShard(r *http.Request, host string, change func(*bwroster.Shard) response) response {
	return c.updateKey(r, bwconfig.RosterKey(host), func(old bwstore.Entry) (proto.Message, response) {
		shard := new(bwroster.Shard)
		if !old.IsDeleted() {
			if err := bwcodec.Unmarshal(old.Value(), shard); err != nil {
				return nil, errorResponse(http.StatusInternalServerError, "invalid", err.Error())
			}
		}
		return shard, change(shard)
	})
}
