package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// record writes record.txt and keeps what executors have run.
type record struct {
	mu       sync.Mutex
	file     *os.File
	began    time.Time
	running  map[string]int
	broken   []string
	failures []string
}

func newRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f, began: time.Now(), running: make(map[string]int)}, err
}

// write writes one line with the time since the begin.
func (r *record) write(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line(format, values...)
}

// line writes one line. The caller holds the lock.
func (r *record) line(format string, values ...any) {
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, values...))
}

// started records the start of a run. Two runs of a task at the same time break the rule TWICE.
func (r *record) started(task string, number int, executor string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.line("run %d of %s started at %s", number, task, executor)
	if r.running[task]++; r.running[task] > 1 {
		r.breach("TWICE: %s has %d runs at the same time", task, r.running[task])
	}
}

// ended records the end of a run.
func (r *record) ended(task string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.running[task]--
}

// count returns how many runs of a task there are now.
func (r *record) count(task string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.running[task]
}

// countAll returns how many runs of all tasks there are now.
func (r *record) countAll() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, runs := range r.running {
		n += runs
	}
	return n
}

// breach records that a rule is broken. The caller holds the lock.
func (r *record) breach(format string, values ...any) {
	text := fmt.Sprintf(format, values...)
	r.line("BROKEN %s", text)
	r.broken = append(r.broken, text)
}

// breaks records that a rule is broken.
func (r *record) breaks(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.breach(format, values...)
}

// fail records that the case cannot run.
func (r *record) fail(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf(format, values...)
	r.line("CANNOT RUN %s", text)
	r.failures = append(r.failures, text)
}

// exitCode returns 2 if the case could not run, 1 if a rule was broken and 0 if it held.
func (r *record) exitCode() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	defer r.file.Close()
	switch {
	case len(r.failures) > 0:
		fmt.Println("cannot run:", strings.Join(r.failures, "; "))
		return 2
	case len(r.broken) > 0:
		fmt.Println("broken:", strings.Join(r.broken[:min(len(r.broken), 5)], "; "))
		return 1
	}
	fmt.Println("held")
	return 0
}
