package guard

import (
	"context"
	"io"
	"math"
	"net/http"
	"sync"

	"github.com/cockroachdb/errors"
)

// ErrFull is returned for a body that would exceed the budget.
var ErrFull = errors.New("requests in progress and replies use up the memory for them")

const (
	// chunkBytes is the size of the pieces in which a body is kept until it is complete.
	chunkBytes = 16 << 10
	// firstBytes is the size of the first piece, which is not counted.
	firstBytes = 2 << 10
)

// chunk is a piece of a body.
type chunk [chunkBytes]byte

var chunks = sync.Pool{New: func() any { return new(chunk) }}

// BodyIsBounded reports whether the time to read the body of a request is bounded by a guard.
func BodyIsBounded(r *http.Request) bool { return ConnOf(r.Context()) != nil }

// ReadBody reads the body of a request. It returns an *http.MaxBytesError for one of more than
// limit bytes and ErrFull for one that exceeds the budget. What it returns stays charged to the
// connection until the request is answered.
func ReadBody(w http.ResponseWriter, r *http.Request, limit int64) (body []byte, err error) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	reader := http.MaxBytesReader(w, r.Body, limit)
	c := ConnOf(r.Context())
	if c != nil {
		c.received.Store(0)
		c.bodySince.Store(c.guard.sweeps.Load())
		c.phase.Store(int32(phaseBody))
		defer c.phase.Store(int32(phaseRun))
	}
	// An ordinary body is read into memory of its own size.
	if n := r.ContentLength; n > 0 && n <= min(freeBytes, limit) {
		body = make([]byte, n)
		_, err = io.ReadFull(reader, body)
		return body, err
	}
	// The reader applies the limit.
	body, charged, err := readLong(reader, math.MaxInt64, func() bool { return c.hold(chunkBytes, false) })
	if err != nil {
		c.release(charged)
	}
	return body, err
}

// ErrTooLong is returned for a body of more bytes than the limit.
var ErrTooLong = errors.New("the body is too long")

// ReadReply reads a body of at most limit bytes and charges it to a reservation. It returns ErrTooLong for
// a longer one and ErrFull if the memory is needed for others.
func ReadReply(reader io.Reader, limit int64, r *Reservation) (body []byte, err error) {
	body, _, err = readLong(reader, limit, func() bool { return r.Charge(chunkBytes) })
	return body, err
}

// readLong reads a body of unknown or large size in chunks, so that one that never ends costs no
// more than what arrived. It returns ErrTooLong for one of more than limit bytes. It calls charge for each
// chunk, and returns ErrFull if that returns false. charged is the size of the chunks for which it
// returned true.
func readLong(reader io.Reader, limit int64, charge func() bool) (body []byte, charged int64, err error) {
	first := make([]byte, firstBytes)
	size, err := fill(reader, first)
	if err != nil {
		body, err = endOf(first[:size], err)
		return body, 0, err
	}
	var parts []*chunk
	defer func() {
		for _, p := range parts {
			chunks.Put(p)
		}
	}()
	for {
		if int64(size) > limit {
			return nil, charged, ErrTooLong
		}
		if !charge() {
			return nil, charged, ErrFull
		}
		charged += chunkBytes
		p, ok := chunks.Get().(*chunk)
		if !ok {
			p = new(chunk)
		}
		parts = append(parts, p)
		n, end := fill(reader, p[:])
		size += n
		if end == nil {
			continue
		}
		if !errors.Is(end, io.EOF) {
			return nil, charged, end
		}
		if int64(size) > limit {
			return nil, charged, ErrTooLong
		}
		// What was charged for the pieces stands for the body from now on. The copy is not
		// charged besides: as many are made at a time as there are processors.
		body = append(make([]byte, 0, size), first...)
		for _, p := range parts {
			body = append(body, p[:min(chunkBytes, size-len(body))]...)
		}
		return body, charged, nil
	}
}

// fill reads until p is full or the reader returns an error.
func fill(reader io.Reader, p []byte) (n int, err error) {
	for n < len(p) && err == nil {
		var k int
		k, err = reader.Read(p[n:])
		n += k
	}
	if n == len(p) && errors.Is(err, io.EOF) {
		// The next call returns the end again.
		err = nil
	}
	return n, err
}

// endOf returns what was read, or the error unless it is the end of the body.
func endOf(body []byte, err error) ([]byte, error) {
	if errors.Is(err, io.EOF) {
		return body, nil
	}
	return nil, err
}

// hold charges bytes to the connection, if it is bounded by a guard.
func (c *Conn) hold(n int64, force bool) bool {
	return c == nil || c.guard.charge(c, n, force)
}

func (c *Conn) release(n int64) {
	if c != nil && n > 0 {
		c.guard.discharge(c, n)
	}
}

// Holding charges an answer of n bytes to the connection of a request until it is written.
func Holding(ctx context.Context, n int) {
	if c := ConnOf(ctx); c != nil && n > freeBytes {
		c.hold(int64(n), true)
	}
}
