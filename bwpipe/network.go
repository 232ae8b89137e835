// Package bwpipe is an in-memory network for tests.
//
// Hosts are named by the IP part of an address. A connection has unbounded buffers, so
// a write never waits, which lets tests run under testing/synctest. Faults apply to a
// pair of hosts: a cut refuses new connections and breaks open ones; silence loses
// everything that open connections carry from then on while new ones work; a freeze
// holds everything back until it ends.
package bwpipe

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"sync"
	"time"
)

// errRefused is the error of a dial that nobody accepts.
var errRefused = errors.New("connection refused")

// Network connects hosts in memory. It is safe for concurrent use.
type Network struct {
	mu        sync.Mutex
	listeners map[string]*listener
	links     map[*link]bool
	cut       map[pair]bool
	frozen    map[string]bool
	dead      map[string]bool
}

// pair is two host names in order.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// link is one open connection.
type link struct {
	ends   pair
	client *end
	server *end
}

// New returns a network without hosts.
func New() *Network {
	return &Network{
		listeners: make(map[string]*listener),
		links:     make(map[*link]bool),
		cut:       make(map[pair]bool),
		frozen:    make(map[string]bool),
		dead:      make(map[string]bool),
	}
}

// HostOf returns the host part of an address.
func HostOf(address string) string {
	host, _, _ := strings.Cut(address, ":")
	return host
}

// Listen opens a listener at an address such as 10.0.0.1:80.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, backlog: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial connects a host to an address.
func (n *Network) Dial(from, address string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := n.listeners[address]
	ends := pairOf(from, HostOf(address))
	if l == nil || n.cut[ends] || n.dead[from] {
		return nil, errRefused
	}
	k := newLink(n, from, address)
	isHeld := n.frozen[ends.a] || n.frozen[ends.b]
	k.client.out.setHeld(isHeld)
	k.server.out.setHeld(isHeld)
	select {
	case l.backlog <- k.server:
	default:
		return nil, errRefused
	}
	n.links[k] = true
	return k.client, nil
}

// Dialer returns the dial function of a host, for calls between processes.
func (n *Network) Dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, address string) (net.Conn, error) { return n.Dial(from, address) }
}

// DialContext returns the dial function of a host, for net/http.
func (n *Network) DialContext(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(_ context.Context, _, address string) (net.Conn, error) { return n.Dial(from, address) }
}

// Cut separates two hosts, or joins them again.
func (n *Network) Cut(a, b string, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pairOf(a, b)] = isCut
	if isCut {
		n.eachLink(func(p pair) bool { return p == pairOf(a, b) }, (*link).close)
	}
}

// HealCuts joins every pair of hosts again.
func (n *Network) HealCuts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// Isolate cuts a host off for good, as a kill does.
func (n *Network) Isolate(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.dead[host] = true
	for address := range n.listeners {
		if HostOf(address) == host {
			delete(n.listeners, address)
		}
	}
	n.eachLink(func(p pair) bool { return p.a == host || p.b == host }, (*link).close)
}

// Silence loses what the open connections between two hosts carry from now on.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.eachLink(func(p pair) bool { return p == pairOf(a, b) }, func(k *link) {
		k.client.out.setLost()
		k.server.out.setLost()
	})
}

// Freeze holds back everything to and from a host, or lets it go.
func (n *Network) Freeze(host string, isFrozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[host] = isFrozen
	n.eachLink(func(p pair) bool { return p.a == host || p.b == host }, func(k *link) {
		isHeld := n.frozen[k.ends.a] || n.frozen[k.ends.b]
		k.client.out.setHeld(isHeld)
		k.server.out.setHeld(isHeld)
	})
}

func (n *Network) eachLink(matches func(pair) bool, do func(*link)) {
	for k := range n.links {
		if matches(k.ends) {
			do(k)
		}
	}
}

func (n *Network) forget(k *link) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.links, k)
}

