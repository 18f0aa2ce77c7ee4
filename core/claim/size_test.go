package claim

import (
	"bytes"
	"testing"

	"hyssoppitch/core/event"
)

// TestEntrySize bounds the size of an entry, on which the number of partitions and
// the retention rest: docs/design/claims.md reckons with 120 bytes, and 500 with an
// answer.
func TestEntrySize(t *testing.T) {
	e := Entry{
		Digest: DigestOf("dispatch-desk", "key"), RequestFingerprint: 1 << 63, Instance: "instance-0001",
		Incarnation: 1 << 60, Query: 1 << 40, ClaimedAt: 1 << 31, State: Claimed,
	}
	answer := Answer{Group: "g00", Epoch: 1, Snapshot: 1 << 20, Result: bytes.Repeat([]byte("x"), maxResult)}
	answer.Keys.To = 6553
	tests := []struct {
		name  string
		entry Entry
		limit int
	}{{"claimed", e, 120}, {"with an answer", Entry{Digest: e.Digest, RequestFingerprint: e.RequestFingerprint, Instance: e.Instance, Incarnation: e.Incarnation, Query: event.QueryID(1 << 40), ClaimedAt: e.ClaimedAt, State: Ran, Answer: &answer}, 500}}
	for _, test := range tests {
		data, err := encode([]Entry{test.entry})
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes", test.name, len(data))
		if len(data) > test.limit {
			t.Errorf("%s: got %d bytes, want %d at most", test.name, len(data), test.limit)
		}
	}
}
