package bwnode_test

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"basilwood.example/basilwood/bwlog"
	"basilwood.example/basilwood/bwnode"
	"basilwood.example/basilwood/bwpanic"
	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"
)

// The metrics page must list each metric of a node and no other metric in its section.
func TestMetricsPageListsAllMetrics(t *testing.T) {
	data, err := os.ReadFile("../docs/METRICS.md")
	assert.NilError(t, err)
	_, page, ok := strings.Cut(string(data), "## Nodes of the job scheduler")
	assert.Assert(t, ok)
	registry := prometheus.NewRegistry()
	bwnode.NewMetrics(registry)
	bwpanic.NewGuard(hclog.NewNullLogger(), registry)
	w := bwlog.NewWriter(&bytes.Buffer{})
	defer w.Close()
	w.Register(registry)
	descriptions := make(chan *prometheus.Desc, 100)
	registry.Describe(descriptions)
	close(descriptions)
	n := 0
	for d := range descriptions {
		name := strings.Split(d.String(), `"`)[1]
		assert.Assert(t, strings.Contains(page, "`"+name+"`"), "%s is not on the page", name)
		n++
	}
	assert.Equal(t, strings.Count(page, "| `basilwood_"), n)
}
