// Package bwtarget sends requests to targets and tracks the health of each target.
//
// A target is a host that implements the HTTP interface described in docs/TARGETS.md. Each
// call of Send is one attempt. Its result is one of three: proof that the target did not
// start the request, the complete response, or an unknown outcome, which means that the
// target may have executed the request. The request id, the attempt id, the length and the
// checksum of each response are verified, so that a late response or the response to another
// request is never returned.
package bwtarget

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"basilwood.example/basilwood/bwoutcome"
	"github.com/cespare/xxhash/v2"
)

const (
	maxResponseBytes = 8 << 20
	idleTimeout      = 30 * time.Second
)

// Attempt is one attempt to execute a request on one target.
type Attempt struct {
	Service     string
	RequestID   string
	AttemptID   string
	ContentType string
	Body        []byte
	Timeout     time.Duration
}

// Result is the result of one attempt.
type Result struct {
	outcome *bwoutcome.Outcome
	// notStartedReason is the reason why the target did not start the request, or empty.
	notStartedReason string
}

// Outcome returns what is known about the execution.
func (r Result) Outcome() *bwoutcome.Outcome { return r.outcome }

// IsNotStarted reports whether it is certain that the target did not start the request.
func (r Result) IsNotStarted() bool { return r.notStartedReason != "" }

// NotStartedReason returns the reason why the target did not start the request, or an
// empty string.
func (r Result) NotStartedReason() string { return r.notStartedReason }

// notStartedUnreachable is the reason if no connection to the target could be established.
const notStartedUnreachable = "unreachable"

// IsUnreachable reports whether no connection to the target could be established.
func (r Result) IsUnreachable() bool { return r.notStartedReason == notStartedUnreachable }

// DialContext opens a connection, like http.Transport.DialContext.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to one target over a limited number of connections.
type Client struct {
	address   string
	transport *http.Transport
}

// NewClient returns a client for the target at address that opens at most maxConnections
// connections. If dial is nil, it uses TCP.
func NewClient(address string, maxConnections int, dial DialContext) *Client {
	return &Client{address: address, transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send makes one attempt. Nothing may make net/http resend the request on its own, so Send
// calls the transport directly, which follows no redirects, and never sets an
// Idempotency-Key header, with which the transport would retry.
func (c *Client) Send(ctx context.Context, a Attempt) Result {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := a.newRequest(httptrace.WithClientTrace(ctx, trace), c.address)
	if err != nil {
		return Result{outcome: bwoutcome.NotRun(bwoutcome.Reason_malformed, 0), notStartedReason: "malformed"}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return c.errorResult(ctx, err, connected.Load())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes+1))
	if reason := resp.Header.Get(HeaderNotStarted); reason != "" {
		return Result{outcome: bwoutcome.NotRun(bwoutcome.Reason_noTarget, 0), notStartedReason: reason}
	}
	if err != nil {
		return c.errorResult(ctx, err, true)
	}
	return a.checkResponse(resp, body)
}

func (a Attempt) newRequest(ctx context.Context, address string) (*http.Request, error) {
	url := "http://" + address + "/v1/services/" + a.Service + "/execute"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot resend the body.
	req.GetBody = nil
	req.Header.Set("Content-Type", a.ContentType)
	req.Header.Set(HeaderRequestID, a.RequestID)
	req.Header.Set(HeaderAttemptID, a.AttemptID)
	req.Header.Set(HeaderTimeout, a.Timeout.String())
	req.Header.Set(HeaderChecksum, strconv.FormatUint(xxhash.Sum64(a.Body), 16))
	return req, nil
}

// errorResult returns the result of an attempt that ended with a transport error. Without a
// connection, no byte can have reached the target.
func (c *Client) errorResult(ctx context.Context, err error, connected bool) Result {
	// The network path to the target may be broken, which affects the idle connections too.
	c.transport.CloseIdleConnections()
	if !connected {
		return Result{outcome: bwoutcome.NotRun(bwoutcome.Reason_noTarget, 0), notStartedReason: notStartedUnreachable}
	}
	if errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		return Result{outcome: bwoutcome.Unknown(bwoutcome.Reason_targetTimeout)}
	}
	return Result{outcome: bwoutcome.Unknown(bwoutcome.Reason_connectionLost)}
}

// checkResponse returns the response as the outcome if it is complete and belongs to this
// attempt, otherwise an unknown outcome.
func (a Attempt) checkResponse(resp *http.Response, body []byte) Result {
	sum, err := strconv.ParseUint(resp.Header.Get(HeaderChecksum), 16, 64)
	idsMatch := resp.Header.Get(HeaderRequestID) == a.RequestID && resp.Header.Get(HeaderAttemptID) == a.AttemptID
	if err != nil || !idsMatch || len(body) > maxResponseBytes || sum != xxhash.Sum64(body) {
		return Result{outcome: bwoutcome.Unknown(bwoutcome.Reason_answerInvalid)}
	}
	outcome := bwoutcome.Ran(int32(resp.StatusCode), resp.Header.Get("Content-Type"), body)
	return Result{outcome: outcome}
}
