package bwpipe

import (
	"net"
	"time"
)

// paceChunkBytes is the size of the parts in which a paced connection writes.
const paceChunkBytes = 8 << 10

// PaceListener returns a listener whose connections write at most bytesPerSecond, as over a
// slow link.
func PaceListener(l net.Listener, bytesPerSecond int) net.Listener {
	return pacedListener{Listener: l, bytesPerSecond: bytesPerSecond}
}

type pacedListener struct {
	net.Listener
	bytesPerSecond int
}

// Accept implements net.Listener.
func (l pacedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return PaceConn(c, l.bytesPerSecond), nil
}

// PaceConn returns a connection that writes at most bytesPerSecond to c.
func PaceConn(c net.Conn, bytesPerSecond int) net.Conn {
	return &pacedConn{Conn: c, bytesPerSecond: bytesPerSecond}
}

type pacedConn struct {
	net.Conn
	bytesPerSecond int
}

// Write implements net.Conn.
func (c *pacedConn) Write(data []byte) (int, error) {
	written := 0
	for len(data) > 0 {
		n, err := c.Conn.Write(data[:min(paceChunkBytes, len(data))])
		written += n
		if err != nil {
			return written, err
		}
		time.Sleep(time.Duration(n) * time.Second / time.Duration(c.bytesPerSecond))
		data = data[n:]
	}
	return written, nil
}
