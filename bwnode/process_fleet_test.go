package bwnode_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"basilwood.example/basilwood/bwexecutor"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwkv"
	"basilwood.example/basilwood/bwowner"
	"basilwood.example/basilwood/bwschedule"
	"basilwood.example/basilwood/bwstandin"
	"basilwood.example/basilwood/platform"
	"gotest.tools/v3/assert"
)

// linkState tells what a link between two processes carries.
type linkState int

const (
	linkUp linkState = iota
	// linkStalled holds requests and replies back, linkReset closes connections.
	linkStalled
	linkReset
)

// link is a link that tests can cut. Callers that it holds back go on when it is up again.
type link struct {
	mu      sync.Mutex
	state   linkState
	changed chan struct{}
}

func newLink() *link { return &link{changed: make(chan struct{})} }

func (l *link) set(s linkState) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state = s
	close(l.changed)
	l.changed = make(chan struct{})
}

// setFor sets the state for a while.
func (l *link) setFor(s linkState, d time.Duration) {
	l.set(s)
	time.AfterFunc(d, func() { l.set(linkUp) })
}

// awaitNotStalled waits while the link is stalled, and returns its state.
func (l *link) awaitNotStalled() linkState {
	for {
		l.mu.Lock()
		s, changed := l.state, l.changed
		l.mu.Unlock()
		if s != linkStalled {
			return s
		}
		<-changed
	}
}

// wrap returns a handler behind the link. Requests that were held back are executed late.
func (l *link) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		data, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(data))
		if l.awaitNotStalled() == linkReset {
			panic(http.ErrAbortHandler)
		}
		reply := httptest.NewRecorder()
		next.ServeHTTP(reply, r)
		if l.awaitNotStalled() == linkReset {
			panic(http.ErrAbortHandler)
		}
		w.WriteHeader(reply.Code)
		_, _ = w.Write(reply.Body.Bytes())
	})
}

// proxy forwards TCP connections over a link.
func (l *link) proxy(t *testing.T, target string) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			in, err := listener.Accept()
			if err != nil {
				return
			}
			go l.forward(in, target)
		}
	}()
	return listener.Addr().String()
}

func (l *link) forward(in net.Conn, target string) {
	defer in.Close()
	l.awaitNotStalled()
	out, err := net.Dial("tcp", target)
	if err != nil {
		return
	}
	defer out.Close()
	done := make(chan struct{}, 2)
	pump := func(to, from net.Conn) {
		defer func() { done <- struct{}{} }()
		buffer := make([]byte, 32<<10)
		for {
			n, err := from.Read(buffer)
			if l.awaitNotStalled() == linkReset {
				return
			}
			if n > 0 {
				if _, err := to.Write(buffer[:n]); err != nil {
					return
				}
			}
			if err != nil {
				return
			}
		}
	}
	go pump(out, in)
	go pump(in, out)
	<-done
}

// processNode is a basilwood-node process.
type processNode struct {
	name      string
	process   *os.Process
	callers   string
	toStore   *strings.Replacer
	toNode    *strings.Replacer
	store     *link
	executors map[string]*link
	nodes     map[*processNode]*link
	logPath   string
	// lease is the latest lease that the process was granted.
	lease atomic.Int64
}

// processFleet is a fleet of processes over TCP, with the stand-ins of the store and the executors in this process.
type processFleet struct {
	t         *testing.T
	rng       *rand.Rand
	kv        *bwstandin.KV
	executors *bwstandin.Executors
	nodes     []*processNode
	jobs      int
}

func buildNode(t *testing.T) string {
	path := filepath.Join(t.TempDir(), "basilwood-node")
	out, err := exec.Command("go", "build", "-o", path, "basilwood.example/basilwood/cmd/basilwood-node").CombinedOutput()
	assert.NilError(t, err, string(out))
	return path
}

func freeAddress(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	return l.Addr().String()
}

// freePortPair returns two adjacent free ports.
func freePortPair(t *testing.T) int {
	for range 50 {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		port := l.Addr().(*net.TCPAddr).Port
		next, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port+1))
		_ = l.Close()
		if err == nil {
			_ = next.Close()
			return port
		}
	}
	t.Fatal("no two adjacent ports are free")
	return 0
}

func serveHTTP(t *testing.T, h http.Handler) string {
	s := httptest.NewUnstartedServer(h)
	s.Config.ErrorLog = nil
	s.Start()
	t.Cleanup(func() { go s.Close() })
	return s.Listener.Addr().String()
}

