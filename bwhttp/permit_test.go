package bwhttp_test

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"basilwood.example/basilwood/bwhttp"
	"gotest.tools/v3/assert"
)

// Guards against a request that is sent after its permit has run out, because it had to wait for a
// connection or for its process to go on.
func TestRequestIsNotSentOncePermitHasRunOut(t *testing.T) {
	var received atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { received.Add(1) }))
	defer server.Close()
	const dialTime = 50 * time.Millisecond
	dialer := &net.Dialer{}
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		time.Sleep(dialTime)
		return dialer.DialContext(ctx, network, address)
	}}
	defer transport.CloseIdleConnections()
	send := func(permit bwhttp.Permit) error {
		ctx := bwhttp.WithPermit(t.Context(), permit)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL, bytes.NewReader([]byte(`{"fence":7}`)))
		assert.NilError(t, err)
		_, _, err = bwhttp.Exchange(transport, r, bwhttp.Limits{Wait: time.Second, MaxBytes: 100})
		return err
	}
	startedAt := time.Now()
	assert.ErrorIs(t, send(func() bool { return time.Since(startedAt) < dialTime/2 }), bwhttp.ErrNotPermitted)
	assert.Equal(t, received.Load(), int64(0))
	assert.NilError(t, send(func() bool { return true }))
	assert.Equal(t, received.Load(), int64(1))
}
