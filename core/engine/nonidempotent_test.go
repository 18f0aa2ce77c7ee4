package engine_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// outcomeOf returns the outcome that the caller of a request received.
func outcomeOf(c *call) event.Outcome {
	switch {
	case c.answer != nil:
		return event.OutcomeRan
	case c.refusal != nil:
		return c.refusal.Outcome
	case c.lost:
		return "no reply"
	default:
		return "none"
	}
}

// forEachServer calls do for every server.
func (w *simulation) forEachServer(do func(*fakeServer)) {
	for _, id := range w.ids {
		do(w.servers[id])
	}
}

// TestNonIdempotentRunsAtMostOnce injects a fault before or during a non-idempotent
// request, then sends the request again through another instance. It checks the number
// of runs and the outcomes of both requests.
func TestNonIdempotentRunsAtMostOnce(t *testing.T) {
	t.Parallel()
	const key = "order-1"
	tests := []struct {
		name string
		// fault is called before the request is sent to node 0.
		fault func(w *simulation)
		// during is called right after the request was sent.
		during func(w *simulation)
		// wait is the time before the request is sent again, at least 2.5 s.
		wait time.Duration
		// first is the outcome of the request, and resent that of the same request sent
		// later through node 1.
		first  event.Outcome
		resent event.Outcome
		runs   int
	}{
		{name: "no fault", first: "ran", resent: "ran", runs: 1},
		{
			name:  "the reply of the server is lost",
			fault: func(w *simulation) { w.forEachServer(func(s *fakeServer) { s.loseReplies = 1 }) },
			first: "unknown", resent: "unknown", runs: 1,
		},
		{
			name:  "the reply of the server is corrupt",
			fault: func(w *simulation) { w.forEachServer(func(s *fakeServer) { s.corruptReplies = 1 }) },
			first: "unknown", resent: "unknown", runs: 1,
		},
		{
			name:  "the store is down",
			fault: func(w *simulation) { w.store.down = true },
			during: func(w *simulation) {
				w.advance(time.Second)
				w.store.down = false
			},
			first: "not-run", resent: "ran", runs: 1,
		},
		{
			name:  "the store is too slow",
			fault: func(w *simulation) { w.store.delay = 500 * time.Millisecond },
			during: func(w *simulation) {
				w.advance(time.Second)
				w.store.delay = 0
			},
			first: "not-run", resent: "ran", runs: 1,
		},
		{
			name:  "the store is slow but in time",
			fault: func(w *simulation) { w.store.delay = 50 * time.Millisecond },
			first: "ran", resent: "ran", runs: 1,
		},
		{
			name:  "the reply of the claim's write is lost",
			fault: func(w *simulation) { w.store.loseReplies = 1 },
			first: "ran", resent: "ran", runs: 1,
		},
		{
			name: "the claim's write takes effect after the call timed out",
			fault: func(w *simulation) {
				w.store.loseReplies = 1
				w.store.effectDelay = 900 * time.Millisecond
			},
			first: "ran", resent: "ran", runs: 1,
		},
		{
			name:  "the claim takes effect, its reply is lost and the store goes down",
			fault: func(w *simulation) { w.store.loseReplies = 1 },
			during: func(w *simulation) {
				w.advance(100 * time.Millisecond)
				w.store.down = true
				w.advance(time.Second)
				w.store.down = false
			},
			first: "not-run", resent: "ran", runs: 1,
		},
		{
			name:   "the instance is killed while the server runs the request",
			during: func(w *simulation) { w.advance(9 * time.Millisecond); w.nodes[0].kill() },
			first:  "no reply", resent: "unknown", runs: 1,
		},
		{
			name:   "the instance is killed between claim and send",
			during: func(w *simulation) { w.advance(3 * time.Millisecond); w.nodes[0].kill() },
			first:  "no reply", resent: "unknown", runs: 0,
		},
		{
			name:   "the instance is suspended between claim and send",
			during: func(w *simulation) { w.advance(3 * time.Millisecond); w.nodes[0].suspend(10 * time.Second) },
			wait:   12 * time.Second,
			first:  "not-run", resent: "ran", runs: 1,
		},
		{
			name:   "the instance is suspended while the server runs the request",
			during: func(w *simulation) { w.advance(9 * time.Millisecond); w.nodes[0].suspend(10 * time.Second) },
			wait:   12 * time.Second,
			// The reply waits in the socket and is read when the instance resumes.
			first: "ran", resent: "ran", runs: 1,
		},
		{
			name:  "every server drains",
			fault: func(w *simulation) { w.forEachServer(func(s *fakeServer) { s.draining = true }) },
			first: "not-run", resent: "not-run", runs: 0,
		},
		{
			name: "every server crashes during the request",
			during: func(w *simulation) {
				w.advance(9 * time.Millisecond)
				w.forEachServer(func(s *fakeServer) { s.crash() })
			},
			wait:  3 * time.Second,
			first: "unknown", resent: "unknown", runs: 1,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(3, testConfig(2), 4)
			w.warmUp(t)
			if test.fault != nil {
				test.fault(w)
			}
			first := w.nodes[0].call(order(key))
			if test.during != nil {
				test.during(w)
			}
			w.advance(max(test.wait, 2500*time.Millisecond))
			resent := w.nodes[1].call(order(key))
			w.finish(t)
			if got := outcomeOf(first); got != test.first {
				t.Errorf("first: got %q (%+v), want %q", got, first.refusal, test.first)
			}
			if got := outcomeOf(resent); got != test.resent {
				t.Errorf("resent: got %q (%+v), want %q", got, resent.refusal, test.resent)
			}
			if got := w.runsByKey[key]; got != test.runs {
				t.Errorf("runs: got %d, want %d", got, test.runs)
			}
		})
	}
}

