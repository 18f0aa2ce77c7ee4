// Package back is the client of the backend servers of declared services. It sends
// attempts and reads server statuses over HTTP/1.1, checks that a reply is complete and
// belongs to the attempt, and reports whether any byte of a failed attempt may have
// reached the server. Packages of core decide which server gets an attempt and what
// follows from its result.
package back

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/guard"
	"hyssoppitch/io/reply"
)

const (
	// maxReplyBytes is the maximum size of a reply's body.
	maxReplyBytes = 4 << 20
	// maxStatusBytes is the maximum size of the body of a server's status.
	maxStatusBytes = 64 << 10
	// maxHeadBytes is the maximum size of a reply's headers.
	maxHeadBytes = 64 << 10
	// idleTimeout is how long an unused connection is kept open.
	idleTimeout = 90 * time.Second
	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second
	// statusTimeout limits the time to read a server's status.
	statusTimeout = 800 * time.Millisecond
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// Client sends attempts to backend servers. It is safe for concurrent use.
type Client struct {
	clock      Clock
	dataCentre string
	memory     *guard.Guard
	transport  *reply.Transport

	// polls counts the reads of statuses.
	polls atomic.Uint64

	mu     sync.Mutex
	cancel map[event.AttemptID]context.CancelFunc
}

// New returns a client for an instance in a data centre. connections is the maximum
// number of connections to one server, including those that read its status. memory is charged
// for replies. onLost is called with the address of a server that closes a connection.
func New(clock Clock, dataCentre string, connections int, memory *guard.Guard, onLost func(address string)) *Client {
	dialer := &net.Dialer{Timeout: dialTimeout, Control: memory.Control}
	return &Client{
		clock: clock, memory: memory, dataCentre: dataCentre, cancel: map[event.AttemptID]context.CancelFunc{},
		transport: &reply.Transport{Identity: HeaderAttempt, Transport: &http.Transport{
			DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
				c, err := dialer.DialContext(ctx, network, address)
				if err != nil {
					return nil, err
				}
				return &countingConn{Conn: reply.NewConn(c, memory), onClosed: func() { onLost(address) }}, nil
			},
			MaxResponseHeaderBytes: maxHeadBytes,
			MaxConnsPerHost:        connections, MaxIdleConnsPerHost: connections,
			IdleConnTimeout: idleTimeout, DisableCompression: true,
		}},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// countingConn is a connection that counts the bytes written to it, so that it is known
// of a failed attempt whether any byte was written, and that reports when the server
// closes it.
type countingConn struct {
	*reply.Conn
	written atomic.Int64
	// closed is set once either side has closed the connection.
	closed   atomic.Bool
	onClosed func()

	mu sync.Mutex
	// uses counts the requests that have got the connection.
	uses int
}

// beginUse records that a request has got the connection, and returns the number of the request on it.
func (c *countingConn) beginUse() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.uses++
	return c.uses
}

// closeUnused closes the connection if the request with the given number is the last one that has got it.
func (c *countingConn) closeUnused(use int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.uses == use {
		_ = c.Close()
	}
}

// Read implements net.Conn. The transport always has a Read pending on an idle
// connection, so a close by the server is noticed at once.
func (c *countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if err != nil && !isMalformed(err) && !c.closed.Swap(true) {
		c.onClosed()
	}
	return n, err
}

// Close implements net.Conn.
func (c *countingConn) Close() error {
	c.closed.Store(true)
	return c.Conn.Close()
}

// Write implements net.Conn. It counts bytes as written before it passes them to the
// connection, even if that fails.
func (c *countingConn) Write(b []byte) (int, error) {
	c.written.Add(int64(len(b)))
	return c.Conn.Write(b)
}

// Cancel aborts an attempt whose reply is no longer needed.
func (c *Client) Cancel(id event.AttemptID) {
	c.mu.Lock()
	cancel := c.cancel[id]
	c.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// Send sends an attempt and returns how it ended. It never sends the request a second
// time. The memory of an answer is charged to the client's connection of the context
// (guard.ConnOf), if there is one.
func (c *Client) Send(ctx context.Context, a event.SendAttempt) event.AttemptEnded {
	timeLeft := a.Deadline.Sub(c.clock.Now())
	if timeLeft <= 0 {
		return event.AttemptEnded{Attempt: a.Attempt, Server: a.Server, Kind: event.NotSent}
	}
	caller := guard.ConnOf(ctx)
	ctx, cancel := context.WithTimeout(ctx, timeLeft)
	c.mu.Lock()
	c.cancel[a.Attempt] = cancel
	c.mu.Unlock()
	defer func() {
		cancel()
		c.mu.Lock()
		delete(c.cancel, a.Attempt)
		c.mu.Unlock()
	}()
	memory := c.memory.Reserve(cancel)
	end := c.exchange(ctx, a, timeLeft, memory)
	if memory.Aborted() && end.Kind != event.Answered {
		end.Kind = event.BadReply
	}
	memory.MoveTo(caller, int64(len(end.Body)))
	return end
}

// exchange writes the request and reads the reply.
func (c *Client) exchange(ctx context.Context, a event.SendAttempt, timeLeft time.Duration, memory *guard.Reservation) (end event.AttemptEnded) {
	end = event.AttemptEnded{Attempt: a.Attempt, Server: a.Server}
	w := &writeTracker{}
	request, err := c.request(httptrace.WithClientTrace(ctx, w.trace()), a, timeLeft)
	if err != nil {
		end.Kind = event.NotSent
		return end
	}
	reply, err := c.transport.RoundTrip(request)
	if err != nil {
		end.Kind = failureKind(ctx, w)
		if end.Kind == event.Died && isMalformed(err) {
			end.Kind = event.BadReply
		}
		return end
	}
	defer func() { _ = reply.Body.Close() }()
	body, err := guard.ReadReply(reply.Body, min(maxReplyBytes, c.memory.ReplyBytes()), memory)
	if errors.Is(err, guard.ErrTooLong) || errors.Is(err, guard.ErrFull) {
		end.Kind = event.BadReply
		return end
	}
	if err != nil {
		end.Kind = failureKind(ctx, w)
		return end
	}
	return parseReply(a, reply, body)
}

// isMalformed reports whether an error is that of a reply without a valid status.
func isMalformed(err error) bool { return errors.Is(err, reply.ErrMalformed) }

// request builds the HTTP request of an attempt. Its body can't be rewound (GetBody is
// nil), so that net/http never sends the request a second time.
func (c *Client) request(ctx context.Context, a event.SendAttempt, timeLeft time.Duration) (*http.Request, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.Address+PathRun, io.NopCloser(bytes.NewReader(a.Body)))
	if err != nil {
		return nil, errors.Wrapf(err, "attempt %s", a.Attempt)
	}
	r.ContentLength = int64(len(a.Body))
	if len(a.Body) == 0 {
		r.Body = http.NoBody
	}
	h := r.Header
	h.Set("Content-Type", "application/json")
	h.Set(HeaderAttempt, a.Attempt.String())
	h.Set(HeaderService, a.Service)
	h.Set(HeaderGroup, a.Group)
	h.Set(HeaderSnapshot, strconv.FormatUint(uint64(a.Snapshot), 10))
	h.Set(HeaderEpoch, strconv.FormatUint(uint64(a.Epoch), 10))
	h.Set(HeaderTimeout, strconv.FormatInt(max(1, timeLeft.Milliseconds()), 10))
	h.Set(HeaderDataCentre, c.dataCentre)
	h.Set(HeaderDigest, DigestOf(a.Body))
	if a.Key != "" {
		h.Set(HeaderKey, a.Key)
	}
	if a.OnceKey != "" {
		h.Set(HeaderOnce, a.OnceKey)
	}
	return r, nil
}

// writeTracker finds out whether any byte of a request was written to its connection.
type writeTracker struct {
	mu            sync.Mutex
	conn          *countingConn
	writtenBefore int64
	// use is the number of the request on its connection.
	use int
	// untracked is set when the connection is not a countingConn. The request then counts
	// as written.
	untracked bool
}

func (w *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		w.mu.Lock()
		defer w.mu.Unlock()
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			w.untracked = true
			return
		}
		w.conn, w.writtenBefore, w.use = conn, conn.written.Load(), conn.beginUse()
	}}
}

