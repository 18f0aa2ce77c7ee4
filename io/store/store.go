// Package store is the client of the platform's key-value service, which also serves the
// platform's list of processes. Its errors distinguish a write that did not take effect
// from one that may have. Packages of core decide what is stored under which key.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/io/guard"
	"hyssoppitch/io/reply"
)

// Paths and headers of the store's protocol; docs/store.md describes it.
const (
	PathKV        = "/v1/kv/"
	PathWatch     = "/v1/watch/"
	PathProcesses = "/v1/processes"
	// HeaderRevision is a key's revision. In a write it is the revision that the key must
	// have for the write to take effect.
	HeaderRevision = "Store-Revision"
	// HeaderEra counts how often the store was restored from an older copy. After that, it gives
	// out the revisions since the copy again.
	HeaderEra = "Store-Era"
)

// maxValueBytes is the maximum number of bytes that are read of a reply's body.
const maxValueBytes = 2 << 20

// maxErrorBytes is how much of the explanation of an error is read.
const maxErrorBytes = 1 << 10

// maxHeadBytes is the maximum size of a reply's headers.
const maxHeadBytes = 64 << 10

// Errors that callers distinguish. After any other error of a write, the write may or may
// not have taken effect.
var (
	// ErrConflict is returned when the key has another revision. Nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrRefused is returned when the store refused the call. Nothing was written.
	ErrRefused = errors.New("refused by the store")
)

// Value is the value of a key, with its revision.
type Value struct {
	// Revision is zero for a key that doesn't exist.
	Revision int64
	Data     []byte
	// Era is the era of the reply; zero if the store counts none.
	Era uint64
}

// Processes is the platform's list of processes. It lags behind the actual state.
type Processes struct {
	Instances []event.ListedInstance `json:"instances"`
	Servers   []event.ListedServer   `json:"servers"`
}

// Client calls the store. It is safe for concurrent use.
type Client struct {
	address string
	memory  *guard.Guard
	http    *http.Client
}

// New returns a client of the store at an address of the form IP:port. memory is charged for replies.
func New(address string, memory *guard.Guard) *Client {
	return &Client{address: address, memory: memory, http: &http.Client{Transport: &reply.Transport{Transport: &http.Transport{
		DialContext:         reply.Dial(net.Dialer{}, memory),
		MaxIdleConnsPerHost: 8, DisableCompression: true, MaxResponseHeaderBytes: maxHeadBytes,
	}}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads the value of a key.
func (c *Client) Get(ctx context.Context, key string) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "store: get %q", key) }()
	return c.call(ctx, http.MethodGet, PathKV+key, 0, nil)
}

// Swap is a compare-and-swap: it writes a key if the key has the given revision, and
// returns the new revision, without the value. Revision zero means that the key must not exist.
func (c *Client) Swap(ctx context.Context, key string, revision int64, data []byte) (next Value, err error) {
	defer func() { err = errors.Wrapf(err, "store: swap %q at revision %d", key, revision) }()
	return c.call(ctx, http.MethodPut, PathKV+key, revision, data)
}

// Watch waits until a key's revision is above after, or until the time wait is over. It
// returns the value at that time.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "store: watch %q", key) }()
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {wait.String()}}
	return c.call(ctx, http.MethodGet, PathWatch+key+"?"+query.Encode(), 0, nil)
}

// Processes reads the platform's list of processes.
func (c *Client) Processes(ctx context.Context) (p Processes, err error) {
	defer func() { err = errors.Wrap(err, "store: processes") }()
	v, err := c.call(ctx, http.MethodGet, PathProcesses, 0, nil)
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(v.Data, &p)
}

// call sends one request to the store. It never retries.
func (c *Client) call(ctx context.Context, method, path string, revision int64, data []byte) (v Value, err error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	memory := c.memory.Reserve(cancel)
	defer memory.Release()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+c.address+path, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return v, err
	}
	r.ContentLength = int64(len(data))
	if len(data) == 0 {
		r.Body = http.NoBody
	}
	r.Header.Set(HeaderRevision, strconv.FormatInt(revision, 10))
	reply, err := c.http.Do(r)
	if err != nil {
		return v, err
	}
	defer func() { _ = reply.Body.Close() }()
	var source io.Reader = reply.Body
	if reply.StatusCode != http.StatusOK {
		source = io.LimitReader(source, maxErrorBytes)
	}
	body, err := guard.ReadReply(source, maxValueBytes, memory)
	if errors.Is(err, guard.ErrTooLong) {
		return v, errors.Newf("the reply's body is longer than %d bytes", maxValueBytes)
	}
	if err != nil {
		return v, err
	}
	if conf.DocumentCost(body) > c.memory.DecodedBytes() {
		return v, errors.Newf("%d bytes that would take more memory than the machine has for them", len(body))
	}
	v.Era, err = DecodeEra(reply.Header, HeaderEra)
	if err != nil {
		return Value{}, err
	}
	v.Revision, _ = strconv.ParseInt(reply.Header.Get(HeaderRevision), 10, 64)
	switch reply.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		v.Data = body
		return v, nil
	case http.StatusNotFound:
		return Value{Era: v.Era}, nil
	case http.StatusPreconditionFailed:
		return v, ErrConflict
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return v, errors.Wrapf(ErrRefused, "HTTP status %d: %s", reply.StatusCode, bytes.TrimSpace(body))
	default:
		return v, errors.Newf("HTTP status %d", reply.StatusCode)
	}
}

// DecodeEra returns the era that a header of a reply holds, or zero if the reply lacks it.
func DecodeEra(h http.Header, name string) (era uint64, err error) {
	values := h.Values(name)
	if len(values) == 0 {
		return 0, nil
	}
	value := strings.Join(values, ", ")
	era, err = strconv.ParseUint(value, 10, 64)
	if err != nil || era == 0 {
		return 0, errors.Newf("header %q is %.40q: want a whole number above zero", name, value)
	}
	return era, nil
}
