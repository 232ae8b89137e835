package bwhttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/samber/oops"
)

// Limits bound one exchange of a request and its reply. There is no limit for the exchange as
// a whole: the time to transfer a body depends on its size and on the link, and a repeated
// request would have to transfer all of it again.
type Limits struct {
	// Wait is the maximum time until the reply begins, counted from the last part of the
	// request that was sent; 0 means no limit.
	Wait time.Duration
	// Pause is the maximum time in which no part of the reply arrives after it has begun; 0
	// means no limit.
	Pause time.Duration
	// MaxBytes is the maximum size of the body.
	MaxBytes int64
}

// Exchange sends a request and returns the status and the body of the reply. It returns an
// error if a limit is exceeded, the connection fails or the request's context is done. An
// error after the reply has begun says how much of the body had arrived.
func Exchange(transport http.RoundTripper, r *http.Request, l Limits) (int, []byte, error) {
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	timer := &silenceTimer{cancel: cancel}
	defer timer.end()
	startedAt := time.Now()
	timer.restart(l.Wait)
	resp, err := transport.RoundTrip(withTimedBody(r.WithContext(ctx), timer, l.Wait))
	if err != nil {
		return 0, nil, exceededLimit(ctx, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(&timedBody{ReadCloser: resp.Body, timer: timer, limit: l.Pause}, l.MaxBytes+1))
	if err == nil && int64(len(body)) > l.MaxBytes {
		err = fmt.Errorf("reply exceeds %d bytes", l.MaxBytes)
	}
	if err != nil {
		return 0, nil, oops.In("bwhttp").Wrapf(exceededLimit(ctx, err), "%d bytes of the reply after %s", len(body), time.Since(startedAt).Round(time.Millisecond))
	}
	return resp.StatusCode, body, nil
}

// exceededLimit returns the limit that ended the exchange, or err if none did.
func exceededLimit(ctx context.Context, err error) error {
	if cause, ok := context.Cause(ctx).(silenceError); ok {
		return cause
	}
	return err
}

// silenceError says that nothing was sent or received for a time.
type silenceError time.Duration

// Error implements error.
func (e silenceError) Error() string {
	return "silence for " + time.Duration(e).String()
}

// silenceTimer cancels an exchange with a silenceError unless it is restarted in time. It is
// safe for concurrent use, because a reply may begin before the request is sent completely.
type silenceTimer struct {
	cancel context.CancelCauseFunc

	mu       sync.Mutex
	timer    *time.Timer
	hasEnded bool
}

func (t *silenceTimer) restart(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.timer != nil {
		t.timer.Stop()
	}
	if limit > 0 && !t.hasEnded {
		t.timer = time.AfterFunc(limit, func() { t.cancel(silenceError(limit)) })
	}
}

func (t *silenceTimer) end() {
	t.mu.Lock()
	t.hasEnded = true
	t.mu.Unlock()
	t.restart(0)
}

// timedBody restarts a silenceTimer whenever a part of the body is read.
type timedBody struct {
	io.ReadCloser
	timer *silenceTimer
	limit time.Duration
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	b.timer.restart(b.limit)
	return b.ReadCloser.Read(p)
}

// withTimedBody makes r restart timer whenever a part of its body is sent. r must not be in
// use.
func withTimedBody(r *http.Request, timer *silenceTimer, limit time.Duration) *http.Request {
	if r.Body == nil || r.Body == http.NoBody {
		return r
	}
	r.Body = &timedBody{ReadCloser: r.Body, timer: timer, limit: limit}
	if open := r.GetBody; open != nil {
		r.GetBody = func() (io.ReadCloser, error) {
			body, err := open()
			return &timedBody{ReadCloser: body, timer: timer, limit: limit}, err
		}
	}
	return r
}
