package relay_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// TestCrashingRequestIsCondemned checks that requests that crash every server that executes them
// crash at most two servers of each group and are then refused as not run, and that other
// requests are answered in the meantime.
func TestCrashingRequestIsCondemned(t *testing.T) {
	const crashing = 7
	for seed := uint64(20); seed < 30; seed++ {
		w := newSimulation(seed, 10, gatherRoute())
		w.crashing = crashing
		w.sendLoad(45, 2*time.Second)
		crashingRequests := map[event.QueryID]int{}
		for n := range 30 {
			crashingRequests[w.sendWithFingerprint(crashing)] = n
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
				t.Errorf("seed %d, crashes in group %s: got %d, want at most 2", seed, group, n)
			}
		}
		if got, want := total, 10+3; got > want {
			t.Errorf("seed %d, crashes: got %d, want at most %d: one for each group, and three isolated attempts", seed, got, want)
		}
		for _, r := range w.results {
			n, isCrashing := crashingRequests[r.id]
			switch {
			case !isCrashing && r.refusal != "":
				t.Errorf("seed %d, request %d, which crashes no server: refused, %s", seed, r.id, r.refusal)
			case isCrashing && n >= 5 && (r.refusal != event.RefusePoison || r.outcome != event.OutcomeNotRun || w.executionCount(r.id) > 0):
				t.Errorf("seed %d, crashing request number %d: got %q, %q with %d executions, want a refusal as not run", seed, n, r.refusal, r.outcome, w.executionCount(r.id))
			}
		}
		var condemned []model.Fingerprint
		for _, update := range w.suspicions {
			if update.State == event.SuspicionCondemned {
				condemned = append(condemned, update.Fingerprint)
			}
		}
		if want := []model.Fingerprint{crashing}; !slices.Equal(condemned, want) {
			t.Errorf("seed %d, condemned fingerprints sent to the peers: got %v, want %v", seed, condemned, want)
		}
	}
}

// TestCrashingRequestWithChangingHeaderIsCondemned guards against a request that crashes servers and has
// a header of its own each time, for example of tracing, and so is never recognized. From its third
// time on it reaches no server. Requests of another caller for the same, which crash no server, are
// answered all the while.
func TestCrashingRequestWithChangingHeaderIsCondemned(t *testing.T) {
	const crashing = 7
	single := gatherRoute()
	single.LeastCoverage = 0
	for name, route := range map[string]model.Route{"gathering": gatherRoute(), "single": single} {
		for seed := uint64(40); seed < 45; seed++ {
			w := newSimulation(seed, 10, route)
			w.crashing = crashing
			w.sendLoad(45, 2*time.Second)
			crashingRequests, others := map[event.QueryID]int{}, map[event.QueryID]bool{}
			for n := range 30 {
				id := w.sendWithFingerprint(crashing, "User-Agent:desk", "Cookie:a", fmt.Sprint("Traceparent:", n))
				crashingRequests[id] = n
				w.sendLoad(45, 100*ms)
				// This caller's requests don't crash servers.
				others[w.sendLike(crashing+1, crashing, "User-Agent:desk", "Cookie:b", fmt.Sprint("Traceparent:b", n))] = true
				w.sendLoad(45, 200*ms)
			}
			w.run(3 * time.Second)
			for _, r := range w.results {
				n, isCrashing := crashingRequests[r.id]
				switch {
				case isCrashing && n >= 2 && (r.refusal != event.RefusePoison || r.outcome != event.OutcomeNotRun || w.executionCount(r.id) > 0):
					t.Errorf("%s, seed %d, crashing request number %d: got %q, %q with %d executions, want a refusal as not run", name, seed, n, r.refusal, r.outcome, w.executionCount(r.id))
				case others[r.id] && r.refusal != "":
					t.Errorf("%s, seed %d, request %d of another caller: refused, %s", name, seed, r.id, r.refusal)
				}
			}
		}
	}
}

// TestBystandersOfCrashesAreNotCondemned checks that requests that happen to be in flight when
// servers crash are not condemned. Two servers crash at random times in each 400 ms, with
// many requests of only five fingerprints in flight.
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
			t.Errorf("seed %d: no fingerprint was suspected", seed)
		}
		if got := w.Counters.Condemned + w.Counters.RefusedPoison; got != 0 {
			t.Errorf("seed %d: got %d condemned and %d refused, want none", seed, w.Counters.Condemned, w.Counters.RefusedPoison)
		}
	}
}

// TestBrokenConnectionsRaiseNoSuspicion checks that no fingerprint is suspected when
// connections break but the servers accept new ones.
func TestBrokenConnectionsRaiseNoSuspicion(t *testing.T) {
	w := newSimulation(27, 10, gatherRoute())
	w.eachServer(func(i int, s *simServer) { s.lossy = i%3 == 0 })
	for range 200 {
		w.sendWithFingerprint(1)
		w.run(20 * ms)
	}
	if got := w.Counters.EndedDied; got == 0 {
		t.Error("no connection broke")
	}
	if got := w.Counters.Suspected; got != 0 {
		t.Errorf("suspected: got %d, want none", got)
	}
}

// checkScript records the exchanges and connection checks of a system, whose results the test reports.
type checkScript struct {
	*simulation
	exchanges []event.SendExchange
	checks    []event.CheckServer
}

