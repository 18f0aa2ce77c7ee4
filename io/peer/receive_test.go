package peer

import (
	"bytes"
	"runtime"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"hyssoppitch/core/event"
)

// TestMessageCost guards against messages that take more memory when they are decoded than is charged for
// them, whether they are valid or not.
func TestMessageCost(t *testing.T) {
	const n = 100_000
	array := func(element ...byte) []byte {
		return append([]byte{0x9a, 0, n >> 16, n >> 8 & 0xff, n & 0xff}, bytes.Repeat(element, n)...)
	}
	// The message has the updates of members.
	message := func(updates []byte) []byte { return append([]byte{0xa1, 0x04, 0xa1, 0x01}, updates...) }
	for name, data := range map[string][]byte{
		"empty structures": message(array(0xa0)),
		"nulls":            message(array(0xf6)),
		"wrong types":      message(array(0x01)),
		"empty arrays":     message(array(0x80)),
	} {
		var before, after runtime.MemStats
		var m event.Message
		runtime.GC()
		runtime.ReadMemStats(&before)
		_ = decoding.Unmarshal(data, &m)
		runtime.ReadMemStats(&after)
		if got, cost := int64(after.TotalAlloc-before.TotalAlloc), messageCost(data); got > cost {
			t.Errorf("%s: %d bytes were allocated, more than the cost %d", name, got, cost)
		}
		runtime.KeepAlive(m)
	}
	if err := decoding.Unmarshal([]byte{0xa1, 0x04, 0xa1, 0x01, 0x9f, 0xa0, 0xff}, &event.Message{}); err == nil {
		t.Error("an array of indefinite length was decoded")
	}
}

// TestCostOfOrdinaryMessages guards against costs by which ordinary messages would be refused.
func TestCostOfOrdinaryMessages(t *testing.T) {
	updates := make([]event.ServerUpdate, 1000)
	data, err := cbor.Marshal(event.Message{Servers: &event.Servers{Updates: updates}})
	if err != nil {
		t.Fatal(err)
	}
	if got, want := messageCost(data), int64(2000*len(updates)); got > want {
		t.Errorf("cost of %d updates: got %d, want at most %d", len(updates), got, want)
	}
}
