package bwload

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwentry"
	"basilwood.example/basilwood/bwstandin"
)

const checkWorkers = 32

// Finding is the result of a consistency check.
type Finding struct {
	replies       int
	accounts      int
	executions    int
	unknown       int
	missing       int
	disagreements []string
}

// Disagreements returns a description of each contradiction between replies, accounts and
// executions.
func (f *Finding) Disagreements() []string { return f.disagreements }

// Missing returns the number of replies without an account that should have one.
func (f *Finding) Missing() int { return f.missing }

// String returns a one-line summary.
func (f *Finding) String() string {
	return fmt.Sprintf("checked %d replies, %d accounts and %d executions: %d unknown, %d without an account, %d disagreements",
		f.replies, f.accounts, f.executions, f.unknown, f.missing, len(f.disagreements))
}

func (f *Finding) disagree(format string, args ...any) {
	f.disagreements = append(f.disagreements, fmt.Sprintf(format, args...))
}

// Executions fetches the executions that the targets recorded.
func Executions(ctx context.Context, targets []string) ([]bwstandin.Execution, error) {
	var all []bwstandin.Execution
	for _, t := range targets {
		var part []bwstandin.Execution
		if err := get(ctx, "http://"+t+"/executions", &part); err != nil {
			return nil, fmt.Errorf("target %s: %w", t, err)
		}
		all = append(all, part...)
	}
	return all, nil
}

func get(ctx context.Context, url string, v any) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	return json.NewDecoder(resp.Body).Decode(v)
}

// Check compares the replies with the executions and with the accounts that it reads from
// the entries.
func Check(ctx context.Context, entries []string, replies []Reply, executions []bwstandin.Execution) *Finding {
	f := &Finding{replies: len(replies), executions: len(executions)}
	byRequest := make(map[string]int)
	for _, e := range executions {
		byRequest[e.RequestID]++
	}
	f.checkReplies(replies, byRequest)
	f.checkKeys(replies, executions)
	accounts := readAccounts(ctx, entries, replies)
	f.accounts = len(accounts)
	f.checkAccounts(replies, accounts, byRequest)
	return f
}

// checkReplies compares the outcome of each reply with the number of its executions, and
// checks that bodies are intact.
func (f *Finding) checkReplies(replies []Reply, byRequest map[string]int) {
	for _, r := range replies {
		if r.requestID == "" {
			continue
		}
		ran := byRequest[r.requestID]
		switch {
		case r.outcome == "notRun" && ran > 0:
			f.disagree("%s: reply says notRun, but it was executed %d times", r.requestID, ran)
		case r.outcome == "ran" && !r.replayed && ran == 0:
			f.disagree("%s: reply says ran, but it was never executed", r.requestID)
		case r.outcome == "ran" && !r.isWhole:
			f.disagree("%s: response body is truncated or belongs to another request", r.requestID)
		case r.outcome == "unknown":
			f.unknown++
		}
	}
}

// checkKeys checks that no idempotency key was executed more than once.
func (f *Finding) checkKeys(replies []Reply, executions []bwstandin.Execution) {
	byKey := make(map[string]int)
	for _, e := range executions {
		key, _, _ := strings.Cut(e.Payload, keyEnd)
		byKey[key]++
	}
	seen := make(map[string]bool)
	for _, r := range replies {
		if n := byKey[r.key]; r.key != "" && n > 1 && !seen[r.key] {
			seen[r.key] = true
			f.disagree("key %s: executed %d times", r.key, n)
		}
	}
}

// checkAccounts compares the final accounts with the replies and the executions, and counts
// missing accounts. Replies with status 400 or 404 need none.
func (f *Finding) checkAccounts(replies []Reply, accounts map[string]*bwaccount.Account, byRequest map[string]int) {
	for _, r := range replies {
		if r.requestID == "" {
			continue
		}
		a := accounts[r.requestID]
		if a == nil {
			if r.status != http.StatusBadRequest && r.status != http.StatusNotFound {
				f.missing++
			}
			continue
		}
		if a.GetFinal() && a.GetOutcome().String() != r.outcome {
			f.disagree("%s: reply says %s, but account says %s", r.requestID, r.outcome, a.GetOutcome())
		}
		if a.GetFinal() && a.GetOutcome().String() == "notRun" && byRequest[r.requestID] > 0 {
			f.disagree("%s: account says notRun, but it was executed", r.requestID)
		}
	}
}

// readAccounts reads the account of each reply, spreading the calls over the entries.
func readAccounts(ctx context.Context, entries []string, replies []Reply) map[string]*bwaccount.Account {
	accounts := make(map[string]*bwaccount.Account)
	work := make(chan Reply)
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range checkWorkers {
		entry := entries[i%len(entries)]
		group.Go(func() {
			for r := range work {
				a := readAccount(ctx, entry, r.requestID)
				mu.Lock()
				if a != nil {
					accounts[r.requestID] = a
				}
				mu.Unlock()
			}
		})
	}
	for _, r := range replies {
		if r.requestID != "" {
			work <- r
		}
	}
	close(work)
	group.Wait()
	return accounts
}

func readAccount(ctx context.Context, entry, id string) *bwaccount.Account {
	var list bwentry.AccountList
	if err := get(ctx, "http://"+entry+"/v1/requests/"+id, &list); err != nil || len(list.Accounts) != 1 {
		return nil
	}
	a := new(bwaccount.Account)
	if bwcodec.Unmarshal(list.Accounts[0], a) != nil {
		return nil
	}
	return a
}
