package pass

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
)

// maxReply is the longest body of a reply that is read, in bytes.
const maxReply = 16 << 20

// Back exchanges requests and replies with backend servers. It is safe for use by
// many goroutines.
type Back struct {
	names HeaderNames
	clock Clock
	conns *conns

	mu     sync.Mutex
	cancel map[event.AttemptID]context.CancelFunc
	stop   context.CancelFunc
}

// NewBack returns a client of backend servers; Close ends it.
func NewBack(clock Clock, names HeaderNames) *Back {
	ctx, stop := context.WithCancel(context.Background())
	b := &Back{
		names: names, clock: clock, conns: &conns{clock: clock, hosts: map[string]*host{}},
		cancel: map[event.AttemptID]context.CancelFunc{}, stop: stop,
	}
	go b.conns.sweep(ctx)
	return b
}

// Close closes the unused connections.
func (b *Back) Close() {
	b.stop()
	b.conns.close()
}

// Connections returns how many connections were opened, and how many could not be.
func (b *Back) Connections() (opened, failed uint64) {
	return b.conns.opened.Load(), b.conns.failed.Load()
}

// Cancel ends an exchange whose reply is no longer wanted.
func (b *Back) Cancel(id event.AttemptID) {
	b.mu.Lock()
	cancel := b.cancel[id]
	b.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Begin registers an exchange, so that it can be cancelled from now on. The context is
// that of the exchange.
func (b *Back) Begin(ctx context.Context, id event.AttemptID) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	b.mu.Lock()
	b.cancel[id] = cancel
	b.mu.Unlock()
	return ctx
}

