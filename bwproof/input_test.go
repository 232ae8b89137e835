package bwproof_test

import (
	"net/http"
	"strings"
	"testing"
	"testing/synctest"

	"basilwood.example/basilwood/bwentry"
	"gotest.tools/v3/assert"
)

// badRequest is an invalid request and the reply that is expected for it.
type badRequest struct {
	name   string
	path   string
	header map[string]string
	body   string
	status int
	reason string
}

func TestInvalidRequestIsRejectedWithReason(t *testing.T) {
	profile := map[string]string{bwentry.HeaderProfile: "alpha-reads"}
	with := func(name, value string) map[string]string {
		return map[string]string{bwentry.HeaderProfile: "alpha-reads", name: value}
	}
	cases := []badRequest{
		{"no profile", "alpha", nil, "x", http.StatusNotFound, "unknownProfile"},
		{"unknown service", "gamma", profile, "x", http.StatusNotFound, "unknownProfile"},
		{"timeout without unit", "alpha", with(bwentry.HeaderTimeout, "5"), "x", http.StatusBadRequest, "malformed"},
		{"negative timeout", "alpha", with(bwentry.HeaderTimeout, "-1s"), "x", http.StatusBadRequest, "malformed"},
		{"size in words", "alpha", with(bwentry.HeaderSize, "big"), "x", http.StatusBadRequest, "malformed"},
		{"size beyond any host", "alpha", with(bwentry.HeaderSize, "17"), "x", http.StatusRequestEntityTooLarge, "tooLarge"},
		{"long key", "alpha", with(bwentry.HeaderIdempotencyKey, strings.Repeat("k", 201)), "x", http.StatusBadRequest, "malformed"},
		{"payload over 1 MiB", "alpha", profile, strings.Repeat("x", 1<<20+1), http.StatusRequestEntityTooLarge, "tooLarge"},
	}
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.close()
		for _, c := range cases {
			status, problem := f.post(c)
			assert.Equal(t, status, c.status, c.name)
			assert.Equal(t, problem.Outcome, "notRun", c.name)
			assert.Equal(t, problem.Reason, c.reason, c.name)
			assert.Assert(t, problem.Message != "" && problem.RequestID != "", c.name)
		}
		assert.Equal(t, len(f.executions()), 0)
		status, _ := f.post(badRequest{path: "alpha", header: profile, body: "x"})
		assert.Equal(t, status, http.StatusOK, "the entry still serves valid requests")
	})
}