// closeUnused closes the connection of the request, whose reply was read, unless another request has got
// it meanwhile.
func (w *writeTracker) closeUnused() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.conn != nil {
		w.conn.closeUnused(w.use)
	}
}

// connected reports whether the transport obtained a connection for the request.
func (w *writeTracker) connected() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.untracked || w.conn != nil
}

// mayHaveWritten reports whether any byte of the request may have been written.
func (w *writeTracker) mayHaveWritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.untracked || (w.conn != nil && w.conn.written.Load() != w.writtenBefore)
}

// failureKind returns how an exchange without a complete reply ended. The transport
// waits for its writer before it reports a broken connection, but not when the context
// ends: the request is then known not to be written only if it got no connection.
func failureKind(ctx context.Context, w *writeTracker) event.ResultKind {
	switch {
	case !w.connected():
		return event.NotSent
	case ctx.Err() != nil:
		return event.TimedOut
	case !w.mayHaveWritten():
		return event.NotSent
	default:
		return event.Died
	}
}

// parseReply returns the result of the attempt that a reply stands for.
func parseReply(a event.SendAttempt, reply *http.Response, body []byte) (end event.AttemptEnded) {
	end = event.AttemptEnded{Attempt: a.Attempt, Server: a.Server, Kind: event.BadReply}
	if checkReply(a, reply.Header, body) != nil {
		return end
	}
	end.Report = parseReport(reply.Header)
	if reason := reply.Header.Get(HeaderNotRun); reason != "" {
		end.Kind, end.Reason = event.Refused, event.RefusalReason(reason)
		return end
	}
	if reply.StatusCode != http.StatusOK || !json.Valid(body) {
		return end
	}
	snapshot, errSnapshot := strconv.ParseUint(reply.Header.Get(HeaderSnapshot), 10, 64)
	epoch, errEpoch := strconv.ParseUint(reply.Header.Get(HeaderEpoch), 10, 64)
	if errSnapshot != nil || errEpoch != nil {
		return end
	}
	end.Kind, end.Body = event.Answered, body
	end.Snapshot, end.Epoch = model.Snapshot(snapshot), model.MapEpoch(epoch)
	return end
}

