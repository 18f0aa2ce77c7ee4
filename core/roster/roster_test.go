package roster_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func server(id, incarnation, address string, draining bool) event.DirectoryChange {
	return event.DirectoryChange{Key: "servers/" + id, Server: &model.Registration{
		ID: model.ServerID(id), Life: incarnation, Address: address, Group: "g", DataCentre: "dc0", Draining: draining,
	}}
}

func apply(t *roster.Table, now time.Time, full bool, changes ...event.DirectoryChange) {
	t.Apply(now, event.DirectoryRead{Changes: changes, Full: full})
}

func TestUsable(t *testing.T) {
	tests := []struct {
		name   string
		change []event.DirectoryChange
		want   bool
	}{
		{"ready", nil, true},
		{"draining", []event.DirectoryChange{server("s", "1", "a", true)}, false},
		{"data centre of the server is evacuated", []event.DirectoryChange{{Key: "out/dc0", Evacuated: "dc0"}}, false},
		{"evacuation ended", []event.DirectoryChange{{Key: "out/dc0", Evacuated: "dc0"}, {Key: "out/dc0"}}, true},
		{"another data centre is evacuated", []event.DirectoryChange{{Key: "out/dc1", Evacuated: "dc1"}}, true},
		{"entry overwritten by an unreadable one", []event.DirectoryChange{{Key: "servers/s", Problem: "not JSON"}}, true},
		{"drain cancelled", []event.DirectoryChange{server("s", "1", "a", true), server("s", "1", "a", false)}, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := roster.New()
			apply(table, start, true, server("s", "1", "a", false))
			apply(table, start, false, test.change...)
			group := table.Group("g")
			if len(group) != 1 {
				t.Fatalf("servers: got %d, want 1", len(group))
			}
			if got := table.Usable(group[0]); got != test.want {
				t.Errorf("usable: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestNewIncarnationResetsServerState checks that a server that registers under a known ID
// with a new incarnation gets none of the old one's state: neither superseded nor paused.
func TestNewIncarnationResetsServerState(t *testing.T) {
	table := roster.New()
	apply(table, start, true, server("s", "1", "a", false))
	first := table.Group("g")[0]
	table.Supersede(first)
	first.Overdue(start)
	apply(table, start, false, server("s", "2", "b", false))
	second := table.Group("g")[0]
	if second == first || !table.Usable(second) || second.Address != "b" || !second.PausedUntil.IsZero() {
		t.Errorf("second incarnation: got %+v, want a server at b without the state of the first", second)
	}
}

// TestMissingEntriesAreKeptAfterOutage checks that the server of a removed entry is removed
// at once, but that a server whose entry is missing after a directory outage is kept if it
// registers again.
func TestMissingEntriesAreKeptAfterOutage(t *testing.T) {
	table := roster.New()
	apply(table, start, true, server("s", "1", "a", false), server("t", "1", "b", false))
	apply(table, start, false, event.DirectoryChange{Key: "servers/s"})
	if got, want := len(table.Group("g")), 1; got != want {
		t.Fatalf("after a removal: got %d servers, want %d", got, want)
	}
	table.MarkUnreachable()
	recoveredAt := start.Add(5 * time.Second)
	table.MarkReachable(recoveredAt)
	apply(table, recoveredAt, true)
	if got, want := len(table.Group("g")), 1; got != want {
		t.Fatalf("after the outage: got %d servers, want %d", got, want)
	}
	apply(table, recoveredAt.Add(time.Second), false, server("t", "1", "b", false))
	table.RemoveExpired(recoveredAt.Add(3 * time.Second))
	if got, want := len(table.Group("g")), 1; got != want {
		t.Errorf("after the server registered again: got %d servers, want %d", got, want)
	}
}

// TestEstimatesDecay checks that a slow or failing server counts as healthy again after some
// time without answers, so that it gets requests again.
func TestEstimatesDecay(t *testing.T) {
	var h roster.Health
	for range 10 {
		h.Answered(start, start, 10, false)
		h.Failed(start)
	}
	if got := h.Slowness(start); got < 8 {
		t.Errorf("slowness after ten slow answers: got %.1f, want 8 or more", got)
	}
	if got := h.FailureRate(start); got < 0.5 {
		t.Errorf("failure rate after ten failures: got %.2f, want 0.5 or more", got)
	}
	later := start.Add(10 * time.Second)
	if got := h.Slowness(later); got > 1.2 {
		t.Errorf("slowness ten seconds later: got %.2f, want at most 1.2", got)
	}
	if got := h.FailureRate(later); got > 0.05 {
		t.Errorf("failure rate ten seconds later: got %.2f, want at most 0.05", got)
	}
}

// TestSingleStallDoesNotRaiseSlowness checks that one pause, which delays all requests in
// flight at a server, leaves the slowness unchanged, and that a second consecutive stall
// raises it.
func TestSingleStallDoesNotRaiseSlowness(t *testing.T) {
	var h roster.Health
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	h.Answered(at(200), at(0), 10, true)
	h.Answered(at(201), at(50), 8, true)
	if got := h.Slowness(at(201)); got != 1 {
		t.Errorf("slowness after one stall: got %.2f, want 1", got)
	}
	h.Answered(at(400), at(250), 10, true)
	if got := h.Slowness(at(400)); got < 2 {
		t.Errorf("slowness after two stalls: got %.2f, want 2 or more", got)
	}
}
