// Package rig runs nodes of basilwood against stand-ins for the platform's store, its list of
// machines, its executors and its callers, all on loopback addresses and the real clock. The
// cases of the review use it.
package rig

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	Held   = 0
	Broken = 1
	NotRun = 2
)

// Bounds of the small deployments, as in the settings that the nodes get.
const (
	ApplyTime   = 2000 * time.Millisecond
	VisibleTime = 3000 * time.Millisecond
	ContactTime = 3000 * time.Millisecond
	GraceTime   = 6 * time.Second
	FinishTime  = 14 * time.Second
)

// maxDuration ends a case that does not end by itself.
const maxDuration = 115 * time.Second

// restartDelay is how long the platform waits before it starts a process that has ended.
const restartDelay = 300 * time.Millisecond

var (
	runningRig *Rig
	startedAt  = time.Now()
)

// Fail ends a case that cannot run.
func Fail(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	if runningRig != nil {
		runningRig.Close()
	}
	os.Exit(NotRun)
}

// Ports are taken from below the usual range of ephemeral ports, from which outgoing connections
// would take them before the processes listen on them. Each process of a case begins at ports of
// its own, so that cases that run at the same time do not meet.
const (
	firstPort    = 15000
	portCount    = 15000
	portsPerCase = 100
)

// hasPort reports whether a process can listen on a port now.
func hasPort(port int) bool {
	l, err := net.Listen("tcp", loopback(port))
	if err != nil {
		return false
	}
	return l.Close() == nil
}

func loopback(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

var (
	portMutex sync.Mutex
	nextPort  = os.Getpid() * portsPerCase % portCount
)

// freePorts returns the first of a number of adjacent free ports.
func freePorts(count int) int {
	portMutex.Lock()
	defer portMutex.Unlock()
	for range portCount {
		first, isFree := firstPort+nextPort, true
		for p := first; p < first+count; p++ {
			isFree = isFree && hasPort(p)
		}
		if isFree {
			nextPort = (nextPort + count) % portCount
			return first
		}
		nextPort = (nextPort + 1) % portCount
	}
	Fail("no free ports")
	return 0
}

// FreeAddress returns a loopback address with a free port.
func FreeAddress() string { return loopback(freePorts(1)) }

// Log is the record of a case.
type Log struct {
	mu   sync.Mutex
	file *os.File
}

// Add adds a line with the time since the start.
func (l *Log) Add(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	line := fmt.Sprintf("%8.3f  %s\n", time.Since(startedAt).Seconds(), fmt.Sprintf(format, args...))
	_, _ = l.file.WriteString(line)
}

// Route is a queue of the configuration.
type Route struct {
	Name      string  `json:"name"`
	Host      string  `json:"host"`
	Prefix    string  `json:"prefix"`
	Kind      string  `json:"kind"`
	TimeoutMs int     `json:"timeout_ms"`
	SloMs     int     `json:"slo_ms"`
	Priority  int     `json:"priority"`
	Service   string  `json:"service"`
	Attempts  int     `json:"attempts"`
	Stretch   float64 `json:"stretch"`
}

// Service is a service of the configuration.
type Service struct {
	Name            string `json:"name"`
	HealthPath      string `json:"health_path"`
	MaxConns        int    `json:"max_conns"`
	Protocol        string `json:"protocol"`
	TLS             bool   `json:"tls"`
	RejectsOverload bool   `json:"rejects_overload"`
	Standby         bool   `json:"standby"`
}

// Node is one process of basilwood-node.
type Node struct {
	Name     string
	Front    string
	ready    string
	settings string
	logFile  string
	command  *exec.Cmd
	exited   chan struct{}
}

// Rig is a small deployment.
type Rig struct {
	Store     *Store
	Log       *Log
	Cloud     *Cloud
	Nodes     []*Node
	Executors []*Executor
	binary    string
	folder    string
	client    *http.Client
	once      sync.Once
}

// New returns a rig without nodes and executors. The environment names the program of the nodes
// and the file for the record.
func New() *Rig {
	file, err := os.Create(os.Getenv("RECORD"))
	if err != nil {
		Fail("record: %v", err)
	}
	folder, err := os.MkdirTemp("", "basilwood-review-")
	if err != nil {
		Fail("temporary folder: %v", err)
	}
	r := &Rig{Store: NewStore(), Log: &Log{file: file}, binary: os.Getenv("NODE"), folder: folder,
		client: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}}
	r.Cloud = &Cloud{rig: r, changing: make(map[string]string)}
	runningRig = r
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, os.Interrupt, syscall.SIGTERM)
	go func() { Fail("ended by signal %s", <-signals) }()
	time.AfterFunc(maxDuration, func() { Fail("takes longer than %s", maxDuration) })
	return r
}