// listener accepts the connections to one address.
type listener struct {
	network *Network
	address string
	backlog chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept returns the next connection.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close ends the listener.
func (l *listener) Close() error {
	l.once.Do(func() {
		l.network.mu.Lock()
		if l.network.listeners[l.address] == l {
			delete(l.network.listeners, l.address)
		}
		l.network.mu.Unlock()
		close(l.done)
	})
	return nil
}

// Addr returns the listener's address.
func (l *listener) Addr() net.Addr { return address(l.address) }

type address string

// Network returns the name of the network.
func (address) Network() string { return "pipe" }

// String returns the address.
func (a address) String() string { return string(a) }

// stream carries bytes in one direction.
type stream struct {
	mu     sync.Mutex
	change *sync.Cond
	data   []byte
	held   bool
	lost   bool
	closed bool
}

func newStream() *stream {
	s := &stream{}
	s.change = sync.NewCond(&s.mu)
	return s
}

func (s *stream) setHeld(isHeld bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held = isHeld
	s.change.Broadcast()
}

func (s *stream) setLost() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lost = true
	s.data = nil
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.change.Broadcast()
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, io.ErrClosedPipe
	}
	if !s.lost {
		s.data = append(s.data, p...)
		s.change.Broadcast()
	}
	return len(p), nil
}

// read waits for data, the end of the stream or the deadline.
func (s *stream) read(p []byte, d *deadline) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case d.isPast():
			return 0, os.ErrDeadlineExceeded
		case len(s.data) > 0 && !s.held:
			n := copy(p, s.data)
			s.data = s.data[n:]
			return n, nil
		case s.closed && !s.lost:
			return 0, io.EOF
		case s.closed && d.isClosed():
			return 0, net.ErrClosed
		}
		s.change.Wait()
	}
}

// deadline is the read deadline of one end.
type deadline struct {
	mu     sync.Mutex
	at     time.Time
	timer  *time.Timer
	closed bool
}

func (d *deadline) isPast() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return !d.at.IsZero() && !time.Now().Before(d.at)
}

func (d *deadline) isClosed() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.closed
}

// set replaces the deadline and wakes the reader when it passes.
func (d *deadline) set(t time.Time, wake func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = t
	// A timer that has passed already is not started: under the race detector the runtime
	// fails on one in a bubble of simulated time. The caller wakes the reader anyway.
	if left := time.Until(t); !t.IsZero() && left > 0 {
		d.timer = time.AfterFunc(left, wake)
	}
}

func (d *deadline) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
}

// end is one side of a connection.
type end struct {
	link          *link
	network       *Network
	in, out       *stream
	local, remote address
	deadline      deadline
}

func newLink(n *Network, from, to string) *link {
	up, down := newStream(), newStream()
	k := &link{ends: pairOf(from, HostOf(to))}
	k.client = &end{link: k, network: n, in: down, out: up, local: address(from + ":0"), remote: address(to)}
	k.server = &end{link: k, network: n, in: up, out: down, local: address(to), remote: address(from + ":0")}
	return k
}

// close breaks the connection for both sides.
func (k *link) close() {
	k.client.out.close()
	k.server.out.close()
}

// Read reads what the other side wrote.
func (e *end) Read(p []byte) (int, error) { return e.in.read(p, &e.deadline) }

// Write sends to the other side and never waits.
func (e *end) Write(p []byte) (int, error) { return e.out.write(p) }

// Close ends the connection. The other side reads what was sent before and then the end,
// unless the connection is silent.
func (e *end) Close() error {
	e.deadline.stop()
	e.out.close()
	e.in.mu.Lock()
	e.in.closed = true
	e.in.change.Broadcast()
	e.in.mu.Unlock()
	go e.network.forget(e.link)
	return nil
}

// LocalAddr returns the address of this side.
func (e *end) LocalAddr() net.Addr { return e.local }

// RemoteAddr returns the address of the other side.
func (e *end) RemoteAddr() net.Addr { return e.remote }

// SetDeadline sets the read deadline; writes never wait.
func (e *end) SetDeadline(t time.Time) error { return e.SetReadDeadline(t) }

// SetReadDeadline sets the moment at which a waiting read fails.
func (e *end) SetReadDeadline(t time.Time) error {
	e.deadline.set(t, func() {
		e.in.mu.Lock()
		defer e.in.mu.Unlock()
		e.in.change.Broadcast()
	})
	e.in.mu.Lock()
	defer e.in.mu.Unlock()
	e.in.change.Broadcast()
	return nil
}

// SetWriteDeadline does nothing, because writes never wait.
func (e *end) SetWriteDeadline(time.Time) error { return nil }
