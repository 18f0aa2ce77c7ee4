package relay_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
)

// TestStopEndsRequestsInTime guards against requests that have no answer when the instance exits:
// one that a server is executing, one that waits for a server, and one that arrives too late to be
// answered. Only the first one may have run.
func TestStopEndsRequestsInTime(t *testing.T) {
	route := gatherRoute()
	route.Idempotent, route.LeastCoverage, route.Attempts = false, 0, 1
	w := newSimulation(7, 1, route)
	stop := w.now.Add(600 * ms)
	w.eachServer(func(_ int, s *simServer) { s.mute = true })
	running := w.sendRequest()
	w.StopBy(stop)
	w.run(500 * ms)
	late := w.sendRequest()
	w.run(time.Second)
	if got, want := len(w.results), 2; got != want {
		t.Fatalf("answers: got %d, want %d", got, want)
	}
	for _, r := range w.results {
		if r.refusal != event.RefuseLeaving || r.at.After(stop) || r.retry <= 0 {
			t.Errorf("request %d: got %q at %v, retry after %v; want a refusal by %v with a time to retry", r.id, r.refusal, r.at, r.retry, stop)
		}
		switch r.id {
		case running:
			if r.outcome != event.OutcomeUnknown || !r.at.Equal(stop) {
				t.Errorf("request in progress: got outcome %q at %v, want unknown at %v", r.outcome, r.at, stop)
			}
		case late:
			if r.outcome != event.OutcomeNotRun || r.took != 0 || w.executionCount(late) != 0 {
				t.Errorf("late request: got outcome %q after %v, executed %d times; want not run, at once", r.outcome, r.took, w.executionCount(late))
			}
		}
	}
}

// TestStopAnswersWithWhatHasArrived checks that a gathering request is answered when the instance
// stops if its coverage is sufficient by then, and that requests that are served in time don't
// change.
func TestStopAnswersWithWhatHasArrived(t *testing.T) {
	w := newSimulation(8, 10, gatherRoute())
	w.runLoad(20, time.Second)
	w.StopBy(w.now.Add(300 * ms))
	served := len(w.results)
	w.eachServer(func(_ int, s *simServer) { s.mute = s.group == "g3" })
	w.sendRequest()
	w.run(time.Second)
	last := w.results[served]
	if last.refusal != "" || last.parts != 9 || last.took > 300*ms {
		t.Errorf("got refusal %q, %d parts after %v; want 9 parts within 300 ms", last.refusal, last.parts, last.took)
	}
}