// HasTrouble reports whether the case includes the disruption.
func HasTrouble() bool { return os.Getenv("TROUBLE") != "0" }

// Close ends all processes that the rig has started.
func (r *Rig) Close() {
	r.once.Do(func() {
		for _, n := range r.Nodes {
			if n.command != nil {
				_ = n.command.Process.Kill()
				<-n.exited
			}
		}
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(r.folder)
		} else {
			fmt.Println("logs:", r.folder)
		}
	})
}

// Finish records the verdict, ends the processes and exits.
func (r *Rig) Finish(problems []string) {
	for _, p := range problems {
		r.Log.Add("BROKEN %s", p)
		fmt.Println("BROKEN", p)
	}
	if len(problems) == 0 {
		r.Log.Add("the rule held")
		fmt.Println("the rule held")
	}
	r.Close()
	if len(problems) > 0 {
		os.Exit(Broken)
	}
	os.Exit(Held)
}

// Size of an executor of the small deployments: thousandths of a core and megabytes.
const (
	executorCPU    = 64000
	executorMemory = 262144
	executorsARack = 4
)

// AddExecutors starts executors of a service, four to a rack. work says what each run does.
func (r *Rig) AddExecutors(service string, count int, work func(task string, run int) Work) {
	for n := 1; n <= count; n++ {
		r.AddExecutor(service, n, work).Start()
	}
}

// AddExecutor returns the executor with a number of a service, which has not been started.
func (r *Rig) AddExecutor(service string, number int, work func(task string, run int) Work) *Executor {
	id, rack := fmt.Sprintf("i-%s-%d", service, number), fmt.Sprintf("r-%s-%d", service, (number-1)/executorsARack+1)
	e := NewExecutor(id, service, rack, executorCPU, executorMemory, r.Store, r.Log, work)
	r.Executors = append(r.Executors, e)
	return e
}

// Runs returns all runs that executors have begun.
func (r *Rig) Runs() []Run {
	var list []Run
	for _, e := range r.Executors {
		list = append(list, e.Runs()...)
	}
	return list
}

// Configure writes a version of the configuration.
func (r *Rig) Configure(version int, routes []Route, services []string) {
	list := []Service{}
	for _, s := range services {
		list = append(list, Service{Name: s, HealthPath: "/health", MaxConns: 64, Protocol: "h1"})
	}
	r.Log.Add("operator writes version %d with %d routes", version, len(routes))
	for _, route := range routes {
		r.Log.Add("  route %s, prefix %s, service %s, attempts %d", route.Name, route.Prefix, route.Service, route.Attempts)
	}
	r.Store.Put("op/config", map[string]any{"version": version, "routes": routes, "services": list,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}})
}

// StartNodes serves the platform and starts nodes.
func (r *Rig) StartNodes(count int) {
	storeAddress, cloudAddress, adviceAddress := FreeAddress(), FreeAddress(), FreeAddress()
	serve(storeAddress, r.Store)
	serve(cloudAddress, r.Cloud)
	serve(adviceAddress, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { reply(w, http.StatusTooManyRequests, struct{}{}) }))
	for i := range count {
		low := freePorts(2)
		n := &Node{Name: fmt.Sprintf("front-%d", i+1), Front: FreeAddress(), ready: FreeAddress()}
		n.settings = filepath.Join(r.folder, n.Name+".conf")
		n.logFile = filepath.Join(r.folder, n.Name+".log")
		text := strings.NewReplacer("NODE", n.Name, "FRONT", n.Front, "READY", n.ready, "LOW", fmt.Sprint(low), "HIGH", fmt.Sprint(low+1),
			"STORE", storeAddress, "CLOUD", cloudAddress, "ADVICE", adviceAddress).Replace(settingsTemplate)
		if err := os.WriteFile(n.settings, []byte(text), 0o600); err != nil {
			Fail("settings: %v", err)
		}
		r.Nodes = append(r.Nodes, n)
		r.startProcess(n)
	}
}

func serve(address string, h http.Handler) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		Fail("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
}

func (r *Rig) startProcess(n *Node) {
	out, err := os.OpenFile(n.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		Fail("log: %v", err)
	}
	c := exec.Command(r.binary)
	c.Env = append(os.Environ(), "BASILWOOD_CONFIG="+n.settings)
	c.Stdout, c.Stderr = out, out
	if err := c.Start(); err != nil {
		Fail("start %s: %v", n.Name, err)
	}
	exited := make(chan struct{})
	n.command, n.exited = c, exited
	r.Log.Add("node %s starts", n.Name)
	go func() {
		_ = c.Wait()
		_ = out.Close()
		close(exited)
	}()
}

