package relay_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

// startingSimulation returns a simulation whose instance has no directory yet, and a function
// that loads it.
func startingSimulation() (w *simulation, load func()) {
	w = newSimulation(6, 10, gatherRoute())
	table, version := w.Table(), w.Table().Version
	changes := w.Servers.AllEntries(w.now)
	w.Servers = roster.New()
	w.Init()
	load = func() {
		again := *table
		again.Version = version
		w.Configure(&again)
		w.Servers.Apply(w.now, event.DirectoryRead{Changes: changes, Full: true})
		w.DirectoryChanged(w.now)
	}
	return w, load
}

// TestRequestsWaitForTheDirectoryAfterTotalStop checks that requests that arrive while all
// instances have just started are answered once the directory arrives 300 ms later: their
// callers would find no other instance that can serve them.
func TestRequestsWaitForTheDirectoryAfterTotalStop(t *testing.T) {
	w, load := startingSimulation()
	w.sendLoad(45, 300*ms)
	load()
	w.run(time.Second)
	if len(w.results) != int(w.lastID) {
		t.Errorf("answers: got %d, want %d, one for each request", len(w.results), w.lastID)
	}
	for _, r := range w.results {
		// Their target has passed, so that the least coverage is sufficient.
		if r.refusal != "" || r.parts < 9 {
			t.Errorf("request %d: got refusal %q and %d parts, want an answer of 9 parts or more", r.id, r.refusal, r.parts)
		}
	}
}

// TestRequestsDontWaitForSilentDirectory checks that requests are refused as not run when the
// directory doesn't arrive in time, at once when it is known not to answer, and that the
// request of a caller that has left isn't answered.
func TestRequestsDontWaitForSilentDirectory(t *testing.T) {
	w, load := startingSimulation()
	w.sendRequest()
	w.run(time.Second)
	w.sendRequest()
	w.run(100 * ms)
	w.DirectoryFailed(w.now)
	w.sendRequest()
	w.run(10 * ms)
	want := []time.Duration{500 * ms, 100 * ms, 0}
	for i, r := range w.results {
		if r.refusal != event.RefuseNotReady || r.outcome != event.OutcomeNotRun || r.retry <= 0 || r.took != want[i] {
			t.Errorf("request %d: got %q, %q after %v, retry after %v; want a refusal as not run after %v", r.id, r.refusal, r.outcome, r.took, r.retry, want[i])
		}
	}
	load()
	w.Servers = roster.New()
	w.Configure(&model.RoutingTable{Version: 5})
	left := w.sendRequest()
	w.Abandon(w.now, left)
	w.run(time.Second)
	if got, want := len(w.results), 3; got != want || w.InFlight() != 0 {
		t.Errorf("answers: got %d and %d in flight, want %d and none", got, w.InFlight(), want)
	}
}

// TestRequestsWaitForServersThatRegisterAgain checks that requests are answered that arrive right
// after a total stop in which the entries of servers lapsed: two of ten groups register 300 ms
// after the directory was loaded, and nine are required. Two seconds after the load a group
// without servers is no longer waited for.
func TestRequestsWaitForServersThatRegisterAgain(t *testing.T) {
	w, load := startingSimulation()
	load()
	var lapsed, again []event.DirectoryChange
	for _, c := range w.Servers.AllEntries(w.now) {
		if g := c.Server.Group; g == "g0" || g == "g1" {
			lapsed, again = append(lapsed, event.DirectoryChange{Key: c.Key}), append(again, c)
		}
	}
	w.Servers.Apply(w.now, event.DirectoryRead{Changes: lapsed})
	w.sendLoad(45, 300*ms)
	w.Servers.Apply(w.now, event.DirectoryRead{Changes: again})
	w.DirectoryChanged(w.now)
	w.run(time.Second)
	for _, r := range w.results {
		if r.refusal != "" || r.parts < 9 {
			t.Errorf("request %d: got refusal %q and %d parts, want an answer of 9 parts or more", r.id, r.refusal, r.parts)
		}
	}
	w.run(time.Second)
	w.Servers.Apply(w.now, event.DirectoryRead{Changes: lapsed})
	w.results = nil
	w.sendRequest()
	if len(w.results) != 1 || w.results[0].refusal != event.RefuseNoReplica || w.results[0].outcome != event.OutcomeNotRun {
		t.Errorf("request 2s after the load: got %+v, want a refusal as not run at once", w.results)
	}
}
