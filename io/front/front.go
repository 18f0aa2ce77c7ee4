// Package front owns the interface to callers: it reads requests over HTTP, gives
// them to the engine, and writes answers, and refusals as the problem details of
// RFC 9457. What is answered is left to core.
package front

import (
	"context"
	"encoding/json"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/back"
)

// Paths of the interface to callers.
const (
	// PathQuery, followed by the name of a service, takes a request by POST.
	PathQuery  = "/v1/query/"
	PathHealth = "/healthz"
	PathReady  = "/readyz"
)

// Headers of the interface to callers; docs/callers.md describes them.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderDeadline is the caller's deadline in milliseconds from now.
	HeaderDeadline = "Hyssoppitch-Deadline-Ms"
)

const (
	// maxRequest is the longest request body, in bytes.
	maxRequestBytes = 1 << 20
	// maxIdempotencyKey is the longest Idempotency-Key, in bytes.
	maxIdempotencyKeyBytes = 256
	// problemType is what the type of a problem starts with.
	problemTypePrefix = "urn:hyssoppitch:refusal:"
)

// Asker runs requests.
type Executor interface {
	// Ask runs a request and returns an event.Answer or an event.Refuse. When the
	// context ends first it returns nil: nobody waits any more.
	Execute(ctx context.Context, r event.Request) event.Command
	// NotReady returns why no new requests should be sent here, or "".
	NotReady() string
	// Leaving reports whether connections should not be kept.
	Leaving() bool
}

// Query is the body of a request.
type Query struct {
	// Class is a class of the service; empty means its first.
	Class string `json:"class,omitempty"`
	// Key routes the request to the one group that holds it.
	Key string `json:"key,omitempty"`
	// Query is passed to the backend servers as it is.
	Query json.RawMessage `json:"query"`
}

// Result is the result of one group.
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
	// Replayed is set when the result is that of an earlier run of the same
	// non-idempotent request.
	Replayed bool `json:"replayed,omitempty"`
}

// Problem is the body of a refusal, as in RFC 9457.
type Problem struct {
	Type    string            `json:"type"`
	Title   event.RefusalCode `json:"title"`
	Status  int               `json:"status"`
	Detail  string            `json:"detail"`
	Outcome event.Outcome     `json:"outcome"`
	// Coverage is set when groups were asked and none answered.
	Coverage *event.Coverage `json:"coverage,omitempty"`
}

// Handler returns the interface to callers.
func Handler(a Executor) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathQuery+"{service}", func(w http.ResponseWriter, r *http.Request) { serveQuery(a, w, r) })
	mux.HandleFunc("GET "+PathHealth, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	mux.Handle("GET "+PathReady, ReadinessHandler(a))
	return mux
}

// Readier tells whether an instance is ready.
type ReadinessChecker interface {
	// NotReady returns why no new requests should be sent here, or "".
	NotReady() string
}

// Ready returns the interface to the balancer, for a listener of its own. It answers
// on any path.
func ReadinessHandler(a ReadinessChecker) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { serveReady(a, w) })
}

func serveReady(a ReadinessChecker, w http.ResponseWriter) {
	if why := a.NotReady(); why != "" {
		http.Error(w, why, http.StatusServiceUnavailable)
		return
	}
	_, _ = io.WriteString(w, "ready\n")
}

func serveQuery(a Executor, w http.ResponseWriter, r *http.Request) {
	if a.Leaving() {
		w.Header().Set("Connection", "close")
	}
	request, problem := readRequest(w, r)
	if problem != nil {
		writeRefusal(w, *problem)
		return
	}
	switch c := a.Execute(r.Context(), request).(type) {
	case event.Answer:
		writeAnswer(w, c)
	case event.Refuse:
		writeRefusal(w, c)
	}
}

// readRequest reads a request; a fault in it is a refusal that names the field.
func readRequest(w http.ResponseWriter, r *http.Request) (request event.Request, problem *event.Refuse) {
	bad := func(detail string) *event.Refuse {
		return &event.Refuse{Code: event.RefuseBadRequest, Outcome: event.OutcomeNotRun, Detail: detail}
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxRequestBytes))
	if err != nil {
		return request, bad("body: " + err.Error())
	}
	var q Query
	if err := conf.DecodeStrict(body, &q); err != nil {
		return request, bad("body: " + err.Error())
	}
	if len(q.Query) == 0 {
		return request, bad(`field "query": it is missing`)
	}
	key := r.Header.Get(HeaderIdempotencyKey)
	if len(key) > maxIdempotencyKeyBytes {
		return request, bad(HeaderIdempotencyKey + ": got " + strconv.Itoa(len(key)) + " bytes, want 256 at most")
	}
	timeout, ok := parseDeadline(r.Header.Get(HeaderDeadline))
	if !ok {
		return request, bad(HeaderDeadline + ": got " + strconv.Quote(r.Header.Get(HeaderDeadline)) + ", want a whole number of milliseconds from 1")
	}
	return event.Request{
		Service: r.PathValue("service"), Class: q.Class, Key: q.Key,
		IdempotencyKey: key, Body: q.Query, Timeout: timeout,
	}, nil
}

// maxDeadline is the longest deadline that a caller can give; classes set shorter
// ones.
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

func writeAnswer(w http.ResponseWriter, a event.Answer) {
	out := Answer{
		Outcome: event.OutcomeRan, Status: a.Status, Class: a.Class, Snapshot: a.Snapshot,
		Coverage: a.Coverage, Results: make([]Result, len(a.Results)), Replayed: a.Replayed,
	}
	for i, r := range a.Results {
		out.Results[i] = Result{Group: r.Group, Body: r.Body}
	}
	writeJSON(w, http.StatusOK, "application/json", out)
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

// write writes a body with its length and digest, so that a caller can tell that
// it is whole.
func writeJSON(w http.ResponseWriter, status int, contentType string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		// The results were checked to be JSON when they arrived.
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h := w.Header()
	h.Set("Content-Type", contentType)
	h.Set("Content-Length", strconv.Itoa(len(body)))
	h.Set(back.HeaderDigest, back.DigestOf(body))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// statusOf returns the HTTP status of a refusal.
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
