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
	// maxRequestTime limits each request, even if its stream has a longer timeout.
	maxRequestTime     = 30 * time.Second
	maxIdleConnections = 4096
	payloadBytes       = 64
	// keyTerminator terminates the idempotency key at the start of a payload.
	keyTerminator = "/"
)

// Reply is the reply to one request as its caller received it.
type Reply struct {
	profile    string
	service    string
	requestID  string
	key        string
	outcome    string
	status     int
	isReplayed bool
	isIntact   bool
	failure    string
	latency    time.Duration
	isLate     bool
}

// RequestID returns the id that the entry assigned to the request. It is empty if no reply
// arrived.
func (r Reply) RequestID() string { return r.requestID }

// Outcome returns ran, notRun or unknown. It is empty if no reply arrived.
func (r Reply) Outcome() string { return r.outcome }

// Runner sends streams of requests to entries.
type Runner struct {
	entries      []string
	targets      []string
	streams      []Stream
	seed         uint64
	callerPrefix string
	client       *http.Client

	mu      sync.Mutex
	replies []Reply
}

// NewRunner returns a Runner that spreads requests randomly over the entries' addresses,
// like a load balancer. The callerPrefix makes the names of this run's callers unique.
func NewRunner(entries []string, streams []Stream, seed uint64, callerPrefix string) *Runner {
	transport := &http.Transport{MaxIdleConnsPerHost: maxIdleConnections, MaxIdleConns: maxIdleConnections}
	return &Runner{
		entries:      entries,
		streams:      streams,
		seed:         seed,
		callerPrefix: callerPrefix,
		client:       &http.Client{Transport: transport, Timeout: maxRequestTime},
	}
}

// WithTargets sets the addresses of the targets to which direct streams send requests.
func (r *Runner) WithTargets(targets []string) *Runner {
	r.targets = targets
	return r
}

// Run generates the load for the duration, waits for the outstanding replies and returns all
// replies.
func (r *Runner) Run(ctx context.Context, duration time.Duration) []Reply {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var group sync.WaitGroup
	for i, stream := range r.streams {
		group.Go(func() { r.runStream(ctx, stream, duration, rand.New(rand.NewPCG(r.seed, uint64(i)))) })
	}
	group.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.replies
}

// runStream sends the requests of one stream at exponentially distributed intervals.
func (r *Runner) runStream(ctx context.Context, stream Stream, duration time.Duration, random *rand.Rand) {
	startTime := time.Now()
	endOffset := duration
	if stream.Duration > 0 {
		endOffset = min(duration, stream.StartOffset+stream.Duration)
	}
	nextOffset := stream.StartOffset
	previousKey := ""
	var group sync.WaitGroup
	for index := 0; nextOffset < endOffset; index++ {
		if !sleepUntil(ctx, startTime.Add(nextOffset)) {
			break
		}
		call := r.newCall(stream, index, random, previousKey)
		previousKey = call.key
		intendedStart := startTime.Add(nextOffset)
		group.Go(func() { r.record(r.send(ctx, call, intendedStart)) })
		nextOffset += time.Duration(random.ExpFloat64() / stream.Rate * float64(time.Second))
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
	stream  Stream
	entry   string
	caller  string
	key     string
	payload []byte
}

func (r *Runner) newCall(stream Stream, index int, random *rand.Rand, previousKey string) call {
	c := call{
		stream: stream,
		entry:  r.entries[random.IntN(len(r.entries))],
		caller: fmt.Sprintf("%s-%s-%d", r.callerPrefix, stream.Profile, index%stream.Callers),
	}
	if stream.IsDirect {
		c.entry = r.targets[random.IntN(len(r.targets))]
	}
	if stream.HasIdempotencyKeys {
		c.key = fmt.Sprintf("%s-%s-%d", r.callerPrefix, stream.Profile, index)
		if previousKey != "" && random.Float64() < stream.KeyReuseRatio {
			c.key = previousKey
		}
	}
	c.payload = newPayload(c.key, random)
	return c
}

// newPayload returns a payload that starts with the idempotency key, so that the executions
// of a key can be counted even if the caller received no reply.
func newPayload(key string, random *rand.Rand) []byte {
	payload := []byte(key + keyTerminator)
	for len(payload) < payloadBytes {
		payload = append(payload, byte('a'+random.IntN(26)))
	}
	return payload
}

// send sends one request and returns its reply. It doesn't retry: a request that fails, for
// example because the connection is refused, yields a Reply without an outcome.
func (r *Runner) send(ctx context.Context, c call, intendedStart time.Time) Reply {
	reply := Reply{profile: c.stream.Profile, service: c.stream.Service, key: c.key}
	req, err := c.newRequest(ctx)
	if err != nil {
		reply.failure = err.Error()
		return reply
	}
	resp, err := r.client.Do(req)
	reply.latency = time.Since(intendedStart)
	if err != nil {
		reply.failure = err.Error()
		return reply
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	reply.latency = time.Since(intendedStart)
	reply.requestID = resp.Header.Get(bwentry.HeaderRequestID)
	reply.outcome = resp.Header.Get(bwentry.HeaderOutcome)
	if c.stream.IsDirect && resp.StatusCode == http.StatusOK {
		reply.outcome = "ran"
	}
	reply.isReplayed = resp.Header.Get(bwentry.HeaderReplayed) != ""
	reply.status = resp.StatusCode
	reply.isIntact = err == nil && (reply.outcome != "ran" || reply.isReplayed || bytes.Equal(body, c.payload))
	reply.isLate = c.stream.Timeout > 0 && reply.latency > c.stream.Timeout
	return reply
}

func (c call) newRequest(ctx context.Context) (*http.Request, error) {
	path := "/requests"
	if c.stream.IsDirect {
		path = "/execute"
	}
	url := "http://" + c.entry + "/v1/services/" + c.stream.Service + path
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(c.payload))
	if err != nil {
		return nil, err
	}
	req.Header.Set(bwentry.HeaderProfile, c.stream.Profile)
	req.Header.Set(bwentry.HeaderCaller, c.caller)
	if c.key != "" {
		req.Header.Set(bwentry.HeaderIdempotencyKey, c.key)
	}
	if c.stream.Timeout > 0 {
		req.Header.Set(bwentry.HeaderTimeout, c.stream.Timeout.String())
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

// formatMillis formats a duration in milliseconds with one decimal.
func formatMillis(d time.Duration) string {
	return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64)
}
