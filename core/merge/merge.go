// Package merge owns the merging of result parts: the greatest records of several
// unordered parts. How parts are fetched and which of them belong to an answer is
// left to package relay.
package merge

import (
	"bytes"
	"container/heap"
	"slices"
)

// RecordSize is the length of a record in bytes. A shorter remainder of a part is
// not a record.
const RecordSize = 16

// Top returns the greatest records of the parts, at most n, greatest first, in one
// piece. Records are compared byte by byte; equal records all count.
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

// leastFirst is a heap of records with the least at the top.
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
