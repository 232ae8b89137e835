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
// error after the reply has begun says how much of the body had arrived. It is ErrNotPermitted if the
// request was not sent because the permit of its context had run out.
func Exchange(transport http.RoundTripper, r *http.Request, l Limits) (int, []byte, error) {
	r, check := withPermitCheck(r)
	status, body, err := exchange(transport, r, l)
	return status, body, check.result(err)
}

func exchange(transport http.RoundTripper, r *http.Request, l Limits) (int, []byte, error) {
	if l.Wait == 0 && l.Pause == 0 {
		return roundTrip(transport, r, l.MaxBytes, func(body io.ReadCloser) io.Reader { return body })
	}
	ctx, cancel := context.WithCancelCause(r.Context())
	defer cancel(nil)
	timer := &silenceTimer{cancel: cancel}
	defer timer.end()
	timer.restart(l.Wait)
	r = withTimedBody(r.WithContext(ctx), timer, l.Wait)
	return roundTrip(transport, r, l.MaxBytes, func(body io.ReadCloser) io.Reader {
		return &timedBody{ReadCloser: body, timer: timer, limit: l.Pause}
	})
}

// roundTrip sends a request and reads the reply's body through wrapBody.
func roundTrip(transport http.RoundTripper, r *http.Request, maxBytes int64, wrapBody func(io.ReadCloser) io.Reader) (int, []byte, error) {
	startedAt := time.Now()
	resp, err := transport.RoundTrip(r)
	if err != nil {
		return 0, nil, exceededLimit(r.Context(), err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(wrapBody(resp.Body), maxBytes+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = fmt.Errorf("reply exceeds %d bytes", maxBytes)
	}
	if err != nil {
		return 0, nil, oops.In("bwhttp").Wrapf(exceededLimit(r.Context(), err), "%d bytes of the reply after %s", len(body), time.Since(startedAt).Round(time.Millisecond))
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
	limit    time.Duration
	hasEnded bool
}

func (t *silenceTimer) restart(limit time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = limit
	switch {
	case t.hasEnded:
	case t.timer == nil && limit > 0:
		t.timer = time.AfterFunc(limit, t.expire)
	case t.timer != nil && limit > 0:
		t.timer.Reset(limit)
	case t.timer != nil:
		t.timer.Stop()
	}
}

func (t *silenceTimer) expire() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.cancel(silenceError(t.limit))
}

func (t *silenceTimer) end() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.hasEnded = true
	if t.timer != nil {
		t.timer.Stop()
	}
}

// maxReadBytes is the maximum size of one read of a body. A read of a chunked body returns only
// when the chunk ends or the buffer is full, so a larger one can take longer than the limit.
const maxReadBytes = 16 << 10

// timedBody restarts a silenceTimer whenever a part of the body is read.
type timedBody struct {
	io.ReadCloser
	timer *silenceTimer
	limit time.Duration
}

// Read implements io.Reader.
func (b *timedBody) Read(p []byte) (int, error) {
	b.timer.restart(b.limit)
	return b.ReadCloser.Read(p[:min(len(p), maxReadBytes)])
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