// Status reads a server's status. On failure, Reached is false in the result.
func (c *Client) Status(ctx context.Context, p event.PollStatus) event.StatusPolled {
	seen := event.StatusPolled{Server: p.Server, AskedAt: c.clock.Now()}
	status, err := c.status(ctx, p.Address)
	if err != nil {
		return seen
	}
	seen.Reached = true
	seen.Report = event.ServerReport{
		Boot: status.Boot, Draining: status.Draining, Snapshots: status.Snapshots, Epoch: status.Epoch,
	}
	return seen
}

func (c *Client) status(ctx context.Context, address string) (s Status, err error) {
	defer func() { err = errors.Wrapf(err, "status of %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	w := &writeTracker{}
	r, err := http.NewRequestWithContext(httptrace.WithClientTrace(ctx, w.trace()), http.MethodGet, "http://"+address+PathStatus, nil)
	if err != nil {
		return s, err
	}
	r.Header.Set(HeaderDataCentre, c.dataCentre)
	r.Header.Set(HeaderAttempt, "status/"+strconv.FormatUint(c.polls.Add(1), 10))
	reply, err := c.transport.RoundTrip(r)
	if err != nil {
		return s, err
	}
	defer func() {
		_ = reply.Body.Close()
		if reply.Header.Get(HeaderAttempt) == "" {
			// The next such status could not be told from a second copy of this one.
			w.closeUnused()
		}
	}()
	if reply.StatusCode != http.StatusOK {
		return s, errors.Newf("HTTP status %d", reply.StatusCode)
	}
	return s, json.NewDecoder(io.LimitReader(reply.Body, maxStatusBytes)).Decode(&s)
}
