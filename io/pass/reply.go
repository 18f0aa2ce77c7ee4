package pass

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/io/guard"
	wire "hyssoppitch/io/reply"
)

const (
	// maxHeadBytes is the maximum size of a reply's status line and headers, including those
	// of interim replies before it.
	maxHeadBytes = 64 << 10
	// maxUsualBytes is the maximum size of a body that is read into memory of its own size before it has
	// arrived. Bodies of up to maxFreeBytes are not charged.
	maxUsualBytes = 64 << 10
	maxFreeBytes  = 8 << 10
)

// serverReply is the complete reply of a server.
type serverReply struct {
	status int
	// fields holds the headers, with canonical names, in the order of arrival. Headers that
	// net/http evaluates itself may be missing.
	fields []event.HeaderField
	// close is set if the connection can't be used again.
	close bool
	// keepAlive is how long an unused connection may be kept, as far as the headers tell.
	keepAlive time.Duration
	body      []byte
}

// header returns the first value of a header, or "". The name must be canonical.
func (r *serverReply) header(name string) string {
	for i := range r.fields {
		if r.fields[i].Name == name {
			return r.fields[i].Value
		}
	}
	return ""
}

// headers returns all values of a header, joined by commas. The name must be canonical.
func (r *serverReply) headers(name string) (value string, found bool) {
	for i := range r.fields {
		if f := &r.fields[i]; f.Name != name {
			continue
		} else if found {
			value += ", " + f.Value
		} else {
			value, found = f.Value, true
		}
	}
	return value, found
}

