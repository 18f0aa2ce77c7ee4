package engine_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
)

// TestDeadlineRunsFromFirstByte guards against deadlines that begin when the engine handles a request: its
// server got the time as well that the request had waited before.
func TestDeadlineRunsFromFirstByte(t *testing.T) {
	const timeout, waited = 200 * time.Millisecond, 120 * time.Millisecond
	w := newSimulation(1, testConfig(1), 1)
	w.warmUp(t)
	request := func(query event.QueryID, waited time.Duration) []event.Command {
		r := lookup()
		r.Timeout, r.ReceivedAt = timeout, w.now.Add(-waited)
		commands, _ := w.nodes[0].engine.Tick(w.now, []event.Event{event.QueryArrived{Query: query, Request: r}})
		return commands
	}
	sent := 0
	for _, c := range request(1<<20, waited) {
		if a, ok := c.(event.SendAttempt); ok {
			sent++
			if got, most := a.Deadline.Sub(w.now), timeout-waited; got > most {
				t.Errorf("time of an attempt: got %v, want at most %v", got, most)
			}
		}
	}
	if sent == 0 {
		t.Error("no attempt was sent")
	}
	for _, c := range request(1<<20+1, timeout) {
		if a, ok := c.(event.SendAttempt); ok {
			t.Errorf("an attempt went to %s when no time was left", a.Server)
		}
	}
}
