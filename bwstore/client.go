// Package bwstore is the client of the platform's key-value service.
//
// The service offers compare-and-swap on single keys, leases and watches. It has
// outages, and the reply to a write can be lost after the write took effect. The client
// therefore wraps each value in an envelope with a unique write id. After a lost reply it
// reads the key: if the value has the write id, the write took effect; if the key is
// still at the expected revision, the client retries the compare-and-swap; any other
// state is reported as Uncertain. Every attempt carries the expected revision, so a write
// takes effect at most once.
//
// Writes are rate-limited by class, so that a busy class cannot exhaust the write rate
// that the service grants to all classes together.
package bwstore

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwhttp"
	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"github.com/samber/oops"
	"golang.org/x/time/rate"
)

// MaxValueBytes is the largest value that the service accepts, envelope included.
const MaxValueBytes = 1 << 20

const (
	// defaultMaxWait is the default of the maximum time until the service begins to reply,
	// and of the maximum pause while a reply is read.
	defaultMaxWait     = 1500 * time.Millisecond
	maxReplyBytes      = 256 << 20
	watchTimeoutMargin = time.Second
)

// WriteClass is the purpose of a write. Each class has its own rate limit.
type WriteClass int

// The values of WriteClass.
const (
	ClassClaims WriteClass = iota
	ClassMaintenance
	ClassAccounts
	ClassConfiguration
	ClassMembership
	classCount
)

// String returns the class in lower camel case.
func (c WriteClass) String() string {
	names := [...]string{"claims", "maintenance", "accounts", "configuration", "membership"}
	return names[c]
}

// Client is a client of the key-value service. It is safe for concurrent use.
type Client struct {
	baseURL   string
	transport *http.Transport
	maxWait   time.Duration
	limiters  [classCount]*rate.Limiter
}

// Option configures a Client.
type Option func(*Client)

// WithMaxWait sets the maximum time until the service begins to reply to a call, and the
// maximum pause while a reply is read.
func WithMaxWait(d time.Duration) Option {
	return func(c *Client) { c.maxWait = d }
}

// WithWriteLimit sets the write rate limit of a class, and its burst.
func WithWriteLimit(class WriteClass, perSecond float64, burst int) Option {
	return func(c *Client) { c.limiters[class] = rate.NewLimiter(rate.Limit(perSecond), burst) }
}

// WithTransport sets the HTTP transport, for example one with in-memory connections.
func WithTransport(t *http.Transport) Option {
	return func(c *Client) { c.transport = t }
}

// New returns a client of the service at baseURL, which has no path.
func New(baseURL string, options ...Option) *Client {
	c := &Client{
		baseURL:   baseURL,
		transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 30 * time.Second},
		maxWait:   defaultMaxWait,
	}
	for i := range c.limiters {
		c.limiters[i] = rate.NewLimiter(rate.Inf, 1)
	}
	for _, o := range options {
		o(c)
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.transport.CloseIdleConnections()
}

// WriteLimit returns the rate limit of a class, in writes per second.
func (c *Client) WriteLimit(class WriteClass) float64 {
	return float64(c.limiters[class].Limit())
}

// SetWriteLimit changes the rate limit of a class.
func (c *Client) SetWriteLimit(class WriteClass, perSecond float64) {
	c.limiters[class].SetLimit(rate.Limit(perSecond))
}

// Get returns the entry of key. For an absent key it returns a deletion at revision 0.
func (c *Client) Get(ctx context.Context, key string) (Entry, error) {
	var m KeyMessage
	status, err := c.getWithRetry(ctx, "/v1/keys/"+key, &m)
	if err != nil {
		return Entry{}, err
	}
	if status == http.StatusNotFound {
		return NewDeletion(key, 0), nil
	}
	e, _, err := decodeEnvelope(m)
	return e, err
}

// List returns every entry whose key starts with prefix.
func (c *Client) List(ctx context.Context, prefix string) (Listing, error) {
	var m ListMessage
	query := url.Values{"prefix": {prefix}}
	_, err := c.getWithRetry(ctx, "/v1/keys?"+query.Encode(), &m)
	if err != nil {
		return Listing{}, err
	}
	entries, err := decodeEnvelopes(m.Entries)
	return Listing{entries: entries, revision: m.Revision}, err
}

