// Package timer owns queues of due times. What a due time is for, and whether its
// target still exists when it comes, is left to the package that sets it.
package timer

import (
	"container/heap"
	"time"
)

// Queue holds values by due time; those of one moment come in the order in which
// they were set. The zero value is ready for use.
type Queue[T any] struct {
	entries entries[T]
	order   uint64
}

// Set adds a value that is due at a time.
func (q *Queue[T]) Set(at time.Time, value T) {
	q.order++
	heap.Push(&q.entries, entry[T]{at: at, order: q.order, value: value})
}

// Pop removes and returns the first value that is due, or returns false.
func (q *Queue[T]) Pop(now time.Time) (value T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at.After(now) {
		return value, false
	}
	e, _ := heap.Pop(&q.entries).(entry[T])
	return e.value, true
}

// Due returns when the next value is due, or the zero time.
func (q *Queue[T]) NextDue() time.Time {
	if len(q.entries) == 0 {
		return time.Time{}
	}
	return q.entries[0].at
}

type entry[T any] struct {
	at    time.Time
	order uint64
	value T
}

// entries implements heap.Interface.
type entries[T any] []entry[T]

func (h entries[T]) Len() int { return len(h) }

func (h entries[T]) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

func (h entries[T]) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *entries[T]) Push(x any) {
	e, _ := x.(entry[T])
	*h = append(*h, e)
}

// Pop implements heap.Interface.
func (h *entries[T]) Pop() any {
	last := len(*h) - 1
	e := (*h)[last]
	(*h)[last] = entry[T]{}
	*h = (*h)[:last]
	return e
}
