package roster_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func server(id, life, address string, draining bool) event.DirectoryChange {
	return event.DirectoryChange{Key: "servers/" + id, Server: &model.Registration{
		ID: model.ServerID(id), Life: life, Address: address, Group: "g", DataCentre: "dc0", Draining: draining,
	}}
}

func apply(t *roster.Table, now time.Time, whole bool, changes ...event.DirectoryChange) {
	t.Apply(now, event.DirectoryRead{Changes: changes, Full: whole})
}

func TestUsable(t *testing.T) {
	tests := []struct {
		name   string
		change []event.DirectoryChange
		want   bool
	}{
		{"ready", nil, true},
		{"draining", []event.DirectoryChange{server("s", "1", "a", true)}, false},
		{"its data centre is evacuated", []event.DirectoryChange{{Key: "out/dc0", Evacuated: "dc0"}}, false},
		{"evacuation taken back", []event.DirectoryChange{{Key: "out/dc0", Evacuated: "dc0"}, {Key: "out/dc0"}}, true},
		{"another data centre is evacuated", []event.DirectoryChange{{Key: "out/dc1", Evacuated: "dc1"}}, true},
		{"an unreadable entry of another writer", []event.DirectoryChange{{Key: "servers/s", Problem: "not JSON"}}, true},
		{"drain taken back", []event.DirectoryChange{server("s", "1", "a", true), server("s", "1", "a", false)}, true},
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

// TestRebornServerStartsAnew: another life under the same ID has nothing of the first.
func TestRebornServerStartsAnew(t *testing.T) {
	table := roster.New()
	apply(table, start, true, server("s", "1", "a", false))
	first := table.Group("g")[0]
	table.Disown(first)
	first.Overdue(start)
	apply(table, start, false, server("s", "2", "b", false))
	second := table.Group("g")[0]
	if second == first || !table.Usable(second) || second.Address != "b" || !second.PausedUntil.IsZero() {
		t.Errorf("second life: got %+v, want a fresh row at b", second)
	}
}

// TestMissingEntry: an entry that is gone is dropped at once, but not one that is missing
// when the directory comes back.
func TestMissingEntry(t *testing.T) {
	table := roster.New()
	apply(table, start, true, server("s", "1", "a", false), server("t", "1", "b", false))
	apply(table, start, false, event.DirectoryChange{Key: "servers/s"})
	if got, want := len(table.Group("g")), 1; got != want {
		t.Fatalf("after a removal: got %d servers, want %d", got, want)
	}
	table.MarkUnreachable()
	back := start.Add(5 * time.Second)
	table.MarkReachable(back)
	apply(table, back, true)
	if got, want := len(table.Group("g")), 1; got != want {
		t.Fatalf("at the return: got %d servers, want %d", got, want)
	}
	apply(table, back.Add(time.Second), false, server("t", "1", "b", false))
	table.RemoveExpired(back.Add(3 * time.Second))
	if got, want := len(table.Group("g")), 1; got != want {
		t.Errorf("a server that registered again: got %d servers, want %d", got, want)
	}
}

// TestEstimatesFade: a server that was slow or failing is taken for sound again after a
// while without word, so that it is tried.
func TestEstimatesFade(t *testing.T) {
	var h roster.Health
	for range 10 {
		h.Answered(start, start, 10, false)
		h.Failed(start)
	}
	if got := h.Factor(start); got < 8 {
		t.Errorf("factor after ten slow answers: got %.1f, want 8 or more", got)
	}
	if got := h.Failing(start); got < 0.5 {
		t.Errorf("failing after ten failures: got %.2f, want 0.5 or more", got)
	}
	later := start.Add(10 * time.Second)
	if got := h.Factor(later); got > 1.2 {
		t.Errorf("factor ten seconds later: got %.2f, want 1.2 at most", got)
	}
	if got := h.Failing(later); got > 0.05 {
		t.Errorf("failing ten seconds later: got %.2f, want 0.05 at most", got)
	}
}

// TestIsolatedStallIsNoSlowness: a pause delays all that is in flight at a server and says
// nothing of what comes after; two stalls in a row do.
func TestIsolatedStallIsNoSlowness(t *testing.T) {
	var h roster.Health
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	h.Answered(at(200), at(0), 10, true)
	h.Answered(at(201), at(50), 8, true)
	if got := h.Factor(at(201)); got != 1 {
		t.Errorf("factor after one stall: got %.2f, want 1", got)
	}
	h.Answered(at(400), at(250), 10, true)
	if got := h.Factor(at(400)); got < 2 {
		t.Errorf("factor after two stalls: got %.2f, want 2 or more", got)
	}
}