// Watch long-polls for changes after revision to keys with any of the prefixes, for up to
// wait.
func (c *Client) Watch(ctx context.Context, prefixes []string, revision int64, wait time.Duration) (Changes, error) {
	query := url.Values{
		"prefix":     prefixes,
		"after":      {strconv.FormatInt(revision, 10)},
		"waitMillis": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	var m ListMessage
	_, err := c.exchange(ctx, call{method: http.MethodGet, path: "/v1/watch?" + query.Encode(), maxWait: wait + watchTimeoutMargin}, &m)
	if err != nil {
		return Changes{}, err
	}
	entries, err := decodeEnvelopes(m.Entries)
	return Changes{entries: entries, revision: m.Revision, compacted: m.Compacted}, err
}

// Put writes the JSON value to key if the key is at the expected revision; 0 means that
// the key must be absent. It retries until the result is certain or ctx is done.
func (c *Client) Put(ctx context.Context, class WriteClass, key string, value []byte, expected int64, lease LeaseID) WriteResult {
	w := write{class: class, key: key, expected: expected, writeID: uuid.NewString(), lease: lease}
	data, err := json.Marshal(envelope{WriteID: w.writeID, Value: value})
	if err != nil || len(data) > MaxValueBytes {
		return WriteResult{status: NotWritten}
	}
	w.data = data
	return c.writeUntilCertain(ctx, w)
}

// Delete deletes key if it is at the expected revision.
func (c *Client) Delete(ctx context.Context, class WriteClass, key string, expected int64) WriteResult {
	return c.writeUntilCertain(ctx, write{class: class, key: key, expected: expected, isDelete: true})
}

// write is one compare-and-swap. It may be sent more than once.
type write struct {
	class    WriteClass
	key      string
	expected int64
	writeID  string
	data     []byte
	lease    LeaseID
	isDelete bool
}

// writeUntilCertain sends w until its effect is certain or ctx is done. Retries are safe
// because the service accepts the expected revision only once.
func (c *Client) writeUntilCertain(ctx context.Context, w write) WriteResult {
	backOff := newBackOff()
	mayHaveTakenEffect := false
	for {
		if c.limiters[w.class].Wait(ctx) != nil {
			return abortedResult(mayHaveTakenEffect)
		}
		r, certain := c.sendOnce(ctx, w)
		if certain && (r.status == Written || !mayHaveTakenEffect) {
			return r
		}
		mayHaveTakenEffect = true
		r, certain = c.verifyWrite(ctx, w)
		if certain {
			return r
		}
		if !bwclock.Sleep(ctx, backOff.NextBackOff()) {
			return abortedResult(mayHaveTakenEffect)
		}
	}
}

func abortedResult(mayHaveTakenEffect bool) WriteResult {
	if mayHaveTakenEffect {
		return WriteResult{status: Uncertain}
	}
	return WriteResult{status: NotWritten}
}

// sendOnce makes one call. It returns false if the effect of the call is uncertain.
func (c *Client) sendOnce(ctx context.Context, w write) (WriteResult, bool) {
	var m RevisionMessage
	status, err := c.doWrite(ctx, w, &m)
	switch {
	case err != nil:
		return WriteResult{}, false
	case status == http.StatusOK:
		return WriteResult{status: Written, revision: m.Revision}, true
	case status == http.StatusConflict:
		return WriteResult{status: Conflict, revision: m.Revision}, true
	case status >= http.StatusInternalServerError:
		return WriteResult{}, false
	}
	return WriteResult{status: NotWritten}, true
}

func (c *Client) doWrite(ctx context.Context, w write, m *RevisionMessage) (int, error) {
	if w.isDelete {
		path := "/v1/keys/" + w.key + "?revision=" + strconv.FormatInt(w.expected, 10)
		return c.doRequest(ctx, http.MethodDelete, path, nil, m)
	}
	put := PutMessage{Value: w.data, ExpectedRevision: w.expected, LeaseID: string(w.lease)}
	return c.doRequest(ctx, http.MethodPut, "/v1/keys/"+w.key, put, m)
}

// verifyWrite reads the key after an uncertain write and determines whether the write
// took effect. It returns false if the write has not taken effect so far or the key cannot
// be read; the write is then retried. A deletion counts as written if the key is no longer
// at the expected revision.
func (c *Client) verifyWrite(ctx context.Context, w write) (WriteResult, bool) {
	var m KeyMessage
	status, err := c.doRequest(ctx, http.MethodGet, "/v1/keys/"+w.key, nil, &m)
	if err != nil {
		return WriteResult{}, false
	}
	if status == http.StatusNotFound {
		m.Revision = 0
	}
	if w.isDelete && m.Revision != w.expected {
		return WriteResult{status: Written, revision: m.Revision}, true
	}
	if m.Revision == w.expected {
		return WriteResult{}, false
	}
	_, id, err := decodeEnvelope(m)
	if err == nil && id == w.writeID {
		return WriteResult{status: Written, revision: m.Revision}, true
	}
	return WriteResult{status: Uncertain, revision: m.Revision}, true
}

// GrantLease creates a lease that expires ttl after its last renewal.
func (c *Client) GrantLease(ctx context.Context, ttl time.Duration) (LeaseID, error) {
	var m LeaseMessage
	_, err := c.doRequest(ctx, http.MethodPost, "/v1/leases", LeaseMessage{TTLMillis: ttl.Milliseconds()}, &m)
	return LeaseID(m.LeaseID), err
}

// RenewLease renews the lease. It returns false if the lease has expired.
func (c *Client) RenewLease(ctx context.Context, id LeaseID) (bool, error) {
	var m LeaseMessage
	status, err := c.doRequest(ctx, http.MethodPost, "/v1/leases/"+string(id)+"/renew", LeaseMessage{}, &m)
	return status == http.StatusOK, err
}

// RevokeLease revokes the lease, which deletes its keys.
func (c *Client) RevokeLease(ctx context.Context, id LeaseID) error {
	var m LeaseMessage
	_, err := c.doRequest(ctx, http.MethodDelete, "/v1/leases/"+string(id), nil, &m)
	return err
}

// getWithRetry retries a read with exponential backoff until it succeeds, twice the maximum
// wait has passed or ctx is done.
func (c *Client) getWithRetry(ctx context.Context, path string, reply any) (int, error) {
	read := func() (int, error) { return c.doRequest(ctx, http.MethodGet, path, nil, reply) }
	return backoff.Retry(ctx, read, backoff.WithBackOff(newBackOff()), backoff.WithMaxElapsedTime(2*c.maxWait))
}

// call is one HTTP call. A body of nil is sent as the JSON value null.
type call struct {
	method, path string
	body         any
	maxWait      time.Duration
}

// doRequest makes one HTTP call with the maximum wait of the client.
func (c *Client) doRequest(ctx context.Context, method, path string, body, reply any) (int, error) {
	return c.exchange(ctx, call{method: method, path: path, body: body, maxWait: c.maxWait}, reply)
}

// exchange makes one HTTP call. A status of 500 or above is an error; a lower one is a
// result.
func (c *Client) exchange(ctx context.Context, l call, reply any) (int, error) {
	data, err := json.Marshal(l.body)
	if err != nil {
		return 0, oops.In("bwstore").Wrapf(err, "encode %s %s", l.method, l.path)
	}
	req, err := http.NewRequestWithContext(ctx, l.method, c.baseURL+l.path, bytes.NewReader(data))
	if err != nil {
		return 0, oops.In("bwstore").Wrapf(err, "build %s %s", l.method, l.path)
	}
	status, content, err := bwhttp.Exchange(c.transport, req, bwhttp.Limits{Wait: l.maxWait, Pause: c.maxWait, MaxBytes: maxReplyBytes})
	if err != nil {
		// A timeout may mean that a middlebox on the path has dropped the connection's state.
		// The idle connections share the path, so they are closed too.
		c.transport.CloseIdleConnections()
		return 0, oops.In("bwstore").Wrapf(err, "%s %s", l.method, l.path)
	}
	if status >= http.StatusInternalServerError {
		return status, oops.In("bwstore").Errorf("%s %s: status %d", l.method, l.path, status)
	}
	if status == http.StatusOK || status == http.StatusConflict {
		err = json.Unmarshal(content, reply)
	}
	return status, err
}

func decodeEnvelopes(messages []KeyMessage) ([]Entry, error) {
	entries := make([]Entry, 0, len(messages))
	for _, m := range messages {
		e, _, err := decodeEnvelope(m)
		if err != nil {
			return nil, err
		}
		entries = append(entries, e)
	}
	return entries, nil
}

// decodeEnvelope returns the entry in m and the id of the write that stored it.
func decodeEnvelope(m KeyMessage) (Entry, string, error) {
	if m.Deleted {
		return NewDeletion(m.Key, m.Revision), "", nil
	}
	var e envelope
	if len(m.Value) == 0 {
		return NewDeletion(m.Key, m.Revision), "", nil
	}
	if err := json.Unmarshal(m.Value, &e); err != nil {
		return Entry{}, "", oops.In("bwstore").Wrapf(err, "decode value of %s", m.Key)
	}
	return NewEntry(m.Key, e.Value, m.Revision), e.WriteID, nil
}

func newBackOff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = 20 * time.Millisecond
	b.MaxInterval = time.Second
	return b
}
