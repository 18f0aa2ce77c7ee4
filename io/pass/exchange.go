package pass

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/textproto"
	"os"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/io/guard"
)

// BackendClient sends requests to backend servers and reads their replies. It is safe for
// concurrent use.
type BackendClient struct {
	names    HeaderNames
	clock    Clock
	connPool *connPool
	// memory bounds what the replies hold.
	memory *guard.Guard

	mu      sync.Mutex
	pending map[event.AttemptID]*PendingExchange
	// aborted is set once AbortAll was called.
	aborted bool
	stop    context.CancelFunc
}

// NewBackendClient returns a client whose replies are charged to the guard of the callers' connections. Its
// resources are released by Close.
func NewBackendClient(clock Clock, names HeaderNames, memory *guard.Guard) *BackendClient {
	ctx, stop := context.WithCancel(context.Background())
	b := &BackendClient{
		names: names.canonical(), clock: clock, memory: memory, connPool: newConnPool(clock, memory),
		pending: map[event.AttemptID]*PendingExchange{}, stop: stop,
	}
	go b.connPool.sweep(ctx)
	return b
}

// Close closes the unused connections and stops the removal of expired ones.
func (b *BackendClient) Close() {
	b.stop()
	b.connPool.close()
}

// Connections returns the counters of connections.
func (b *BackendClient) Connections() ConnectionCounters { return b.connPool.counters() }

// Exchange relays a request to a server and returns how the exchange ended. It never
// sends the request a second time. p must come from Begin.
func (b *BackendClient) Exchange(p *PendingExchange, c event.SendExchange, r *Request) (end event.ExchangeEnded) {
	defer b.end(p)
	end = event.ExchangeEnded{Attempt: c.Attempt, Server: c.Server, Kind: event.NotSent}
	began := b.clock.Now()
	timeLeft := c.Deadline.Sub(began)
	if timeLeft <= 0 {
		end.Detail = "the deadline has passed"
		return end
	}
	deadline := time.Now().Add(timeLeft)
	request := b.connPool.digestOf(r.RequestID)
	conn, err := b.connect(p, c, request, deadline)
	if err != nil {
		end.ConnectionRefused, end.Detail = errors.Is(err, syscall.ECONNREFUSED), err.Error()
		return end
	}
	end.Use = b.connPool.beginUse(conn)
	connected := b.clock.Now()
	end.Use.Connect = connected.Sub(began)
	end.Use.TimeLeft = timeAtServer(c.Deadline.Sub(connected), c.NetworkTime)
	err = b.write(conn, c, r, end.Use.TimeLeft)
	end.Use.FirstByte = b.clock.Now().Sub(connected)
	var reply *serverReply
	if err == nil {
		reply, err = b.read(conn, r)
	}
	if cancelled := p.detach(); cancelled && err == nil {
		// The exchange was cancelled just after the reply was read.
		err = context.Canceled
	}
	if err != nil && conn.memory.Aborted() {
		err = errMemoryFull
	}
	if err != nil {
		b.connPool.abort(conn)
		end.Kind = failureKind(p.isCancelled() || !time.Now().Before(deadline), err)
		end.Detail = err.Error()
		if end.Kind == event.TimedOut {
			b.connPool.closeIdle(c.Address)
		}
		return end
	}
	named := reply.header(b.names.Request) != ""
	if named || conn.exchanges == 1 {
		b.evaluate(&end, r, reply)
	} else {
		// Bytes that a server sends after an earlier reply look like this one's. They say nothing
		// about this request, and nothing about the server: neither that it didn't run the
		// request nor that another one has its address.
		end.Kind = event.BadReply
		end.Detail = fmt.Sprintf("the reply with status %d names no request and isn't the first on the connection", reply.status)
		b.connPool.unattributed.Add(1)
	}
	// A second copy of a reply without a name could not be told from the next one.
	reusable := named && end.Kind != event.BadReply && conn.reader.Buffered() == 0
	if end.Reply == nil || !end.Reply.Success() {
		reusable = conn.recordUnsuccessful(request) && reusable
	}
	// The guard doesn't abort reads of the connection any more.
	if end.Kind == event.Answered {
		conn.memory.MoveTo(r.caller, r.countReply(len(reply.body)))
	} else {
		conn.memory.Release()
	}
	if !reusable {
		b.connPool.drop(conn)
		return end
	}
	b.connPool.put(conn, c.Connections, reply.idleTimeout())
	return end
}

