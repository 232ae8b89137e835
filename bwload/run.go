package bwload

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"basilwood.example/basilwood/bwentry"
)

const (
	defaultRequestTimeout = 30 * time.Second
	maxConnections        = 4096
	payloadBytes          = 64
	// keyEnd terminates the idempotency key at the start of a payload.
	keyEnd = "/"
)

// Reply is the reply to one request as its caller received it.
type Reply struct {
	profile   string
	service   string
	requestID string
	key       string
	outcome   string
	status    int
	replayed  bool
	isWhole   bool
	failure   string
	latency   time.Duration
	late      bool
}

// RequestID returns the id that the entry assigned to the request. It is empty if no reply
// arrived.
func (r Reply) RequestID() string { return r.requestID }

// Outcome returns ran, notRun or unknown. It is empty if no reply arrived.
func (r Reply) Outcome() string { return r.outcome }

// Runner sends streams of requests to entries.
type Runner struct {
	entries []string
	targets []string
	works   []Work
	seed    uint64
	caller  string
	client  *http.Client

	mu      sync.Mutex
	replies []Reply
}

// NewRunner returns a Runner that spreads requests randomly over the entries' addresses,
// like a load balancer. The prefix caller makes the names of this run's callers unique.
func NewRunner(entries []string, works []Work, seed uint64, caller string) *Runner {
	transport := &http.Transport{MaxIdleConnsPerHost: maxConnections, MaxIdleConns: maxConnections}
	return &Runner{
		entries: entries,
		works:   works,
		seed:    seed,
		caller:  caller,
		client:  &http.Client{Transport: transport, Timeout: defaultRequestTimeout},
	}
}

// WithTargets sets the addresses of the targets to which direct streams send.
func (r *Runner) WithTargets(targets []string) *Runner {
	r.targets = targets
	return r
}

// Run generates the load for d, waits for the outstanding replies and returns all replies.
func (r *Runner) Run(ctx context.Context, d time.Duration) []Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for i, w := range r.works {
		group.Go(func() { r.stream(ctx, w, d, rand.New(rand.NewPCG(r.seed, uint64(i)))) })
	}
	group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replies
}

// stream sends the requests of one stream at exponentially distributed intervals.
func (r *Runner) stream(ctx context.Context, w Work, d time.Duration, random *rand.Rand) {
	start := time.Now()
	end := d
	if w.For > 0 {
		end = min(d, w.From+w.For)
	}
	next := w.From
	previousKey := ""
	var group sync.WaitGroup
	for n := 0; next < end; n++ {
		if !sleepUntil(ctx, start.Add(next)) {
			break
		}
		call := r.newCall(w, n, random, previousKey)
		previousKey = call.key
		intended := start.Add(next)
		group.Go(func() { r.record(r.send(ctx, call, intended)) })
		next += time.Duration(random.ExpFloat64() / w.Rate * float64(time.Second))
	}
	group.Wait()
}

func sleepUntil(ctx context.Context, t time.Time) bool {
	timer := time.NewTimer(time.Until(t))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// call describes one request to send.
type call struct {
	work    Work
	entry   string
	caller  string
	key     string
	payload []byte
}

func (r *Runner) newCall(w Work, n int, random *rand.Rand, previousKey string) call {
	c := call{
		work:   w,
		entry:  r.entries[random.IntN(len(r.entries))],
		caller: fmt.Sprintf("%s-%s-%d", r.caller, w.Profile, n%w.Callers),
	}
	if w.IsDirect {
		c.entry = r.targets[random.IntN(len(r.targets))]
	}
	if w.IsKeyed {
		c.key = fmt.Sprintf("%s-%s-%d", r.caller, w.Profile, n)
		if previousKey != "" && random.Float64() < w.RepeatRatio {
			c.key = previousKey
		}
	}
	c.payload = newPayload(c.key, random)
	return c
}

// newPayload returns a payload that starts with the idempotency key, so that the executions
// of a key can be counted even if the caller received no reply.
func newPayload(key string, random *rand.Rand) []byte {
	payload := []byte(key + keyEnd)
	for len(payload) < payloadBytes {
		payload = append(payload, byte('a'+random.IntN(26)))
	}
	return payload
}

// send sends one request and returns its reply. It doesn't retry: a request that fails, for
// example because the connection is refused, yields a Reply without an outcome.
func (r *Runner) send(ctx context.Context, c call, intended time.Time) Reply {
	reply := Reply{profile: c.work.Profile, service: c.work.Service, key: c.key}
	req, err := c.request(ctx)
	if err != nil {
		reply.failure = err.Error()
		return reply
	}
	resp, err := r.client.Do(req)
	reply.latency = time.Since(intended)
	if err != nil {
		reply.failure = err.Error()
		return reply
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	reply.latency = time.Since(intended)
	reply.requestID = resp.Header.Get(bwentry.HeaderRequestID)
	reply.outcome = resp.Header.Get(bwentry.HeaderOutcome)
	if c.work.IsDirect && resp.StatusCode == http.StatusOK {
		reply.outcome = "ran"
	}
	reply.replayed = resp.Header.Get(bwentry.HeaderReplayed) != ""
	reply.status = resp.StatusCode
	reply.isWhole = err == nil && (reply.outcome != "ran" || reply.replayed || bytes.Equal(body, c.payload))
	reply.late = c.work.Timeout > 0 && reply.latency > c.work.Timeout
	return reply
}

func (c call) request(ctx context.Context) (*http.Request, error) {
	path := "/requests"
	if c.work.IsDirect {
		path = "/execute"
	}
	url := "http://" + c.entry + "/v1/services/" + c.work.Service + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(c.payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set(bwentry.HeaderProfile, c.work.Profile)
	req.Header.Set(bwentry.HeaderCaller, c.caller)
	if c.key != "" {
		req.Header.Set(bwentry.HeaderIdempotencyKey, c.key)
	}
	if c.work.Timeout > 0 {
		req.Header.Set(bwentry.HeaderTimeout, c.work.Timeout.String())
	}
	// Keeps the HTTP client from retrying the request by itself, because each request is
	// counted.
	req.GetBody = nil
	return req, nil
}

func (r *Runner) record(reply Reply) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.replies = append(r.replies, reply)
}

// format formats a duration in milliseconds with one decimal.
func format(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64)
}
