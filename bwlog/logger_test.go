package bwlog_test

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"testing"
	"time"

	"basilwood.example/basilwood/bwjob"
	"basilwood.example/basilwood/bwlog"
	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// Lines have the same fields and values as those of hclog.
func TestLinesAreThoseOfHclog(t *testing.T) {
	fields := []any{"text", "a \"quoted\"\n\x00 tab\t é", "count", 7, "big", int64(1) << 60, "ratio", 0.25, "isSet", true,
		"error", errors.New("failed: \\"), "task", bwjob.TaskID{Job: "j", Occurrence: 1, Step: 2, Index: 3},
		"list", []string{"a", "b"}, "nothing", nil, "at", time.Duration(5).String()}
	decode := func(newLogger func(w io.Writer) hclog.Logger) []map[string]any {
		var output bytes.Buffer
		log := newLogger(&output).With("pool", "desk", "fence", int64(7))
		log.Info("first", fields...)
		log.Named("part").Error("second", "odd")
		log.Debug("not written")
		log.ResetNamed("other").Warn("third")
		log.Log(hclog.Info, "fourth", "key", "value")
		var lines []map[string]any
		for d := json.NewDecoder(&output); d.More(); {
			var line map[string]any
			assert.NilError(t, d.Decode(&line))
			_, err := time.Parse(time.RFC3339Nano, line["@timestamp"].(string))
			assert.NilError(t, err)
			delete(line, "@timestamp")
			lines = append(lines, line)
		}
		return lines
	}
	got := decode(func(w io.Writer) hclog.Logger { return bwlog.New("node", hclog.Info, w) })
	want := decode(func(w io.Writer) hclog.Logger {
		return hclog.New(&hclog.LoggerOptions{Name: "node", Level: hclog.Info, JSONFormat: true, Output: w})
	})
	assert.DeepEqual(t, got, want)
}

func BenchmarkLine(b *testing.B) {
	log := bwlog.New("node", hclog.Info, io.Discard).With("pool", "desk", "fence", int64(7))
	task := bwjob.TaskID{Job: "5c0e7a21d94b36f8", Step: 1, Index: 17}
	for b.Loop() {
		log.Info("start ordered", "job", task.Job, "task", task, "run", 1, "executor", "i-5c0e7a21", "failures", 0,
			"sinceAccepted", "120ms", "reportAge", "7ms")
	}
}