// timeAtServer returns the part of the time for an exchange that the server may use. At most half of it is
// set aside for the network, whose state may have changed since it was measured.
func timeAtServer(timeLeft, networkTime time.Duration) time.Duration {
	return max(time.Millisecond, timeLeft-min(networkTime, timeLeft/2))
}

// Check reports whether a server accepts connections. It opens a new one, because the
// idle ones may still look open when the server has crashed. The new connection is kept
// for the next exchange.
func (b *BackendClient) Check(ctx context.Context, c event.CheckServer) event.ServerChecked {
	b.connPool.acquire(c.Address)
	conn, err := b.connPool.dial(ctx, c.Address)
	if err != nil {
		return event.ServerChecked{
			Number: c.Number, Server: c.Server, ConnectionRefused: errors.Is(err, syscall.ECONNREFUSED), Detail: err.Error(),
		}
	}
	connectedAt := b.clock.Now()
	b.connPool.put(conn, c.Connections, defaultIdleTimeout)
	return event.ServerChecked{Number: c.Number, Server: c.Server, Reached: true, ConnectedAt: connectedAt}
}

// connect returns a connection for an exchange of a request, which ends at the deadline and when the
// exchange is cancelled.
func (b *BackendClient) connect(p *PendingExchange, c event.SendExchange, request requestDigest, deadline time.Time) (*conn, error) {
	conn := b.connPool.takeIdle(c.Address, c.Connections, request, c.FreshConnection)
	if conn == nil {
		ctx, cancel := context.WithDeadline(context.Background(), deadline)
		defer cancel()
		var err error
		if !p.attachDial(cancel) {
			cancel()
		}
		if conn, err = b.connPool.dial(ctx, c.Address); err != nil {
			return nil, err
		}
	}
	if !p.attach(conn, deadline) {
		b.connPool.drop(conn)
		return nil, errors.Wrapf(context.Canceled, "connect to %s", c.Address)
	}
	return conn, nil
}

// failureKind returns how an exchange without a complete reply ended. expired is set if it was cancelled
// or its deadline has passed.
func failureKind(expired bool, err error) event.ResultKind {
	var malformed malformedError
	switch {
	case expired || errors.Is(err, os.ErrDeadlineExceeded):
		return event.TimedOut
	case errors.As(err, &malformed):
		return event.BadReply
	default:
		return event.Died
	}
}

// malformedError is the error of a reply that violates the protocol.
type malformedError struct{ error }

// write writes the request and waits for the first byte of the reply. If it fails, some bytes of the
// request may have reached the server.
func (b *BackendClient) write(conn *conn, c event.SendExchange, r *Request, timeLeft time.Duration) error {
	out, ok := requestBuffers.Get().(*[]byte)
	if !ok {
		out = new([]byte)
	}
	*out = b.appendRequest((*out)[:0], c, r, timeLeft)
	err := conn.writeAndWait(*out)
	if cap(*out) <= maxPooledBytes {
		requestBuffers.Put(out)
	}
	return errors.Wrap(err, "write request")
}

// errMemoryFull is the error of a reply that was given up because its memory was needed for others.
var errMemoryFull = malformedError{guard.ErrFull}

// read reads the reply.
func (b *BackendClient) read(conn *conn, r *Request) (*serverReply, error) {
	conn.limitReads(maxHeadBytes)
	defer conn.limitReads(0)
	return readReply(conn, r.Method, b.memory.ReplyBytes())
}

// maxPooledBytes limits the size of a buffer that is kept for the next request.
const maxPooledBytes = 16 << 10

// requestBuffers holds buffers for the requests to servers.
var requestBuffers sync.Pool

// appendRequest appends a request to a server, as it is written to the connection.
func (b *BackendClient) appendRequest(out []byte, c event.SendExchange, r *Request, timeLeft time.Duration) []byte {
	out = append(out, r.commonHead(b.names, c)...)
	out = append(append(out, b.names.CallerTimeout...), ": "...)
	out = append(strconv.AppendInt(out, timeLeft.Milliseconds(), 10), "\r\n"...)
	out = append(append(out, b.names.ExpectServer...), ": "...)
	out = append(append(out, headerValue(string(c.Server))...), "\r\n\r\n"...)
	return append(out, r.Body...)
}

