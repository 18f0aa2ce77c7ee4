package pass

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/guard"
)

// Executor executes routed requests.
type Executor interface {
	// ExecuteRouted executes a request and returns an event.RoutedAnswer or an
	// event.RoutedRefusal. It returns nil when the context ends first, since the caller
	// has then disconnected.
	ExecuteRouted(ctx context.Context, r event.RoutedRequest, raw *Request) event.Command
	// CallerLimits returns the limits on callers' requests.
	CallerLimits() model.CallerLimits
	// Leaving reports whether the instance is shutting down, so that callers' connections
	// should be closed.
	Leaving() bool
}

const (
	// defaultMaxBody is the maximum size of a request body in bytes while no limit is
	// known.
	defaultMaxBody = 1 << 20
	// bodyTimeout limits the time to read a request body if no guard does.
	bodyTimeout = 10 * time.Second
	// fullRetryAfter is the time, in seconds, after which a request may be sent again that found
	// the memory for requests used up.
	fullRetryAfter = "1"
)

// CallerHandler is the HTTP interface for callers.
type CallerHandler struct {
	names    HeaderNames
	executor Executor
	// requestHeader and timeoutHeader are the canonical forms of header names.
	requestHeader, timeoutHeader, keyHeader, customerHeader string
}

// NewCallerHandler returns the HTTP interface for callers.
func NewCallerHandler(names HeaderNames, e Executor) *CallerHandler {
	return &CallerHandler{
		names: names, executor: e,
		requestHeader: http.CanonicalHeaderKey(names.Request), timeoutHeader: http.CanonicalHeaderKey(names.CallerTimeout),
		keyHeader: http.CanonicalHeaderKey(names.Key), customerHeader: http.CanonicalHeaderKey(names.Customer),
	}
}

// ServeHTTP implements http.Handler. It accepts any path, because the routing table
// determines which paths exist.
func (f *CallerHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if f.executor.Leaving() {
		w.Header().Set("Connection", "close")
	}
	raw, routed, status := f.readRequest(w, r)
	if status != 0 {
		// Without this header, net/http waits for the rest of the body before it answers.
		w.Header().Set("Connection", "close")
		w.WriteHeader(status)
		return
	}
	defer raw.answered.Store(true)
	switch c := f.executor.ExecuteRouted(r.Context(), routed, raw).(type) {
	case event.RoutedAnswer:
		if c.Merged != nil {
			// A relayed reply was charged when it arrived.
			guard.Holding(r.Context(), len(c.Merged.Body))
		}
		f.writeAnswer(w, c)
	case event.RoutedRefusal:
		f.writeRefusal(w, c)
	default:
		// The caller disconnected. Returning would make net/http write a 200 reply without
		// a body.
		panic(http.ErrAbortHandler)
	}
}

// readRequest reads a complete request. For a request that is rejected it returns the
// HTTP status of the reply; otherwise the status is zero.
func (f *CallerHandler) readRequest(w http.ResponseWriter, r *http.Request) (raw *Request, routed event.RoutedRequest, status int) {
	limits := f.executor.CallerLimits()
	if limits.HeaderBytes > 0 && headerBytes(r) > limits.HeaderBytes {
		return nil, routed, http.StatusRequestHeaderFieldsTooLarge
	}
	limit := limits.BodyBytes
	if limit <= 0 {
		limit = defaultMaxBody
	}
	if r.ContentLength > limit {
		return nil, routed, http.StatusRequestEntityTooLarge
	}
	// A guard bounds the time by progress.
	deadline := r.ContentLength != 0 && !guard.BodyIsBounded(r)
	if deadline {
		// The error is ignored: without support for deadlines, only the limit on slow
		// bodies is lost.
		_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(bodyTimeout))
	}
	body, err := guard.ReadBody(w, r, limit)
	var tooLong *http.MaxBytesError
	switch {
	case errors.As(err, &tooLong):
		return nil, routed, http.StatusRequestEntityTooLarge
	case errors.Is(err, guard.ErrFull):
		w.Header().Set("Retry-After", fullRetryAfter)
		return nil, routed, http.StatusServiceUnavailable
	case err != nil:
		// The body did not arrive completely, so the caller is taken to have disconnected.
		panic(http.ErrAbortHandler)
	}
	if deadline {
		_ = http.NewResponseController(w).SetReadDeadline(time.Time{})
	}
	raw = &Request{
		Method: r.Method, Target: r.RequestURI, Host: r.Host,
		Header: endToEndHeaders(r.Header), Body: body, RequestID: r.Header.Get(f.names.Request),
		caller: guard.ConnOf(r.Context()),
	}
	id := f.identity(raw)
	routed = event.RoutedRequest{
		RequestID: raw.RequestID, Host: normalizeHost(r.Host), Path: pathOf(r.RequestURI),
		Fingerprint: id.Fingerprint, Traits: id.Traits, NetworkTime: networkTime(r.Context()),
		ReceivedAt: guard.ReceivedAt(r.Context()),
	}
	routed.CompleteAt = routed.ReceivedAt
	if r.ContentLength != 0 {
		routed.CompleteAt = guard.ReadAt(r.Context())
	}
	if keys := r.Header[f.keyHeader]; len(keys) == 1 {
		routed.Key = model.DigestOf(keys[0])
	}
	if text := r.Header.Get(f.names.CallerTimeout); text != "" {
		ms, err := strconv.ParseInt(text, 10, 64)
		if err != nil || ms < 1 {
			return nil, routed, http.StatusBadRequest
		}
		routed.CallerTimeout = time.Duration(min(ms, maxTimeout.Milliseconds())) * time.Millisecond
	}
	return raw, routed, 0
}

