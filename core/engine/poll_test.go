package engine_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
)

// TestRepliesReducePolling checks that the status of servers under load is read less
// often than that of idle ones, since their replies carry the same report.
func TestRepliesReducePolling(t *testing.T) {
	w := newSimulation(1, testConfig(3), 4)
	w.warmUp(t)
	polls := 0
	w.onCommand = func(_ *node, c event.Command) {
		if _, ok := c.(event.PollStatus); ok {
			polls++
		}
	}
	w.advance(10 * time.Second)
	idle := polls
	polls = 0
	w.runLoad(10 * time.Second)
	t.Logf("polls in 10 s: %d idle, %d under load", idle, polls)
	if polls > idle*2/3 {
		t.Errorf("polls under load: got %d, want at most two thirds of %d", polls, idle)
	}
}
