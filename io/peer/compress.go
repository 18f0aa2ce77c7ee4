package peer

import (
	"bytes"
	"compress/flate"
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
	"github.com/fxamacker/cbor/v2"

	"hyssoppitch/core/event"
)

// A change of the routing table goes to all instances of a data centre, from the one that has read it. It is
// some 50 KB, so that with a link of 14 Mbit/s all else waited for half a second behind the copies. Most of
// it are names that recur.

const (
	// minDeflate is the size from which an update is compressed. Smaller ones fit into a packet.
	minDeflate = 1 << 10
	// maxDeflated limits the compressed form of a message. Larger messages are sent as they are.
	maxDeflated = longBytes - 1<<10
)

// updateEncoder encodes updates of the directory. The last one is kept, because the same update is sent to
// many peers.
type updateEncoder struct {
	mu   sync.Mutex
	last *event.DirectoryUpdate
	// plain and deflated are the encoded forms of last, or nil.
	plain, deflated []byte
}

// encode returns the message that carries an update, which must not change any more. It is compressed if
// that makes it smaller and the peer inflates messages.
func (e *updateEncoder) encode(u *event.DirectoryUpdate, inflates bool) (data []byte, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last != u {
		e.last, e.plain, e.deflated = u, nil, nil
	}
	if inflates && e.deflated != nil {
		return e.deflated, nil
	}
	if e.plain == nil {
		if e.plain, err = cbor.Marshal(event.Message{Directory: u}); err != nil {
			return nil, err
		}
	}
	if !inflates || len(e.plain) < minDeflate {
		return e.plain, nil
	}
	data, err = deflate(e.plain)
	if err != nil || len(data) > maxDeflated || len(data) >= len(e.plain) {
		return e.plain, err
	}
	e.plain, e.deflated = nil, data
	return data, nil
}

// deflaters holds unused compressors. Each has tables of some 100 KB.
var deflaters sync.Pool

// deflate returns the message that carries a compressed one.
func deflate(message []byte) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "compress message") }()
	var out bytes.Buffer
	w, ok := deflaters.Get().(*flate.Writer)
	if ok {
		w.Reset(&out)
	} else if w, err = flate.NewWriter(&out, flate.BestSpeed); err != nil {
		return nil, err
	}
	defer deflaters.Put(w)
	if _, err := w.Write(message); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return cbor.Marshal(event.Message{Deflated: out.Bytes()})
}

// inflate returns a message that was compressed. It takes the slot of a long one, whatever its size, so that
// the number of messages that are inflated at a time is bounded.
func (r *receiver) inflate(ctx context.Context, deflated []byte) (data []byte, err error) {
	defer func() { err = errors.Wrap(err, "inflate message") }()
	if err := r.takeSlot(ctx); err != nil {
		return nil, err
	}
	in := flate.NewReader(bytes.NewReader(deflated))
	if _, err := r.slot.ReadFrom(io.LimitReader(in, r.limit+1)); err != nil {
		return nil, err
	}
	return r.slot.Bytes(), nil
}
