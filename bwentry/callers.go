package bwentry

import (
	"encoding/json"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"basilwood.example/basilwood/bwaccount"
	"basilwood.example/basilwood/bwcodec"
	"basilwood.example/basilwood/bwhttp"
	"basilwood.example/basilwood/bwoutcome"
	"basilwood.example/basilwood/bwpeer"
	"basilwood.example/basilwood/bwprofile"
	"basilwood.example/basilwood/bwsearch"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/gorilla/mux"
)

// HTTP headers of the caller API, documented in docs/CALLERS.md.
const (
	HeaderProfile        = "Basilwood-Profile"
	HeaderCaller         = "Basilwood-Caller"
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderTimeout        = "Basilwood-Timeout"
	HeaderSize           = "Basilwood-Size"
	HeaderRequestID      = "Basilwood-Request-Id"
	HeaderOutcome        = "Basilwood-Outcome"
	HeaderReplayed       = "Basilwood-Replayed"
)

const (
	// maxBodyBytes limits the payload of a request.
	maxBodyBytes     = 1 << 20
	maxKeyLength     = 200
	maxSearchResults = 1000
)

// Problem is the JSON error body of a reply that does not carry a target's response.
type Problem struct {
	Outcome          string `json:"outcome"`
	Reason           string `json:"reason"`
	Message          string `json:"message"`
	RequestID        string `json:"requestId,omitempty"`
	IdempotencyKey   string `json:"idempotencyKey,omitempty"`
	RetryAfterMillis int64  `json:"retryAfterMillis,omitempty"`
}

// callerRoutes returns the handler of the caller API.
func (e *Entry) callerRoutes() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/v1/services/{service}/requests", e.serveRequest).Methods(http.MethodPost)
	r.HandleFunc("/v1/requests/{id}", e.serveAccount).Methods(http.MethodGet)
	r.HandleFunc("/v1/requests/{id}", e.serveCancel).Methods(http.MethodDelete)
	r.HandleFunc("/v1/requests", e.serveSearch).Methods(http.MethodGet)
	return e.closeConnectionsWhenLeaving(r)
}

// closeConnectionsWhenLeaving sets "Connection: close" on replies while the entry is
// leaving. The server closes idle connections when it shuts down. A request that arrives on
// such a connection at that moment would run, but its reply would be lost.
func (e *Entry) closeConnectionsWhenLeaving(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if e.leaving.Load() {
			w.Header().Set("Connection", "close")
		}
		next.ServeHTTP(w, r)
	})
}

// serveRequest runs a caller's request and writes its outcome.
func (e *Entry) serveRequest(w http.ResponseWriter, r *http.Request) {
	id := e.nextRequestID()
	w.Header().Set(HeaderRequestID, id)
	request, rejection, message := e.parseRequest(r, id)
	if rejection != nil {
		e.recordRejection(request, rejection)
		e.writeProblem(w, request, rejection, message)
		return
	}
	w.Header().Set(HeaderIdempotencyKey, request.GetIdempotencyKey())
	o := e.execute(r.Context(), request)
	if o.GetKind() == bwoutcome.Kind_ran {
		writeResponse(w, o)
		return
	}
	e.writeProblem(w, request, o, "")
}

