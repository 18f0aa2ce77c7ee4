package member_test

import (
	"testing"
	"time"

	"hyssoppitch/core/member"
	"hyssoppitch/core/model"
)

// TestRoundTripIncludesUnansweredPings guards against estimates that hold the last measured time while
// messages wait: none is answered then that would show it.
func TestRoundTripIncludesUnansweredPings(t *testing.T) {
	const ms = time.Millisecond
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	at := start.Add
	v := member.New(start, model.Instance{ID: "a", Incarnation: 1})
	check := func(now, want time.Duration) {
		t.Helper()
		if got := v.RoundTrip(at(now)); got != want {
			t.Errorf("at %v: got %v, want %v", now, got, want)
		}
	}
	v.RecordPing(at(0))
	check(500*ms, 0)
	v.Link(at(500*ms), model.Instance{ID: "b", Incarnation: 1})
	v.Link(at(500*ms), model.Instance{ID: "c", Incarnation: 1})
	v.RecordPing(at(500 * ms))
	v.RecordPong(at(503*ms), "b", at(500*ms))
	v.RecordPong(at(520*ms), "c", at(500*ms))
	check(900*ms, 3*ms)
	v.RecordPing(at(1000 * ms))
	check(1002*ms, 3*ms)
	check(1400*ms, 400*ms)
	v.RecordPing(at(1500 * ms))
	check(1550*ms, 550*ms)
	v.RecordPong(at(1600*ms), "b", at(1000*ms))
	check(1650*ms, 600*ms)
	v.RecordPong(at(1700*ms), "c", at(1500*ms))
	check(1800*ms, 200*ms)
	v.RecordPong(at(1900*ms), "c", at(1000*ms))
	check(1900*ms, 200*ms)
	v.Unlink(at(1900*ms), "b")
	v.Unlink(at(1900*ms), "c")
	v.RecordPing(at(2000 * ms))
	check(2400*ms, 0)
}
