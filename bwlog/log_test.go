package bwlog_test

import (
	"bytes"
	"fmt"
	"strings"
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

// countingBuffer counts the writes that it receives, and keeps the size of the largest.
type countingBuffer struct {
	blockingBuffer
	writes  int
	largest int
}

func (c *countingBuffer) Write(p []byte) (int, error) {
	n, err := c.blockingBuffer.Write(p)
	c.writes++
	c.largest = max(c.largest, len(p))
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

// Guards against writes of which a reader that takes 8 KB at a time loses the rest.
func TestNoWriteExceedsEightKilobytes(t *testing.T) {
	buffer := &countingBuffer{}
	buffer.mu.Lock()
	w := bwlog.NewWriter(buffer)
	var want bytes.Buffer
	for i := range 1000 {
		line := fmt.Sprintf("%d %s\n", i, strings.Repeat("x", i%300))
		want.WriteString(line)
		fmt.Fprint(w, line)
	}
	buffer.mu.Unlock()
	w.Close()
	assert.Equal(t, buffer.buf.String(), want.String())
	assert.Assert(t, buffer.largest > 7000 && buffer.largest <= 8192, "largest write has %d bytes", buffer.largest)
}
