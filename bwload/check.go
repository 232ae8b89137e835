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

// accountReaders is the number of accounts that are read concurrently.
const accountReaders = 32

// CheckResult is the result of a consistency check.
type CheckResult struct {
	replies         int
	accounts        int
	executions      int
	unknownOutcomes int
	missingAccounts int
	disagreements   []string
}

// Disagreements returns a description of each contradiction between replies, accounts and
// executions.
func (c *CheckResult) Disagreements() []string { return c.disagreements }

// MissingAccounts returns the number of replies that should have an account but have none.
func (c *CheckResult) MissingAccounts() int { return c.missingAccounts }

// String returns a one-line summary.
func (c *CheckResult) String() string {
	return fmt.Sprintf("checked %d replies, %d accounts and %d executions: %d unknown, %d without an account, %d disagreements",
		c.replies, c.accounts, c.executions, c.unknownOutcomes, c.missingAccounts, len(c.disagreements))
}

func (c *CheckResult) addDisagreement(format string, args ...any) {
	c.disagreements = append(c.disagreements, fmt.Sprintf(format, args...))
}

// FetchExecutions fetches the executions that the targets recorded.
func FetchExecutions(ctx context.Context, targets []string) ([]bwstandin.Execution, error) {
	var all []bwstandin.Execution
	for _, t := range targets {
		var part []bwstandin.Execution
		if err := getJSON(ctx, "http://"+t+"/executions", &part); err != nil {
			return nil, fmt.Errorf("target %s: %w", t, err)
		}
		all = append(all, part...)
	}
	return all, nil
}

func getJSON(ctx context.Context, url string, v any) error {
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
func Check(ctx context.Context, entries []string, replies []Reply, executions []bwstandin.Execution) *CheckResult {
	result := &CheckResult{replies: len(replies), executions: len(executions)}
	executionsByRequest := make(map[string]int)
	for _, e := range executions {
		executionsByRequest[e.RequestID]++
	}
	result.checkReplies(replies, executionsByRequest)
	result.checkIdempotencyKeys(replies, executions)
	accounts := readAccounts(ctx, entries, replies)
	result.accounts = len(accounts)
	result.checkAccounts(replies, accounts, executionsByRequest)
	return result
}

// checkReplies compares the outcome of each reply with the number of its executions, and
// checks that bodies are intact.
func (c *CheckResult) checkReplies(replies []Reply, executionsByRequest map[string]int) {
	for _, r := range replies {
		if r.requestID == "" {
			continue
		}
		executed := executionsByRequest[r.requestID]
		switch {
		case r.outcome == "notRun" && executed > 0:
			c.addDisagreement("%s: reply says notRun, but it was executed %d times", r.requestID, executed)
		case r.outcome == "ran" && !r.isReplayed && executed == 0:
			c.addDisagreement("%s: reply says ran, but it was never executed", r.requestID)
		case r.outcome == "ran" && !r.isIntact:
			c.addDisagreement("%s: response body is truncated or belongs to another request", r.requestID)
		case r.outcome == "unknown":
			c.unknownOutcomes++
		}
	}
}

// checkIdempotencyKeys checks that no idempotency key of the replies was executed more than once.
func (c *CheckResult) checkIdempotencyKeys(replies []Reply, executions []bwstandin.Execution) {
	executionsByKey := make(map[string]int)
	for _, e := range executions {
		key, _, _ := strings.Cut(e.Payload, keyTerminator)
		executionsByKey[key]++
	}
	reported := make(map[string]bool)
	for _, r := range replies {
		if n := executionsByKey[r.key]; r.key != "" && n > 1 && !reported[r.key] {
			reported[r.key] = true
			c.addDisagreement("key %s: executed %d times", r.key, n)
		}
	}
}

// checkAccounts compares the final accounts with the replies and the executions, and counts
// missing accounts. Replies with status 400 or 404 need none.
func (c *CheckResult) checkAccounts(replies []Reply, accounts map[string]*bwaccount.Account, executionsByRequest map[string]int) {
	for _, r := range replies {
		if r.requestID == "" {
			continue
		}
		a := accounts[r.requestID]
		if a == nil {
			if r.status != http.StatusBadRequest && r.status != http.StatusNotFound {
				c.missingAccounts++
			}
			continue
		}
		if a.GetFinal() && a.GetOutcome().String() != r.outcome {
			c.addDisagreement("%s: reply says %s, but account says %s", r.requestID, r.outcome, a.GetOutcome())
		}
		if a.GetFinal() && a.GetOutcome().String() == "notRun" && executionsByRequest[r.requestID] > 0 {
			c.addDisagreement("%s: account says notRun, but it was executed", r.requestID)
		}
	}
}

// readAccounts reads the account of each reply, spreading the calls over the entries.
func readAccounts(ctx context.Context, entries []string, replies []Reply) map[string]*bwaccount.Account {
	accounts := make(map[string]*bwaccount.Account)
	work := make(chan Reply)
	var mu sync.Mutex
	var group sync.WaitGroup
	for i := range accountReaders {
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
	if err := getJSON(ctx, "http://"+entry+"/v1/requests/"+id, &list); err != nil || len(list.Accounts) != 1 {
		return nil
	}
	a := new(bwaccount.Account)
	if bwcodec.Unmarshal(list.Accounts[0], a) != nil {
		return nil
	}
	return a
}