// commonHead returns the part of a request's head that is the same for all servers: the request line
// and all headers that don't depend on the exchange. It is formatted once, because a gathering request
// is written to many servers. The target is written as the caller wrote it: net/http would add a scheme
// to one that begins with two slashes.
//
// All exchanges of a request name the same customer. Where the routing table has customers, the server
// gets the customer's name, whatever the caller sent as such, and never the key.
func (r *Request) commonHead(names HeaderNames, c event.SendExchange) []byte {
	r.headOnce.Do(func() {
		h := r.Header.Clone()
		if h == nil {
			h = http.Header{}
		}
		for _, name := range []string{names.CallerTimeout, names.ExpectServer, "Host"} {
			h.Del(name)
		}
		if c.HasCustomers {
			h.Del(names.Key)
			h.Del(names.Customer)
			if c.Customer != "" {
				h.Set(names.Customer, c.Customer)
			}
		}
		if len(r.Body) > 0 || slices.Contains(methodsWithBody, r.Method) {
			h.Set("Content-Length", strconv.Itoa(len(r.Body)))
		}
		var out bytes.Buffer
		fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\n", r.Method, r.Target, r.Host)
		// Writing to a buffer can't fail.
		_ = h.Write(&out)
		r.head = out.Bytes()
	})
	return r.head
}

// headerValue returns a value as net/http writes it in a header: without line breaks and without white
// space around it.
func headerValue(s string) string {
	return textproto.TrimString(lineBreaks.Replace(s))
}

var lineBreaks = strings.NewReplacer("\n", " ", "\r", " ")

// methodsWithBody are the methods whose requests state a length even if the body is empty.
var methodsWithBody = []string{http.MethodPost, http.MethodPut, http.MethodPatch}

// evaluate sets the result of an exchange from a complete reply.
func (b *BackendClient) evaluate(end *event.ExchangeEnded, r *Request, reply *serverReply) {
	stamp, request := reply.header(b.names.Stamp), reply.header(b.names.Request)
	switch {
	case request != "" && request != r.RequestID:
		b.connPool.unattributed.Add(1)
		end.Kind, end.Detail = event.BadReply, "the reply belongs to another request: "+strconv.Quote(request)
	case reply.status == http.StatusMisdirectedRequest:
		end.Kind, end.Reason = event.Refused, event.RefusedOther
		end.Detail = "another server answered at the address: " + strconv.Quote(reply.header(b.names.Server))
	case reply.header(b.names.NotRun) != "":
		end.Kind, end.Reason, end.Detail = event.Refused, event.RefusedShed, "status "+strconv.Itoa(reply.status)
		end.Limit, end.Notice = b.rateLimit(reply), b.notice(reply)
	case stamp == "":
		end.Kind, end.Detail = event.BadReply, "status "+strconv.Itoa(reply.status)+" without a signature"
	default:
		end.Kind = event.Answered
		end.Limit, end.Notice = b.rateLimit(reply), b.notice(reply)
		end.Reply = &event.Reply{Status: reply.status, Stamp: stamp, Body: reply.body, Fields: reply.takeRelayedFields()}
		if !end.Reply.Success() {
			end.Detail = "status " + strconv.Itoa(reply.status)
		}
	}
}

// decimalNumber matches a number of zero or more without a sign, exponent or unit.
var decimalNumber = regexp.MustCompile(`^([0-9]+(\.[0-9]*)?|\.[0-9]+)$`)

// rateLimit returns the rate limit that the headers of a reply name.
func (b *BackendClient) rateLimit(reply *serverReply) (l event.RateLimit) {
	value, found := reply.headers(b.names.Limit)
	if !found {
		return l
	}
	perSecond, err := strconv.ParseFloat(value, 64)
	if err != nil || !decimalNumber.MatchString(value) {
		l.Problem = fmt.Sprintf("%s: %.40q: want requests per second as a decimal number of zero or more", b.names.Limit, value)
		return l
	}
	return event.RateLimit{Named: true, PerSecond: perSecond}
}
