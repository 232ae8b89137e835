package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"
)

// adviser is a stand-in of the policy service for one calling machine. It allows all executors that it is asked
// about. It handles one call at a time, in turn; a call whose caller has left is dropped at once.
type adviser struct {
	address               string
	record                *record
	decide, period, valid time.Duration
	turn                  chan struct{}
}

func newAdviser(rec *record, decide, period, valid time.Duration) (*adviser, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	a := &adviser{address: l.Addr().String(), record: rec, decide: decide, period: period, valid: valid, turn: make(chan struct{}, 1)}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /basilwood/advise", a.serve)
	go func() { _ = http.Serve(l, mux) }()
	return a, nil
}

func (a *adviser) serve(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		writeJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	select {
	case a.turn <- struct{}{}:
	case <-r.Context().Done():
		return
	}
	defer func() { <-a.turn }()
	takes := a.decide + time.Duration(len(body.Workers))*a.period
	select {
	case <-time.After(takes):
	case <-r.Context().Done():
		a.record.write("policy service: call for %s with %d executors, which takes %s: the caller has left", body.Step, len(body.Workers), takes)
		return
	}
	var allowed [][2]string
	for _, id := range body.Workers {
		allowed = append(allowed, [2]string{id, fmt.Sprintf("%s-%s", body.Step, id)})
	}
	a.record.write("policy service: %s may run on %d executors, after %s", body.Step, len(allowed), takes)
	writeJSON(w, http.StatusOK, map[string]any{"allowed": allowed, "valid_ms": a.valid.Milliseconds()})
}
