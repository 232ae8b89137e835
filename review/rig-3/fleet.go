package main

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	// executorCPU and executorMemory are the room of an executor: 64 cores and 256 GB.
	executorCPU    = 64000
	executorMemory = 262144
	// holdMax is the longest lease that an executor grants.
	holdMax = 10 * time.Second
	// deadline is how long a requester waits for an answer, and retries how often it asks again.
	deadline   = 3 * time.Second
	retries    = 4
	retryPause = 500 * time.Millisecond
	queueHost  = "desk.example"
	// readyWait is how long the nodes may take to be ready.
	readyWait = 20 * time.Second
)

// errNotReady means that the case could not run.
var errNotReady = errors.New("the nodes are not ready in time")

// start is the start of one run.
type start struct {
	task     string
	run      int
	executor string
	at       time.Time
}

// node is one process of the system.
type node struct {
	name     string
	ip       string
	zone     string
	settings string
	logPath  string
	command  *exec.Cmd
}

// fleet is a small deployment: the processes under test and the stand-ins around them.
type fleet struct {
	root   string
	folder string
	prefix string
	port   int
	store  *store
	// adviceAt is the address of the advice in the settings of nodes that are written from now on.
	adviceAt string
	// cloudAt is the address of the host service, or "" without one.
	cloudAt   string
	nodes     []*node
	executors []*executor
	begun     time.Time
	// holdsBack reports whether an order to start gets no answer and is carried out later.
	holdsBack func(e *executor, call executorCall) bool

	mu     sync.Mutex
	file   *os.File
	starts []start
}

func newFleet(root, folder, recordPath string) (*fleet, error) {
	file, err := os.Create(recordPath)
	if err != nil {
		return nil, err
	}
	f := &fleet{
		root: root, folder: folder, file: file, store: newStore(), begun: time.Now(),
		prefix:    fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), rand.IntN(250)),
		port:      20000 + 10*rand.IntN(900),
		holdsBack: func(*executor, executorCall) bool { return false },
	}
	l, err := net.Listen("tcp", f.address(1))
	if err != nil {
		return nil, err
	}
	go func() { _ = http.Serve(l, f.store) }()
	return f, nil
}

// address returns an address of the fleet with a last number.
func (f *fleet) address(last int) string { return fmt.Sprintf("%s%d:%d", f.prefix, last, f.port) }

// record writes a line to the record.
func (f *fleet) record(what, who, text string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	_, _ = fmt.Fprintf(f.file, "%8.3f %-8s %-10s %s\n", time.Since(f.begun).Seconds(), what, who, text)
}

func (f *fleet) noteStart(s start) {
	f.mu.Lock()
	f.starts = append(f.starts, s)
	f.mu.Unlock()
	f.record("start", s.executor, fmt.Sprintf("%s run %d", s.task, s.run))
}

// countStarts returns the number of starts so far.
func (f *fleet) countStarts() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.starts)
}

// put writes a key of the platform or the operator.
func (f *fleet) put(key string, value any) {
	data, err := json.Marshal(value)
	if err == nil {
		f.store.kv.Put(key, data)
	}
}

// route is one queue of the configuration.
type route struct {
	Name      string         `json:"name"`
	Host      string         `json:"host"`
	Prefix    string         `json:"prefix"`
	Kind      string         `json:"kind"`
	TimeoutMs int            `json:"timeout_ms"`
	SloMs     int            `json:"slo_ms"`
	Priority  int            `json:"priority"`
	Service   string         `json:"service"`
	Attempts  int            `json:"attempts"`
	Stretch   float64        `json:"stretch"`
	Advice    map[string]int `json:"advice,omitempty"`
}

func newRoute(name, service string) route {
	return route{Name: name, Host: queueHost, Prefix: "/" + name + "/", Kind: "unsafe", TimeoutMs: 3000, SloMs: 600, Service: service, Attempts: 4, Stretch: 1.6}
}

// configure writes the operator's configuration.
func (f *fleet) configure(version int, routes []route, services ...string) {
	var list []map[string]any
	for _, s := range services {
		list = append(list, map[string]any{"name": s, "rejects_overload": false, "standby": false})
	}
	f.put("op/config", map[string]any{"version": version, "routes": routes, "services": list,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144}})
	f.record("config", "operator", fmt.Sprintf("version %d", version))
}

// addExecutors starts executors of a service.
func (f *fleet) addExecutors(service string, count int) error {
	for range count {
		n := len(f.executors)
		e := &executor{fleet: f, id: fmt.Sprintf("i-%02d", n), pool: service, zone: zoneOf(n), rack: fmt.Sprintf("r-%d", n/4), address: f.address(100 + n)}
		if err := e.start(); err != nil {
			return err
		}
		f.executors = append(f.executors, e)
	}
	return nil
}

func zoneOf(n int) string { return []string{"vault-a", "vault-b", "vault-c"}[n%3] }

