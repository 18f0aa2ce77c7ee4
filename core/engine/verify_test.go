package engine_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// TestOldStatusDoesNotVerifyServer checks that a server gets no work after it has closed
// its connections, until a status that was requested afterwards shows its boot. A status
// that was requested before and arrives later may show the state before the restart.
func TestOldStatusDoesNotVerifyServer(t *testing.T) {
	w := newSimulation(1, testConfig(1), 1)
	w.warmUp(t)
	n := w.nodes[0]
	s := w.servers["s0-0"]
	for _, other := range []model.ServerID{"s0-1", "s0-2"} {
		w.servers[other].rebootDelay = time.Hour
		w.servers[other].crash()
	}
	w.advance(2 * time.Second)
	old := event.StatusPolled{Server: s.ID, Reached: true, Report: s.report(), AskedAt: w.now}
	w.advance(time.Millisecond)
	// Only the events below show the restart.
	s.boot++
	s.warmth = 0
	events := []event.Event{event.ConnectionLost{Address: s.Address}, old}
	n.engine.Tick(w.now, events)
	commands, _ := n.engine.Tick(w.now, []event.Event{
		event.QueryArrived{Query: 1 << 20, Request: lookup()},
		event.QueryArrived{Query: 1<<20 + 1, Request: lookup()},
		event.QueryArrived{Query: 1<<20 + 2, Request: lookup()},
		event.QueryArrived{Query: 1<<20 + 3, Request: lookup()},
	})
	for _, c := range commands {
		if a, ok := c.(event.SendAttempt); ok && a.Server == s.ID {
			t.Errorf("got an attempt for %s, want none before its boot is verified", s.ID)
		}
	}
}
