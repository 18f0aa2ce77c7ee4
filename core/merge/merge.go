// Package merge merges the result parts of a gathering request: it selects the greatest
// records of several unordered parts. Package relay fetches the parts and selects those
// that belong to an answer.
package merge

import (
	"cmp"
	"encoding/binary"
	"slices"
)

// RecordSize is the size of a record in bytes. A shorter remainder at the end of a part is
// ignored.
const RecordSize = 16

// Top returns the n greatest records of the parts, or all of them if there are fewer,
// concatenated in descending order. Records are compared bytewise. Duplicates are kept.
func Top(parts [][]byte, n int) []byte {
	if n <= 0 {
		return []byte{}
	}
	count := 0
	for _, p := range parts {
		count += len(p) / RecordSize
	}
	top := make(minHeap, 0, min(n, count))
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			r := record{binary.BigEndian.Uint64(p), binary.BigEndian.Uint64(p[8:])}
			switch {
			case len(top) < n:
				top.push(r)
			case r.compare(top[0]) > 0:
				top[0] = r
				top.sink()
			}
		}
	}
	slices.SortFunc(top, func(a, b record) int { return b.compare(a) })
	out := make([]byte, 0, len(top)*RecordSize)
	for _, r := range top {
		out = binary.BigEndian.AppendUint64(binary.BigEndian.AppendUint64(out, r.high), r.low)
	}
	return out
}

// record holds the bytes of a record as two big-endian numbers, whose order is that of the bytes.
type record struct{ high, low uint64 }

// compare compares records bytewise.
func (r record) compare(o record) int {
	return cmp.Or(cmp.Compare(r.high, o.high), cmp.Compare(r.low, o.low))
}

// minHeap is a heap of records with the smallest one at the root. It doesn't use container/heap, which
// allocates for each record.
type minHeap []record

// push adds a record.
func (h *minHeap) push(r record) {
	*h = append(*h, r)
	for i := len(*h) - 1; i > 0; {
		parent := (i - 1) / 2
		if (*h)[i].compare((*h)[parent]) >= 0 {
			return
		}
		(*h)[i], (*h)[parent] = (*h)[parent], (*h)[i]
		i = parent
	}
}

// sink moves the root to its place.
func (h minHeap) sink() {
	for i := 0; ; {
		least := 2*i + 1
		if least >= len(h) {
			return
		}
		if right := least + 1; right < len(h) && h[right].compare(h[least]) < 0 {
			least = right
		}
		if h[i].compare(h[least]) <= 0 {
			return
		}
		h[i], h[least] = h[least], h[i]
		i = least
	}
}
