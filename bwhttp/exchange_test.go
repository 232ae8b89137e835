package bwhttp_test

import (
	"bytes"
	"net/http"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwpipe"
	"gotest.tools/v3/assert"
)

const serverAddress = "10.0.0.1:80"

var limits = bwhttp.Limits{Wait: time.Second, Pause: time.Second, MaxBytes: 1 << 20}

// exchange serves one request with handler in simulated time and returns the reply's body, the
// error and the duration of the exchange.
func exchange(t *testing.T, l bwhttp.Limits, handler func(w http.ResponseWriter, r *http.Request)) (body []byte, took time.Duration, err error) {
	synctest.Test(t, func(t *testing.T) {
		network := bwpipe.New()
		listener := network.Listen(serverAddress)
		served := make(chan struct{})
		server := &http.Server{ReadHeaderTimeout: time.Second, Handler: http.HandlerFunc(handler)}
		go func() {
			defer close(served)
			_ = bwhttp.Serve(server, listener)
		}()
		transport := &http.Transport{DialContext: network.DialContext("10.0.0.2")}
		r, requestErr := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://"+serverAddress+"/", nil)
		assert.NilError(t, requestErr)
		startedAt := time.Now()
		_, body, err = bwhttp.Exchange(transport, r, l)
		took = time.Since(startedAt)
		transport.CloseIdleConnections()
		assert.NilError(t, server.Close())
		<-served
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
	assert.Equal(t, took, 90*time.Second)
}

// Guards against waiting for a connection that has gone silent before or within a reply.
func TestExchangeEndsAfterSilence(t *testing.T) {
	_, took, err := exchange(t, limits, func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	assert.ErrorContains(t, err, "nothing received for 1s")
	assert.Equal(t, took, time.Second)
	_, took, err = exchange(t, limits, func(w http.ResponseWriter, r *http.Request) {
		writePart(w, 1000)
		<-r.Context().Done()
	})
	assert.ErrorContains(t, err, "1000 bytes of the reply after 1s: nothing received for 1s")
	assert.Equal(t, took, time.Second)
}

func TestExchangeWaitsLongerForBeginningOfReply(t *testing.T) {
	body, took, err := exchange(t, bwhttp.Limits{Wait: 3 * time.Second, Pause: time.Second, MaxBytes: 10}, func(w http.ResponseWriter, _ *http.Request) {
		time.Sleep(2 * time.Second)
		_, _ = w.Write([]byte("reply"))
	})
	assert.NilError(t, err)
	assert.Equal(t, string(body), "reply")
	assert.Equal(t, took, 2*time.Second)
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
