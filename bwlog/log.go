// Package bwlog provides structured logging that never blocks the process.
//
// Log lines pass through a bounded queue to one goroutine that writes them. When the queue is
// full because the output is too slow, lines are dropped and counted. The count is logged
// once the queue has drained to less than half of its capacity.
package bwlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/prometheus/client_golang/prometheus"
)

const (
	// queueCapacity bounds the memory of the queue to about one megabyte.
	queueCapacity = 4096
	closeTimeout  = time.Second
	// batchBytes is the maximum size of one write, unless a line is longer. A reader that takes at most 8 KB of
	// each write then gets all lines.
	batchBytes = 8 << 10
)

// Writer is an io.Writer that queues lines for an underlying, possibly slow, writer.
type Writer struct {
	out     io.Writer
	queue   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer that writes to out, and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, queue: make(chan []byte, queueCapacity), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it if the queue is full. It never blocks or fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.total.Add(1)
	select {
	case w.queue <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// LineCounts returns the number of lines passed to Write and how many of them were dropped.
func (w *Writer) LineCounts() (total, dropped int64) { return w.total.Load(), w.dropped.Load() }

// Register registers the line counts as metrics.
func (w *Writer) Register(r prometheus.Registerer) {
	r.MustRegister(
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "basilwood_log_lines_total", Help: "Log lines, dropped ones included."},
			func() float64 { return float64(w.total.Load()) }),
		prometheus.NewCounterFunc(prometheus.CounterOpts{Name: "basilwood_log_lines_dropped_total", Help: "Log lines dropped because the output was too slow."},
			func() float64 { return float64(w.dropped.Load()) }),
	)
}

func (w *Writer) run() {
	defer close(w.done)
	reportedDrops := int64(0)
	var batch []byte
	for line := range w.queue {
		for line != nil {
			batch, line = w.appendQueued(append(batch[:0], line...))
			// A failure to write the log cannot be reported anywhere.
			_, _ = w.out.Write(batch)
		}
		if d := w.dropped.Load(); d != reportedDrops && len(w.queue) < queueCapacity/2 {
			_, _ = fmt.Fprintf(w.out, `{"@level":"warn","@message":"log lines dropped","dropped":%d}`+"\n", d)
			reportedDrops = d
		}
	}
}

// appendQueued appends lines that are already queued to batch, up to batchBytes, and returns the first line that
// does not fit, or nil. A busy process queues many lines before this goroutine is scheduled again, and a write
// system call for each would cost more than producing the line.
func (w *Writer) appendQueued(batch []byte) (full, next []byte) {
	for {
		select {
		case line, ok := <-w.queue:
			if !ok {
				return batch, nil
			}
			if len(batch)+len(line) > batchBytes {
				return batch, line
			}
			batch = append(batch, line...)
		default:
			return batch, nil
		}
	}
}

// Close flushes the queue, waiting at most one second. Write must not be called afterwards.
func (w *Writer) Close() {
	close(w.queue)
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
