// Package bwplatform implements the client with which entries and controllers call the
// platform that manages the hosts. Nodes of the job scheduler use package platform instead.
//
// The platform publishes a list of hosts, which may be stale, and executes orders such as
// drain, stop, start and reboot. Orders are idempotent: each carries a permit ID, and
// repeating an order with the same permit has no further effect. An order whose reply was
// lost can therefore be retried.
package bwplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"basilwood.example/basilwood/bwhttp"
	"github.com/samber/oops"
)

const (
	// maxWait is the maximum time until the platform begins to reply, and the maximum pause
	// while a reply is read.
	maxWait       = 2 * time.Second
	maxReplyBytes = 64 << 20
)

// HostState is the state of a host according to the platform.
type HostState string

// Host states.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostDown    HostState = "down"
)

// HostReport is the platform's report about one host. Reports from the host list may be stale.
type HostReport struct {
	Host  string    `json:"host"`
	State HostState `json:"state"`
	// Running reports whether the executor accepts work.
	Running bool `json:"running"`
	// InFlight is the number of requests in progress on the executor.
	InFlight int `json:"inFlight"`
	// Boots is the number of reboots of the host.
	Boots int `json:"boots"`
}

// Verb names the action that an order requests.
type Verb string

// Actions that the platform supports.
const (
	VerbDrain      Verb = "drain"
	VerbStop       Verb = "stop"
	VerbStart      Verb = "start"
	VerbReboot     Verb = "reboot"
	VerbCheckpoint Verb = "checkpoint"
	VerbThrottle   Verb = "throttle"
)

// Order requests an action on a host. Permit makes repeated orders idempotent.
type Order struct {
	Host   string `json:"host"`
	Verb   Verb   `json:"verb"`
	Permit string `json:"permit"`
}

// Client is a client of the platform. It is safe for concurrent use.
type Client struct {
	baseURL   string
	transport *http.Transport
}

// Option configures a Client.
type Option func(*Client)

// WithTransport sets the HTTP transport, for example one with in-memory connections in tests.
func WithTransport(t *http.Transport) Option {
	return func(c *Client) { c.transport = t }
}

// New returns a client of the platform at baseURL, which must have no path.
func New(baseURL string, options ...Option) *Client {
	c := &Client{baseURL: baseURL, transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Hosts returns the list of hosts, which may be stale.
func (c *Client) Hosts(ctx context.Context) ([]HostReport, error) {
	var reports []HostReport
	err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, &reports)
	return reports, err
}

// Host returns the current state of one host.
func (c *Client) Host(ctx context.Context, host string) (HostReport, error) {
	var report HostReport
	err := c.call(ctx, http.MethodGet, "/v1/hosts/"+host, nil, &report)
	return report, err
}

// Do sends an order and returns the state of the host after the order was executed.
func (c *Client) Do(ctx context.Context, o Order) (HostReport, error) {
	var report HostReport
	err := c.call(ctx, http.MethodPost, "/v1/orders", o, &report)
	return report, err
}

func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	data, err := json.Marshal(body)
	if err != nil {
		return oops.In("bwplatform").Wrapf(err, "encode request for %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(data))
	if err != nil {
		return oops.In("bwplatform").Wrapf(err, "create request for %s", path)
	}
	status, content, err := bwhttp.Exchange(c.transport, req, bwhttp.Limits{Wait: maxWait, Pause: maxWait, MaxBytes: maxReplyBytes})
	if err != nil {
		c.transport.CloseIdleConnections()
		return oops.In("bwplatform").Wrapf(err, "%s %s", method, path)
	}
	if status != http.StatusOK {
		return oops.In("bwplatform").Errorf("%s %s: status %d", method, path, status)
	}
	return json.Unmarshal(content, reply)
}
