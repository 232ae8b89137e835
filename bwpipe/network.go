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
	mu          sync.Mutex
	listeners   map[string]*listener
	connections map[*connection]bool
	partitioned map[hostPair]bool
	frozen      map[string]bool
	isolated    map[string]bool
}

// hostPair is an unordered pair of hosts; a <= b, so that it can serve as a map key.
type hostPair struct{ a, b string }

func newHostPair(a, b string) hostPair {
	if a > b {
		a, b = b, a
	}
	return hostPair{a, b}
}

// connection is an open connection between two hosts.
type connection struct {
	hosts  hostPair
	client *endpoint
	server *endpoint
}

// New returns a network without listeners.
func New() *Network {
	return &Network{
		listeners:   make(map[string]*listener),
		connections: make(map[*connection]bool),
		partitioned: make(map[hostPair]bool),
		frozen:      make(map[string]bool),
		isolated:    make(map[string]bool),
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
	hosts := newHostPair(from, HostOf(address))
	if l == nil || n.partitioned[hosts] || n.isolated[from] {
		return nil, errRefused
	}
	conn := newConnection(n, from, address)
	isFrozen := n.frozen[hosts.a] || n.frozen[hosts.b]
	conn.client.out.setFrozen(isFrozen)
	conn.server.out.setFrozen(isFrozen)
	select {
	case l.backlog <- conn.server:
	default:
		return nil, errRefused
	}
	n.connections[conn] = true
	return conn.client, nil
}

// Dialer returns a dial function for connections from a host, for peer clients.
func (n *Network) Dialer(from string) func(context.Context, string) (net.Conn, error) {
	return func(_ context.Context, address string) (net.Conn, error) { return n.Dial(from, address) }
}

// DialContext returns a dial function for connections from a host, for http.Transport.
func (n *Network) DialContext(from string) func(context.Context, string, string) (net.Conn, error) {
	return func(_ context.Context, _, address string) (net.Conn, error) { return n.Dial(from, address) }
}

// SetPartitioned starts a partition between two hosts, which closes their open connections, or
// ends it.
func (n *Network) SetPartitioned(a, b string, isPartitioned bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.partitioned[newHostPair(a, b)] = isPartitioned
	if isPartitioned {
		n.forEachConnection(func(p hostPair) bool { return p == newHostPair(a, b) }, (*connection).close)
	}
}

// HealPartitions ends all partitions. Isolated hosts stay isolated.
func (n *Network) HealPartitions() {
	n.mu.Lock()
	defer n.mu.Unlock()
	clear(n.partitioned)
}

// Isolate disconnects a host for good, as a crash does: it removes its listeners, closes its
// connections and refuses its dials.
func (n *Network) Isolate(host string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.isolated[host] = true
	for address := range n.listeners {
		if HostOf(address) == host {
			delete(n.listeners, address)
		}
	}
	n.forEachConnection(func(p hostPair) bool { return p.a == host || p.b == host }, (*connection).close)
}

// BlackholeConnections discards, without an error, the unread and all further data on the open
// connections between two hosts. New connections work.
func (n *Network) BlackholeConnections(a, b string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.forEachConnection(func(p hostPair) bool { return p == newHostPair(a, b) }, func(conn *connection) {
		conn.client.out.setBlackholed()
		conn.server.out.setBlackholed()
	})
}

// SetFrozen freezes a host, which delays all data to and from it, or ends the freeze and delivers
// the delayed data.
func (n *Network) SetFrozen(host string, isFrozen bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.frozen[host] = isFrozen
	n.forEachConnection(func(p hostPair) bool { return p.a == host || p.b == host }, func(conn *connection) {
		isConnFrozen := n.frozen[conn.hosts.a] || n.frozen[conn.hosts.b]
		conn.client.out.setFrozen(isConnFrozen)
		conn.server.out.setFrozen(isConnFrozen)
	})
}

func (n *Network) forEachConnection(matches func(hostPair) bool, action func(*connection)) {
	for conn := range n.connections {
		if matches(conn.hosts) {
			action(conn)
		}
	}
}

func (n *Network) removeConnection(conn *connection) {
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.connections, conn)
}