// parseRequest builds a SubmitRequest from an HTTP request. If it rejects the request, it
// returns the rejection and, for some reasons, a message for the caller.
func (e *Entry) parseRequest(r *http.Request, id string) (*bwpeer.SubmitRequest, *bwoutcome.Outcome, string) {
	request := &bwpeer.SubmitRequest{
		RequestId:      id,
		Service:        mux.Vars(r)["service"],
		Profile:        r.Header.Get(HeaderProfile),
		Caller:         r.Header.Get(HeaderCaller),
		IdempotencyKey: r.Header.Get(HeaderIdempotencyKey),
		ContentType:    r.Header.Get("Content-Type"),
		Receiver:       e.incarnation,
	}
	malformed := bwoutcome.NotRun(bwoutcome.Reason_malformed, 0)
	// A leaving entry still accepts requests from callers that have not switched to
	// another entry yet, and other entries run them.
	if !e.replica.IsLoaded() {
		return request, bwoutcome.NotRun(bwoutcome.Reason_notReady, minRetryAfter), ""
	}
	p := e.profileOf(request)
	if p == nil {
		return request, bwoutcome.NotRun(bwoutcome.Reason_unknownProfile, 0), ""
	}
	if len(request.GetIdempotencyKey()) > maxKeyLength || len(request.GetCaller()) > maxKeyLength {
		return request, malformed, "Idempotency-Key and Basilwood-Caller are limited to 200 bytes"
	}
	timeout, err := parseTimeout(r.Header.Get(HeaderTimeout), p)
	if err != nil {
		return request, malformed, err.Error()
	}
	size, err := parseSize(r.Header.Get(HeaderSize))
	if err != nil {
		return request, malformed, err.Error()
	}
	body, err := io.ReadAll(http.MaxBytesReader(nil, r.Body, maxBodyBytes))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return request, bwoutcome.NotRun(bwoutcome.Reason_tooLarge, 0), "the payload is larger than 1 MiB"
	}
	if err != nil {
		return request, malformed, "the payload could not be read: " + err.Error()
	}
	request.BudgetMillis = timeout.Milliseconds()
	request.Size = size
	request.Body = body
	request.Checksum = xxhash.Sum64(body)
	if !p.IsIdempotent() && request.GetIdempotencyKey() == "" {
		request.IdempotencyKey = uuid.NewString()
	}
	return request, nil, ""
}

// profileOf returns the profile of the request, or nil if the profile does not exist or
// its pool does not serve the requested service.
func (e *Entry) profileOf(r *bwpeer.SubmitRequest) *bwprofile.Profile {
	snapshot := e.replica.Snapshot()
	p := snapshot.Profile(r.GetProfile())
	if p == nil {
		return nil
	}
	pool := snapshot.Pool(p.GetPool())
	if pool == nil || pool.GetService() != r.GetService() {
		return nil
	}
	return p
}

// parseTimeout returns the time budget of a request. A budget that the caller sets is
// capped at MaxTimeout and at the key window of the profile, so that the idempotency key
// is remembered for as long as the request may take.
func parseTimeout(value string, p *bwprofile.Profile) (time.Duration, error) {
	if value == "" {
		return p.Timeout(), nil
	}
	d, err := time.ParseDuration(value)
	if err != nil {
		return 0, errors.New("Basilwood-Timeout is not a duration such as 1500ms")
	}
	if d < time.Millisecond {
		return 0, errors.New("Basilwood-Timeout must be at least 1ms")
	}
	return min(d, p.KeyWindow(), bwprofile.MaxTimeout), nil
}

func parseSize(value string) (int32, error) {
	if value == "" {
		return 0, nil
	}
	n, err := strconv.ParseInt(value, 10, 32)
	if err != nil || n < 0 || n > math.MaxInt32 {
		return 0, errors.New("Basilwood-Size is the number of processor cores that the request needs")
	}
	return int32(n), nil
}

// writeResponse writes a target's complete response as the reply.
func writeResponse(w http.ResponseWriter, o *bwoutcome.Outcome) {
	h := w.Header()
	h.Set(HeaderOutcome, o.GetKind().String())
	if o.GetReplayed() {
		h.Set(HeaderReplayed, "true")
	}
	if o.GetContentType() != "" {
		h.Set("Content-Type", o.GetContentType())
	}
	h.Set("Content-Length", strconv.Itoa(len(o.GetBody())))
	w.WriteHeader(o.HTTPStatus())
	// The write fails if the caller has disconnected; the account keeps the outcome.
	_, _ = w.Write(o.GetBody())
}

