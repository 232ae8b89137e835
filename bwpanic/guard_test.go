package bwpanic_test

import (
	"bytes"
	"strings"
	"testing"

	"basilwood.example/basilwood/bwpanic"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

func TestGuardContainsPanic(t *testing.T) {
	var output bytes.Buffer
	registry := prometheus.NewRegistry()
	g := bwpanic.NewGuard(hclog.New(&hclog.LoggerOptions{Output: &output}), registry)
	assert.Equal(t, g.Run("pass", func() {}), true)
	assert.Equal(t, output.Len(), 0)
	var rows []int
	assert.Equal(t, g.Run("pass", func() { rows[3]++ }, "pool", "desk"), false)
	line := output.String()
	for _, part := range []string{"place=pass", "pool=desk", "index out of range", "guard_test.go"} {
		assert.Assert(t, strings.Contains(line, part), line)
	}
	families, err := registry.Gather()
	assert.NilError(t, err)
	assert.Equal(t, families[0].GetMetric()[0].GetCounter().GetValue(), 1.0)
}

func TestNilGuardContainsPanic(t *testing.T) {
	var g *bwpanic.Guard
	assert.Equal(t, g.Run("pass", func() { panic("unexpected") }), false)
}
