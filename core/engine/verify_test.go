package engine_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// TestOldStatusVerifiesNothing checks the order in which a restart can show: the
// server closes its connections, and only then arrive a status and a failed read
// that were asked for before. The server must get no work until a status that was
// asked for afterwards shows its boot.
func TestOldStatusVerifiesNothing(t *testing.T) {
	w := newWorld(1, testConfig(1), 1)
	w.warmUp(t)
	n := w.nodes[0]
	s := w.servers["s0-0"]
	for _, other := range []model.ServerID{"s0-1", "s0-2"} {
		w.servers[other].rebootIn = time.Hour
		w.servers[other].crash()
	}
	w.run(2 * time.Second)
	old := event.StatusPolled{Server: s.ID, Reached: true, Report: s.report(), AskedAt: w.now}
	w.run(time.Millisecond)
	// Only the events below tell of the restart.
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
			t.Errorf("got an attempt for %s, want none before its boot is known", s.ID)
		}
	}
}
