package usage

import (
	"slices"
	"time"
)

const (
	// windowBuckets is the number of buckets of a window. A ring holds some more, because servers
	// may count an event later than the instance that admitted it, in an adjacent window.
	windowBuckets = 20
	ringBuckets   = windowBuckets + 2
	// visibleDelay is the time that an event takes at most, without faults, to become visible at the
	// other instances while its counter is used beyond half of its limit: a report, an exchange
	// between data centres and a reply, at fastInterval each on average.
	visibleDelay = 500 * time.Millisecond
)

// ring counts events over a sliding window. Events leave it no earlier than one window after they
// were added.
type ring struct {
	buckets [ringBuckets]uint32
	// head is the number of the newest bucket, counted from the Unix epoch.
	head   int64
	window time.Duration
}

// advance clears the buckets that have left the window. After a change of the window's length all
// events count as recent: the buckets don't show exactly when they happened.
func (r *ring) advance(now time.Time, window time.Duration) {
	head := now.UnixNano() / int64(window/windowBuckets)
	if window != r.window {
		sum := r.total()
		*r = ring{head: head, window: window}
		r.buckets[head%ringBuckets] = sum
		return
	}
	for n := max(r.head+1, head-ringBuckets+1); n <= head; n++ {
		r.buckets[n%ringBuckets] = 0
	}
	r.head = max(r.head, head)
}

func (r *ring) add(now time.Time, window time.Duration, n uint64) {
	r.advance(now, window)
	r.buckets[r.head%ringBuckets] += uint32(min(n, 1<<30)) //nolint:gosec // bounded
}

// addRing adds the events of another ring at their times.
func (r *ring) addRing(now time.Time, window time.Duration, o *ring) {
	r.advance(now, window)
	o.advance(now, window)
	for i := range r.buckets {
		r.buckets[i] += o.buckets[i]
	}
}

// addSince adds events that happened within a time before now, evenly, so that their rate is not that of a
// burst. It is at most the time by which events stay longer than a window.
func (r *ring) addSince(now time.Time, window, gap time.Duration, n uint64) {
	r.advance(now, window)
	buckets := 1 + min(gap/(window/windowBuckets), ringBuckets-windowBuckets)
	for i := range int64(buckets) {
		left := buckets - time.Duration(i)
		part := (n + uint64(left) - 1) / uint64(left)                 //nolint:gosec // positive
		r.buckets[(r.head-i)%ringBuckets] += uint32(min(part, 1<<30)) //nolint:gosec // bounded
		n -= part
	}
}

// addRecent adds events of the window whose times are not known, evenly over its newer three quarters. If all
// counted as new, the events of two windows would count together at the end of the window.
func (r *ring) addRecent(now time.Time, window time.Duration, n uint64) {
	r.advance(now, window)
	const buckets = windowBuckets * 3 / 4
	for i := range min(int64(buckets), r.head+1) {
		part := (n + buckets - 1 - uint64(i)) / buckets               //nolint:gosec // below buckets
		r.buckets[(r.head-i)%ringBuckets] += uint32(min(part, 1<<30)) //nolint:gosec // bounded
	}
}

// move removes up to n events, the oldest first, and adds them to another ring, if it isn't nil, at their
// times. It returns how many it has removed.
func (r *ring) move(now time.Time, window time.Duration, to *ring, n uint64) (moved uint64) {
	r.advance(now, window)
	if to != nil {
		to.advance(now, window)
	}
	for i := int64(1); i <= ringBuckets && moved < n; i++ {
		b := (r.head + i) % ringBuckets
		k := min(uint64(r.buckets[b]), n-moved)
		r.buckets[b] -= uint32(k) //nolint:gosec // not more than the bucket holds
		if to != nil {
			to.buckets[b] += uint32(k) //nolint:gosec // not more than the bucket held
		}
		moved += k
	}
	return moved
}

// sum returns the events in the window.
func (r *ring) sum(now time.Time, window time.Duration) int {
	r.advance(now, window)
	return int(r.total())
}

// within returns the events of one window at most.
func (r *ring) within(now time.Time, window time.Duration) (n int) {
	r.advance(now, window)
	return r.newest(windowBuckets)
}

// newest returns the events of the newest buckets.
func (r *ring) newest(buckets int64) (n int) {
	for i := range min(buckets, ringBuckets, r.head+1) {
		n += int(r.buckets[(r.head-i)%ringBuckets])
	}
	return n
}

// expected returns how many events may have happened that are not visible yet: those of visibleDelay at
// the greatest rate of the window. After a burst the rate of the admitted events falls to zero, while
// callers may still want as much.
func (r *ring) expected(now time.Time, window time.Duration) int {
	r.advance(now, window)
	bucket := window / windowBuckets
	return int(slices.Max(r.buckets[:])) * int((visibleDelay+bucket-1)/bucket)
}

// nextExpiry returns the time until the oldest events leave the window, or zero if it is empty.
func (r *ring) nextExpiry(now time.Time) time.Duration {
	bucket := int64(r.window / windowBuckets)
	if bucket == 0 {
		return 0
	}
	for n := r.head - ringBuckets + 1; n <= r.head; n++ {
		if n >= 0 && r.buckets[n%ringBuckets] > 0 {
			return time.Duration((n+ringBuckets)*bucket - now.UnixNano())
		}
	}
	return 0
}

func (r *ring) total() (n uint32) {
	for _, k := range r.buckets {
		n += k
	}
	return n
}