// TestConcurrentRequestsWithOneKeyRunOnce checks that a non-idempotent request runs once
// when it is sent twice to every instance at the same time.
func TestConcurrentRequestsWithOneKeyRunOnce(t *testing.T) {
	t.Parallel()
	for seed := range uint64(20) {
		w := newSimulation(seed, testConfig(2), 4)
		w.warmUp(t)
		for _, n := range w.nodes {
			n.call(order("order-1"))
			n.call(order("order-1"))
		}
		w.finish(t)
		if got := w.runsByKey["order-1"]; got != 1 {
			t.Errorf("seed %d: runs: got %d, want 1", seed, got)
		}
	}
}

// TestKeyReusedWithAnotherBodyIsRefused checks that an idempotency key is not accepted for
// another request.
func TestKeyReusedWithAnotherBodyIsRefused(t *testing.T) {
	t.Parallel()
	w := newSimulation(1, testConfig(2), 2)
	w.warmUp(t)
	w.nodes[0].call(order("order-1"))
	w.advance(time.Second)
	other := order("order-1")
	other.Body = []byte("another")
	c := w.nodes[1].call(other)
	w.finish(t)
	if c.refusal == nil || c.refusal.Code != event.RefuseKeyReused || c.refusal.Outcome != event.OutcomeNotRun {
		t.Errorf("got %+v, want a refusal %s as not run", c.refusal, event.RefuseKeyReused)
	}
}

// TestNotRunRefusalsAreTrue provokes each refusal with the outcome "not-run" and checks
// that no server ran a part of the request.
func TestNotRunRefusalsAreTrue(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name    string
		request event.Request
		fault   func(w *simulation)
		code    event.RefusalCode
	}{
		{name: "unknown service", request: event.Request{Service: "nothing"}, code: event.RefuseUnknownService},
		{name: "unknown class", request: event.Request{Service: "desk", Class: "nothing"}, code: event.RefuseUnknownClass},
		{name: "no idempotency key", request: event.Request{Service: "desk", Class: "order", Key: "k"}, code: event.RefuseBadRequest},
		{name: "no routing key", request: event.Request{Service: "desk", Class: "order", IdempotencyKey: "k"}, code: event.RefuseBadRequest},
		{name: "deadline too short", request: event.Request{Service: "desk", Timeout: time.Millisecond}, code: event.RefuseDeadline},
		{
			name: "every data centre is out", request: lookup(), code: event.RefuseNoReplica,
			fault: func(w *simulation) {
				for _, d := range []string{"dc0", "dc1", "dc2"} {
					w.setDataCentreState(d, model.DataCentreOut)
				}
				w.advance(2 * time.Second)
			},
		},
		{
			name: "every server drains", request: lookup(), code: event.RefuseNoReplica,
			fault: func(w *simulation) {
				w.forEachServer(func(s *fakeServer) { s.draining = true })
				w.advance(2 * time.Second)
			},
		},
		{
			name: "the store is down", request: order("o"), code: event.RefuseStoreDown,
			fault: func(w *simulation) { w.store.down = true },
		},
		{
			name: "cut off from store and peers", request: lookup(), code: event.RefuseNotReady,
			fault: func(w *simulation) {
				w.nodes[0].cutStore = true
				w.nodes[0].setCutPeers(true)
				w.advance(5 * time.Second)
			},
		},
		{
			name: "leaving, and cut off from store and peers", request: lookup(), code: event.RefuseNotReady,
			fault: func(w *simulation) {
				w.nodes[0].enqueue(event.ShutdownBegun{})
				w.nodes[0].cutStore = true
				w.nodes[0].setCutPeers(true)
				w.advance(5 * time.Second)
			},
		},
		{
			name: "overload", request: lookup(), code: event.RefuseOverload,
			fault: func(w *simulation) {
				for range 500 {
					w.nodes[0].call(lookup())
				}
			},
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(5, testConfig(2), 3)
			w.warmUp(t)
			if test.fault != nil {
				test.fault(w)
			}
			c := w.nodes[0].call(test.request)
			w.finish(t)
			if c.refusal == nil || c.refusal.Code != test.code || c.refusal.Outcome != event.OutcomeNotRun {
				t.Fatalf("got %+v %+v, want a refusal %q as not run", c.answer, c.refusal, test.code)
			}
			if w.startedQueries[c.query] {
				t.Errorf("a server ran a part of the refused request")
			}
		})
	}
}
