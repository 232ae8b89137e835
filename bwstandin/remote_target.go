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

// RemoteTarget is a ManagedTarget that controls a target in another process over HTTP.
type RemoteTarget struct {
	name    string
	address string
	client  *http.Client

	mu      sync.Mutex
	control Control
}

// NewRemoteTarget returns a RemoteTarget for the target that listens on address.
func NewRemoteTarget(name, address string) *RemoteTarget {
	return &RemoteTarget{name: name, address: address, client: &http.Client{Timeout: remoteTimeout}}
}

// Name returns the target's host name.
func (t *RemoteTarget) Name() string { return t.name }

// SetDraining makes the target reject new requests, or accept them again.
func (t *RemoteTarget) SetDraining(isDraining bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.control.Draining = isDraining
	t.syncControl(http.MethodPut)
}

// SetDown stops or starts the target's executor.
func (t *RemoteTarget) SetDown(isDown bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.control.Down = isDown
	t.syncControl(http.MethodPut)
}

// InFlight returns the number of in-flight requests, or the last known number if the target
// doesn't answer.
func (t *RemoteTarget) InFlight() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.syncControl(http.MethodGet)
	return t.control.InFlight
}

// syncControl sends (PUT) or reads (GET) the target's control state and stores the reply. On
// failure the last known state is kept. The caller must hold the lock.
func (t *RemoteTarget) syncControl(method string) {
	ctx, cancel := context.WithTimeout(context.Background(), remoteTimeout)
	defer cancel()
	body, err := json.Marshal(t.control)
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
		t.control = c
	}
}
