package engine_test

import (
	"fmt"
	"testing"
	"time"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// TestRequestRunsOnceAlthoughStoreLostItsClaim checks that a non-idempotent request that is sent
// again runs once when the store was restored from a copy that is older than its claim.
//
// The failure it guards against: the store no longer held the claim, and granted another one.
func TestRequestRunsOnceAlthoughStoreLostItsClaim(t *testing.T) {
	t.Parallel()
	const key = "order-1"
	tests := []struct {
		name string
		// restore restores the store after the request was answered.
		restore func(w *simulation)
		// wait is the time from then until the request is sent again.
		wait time.Duration
	}{
		{"sent again at once", func(w *simulation) { w.store.restore(9 * time.Second) }, 0},
		{"sent again after 100 ms", func(w *simulation) { w.store.restore(9 * time.Second) }, 100 * time.Millisecond},
		{"sent again after 1 s", func(w *simulation) { w.store.restore(9 * time.Second) }, time.Second},
		{"sent again after 10 s", func(w *simulation) { w.store.restore(9 * time.Second) }, 10 * time.Second},
		{"sent again after a minute", func(w *simulation) { w.store.restore(9 * time.Second) }, time.Minute},
		{"restored twice", func(w *simulation) {
			w.store.restore(9 * time.Second)
			w.advance(2 * time.Second)
			w.store.restore(8 * time.Second)
		}, 8 * time.Second},
		{"the store is away for a moment", func(w *simulation) {
			w.store.down = true
			w.advance(2 * time.Second)
			w.store.restore(9 * time.Second)
			w.store.down = false
		}, 0},
		{"the claimant is cut off from the store for some time", func(w *simulation) {
			w.nodes[0].cutStore = true
			w.store.restore(9 * time.Second)
			w.advance(3 * time.Second)
			w.nodes[0].cutStore = false
		}, 4 * time.Second},
		{"the claimant stands still for some time", func(w *simulation) {
			w.nodes[0].suspend(3 * time.Second)
			w.store.restore(9 * time.Second)
		}, 7 * time.Second},
		{"the claimant stands still for long", func(w *simulation) {
			w.nodes[0].suspend(30 * time.Second)
			w.store.restore(9 * time.Second)
		}, 10 * time.Second},
		{"the claimant is cut off from the store for long", func(w *simulation) {
			w.nodes[0].cutStore = true
			w.store.restore(9 * time.Second)
		}, 10 * time.Second},
		{"the claimant is killed", func(w *simulation) {
			w.nodes[0].kill()
			w.store.restore(9 * time.Second)
		}, 10 * time.Second},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(5, testConfig(2), 4)
			w.store.era = 1
			w.warmUp(t)
			w.advance(5 * time.Second)
			w.nodes[1].call(order("earlier"))
			w.advance(5 * time.Second)
			first := w.nodes[0].call(order(key))
			w.advance(time.Second)
			test.restore(w)
			w.advance(test.wait)
			var resent []*call
			for _, n := range w.nodes[1:] {
				resent = append(resent, n.call(order(key)))
			}
			w.advance(12 * time.Second)
			last := w.nodes[1].call(order(key))
			other := w.nodes[1].call(order("another"))
			w.finish(t)
			if got := w.runsByKey[key]; got != 1 {
				t.Errorf("runs: got %d, want 1", got)
			}
			if got, want := outcomeOf(first), event.Outcome("ran"); got != want {
				t.Errorf("first: got %q (%+v), want %q", got, first.refusal, want)
			}
			for _, c := range append(resent, last) {
				if got := outcomeOf(c); got == "no reply" {
					t.Errorf("sent again at %v: got no reply", c.at.Sub(w.start))
				}
			}
			if got, want := outcomeOf(last), event.Outcome("ran"); got != want {
				t.Errorf("sent again in the end: got %q (%+v), want %q, as it ran before", got, last.refusal, want)
			}
			if got, want := outcomeOf(other), event.Outcome("ran"); got != want {
				t.Errorf("another request in the end: got %q (%+v), want %q", got, other.refusal, want)
			}
		})
	}
}

