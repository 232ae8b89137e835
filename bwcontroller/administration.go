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
	maxInputBytes = 1 << 20
	writeTries    = 5
)

// Item is the JSON form of one configuration value.
type Item struct {
	Revision int64           `json:"revision"`
	Value    json.RawMessage `json:"value,omitempty"`
}

// ItemList is the JSON reply to a list.
type ItemList struct {
	Items    []Item `json:"items"`
	Revision int64  `json:"revision"`
}

// Failure is the JSON reply to a call that was not carried out.
type Failure struct {
	// Code is conflict, invalid, notFound, refused, doubtful or unavailable.
	Code     string   `json:"code"`
	Problems []string `json:"problems"`
	// Revision is the present revision of the value after a conflict.
	Revision int64 `json:"revision,omitempty"`
}

// outcome is the result of an administration call.
type outcome struct {
	status int
	body   any
}

func done(body any) outcome { return outcome{status: http.StatusOK, body: body} }

func failed(status int, code string, problems ...string) outcome {
	return outcome{status: status, body: Failure{Code: code, Problems: problems}}
}

func unavailable(err error) outcome {
	return failed(http.StatusServiceUnavailable, "unavailable", "the store does not answer: "+err.Error())
}

// administrationRoutes returns the operators' API.
func (c *Controller) administrationRoutes() http.Handler {
	r := mux.NewRouter()
	handle := func(method, path string, f func(*http.Request) outcome) {
		r.HandleFunc(path, func(w http.ResponseWriter, r *http.Request) {
			o := f(r)
			bwhttp.WriteJSON(w, o.status, o.body)
		}).Methods(method)
	}
	handle(http.MethodGet, "/v1/{kind:profiles|teams|pools|hosts}", c.listItems)
	handle(http.MethodGet, "/v1/{kind:profiles|teams|pools|hosts}/{name}", c.getItem)
	handle(http.MethodPut, "/v1/{kind:profiles|teams|pools}/{name}", c.putItem)
	handle(http.MethodDelete, "/v1/{kind:profiles|teams|pools}/{name}", c.deleteItem)
	handle(http.MethodPut, "/v1/hosts/{name}", c.putHost)
	handle(http.MethodDelete, "/v1/hosts/{name}", c.deleteHost)
	handle(http.MethodPost, "/v1/hosts/{name}/move", c.moveHost)
	handle(http.MethodGet, "/v1/pools/{name}/maintenance", c.maintenanceStatus)
	handle(http.MethodPost, "/v1/pools/{name}/maintenance/{action:start|pause|resume|cancel}", c.changeWave)
	handle(http.MethodGet, "/v1/status", c.status)
	handle(http.MethodGet, "/v1/applied", c.applied)
	handle(http.MethodGet, "/v1/accounts", c.accounts)
	return r
}

// listItems returns every value of a kind from the local copy.
func (c *Controller) listItems(r *http.Request) outcome {
	v := c.replica.Version()
	list := ItemList{Items: []Item{}, Revision: v.Revision()}
	add := func(key string, m proto.Message) {
		if data, err := bwcodec.MarshalIndented(m); err == nil {
			list.Items = append(list.Items, Item{Revision: v.KeyRevision(key), Value: data})
		}
	}
	switch mux.Vars(r)["kind"] {
	case "profiles":
		for _, p := range v.Profiles() {
			add(bwconfig.ProfileKey(p.GetName()), p)
		}
	case "teams":
		for _, t := range v.Teams() {
			add(bwconfig.TeamKey(t.GetName()), t)
		}
	case "pools":
		for _, p := range v.Pools() {
			add(bwconfig.PoolKey(p.GetName()), p)
		}
	case "hosts":
		for _, h := range v.Hosts() {
			add(bwconfig.RosterKey(h.GetName()), h)
		}
	}
	return done(list)
}

// getItem reads one value from the store.
func (c *Controller) getItem(r *http.Request) outcome {
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	if kind == "hosts" {
		return c.getHost(r.Context(), name)
	}
	e, err := c.store.Get(r.Context(), keyOf(kind, name))
	if err != nil {
		return unavailable(err)
	}
	if e.IsDeleted() {
		return failed(http.StatusNotFound, "notFound", "no such "+kind+" entry: "+name)
	}
	return done(Item{Revision: e.Revision(), Value: e.Value()})
}

