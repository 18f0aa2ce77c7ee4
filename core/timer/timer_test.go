package timer_test

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssoppitch/core/timer"
)

// TestQueueOrder checks that values are popped by due time, and those with equal due times in
// the order in which they were set.
func TestQueueOrder(t *testing.T) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rapid.Check(t, func(t *rapid.T) {
		type entry struct{ at, order int }
		var q timer.Queue[entry]
		var want []entry
		for i, at := range rapid.SliceOf(rapid.IntRange(0, 5)).Draw(t, "at") {
			want = append(want, entry{at, i})
			q.Set(start.Add(time.Duration(at)), entry{at, i})
		}
		slices.SortStableFunc(want, func(a, b entry) int { return a.at - b.at })
		now := start.Add(3)
		var got []entry
		for {
			e, ok := q.Pop(now)
			if !ok {
				break
			}
			got = append(got, e)
		}
		due := slices.DeleteFunc(slices.Clone(want), func(e entry) bool { return e.at > 3 })
		if !slices.Equal(got, due) {
			t.Fatalf("got %v, want %v", got, due)
		}
		if len(got) < len(want) {
			if got, want := q.NextDue(), start.Add(time.Duration(want[len(due)].at)); !got.Equal(want) {
				t.Fatalf("next due time: got %v, want %v", got, want)
			}
		} else if got := q.NextDue(); !got.IsZero() {
			t.Fatalf("next due time of an empty queue: got %v, want the zero time", got)
		}
	})
}