// Terminate stops a node as the platform does at a planned stop, and starts it again.
func (r *Rig) Terminate(n *Node) {
	r.Log.Add("node %s gets SIGTERM", n.Name)
	_ = n.command.Process.Signal(syscall.SIGTERM)
	select {
	case <-n.exited:
	case <-time.After(GraceTime):
		r.Log.Add("node %s gets SIGKILL", n.Name)
		_ = n.command.Process.Kill()
		<-n.exited
	}
	r.Log.Add("node %s has ended", n.Name)
	time.Sleep(restartDelay)
	r.startProcess(n)
}

// IsReady reports whether a node's readiness check answers 200.
func (r *Rig) IsReady(n *Node) bool {
	resp, err := r.client.Get("http://" + n.ready + "/basilwood/ready")
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode == http.StatusOK
}

// OwnerOf returns the node that the store names as the owner of a service's jobs, or nil.
func (r *Rig) OwnerOf(service string) *Node {
	data, _ := r.Store.Get("nodes/owners/" + service)
	var owner struct {
		Name string `json:"name"`
	}
	if err := json.Unmarshal(data, &owner); err != nil {
		return nil
	}
	for _, n := range r.Nodes {
		if n.Name == owner.Name {
			return n
		}
	}
	return nil
}

// Call sends a request to a node as a caller does. The status is 0 if no answer arrived.
func (r *Rig) Call(n *Node, method string, route Route, id, body string) (int, string) {
	req, err := http.NewRequest(method, "http://"+n.Front+route.Prefix+id, bytes.NewBufferString(body))
	if err != nil {
		Fail("request: %v", err)
	}
	req.Host = route.Host
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Deadline-Ms", "3000")
	resp, err := r.client.Do(req)
	if err != nil {
		r.Log.Add("caller: %s %s at %s: no answer", method, route.Prefix+id, n.Name)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, _ := io.ReadAll(resp.Body)
	text := strings.TrimSpace(string(data))
	r.Log.Add("caller: %s %s at %s: %d %s", method, route.Prefix+id, n.Name, resp.StatusCode, text)
	return resp.StatusCode, text
}

// Submit hands a job in, again and again until it is accepted. It returns when the 2xx came.
func (r *Rig) Submit(route Route, id, body string) time.Time {
	for i := range 40 {
		if status, _ := r.Call(r.Nodes[i%len(r.Nodes)], http.MethodPost, route, id, body); status/100 == 2 {
			return time.Now()
		}
		time.Sleep(250 * time.Millisecond)
	}
	Fail("job %s was not accepted", id)
	return time.Time{}
}

// State returns the state of a job as a node shows it, and the status of the answer.
func (r *Rig) State(n *Node, route Route, id string) (int, string) {
	status, body := r.Call(n, http.MethodGet, route, id, "")
	var reply struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &reply)
	return status, reply.State
}

// WaitUntilServing waits until each node answers for each route.
func (r *Rig) WaitUntilServing(routes []Route) {
	deadline := time.Now().Add(30 * time.Second)
	for _, n := range r.Nodes {
		for _, route := range routes {
			for {
				if status, _ := r.Call(n, http.MethodGet, route, "", ""); status == http.StatusOK {
					break
				}
				if time.Now().After(deadline) {
					Fail("node %s does not serve", n.Name)
				}
				time.Sleep(200 * time.Millisecond)
			}
		}
	}
}

const settingsTemplate = `node=NODE
role=node
class=front
serves=front
ip=127.0.0.1
zone=zone-a
region=here
zones.zone-a=here
listen.front=FRONT
listen.ready_addr=READY
port_range=LOW,HIGH
seeds=
bootstrap=true
loss_counts=false
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
limits.link_mbps=1000.0
limits.disk_mb=0
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
tolerate.machines=1
tolerate.zones=0
tolerate.regions=0
bounds.seed_lag_s=3
bounds.reuse_s=2
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.sync_s=4
bounds.drain_ms=2000
bounds.grace_s=6
bounds.loss_slack_ms=200
bounds.apply_ms=2000
bounds.downgrade_ms=250
bounds.skew_max_ms=5000
bounds.recovery_s=12
bounds.hold_max_ms=10000
bounds.stop_ms=900
bounds.gang_ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.far_x=3
bounds.checkpoint_interval_s=2
bounds.restore_ms=100
bounds.notice_ms=4500
bounds.move_s=1.5
bounds.maintenance_s=2
bounds.fence_required=true
bounds.lease_ms=3000
bounds.thaw_ms=300
bounds.pace_ms=100
bounds.harm_ms=4000
orders=rpc
advice=ADVICE
platform.addr=STORE
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.retention_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
cloud.addr=CLOUD
cloud.rate_per_s=64.0
cloud.duties=
cloud.duty_per_s=64.0
`
