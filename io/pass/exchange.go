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
const maxReplyBytes = 16 << 20

// Back exchanges requests and replies with backend servers. It is safe for use by
// many goroutines.
type BackendClient struct {
	names    HeaderNames
	clock    Clock
	connPool *connPool

	mu     sync.Mutex
	cancel map[event.AttemptID]context.CancelFunc
	stop   context.CancelFunc
}

// NewBack returns a client of backend servers; Close ends it.
func NewBackendClient(clock Clock, names HeaderNames) *BackendClient {
	ctx, stop := context.WithCancel(context.Background())
	b := &BackendClient{
		names: names, clock: clock, connPool: &connPool{clock: clock, hosts: map[string]*hostConns{}},
		cancel: map[event.AttemptID]context.CancelFunc{}, stop: stop,
	}
	go b.connPool.sweep(ctx)
	return b
}

// Close closes the unused connections.
func (b *BackendClient) Close() {
	b.stop()
	b.connPool.close()
}

// Connections returns how many connections were opened, and how many could not be.
func (b *BackendClient) Connections() (opened, failed uint64) {
	return b.connPool.opened.Load(), b.connPool.failed.Load()
}

// Cancel ends an exchange whose reply is no longer wanted.
func (b *BackendClient) Cancel(id event.AttemptID) {
	b.mu.Lock()
	cancel := b.cancel[id]
	b.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Begin registers an exchange, so that it can be cancelled from now on. The context is
// that of the exchange.
func (b *BackendClient) Begin(ctx context.Context, id event.AttemptID) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	b.mu.Lock()
	b.cancel[id] = cancel
	b.mu.Unlock()
	return ctx
}

func (b *BackendClient) end(id event.AttemptID) {
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
func (b *BackendClient) Exchange(ctx context.Context, c event.SendExchange, r *Request) (end event.ExchangeEnded) {
	defer b.end(c.Attempt)
	end = event.ExchangeEnded{Attempt: c.Attempt, Server: c.Server, Kind: event.NotSent}
	timeLeft := c.Deadline.Sub(b.clock.Now())
	if timeLeft <= 0 {
		end.Detail = "no time left"
		return end
	}
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	defer cancel()
	conn, err := b.connPool.get(ctx, c.Address, c.FreshConnection)
	if err != nil {
		end.Detail = err.Error()
		return end
	}
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	writtenBefore := conn.written.Load()
	reply, body, err := b.exchange(conn, c, r)
	if !stop() && err == nil {
		// The context ended at the last moment: the connection's deadline is spoilt.
		err = ctx.Err()
	}
	if err != nil {
		b.connPool.drop(conn)
		end.Kind = b.failureKind(ctx, conn.written.Load() != writtenBefore, err)
		end.Detail = err.Error()
		if end.Kind == event.TimedOut {
			b.connPool.closeIdle(c.Address)
		}
		return end
	}
	b.evaluate(&end, r, reply, body)
	if end.Kind == event.BadReply || conn.reader.Buffered() > 0 {
		b.connPool.drop(conn)
		return end
	}
	b.connPool.put(conn, c.Connections, idleTimeout(reply))
	return end
}

// Check finds out whether a server takes connections, by a new one: the end of those that
// are kept may be on its way. The connection is kept for the next exchange.
func (b *BackendClient) Check(ctx context.Context, c event.CheckServer) event.ServerChecked {
	b.connPool.acquire(c.Address)
	conn, err := b.connPool.dial(ctx, c.Address)
	if err != nil {
		return event.ServerChecked{Server: c.Server, Detail: err.Error()}
	}
	b.connPool.put(conn, c.Connections, defaultIdleTimeout)
	return event.ServerChecked{Server: c.Server, Reached: true}
}

// failure tells how an exchange without a whole reply ended.
func (b *BackendClient) failureKind(ctx context.Context, written bool, err error) event.ResultKind {
	var malformed malformedError
	switch {
	case !written:
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
func (b *BackendClient) exchange(conn *conn, c event.SendExchange, r *Request) (reply *http.Response, body []byte, err error) {
	out := b.newRequest(c, r)
	if err := out.Write(conn); err != nil {
		return nil, nil, errors.Wrap(err, "write request")
	}
	for {
		reply, err = http.ReadResponse(conn.reader, out)
		if err != nil {
			return nil, nil, wrapReadError(err, "read reply")
		}
		if reply.StatusCode >= http.StatusOK || reply.StatusCode == http.StatusSwitchingProtocols {
			break
		}
	}
	body, err = io.ReadAll(io.LimitReader(reply.Body, maxReplyBytes+1))
	if err != nil {
		return nil, nil, wrapReadError(err, "read body of reply")
	}
	if len(body) > maxReplyBytes {
		return nil, nil, malformedError{errors.Newf("the reply is longer than %d bytes", maxReplyBytes)}
	}
	return reply, body, nil
}

// classify tells a broken connection from a reply that breaks the protocol.
func wrapReadError(err error, step string) error {
	var netErr net.Error
	if errors.As(err, &netErr) || errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return errors.Wrap(err, step)
	}
	return malformedError{errors.Wrap(err, step)}
}

// outgoing returns the request that is written to a server.
func (b *BackendClient) newRequest(c event.SendExchange, r *Request) *http.Request {
	h := r.Header.Clone()
	timeLeft := max(1, c.Deadline.Sub(b.clock.Now()).Milliseconds())
	h.Set(b.names.Timeout, strconv.FormatInt(timeLeft, 10))
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
func (b *BackendClient) evaluate(end *event.ExchangeEnded, r *Request, reply *http.Response, body []byte) {
	h := reply.Header
	stamp := h.Get(b.names.Stamp)
	switch {
	case h.Get(b.names.Request) != "" && h.Get(b.names.Request) != r.RequestID:
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
		end.Reply = &event.Reply{Status: reply.StatusCode, Stamp: stamp, Body: body, Fields: replyFields(h)}
		if !end.Reply.Success() {
			end.Detail = "status " + strconv.Itoa(reply.StatusCode)
		}
	}
}

// fieldsOf returns the headers that are passed on, in order of name.
func replyFields(h http.Header) (out []event.HeaderField) {
	kept := endToEndHeaders(h)
	for _, name := range sortedNames(kept) {
		for _, value := range kept[name] {
			out = append(out, event.HeaderField{Name: name, Value: value})
		}
	}
	return out
}