func (c *Controller) getHost(ctx context.Context, name string) outcome {
	shard, e, err := c.readShard(ctx, name)
	if err != nil {
		return unavailable(err)
	}
	h := shard.Find(name)
	if h == nil {
		return failed(http.StatusNotFound, "notFound", "no such host: "+name)
	}
	value, err := bwcodec.Marshal(h)
	if err != nil {
		return unavailable(err)
	}
	return done(Item{Revision: e.Revision(), Value: value})
}

func keyOf(kind, name string) string {
	switch kind {
	case "profiles":
		return bwconfig.ProfileKey(name)
	case "teams":
		return bwconfig.TeamKey(name)
	}
	return bwconfig.PoolKey(name)
}

// putItem creates or replaces a profile, a team or the specification of a pool.
func (c *Controller) putItem(r *http.Request) outcome {
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	input, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxInputBytes))
	if err != nil {
		return failed(http.StatusBadRequest, "invalid", err.Error())
	}
	m, problems := c.parse(kind, name, input)
	if len(problems) > 0 {
		return failed(http.StatusUnprocessableEntity, "invalid", problems...)
	}
	return c.update(r, keyOf(kind, name), func(old bwstore.Entry) (proto.Message, outcome) {
		if p, ok := m.(*bwpool.Pool); ok && !old.IsDeleted() {
			return keepProgress(p, old)
		}
		return m, outcome{}
	})
}

// keepProgress takes the wave and the permits, which operators do not set, from the
// stored pool.
func keepProgress(p *bwpool.Pool, old bwstore.Entry) (proto.Message, outcome) {
	stored := new(bwpool.Pool)
	if err := bwcodec.Unmarshal(old.Value(), stored); err != nil {
		return nil, failed(http.StatusInternalServerError, "invalid", err.Error())
	}
	p.Wave = stored.GetWave()
	p.Permits = stored.GetPermits()
	return p, outcome{}
}

