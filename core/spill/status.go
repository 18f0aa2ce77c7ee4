package spill

import (
	"cmp"
	"slices"
	"time"
)

// Row is the state of a flow that doesn't keep all requests near.
type Row struct {
	Route string `json:"route"`
	Group string `json:"group"`
	// KeptPerMille is the part of the requests that prefers the nearest servers, in 1/1000.
	KeptPerMille int `json:"kept-per-mille"`
}

// Rows returns the flows that don't keep all requests near, in order of route and group.
func (t *Table) Rows(now time.Time) (rows []Row) {
	for k, f := range t.flows {
		if kept := f.keptAt(now); kept < 1 {
			rows = append(rows, Row{Route: k.Route, Group: k.Group, KeptPerMille: int(1000 * kept)})
		}
	}
	slices.SortFunc(rows, func(a, b Row) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Group, b.Group))
	})
	return rows
}

// Kept returns the fraction of a flow that prefers the nearest servers.
func (t *Table) Kept(now time.Time, k Key) float64 {
	if f := t.flows[k]; f != nil {
		return f.keptAt(now)
	}
	return 1
}

// Ended returns the flows that have stopped spilling since the last call: all of their requests prefer
// the nearest servers again.
func (t *Table) Ended(now time.Time) (keys []Key) {
	for k, f := range t.flows {
		if f.spilling && f.keptAt(now) >= 1 {
			f.spilling = false
			keys = append(keys, k)
		}
	}
	slices.SortFunc(keys, func(a, b Key) int {
		return cmp.Or(cmp.Compare(a.Route, b.Route), cmp.Compare(a.Group, b.Group))
	})
	return keys
}

// Clear removes all flows.
func (t *Table) Clear() { t.flows = nil }

// Retain removes the flows for which keep returns false.
func (t *Table) Retain(keep func(k Key) bool) {
	for k := range t.flows {
		if !keep(k) {
			delete(t.flows, k)
		}
	}
}

// Copy returns a copy of the table.
func (t *Table) Copy() Table {
	c := Table{flows: make(map[Key]*flow, len(t.flows))}
	for k, f := range t.flows {
		flow := *f
		c.flows[k] = &flow
	}
	return c
}
