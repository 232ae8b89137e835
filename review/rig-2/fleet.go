package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	// host is the host name of all queues.
	host = "orders.example"
	// callTimeout is the time that callers wait for a reply.
	callTimeout = 3 * time.Second
	readyWait   = 20 * time.Second
)

// route is a queue in the configuration.
type route struct {
	name, prefix, pool string
	attempts           int
	hasAdvice          bool
}

// fleet is a small deployment.
type fleet struct {
	dir     string
	record  *record
	store   *store
	nodes   []*node
	version int
	// advice holds the times of the policy service, in milliseconds.
	advice map[string]int64
}

func newFleet(rec *record) (*fleet, error) {
	dir, err := os.MkdirTemp("", "rig-2-")
	if err != nil {
		return nil, err
	}
	s, err := newStore()
	return &fleet{dir: dir, record: rec, store: s}, err
}

// stop ends all processes that were started. The logs stay if RIG_KEEP is set.
func (f *fleet) stop() {
	for _, n := range f.nodes {
		n.stop()
	}
	if os.Getenv("RIG_KEEP") != "" {
		fmt.Println("logs:", f.dir)
		return
	}
	_ = os.RemoveAll(f.dir)
}

// configure writes the next version of the configuration as the operator does.
func (f *fleet) configure(pools []string, routes ...route) error {
	f.version++
	var list, services []map[string]any
	for _, r := range routes {
		entry := map[string]any{"name": r.name, "host": host, "prefix": r.prefix, "kind": "unsafe", "timeout_ms": 3000,
			"slo_ms": 600, "priority": 0, "service": r.pool, "attempts": r.attempts, "stretch": 1.6}
		if r.hasAdvice {
			entry["advice"] = f.advice
		}
		list = append(list, entry)
	}
	for _, p := range pools {
		services = append(services, map[string]any{"name": p, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"rejects_overload": false, "standby": false})
	}
	limits := map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}
	err := f.store.put("op/config", map[string]any{"version": f.version, "routes": list, "services": services, "limits": limits})
	f.record.write("operator: configuration %d is stored: %v", f.version, routes)
	return err
}

// start starts executors for each pool and nodes, and waits until the nodes are ready and each pool has an owner.
func (f *fleet) start(nodes, executorsPerPool int, pools []string, hosts string) error {
	for _, pool := range pools {
		if err := f.addExecutors(pool, 0, executorsPerPool); err != nil {
			return err
		}
	}
	for i := range nodes {
		n, err := f.startNode(i+1, hosts)
		if err != nil {
			return err
		}
		f.nodes = append(f.nodes, n)
	}
	if err := f.awaitReady(pools); err != nil {
		return err
	}
	// Roles that were claimed at the start settle.
	time.Sleep(3 * time.Second)
	f.record.write("%d nodes are ready", nodes)
	return nil
}

// awaitReady waits until the nodes are ready and each pool has an owner.
func (f *fleet) awaitReady(pools []string) error {
	deadline := time.Now().Add(readyWait)
	for !f.isUp(pools) {
		if time.Now().After(deadline) {
			return fmt.Errorf("the nodes are not ready after %s", readyWait)
		}
		time.Sleep(100 * time.Millisecond)
	}
	return nil
}

// addExecutors starts executors of a pool that has some already.
func (f *fleet) addExecutors(pool string, existing, n int) error {
	for i := existing; i < existing+n; i++ {
		if _, err := newExecutor(executorID(pool, i+1), pool, fmt.Sprintf("r%d", i/4+1), f.store, f.record); err != nil {
			return err
		}
	}
	return nil
}

func (f *fleet) isUp(pools []string) bool {
	for _, n := range f.nodes {
		if !n.isReady() {
			return false
		}
	}
	for _, p := range pools {
		if f.nodeOf(p) == nil {
			return false
		}
	}
	return true
}

// nodeOf returns the node that acts for a pool.
func (f *fleet) nodeOf(pool string) *node {
	name := f.store.holderOf(pool)
	for _, n := range f.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// call sends a caller's request to a node and returns the status, or 0 without a response, and the body.
func (f *fleet) call(n *node, method, path, body string) (int, string) {
	r, err := http.NewRequest(method, "http://"+n.callers+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = host
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	client := http.Client{Timeout: callTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	resp, err := client.Do(r)
	if err != nil {
		f.record.write("caller: %s %s at %s -> no response", method, path, n.name)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, _ := io.ReadAll(resp.Body)
	f.record.write("caller: %s %s at %s -> %d %s", method, path, n.name, resp.StatusCode, strings.TrimSpace(string(data)))
	return resp.StatusCode, string(data)
}

// stateOf asks for the state of a job, which is empty if it is not told.
func (f *fleet) stateOf(path string) string {
	var reply struct {
		State string `json:"state"`
	}
	status, body := f.call(f.nodes[0], http.MethodGet, path, "")
	if status != http.StatusOK || json.Unmarshal([]byte(body), &reply) != nil {
		return ""
	}
	return reply.State
}

// jobBody returns a job of one step.
func jobBody(spec string, step map[string]any) string {
	data, err := json.Marshal(map[string]any{"spec": spec, "steps": []any{step}})
	if err != nil {
		return ""
	}
	return string(data)
}
