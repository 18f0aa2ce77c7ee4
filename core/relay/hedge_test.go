package relay_test

import (
	"testing"
	"time"
)

// TestInstanceWithBusyLinkHedgesFewLegs guards against instances that hedge all legs of their requests when they
// are late themselves: what they send waits for their link, so that all servers seem late, and the hedges wait
// behind it. Some hedges are needed to find out.
func TestInstanceWithBusyLinkHedgesFewLegs(t *testing.T) {
	w := newSimulation(1, 36, gatherRoute())
	w.runLoad(20, 5*time.Second)
	before := w.Counters.AttemptsHedge
	w.linkFreeAt = w.now.Add(600 * ms)
	const requests = 5
	w.runLoad(requests/0.5, 500*ms)
	w.run(2 * time.Second)
	w.checkInvariants(t)
	// The part of their requests that instances may repeat.
	if got, most := w.Counters.AttemptsHedge-before, uint64(0.2*36*requests); got > most {
		t.Errorf("hedges of %d legs: got %d, want at most %d", 36*requests, got, most)
	}
}

// TestLostDataCentreIsBypassed guards against limits on hedges that leave callers to a data centre that no longer
// answers: all legs of the first requests went there.
func TestLostDataCentreIsBypassed(t *testing.T) {
	w := newSimulation(1, 36, gatherRoute())
	w.runLoad(20, 5*time.Second)
	first := len(w.results)
	w.eachServer(func(_ int, s *simServer) { s.mute = s.dataCentre == "dc0" })
	w.runLoad(20, 2*time.Second)
	w.run(2 * time.Second)
	w.checkInvariants(t)
	late := 0
	for _, r := range w.results[first:] {
		if r.parts < 33 || r.took > gatherRoute().Target {
			late++
		}
	}
	if got := len(w.results) - first; got == 0 || late > 0 {
		t.Errorf("got %d answers, %d of them late or incomplete, want some and none", got, late)
	}
}
