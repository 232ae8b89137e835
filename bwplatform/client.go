// Package bwplatform is the client of the platform that runs the hosts.
//
// The platform publishes a lagging list of hosts and carries out drain, stop, start
// and reboot. Each order carries a permit id, and repeating an order with the same
// permit has no further effect, so an order whose reply was lost is sent again.
package bwplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"
)

const defaultTimeout = 2 * time.Second

// HostState is what the platform's list says about a host.
type HostState string

// The states of the host list.
const (
	HostLive    HostState = "live"
	HostLeaving HostState = "leaving"
	HostDown    HostState = "down"
)

// HostReport is one line of the platform's host list, which lags.
type HostReport struct {
	Host  string    `json:"host"`
	State HostState `json:"state"`
	// Running tells whether the executor accepts work.
	Running bool `json:"running"`
	// InFlight is the number of requests in progress on the executor.
	InFlight int `json:"inFlight"`
	// Boots counts the reboots of the host.
	Boots int `json:"boots"`
}

// Verb is an order to the platform.
type Verb string

// The platform's orders.
const (
	VerbDrain      Verb = "drain"
	VerbStop       Verb = "stop"
	VerbStart      Verb = "start"
	VerbReboot     Verb = "reboot"
	VerbCheckpoint Verb = "checkpoint"
	VerbThrottle   Verb = "throttle"
)

// Order asks the platform to act on a host.
type Order struct {
	Host   string `json:"host"`
	Verb   Verb   `json:"verb"`
	Permit string `json:"permit"`
}

// Client talks to the platform. It is safe for concurrent use.
type Client struct {
	base      string
	transport *http.Transport
}

// Option changes a Client under construction.
type Option func(*Client)

// WithTransport sets the HTTP transport, for in-memory connections.
func WithTransport(t *http.Transport) Option {
	return func(c *Client) { c.transport = t }
}

// New returns a client of the platform at base, a URL without a path.
func New(base string, options ...Option) *Client {
	c := &Client{base: base, transport: &http.Transport{MaxIdleConnsPerHost: 4, IdleConnTimeout: 30 * time.Second}}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close releases the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Hosts returns the lagging list of hosts.
func (c *Client) Hosts(ctx context.Context) ([]HostReport, error) {
	var reports []HostReport
	err := c.call(ctx, http.MethodGet, "/v1/hosts", nil, &reports)
	return reports, err
}

// Host asks one host for its present state, without lag.
func (c *Client) Host(ctx context.Context, host string) (HostReport, error) {
	var report HostReport
	err := c.call(ctx, http.MethodGet, "/v1/hosts/"+host, nil, &report)
	return report, err
}

// Do carries out an order and returns the host's state after it.
func (c *Client) Do(ctx context.Context, o Order) (HostReport, error) {
	var report HostReport
	err := c.call(ctx, http.MethodPost, "/v1/orders", o, &report)
	return report, err
}

func (c *Client) call(ctx context.Context, method, path string, body, reply any) error {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	data, err := json.Marshal(body)
	if err != nil {
		return oops.In("bwplatform").Wrapf(err, "encode %s", path)
	}
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(data))
	if err != nil {
		return oops.In("bwplatform").Wrapf(err, "build %s", path)
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		c.transport.CloseIdleConnections()
		return oops.In("bwplatform").Wrapf(err, "%s %s", method, path)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return oops.In("bwplatform").Wrapf(err, "read %s", path)
	}
	if resp.StatusCode != http.StatusOK {
		return oops.In("bwplatform").Errorf("%s %s: status %d", method, path, resp.StatusCode)
	}
	return json.Unmarshal(content, reply)
}
