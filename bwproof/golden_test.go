package bwproof_test

import (
	"context"
	"fmt"
	"net/http"
	"regexp"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"basilwood.example/basilwood/bwreport"
	"basilwood.example/basilwood/bwstandin"
	"gotest.tools/v3/golden"
)

// transcript records requests, replies and accounts for comparison with a golden file. It replaces
// values that differ between runs (ids, hosts, times, revisions) by placeholders.
type transcript struct {
	fleet *fleet
	text  strings.Builder
}

var normalizers = []struct {
	pattern     *regexp.Regexp
	replacement string
}{
	{regexp.MustCompile(`\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z  \+\S+ +`), "TIME "},
	{regexp.MustCompile(`entry\d-[0-9a-z]{9}-[0-9a-f]{4}-[0-9a-z]+`), "REQUEST"},
	{regexp.MustCompile(`entry\d-[0-9a-z]{9}-[0-9a-f]{4}`), "ENTRY"},
	{regexp.MustCompile(`home entry\d`), "home ENTRY"},
	{regexp.MustCompile(`(alpha|beta)-\d`), "HOST"},
	{regexp.MustCompile(`[0-9a-f]{8}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{4}-[0-9a-f]{12}`), "UUID"},
	{regexp.MustCompile(`revision":\d+`), `revision":N`},
	{regexp.MustCompile(`revision \d+`), `revision N`},
}

func normalize(s string) string {
	for _, n := range normalizers {
		s = n.pattern.ReplaceAllString(s, n.replacement)
	}
	return s
}

func (tr *transcript) printf(format string, args ...any) {
	fmt.Fprintf(&tr.text, "%s\n", normalize(fmt.Sprintf(format, args...)))
}

// sendRequest sends a request and records its reply and its account.
func (tr *transcript) sendRequest(label string, r *requestRecord, timeout time.Duration) {
	tr.fleet.sendRequest(context.Background(), tr.fleet.entries[0], r, timeout)
	tr.printf("> %s", label)
	tr.printf("%d %s %s replayed=%t body=%q", r.status, r.outcome, r.reason, r.replayed, replyBody(r))
	time.Sleep(2 * time.Second)
	if a := tr.fleet.account(tr.fleet.entries[1], r.id); a != nil {
		tr.printf("%s", bwreport.Account(a))
	}
}

// replyBody returns the body of a target's reply. It is empty for a rejected request, whose reason
// is recorded separately.
func replyBody(r *requestRecord) string {
	if r.outcome == "ran" {
		return r.body
	}
	return ""
}

// adminRequest sends a request to the administration API and records the reply.
func (tr *transcript) adminRequest(method, path, body string) {
	status, reply := tr.fleet.adminRequest(method, path, []byte(body))
	tr.printf("> %s %s %s", method, path, body)
	tr.printf("%d %s", status, strings.TrimSpace(string(reply)))
}

func TestGoldenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.close()
		tr := &transcript{fleet: f}
		second := time.Second
		tr.sendRequest("idempotent request", &requestRecord{pool: "alpha", profile: "alpha-reads", payload: "a"}, second)
		tr.sendRequest("unknown profile", &requestRecord{pool: "alpha", profile: "nothing", payload: "a"}, second)
		tr.sendRequest("profile of another service", &requestRecord{pool: "beta", profile: "alpha-reads", payload: "a"}, second)
		tr.sendRequest("non-idempotent request", &requestRecord{pool: "beta", profile: "beta-counts", payload: "order", key: "k1"}, second)
		tr.sendRequest("the same key again", &requestRecord{pool: "beta", profile: "beta-counts", payload: "order", key: "k1"}, second)
		f.store.Faults().Set(bwstandin.Faults{Refuse: true})
		tr.sendRequest("non-idempotent while the store is down", &requestRecord{pool: "beta", profile: "beta-counts", payload: "order", key: "k2"}, second)
		tr.sendRequest("idempotent while the store is down", &requestRecord{pool: "beta", profile: "beta-reads", payload: "b"}, second)
		f.store.Faults().Set(bwstandin.Faults{})
		time.Sleep(3 * second)
		tr.sendRequest("the key of the refused request", &requestRecord{pool: "beta", profile: "beta-counts", payload: "order", key: "k2"}, second)
		for _, target := range f.targets {
			target.SetMode(bwstandin.TargetMode{SilentAfterStart: true})
		}
		tr.sendRequest("non-idempotent, target goes silent", &requestRecord{pool: "alpha", profile: "alpha-counts", payload: "order", key: "k3"}, second)
		for _, target := range f.targets {
			target.SetMode(bwstandin.TargetMode{})
		}
		tr.sendRequest("its key again", &requestRecord{pool: "alpha", profile: "alpha-counts", payload: "order", key: "k3"}, second)
		golden.Assert(t, tr.text.String(), "requests.golden")
	})
}

func TestGoldenAdministration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.close()
		tr := &transcript{fleet: f}
		tr.adminRequest(http.MethodPut, "/v1/teams/team", `{"name":"team","quotaSlots":10}`)
		tr.adminRequest(http.MethodPut, "/v1/teams/other", `{"name":"other","quotaSlots":5}`)
		tr.adminRequest(http.MethodPut, "/v1/teams/other", `{"name":"other","quota":5}`)
		tr.adminRequest(http.MethodPut, "/v1/teams/other?expectedRevision=1", `{"name":"other","quotaSlots":6}`)
		time.Sleep(time.Second)
		tr.adminRequest(http.MethodPut, "/v1/profiles/new", `{"name":"new","team":"other","pool":"alpha","guaranteedSlots":6}`)
		tr.adminRequest(http.MethodPut, "/v1/profiles/new", `{"name":"New","team":"none","pool":"none","timeoutMillis":-1}`)
		tr.adminRequest(http.MethodDelete, "/v1/pools/alpha", "")
		tr.adminRequest(http.MethodPost, "/v1/hosts/alpha-0/move", `{"toPool":"alpha"}`)
		tr.adminRequest(http.MethodPost, "/v1/hosts/nowhere/move", `{"toPool":"alpha"}`)
		tr.adminRequest(http.MethodPost, "/v1/hosts/alpha-0/move", `{"toPool":"beta"}`)
		tr.adminRequest(http.MethodPost, "/v1/hosts/alpha-1/move", `{"toPool":"beta"}`)
		tr.adminRequest(http.MethodPost, "/v1/pools/beta/maintenance/pause", "")
		time.Sleep(10 * time.Second)
		tr.adminRequest(http.MethodGet, "/v1/hosts/alpha-0", "")
		f.runWave("beta", time.Minute)
		tr.adminRequest(http.MethodGet, "/v1/pools/beta/maintenance", "")
		tr.adminRequest(http.MethodGet, "/v1/pools/alpha", "")
		tr.adminRequest(http.MethodPost, "/v1/pools/alpha/maintenance/start", "")
		tr.adminRequest(http.MethodPost, "/v1/pools/alpha/maintenance/cancel", "")
		golden.Assert(t, tr.text.String(), "administration.golden")
	})
}