// TestConditionalWriteOfEarlierEraLosesNoClaim checks that claims survive a write that was
// conditional on a revision of an earlier era, which the restored store had given out again.
func TestConditionalWriteOfEarlierEraLosesNoClaim(t *testing.T) {
	t.Parallel()
	for seed := uint64(1); seed <= 20; seed++ {
		w := newSimulation(seed, testConfig(2), 4)
		w.store.era = 1
		w.warmUp(t)
		w.advance(5 * time.Second)
		for i := range 40 {
			w.nodes[w.random.IntN(4)].call(order(fmt.Sprintf("order-%d", i%8)))
			if i == 20 {
				w.store.effectDelay, w.store.loseReplies = 700*time.Millisecond, 2
			}
			if i == 22 || i == 30 {
				w.store.restore(time.Duration(w.random.IntN(9000)) * time.Millisecond)
			}
			w.advance(time.Duration(w.random.IntN(400)) * time.Millisecond)
		}
		w.advance(10 * time.Second)
		for i := range 8 {
			w.nodes[w.random.IntN(4)].call(order(fmt.Sprintf("order-%d", i)))
		}
		w.finish(t)
		for key, runs := range w.runsByKey {
			if runs > 1 {
				t.Errorf("seed %d, %s: got %d runs, want at most 1", seed, key, runs)
			}
		}
	}
}

// TestLateStoreReplyOfEarlierEraGrantsNothing checks that a reply of the store that names an
// earlier era, or none, is taken for no answer.
func TestLateStoreReplyOfEarlierEraGrantsNothing(t *testing.T) {
	t.Parallel()
	for _, era := range []uint64{0, 1} {
		w := newSimulation(6, testConfig(2), 2)
		w.store.era = 3
		w.warmUp(t)
		w.advance(6 * time.Second)
		w.store.era = era
		c := w.nodes[0].call(order("late"))
		w.advance(2 * time.Second)
		if got, want := outcomeOf(c), event.Outcome("not-run"); got != want || w.runsByKey["late"] != 0 {
			t.Errorf("reply of era %d after era 3: got %q and %d runs, want %q and 0", era, got, w.runsByKey["late"], want)
		}
	}
}

// TestAcceptedConfigurationReturnsToRestoredStore checks that the instances write the accepted
// configuration to a store that has lost it, so that an instance that starts later, and an
// operator's next change, are based on it.
//
// The failure it guards against: an accepted change was in force on the instances that ran when the
// store lost it, and on no other one.
func TestAcceptedConfigurationReturnsToRestoredStore(t *testing.T) {
	t.Parallel()
	for _, lost := range []string{"the last change", "all changes"} {
		w := newSimulation(7, testConfig(2), 4)
		w.store.era = 1
		w.warmUp(t)
		w.advance(5 * time.Second)
		w.setDataCentreState("dc1", model.DataCentreOut)
		w.advance(2 * time.Second)
		age := 3 * time.Second
		if lost == "all changes" {
			age = time.Hour
		}
		w.store.restore(age)
		w.advance(propagationLimit)
		root, err := conf.ParseRoot(w.store.values[conf.RootKey].data)
		if err != nil || root.Version != 2 {
			t.Errorf("%s lost: root in the store: got version %d, %v; want 2", lost, root.Version, err)
			continue
		}
		for _, d := range root.Digests() {
			if w.store.values[conf.PartPrefix+string(d)].revision == 0 {
				t.Errorf("%s lost: part %s: got none in the store", lost, d)
			}
		}
		for _, n := range w.nodes {
			n.kill()
		}
		w.addNode("late")
		w.advance(propagationLimit)
		if got, want := w.node("late").engine.Config().Version, uint64(2); got != want {
			t.Errorf("%s lost: version of an instance that started later: got %d, want %d", lost, got, want)
		}
	}
}

// TestVersionAcceptedAgainIsInForce checks that a change which an operator made right after a
// restoration, under the version and the revision that the store had lost, is in force everywhere,
// also on an instance that can't reach the store.
func TestVersionAcceptedAgainIsInForce(t *testing.T) {
	t.Parallel()
	for _, cut := range []bool{false, true} {
		w := newSimulation(8, testConfig(2), 4)
		w.store.era = 1
		w.warmUp(t)
		w.advance(5 * time.Second)
		before := w.config
		w.setDataCentreState("dc1", model.DataCentreOut)
		w.advance(2 * time.Second)
		w.nodes[2].cutStore = cut
		w.store.restore(3 * time.Second)
		w.config = before
		w.setDataCentreState("dc0", model.DataCentreOut)
		w.advance(propagationLimit)
		for _, n := range w.nodes {
			c := n.engine.Config()
			for _, d := range c.DataCentres {
				if want := d.Name == "dc0"; (d.State == model.DataCentreOut) != want {
					t.Errorf("cut %t: %s: data centre %s in version %d, change %q: got %v, want out %t", cut, n.id, d.Name, c.Version, c.Change, d.State, want)
				}
			}
		}
	}
}