// newProcessFleet starts the processes. Each has its own address of the store, of each executor and of each
// other process, so that each link can be cut.
func newProcessFleet(t *testing.T, binary string, seed uint64, nodes, executors int) *processFleet {
	f := &processFleet{t: t, rng: rand.New(rand.NewPCG(seed, seed)), kv: bwstandin.NewKV(seed), executors: bwstandin.NewExecutors(seed)}
	config := `{"version":1,"routes":[{"name":"q-desk","host":"h","prefix":"/desk/","service":"desk","slo_ms":1000,"attempts":4,"stretch":2}],"services":[{"name":"desk"}],"limits":{"max_body_bytes":262144}}`
	f.kv.Put(platform.KeyConfiguration, []byte(config))
	for i := range executors {
		r := bwexecutor.Registration{ID: fmt.Sprintf("desk-%d", i), Pool: "desk", Address: fmt.Sprintf("10.20.0.%d:80", i), Incarnation: 1,
			Rack: fmt.Sprintf("r%d", i/2), Capacity: bwjob.Resources{CPU: 8000, MemoryMB: 32000}}
		f.executors.Add(r)
		value, err := json.Marshal(wireRegistration(r))
		assert.NilError(t, err)
		f.kv.Put(prefixRegistry+r.ID, value)
	}
	addresses := make(map[*processNode]string)
	ports := make(map[*processNode]int)
	for i := range nodes {
		n := &processNode{name: fmt.Sprintf("node-%d", i+1), callers: freeAddress(t), store: newLink(), executors: make(map[string]*link), nodes: make(map[*processNode]*link)}
		ports[n] = freePortPair(t)
		addresses[n] = fmt.Sprintf("127.0.0.1:%d", ports[n])
		f.nodes = append(f.nodes, n)
	}
	for _, n := range f.nodes {
		var toNode, toStore []string
		for _, r := range f.executors.Registrations() {
			l := newLink()
			n.executors[r.ID] = l
			local := serveHTTP(t, l.wrap(f.executorHandler(r.ID)))
			toNode, toStore = append(toNode, `"`+r.Address+`"`, `"`+local+`"`), append(toStore, `"`+local+`"`, `"`+r.Address+`"`)
		}
		for _, other := range f.nodes {
			if other != n {
				n.nodes[other] = newLink()
				toNode = append(toNode, `"`+addresses[other]+`"`, `"`+n.nodes[other].proxy(t, addresses[other])+`"`)
			}
		}
		n.toNode, n.toStore = strings.NewReplacer(toNode...), strings.NewReplacer(toStore...)
		f.startProcess(binary, n, ports[n])
	}
	return f
}

func (f *processFleet) startProcess(binary string, n *processNode, port int) {
	store := serveHTTP(f.t, n.store.wrap(f.storeHandler(n)))
	settings := fmt.Sprintf(`node=%s
zone=a
ip=127.0.0.1
listen.front=%s
listen.ready_addr=%s
port_range=%d,%d
limits.memory_mb=284
limits.cpu_share=0.8
bounds.visible_ms=3000
bounds.contact_ms=4000
bounds.hold_max_ms=10000
bounds.grace_s=6
bounds.status_s=120
bounds.stop_ms=900
bounds.lease_ms=3000
orders=rpc
platform.addr=%s
`, n.name, n.callers, freeAddress(f.t), port, port+1, store)
	dir := f.t.TempDir()
	path := filepath.Join(dir, "settings")
	assert.NilError(f.t, os.WriteFile(path, []byte(settings), 0o600))
	n.logPath = filepath.Join(dir, n.name+".log")
	log, err := os.Create(n.logPath)
	assert.NilError(f.t, err)
	cmd := exec.Command(binary)
	cmd.Env = append(os.Environ(), platform.SettingsVariable+"="+path)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(f.t, cmd.Start())
	_ = log.Close()
	n.process = cmd.Process
	f.t.Cleanup(func() {
		_ = n.process.Signal(syscall.SIGCONT)
		_ = n.process.Kill()
		_ = cmd.Wait()
	})
}

type wireItem struct {
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Rev     int64  `json:"rev"`
	Deleted bool   `json:"deleted,omitempty"`
}

func (n *processNode) items(list []bwkv.Item) []wireItem {
	items := []wireItem{}
	for _, i := range list {
		items = append(items, wireItem{Key: i.Key, Value: []byte(n.toNode.Replace(string(i.Value))), Rev: i.Revision, Deleted: i.IsRemoved})
	}
	return items
}

