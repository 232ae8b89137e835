package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"time"
)

// settingsTemplate holds settings like those of a small deployment. The values are the node's name, its zone, IP
// address, port for callers, port for readiness, first and last port of its range, and the addresses of the store
// and of the host service, and a line for the policy service.
const settingsTemplate = `node=%s
role=node
class=front
serves=front
ip=%[3]s
zone=%[2]s
region=moka
zones.zone-a=moka
listen.front=%[3]s:%[4]d
listen.ready_addr=%[3]s:%[5]d
port_range=%[6]d,%[7]d
bootstrap=true
limits.cpu_share=0.4
limits.cores=1
limits.memory_mb=284
limits.max_fds=4100
discovery=platform
entry=vip
heartbeat_ms=1500
contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing
bounds.contact_ms=3000
bounds.ack_ms=4000
bounds.drain_ms=2000
bounds.grace_s=6
bounds.apply_ms=2000
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
bounds.pace_ms=100
bounds.harm_ms=4000
orders=rpc
platform.addr=%[8]s
platform.form=kv
platform.writes_per_s=400
platform.reads_per_s=2000
platform.retention_s=20
platform.value_bytes=1048576
platform.ttl_min_ms=1000
cloud.addr=%[9]s
cloud.rate_per_s=64.0
cloud.duty_per_s=64.0
%[10]s
`

// program is the command of the deploy file, which runs in the root of the repository.
const program = "target/basilwood-node"

// node is one process of the system.
type node struct {
	name, callers, ready string
	storeLink            *link
	process              *exec.Cmd
	settings             string
	log                  *os.File
}

// freePorts returns ports of an IP address that are free now.
func freePorts(ip string, n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer l.Close()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startNode starts a node whose calls to the store go through a link of its own.
func (f *fleet) startNode(number int, hosts string) (*node, error) {
	ip := nodeIP(number)
	ports, err := freePorts(ip, 2)
	if err != nil {
		return nil, err
	}
	first, err := freePair(ip)
	if err != nil {
		return nil, err
	}
	l, err := newLink(f.store.address)
	if err != nil {
		return nil, err
	}
	n := &node{name: fmt.Sprintf("front-%d", number), storeLink: l}
	n.callers, n.ready = fmt.Sprintf("%s:%d", ip, ports[0]), fmt.Sprintf("%s:%d", ip, ports[1])
	advice := ""
	if f.advice != nil {
		a, err := newAdviser(f.record, decideTime, adviceTime, ticketValid)
		if err != nil {
			return nil, err
		}
		advice = "advice=" + a.address
	}
	settings := fmt.Sprintf(settingsTemplate, n.name, "zone-a", ip, ports[0], ports[1], first, first+1, l.address, hosts, advice)
	path := filepath.Join(f.dir, n.name+".conf")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(f.dir, n.name+".log"))
	if err != nil {
		return nil, err
	}
	n.settings, n.log = path, log
	return n, n.run()
}

// run starts the process of the node, for the first time or again.
func (n *node) run() error {
	n.process = exec.Command(program)
	n.process.Env = []string{"BASILWOOD_CONFIG=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + filepath.Dir(n.settings), "LANG=C.UTF-8"}
	n.process.Stdout, n.process.Stderr = n.log, n.log
	return n.process.Start()
}

// nodeIP returns the loopback address of a node. It differs between cases that run side by side, so that none takes a
// port that another one has found to be free.
func nodeIP(number int) string {
	const subnets = 250
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 1+pid/subnets%subnets, 1+pid%subnets, 10+number)
}

// freePair returns the first of two successive free ports.
func freePair(ip string) (int, error) {
	for range 50 {
		ports, err := freePorts(ip, 1)
		if err != nil {
			return 0, err
		}
		l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, ports[0]+1))
		if err == nil {
			return ports[0], l.Close()
		}
	}
	return 0, fmt.Errorf("no two successive free ports at %s", ip)
}

// stop kills the process of the node, which the case has started.
func (n *node) stop() {
	if n.process.Process != nil {
		_ = n.process.Process.Kill()
		_ = n.process.Wait()
	}
}

// isReady reports whether the node takes connections of callers.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + n.ready + "/basilwood/ready")
	if err != nil {
		return false
	}
	defer r.Body.Close()
	return r.StatusCode == http.StatusOK
}

// link is a TCP proxy between a node and the store.
type link struct {
	address, target string
	// awaited is set until a watch that it describes is sent.
	awaited atomic.Pointer[awaitedWatch]
}

// awaitedWatch is a watch whose connection is to be noted, and made silent once the request has passed.
type awaitedWatch struct {
	prefix     string
	makeSilent bool
	sent       chan struct{}
}

// linkConn is one connection through a link. It carries nothing any more once it is silent.
type linkConn struct {
	link           *link
	client, server net.Conn
	isSilent       atomic.Bool
}

func newLink(target string) (*link, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	k := &link{address: l.Addr().String(), target: target}
	go k.accept(l)
	return k, nil
}

func (k *link) accept(l net.Listener) {
	for {
		client, err := l.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", k.target)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &linkConn{link: k, client: client, server: server}
		go c.carry(server, client, true)
		go c.carry(client, server, false)
	}
}

// carry copies what arrives in one direction. The bytes of a silent connection are dropped.
func (c *linkConn) carry(to io.Writer, from io.Reader, isRequest bool) {
	defer func() {
		_ = c.client.Close()
		_ = c.server.Close()
	}()
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 && !c.isSilent.Load() {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				return
			}
			if isRequest {
				c.noteWatch(string(buffer[:n]))
			}
		}
		if err != nil {
			return
		}
	}
}

// noteWatch handles the request if it is the watch that is awaited.
func (c *linkConn) noteWatch(request string) {
	w := c.link.awaited.Load()
	if w == nil || !strings.HasPrefix(request, "GET /basilwood/kv-watch?") || !strings.Contains(request, "prefix="+url.QueryEscape(w.prefix)) {
		return
	}
	if c.link.awaited.CompareAndSwap(w, nil) {
		c.isSilent.Store(w.makeSilent)
		close(w.sent)
	}
}

// awaitWatch waits until the node sends a watch of a prefix. With makeSilent the connection of the watch then goes
// silent for good, without a reset; all others work, and so do new ones.
func (k *link) awaitWatch(prefix string, makeSilent bool) {
	w := &awaitedWatch{prefix: prefix, makeSilent: makeSilent, sent: make(chan struct{})}
	k.awaited.Store(w)
	<-w.sent
}