// listener is the net.Listener of an address.
type listener struct {
	network   *Network
	address   string
	backlog   chan net.Conn
	closeOnce sync.Once
	done      chan struct{}
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
	l.closeOnce.Do(func() {
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
	mu         sync.Mutex
	cond       *sync.Cond
	data       []byte
	frozen     bool
	blackholed bool
	closed     bool
}

func newStream() *stream {
	s := &stream{}
	s.cond = sync.NewCond(&s.mu)
	return s
}

func (s *stream) setFrozen(isFrozen bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.frozen = isFrozen
	s.cond.Broadcast()
}

func (s *stream) setBlackholed() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.blackholed = true
	s.data = nil
}

func (s *stream) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	s.cond.Broadcast()
}

func (s *stream) write(p []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed {
		return 0, io.ErrClosedPipe
	}
	if !s.blackholed {
		s.data = append(s.data, p...)
		s.cond.Broadcast()
	}
	return len(p), nil
}

// read waits for data, the end of the stream or the deadline. A blackholed stream reports no
// end: read fails only at the deadline or when the reading side itself is closed.
func (s *stream) read(p []byte, d *deadline) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		switch {
		case d.isPast():
			return 0, os.ErrDeadlineExceeded
		case len(s.data) > 0 && !s.frozen:
			n := copy(p, s.data)
			s.data = s.data[n:]
			return n, nil
		case s.closed && !s.blackholed:
			return 0, io.EOF
		case s.closed && d.isClosed():
			return 0, net.ErrClosed
		}
		s.cond.Wait()
	}
}

// deadline is the read deadline of one side of a connection. It also records whether that side
// is closed.
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

func (d *deadline) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	if d.timer != nil {
		d.timer.Stop()
	}
}

// endpoint is one side of a connection.
type endpoint struct {
	connection    *connection
	network       *Network
	in, out       *stream
	local, remote address
	deadline      deadline
}

func newConnection(n *Network, from, to string) *connection {
	toServer, toClient := newStream(), newStream()
	conn := &connection{hosts: newHostPair(from, HostOf(to))}
	conn.client = &endpoint{connection: conn, network: n, in: toClient, out: toServer, local: address(from + ":0"), remote: address(to)}
	conn.server = &endpoint{connection: conn, network: n, in: toServer, out: toClient, local: address(to), remote: address(from + ":0")}
	return conn
}

// close closes the connection in both directions.
func (conn *connection) close() {
	conn.client.out.close()
	conn.server.out.close()
}

// Read reads data from the other side.
func (e *endpoint) Read(p []byte) (int, error) { return e.in.read(p, &e.deadline) }

// Write sends data to the other side. It never blocks.
func (e *endpoint) Write(p []byte) (int, error) { return e.out.write(p) }

// Close closes this side of the connection. The other side reads the data sent before and then
// io.EOF, unless the connection is blackholed.
func (e *endpoint) Close() error {
	e.deadline.close()
	e.out.close()
	e.in.mu.Lock()
	e.in.closed = true
	e.in.cond.Broadcast()
	e.in.mu.Unlock()
	go e.network.removeConnection(e.connection)
	return nil
}

// LocalAddr returns the address of this side.
func (e *endpoint) LocalAddr() net.Addr { return e.local }

// RemoteAddr returns the address of the other side.
func (e *endpoint) RemoteAddr() net.Addr { return e.remote }

// SetDeadline sets the read deadline; writes never block.
func (e *endpoint) SetDeadline(t time.Time) error { return e.SetReadDeadline(t) }

// SetReadDeadline sets the time at which a blocked read fails.
func (e *endpoint) SetReadDeadline(t time.Time) error {
	e.deadline.set(t, func() {
		e.in.mu.Lock()
		defer e.in.mu.Unlock()
		e.in.cond.Broadcast()
	})
	e.in.mu.Lock()
	defer e.in.mu.Unlock()
	e.in.cond.Broadcast()
	return nil
}

// SetWriteDeadline does nothing, because writes never block.
func (e *endpoint) SetWriteDeadline(time.Time) error { return nil }