func (b *Back) end(id event.AttemptID) {
	b.mu.Lock()
	cancel := b.cancel[id]
	delete(b.cancel, id)
	b.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Exchange passes a request on to a server and returns how that ended. It never sends
// twice. The context is that of Begin.
func (b *Back) Exchange(ctx context.Context, c event.SendExchange, r *Request) (end event.ExchangeEnded) {
	defer b.end(c.Attempt)
	end = event.ExchangeEnded{Attempt: c.Attempt, Server: c.Server, Kind: event.NotSent}
	left := c.Deadline.Sub(b.clock.Now())
	if left <= 0 {
		end.Detail = "no time left"
		return end
	}
	ctx, cancel := context.WithTimeout(ctx, left)
	defer cancel()
	conn, err := b.conns.get(ctx, c.Address, c.FreshConnection)
	if err != nil {
		end.Detail = err.Error()
		return end
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	before := conn.written.Load()
	reply, body, err := b.exchange(conn, c, r)
	if !stop() && err == nil {
		// The context ended at the last moment: the connection's deadline is spoilt.
		err = ctx.Err()
	}
	if err != nil {
		b.conns.drop(conn)
		end.Kind = b.failure(ctx, conn.written.Load() != before, err)
		end.Detail = err.Error()
		if end.Kind == event.TimedOut {
			b.conns.forget(c.Address)
		}
		return end
	}
	b.judge(&end, r, reply, body)
	if end.Kind == event.BadReply || conn.reader.Buffered() > 0 {
		b.conns.drop(conn)
		return end
	}
	b.conns.put(conn, c.Connections, keptFor(reply))
	return end
}

// Check finds out whether a server takes connections, by a new one: the end of those that
// are kept may be on its way. The connection is kept for the next exchange.
func (b *Back) Check(ctx context.Context, c event.CheckServer) event.ServerChecked {
	b.conns.use(c.Address)
	conn, err := b.conns.dial(ctx, c.Address)
	if err != nil {
		return event.ServerChecked{Server: c.Server, Detail: err.Error()}
	}
	b.conns.put(conn, c.Connections, defaultIdle)
	return event.ServerChecked{Server: c.Server, Reached: true}
}

// failure tells how an exchange without a whole reply ended.
func (b *Back) failure(ctx context.Context, wrote bool, err error) event.ResultKind {
	var malformed malformedError
	switch {
	case !wrote:
		return event.NotSent
	case ctx.Err() != nil:
		return event.TimedOut
	case errors.As(err, &malformed):
		return event.BadReply
	default:
		return event.Died
	}
}

// malformedError is a reply that breaks the protocol.
type malformedError struct{ error }

// exchange writes the request and reads the reply.
func (b *Back) exchange(conn *conn, c event.SendExchange, r *Request) (reply *http.Response, body []byte, err error) {
	out := b.outgoing(c, r)
	if err := out.Write(conn); err != nil {
		return nil, nil, errors.Wrap(err, "write request")
	}
	for {
		reply, err = http.ReadResponse(conn.reader, out)
		if err != nil {
			return nil, nil, classify(err, "read reply")
		}
		if reply.StatusCode >= http.StatusOK || reply.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	body, err = io.ReadAll(io.LimitReader(reply.Body, maxReply+1))
	if err != nil {
		return nil, nil, classify(err, "read body of reply")
	}
	if len(body) > maxReply {
		return nil, nil, malformedError{errors.Newf("the reply is longer than %d bytes", maxReply)}
	}
	return reply, body, nil
}

// classify tells a broken connection from a reply that breaks the protocol.
func classify(err error, doing string) error {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(err, doing)
	}
	return malformedError{errors.Wrap(err, doing)}
}

// outgoing returns the request that is written to a server.
func (b *Back) outgoing(c event.SendExchange, r *Request) *http.Request {
	h := r.Header.Clone()
	left := max(1, c.Deadline.Sub(b.clock.Now()).Milliseconds())
	h.Set(b.names.Timeout, strconv.FormatInt(left, 10))
	h.Set(b.names.ExpectServer, string(c.Server))
	if len(h["User-Agent"]) == 0 {
		// An empty value keeps net/http from adding its own.
		h["User-Agent"] = []string{""}
	}
	out := &http.Request{
		Method: r.Method, Host: r.Host, Header: h,
		URL: &url.URL{Scheme: "http", Host: c.Address, Opaque: r.Target},
	}
	if len(r.Body) > 0 {
		out.Body = io.NopCloser(bytes.NewReader(r.Body))
		out.ContentLength = int64(len(r.Body))
	}
	return out
}

// judge tells what a whole reply is worth.
func (b *Back) judge(end *event.ExchangeEnded, r *Request, reply *http.Response, body []byte) {
	h := reply.Header
	stamp := h.Get(b.names.Stamp)
	switch {
	case h.Get(b.names.Request) != "" && h.Get(b.names.Request) != r.Name:
		end.Kind, end.Detail = event.BadReply, "the reply belongs to request "+strconv.Quote(h.Get(b.names.Request))
	case reply.StatusCode == http.StatusMisdirectedRequest:
		end.Kind, end.Reason = event.Refused, event.RefusedOther
		end.Detail = "the address belongs to " + strconv.Quote(h.Get(b.names.Server))
	case h.Get(b.names.NotRun) != "":
		end.Kind, end.Reason, end.Detail = event.Refused, event.RefusedShed, "status "+strconv.Itoa(reply.StatusCode)
	case stamp == "":
		end.Kind, end.Detail = event.BadReply, "status "+strconv.Itoa(reply.StatusCode)+" without a signature"
	default:
		end.Kind = event.Answered
		end.Reply = &event.Reply{Status: reply.StatusCode, Stamp: stamp, Body: body, Fields: fieldsOf(h)}
		if !end.Reply.Success() {
			end.Detail = "status " + strconv.Itoa(reply.StatusCode)
		}
	}
}

// fieldsOf returns the headers that are passed on, in order of name.
func fieldsOf(h http.Header) (out []event.HeaderField) {
	kept := endToEnd(h)
	for _, name := range sortedKeys(kept) {
		for _, value := range kept[name] {
			out = append(out, event.HeaderField{Name: name, Value: value})
		}
	}
	return out
}