// writeProblem replies to a request that did not run or whose outcome is unknown.
func (e *Entry) writeProblem(w http.ResponseWriter, r *bwpeer.SubmitRequest, o *bwoutcome.Outcome, message string) {
	if message == "" {
		message = o.GetReason().Message()
	}
	h := w.Header()
	h.Set(HeaderOutcome, o.GetKind().String())
	status := o.HTTPStatus()
	if status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable {
		wait := max(o.GetRetryAfterMillis(), minRetryAfter.Milliseconds())
		o.RetryAfterMillis = wait
		h.Set("Retry-After", strconv.Itoa(int(math.Ceil(float64(wait)/1000))))
	}
	bwhttp.WriteJSON(w, status, Problem{
		Outcome:          o.GetKind().String(),
		Reason:           o.GetReason().String(),
		Message:          message,
		RequestID:        r.GetRequestId(),
		IdempotencyKey:   r.GetIdempotencyKey(),
		RetryAfterMillis: o.GetRetryAfterMillis(),
	})
}

// AccountList is the JSON reply to an account search.
type AccountList struct {
	Accounts []json.RawMessage `json:"accounts"`
	// Complete is false when an entry or the store did not answer.
	Complete bool `json:"complete"`
}

// serveAccount returns the account of one request.
func (e *Entry) serveAccount(w http.ResponseWriter, r *http.Request) {
	e.serveLookup(w, r, &bwpeer.LookupRequest{RequestId: mux.Vars(r)["id"]})
}

// serveSearch returns the accounts of the requests with an idempotency key or of a caller.
func (e *Entry) serveSearch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	request := &bwpeer.LookupRequest{IdempotencyKey: query.Get("idempotencyKey"), Caller: query.Get("caller")}
	if request.GetIdempotencyKey() == "" && request.GetCaller() == "" {
		bwhttp.WriteJSON(w, http.StatusBadRequest, Problem{Reason: "malformed", Message: "give idempotencyKey, or caller with since"})
		return
	}
	if since := query.Get("since"); since != "" {
		at, err := time.Parse(time.RFC3339, since)
		if err != nil {
			bwhttp.WriteJSON(w, http.StatusBadRequest, Problem{Reason: "malformed", Message: "since is not an RFC 3339 time"})
			return
		}
		request.SinceMillis = at.UnixMilli()
	}
	e.serveLookup(w, r, request)
}

// serveLookup searches the entries and the store and writes the accounts that it finds.
func (e *Entry) serveLookup(w http.ResponseWriter, r *http.Request, request *bwpeer.LookupRequest) {
	var addresses []string
	for _, m := range e.membership.others() {
		addresses = append(addresses, m.Address())
	}
	own := e.recorder.Find(bwsearch.QueryOf(request))
	found := bwsearch.Find(r.Context(), e.peers, addresses, e.store, own, request)
	list := AccountList{Accounts: []json.RawMessage{}, Complete: found.IsComplete()}
	for _, a := range found.Accounts()[:min(len(found.Accounts()), maxSearchResults)] {
		data, err := bwcodec.Marshal(a)
		if err != nil {
			e.log.Error("failed to encode account", "requestId", a.GetRequestId(), "error", err)
			continue
		}
		list.Accounts = append(list.Accounts, data)
	}
	status := http.StatusOK
	if len(list.Accounts) == 0 {
		status = http.StatusNotFound
	}
	bwhttp.WriteJSON(w, status, list)
}

// Cancellation is the JSON reply to a request for cancellation.
type Cancellation struct {
	RequestID string `json:"requestId"`
	Result    string `json:"result"`
}

// serveCancel cancels a request that has not started. The request id contains the
// incarnation of the entry that received it.
func (e *Entry) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := mux.Vars(r)["id"]
	result := bwpeer.CancelResult_notFound
	incarnation := bwaccount.IncarnationOf(id)
	if incarnation == e.incarnation {
		result = e.cancel(r.Context(), id)
	}
	for _, m := range e.membership.others() {
		if m.Incarnation() == incarnation {
			result = e.cancelAt(r.Context(), m, id)
		}
	}
	status := http.StatusOK
	if result == bwpeer.CancelResult_notFound {
		status = http.StatusNotFound
	}
	bwhttp.WriteJSON(w, status, Cancellation{RequestID: id, Result: result.String()})
}