// headerBytes returns the length of a request's request line and headers, without optional
// white space.
func headerBytes(r *http.Request) int {
	const fixed = len("  HTTP/1.1\r\n") + len("Host: \r\n") + len("\r\n")
	n := fixed + len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			n += len(name) + len(value) + len(": \r\n")
		}
	}
	return n
}

// identity returns what a request is recognized by when it comes again: its method, host, target
// and body, and all headers that are relayed, except for the request ID and the timeout, which
// differ from one retry to the next, and the key and the name of a customer: keys are kept secret,
// and package relay adds the name that the key belongs to.
func (f *CallerHandler) identity(r *Request) (id model.Identity) {
	id.Fingerprint = model.FingerprintOf(strings.Join([]string{r.Method, normalizeHost(r.Host), originForm(r.Target)}, "\n"), r.Body)
	var headers []string
	for name, values := range r.Header {
		switch name {
		case f.requestHeader, f.timeoutHeader, f.keyHeader, f.customerHeader:
			continue
		}
		for _, value := range values {
			headers = append(headers, name+":"+value)
		}
	}
	id.Traits = model.NewTraits(headers)
	return id
}

// maxTimeout limits the timeout that a caller gives.
const maxTimeout = time.Hour

// normalizeHost returns a host without its port and in lower case.
func normalizeHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.HasSuffix(host, "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}

// pathOf returns the path of a request target, without the query string.
func pathOf(target string) string {
	path, _, _ := strings.Cut(originForm(target), "?")
	return path
}

// originForm returns a request target without a scheme and authority.
func originForm(target string) string {
	if rest, ok := strings.CutPrefix(target, "http://"); ok {
		if i := strings.IndexByte(rest, '/'); i >= 0 {
			target = rest[i:]
		} else {
			target = "/"
		}
	}
	return target
}

// writeAnswer writes a server's reply unchanged, or a merged answer.
func (f *CallerHandler) writeAnswer(w http.ResponseWriter, a event.RoutedAnswer) {
	h := w.Header()
	if a.Merged != nil {
		h.Set("Content-Type", "application/octet-stream")
		h.Set("Content-Length", strconv.Itoa(len(a.Merged.Body)))
		h.Set(f.names.Stamps, strings.Join(a.Merged.Stamps, ", "))
		h.Set(f.names.Missing, strconv.Itoa(a.Merged.Missing))
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(a.Merged.Body)
		return
	}
	// Keeps net/http from adding a Content-Type that the server did not send.
	h["Content-Type"] = nil
	for _, field := range a.Relayed.Fields {
		h[field.Name] = append(h[field.Name], field.Value)
	}
	h.Set("Content-Length", strconv.Itoa(len(a.Relayed.Body)))
	w.WriteHeader(a.Relayed.Status)
	_, _ = w.Write(a.Relayed.Body)
}

// writeRefusal writes a refusal by this instance. It uses status 503, which tells the
// caller that no server ran the request, only when that is certain.
func (f *CallerHandler) writeRefusal(w http.ResponseWriter, r event.RoutedRefusal) {
	h := w.Header()
	if r.RetryAfter > 0 {
		h.Set("Retry-After", strconv.FormatFloat(r.RetryAfter.Seconds(), 'f', 3, 64))
	}
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(r.Detail)+1))
	status := statusOf(r)
	if status == http.StatusUnauthorized {
		h.Set("WWW-Authenticate", f.keyHeader)
	}
	w.WriteHeader(status)
	_, _ = io.WriteString(w, r.Detail+"\n")
}

// statusOf returns the HTTP status of a refusal.
func statusOf(r event.RoutedRefusal) int {
	switch {
	case r.Code == event.RefuseUnknownService:
		return http.StatusNotFound
	case r.Code == event.RefuseUnknownKey:
		return http.StatusUnauthorized
	case r.Code == event.RefuseQuota:
		return http.StatusTooManyRequests
	case r.Code == event.RefuseDeadline:
		return http.StatusGatewayTimeout
	case r.Outcome == event.OutcomeNotRun:
		return http.StatusServiceUnavailable
	default:
		return http.StatusBadGateway
	}
}
