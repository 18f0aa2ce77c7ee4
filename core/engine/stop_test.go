package engine_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
)

// TestStopEndsQueriesInTime guards against queries of declared services that have no answer when the
// instance exits: each one is answered or refused by then, and one that can't be answered in time is
// refused as not run.
func TestStopEndsQueriesInTime(t *testing.T) {
	t.Parallel()
	w := newSimulation(3, testConfig(2), 2)
	w.warmUp(t)
	n := w.nodes[0]
	w.forEachServer(func(s *fakeServer) { s.extraTime = 10 * time.Second })
	stop := w.now.Add(120 * time.Millisecond)
	search, write := n.call(lookup()), n.call(order("order-1"))
	w.advance(20 * time.Millisecond)
	n.enqueue(event.ShutdownBegun{AnswerBy: stop})
	w.advance(stop.Sub(w.now) - time.Millisecond)
	late := n.call(lookup())
	w.advance(10 * time.Millisecond)
	for name, c := range map[string]*call{"search": search, "order": write, "late": late} {
		if c.answer == nil && c.refusal == nil {
			t.Errorf("%s: got no answer by the time at which the instance stops", name)
		}
	}
	if got, want := outcomeOf(late), event.OutcomeNotRun; got != want {
		t.Errorf("query that came too late: got outcome %q, want %q", got, want)
	}
	if got, want := outcomeOf(write), event.OutcomeUnknown; got != want {
		t.Errorf("order in progress: got outcome %q, want %q", got, want)
	}
}