// newCheckScript returns a system with one server in each of two groups.
func newCheckScript() *checkScript {
	route := gatherRoute()
	route.LeastCoverage = 0.5
	s := &checkScript{simulation: newSimulation(1, 2, route)}
	s.Out = s
	for g := range 2 {
		for i := 1; i < len(dataCentres); i++ {
			s.Servers.Apply(s.now, event.DirectoryRead{Changes: []event.DirectoryChange{{Key: fmt.Sprintf("s%d-%d", g, i)}}})
		}
	}
	return s
}

// Emit implements relay.Outbox.
func (s *checkScript) Emit(c event.Command) {
	switch c := c.(type) {
	case event.SendExchange:
		s.exchanges = append(s.exchanges, c)
	case event.CheckServer:
		s.checks = append(s.checks, c)
	}
}

// breakExchange sends a request with the given fingerprint, and reports that its connection to server s0-0
// broke.
func (s *checkScript) breakExchange(f model.Fingerprint) {
	const server = "s0-0"
	s.exchanges = nil
	s.sendWithFingerprint(f)
	for _, e := range s.exchanges {
		if e.Server == server {
			s.HandleExchangeEnded(s.now, event.ExchangeEnded{Attempt: e.Attempt, Server: server, Kind: event.Died})
		}
	}
}

// suspected returns the fingerprints that were found to be suspect.
func (s *checkScript) suspected() (out []model.Fingerprint) {
	for _, update := range s.suspicions {
		if update.State == event.SuspicionRaised {
			out = append(out, update.Fingerprint)
		}
	}
	return out
}

// TestCheckOfFormerAddress guards against the result of the check of a server's former address that passes
// for that of the server's present one: a request would be taken for one that crashes servers.
func TestCheckOfFormerAddress(t *testing.T) {
	s := newCheckScript()
	s.breakExchange(1)
	s.Servers.Apply(s.now, event.DirectoryRead{Changes: []event.DirectoryChange{{Key: "s0-0", Server: &model.Registration{
		ID: "s0-0", Life: "2", Address: "new", Group: "g0", DataCentre: "dc0", Slots: 3,
	}}}})
	s.run(5 * ms)
	s.breakExchange(2)
	if len(s.checks) != 2 || s.checks[0].Address != "s0-0" || s.checks[1].Address != "new" {
		t.Fatalf("checks: got %+v, want one of each address", s.checks)
	}
	s.HandleServerChecked(s.now, event.ServerChecked{Number: s.checks[0].Number, Server: "s0-0"})
	if got, want := s.suspected(), []model.Fingerprint{1}; !slices.Equal(got, want) {
		t.Errorf("suspected after the check of the former address: got %v, want %v", got, want)
	}
	s.exchanges = nil
	s.HandleServerChecked(s.now, event.ServerChecked{Number: s.checks[1].Number, Server: "s0-0", Reached: true, ConnectedAt: s.now})
	if got, want := s.suspected(), []model.Fingerprint{1}; !slices.Equal(got, want) {
		t.Errorf("suspected after the check of the present address: got %v, want %v", got, want)
	}
}

// TestConnectionThatBreaksAfterTheCheck guards against a server that crashes after it was reached and before
// that is known: the request that crashed it would not be suspected.
func TestConnectionThatBreaksAfterTheCheck(t *testing.T) {
	s := newCheckScript()
	s.breakExchange(1)
	s.run(2 * ms)
	connectedAt := s.now
	s.run(3 * ms)
	s.breakExchange(2)
	s.HandleServerChecked(s.now, event.ServerChecked{Number: s.checks[0].Number, Server: "s0-0", Reached: true, ConnectedAt: connectedAt})
	if got, want := len(s.checks), 2; got != want {
		t.Fatalf("checks: got %d, want %d", got, want)
	}
	s.HandleServerChecked(s.now, event.ServerChecked{Number: s.checks[1].Number, Server: "s0-0"})
	if got, want := s.suspected(), []model.Fingerprint{2}; !slices.Equal(got, want) {
		t.Errorf("suspected: got %v, want %v", got, want)
	}
}

// TestCheckBeforeARefusal guards against the result of a check that comes after a later connection was
// refused: the server would not be checked again, so that its next start would not be noticed.
func TestCheckBeforeARefusal(t *testing.T) {
	s := newCheckScript()
	table := *s.Table()
	table.Version++
	table.Pools = []model.Pool{{Group: "g0", Connections: 30, ColdPerSecond: 10, WarmUp: 3 * time.Second}}
	s.Configure(&table)
	s.breakExchange(1)
	s.run(2 * ms)
	connectedAt := s.now
	s.run(3 * ms)
	s.exchanges = nil
	s.sendWithFingerprint(2)
	for _, e := range s.exchanges {
		if e.Server == "s0-0" {
			s.HandleExchangeEnded(s.now, event.ExchangeEnded{Attempt: e.Attempt, Server: e.Server, Kind: event.NotSent, ConnectionRefused: true})
		}
	}
	if b := s.Servers.Get("s0-0"); b.RefusedAt.IsZero() {
		t.Fatal("the refused connection was not recorded")
	}
	s.HandleServerChecked(s.now, event.ServerChecked{Number: s.checks[0].Number, Server: "s0-0", Reached: true, ConnectedAt: connectedAt})
	s.run(2 * time.Second)
	if got, want := len(s.checks), 2; got != want {
		t.Fatalf("checks within 2s of the refusal: got %d, want %d", got, want)
	}
	s.HandleServerChecked(s.now, event.ServerChecked{Number: s.checks[1].Number, Server: "s0-0", Reached: true, ConnectedAt: s.now})
	s.run(2 * time.Second)
	if got, want := len(s.checks), 2; got != want {
		t.Errorf("checks after the server was reached: got %d, want %d", got, want)
	}
}
