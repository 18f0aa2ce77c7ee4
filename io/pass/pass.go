// Package pass relays HTTP/1.1 requests and replies unchanged. It contains the interface
// for callers of routed requests, the client of backend servers, and the client's
// connection pool. It reports whether a request may have reached a server, and accepts a
// reply as an answer only if it is complete and belongs to the request. Packages of core
// decide which server gets a request and what follows from a reply.
package pass

import (
	"net/http"
	"net/textproto"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hyssoppitch/io/guard"
)

// HeaderNames are the names of the headers that a deployment's callers and backend
// servers use.
type HeaderNames struct {
	// Request is the caller's ID of a request. The reply repeats it.
	Request string
	// CallerTimeout is the time left for a request, as an integer number of milliseconds.
	CallerTimeout string
	// Key is a customer's key, from its callers. Customer is the customer's name, for backend
	// servers. Both are relayed unchanged if the routing table has no customers.
	Key      string
	Customer string
	// ExpectServer is the ID of the server that a request is meant for. Any other server
	// refuses the request.
	ExpectServer string
	// Server is the ID of the server that replies.
	Server string
	// Stamp is the server's signature of its reply.
	Stamp string
	// NotRun is set by a server that did not run the request.
	NotRun string
	// Limit is the number of requests per second that the server takes from all instances
	// together. A server without a limit doesn't send it.
	Limit string
	// Leaving is set by a server that leaves.
	Leaving string
	// Stamps and Missing describe the coverage of a merged answer: the signatures of the
	// parts in it, and the number of parts that are missing.
	Stamps  string
	Missing string
}

// canonical returns the names with those that the client of backend servers uses in canonical form.
func (n HeaderNames) canonical() HeaderNames {
	for _, name := range []*string{
		&n.Request, &n.CallerTimeout, &n.ExpectServer, &n.Server, &n.Stamp, &n.NotRun, &n.Limit, &n.Leaving,
	} {
		*name = http.CanonicalHeaderKey(*name)
	}
	return n
}

// Request is a caller's request as received, with its complete body.
type Request struct {
	Method string
	// Target is the request target exactly as the caller wrote it.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// RequestID is the caller's ID of the request; it may be empty.
	RequestID string

	// caller is the connection of the caller, or nil if it is not bounded by a guard. answered is set once
	// the caller was answered, and replyBytes is the size of the replies that arrived before.
	caller     *guard.Conn
	answered   atomic.Bool
	replyBytes atomic.Int64

	// head is the result of commonHead.
	headOnce sync.Once
	head     []byte
}

// freeReplyBytes is what the replies to a request may hold without being charged to its caller. It is part
// of the memory that guard.Plan assumes for a request.
const freeReplyBytes = 64 << 10

// countReply counts a reply of n bytes, and returns how many of them are to be charged to the caller: none
// if the caller was answered without it.
func (r *Request) countReply(n int) int64 {
	if r.answered.Load() {
		return 0
	}
	total := r.replyBytes.Add(int64(n))
	return min(int64(n), max(0, total-freeReplyBytes))
}

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// hopByHopHeaders apply to a single connection and are never relayed.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade", "Expect", "Content-Length",
}

// endToEndHeaders returns the headers to relay: all except hopByHopHeaders and those that
// the sender lists in the Connection header.
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

// sortedNames returns the names of the headers in alphabetical order.
func sortedNames(h http.Header) []string {
	out := make([]string, 0, len(h))
	for k := range h {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}
