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

// transcript records requests, replies and accounts for comparison with a golden file. Values
// that differ between runs (ids, hosts, times) are replaced by placeholders.
type transcript struct {
	fleet *fleet
	text  strings.Builder
}

var normalizers = []struct {
	pattern *regexp.Regexp
	name    string
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
		s = n.pattern.ReplaceAllString(s, n.name)
	}
	return s
}

func (tr *transcript) printf(format string, args ...any) {
	fmt.Fprintf(&tr.text, "%s\n", normalize(fmt.Sprintf(format, args...)))
}

// ask sends a request and records its reply and its account.
func (tr *transcript) ask(label string, r *told, timeout time.Duration) {
	tr.fleet.ask(context.Background(), tr.fleet.entries[0], r, timeout)
	tr.printf("> %s", label)
	tr.printf("%d %s %s replayed=%t body=%q", r.status, r.outcome, r.reason, r.replayed, bodyOf(r))
	time.Sleep(2 * time.Second)
	if a := tr.fleet.account(tr.fleet.entries[1], r.id); a != nil {
		tr.printf("%s", bwreport.Account(a))
	}
}

// bodyOf returns the body of a target's reply. It is empty for a rejected request, whose reason is
// recorded separately.
func bodyOf(r *told) string {
	if r.outcome == "ran" {
		return r.body
	}
	return ""
}

// administer sends a request to the administration API and records the reply.
func (tr *transcript) administer(method, path, body string) {
	status, reply := tr.fleet.administer(method, path, []byte(body))
	tr.printf("> %s %s %s", method, path, body)
	tr.printf("%d %s", status, strings.TrimSpace(string(reply)))
}

func TestGoldenRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.close()
		tr := &transcript{fleet: f}
		second := time.Second
		tr.ask("idempotent request", &told{pool: "alpha", profile: "alpha-reads", payload: "a"}, second)
		tr.ask("unknown profile", &told{pool: "alpha", profile: "nothing", payload: "a"}, second)
		tr.ask("profile of another service", &told{pool: "beta", profile: "alpha-reads", payload: "a"}, second)
		tr.ask("non-idempotent request", &told{pool: "beta", profile: "beta-counts", payload: "order", key: "k1"}, second)
		tr.ask("the same key again", &told{pool: "beta", profile: "beta-counts", payload: "order", key: "k1"}, second)
		f.store.Faults().Set(bwstandin.Faults{Refuse: true})
		tr.ask("non-idempotent while the store is down", &told{pool: "beta", profile: "beta-counts", payload: "order", key: "k2"}, second)
		tr.ask("idempotent while the store is down", &told{pool: "beta", profile: "beta-reads", payload: "b"}, second)
		f.store.Faults().Set(bwstandin.Faults{})
		time.Sleep(3 * second)
		tr.ask("the key of the refused request", &told{pool: "beta", profile: "beta-counts", payload: "order", key: "k2"}, second)
		for _, target := range f.targets {
			target.SetMode(bwstandin.TargetMode{SilentAfterStart: true})
		}
		tr.ask("non-idempotent, target goes silent", &told{pool: "alpha", profile: "alpha-counts", payload: "order", key: "k3"}, second)
		for _, target := range f.targets {
			target.SetMode(bwstandin.TargetMode{})
		}
		tr.ask("its key again", &told{pool: "alpha", profile: "alpha-counts", payload: "order", key: "k3"}, second)
		golden.Assert(t, tr.text.String(), "requests.golden")
	})
}

func TestGoldenAdministration(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, 2, 1)
		defer f.close()
		tr := &transcript{fleet: f}
		tr.administer(http.MethodPut, "/v1/teams/team", `{"name":"team","quotaSlots":10}`)
		tr.administer(http.MethodPut, "/v1/teams/other", `{"name":"other","quotaSlots":5}`)
		tr.administer(http.MethodPut, "/v1/teams/other", `{"name":"other","quota":5}`)
		tr.administer(http.MethodPut, "/v1/teams/other?expectedRevision=1", `{"name":"other","quotaSlots":6}`)
		time.Sleep(time.Second)
		tr.administer(http.MethodPut, "/v1/profiles/new", `{"name":"new","team":"other","pool":"alpha","guaranteedSlots":6}`)
		tr.administer(http.MethodPut, "/v1/profiles/new", `{"name":"New","team":"none","pool":"none","timeoutMillis":-1}`)
		tr.administer(http.MethodDelete, "/v1/pools/alpha", "")
		tr.administer(http.MethodPost, "/v1/hosts/alpha-0/move", `{"toPool":"alpha"}`)
		tr.administer(http.MethodPost, "/v1/hosts/nowhere/move", `{"toPool":"alpha"}`)
		tr.administer(http.MethodPost, "/v1/hosts/alpha-0/move", `{"toPool":"beta"}`)
		tr.administer(http.MethodPost, "/v1/hosts/alpha-1/move", `{"toPool":"beta"}`)
		tr.administer(http.MethodPost, "/v1/pools/beta/maintenance/pause", "")
		time.Sleep(10 * time.Second)
		tr.administer(http.MethodGet, "/v1/hosts/alpha-0", "")
		f.wave("beta", time.Minute)
		tr.administer(http.MethodGet, "/v1/pools/beta/maintenance", "")
		tr.administer(http.MethodGet, "/v1/pools/alpha", "")
		tr.administer(http.MethodPost, "/v1/pools/alpha/maintenance/start", "")
		tr.administer(http.MethodPost, "/v1/pools/alpha/maintenance/cancel", "")
		golden.Assert(t, tr.text.String(), "administration.golden")
	})
}
