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

// RemoteTarget is an Executor that controls a target in another process over HTTP.
type RemoteTarget struct {
	name    string
	address string
	client  *http.Client

	mu    sync.Mutex
	state Control
}

// NewRemoteTarget returns a RemoteTarget for the target that listens on address.
func NewRemoteTarget(name, address string) *RemoteTarget {
	return &RemoteTarget{name: name, address: address, client: &http.Client{Timeout: remoteTimeout}}
}

// Name returns the target's host name.
func (t *RemoteTarget) Name() string { return t.name }

// SetDraining makes the target reject new requests, or accept them again.
func (t *RemoteTarget) SetDraining(draining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Draining = draining
	t.exchange(http.MethodPut)
}

// SetDown stops or starts the target's executor.
func (t *RemoteTarget) SetDown(down bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.state.Down = down
	t.exchange(http.MethodPut)
}

// Busy returns the number of in-flight requests, or the last known number if the target
// doesn't answer.
func (t *RemoteTarget) Busy() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.exchange(http.MethodGet)
	return t.state.Busy
}

// exchange sends (PUT) or reads (GET) the target's control state and stores the reply. On
// failure the last known state is kept. The caller must hold the lock.
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
