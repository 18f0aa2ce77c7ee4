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
	// plain and small are the encoded forms of last: small is compressed if that makes it smaller, and is
	// plain otherwise.
	plain, small []byte
}

// encode returns the message that carries an update, which must not change any more. Peers that inflate
// messages get its smaller form.
func (e *updateEncoder) encode(u *event.DirectoryUpdate, inflates bool) (data []byte, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.last != u {
		plain, err := cbor.Marshal(event.Message{Directory: u})
		if err != nil {
			return nil, err
		}
		small, err := smaller(plain)
		if err != nil {
			return nil, err
		}
		e.last, e.plain, e.small = u, plain, small
	}
	if inflates {
		return e.small, nil
	}
	return e.plain, nil
}

// smaller returns the message that carries a compressed one, or the message itself if that is not smaller.
func smaller(message []byte) (data []byte, err error) {
	if len(message) < minDeflate {
		return message, nil
	}
	data, err = deflate(message)
	if len(data) > maxDeflated || len(data) >= len(message) {
		data = message
	}
	return data, err
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
