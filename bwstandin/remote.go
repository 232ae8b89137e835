package bwstandin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"
)

const remoteTimeout = time.Second

// RemoteTarget is an Executor in another process.
type RemoteTarget struct {
	name    string
	address string
	client  *http.Client

	mu    sync.Mutex
	state Control
}

// NewRemoteTarget returns the executor of the target that serves at address.
func NewRemoteTarget(name, address string) *RemoteTarget {
	return &RemoteTarget{name: name, address: address, client: &http.Client{Timeout: remoteTimeout}}
}

// Name returns the target's host name.
func (t *RemoteTarget) Name() string { return t.name }

// SetDraining makes the target refuse new requests, or accept them again.
func (t *RemoteTarget) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Draining = draining
	t.exchange(http.MethodPut)
}

// SetDown stops or starts the executor.
func (t *RemoteTarget) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Down = down
	t.exchange(http.MethodPut)
}

// Busy returns the number of requests in progress, as far as it is known.
func (t *RemoteTarget) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exchange(http.MethodGet)
	return t.state.Busy
}

// exchange sends or reads the control state. A target that does not answer keeps the
// last known state.
func (t *RemoteTarget) exchange(method string) {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	body, err := json.Marshal(t.state)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+t.address+"/control", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := t.client.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	var c Control
	if json.NewDecoder(resp.Body).Decode(&c) == nil {
		t.state = c
	}
}
