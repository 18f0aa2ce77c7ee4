package roster_test

import (
	"fmt"
	"testing"

	"hyssoppitch/core/event"
	"hyssoppitch/core/roster"
)

// TestServerWhoseAddressIsTakenGetsNothing guards against requests to a server that has ended, whose entry is still
// listed, at an address where a server that started later is listed: they reach that one.
func TestServerWhoseAddressIsTakenGetsNothing(t *testing.T) {
	old, next := server("old", "2026-01-01T00:00:00.000Z", "a", false), server("next", "2026-01-01T00:00:09.000Z", "a", false)
	elsewhere := server("next", "2026-01-01T00:00:10.000Z", "b", false)
	sameStart := server("twin", "2026-01-01T00:00:00.000Z", "a", false)
	tests := []struct {
		name    string
		changes []event.DirectoryChange
		disown  string
		// want maps the servers to whether they are usable.
		want map[string]bool
	}{
		{"alone", []event.DirectoryChange{old}, "", map[string]bool{"servers/old": true}},
		{"taken", []event.DirectoryChange{old, next}, "", map[string]bool{"servers/old": false, "servers/next": true}},
		{"taken, listed in the other order", []event.DirectoryChange{next, old}, "", map[string]bool{"servers/old": false, "servers/next": true}},
		{"registered again", []event.DirectoryChange{old, next, old}, "", map[string]bool{"servers/old": false, "servers/next": true}},
		{"the later one left", []event.DirectoryChange{old, next, {Key: "servers/next"}}, "", map[string]bool{"servers/old": true}},
		{"the later one moved", []event.DirectoryChange{old, next, elsewhere}, "", map[string]bool{"servers/old": true, "servers/next": true}},
		{"the later one is not there", []event.DirectoryChange{old, next}, "servers/next", map[string]bool{"servers/old": true, "servers/next": false}},
		{"same start", []event.DirectoryChange{old, sameStart}, "", map[string]bool{"servers/old": true, "servers/twin": true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			table := roster.New()
			apply(table, start, true)
			for _, c := range test.changes {
				apply(table, start, false, c)
			}
			if test.disown != "" {
				table.Supersede(table.Get(test.disown))
			}
			if got, want := table.Len(), len(test.want); got != want {
				t.Errorf("servers: got %d, want %d", got, want)
			}
			for key, want := range test.want {
				if got := table.Usable(table.Get(key)); got != want {
					t.Errorf("%s usable: got %v, want %v", key, got, want)
				}
			}
		})
	}
}

// TestManyServersAtOneAddress guards against an instance that hangs since another writer lists thousands of servers
// at one address, and removes them.
func TestManyServersAtOneAddress(t *testing.T) {
	const n = 4000
	table := roster.New()
	var listed, removed []event.DirectoryChange
	for i := range n {
		c := server(fmt.Sprint(i), fmt.Sprintf("%06d", i), "a", false)
		listed, removed = append(listed, c), append(removed, event.DirectoryChange{Key: c.Key})
	}
	for _, changes := range [][]event.DirectoryChange{listed, listed, removed} {
		got := len(table.Apply(start, event.DirectoryRead{Changes: changes}))
		if want := 2 * n; got > want {
			t.Errorf("changes of state: got %d, want at most %d", got, want)
		}
	}
	if got := table.Len(); got != 0 {
		t.Errorf("servers: got %d, want none", got)
	}
}
