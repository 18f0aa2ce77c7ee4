// Package pass owns the passing on of HTTP/1.1 requests and replies as they came: the
// interface to callers, the exchanges with backend servers, and the connections kept
// to them. It says truly whether a request may have reached a server, and takes only a
// whole reply to the very request for an answer. Which server gets a request, and
// what follows from a reply, is left to core.
package pass

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"time"
)

// Names are the headers by which a deployment's callers and servers speak.
type HeaderNames struct {
	// Request carries the caller's name for a request; servers repeat it.
	Request string
	// Patience carries the time that is left, in whole milliseconds.
	Timeout string
	// ExpectServer names the server that a request is meant for; another one refuses it.
	ExpectServer string
	// Server names the server that replies.
	Server string
	// Stamp carries a server's signature under its reply.
	Stamp string
	// NotRun is set by a server that did not run the request.
	NotRun string
	// Stamps and Missing state what a merged answer covers.
	Stamps  string
	Missing string
}

// Request is a request as it came, with its body whole.
type Request struct {
	Method string
	// Target is the request target exactly as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Name is the caller's name for the request.
	RequestID string
}

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// hopHeaders concern one connection only and are never passed on.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEnd returns the headers that are passed on: all but those that concern one
// connection, by their meaning or because the sender says so.
func endToEndHeaders(h http.Header) http.Header {
	out := h.Clone()
	for _, line := range h["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			out.Del(textproto.TrimString(name))
		}
	}
	for _, name := range hopByHopHeaders {
		out.Del(name)
	}
	return out
}

// sortedKeys returns the names of headers in order.
func sortedNames(h http.Header) []string {
	out := make([]string, 0, len(h))
	for k := range h {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