// storeHandler serves the store's protocol to one node.
func (f *processFleet) storeHandler(n *processNode) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, query := r.Context(), r.URL.Query()
		path := strings.TrimPrefix(r.URL.Path, "/basilwood/")
		switch {
		case path == "kv-key":
			item, err := f.kv.Get(ctx, query.Get("key"))
			if err != nil {
				bwhttp.WriteJSON(w, http.StatusNotFound, struct{}{})
				return
			}
			bwhttp.WriteJSON(w, http.StatusOK, n.items([]bwkv.Item{item})[0])
		case path == "kv-range":
			items, revision, err := f.kv.List(ctx, query.Get("prefix"))
			if err != nil {
				bwhttp.WriteJSON(w, http.StatusServiceUnavailable, struct{}{})
				return
			}
			bwhttp.WriteJSON(w, http.StatusOK, map[string]any{"items": n.items(items), "as_of": revision, "truncated": false})
		case path == "kv-watch":
			after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
			wait, _ := strconv.ParseInt(query.Get("wait_ms"), 10, 64)
			items, revision, err := f.kv.Watch(ctx, query.Get("prefix"), after, time.Duration(wait)*time.Millisecond)
			if err != nil {
				bwhttp.WriteJSON(w, http.StatusGone, struct{}{})
				return
			}
			bwhttp.WriteJSON(w, http.StatusOK, map[string]any{"events": n.items(items), "as_of": revision})
		case path == "kv-txn":
			f.serveTransaction(w, r, n)
		case path == "kv-lease":
			var body struct {
				TTLMs int64 `json:"ttl_ms"`
			}
			_ = json.NewDecoder(r.Body).Decode(&body)
			id, ttl, _ := f.kv.GrantLease(ctx, time.Duration(body.TTLMs)*time.Millisecond)
			n.lease.Store(id)
			bwhttp.WriteJSON(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": ttl.Milliseconds()})
		case strings.HasPrefix(path, "kv-keep/"):
			id, _ := strconv.ParseInt(strings.TrimPrefix(path, "kv-keep/"), 10, 64)
			if f.kv.KeepLease(ctx, id) != nil {
				bwhttp.WriteJSON(w, http.StatusNotFound, struct{}{})
				return
			}
			bwhttp.WriteJSON(w, http.StatusOK, struct{}{})
		case strings.HasPrefix(path, "kv-lease-end/"):
			id, _ := strconv.ParseInt(strings.TrimPrefix(path, "kv-lease-end/"), 10, 64)
			_ = f.kv.EndLease(ctx, id)
			bwhttp.WriteJSON(w, http.StatusOK, struct{}{})
		}
	})
}

func (f *processFleet) serveTransaction(w http.ResponseWriter, r *http.Request, n *processNode) {
	var body struct {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		bwhttp.WriteJSON(w, http.StatusBadRequest, struct{}{})
		return
	}
	t := bwkv.Transaction{Remove: body.Remove}
	for _, e := range body.Expected {
		t.Expected = append(t.Expected, bwkv.Expectation{Key: e.Key, Revision: e.Rev})
	}
	for _, s := range body.SetKeys {
		t.Set = append(t.Set, bwkv.Write{Key: s.Key, Value: []byte(n.toStore.Replace(string(s.Value))), Lease: s.Lease})
	}
	switch result := f.kv.Transact(r.Context(), t); result.Outcome {
	case bwkv.Committed:
		bwhttp.WriteJSON(w, http.StatusOK, map[string]any{"rev": result.Revision})
	case bwkv.Conflict:
		bwhttp.WriteJSON(w, http.StatusPreconditionFailed, map[string]any{"items": n.items(result.Items)})
	case bwkv.LeaseGone:
		bwhttp.WriteJSON(w, http.StatusNotFound, struct{}{})
	default:
		bwhttp.WriteJSON(w, http.StatusServiceUnavailable, struct{}{})
	}
}

// parseTask parses the platform's name of a task.
func parseTask(name string) bwjob.TaskID {
	p := strings.Split(name, ".")
	number := func(i int) int { n, _ := strconv.Atoi(p[i]); return n }
	return bwjob.TaskID{Job: p[0], Occurrence: number(1), Step: number(2), Index: number(3)}
}

func nameOf(id bwjob.TaskID) string {
	return fmt.Sprintf("%s.%d.%d.%d", id.Job, id.Occurrence, id.Step, id.Index)
}

