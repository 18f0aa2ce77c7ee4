// Package merge merges the result parts of a gathering request: it selects the greatest
// records of several unordered parts. Package relay fetches the parts and selects those
// that belong to an answer.
package merge

import (
	"bytes"
	"container/heap"
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
	top := make(minHeap, 0, n)
	for _, p := range parts {
		for ; len(p) >= RecordSize; p = p[RecordSize:] {
			r := p[:RecordSize]
			switch {
			case len(top) < n:
				heap.Push(&top, r)
			case bytes.Compare(r, top[0]) > 0:
				top[0] = r
				heap.Fix(&top, 0)
			}
		}
	}
	slices.SortFunc(top, func(a, b []byte) int { return bytes.Compare(b, a) })
	return bytes.Join(top, nil)
}

// minHeap is a heap of records with the smallest one at the root.
type minHeap [][]byte

func (h minHeap) Len() int           { return len(h) }
func (h minHeap) Less(i, j int) bool { return bytes.Compare(h[i], h[j]) < 0 }
func (h minHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *minHeap) Push(x any) { *h = append(*h, x.([]byte)) }

// Pop implements heap.Interface.
func (h *minHeap) Pop() any {
	last := len(*h) - 1
	r := (*h)[last]
	*h = (*h)[:last]
	return r
}
