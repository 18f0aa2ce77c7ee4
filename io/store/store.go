// Package store owns the way to the platform's key-value service: its protocol
// and the background reading of the configuration root and of the platform's
// list. It tells apart a write that did not take effect from one that may have.
// What is kept in the store, and what a reply means, is left to core.
package store

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
)

// Paths and headers of the store's protocol; docs/store.md describes it.
const (
	PathKV        = "/v1/kv/"
	PathWatch     = "/v1/watch/"
	PathProcesses = "/v1/processes"
	// HeaderRevision is a key's revision, in requests the one that it must have.
	HeaderRevision = "Store-Revision"
)

// maxValue is the largest value that is read, in bytes.
const maxValueBytes = 2 << 20

// Errors that callers tell apart. Any other error of a write leaves it open
// whether it took effect.
var (
	// ErrConflict: the revision was another; nothing was written.
	ErrConflict = errors.New("revision conflict")
	// ErrRefused: the store refused the call; nothing was written.
	ErrRefused = errors.New("refused by the store")
)

// Value is what a key holds.
type Value struct {
	// Revision is zero for a key that doesn't exist.
	Revision int64
	Data     []byte
}

// Processes is the platform's lagging list.
type Processes struct {
	Instances []event.ListedInstance `json:"instances"`
	Servers   []event.ListedServer   `json:"servers"`
}

// Client calls the store. It is safe for use by many goroutines.
type Client struct {
	address string
	http    *http.Client
}

// New returns a client of the store at an IP number and port.
func New(address string) *Client {
	return &Client{address: address, http: &http.Client{Transport: &http.Transport{
		MaxIdleConnsPerHost: 8, DisableCompression: true,
	}}}
}

// Close closes the idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// Get reads a key.
func (c *Client) Get(ctx context.Context, key string) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "store: get %q", key) }()
	return c.call(ctx, http.MethodGet, PathKV+key, 0, nil)
}

// Swap writes a key that has a revision; zero means that it must not exist. It
// returns the new revision.
func (c *Client) Swap(ctx context.Context, key string, revision int64, data []byte) (next int64, err error) {
	defer func() { err = errors.Wrapf(err, "store: swap %q at revision %d", key, revision) }()
	v, err := c.call(ctx, http.MethodPut, PathKV+key, revision, data)
	return v.Revision, err
}

// Watch waits until a key's revision is above after, for wait at most. It returns
// the value as it then is.
func (c *Client) Watch(ctx context.Context, key string, after int64, wait time.Duration) (v Value, err error) {
	defer func() { err = errors.Wrapf(err, "store: watch %q", key) }()
	query := url.Values{"after": {strconv.FormatInt(after, 10)}, "wait": {wait.String()}}
	return c.call(ctx, http.MethodGet, PathWatch+key+"?"+query.Encode(), 0, nil)
}

// Processes reads the platform's list.
func (c *Client) Processes(ctx context.Context) (p Processes, err error) {
	defer func() { err = errors.Wrap(err, "store: processes") }()
	v, err := c.call(ctx, http.MethodGet, PathProcesses, 0, nil)
	if err != nil {
		return p, err
	}
	return p, json.Unmarshal(v.Data, &p)
}

// call makes one call. It is never repeated here.
func (c *Client) call(ctx context.Context, method, path string, revision int64, data []byte) (v Value, err error) {
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
	body, err := io.ReadAll(io.LimitReader(reply.Body, maxValueBytes))
	if err != nil {
		return v, err
	}
	v.Revision, _ = strconv.ParseInt(reply.Header.Get(HeaderRevision), 10, 64)
	switch reply.StatusCode {
	case http.StatusOK, http.StatusNoContent:
		v.Data = body
		return v, nil
	case http.StatusNotFound:
		return Value{}, nil
	case http.StatusPreconditionFailed:
		return v, ErrConflict
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge, http.StatusBadRequest:
		return v, errors.Wrapf(ErrRefused, "HTTP status %d: %s", reply.StatusCode, bytes.TrimSpace(body))
	default:
		return v, errors.Newf("HTTP status %d", reply.StatusCode)
	}
}
