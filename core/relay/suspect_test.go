package relay_test

import (
	"slices"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// TestLoadCrashingRequest: a request that crashes each server that begins to run it comes
// again and again, among others. It costs each group two servers at most; then it is
// refused as not run, and the others are answered.
func TestCrashingRequestIsCondemned(t *testing.T) {
	const crashing = 7
	for seed := uint64(20); seed < 30; seed++ {
		w := newSimulation(seed, 10, gatherRoute())
		w.crashing = crashing
		w.sendLoad(45, 2*time.Second)
		bad := map[event.QueryID]int{}
		for n := range 30 {
			bad[w.sendWithFingerprint(crashing)] = n
			w.sendLoad(45, 300*ms)
		}
		w.run(3 * time.Second)
		crashes := map[string]int{}
		total := 0
		w.eachServer(func(_ int, s *simServer) {
			crashes[s.group] += s.crashes
			total += s.crashes
		})
		for group, n := range crashes {
			if n > 2 {
				t.Errorf("seed %d, crashes in group %s: got %d, want 2 at most", seed, group, n)
			}
		}
		if got, want := total, 10+3; got > want {
			t.Errorf("seed %d, crashes: got %d, want %d at most: one for each group, and three trials", seed, got, want)
		}
		for _, r := range w.results {
			n, crashes := bad[r.id]
			switch {
			case !crashes && r.refusal != "":
				t.Errorf("seed %d, request %d beside it: refused, %s", seed, r.id, r.refusal)
			case crashes && n >= 5 && (r.refusal != event.RefusePoison || r.outcome != event.OutcomeNotRun || w.runCount(r.id) > 0):
				t.Errorf("seed %d, number %d of the requests: got %q, %q with %d runs, want a refusal as not run", seed, n, r.refusal, r.outcome, w.runCount(r.id))
			}
		}
		var condemned []model.Fingerprint
		for _, update := range w.suspicions {
			if update.State == event.SuspicionCondemned {
				condemned = append(condemned, update.Fingerprint)
			}
		}
		if want := []model.Fingerprint{crashing}; !slices.Equal(condemned, want) {
			t.Errorf("seed %d, condemned, as the peers were told: got %v, want %v", seed, condemned, want)
		}
	}
}

// TestLoadCrashesCondemnNoBystander: servers crash by themselves, two at a moment in each
// 400 ms, with many requests of only five kinds in flight. None of these is condemned.
func TestBystandersOfCrashesAreNotCondemned(t *testing.T) {
	for seed := uint64(21); seed < 26; seed++ {
		w := newSimulation(seed, 10, gatherRoute())
		var all []*simServer
		w.eachServer(func(_ int, s *simServer) { all = append(all, s) })
		for n := range 40 {
			for range 2 {
				s := all[w.rand.IntN(len(all))]
				w.at(w.now.Add(time.Duration(w.rand.IntN(400))*ms), func() { w.crash(s) })
			}
			for range 10 {
				w.sendWithFingerprint(model.Fingerprint(1 + (n+w.rand.IntN(3))%5))
				w.run(40 * ms)
			}
		}
		w.run(3 * time.Second)
		if w.Counters.Suspected == 0 {
			t.Errorf("seed %d: nothing was suspected", seed)
		}
		if got := w.Counters.Condemned + w.Counters.RefusedPoison; got != 0 {
			t.Errorf("seed %d: got %d condemned and %d refused, want none", seed, w.Counters.Condemned, w.Counters.RefusedPoison)
		}
	}
}

// TestBrokenConnectionsAreNoCrash: connections break, but no server refuses new ones:
// nothing is suspected.
func TestBrokenConnectionsRaiseNoSuspicion(t *testing.T) {
	w := newSimulation(27, 10, gatherRoute())
	w.eachServer(func(i int, s *simServer) { s.lossy = i%3 == 0 })
	for range 200 {
		w.sendWithFingerprint(1)
		w.run(20 * ms)
	}
	if got := w.Counters.EndedDied; got == 0 {
		t.Error("no exchange broke off")
	}
	if got := w.Counters.Suspected; got != 0 {
		t.Errorf("suspected: got %d, want none", got)
	}
}