// update changes a key by compare-and-swap. With expectedRevision it tries once; without,
// it tries again when another operator was faster.
func (c *Controller) update(r *http.Request, key string, change func(old bwstore.Entry) (proto.Message, outcome)) outcome {
	expected, err := expectedRevision(r)
	if err != nil {
		return failed(http.StatusBadRequest, "invalid", "expectedRevision is not a number")
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	var result bwstore.WriteResult
	for range writeTries {
		old, err := c.store.Get(ctx, key)
		if err != nil {
			return unavailable(err)
		}
		if expected >= 0 && old.Revision() != expected {
			return conflict(old.Revision())
		}
		m, o := change(old)
		if o.status != 0 {
			return o
		}
		value, err := bwcodec.Marshal(m)
		if err != nil {
			return failed(http.StatusInternalServerError, "invalid", err.Error())
		}
		result = c.store.Put(ctx, bwstore.ClassConfiguration, key, value, old.Revision(), bwstore.NoLease)
		if result.Status() != bwstore.Conflict || expected >= 0 {
			break
		}
	}
	return writeOutcome(result)
}

// writeOutcome tells an operator what became of a change.
func writeOutcome(r bwstore.WriteResult) outcome {
	switch r.Status() {
	case bwstore.Written:
		return done(Item{Revision: r.Revision()})
	case bwstore.Conflict:
		return conflict(r.Revision())
	case bwstore.Uncertain:
		return failed(http.StatusGatewayTimeout, "doubtful", "the change may or may not be in force; read the value again")
	}
	return failed(http.StatusServiceUnavailable, "unavailable", "the change was not stored")
}

func conflict(revision int64) outcome {
	return outcome{status: http.StatusConflict, body: Failure{
		Code:     "conflict",
		Problems: []string{"another operator changed the value; it is now at revision " + strconv.FormatInt(revision, 10)},
		Revision: revision,
	}}
}

// expectedRevision returns the revision that the operator expects, or -1 for any.
func expectedRevision(r *http.Request) (int64, error) {
	value := r.URL.Query().Get("expectedRevision")
	if value == "" {
		return -1, nil
	}
	return strconv.ParseInt(value, 10, 64)
}

// parse reads and checks an operator's input.
func (c *Controller) parse(kind, name string, input []byte) (proto.Message, []string) {
	v := c.replica.Version()
	switch kind {
	case "profiles":
		p := new(bwprofile.Profile)
		if err := bwcodec.UnmarshalStrict(input, p); err != nil {
			return nil, []string{err.Error()}
		}
		p.WithDefaults()
		return p, append(checkName(name, p.GetName()), checkProfile(v, p)...)
	case "teams":
		t := new(bwprofile.Team)
		if err := bwcodec.UnmarshalStrict(input, t); err != nil {
			return nil, []string{err.Error()}
		}
		return t, append(checkName(name, t.GetName()), checkTeam(v, t)...)
	}
	p := new(bwpool.Pool)
	if err := bwcodec.UnmarshalStrict(input, p); err != nil {
		return nil, []string{err.Error()}
	}
	return p, append(checkName(name, p.GetName()), checkPool(v, p)...)
}

// deleteItem removes a value that nothing refers to.
func (c *Controller) deleteItem(r *http.Request) outcome {
	kind, name := mux.Vars(r)["kind"], mux.Vars(r)["name"]
	if problems := users(c.replica.Version(), kind, name); len(problems) > 0 {
		return failed(http.StatusConflict, "refused", problems...)
	}
	expected, err := expectedRevision(r)
	if err != nil {
		return failed(http.StatusBadRequest, "invalid", "expectedRevision is not a number")
	}
	ctx, cancel := context.WithTimeout(r.Context(), writeTimeout)
	defer cancel()
	old, err := c.store.Get(ctx, keyOf(kind, name))
	if err != nil {
		return unavailable(err)
	}
	if old.IsDeleted() {
		return failed(http.StatusNotFound, "notFound", "no such "+kind+" entry: "+name)
	}
	if expected >= 0 && expected != old.Revision() {
		return conflict(old.Revision())
	}
	return writeOutcome(c.store.Delete(ctx, bwstore.ClassConfiguration, old.Key(), old.Revision()))
}

// putHost adds a host or changes its attributes. The pool of a known host only changes
// by a move.
func (c *Controller) putHost(r *http.Request) outcome {
	name := mux.Vars(r)["name"]
	input, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxInputBytes))
	if err != nil {
		return failed(http.StatusBadRequest, "invalid", err.Error())
	}
	h := new(bwroster.Host)
	if err := bwcodec.UnmarshalStrict(input, h); err != nil {
		return failed(http.StatusUnprocessableEntity, "invalid", err.Error())
	}
	problems := append(checkName(name, h.GetName()), checkHost(c.replica.Version(), h)...)
	if len(problems) > 0 {
		return failed(http.StatusUnprocessableEntity, "invalid", problems...)
	}
	return c.updateShard(r, name, func(shard *bwroster.Shard) outcome {
		old := shard.Find(name)
		if old != nil && old.GetPool() != h.GetPool() {
			return failed(http.StatusConflict, "refused", "the host belongs to pool "+old.GetPool()+"; use host move")
		}
		if old != nil {
			h.State = old.GetState()
		}
		shard.Set(h)
		return outcome{}
	})
}

// deleteHost removes a host that holds no permit.
func (c *Controller) deleteHost(r *http.Request) outcome {
	name := mux.Vars(r)["name"]
	v := c.replica.Version()
	if h := v.Host(name); h != nil && v.Pool(h.GetPool()).FindPermit(name) != nil {
		return failed(http.StatusConflict, "refused", "the host has a permit; wait until its maintenance or move is over")
	}
	return c.updateShard(r, name, func(shard *bwroster.Shard) outcome {
		if shard.Find(name) == nil {
			return failed(http.StatusNotFound, "notFound", "no such host: "+name)
		}
		shard.Remove(name)
		return outcome{}
	})
}

func (c *Controller) updateShard(r *http.Request, host string, change func(*bwroster.Shard) outcome) outcome {
	return c.update(r, bwconfig.RosterKey(host), func(old bwstore.Entry) (proto.Message, outcome) {
		shard := new(bwroster.Shard)
		if !old.IsDeleted() {
			if err := bwcodec.Unmarshal(old.Value(), shard); err != nil {
				return nil, failed(http.StatusInternalServerError, "invalid", err.Error())
			}
		}
		return shard, change(shard)
	})
}