// takeRelayedFields returns the headers to relay, sorted by name: all except hopByHopHeaders and those
// that the Connection header lists. It uses up r.fields.
func (r *serverReply) takeRelayedFields() []event.HeaderField {
	var listed []string
	for i := range r.fields {
		if r.fields[i].Name == "Connection" {
			for name := range strings.SplitSeq(r.fields[i].Value, ",") {
				listed = append(listed, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
			}
		}
	}
	out := slices.DeleteFunc(r.fields, func(f event.HeaderField) bool {
		return slices.Contains(hopByHopHeaders, f.Name) || slices.Contains(listed, f.Name)
	})
	r.fields = nil
	slices.SortStableFunc(out, func(a, b event.HeaderField) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// idleTimeout returns how long a connection may stay unused after a reply before it
// expires. Zero or less means that it can't be reused.
func (r *serverReply) idleTimeout() time.Duration {
	if r.close {
		return 0
	}
	return r.keepAlive
}

// readReply reads the reply to a request of the given method. The reads must be limited to
// maxHeadBytes. A reply that is written in the usual form and whose head arrived in one piece is read
// without net/http, which takes several times as long.
func readReply(conn *conn, method string, maxBody int64) (reply *serverReply, err error) {
	conn.inHead = true
	conn.head.Begin(conn.memory)
	defer func() { conn.inHead = false }()
	if _, err := conn.reader.Peek(1); err != nil {
		return nil, wrapReadError(err, "read reply")
	}
	buffered, _ := conn.reader.Peek(conn.reader.Buffered())
	if reply, headBytes, ok := parseUsualReply(buffered, method); ok {
		_, _ = conn.reader.Discard(headBytes)
		conn.inHead = false
		conn.limitReads(maxUsualBytes)
		if len(reply.body) > maxFreeBytes && !conn.memory.Charge(int64(len(reply.body))) {
			return nil, errMemoryFull
		}
		if _, err := io.ReadFull(conn.reader, reply.body); err != nil {
			return nil, wrapReadError(err, "read body of reply")
		}
		return reply, nil
	}
	var r *http.Response
	for interim := 1; ; interim++ {
		r, err = http.ReadResponse(conn.reader, &http.Request{Method: method})
		if err != nil {
			return nil, wrapReadError(err, "read reply")
		}
		if r.StatusCode < 100 || r.StatusCode >= http.StatusOK || r.StatusCode == http.StatusSwitchingProtocols {
			break
		}
		if err := wire.CheckInterim(interim, r.Header); err != nil {
			return nil, malformedError{err}
		}
	}
	if err := wire.CheckStatus(r); err != nil {
		return nil, malformedError{err}
	}
	conn.inHead = false
	// Chunks and trailers take more bytes than the body has.
	conn.limitReads(int(maxBody) + maxHeadBytes)
	reply = &serverReply{status: r.StatusCode, close: r.Close}
	reply.body, err = readBody(r.Body, maxBody, conn.memory)
	if err != nil {
		return nil, wrapReadError(err, "read body of reply")
	}
	for _, name := range sortedNames(r.Header) {
		for _, value := range r.Header[name] {
			reply.fields = append(reply.fields, event.HeaderField{Name: name, Value: value})
		}
	}
	reply.keepAlive = keepAlive(reply.fields)
	return reply, nil
}

// parseUsualReply parses the head of a reply that is complete in b, has the usual form and a body of a
// stated length of at most maxUsualBytes. It returns the reply with a body that has still to be read,
// and the length of the head. Any other reply, valid or not, is left to net/http.
func parseUsualReply(b []byte, method string) (reply *serverReply, headBytes int, ok bool) {
	const prefix = "HTTP/1.1 "
	end := bytes.Index(b, []byte("\r\n\r\n"))
	if end < 0 || !bytes.HasPrefix(b, []byte(prefix)) || method == http.MethodHead {
		return nil, 0, false
	}
	// The fields are substrings of the head.
	head := string(b[:end])
	line, rest, _ := strings.Cut(head, "\r\n")
	status, ok := usualStatus(line[len(prefix):])
	if !ok || !printable(line) {
		return nil, 0, false
	}
	reply = &serverReply{status: status, fields: make([]event.HeaderField, 0, strings.Count(rest, "\n")+1)}
	length := -1
	for rest != "" {
		line, rest, _ = strings.Cut(rest, "\r\n")
		name, value, found := strings.Cut(line, ":")
		value = strings.Trim(value, " \t")
		if !found || !isToken(name) || !printable(value) {
			return nil, 0, false
		}
		name = textproto.CanonicalMIMEHeaderKey(name)
		switch name {
		case "Content-Length":
			n, err := strconv.ParseUint(value, 10, 31)
			if err != nil || length >= 0 || value[0] == '+' {
				return nil, 0, false
			}
			length = int(n)
		case "Connection":
			if !strings.EqualFold(value, "keep-alive") {
				return nil, 0, false
			}
		case "Transfer-Encoding", "Trailer", "Pragma":
			return nil, 0, false
		}
		reply.fields = append(reply.fields, event.HeaderField{Name: name, Value: value})
	}
	if length < 0 || length > maxUsualBytes {
		return nil, 0, false
	}
	reply.body = make([]byte, length)
	reply.keepAlive = keepAlive(reply.fields)
	return reply, end + len("\r\n\r\n"), true
}

// usualStatus parses the status code that a status line begins with after the protocol version. It
// rejects the codes whose replies have no body, or are no final replies.
func usualStatus(s string) (status int, ok bool) {
	if len(s) < 4 || s[3] != ' ' || s[0] < '2' || s[0] > '5' || !isDigit(s[1]) || !isDigit(s[2]) {
		return 0, false
	}
	status = int(s[0]-'0')*100 + int(s[1]-'0')*10 + int(s[2]-'0')
	return status, status != http.StatusNoContent && status != http.StatusNotModified
}

func isDigit(c byte) bool { return '0' <= c && c <= '9' }

// printable reports whether a string has only printable ASCII characters and tabs.
func printable(s string) bool {
	for i := range len(s) {
		if (s[i] < ' ' && s[i] != '\t') || s[i] > '~' {
			return false
		}
	}
	return true
}

// isToken reports whether a string is a header name of letters, digits, hyphens and underscores.
func isToken(s string) bool {
	for i := range len(s) {
		if c := s[i] | 0x20; (c < 'a' || c > 'z') && !isDigit(s[i]) && s[i] != '-' && s[i] != '_' {
			return false
		}
	}
	return s != ""
}

// keepAlive returns how long a connection is kept after a reply with these headers.
func keepAlive(fields []event.HeaderField) time.Duration {
	for i := range fields {
		if fields[i].Name != "Keep-Alive" {
			continue
		}
		for field := range strings.SplitSeq(fields[i].Value, ",") {
			name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
			if !strings.EqualFold(name, "timeout") {
				continue
			}
			if seconds, err := strconv.Atoi(value); err == nil {
				return time.Duration(seconds)*time.Second - idleMargin
			}
		}
	}
	return defaultIdleTimeout
}

// readBody reads the body of a reply. Servers in trouble may send bytes without end, so the body is
// limited, and so are all bodies together.
func readBody(r io.Reader, limit int64, memory *guard.Reservation) (body []byte, err error) {
	body, err = guard.ReadReply(r, limit, memory)
	switch {
	case errors.Is(err, guard.ErrTooLong):
		return nil, malformedError{errors.Newf("the reply's body is longer than %d bytes", limit)}
	case errors.Is(err, guard.ErrFull):
		return nil, errMemoryFull
	}
	return body, err
}

// wrapReadError wraps an error of reading a reply. Any error but that of a broken
// connection becomes a malformedError. step says what was read.
func wrapReadError(err error, step string) error {
	var malformed malformedError
	if errors.As(err, &malformed) {
		return errors.Wrap(err, step)
	}
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(err, step)
	}
	return malformedError{errors.Wrap(err, step)}
}
