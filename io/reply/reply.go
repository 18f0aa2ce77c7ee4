// Package reply checks replies that are read by net/http: their statuses, of which net/http accepts any
// three digits and some other numbers and reports others like a broken connection, and which request they
// belong to, of which net/http knows nothing. A reply without a valid status is unreadable: nothing in it
// can be relied on.
package reply

import (
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/textproto"
	"sync/atomic"

	"github.com/cockroachdb/errors"
)

// MaxInterim is the maximum number of interim replies (1xx) before a reply.
const MaxInterim = 8

// ErrMalformed is the error of a reply without a valid status, with invalid interim replies, or to
// another request.
var ErrMalformed = errors.New("malformed reply")

// CheckStatus returns an error unless the status of a reply is that of a final reply: three digits
// from 200 to 599.
func CheckStatus(r *http.Response) error {
	if r.StatusCode < 200 || r.StatusCode > 599 || !threeDigits(r.Status) {
		return errors.Wrapf(ErrMalformed, "status %.40q", r.Status)
	}
	return nil
}

// threeDigits reports whether a status begins with three digits: net/http also accepts a sign.
func threeDigits(status string) bool {
	if len(status) < 3 {
		return false
	}
	for i := range 3 {
		if status[i] < '0' || status[i] > '9' {
			return false
		}
	}
	return true
}

// CheckInterim returns an error if the interim reply with the given number, counted from one, is one
// too many, or if it has a body and so is no interim reply.
func CheckInterim(number int, h map[string][]string) error {
	if number > MaxInterim {
		return errors.Wrapf(ErrMalformed, "more than %d interim replies", MaxInterim)
	}
	for _, name := range []string{"Content-Length", "Transfer-Encoding"} {
		if _, found := h[name]; found {
			return errors.Wrapf(ErrMalformed, "interim reply with %s", name)
		}
	}
	return nil
}

// Transport is an http.RoundTripper that fails with ErrMalformed, and closes the connection, if a reply
// has no valid status, or belongs to another request.
type Transport struct {
	// The connections of the transport are, or embed, a *Conn.
	*http.Transport
	// Upgrade is set if the only valid status is 101.
	Upgrade bool
	// Identity is the name of a header whose value is unique to a request and which the reply repeats,
	// or empty. A reply without it is valid only as the first one on its connection: a server that sends
	// a reply twice may do so at any time.
	Identity string
}

// checkedConn is a connection that is, or embeds, a *Conn.
type checkedConn interface {
	net.Conn
	expectReply(e expectedReply) (number int)
	endReply(number int)
	err() error
}

// use is the use of a connection by one request.
type use struct {
	conn checkedConn
	// reply is the number of the reply on the connection.
	reply  int
	reused bool
}

// body is the body of a reply whose headers are charged until it is closed.
type body struct {
	io.ReadCloser
	use *use
}

// Close implements io.Closer.
func (b *body) Close() error {
	err := b.ReadCloser.Close()
	b.use.conn.endReply(b.use.reply)
	return err
}

// RoundTrip implements http.RoundTripper.
func (t *Transport) RoundTrip(r *http.Request) (*http.Response, error) {
	var used atomic.Pointer[use]
	expected := expectedReply{upgrade: t.Upgrade}
	if t.Identity != "" {
		expected.name, expected.value = t.Identity, r.Header.Get(t.Identity)
	}
	interim, bytes := 0, int64(0)
	ctx := httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) {
			if c, ok := info.Conn.(checkedConn); ok {
				used.Store(&use{conn: c, reply: c.expectReply(expected), reused: info.Reused})
			}
		},
		Got1xxResponse: func(_ int, h textproto.MIMEHeader) error {
			interim++
			for name, values := range h {
				for _, value := range values {
					bytes += int64(len(name) + len(value))
				}
			}
			if t.MaxResponseHeaderBytes > 0 && bytes > t.MaxResponseHeaderBytes {
				return errors.Wrapf(ErrMalformed, "interim replies with more than %d bytes", t.MaxResponseHeaderBytes)
			}
			return CheckInterim(interim, h)
		},
	})
	reply, err := t.Transport.RoundTrip(r.WithContext(ctx))
	u := used.Load()
	if err != nil {
		if u != nil && u.conn.err() != nil {
			err = u.conn.err()
		}
		return nil, err
	}
	switch {
	case t.Upgrade && reply.StatusCode == http.StatusSwitchingProtocols:
		u.conn.endReply(u.reply)
		return reply, nil
	case t.Upgrade:
		err = errors.Wrapf(ErrMalformed, "status %.40q: want 101", reply.Status)
	default:
		err = CheckStatus(reply)
	}
	if err != nil {
		_ = u.conn.Close()
		_ = reply.Body.Close()
		return nil, err
	}
	reply.Body = &body{ReadCloser: reply.Body, use: u}
	if err := t.checkIdentity(reply, expected, u.reused); err != nil {
		// The connection is not closed here if the reply has no body: another request may have got it.
		_ = reply.Body.Close()
		return nil, err
	}
	return reply, nil
}

// checkIdentity returns an error if a reply belongs to another request, or if that can't be told. It finds
// replies that the Conn accepts: those that were read together with the one before, and those without the
// header.
func (t *Transport) checkIdentity(reply *http.Response, expected expectedReply, reused bool) error {
	if t.Identity == "" {
		return nil
	}
	got := reply.Header.Get(t.Identity)
	if got == expected.value || (got == "" && !reused) {
		return nil
	}
	return errors.Wrapf(ErrMalformed, "header %s: got %.100q, want %q", t.Identity, got, expected.value)
}
