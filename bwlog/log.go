// Package bwlog writes a process's structured log without ever blocking it.
//
// Lines go through a bounded queue to one goroutine. When the reader of the output is
// slower than the process, lines are dropped and counted, and the count is logged once
// there is room again.
package bwlog

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
)

const (
	// queuedLines bounds the memory of the queue to about a megabyte.
	queuedLines = 4096
	closeWait   = time.Second
	// batchBytes is about how much is written at once; a full queue takes a few writes.
	batchBytes = 64 << 10
)

// Writer is a queue in front of a slower writer.
type Writer struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	total   atomic.Int64
	done    chan struct{}
}

// NewWriter returns a Writer to out and starts its goroutine.
func NewWriter(out io.Writer) *Writer {
	w := &Writer{out: out, lines: make(chan []byte, queuedLines), done: make(chan struct{})}
	go w.run()
	return w
}

// Write queues one line, or drops it when the queue is full.
func (w *Writer) Write(line []byte) (int, error) {
	w.total.Add(1)
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Lines returns how many lines were written and how many of them were dropped.
func (w *Writer) Lines() (total, dropped int64) { return w.total.Load(), w.dropped.Load() }

// Register adds the counts of lines to a process's metrics.
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
	reported := int64(0)
	var batch []byte
	for line := range w.lines {
		batch = w.gather(append(batch[:0], line...))
		// A log that cannot be written has nowhere to be reported.
		_, _ = w.out.Write(batch)
		if d := w.dropped.Load(); d != reported && len(w.lines) < queuedLines/2 {
			_, _ = fmt.Fprintf(w.out, `{"@level":"warn","@message":"log lines dropped","dropped":%d}`+"\n", d)
			reported = d
		}
	}
}

// gather adds the lines that are queued already: a busy process writes many lines between
// two turns of this goroutine, and a write for each would cost more than the line.
func (w *Writer) gather(batch []byte) []byte {
	for len(batch) < batchBytes {
		select {
		case line, ok := <-w.lines:
			if !ok {
				return batch
			}
			batch = append(batch, line...)
		default:
			return batch
		}
	}
	return batch
}

// Close writes what is queued, for at most a second. Nothing may be written after it.
func (w *Writer) Close() {
	close(w.lines)
	select {
	case <-w.done:
	case <-time.After(closeWait):
	}
}

// New returns a logger that writes JSON lines to w.
func New(name string, level hclog.Level, w io.Writer) hclog.Logger {
	return hclog.New(&hclog.LoggerOptions{Name: name, Level: level, JSONFormat: true, Output: w})
}