// executorHandler serves the protocol of one executor.
func (f *processFleet) executorHandler(id string) http.Handler {
	target := bwowner.Target{ID: id}
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var body struct {
			Task      string `json:"task"`
			Run       int    `json:"run"`
			Spec      string `json:"spec"`
			UntilMs   int64  `json:"until_ms"`
			Fence     int64  `json:"fence"`
			AckedUpto int64  `json:"acked_upto"`
			WaitMs    int64  `json:"wait_ms"`
		}
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			bwhttp.WriteJSON(w, http.StatusBadRequest, struct{}{})
			return
		}
		ctx := context.Background()
		var reply bwowner.ExecutorReply
		switch r.URL.Path {
		case "/basilwood/hold":
			reply = f.executors.RenewLease(ctx, target, bwowner.LeaseRenewal{Fence: body.Fence, LeaseUntil: body.UntilMs, AckedUpTo: body.AckedUpto,
				MaxWait: time.Duration(body.WaitMs) * time.Millisecond})
		case "/basilwood/run-start":
			reply = f.executors.Order(ctx, target, bwschedule.Order{Kind: bwschedule.Start, Executor: id, Task: parseTask(body.Task), Run: body.Run, Payload: body.Spec}, body.Fence, body.UntilMs)
		case "/basilwood/run-stop":
			reply = f.executors.Order(ctx, target, bwschedule.Order{Kind: bwschedule.Stop, Executor: id, Task: parseTask(body.Task), Run: body.Run}, body.Fence, 0)
		default:
			reply = bwowner.ExecutorReply{Result: bwschedule.Accepted}
		}
		writeExecutorReply(w, reply)
	})
}

var conflictReasons = map[bwschedule.Result]string{bwschedule.Fenced: "fence", bwschedule.RunTooOld: "old", bwschedule.LeaseExpired: "late", bwschedule.InsufficientCapacity: "room"}

func writeExecutorReply(w http.ResponseWriter, reply bwowner.ExecutorReply) {
	running, ended := [][]any{}, [][]any{}
	for _, s := range reply.Report.Running {
		running = append(running, []any{nameOf(s.Task), s.Run, s.Checkpoint, s.Percent})
	}
	for _, e := range reply.Report.Ended {
		ended = append(ended, []any{e.Number, nameOf(e.End.Task), e.End.Run, e.End.Kind.String(), ""})
	}
	body := map[string]any{"clock_ms": reply.Clock, "born": reply.Report.Incarnation, "running": running, "ended": ended}
	switch reason := conflictReasons[reply.Result]; {
	case reason != "":
		body["reason"] = reason
		bwhttp.WriteJSON(w, http.StatusConflict, body)
	case reply.Result == bwschedule.OtherIncarnation:
		bwhttp.WriteJSON(w, http.StatusMisdirectedRequest, body)
	case reply.Result == bwschedule.Accepted:
		bwhttp.WriteJSON(w, http.StatusOK, body)
	default:
		bwhttp.WriteJSON(w, http.StatusBadRequest, body)
	}
}

// owner returns the node that the owner's key names, or nil.
func (f *processFleet) owner() *processNode {
	item, err := f.kv.Get(context.Background(), "nodes/owners/desk")
	if err != nil {
		return nil
	}
	var v struct {
		Name       string `json:"name"`
		IsReleased bool   `json:"isReleased"`
	}
	if json.Unmarshal(item.Value, &v) != nil || v.IsReleased {
		return nil
	}
	for _, n := range f.nodes {
		if n.name == v.Name {
			return n
		}
	}
	return nil
}

func (f *processFleet) awaitOwner(not *processNode) *processNode {
	for range 200 {
		if o := f.owner(); o != nil && o != not {
			return o
		}
		time.Sleep(50 * time.Millisecond)
	}
	f.t.Fatal("no owner")
	return nil
}

// submit hands in a job of one step at a process, which may be refused.
func (f *processFleet) submit(n *processNode, count int, work time.Duration) string {
	f.jobs++
	id := fmt.Sprintf("%016x", f.jobs)
	step := bwjob.Step{Count: count, Need: bwjob.Resources{CPU: 500, MemoryMB: 1000}, Estimate: work}
	f.executors.RegisterJob(&bwjob.Spec{ID: id, Queue: "q-desk", Steps: []bwjob.Step{step}})
	if n == nil {
		return id
	}
	body := fmt.Sprintf(`{"spec":"p","steps":[{"count":%d,"cpu":500,"mem_mb":1000,"est_ms":%d}]}`, count, work.Milliseconds())
	r, err := http.NewRequest(http.MethodPost, "http://"+n.callers+"/desk/"+id, strings.NewReader(body))
	assert.NilError(f.t, err)
	r.Host = "h"
	client := http.Client{Timeout: 3 * time.Second}
	reply, err := client.Do(r)
	if err != nil {
		f.t.Log("no answer to a submission:", err)
		return id
	}
	_ = reply.Body.Close()
	if reply.StatusCode != http.StatusOK {
		f.t.Log("submission refused:", reply.StatusCode)
	}
	return id
}

// check fails the test with the logs of the nodes if the executors have recorded a violation.
func (f *processFleet) check() {
	violations := f.executors.Violations()
	if len(violations) == 0 {
		return
	}
	for _, v := range violations {
		f.t.Error(v)
	}
	for _, n := range f.nodes {
		data, err := os.ReadFile(n.logPath)
		assert.NilError(f.t, err)
		f.t.Logf("log of %s:\n%s", n.name, data)
	}
}
