// Package bwreport formats accounts, status replies and logs as text for operators.
package bwreport

import (
	"fmt"
	"strings"
	"time"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwclock"
	"basilwood.example/basilwood/bwoutcome"
)

// Account formats the account of one request: its outcome, whether the outcome is certain,
// and its events in order.
func Account(a *bwaccount.Account) string {
	var b strings.Builder
	fmt.Fprintf(&b, "Request %s\n", a.GetRequestId())
	fmt.Fprintf(&b, "  caller %s, service %s, profile %s", orNotGiven(a.GetCaller()), a.GetService(), a.GetProfile())
	if a.GetIdempotencyKey() != "" {
		fmt.Fprintf(&b, ", idempotency key %s", a.GetIdempotencyKey())
	}
	fmt.Fprintf(&b, "\n  %s\n", Summary(a))
	for _, e := range a.GetEvents() {
		at := bwclock.Time(e.GetAtMillis())
		elapsed := time.Duration(e.GetAtMillis()-a.GetReceivedMillis()) * time.Millisecond
		fmt.Fprintf(&b, "  %s  +%-8s %s\n", at, elapsed, describeEvent(e))
	}
	return b.String()
}

func orNotGiven(s string) string {
	if s == "" {
		return "(not given)"
	}
	return s
}

// Summary returns the outcome of a request and whether it is certain, in a sentence or two.
func Summary(a *bwaccount.Account) string {
	switch {
	case !a.GetFinal():
		return "NO OUTCOME YET: it is in progress, or the entry that knew the outcome was lost; it may have run."
	case a.GetOutcome() == bwoutcome.Kind_ran && a.GetReplayed():
		return fmt.Sprintf("ALREADY RAN: an earlier request with this key ran; its answer (status %d) was returned again. Certain.", a.GetStatus())
	case a.GetOutcome() == bwoutcome.Kind_ran:
		return fmt.Sprintf("RAN: the target answered with status %d. Certain.", a.GetStatus())
	case a.GetOutcome() == bwoutcome.Kind_notRun:
		return "DID NOT RUN: " + a.GetReason().Message() + ". Certain."
	}
	return "UNKNOWN: " + a.GetReason().Message() + ". It may have run; ask the target."
}

func describeEvent(e *bwaccount.Event) string {
	switch e.GetKind() {
	case bwaccount.EventKind_received:
		return "received by " + e.GetEntry()
	case bwaccount.EventKind_forwarded:
		return "handed to home " + e.GetHost()
	case bwaccount.EventKind_queued:
		return "queued at " + e.GetEntry()
	case bwaccount.EventKind_claimed:
		return "idempotency key claimed"
	case bwaccount.EventKind_sent:
		return "sent to host " + e.GetHost()
	case bwaccount.EventKind_answered:
		if e.GetReason() != bwoutcome.Reason_none {
			return "host " + e.GetHost() + " failed: " + e.GetReason().Message()
		}
		return "answered by host " + e.GetHost()
	case bwaccount.EventKind_retried:
		return "queued again for another attempt"
	case bwaccount.EventKind_refused:
		return "host " + e.GetHost() + " did not start it"
	case bwaccount.EventKind_cancelRequested:
		return "cancellation requested"
	}
	return "in doubt: " + e.GetReason().Message()
}
