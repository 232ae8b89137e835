// Package bwadmin implements a client of the controllers' administration API, and the format
// of the configuration file that operators apply.
package bwadmin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"basilwood.example/basilwood/bwcontroller"
	"github.com/samber/oops"
)

const (
	requestTimeout = 10 * time.Second
	pollInterval   = 100 * time.Millisecond
)

// AnyRevision is the expected revision of an unconditional change.
const AnyRevision int64 = -1

// APIError is the error that a controller returned for a request.
type APIError struct {
	body bwcontroller.ErrorBody
}

// Error returns the error code and the problems that the controller reported.
func (e *APIError) Error() string {
	return e.body.Code + ": " + strings.Join(e.body.Problems, "; ")
}

// Code returns the controller's error code, such as conflict or notFound.
func (e *APIError) Code() string { return e.body.Code }

// Client sends requests to one controller.
type Client struct {
	baseURL    string
	httpClient *http.Client
}

// New returns a client for the controller at baseURL, which has no path.
func New(baseURL string) *Client {
	return &Client{baseURL: baseURL, httpClient: &http.Client{Timeout: requestTimeout}}
}

// List returns every value of a kind: profiles, teams, pools or hosts.
func (c *Client) List(ctx context.Context, kind string) (bwcontroller.ItemList, error) {
	var list bwcontroller.ItemList
	return list, c.call(ctx, http.MethodGet, "/v1/"+kind, nil, &list)
}

// Get returns one value of a kind.
func (c *Client) Get(ctx context.Context, kind, name string) (bwcontroller.Item, error) {
	var item bwcontroller.Item
	return item, c.call(ctx, http.MethodGet, "/v1/"+kind+"/"+name, nil, &item)
}

// Put stores a value and returns its new revision. If expected is not AnyRevision, the
// change fails with a conflict unless the stored value is at that revision.
func (c *Client) Put(ctx context.Context, kind, name string, value []byte, expected int64) (int64, error) {
	var item bwcontroller.Item
	err := c.call(ctx, http.MethodPut, "/v1/"+kind+"/"+name+expectedRevisionQuery(expected), value, &item)
	return item.Revision, err
}

// Delete removes a value and returns the revision of the deletion. See Put for expected.
func (c *Client) Delete(ctx context.Context, kind, name string, expected int64) (int64, error) {
	var item bwcontroller.Item
	err := c.call(ctx, http.MethodDelete, "/v1/"+kind+"/"+name+expectedRevisionQuery(expected), nil, &item)
	return item.Revision, err
}

func expectedRevisionQuery(expected int64) string {
	if expected == AnyRevision {
		return ""
	}
	return "?expectedRevision=" + strconv.FormatInt(expected, 10)
}

// MoveHost requests the move of a host to a pool and returns the revision at which the
// permit for it was granted.
func (c *Client) MoveHost(ctx context.Context, host, pool string) (int64, error) {
	body, err := json.Marshal(bwcontroller.MoveRequest{ToPool: pool})
	if err != nil {
		return 0, oops.In("bwadmin").Wrap(err)
	}
	var item bwcontroller.Item
	err = c.call(ctx, http.MethodPost, "/v1/hosts/"+host+"/move", body, &item)
	return item.Revision, err
}

// ChangeWave starts, pauses, resumes or cancels the maintenance wave of a pool, and returns
// the revision of the change.
func (c *Client) ChangeWave(ctx context.Context, pool, action string) (int64, error) {
	var item bwcontroller.Item
	err := c.call(ctx, http.MethodPost, "/v1/pools/"+pool+"/maintenance/"+action, nil, &item)
	return item.Revision, err
}

// Maintenance returns the maintenance progress of a pool.
func (c *Client) Maintenance(ctx context.Context, pool string) (bwcontroller.MaintenanceStatus, error) {
	var s bwcontroller.MaintenanceStatus
	return s, c.call(ctx, http.MethodGet, "/v1/pools/"+pool+"/maintenance", nil, &s)
}

// Status returns the fleet status.
func (c *Client) Status(ctx context.Context) (bwcontroller.Status, error) {
	var s bwcontroller.Status
	return s, c.call(ctx, http.MethodGet, "/v1/status", nil, &s)
}

// Accounts searches for accounts by requestId, idempotencyKey, or caller and since.
func (c *Client) Accounts(ctx context.Context, query url.Values) (bwcontroller.AccountList, error) {
	var list bwcontroller.AccountList
	return list, c.call(ctx, http.MethodGet, "/v1/accounts?"+query.Encode(), nil, &list)
}

// WaitApplied waits until every registered entry has applied the revision, or until ctx is
// cancelled.
func (c *Client) WaitApplied(ctx context.Context, revision int64) error {
	for {
		var status bwcontroller.AppliedStatus
		err := c.call(ctx, http.MethodGet, "/v1/applied?revision="+strconv.FormatInt(revision, 10), nil, &status)
		if err == nil && status.InForce {
			return nil
		}
		select {
		case <-ctx.Done():
			return oops.In("bwadmin").Errorf("revision %d was accepted but is not yet in force at every entry", revision)
		case <-time.After(pollInterval):
		}
	}
}

// WaitReady waits until the process at the given operations address is ready, or until ctx
// is cancelled.
func WaitReady(ctx context.Context, address string) error {
	c := New("http://" + address)
	for {
		var reply string
		err := c.call(ctx, http.MethodGet, "/readyz", nil, &reply)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return oops.In("bwadmin").Wrapf(err, "%s is not ready", address)
		case <-time.After(pollInterval):
		}
	}
}

// DumpState returns the state of the process at the given operations address as indented JSON.
func DumpState(ctx context.Context, address string) ([]byte, error) {
	c := New("http://" + address)
	var raw json.RawMessage
	if err := c.call(ctx, http.MethodGet, "/debug/state", nil, &raw); err != nil {
		return nil, err
	}
	var indented bytes.Buffer
	err := json.Indent(&indented, raw, "", "  ")
	return indented.Bytes(), oops.In("bwadmin").Wrap(err)
}

func (c *Client) call(ctx context.Context, method, path string, body []byte, reply any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.baseURL+path, bytes.NewReader(body))
	if err != nil {
		return oops.In("bwadmin").Wrap(err)
	}
	resp, err := c.httpClient.Do(req)
	if err != nil {
		return oops.In("bwadmin").Wrapf(err, "request to %s", c.baseURL)
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return oops.In("bwadmin").Wrap(err)
	}
	if resp.StatusCode == http.StatusOK {
		return oops.In("bwadmin").Wrap(json.Unmarshal(data, reply))
	}
	apiErr := new(APIError)
	if json.Unmarshal(data, &apiErr.body) != nil || apiErr.body.Code == "" {
		return oops.In("bwadmin").Errorf("request to %s: HTTP status %d", c.baseURL, resp.StatusCode)
	}
	return apiErr
}
