package main

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwstandin"
)

const (
	// maxPageItems is the number of items in one page of a list.
	maxPageItems = 500
	// maxValueBytes is the largest value that the store takes.
	maxValueBytes = 1 << 20
	// seed of the store's random choices, of which a case uses none.
	storeSeed = 1
)

// store serves bwstandin.KV over the platform's HTTP interface.
type store struct {
	kv *bwstandin.KV

	mu sync.Mutex
	// left holds items that were written before the case, sorted by key, and removed those of them that are gone.
	left    []bwkv.Item
	removed map[string]bool
}

func newStore() *store { return &store{kv: bwstandin.NewKV(storeSeed)} }

type wireItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Rev     int64  `json:"rev"`
	Created int64  `json:"created,omitempty"`
	Lease   int64  `json:"lease"`
	Deleted bool   `json:"deleted,omitempty"`
}

func toWire(items []bwkv.Item) []wireItem {
	list := make([]wireItem, 0, len(items))
	for _, i := range items {
		list = append(list, wireItem{Key: i.Key, Value: i.Value, Rev: i.Revision, Deleted: i.IsRemoved})
	}
	return list
}

type wireTransaction struct {
	Expected []struct {
		Key string `json:"key"`
		Rev int64  `json:"rev"`
	} `json:"expected"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"set_keys"`
	Remove []string `json:"remove"`
}

func (t wireTransaction) decode() (bwkv.Transaction, bool) {
	var out bwkv.Transaction
	for _, e := range t.Expected {
		out.Expected = append(out.Expected, bwkv.Expectation{Key: e.Key, Revision: e.Rev})
	}
	for _, s := range t.SetKeys {
		if len(s.Value) > maxValueBytes {
			return out, false
		}
		out.Set = append(out.Set, bwkv.Write{Key: s.Key, Value: s.Value, Lease: s.Lease})
	}
	out.Remove = t.Remove
	return out, true
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	ctx := r.Context()
	query := r.URL.Query()
	path := strings.TrimPrefix(r.URL.Path, "/basilwood/")
	switch {
	case path == "kv-key":
		item, err := s.kv.Get(ctx, query.Get("key"))
		if errors.Is(err, bwkv.ErrNotFound) {
			writeJSON(w, http.StatusNotFound, struct{}{})
			return
		}
		writeJSON(w, http.StatusOK, toWire([]bwkv.Item{item})[0])
	case path == "kv-range":
		s.list(ctx, w, query.Get("prefix"), query.Get("after"))
	case path == "kv-watch":
		after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
		events, revision, err := s.kv.Watch(ctx, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
		if err != nil {
			writeJSON(w, http.StatusGone, struct{}{})
			return
		}
		writeJSON(w, http.StatusOK, map[string]any{"events": toWire(events), "as_of": revision})
	case path == "kv-txn":
		s.transact(ctx, w, r)
	default:
		s.lease(ctx, w, r, path)
	}
}

func (s *store) list(ctx context.Context, w http.ResponseWriter, prefix, after string) {
	items, revision, err := s.kv.List(ctx, prefix)
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	page := s.leftAfter(prefix, after)
	for _, i := range items {
		if i.Key > after {
			page = append(page, i)
		}
	}
	sort.Slice(page, func(a, b int) bool { return page[a].Key < page[b].Key })
	isTruncated := len(page) > maxPageItems
	if isTruncated {
		page = page[:maxPageItems]
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": toWire(page), "truncated": isTruncated, "as_of": revision})
}

func (s *store) transact(ctx context.Context, w http.ResponseWriter, r *http.Request) {
	var body wireTransaction
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	t, ok := body.decode()
	if !ok {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	result := s.kv.Transact(ctx, t)
	if result.Outcome == bwkv.Committed {
		s.forget(t.Remove)
	}
	switch result.Outcome {
	case bwkv.Committed:
		writeJSON(w, http.StatusOK, map[string]any{"rev": result.Revision})
	case bwkv.Conflict:
		writeJSON(w, http.StatusPreconditionFailed, map[string]any{"items": toWire(result.Items)})
	case bwkv.LeaseGone:
		writeJSON(w, http.StatusNotFound, struct{}{})
	default:
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
	}
}

func (s *store) lease(ctx context.Context, w http.ResponseWriter, r *http.Request, path string) {
	name, number, _ := strings.Cut(path, "/")
	id, _ := strconv.ParseInt(number, 10, 64)
	var err error
	var ttl time.Duration
	switch name {
	case "kv-lease":
		var body struct {
			TTLMs int64 `json:"ttl_ms"`
		}
		if err = json.NewDecoder(r.Body).Decode(&body); err == nil {
			id, ttl, err = s.kv.GrantLease(ctx, time.Duration(body.TTLMs)*time.Millisecond)
		}
	case "kv-keep":
		err = s.kv.KeepLease(ctx, id)
	case "kv-lease-end":
		err = s.kv.EndLease(ctx, id)
	default:
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	if errors.Is(err, bwkv.ErrNotFound) {
		writeJSON(w, http.StatusNotFound, struct{}{})
		return
	}
	if err != nil {
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
		return
	}
	writeJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

// leave puts items into the store that were written before the case, in the order of their keys.
func (s *store) leave(count int, item func(i int) (string, []byte)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removed = make(map[string]bool)
	for i := range count {
		key, value := item(i)
		s.left = append(s.left, bwkv.Item{Key: key, Value: value, Revision: 1})
	}
}

// leftAfter returns the items from before the case that follow a key, one more than a page at most.
func (s *store) leftAfter(prefix, after string) []bwkv.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	var list []bwkv.Item
	from := max(prefix, after)
	for n := sort.Search(len(s.left), func(n int) bool { return s.left[n].Key > from }); n < len(s.left) && len(list) <= maxPageItems; n++ {
		if strings.HasPrefix(s.left[n].Key, prefix) && !s.removed[s.left[n].Key] {
			list = append(list, s.left[n])
		}
	}
	return list
}

func (s *store) forget(keys []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, key := range keys {
		if s.removed != nil {
			s.removed[key] = true
		}
	}
}
