// Package bwtarget sends requests to targets and follows the health of each target.
//
// A target is an executor that speaks HTTP as docs/TARGETS.md describes. One call of
// Send is one attempt: it either proves that the target did not start the request, or
// returns the whole answer, or says that the target may have executed it. Answers are
// checked against the request id, the attempt id, the length and the checksum, so a
// late or mixed answer is never passed on.
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
	maxAnswerBytes = 8 << 20
	idleTimeout    = 30 * time.Second
)

// Attempt is one try to execute a request on one target.
type Attempt struct {
	Service     string
	RequestID   string
	AttemptID   string
	ContentType string
	Body        []byte
	Timeout     time.Duration
}

// Result is what one attempt proved.
type Result struct {
	outcome    *bwoutcome.Outcome
	notStarted string
}

// Outcome returns what is known about the execution.
func (r Result) Outcome() *bwoutcome.Outcome { return r.outcome }

// IsNotStarted reports that the target provably did not start the request.
func (r Result) IsNotStarted() bool { return r.notStarted != "" }

// Refusal returns the target's reason for not starting the request.
func (r Result) Refusal() string { return r.notStarted }

// notStartedUnreachable is the refusal of a target that no connection reached.
const notStartedUnreachable = "unreachable"

// IsUnreachable reports that no connection to the target could be made.
func (r Result) IsUnreachable() bool { return r.notStarted == notStartedUnreachable }

// DialContext opens a connection, as in http.Transport.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Client sends requests to one target over a bounded number of connections.
type Client struct {
	address   string
	transport *http.Transport
}

// NewClient returns a client of the target at address that opens at most
// maxConnections connections. A nil dial uses TCP.
func NewClient(address string, maxConnections int, dial DialContext) *Client {
	return &Client{address: address, transport: &http.Transport{
		DialContext:         dial,
		MaxConnsPerHost:     maxConnections,
		MaxIdleConnsPerHost: maxConnections,
		IdleConnTimeout:     idleTimeout,
		DisableCompression:  true,
	}}
}

// Close releases the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Send makes one attempt. It uses the transport without redirects, and it never sets
// an Idempotency-Key header, because both make net/http send a request again by itself.
func (c *Client) Send(ctx context.Context, a Attempt) Result {
	ctx, cancel := context.WithTimeout(ctx, a.Timeout)
	defer cancel()
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	req, err := a.request(httptrace.WithClientTrace(ctx, trace), c.address)
	if err != nil {
		return Result{outcome: bwoutcome.NotRun(bwoutcome.Reason_malformed, 0), notStarted: "malformed"}
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return c.failure(ctx, err, connected.Load())
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes+1))
	if refusal := resp.Header.Get(HeaderNotStarted); refusal != "" {
		return Result{outcome: bwoutcome.NotRun(bwoutcome.Reason_noTarget, 0), notStarted: refusal}
	}
	if err != nil {
		return c.failure(ctx, err, true)
	}
	return a.check(resp, body)
}

func (a Attempt) request(ctx context.Context, address string) (*http.Request, error) {
	url := "http://" + address + "/v1/services/" + a.Service + "/execute"
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(a.Body))
	if err != nil {
		return nil, err
	}
	// Without GetBody the transport cannot send the body a second time.
	req.GetBody = nil
	req.Header.Set("Content-Type", a.ContentType)
	req.Header.Set(HeaderRequestID, a.RequestID)
	req.Header.Set(HeaderAttemptID, a.AttemptID)
	req.Header.Set(HeaderTimeout, a.Timeout.String())
	req.Header.Set(HeaderChecksum, strconv.FormatUint(xxhash.Sum64(a.Body), 16))
	return req, nil
}

// failure interprets a broken exchange. Without a connection no byte can have reached
// the target.
func (c *Client) failure(ctx context.Context, err error, connected bool) Result {
	// The cause may be a lost path, which the idle connections share.
	c.transport.CloseIdleConnections()
	if !connected {
		return Result{outcome: bwoutcome.NotRun(bwoutcome.Reason_noTarget, 0), notStarted: notStartedUnreachable}
	}
	if errors.Is(err, context.DeadlineExceeded) || ctx.Err() != nil {
		return Result{outcome: bwoutcome.Unknown(bwoutcome.Reason_targetTimeout)}
	}
	return Result{outcome: bwoutcome.Unknown(bwoutcome.Reason_connectionLost)}
}

// check accepts an answer only when it is whole and belongs to this attempt.
func (a Attempt) check(resp *http.Response, body []byte) Result {
	sum, err := strconv.ParseUint(resp.Header.Get(HeaderChecksum), 16, 64)
	isOurs := resp.Header.Get(HeaderRequestID) == a.RequestID && resp.Header.Get(HeaderAttemptID) == a.AttemptID
	if err != nil || !isOurs || len(body) > maxAnswerBytes || sum != xxhash.Sum64(body) {
		return Result{outcome: bwoutcome.Unknown(bwoutcome.Reason_answerInvalid)}
	}
	o := bwoutcome.Ran(int32(resp.StatusCode), resp.Header.Get("Content-Type"), body)
	return Result{outcome: o}
}
