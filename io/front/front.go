// Package front is the HTTP interface for callers of declared services. It reads
// requests, passes them to the engine, and writes answers and refusals. Refusals have the
// form of problem details (RFC 9457). The engine in core decides what is answered.
package front

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/back"
	"hyssoppitch/io/guard"
)

// Paths of the interface for callers.
const (
	// PathQuery, followed by the name of a service, accepts a request by POST.
	PathQuery  = "/v1/query/"
	PathHealth = "/healthz"
	PathReady  = "/readyz"
)

// Headers of the interface for callers; docs/callers.md describes them.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the caller's deadline, in milliseconds from the arrival of the request's first byte.
	HeaderDeadline = "Hyssoppitch-Deadline-Ms"
)

const (
	// maxRequestBytes is the maximum size of a request body.
	maxRequestBytes = 1 << 20
	// maxIdempotencyKeyBytes is the maximum length of an Idempotency-Key.
	maxIdempotencyKeyBytes = 256
	// problemTypePrefix is the prefix of a problem's type; the refusal code follows.
	problemTypePrefix = "urn:hyssoppitch:refusal:"
)

// Executor executes requests.
type Executor interface {
	// Execute executes a request and returns an event.Answer or an event.Refuse. It
	// returns nil when the context ends first, since the caller has then disconnected.
	Execute(ctx context.Context, r event.Request) event.Command
	// NotReadyReason returns why no new requests should be sent here, or "".
	NotReadyReason() string
	// Leaving reports whether the instance is shutting down, so that callers' connections
	// should be closed.
	Leaving() bool
}

// Query is the body of a request.
type Query struct {
	// Class is a class of the service; empty means the service's first class.
	Class string `json:"class,omitempty"`
	// Key routes the request to the one group that holds this key.
	Key string `json:"key,omitempty"`
	// Query is passed to the backend servers unchanged.
	Query json.RawMessage `json:"query"`
}

// Result is the result from one group.
type Result struct {
	Group string          `json:"group"`
	Body  json.RawMessage `json:"body"`
}

// Answer is the body of an answer.
type Answer struct {
	Outcome  event.Outcome      `json:"outcome"`
	Status   event.AnswerStatus `json:"status"`
	Class    string             `json:"class"`
	Snapshot model.Snapshot     `json:"snapshot"`
	Coverage event.Coverage     `json:"coverage"`
	Results  []Result           `json:"results"`
	// Replayed is set when the result comes from an earlier run of the same
	// non-idempotent request.
	Replayed bool `json:"replayed,omitempty"`
}

// Problem is the body of a refusal, as RFC 9457 defines it.
type Problem struct {
	Type    string            `json:"type"`
	Title   event.RefusalCode `json:"title"`
	Status  int               `json:"status"`
	Detail  string            `json:"detail"`
	Outcome event.Outcome     `json:"outcome"`
	// Coverage is set when groups were queried and none answered.
	Coverage *event.Coverage `json:"coverage,omitempty"`
}

// Handler returns the HTTP interface for callers.
func Handler(e Executor) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathQuery+"{service}", func(w http.ResponseWriter, r *http.Request) { serveQuery(e, w, r) })
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.Handle("GET "+PathReady, ReadinessHandler(e))
	return mux
}

// ReadinessChecker reports whether an instance is ready.
type ReadinessChecker interface {
	// NotReadyReason returns why no new requests should be sent here, or "".
	NotReadyReason() string
}

// ReadinessHandler returns the load balancer's readiness check, for a listener of its
// own. It answers on any path.
func ReadinessHandler(c ReadinessChecker) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { serveReady(c, w) })
}

