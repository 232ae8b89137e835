package bwhttp_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwpipe"
	"gotest.tools/v3/assert"
)

const (
	serverAddress = "10.0.0.1:80"
	// linkRate is the rate of the link in each direction in bytes a second.
	linkRate = 1 << 20
)

var limits = bwhttp.Limits{Wait: time.Second, Pause: time.Second, MaxBytes: 1 << 20}

// exchange serves a request without a body.
func exchange(t *testing.T, l bwhttp.Limits, handler func(w http.ResponseWriter, r *http.Request)) (body []byte, took time.Duration, err error) {
	return exchangeBody(t, l, nil, handler)
}

// exchangeBody sends one request to handler in simulated time, over a link of linkRate. It
// returns the reply's body, the error and the duration of the exchange.
func exchangeBody(t *testing.T, l bwhttp.Limits, request []byte, handler func(w http.ResponseWriter, r *http.Request)) (body []byte, took time.Duration, err error) {
	synctest.Test(t, func(t *testing.T) {
		network := bwpipe.New()
		listener := bwpipe.PaceListener(network.Listen(serverAddress), linkRate)
		served := make(chan struct{})
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(handler)}
		go func() {
			defer close(served)
			_ = bwhttp.Serve(server, listener)
		}()
		dial := network.DialContext("10.0.0.2")
		transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dial(ctx, network, address)
			return bwpipe.PaceConn(conn, linkRate), err
		}}
		r, requestErr := http.NewRequestWithContext(t.Context(), http.MethodPost, "http://"+serverAddress+"/", bytes.NewReader(request))
		assert.NilError(t, requestErr)
		startedAt := time.Now()
		_, body, err = bwhttp.Exchange(transport, r, l)
		took = time.Since(startedAt)
		transport.CloseIdleConnections()
		assert.NilError(t, server.Close())
		<-served
		// Writes to closed connections end after their pace.
		time.Sleep(time.Second)
	})
	return body, took, err
}

// writePart writes and flushes size bytes of a reply.
func writePart(w http.ResponseWriter, size int) {
	_, _ = w.Write(make([]byte, size))
	_ = http.NewResponseController(w).Flush()
}

// Guards against a reply that is given up although it keeps arriving.
func TestExchangeReadsSlowReplyToItsEnd(t *testing.T) {
	body, took, err := exchange(t, limits, func(w http.ResponseWriter, _ *http.Request) {
		for range 100 {
			writePart(w, 1000)
			time.Sleep(900 * time.Millisecond)
		}
	})
	assert.NilError(t, err)
	assert.Equal(t, len(body), 100_000)
	assert.Equal(t, took.Truncate(time.Second), 90*time.Second)
}

// Guards against a large reply in one chunk that counts as silent until its reader's buffer is full.
func TestExchangeReadsLargeChunkToItsEnd(t *testing.T) {
	body, took, err := exchange(t, bwhttp.Limits{Wait: time.Second, Pause: time.Second, MaxBytes: 64 * linkRate}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(make([]byte, 20*linkRate))
	})
	assert.NilError(t, err)
	assert.Equal(t, len(body), 20*linkRate)
	assert.Assert(t, took >= 20*time.Second && took < 21*time.Second, took)
}

// Guards against waiting for a connection that has gone silent before or within a reply.
func TestExchangeEndsAfterSilence(t *testing.T) {
	_, took, err := exchange(t, limits, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	assert.ErrorContains(t, err, "silence for 1s")
	assert.Equal(t, took.Truncate(time.Second), time.Second)
	_, took, err = exchange(t, limits, func(w http.ResponseWriter, r *http.Request) {
		writePart(w, 1000)
		<-r.Context().Done()
	})
	assert.ErrorContains(t, err, "1000 bytes of the reply after 1s: silence for 1s")
	assert.Equal(t, took.Truncate(time.Second), time.Second)
}

// Guards against a request that is given up although it is still being sent.
func TestExchangeSendsLargeRequestToItsEnd(t *testing.T) {
	request := make([]byte, 10*linkRate)
	body, took, err := exchangeBody(t, limits, request, func(w http.ResponseWriter, r *http.Request) {
		n, err := io.Copy(io.Discard, r.Body)
		assert.Check(t, err)
		_, _ = fmt.Fprint(w, n)
	})
	assert.NilError(t, err)
	assert.Equal(t, string(body), fmt.Sprint(len(request)))
	assert.Assert(t, took >= 10*time.Second && took < 11*time.Second, took)
}

func TestExchangeWaitsLongerForBeginningOfReply(t *testing.T) {
	body, took, err := exchange(t, bwhttp.Limits{Wait: 3 * time.Second, Pause: time.Second, MaxBytes: 10}, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Second)
		_, _ = w.Write([]byte("reply"))
	})
	assert.NilError(t, err)
	assert.Equal(t, string(body), "reply")
	assert.Equal(t, took.Truncate(time.Second), 2*time.Second)
}

func TestExchangeRejectsOversizedReply(t *testing.T) {
	_, _, err := exchange(t, bwhttp.Limits{Wait: time.Second, MaxBytes: 10}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), 11))
	})
	assert.ErrorContains(t, err, "reply exceeds 10 bytes")
	body, _, err := exchange(t, bwhttp.Limits{Wait: time.Second, MaxBytes: 10}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(strings.Repeat("x", 10)))
	})
	assert.NilError(t, err)
	assert.Equal(t, len(body), 10)
}
