package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/coder/websocket"
	"github.com/fxamacker/cbor/v2"

	"hyssoppitch/core/event"
	"hyssoppitch/io/guard"
)

const (
	// longBytes is the size of a message from which it takes a slot, and longCost the memory from which it is
	// charged, and the peer's next message waits until the engine has handled it.
	longBytes = 64 << 10
	longCost  = 64 << 10
	// longTimeout limits the time to read the rest of a long message. The peer's own timeout is writeTimeout.
	longTimeout = 2 * writeTimeout
)

// longMessages bounds the long messages that all links read, decode and handle at a time.
type longMessages struct {
	slots   chan struct{}
	buffers sync.Pool
	// maxCost is the maximum memory of a message when it is decoded.
	maxCost int64
}

func newLongMessages(memory *guard.Guard) *longMessages {
	slots := min(max(memory.DecodedBytes()/maxMessageBytes, 1), maxLongMessages)
	return &longMessages{
		slots: make(chan struct{}, slots), maxCost: 2 * memory.DecodedBytes(),
		buffers: sync.Pool{New: func() any { return new(bytes.Buffer) }},
	}
}

// maxLongMessages is the maximum number of slots for long messages.
const maxLongMessages = 16

// receiver receives the messages of a link, one at a time.
type receiver struct {
	conn *websocket.Conn
	// limit is the maximum size of a message.
	limit int64
	// memory is charged for the last message that was received.
	memory *guard.Reservation
	long   *longMessages
	// received is the size of the last message.
	received uint64
	// buffer holds a message that is not long, and slot the buffer of a long one that is not released yet.
	buffer bytes.Buffer
	slot   *bytes.Buffer
}

// receive returns the next message. long reports whether it takes much memory, which is set aside until the
// next call.
func (r *receiver) receive(ctx context.Context) (m event.Message, long bool, err error) {
	r.release()
	// The readers below apply the limit.
	r.conn.SetReadLimit(-1)
	_, reader, err := r.conn.Reader(ctx)
	if err != nil {
		return m, false, err
	}
	r.buffer.Reset()
	if _, err := r.buffer.ReadFrom(io.LimitReader(reader, min(longBytes, r.limit+1))); err != nil {
		return m, false, err
	}
	data := r.buffer.Bytes()
	if len(data) == longBytes {
		data, err = r.receiveLong(ctx, reader)
	}
	if err != nil {
		return m, false, err
	}
	r.received = uint64(len(data))
	if m, long, err = r.decode(data); err != nil || m.Deflated == nil {
		return m, long, err
	}
	if r.slot != nil {
		return m, false, errors.Newf("a compressed message of %d bytes, %d or more", len(data), longBytes)
	}
	if data, err = r.inflate(ctx, m.Deflated); err != nil {
		return m, false, err
	}
	m, long, err = r.decode(data)
	if err == nil && m.Deflated != nil {
		err = errors.New("a message is compressed twice")
	}
	return m, long, err
}

// decode decodes a message. long reports whether it takes much memory, which is charged.
func (r *receiver) decode(data []byte) (m event.Message, long bool, err error) {
	if int64(len(data)) > r.limit {
		return m, false, errors.Newf("a message of more than %d bytes", r.limit)
	}
	cost := messageCost(data)
	long = cost > longCost
	if cost > r.long.maxCost || (long && !r.memory.Charge(cost)) {
		return m, false, errors.Newf("a message of %d bytes would take more memory than the machine has for it", len(data))
	}
	return m, long, errors.Wrap(decoding.Unmarshal(data, &m), "decode message")
}

// receiveLong reads the rest of a message of which the buffer has the beginning.
func (r *receiver) receiveLong(ctx context.Context, reader io.Reader) (data []byte, err error) {
	if err := r.takeSlot(ctx); err != nil {
		return nil, err
	}
	// Closing the connection ends the read.
	timeout := time.AfterFunc(longTimeout, func() { _ = r.conn.CloseNow() })
	defer timeout.Stop()
	r.slot.Write(r.buffer.Bytes())
	_, err = r.slot.ReadFrom(io.LimitReader(reader, r.limit+1-longBytes))
	return r.slot.Bytes(), err
}

// takeSlot waits for a slot for a long message.
func (r *receiver) takeSlot(ctx context.Context) error {
	select {
	case r.long.slots <- struct{}{}:
		r.slot, _ = r.long.buffers.Get().(*bytes.Buffer)
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// release uncharges the last message and gives up its slot.
func (r *receiver) release() {
	r.memory.Release()
	if r.slot != nil {
		r.slot.Reset()
		r.long.buffers.Put(r.slot)
		r.slot = nil
		<-r.long.slots
	}
}

// Costs of what messages are decoded to, in bytes.
const (
	// elementCost is the memory of an element of an array: structures have up to some 200 bytes, also for an
	// element of one byte that isn't valid.
	elementCost = 256
	// pairCost is the memory of a pair of a map, and itemCost that of any value beside the bytes of a string.
	pairCost = 32
	itemCost = 16
)

// decoding decodes messages. Without items of indefinite length, the costs of a message follow from its heads.
var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{IndefLength: cbor.IndefLengthForbidden}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// messageCost returns an estimate of the memory that a CBOR message takes when it is decoded. One byte may
// stand for a structure of hundreds. What it returns for data that isn't well-formed has no meaning.
func messageCost(data []byte) (n int64) {
	n = int64(len(data))
	for len(data) > 0 {
		major, argument, rest := head(data)
		data = rest
		argument = min(argument, uint64(len(data)))
		n += itemCost
		switch major {
		case majorBytes, majorText:
			data = data[argument:]
		case majorArray:
			n += elementCost * int64(argument)
		case majorMap:
			n += pairCost * int64(argument)
		}
	}
	return n
}

// The major types of CBOR items that matter here (RFC 8949, section 3.1).
const (
	majorBytes = 2
	majorText  = 3
	majorArray = 4
	majorMap   = 5
)

// head returns the major type and the argument of an item, and the data after its head. The argument of an
// item of indefinite length is zero.
func head(data []byte) (major byte, argument uint64, rest []byte) {
	major, info := data[0]>>5, data[0]&0x1f
	data = data[1:]
	if info < 24 {
		return major, uint64(info), data
	}
	size := 1 << (info - 24)
	if info > 27 || size > len(data) {
		return major, 0, data
	}
	var buffer [8]byte
	copy(buffer[8-size:], data)
	return major, binary.BigEndian.Uint64(buffer[:]), data[size:]
}