func serveReady(c ReadinessChecker, w http.ResponseWriter) {
	if reason := c.NotReadyReason(); reason != "" {
		http.Error(w, reason, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func serveQuery(e Executor, w http.ResponseWriter, r *http.Request) {
	if e.Leaving() {
		w.Header().Set("Connection", "close")
	}
	request, problem := readRequest(w, r)
	if problem != nil {
		if problem.Code == event.RefuseOverload {
			// Without this header, net/http waits for the rest of the body before it answers.
			w.Header().Set("Connection", "close")
		}
		writeRefusal(w, *problem)
		return
	}
	switch c := e.Execute(r.Context(), request).(type) {
	case event.Answer:
		writeAnswer(w, r, c)
	case event.Refuse:
		writeRefusal(w, c)
	}
}

// readRequest reads a request. For an invalid request it returns a refusal that names the
// invalid field.
func readRequest(w http.ResponseWriter, r *http.Request) (request event.Request, problem *event.Refuse) {
	badRequest := func(detail string) *event.Refuse {
		return &event.Refuse{Code: event.RefuseBadRequest, Outcome: event.OutcomeNotRun, Detail: detail}
	}
	body, err := guard.ReadBody(w, r, maxRequestBytes)
	if errors.Is(err, guard.ErrFull) {
		return request, &event.Refuse{Code: event.RefuseOverload, Outcome: event.OutcomeNotRun, Detail: err.Error(), RetryAfter: time.Second}
	}
	if err != nil {
		return request, badRequest("body: " + err.Error())
	}
	var q Query
	if err := conf.DecodeStrict(body, &q); err != nil {
		return request, badRequest("body: " + err.Error())
	}
	if len(q.Query) == 0 {
		return request, badRequest(`field "query": missing`)
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return request, badRequest(HeaderIdempotencyKey + ": got " + strconv.Itoa(len(key)) + " bytes, want at most 256")
	}
	timeout, ok := parseDeadline(r.Header.Get(HeaderDeadline))
	if !ok {
		return request, badRequest(HeaderDeadline + ": got " + strconv.Quote(r.Header.Get(HeaderDeadline)) + ", want a whole number of milliseconds, at least 1")
	}
	return event.Request{
		Service: r.PathValue("service"), Class: q.Class, Key: q.Key,
		IdempotencyKey: key, Body: q.Query, Timeout: timeout, ReceivedAt: guard.ReceivedAt(r.Context()),
	}, nil
}

// maxDeadline limits the deadline that a caller gives. Classes set shorter ones.
const maxDeadline = 24 * time.Hour

func parseDeadline(text string) (d time.Duration, ok bool) {
	if text == "" {
		return 0, true
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil || ms < 1 {
		return 0, false
	}
	return time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond, true
}

func writeAnswer(w http.ResponseWriter, r *http.Request, a event.Answer) {
	out := Answer{
		Outcome: event.OutcomeRan, Status: a.Status, Class: a.Class, Snapshot: a.Snapshot,
		Coverage: a.Coverage, Results: []Result{}, Replayed: a.Replayed,
	}
	size := 0
	for _, result := range a.Results {
		size += len(result.Body)
	}
	guard.Holding(r.Context(), size)
	body, err := json.Marshal(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBody(w, http.StatusOK, "application/json", insertResults(body, a.Results))
}

// insertResults returns the pieces of an answer's body with results. Package back checks that they are valid
// JSON. They are not copied, since there may be many MB.
func insertResults(body []byte, results []event.GroupResult) (pieces [][]byte) {
	// Quotes in a string are escaped, so this is the field.
	const empty = `"results":[]`
	i := bytes.Index(body, []byte(empty)) + len(empty) - 1
	pieces = append(pieces, body[:i])
	for n, result := range results {
		group, _ := json.Marshal(result.Group)
		start := `{"group":` + string(group) + `,"body":`
		if n > 0 {
			start = "," + start
		}
		value := result.Body
		if len(value) == 0 {
			value = []byte("null")
		}
		pieces = append(pieces, []byte(start), value, []byte("}"))
	}
	return append(pieces, body[i:])
}

func writeRefusal(w http.ResponseWriter, r event.Refuse) {
	if r.RetryAfter > 0 {
		w.Header().Set("Retry-After", strconv.Itoa(int(math.Ceil(r.RetryAfter.Seconds()))))
	}
	status := statusOf(r.Code)
	writeJSON(w, status, "application/problem+json", Problem{
		Type: problemTypePrefix + string(r.Code), Title: r.Code, Status: status,
		Detail: r.Detail, Outcome: r.Outcome, Coverage: r.Coverage,
	})
}

// writeJSON writes a body with its length and digest, so that a caller can check that the
// body is complete.
func writeJSON(w http.ResponseWriter, status int, contentType string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		// This can't happen: package back checks that results are valid JSON.
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	writeBody(w, status, contentType, [][]byte{body})
}

func writeBody(w http.ResponseWriter, status int, contentType string, pieces [][]byte) {
	length := 0
	for _, p := range pieces {
		length += len(p)
	}
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(length))
	h.Set(back.HeaderDigest, back.DigestOf(pieces...))
	w.WriteHeader(status)
	for _, p := range pieces {
		if _, err := w.Write(p); err != nil {
			return
		}
	}
}

// statusOf returns the HTTP status of a refusal code.
func statusOf(c event.RefusalCode) int {
	switch c {
	case event.RefuseBadRequest:
		return http.StatusBadRequest
	case event.RefuseUnknownService, event.RefuseUnknownClass:
		return http.StatusNotFound
	case event.RefuseInProgress:
		return http.StatusConflict
	case event.RefusePoison, event.RefuseKeyReused:
		return http.StatusUnprocessableEntity
	case event.RefuseDeadline:
		return http.StatusGatewayTimeout
	case event.RefuseOutcomeUnknown, event.RefuseNothingAnswered:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}
