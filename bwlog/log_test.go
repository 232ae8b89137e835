package bwlog_test

import (
	"bytes"
	"fmt"
	"sync"
	"testing"

	"basilwood.example/basilwood/bwlog"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// blockingBuffer is a buffer whose writes block while the test holds mu.
type blockingBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *blockingBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

// Guards against blocking or unbounded memory when the output stalls: lines beyond the queue
// must be dropped, counted and reported.
func TestWritesNeverBlock(t *testing.T) {
	buffer := &blockingBuffer{}
	buffer.mu.Lock()
	w := bwlog.NewWriter(buffer)
	log := bwlog.New("test", hclog.Info, w)
	for range 20000 {
		log.Info("line", "key", "value")
	}
	total, dropped := w.LineCounts()
	assert.Equal(t, total, int64(20000))
	assert.Assert(t, dropped > 10000)
	buffer.mu.Unlock()
	w.Close()
	assert.Assert(t, bytes.Contains(buffer.buf.Bytes(), []byte("log lines dropped")))
}

// countingBuffer counts the writes that it receives.
type countingBuffer struct {
	blockingBuffer
	writes int
}

func (c *countingBuffer) Write(p []byte) (int, error) {
	n, err := c.blockingBuffer.Write(p)
	c.writes++
	return n, err
}

// Lines that are queued while the output is blocked must be written in a few batches, all of
// them and in order.
func TestQueuedLinesAreWrittenInBatches(t *testing.T) {
	buffer := &countingBuffer{}
	buffer.mu.Lock()
	w := bwlog.NewWriter(buffer)
	for i := range 1000 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	buffer.mu.Unlock()
	w.Close()
	var want bytes.Buffer
	for i := range 1000 {
		fmt.Fprintf(&want, "line %d\n", i)
	}
	assert.Equal(t, buffer.buf.String(), want.String())
	assert.Assert(t, buffer.writes < 10, "%d writes", buffer.writes)
}