// startNodes starts the processes of the system and waits until all are ready.
func (f *fleet) startNodes(count int) error {
	for i := range count {
		n := &node{name: fmt.Sprintf("front-%d", i), ip: fmt.Sprintf("%s%d", f.prefix, 10+i), zone: zoneOf(i)}
		n.settings = filepath.Join(f.folder, n.name+".conf")
		n.logPath = filepath.Join(f.folder, n.name+".log")
		f.nodes = append(f.nodes, n)
		if err := f.startNode(n); err != nil {
			return err
		}
	}
	for end := time.Now().Add(readyWait); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range f.nodes {
			if f.isReady(n) {
				ready++
			}
		}
		if ready == count {
			return nil
		}
		if time.Now().After(end) {
			return errNotReady
		}
	}
}

func (f *fleet) isReady(n *node) bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get(fmt.Sprintf("http://%s:%d/basilwood/ready", n.ip, f.port+1))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// writeSettings writes the settings file of a node.
func (f *fleet) writeSettings(n *node) error {
	text := fmt.Sprintf(`node=%s
role=node
class=front
serves=front
ip=%s
zone=%s
region=moka
listen.front=%s:%d
listen.ready_addr=%s:%d
port_range=%d,%d
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.apply_ms=2000
bounds.hold_max_ms=%d
bounds.stop_ms=900
bounds.gang_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.finish_s=14
bounds.status_s=120
bounds.far_x=3
bounds.move_s=1.5
bounds.maintenance_s=2
bounds.fence_required=true
bounds.lease_ms=3000
orders=rpc
advice=%s
cloud.addr=%s
cloud.rate_per_s=64.0
cloud.duty_per_s=64.0
platform.addr=%s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.retention_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
`, n.name, n.ip, n.zone, n.ip, f.port, n.ip, f.port+1, f.port+2, f.port+8, holdMax.Milliseconds(), f.adviceAt, f.cloudAt, f.address(1))
	return os.WriteFile(n.settings, []byte(text), 0o600)
}

// startNode starts the process of a node with the command of the deploy file.
func (f *fleet) startNode(n *node) error {
	if err := f.writeSettings(n); err != nil {
		return err
	}
	out, err := os.OpenFile(n.logPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = out.Close() }()
	n.command = exec.Command("target/basilwood-node")
	n.command.Dir = f.root
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + f.folder, "LANG=C", "BASILWOOD_CONFIG=" + n.settings}
	n.command.Stdout, n.command.Stderr = out, out
	return n.command.Start()
}

// signal sends a signal to the process of a node.
func (f *fleet) signal(n *node, s syscall.Signal) {
	f.record("signal", n.name, s.String())
	_ = n.command.Process.Signal(s)
	if s == syscall.SIGKILL {
		_ = n.command.Wait()
	}
}

// close ends all processes of the nodes.
func (f *fleet) close() {
	for _, n := range f.nodes {
		if n.command != nil && n.command.Process != nil && n.command.ProcessState == nil {
			_ = n.command.Process.Signal(syscall.SIGCONT)
			_ = n.command.Process.Kill()
			_ = n.command.Wait()
		}
	}
	_ = f.file.Close()
}

// owner returns the node that owns a pool according to the store, or nil.
func (f *fleet) owner(pool string) *node {
	items, _, err := f.store.kv.List(context.Background(), "nodes/owners/"+pool)
	if err != nil {
		return nil
	}
	for _, item := range items {
		for _, n := range f.nodes {
			if strings.Contains(string(item.Value), n.ip+":") {
				return n
			}
		}
	}
	return nil
}

// request sends one request to a node and returns the status, or 0 without an answer, and the body.
func (f *fleet) request(n *node, method, path string, body any) (int, string) {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return 0, err.Error()
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, fmt.Sprintf("http://%s:%d%s", n.ip, f.port, path), bytes.NewReader(data))
	if err != nil {
		return 0, err.Error()
	}
	r.Host = queueHost
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		f.record("request", n.name, fmt.Sprintf("%s %s: no answer: %v", method, path, err))
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	text, _ := io.ReadAll(resp.Body)
	f.record("request", n.name, fmt.Sprintf("%s %s: %d %s", method, path, resp.StatusCode, strings.TrimSpace(string(text))))
	return resp.StatusCode, string(text)
}

// persist sends a request until it has a final answer, to another node each time.
func (f *fleet) persist(method, path string, body any) (int, string) {
	status, text := 0, ""
	for try := 0; try <= retries; try++ {
		status, text = f.request(f.nodes[rand.IntN(len(f.nodes))], method, path, body)
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusTooManyRequests && status != http.StatusGatewayTimeout {
			return status, text
		}
		time.Sleep(retryPause)
	}
	return status, text
}

// waitFor waits until a condition holds and reports whether it did in time.
func waitFor(limit time.Duration, condition func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}
