// Package bwpeer implements RPC between entries, and from controllers to entries, over
// drpc.
//
// The protocol is defined in peer.proto. ConnPool keeps a pool of connections for each
// address. A call may time out because a middlebox on the path has dropped the state of the
// connection, and the idle connections to that address may be affected too. They should then
// be closed with CloseIdle, so that the next call opens a new one.
package bwpeer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"storj.io/drpc"
	"storj.io/drpc/drpcconn"
	"storj.io/drpc/drpcmanager"
	"storj.io/drpc/drpcmux"
	"storj.io/drpc/drpcpool"
	"storj.io/drpc/drpcserver"
	"storj.io/drpc/drpcwire"
)

const (
	dialTimeout       = time.Second
	idleTimeout       = 30 * time.Second
	maxIdlePerAddress = 64
	maxMessageBytes   = 32 << 20
)

// Dialer opens a connection to an address.
type Dialer func(ctx context.Context, address string) (net.Conn, error)

// DialTCP is the Dialer for TCP.
func DialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{Timeout: dialTimeout}
	return d.DialContext(ctx, "tcp", address)
}

// ConnPool is a pool of connections to other processes. It is safe for concurrent use.
type ConnPool struct {
	dial Dialer

	mu    sync.Mutex
	pools map[string]*drpcpool.Pool[string, drpcpool.Conn]
}

// NewConnPool returns an empty pool that opens its connections with dial.
func NewConnPool(dial Dialer) *ConnPool {
	return &ConnPool{dial: dial, pools: make(map[string]*drpcpool.Pool[string, drpcpool.Conn])}
}

// Client returns a client of the process at address. Each call has exclusive use of a
// connection for its duration.
func (p *ConnPool) Client(ctx context.Context, address string) DRPCPeerClient {
	return NewDRPCPeerClient(p.Conn(ctx, address))
}

// Conn returns a connection to the process at address, for clients of other protocols.
func (p *ConnPool) Conn(ctx context.Context, address string) drpc.Conn {
	return p.poolFor(address).Get(ctx, address, p.dialConn)
}

// CloseIdle closes the idle connections to address.
func (p *ConnPool) CloseIdle(address string) {
	p.mu.Lock()
	pool := p.pools[address]
	delete(p.pools, address)
	p.mu.Unlock()
	if pool != nil {
		// Connections in use stay open until their calls end. Close can fail only for idle
		// ones, so the error is ignored.
		_ = pool.Close()
	}
}

// Close closes every idle connection.
func (p *ConnPool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, pool := range p.pools {
		delete(p.pools, address)
		_ = pool.Close()
	}
}

func (p *ConnPool) poolFor(address string) *drpcpool.Pool[string, drpcpool.Conn] {
	p.mu.Lock()
	defer p.mu.Unlock()
	pool, ok := p.pools[address]
	if !ok {
		pool = drpcpool.New[string, drpcpool.Conn](drpcpool.Options{Expiration: idleTimeout, KeyCapacity: maxIdlePerAddress})
		p.pools[address] = pool
	}
	return pool
}

func (p *ConnPool) dialConn(ctx context.Context, address string) (drpcpool.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := p.dial(ctx, address)
	if err != nil {
		return nil, &dialError{cause: err}
	}
	return drpcconn.NewWithOptions(conn, drpcconn.Options{Manager: managerOptions()}), nil
}

// dialError is a connection failure. Nothing of the call has been sent.
type dialError struct {
	cause error
}

// Error implements error.
func (d *dialError) Error() string { return "dial: " + d.cause.Error() }

// Unwrap returns the underlying error.
func (d *dialError) Unwrap() error { return d.cause }

// IsDialError reports whether err is a failure to connect, so that nothing of the call has
// been sent.
func IsDialError(err error) bool {
	var d *dialError
	return errors.As(err, &d)
}

func managerOptions() drpcmanager.Options {
	return drpcmanager.Options{Reader: drpcwire.ReaderOptions{MaximumBufferSize: maxMessageBytes}}
}

// Serve serves the Peer protocol on l until ctx is done.
func Serve(ctx context.Context, l net.Listener, s DRPCPeerServer) error {
	m := drpcmux.New()
	if err := DRPCRegisterPeer(m, s); err != nil {
		return err
	}
	return ServeMux(ctx, l, m)
}

// ServeMux serves the protocols of a handler, such as a drpcmux.Mux, on l until ctx is done.
func ServeMux(ctx context.Context, l net.Listener, m drpc.Handler) error {
	server := drpcserver.NewWithOptions(m, drpcserver.Options{Manager: managerOptions()})
	return server.Serve(ctx, l)
}
