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

// gate is a buffer whose writes block while the test holds mu.
type gate struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.buf.Write(p)
}

// Guards against blocking or unbounded memory when the output stalls: lines beyond the queue
// must be dropped, counted and reported.
func TestWritesNeverBlock(t *testing.T) {
	g := &gate{}
	g.mu.Lock()
	w := bwlog.NewWriter(g)
	log := bwlog.New("test", hclog.Info, w)
	for range 20000 {
		log.Info("line", "key", "value")
	}
	total, dropped := w.Lines()
	assert.Equal(t, total, int64(20000))
	assert.Assert(t, dropped > 10000)
	g.mu.Unlock()
	w.Close()
	assert.Assert(t, bytes.Contains(g.buf.Bytes(), []byte("log lines dropped")))
}

// counter counts the writes that it receives.
type counter struct {
	gate
	writes int
}

func (c *counter) Write(p []byte) (int, error) {
	n, err := c.gate.Write(p)
	c.writes++
	return n, err
}

// Lines that are queued while the output is blocked must be written in a few batches, all of
// them and in order.
func TestQueuedLinesAreWrittenTogether(t *testing.T) {
	c := &counter{}
	c.mu.Lock()
	w := bwlog.NewWriter(c)
	for i := range 1000 {
		fmt.Fprintf(w, "line %d\n", i)
	}
	c.mu.Unlock()
	w.Close()
	var want bytes.Buffer
	for i := range 1000 {
		fmt.Fprintf(&want, "line %d\n", i)
	}
	assert.Equal(t, c.buf.String(), want.String())
	assert.Assert(t, c.writes < 10, "%d writes", c.writes)
}
