// Package timer provides priority queues of timers. Timers can't be cancelled: the package
// that sets a timer checks, when it is due, whether it still applies.
package timer

import "time"

// Queue holds values in the order of their due times. Values with equal due times are
// ordered as they were set. The zero value is ready for use.
type Queue[T any] struct {
	// entries is a binary heap. container/heap would allocate for each value.
	entries []entry[T]
	order   uint64
}

// Set adds a value that is due at the given time.
func (q *Queue[T]) Set(at time.Time, value T) {
	q.order++
	q.entries = append(q.entries, entry[T]{at: at, order: q.order, value: value})
	h := q.entries
	for i := len(h) - 1; i > 0; {
		parent := (i - 1) / 2
		if !h[i].before(&h[parent]) {
			return
		}
		h[i], h[parent] = h[parent], h[i]
		i = parent
	}
}

// Pop removes and returns the first value that is due, or returns false.
func (q *Queue[T]) Pop(now time.Time) (value T, ok bool) {
	if len(q.entries) == 0 || q.entries[0].at.After(now) {
		return value, false
	}
	value = q.entries[0].value
	q.removeFirst()
	return value, true
}

// DropWhile removes the first values for as long as drop returns true for them.
func (q *Queue[T]) DropWhile(drop func(T) bool) {
	for len(q.entries) > 0 && drop(q.entries[0].value) {
		q.removeFirst()
	}
}

// NextDue returns when the next value is due, or the zero time if the queue is empty.
func (q *Queue[T]) NextDue() time.Time {
	if len(q.entries) == 0 {
		return time.Time{}
	}
	return q.entries[0].at
}

// removeFirst removes the first value.
func (q *Queue[T]) removeFirst() {
	h := q.entries
	last := len(h) - 1
	h[0] = h[last]
	h[last] = entry[T]{}
	h = h[:last]
	q.entries = h
	for i := 0; ; {
		first := 2*i + 1
		if first >= len(h) {
			return
		}
		if right := first + 1; right < len(h) && h[right].before(&h[first]) {
			first = right
		}
		if !h[first].before(&h[i]) {
			return
		}
		h[i], h[first] = h[first], h[i]
		i = first
	}
}

// entry is a value with its due time; order breaks ties.
type entry[T any] struct {
	at    time.Time
	order uint64
	value T
}

// before reports whether an entry comes before another one.
func (e *entry[T]) before(o *entry[T]) bool {
	if c := e.at.Compare(o.at); c != 0 {
		return c < 0
	}
	return e.order < o.order
}
