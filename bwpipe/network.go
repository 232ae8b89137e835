// Package bwpipe is an in-memory network for tests.
//
// A host is identified by the IP part of its addresses. Connections have unbounded buffers, so a
// write never blocks, and tests can run under testing/synctest.
//
// Tests can inject these faults:
//   - A partition between two hosts closes their open connections and refuses new ones.
//   - A blackhole between two hosts silently discards all further data on their open connections;
//     new connections work.
//   - A freeze of a host delays all data to and from it until the freeze ends.
//   - The isolation of a host, like a crash, closes its connections and removes its listeners for
//     good.
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

// errRefused is returned by a dial to an address without a listener, with a full backlog or across
// a partition, and by every dial of an isolated host.
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

// pair is an unordered pair of hosts; a <= b, so that it can serve as a map key.
type pair struct{ a, b string }

func pairOf(a, b string) pair {
	if a > b {
		a, b = b, a
	}
	return pair{a, b}
}

// link is an open connection between two hosts.
type link struct {
	ends   pair
	client *end
	server *end
}

// New returns a network without listeners.
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

// Listen returns a listener at an address such as 10.0.0.1:80. It replaces an earlier listener at
// that address.
func (n *Network) Listen(address string) net.Listener {
	n.mu.Lock()
	defer n.mu.Unlock()
	l := &listener{network: n, address: address, backlog: make(chan net.Conn, 1024), done: make(chan struct{})}
	n.listeners[address] = l
	return l
}

// Dial opens a connection from a host to an address.
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

// Dialer returns a dial function for connections from a host, for peer clients.
func (n *Network) Dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, address string) (net.Conn, error) { return n.Dial(from, address) }
}

// DialContext returns a dial function for connections from a host, for http.Transport.
func (n *Network) DialContext(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(_ context.Context, _, address string) (net.Conn, error) { return n.Dial(from, address) }
}

// Cut starts a partition between two hosts, which closes their open connections, or ends it.
func (n *Network) Cut(a, b string, isCut bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.cut[pairOf(a, b)] = isCut
	if isCut {
		n.eachLink(func(p pair) bool { return p == pairOf(a, b) }, (*link).close)
	}
}

// HealCuts ends all partitions. Isolated hosts stay isolated.
func (n *Network) HealCuts() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.cut)
}

// Isolate disconnects a host for good, as a crash does: it removes its listeners, closes its
// connections and refuses its dials.
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

// Silence discards, without an error, the unread and all further data on the open connections
// between two hosts. New connections work.
func (n *Network) Silence(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.eachLink(func(p pair) bool { return p == pairOf(a, b) }, func(k *link) {
		k.client.out.setLost()
		k.server.out.setLost()
	})
}

// Freeze starts to hold back all data to and from a host, or ends that and delivers the data.
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

// listener is the net.Listener of an address.
type listener struct {
	network *Network
	address string
	backlog chan net.Conn
	once    sync.Once
	done    chan struct{}
}

// Accept waits for the next connection and returns it.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case c := <-l.backlog:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Close closes the listener. A newer listener at the same address stays registered.
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

// Network implements net.Addr.
func (address) Network() string { return "pipe" }

// String implements net.Addr.
func (a address) String() string { return string(a) }

// stream carries the data of a connection in one direction.
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

// read waits for data, the end of the stream or the deadline. After setLost, the end of the stream
// is not seen: read then fails only at the deadline or when the reading side itself is closed.
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

// deadline is the read deadline of one side of a connection.
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

// set replaces the deadline and arranges that wake is called when it passes.
func (d *deadline) set(t time.Time, wake func()) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.timer != nil {
		d.timer.Stop()
		d.timer = nil
	}
	d.at = t
	// No timer is started for a deadline in the past: under the race detector, the runtime
	// crashes on such a timer in a synctest bubble. The caller wakes the reader anyway.
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

// close closes the connection in both directions.
func (k *link) close() {
	k.client.out.close()
	k.server.out.close()
}

// Read reads data from the other side.
func (e *end) Read(p []byte) (int, error) { return e.in.read(p, &e.deadline) }

// Write sends data to the other side. It never blocks.
func (e *end) Write(p []byte) (int, error) { return e.out.write(p) }

// Close closes this side of the connection. The other side reads the data sent before and then
// io.EOF, unless the connection is blackholed.
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

// SetDeadline sets the read deadline; writes never block.
func (e *end) SetDeadline(t time.Time) error { return e.SetReadDeadline(t) }

// SetReadDeadline sets the time at which a blocked read fails.
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

// SetWriteDeadline does nothing, because writes never block.
func (e *end) SetWriteDeadline(time.Time) error { return nil }
