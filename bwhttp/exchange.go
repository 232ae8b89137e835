package bwhttp

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/samber/oops"
)

// Limits bound one exchange of a request and its reply. There is no limit for the exchange as
// a whole: the time to transfer a reply depends on its size and on the link, and a repeated
// request would have to transfer all of it again.
type Limits struct {
	// Wait is the maximum time until the reply begins; 0 means no limit.
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
	timer := newSilenceTimer(cancel)
	defer timer.stop()
	startedAt := time.Now()
	timer.restart(l.Wait)
	resp, err := transport.RoundTrip(r.WithContext(ctx))
	if err != nil {
		return 0, nil, exceededLimit(ctx, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(&timedReader{reader: resp.Body, timer: timer, pause: l.Pause}, l.MaxBytes+1))
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

// silenceError says that nothing was received for a time.
type silenceError time.Duration

// Error implements error.
func (e silenceError) Error() string {
	return "nothing received for " + time.Duration(e).String()
}

// Timeout reports that the error is a timeout, as net.Error does.
func (e silenceError) Timeout() bool { return true }

// silenceTimer cancels an exchange with a silenceError unless it is restarted in time.
type silenceTimer struct {
	cancel context.CancelCauseFunc
	timer  *time.Timer
}

func newSilenceTimer(cancel context.CancelCauseFunc) *silenceTimer {
	return &silenceTimer{cancel: cancel}
}

func (t *silenceTimer) restart(limit time.Duration) {
	t.stop()
	if limit > 0 {
		t.timer = time.AfterFunc(limit, func() { t.cancel(silenceError(limit)) })
	}
}

func (t *silenceTimer) stop() {
	if t.timer != nil {
		t.timer.Stop()
	}
}

// timedReader restarts a silenceTimer whenever data arrives.
type timedReader struct {
	reader io.Reader
	timer  *silenceTimer
	pause  time.Duration
}

// Read implements io.Reader.
func (r *timedReader) Read(p []byte) (int, error) {
	r.timer.restart(r.pause)
	return r.reader.Read(p)
}
