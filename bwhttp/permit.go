package bwhttp

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
)

// ErrNotPermitted means that a request was not sent because its permit had run out.
var ErrNotPermitted = errors.New("permit to send the request has run out")

// Permit reports whether a request may still be sent.
type Permit func() bool

type permitKey struct{}

// WithPermit returns a context whose requests are sent only if the permit holds once they have got a
// connection, and again if the request is repeated over another one. A permit that is checked only before
// the exchange may run out during the wait for a connection.
func WithPermit(ctx context.Context, p Permit) context.Context {
	return context.WithValue(ctx, permitKey{}, p)
}

// IsPermitted reports whether the permit of a context holds now. A context without one permits everything.
func IsPermitted(ctx context.Context) bool {
	permit, ok := ctx.Value(permitKey{}).(Permit)
	return !ok || permit()
}

// permitCheck checks the permit of a request when it has got its connection.
type permitCheck struct {
	permit   Permit
	isDenied atomic.Bool
}

// withPermitCheck returns r, prepared so that the permit of its context is checked, and the check. Both are
// unchanged and nil if there is no permit.
func withPermitCheck(r *http.Request) (*http.Request, *permitCheck) {
	permit, ok := r.Context().Value(permitKey{}).(Permit)
	if !ok {
		return r, nil
	}
	c := &permitCheck{permit: permit}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{GotConn: c.gotConn})), c
}

// gotConn closes the connection before anything is written to it, unless the permit holds.
func (c *permitCheck) gotConn(info httptrace.GotConnInfo) {
	isDenied := !c.permit()
	c.isDenied.Store(isDenied)
	if !isDenied {
		return
	}
	// The request fails because its connection is closed; there is nothing else to report.
	_ = info.Conn.Close()
}

// result returns ErrNotPermitted in place of the error of a request that was denied.
func (c *permitCheck) result(err error) error {
	if err != nil && c != nil && c.isDenied.Load() {
		return ErrNotPermitted
	}
	return err
}
