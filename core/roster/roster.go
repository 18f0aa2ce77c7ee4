// Package roster holds the table of backend servers that are registered in the directory:
// which of them are usable, and the health of each as measured by this instance. It applies
// the changes of the directory, and keeps servers whose entries are missing after a
// directory outage until they have had time to register again. Package relay selects the
// server of each attempt.
package roster

import (
	"iter"
	"maps"
	"slices"
	"strings"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/report"
)

// reregisterGrace is the time after a directory outage for which missing entries are kept:
// servers register again within about two seconds.
const reregisterGrace = 2 * time.Second

// Server is a backend server with its registration and its health.
type Server struct {
	model.Registration
	// Key is the directory key of the registration.
	Key string
	// ReportKey identifies the server's incarnation in reports of its health.
	ReportKey uint64
	// ColdUntil is the time from which the server is warm by its entry.
	ColdUntil time.Time
	// restartColdUntil is the time from which it is warm if it has started again since it last refused a
	// connection, and RefusedAt when that was; zero if it has accepted one since.
	restartColdUntil, RefusedAt time.Time
	// MissingSince is when the entry was found missing after a directory outage; zero while
	// the server is listed. Logs call such a server lapsed.
	MissingSince time.Time
	// Superseded is set once another server answered at the address: this one is gone. Logs
	// call such a server disowned.
	Superseded bool
	// Leaving is set once the server has said in a reply that it leaves, whatever its entry
	// says.
	Leaving bool

	// address is the record of the server's address.
	address *address
	Health
}

// Table holds the servers by directory key and by group.
type Table struct {
	servers map[string]*Server
	// groups holds the servers of each group in order of ID, and addresses those at each address.
	groups    map[string][]*Server
	addresses map[string]*address
	// evacuated maps a directory key to the data centre that its entry evacuates.
	// unconfirmed holds those of the keys that are missing since the directory was restored.
	evacuated   map[string]string
	unconfirmed map[string]bool
	// departed holds the servers that were removed lately, by directory key.
	departed map[string]departure

	// loaded is set once the full directory has been read.
	loaded bool
	// unreachable is set while the directory doesn't answer.
	unreachable bool
	// recoveredAt is when the last directory outage ended.
	recoveredAt time.Time
	// era is the era of the directory, and restoredAt when it last rose: the directory was
	// restored from an older copy.
	era        uint64
	restoredAt time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{
		servers: map[string]*Server{}, groups: map[string][]*Server{}, addresses: map[string]*address{},
		evacuated: map[string]string{}, unconfirmed: map[string]bool{}, departed: map[string]departure{},
	}
}

// Loaded reports whether the full directory has been read.
func (t *Table) Loaded() bool { return t.loaded }

// Unreachable reports whether the directory doesn't answer.
func (t *Table) Unreachable() bool { return t.unreachable }

// Len returns the number of servers.
func (t *Table) Len() int { return len(t.servers) }

// Group returns the servers of a group in order of ID. The caller must not change the
// result.
func (t *Table) Group(name string) []*Server { return t.groups[name] }

// Evacuated reports whether a data centre is evacuated: its servers get no requests.
func (t *Table) Evacuated(dataCentre string) bool {
	for _, d := range t.evacuated {
		if d == dataCentre {
			return true
		}
	}
	return false
}

// Get returns the server with a directory key, or nil.
func (t *Table) Get(key string) *Server { return t.servers[key] }

// All returns the servers in no particular order.
func (t *Table) All() iter.Seq[*Server] { return maps.Values(t.servers) }

// Usable reports whether a server may get requests.
func (t *Table) Usable(s *Server) bool {
	return !s.Draining && !s.Superseded && !s.Leaving && !s.addressTaken() && !t.Evacuated(s.DataCentre)
}

// MarkUnreachable records that the directory didn't answer. It reports whether the
// directory was reachable before.
func (t *Table) MarkUnreachable() (changed bool) {
	changed = !t.unreachable
	t.unreachable = true
	return changed
}

// MarkReachable records that the directory is reachable. since is the end of its last
// outage, or the zero time if there was no recent outage.
func (t *Table) MarkReachable(since time.Time) {
	t.unreachable = false
	if since.After(t.recoveredAt) {
		t.recoveredAt = since
	}
}

// RecoveredAt returns the end of the last directory outage, or the zero time if there was
// none.
func (t *Table) RecoveredAt() time.Time { return t.recoveredAt }

// AllEntries returns the listed servers and the evacuations as directory changes, in order
// of key.
func (t *Table) AllEntries(now time.Time) []event.DirectoryChange {
	out := make([]event.DirectoryChange, 0, len(t.servers)+len(t.evacuated))
	for _, key := range t.keys() {
		if d, ok := t.evacuated[key]; ok {
			out = append(out, event.DirectoryChange{Key: key, Evacuated: d})
			continue
		}
		s := t.servers[key]
		if !s.MissingSince.IsZero() {
			continue
		}
		r := s.Registration
		r.ColdFor = max(0, s.ColdEnd().Sub(now))
		out = append(out, event.DirectoryChange{Key: key, Server: &r})
	}
	return out
}

// Apply applies changes of the directory and returns the resulting changes of state.
func (t *Table) Apply(now time.Time, read event.DirectoryRead) (changes []event.StateChanged) {
	restored := read.Era > t.era && t.loaded
	t.era = max(t.era, read.Era)
	if restored {
		t.recoveredAt, t.restoredAt = now, now
	}
	present := map[string]bool{}
	for _, c := range read.Changes {
		present[c.Key] = true
		if restored && t.outdated(now, c) {
			continue
		}
		changes = append(changes, t.applyChange(now, c)...)
	}
	if !read.Full {
		return changes
	}
	t.loaded = true
	for _, key := range t.keys() {
		if !present[key] {
			changes = append(changes, t.handleUnlisted(now, key)...)
		}
	}
	return changes
}

// keys returns all directory keys of the table in order.
func (t *Table) keys() []string {
	out := make([]string, 0, len(t.servers)+len(t.evacuated))
	for k := range t.servers {
		out = append(out, k)
	}
	for k := range t.evacuated {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

// applyChange applies one change of the directory.
func (t *Table) applyChange(now time.Time, c event.DirectoryChange) []event.StateChanged {
	switch {
	case c.Server != nil:
		return t.register(now, c.Key, *c.Server)
	case c.Evacuated != "":
		delete(t.unconfirmed, c.Key)
		if t.evacuated[c.Key] == c.Evacuated {
			return nil
		}
		t.evacuated[c.Key] = c.Evacuated
		return []event.StateChanged{{Kind: "data-centre", Name: c.Evacuated, From: "in", To: "out", Cause: "evacuated by an operator"}}
	case c.Routing != nil:
		return nil
	case c.Problem != "":
		// An unreadable entry names no server. If a server was registered under the key,
		// another writer has overwritten its entry, and the server is kept.
		return nil
	default:
		return t.handleMissing(now, c.Key)
	}
}

// register adds or updates a server. A registration with a new incarnation, group or
// address replaces the server and its health.
func (t *Table) register(now time.Time, key string, r model.Registration) []event.StateChanged {
	old := t.servers[key]
	if old != nil && old.Life == r.Life && old.Group == r.Group && old.Address == r.Address {
		from := old.state()
		old.Registration = r
		old.MissingSince = time.Time{}
		old.ColdUntil = now.Add(r.ColdFor)
		return stateChange(old, from, "registered")
	}
	from := "unlisted"
	if old != nil {
		from = old.state()
		t.remove(key)
	}
	s := &Server{Registration: r, Key: key, ReportKey: report.Key(r.ID, r.Life), ColdUntil: now.Add(r.ColdFor)}
	if d, ok := t.departed[key]; ok && d.life == r.Life {
		// The entry was missing for some time; the server is the same.
		s.Leaving, s.awayUntil = d.leaving, d.awayUntil
	}
	t.servers[key] = s
	group := t.groups[r.Group]
	at, _ := slices.BinarySearchFunc(group, s, func(a, b *Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	// A caller of Group may still use the old slice.
	t.groups[r.Group] = slices.Insert(slices.Clone(group), at, s)
	changes := t.occupy(s)
	return append(changes, stateChange(s, from, "registered")...)
}

// handleMissing handles a directory entry that is gone. It removes the server at once, or,
// shortly after a directory outage, marks it as missing so that it has time to register
// again.
func (t *Table) handleMissing(now time.Time, key string) []event.StateChanged {
	if d, ok := t.evacuated[key]; ok {
		delete(t.evacuated, key)
		delete(t.unconfirmed, key)
		return []event.StateChanged{{Kind: "data-centre", Name: d, From: "out", To: "in", Cause: "evacuation ended by an operator"}}
	}
	s := t.servers[key]
	if s == nil {
		return nil
	}
	from := s.state()
	if !t.recoveredAt.IsZero() && now.Before(t.recoveredAt.Add(reregisterGrace)) {
		if s.MissingSince.IsZero() {
			s.MissingSince = now
		}
		return stateChange(s, from, "missing after a directory outage")
	}
	t.recordDeparture(now, s)
	t.remove(key)
	return []event.StateChanged{{Kind: "server", Name: string(s.ID), From: from, To: "unlisted", Cause: "entry removed"}}
}

// RemoveExpired removes the servers that have not registered again in time after a
// directory outage, and the evacuations that were not written again after a restoration.
func (t *Table) RemoveExpired(now time.Time) (changes []event.StateChanged) {
	changes = t.endUnconfirmed(now)
	if t.unreachable || t.recoveredAt.IsZero() || now.Before(t.recoveredAt.Add(reregisterGrace)) {
		return changes
	}
	for _, key := range t.keys() {
		s := t.servers[key]
		if s == nil || s.MissingSince.IsZero() {
			continue
		}
		t.recordDeparture(now, s)
		t.remove(key)
		changes = append(changes, event.StateChanged{Kind: "server", Name: string(s.ID), From: "lapsed", To: "unlisted", Cause: "did not register again"})
	}
	return changes
}

// remove removes a server.
func (t *Table) remove(key string) {
	s := t.servers[key]
	delete(t.servers, key)
	t.vacate(s)
	rest := slices.DeleteFunc(slices.Clone(t.groups[s.Group]), func(o *Server) bool { return o == s })
	if len(rest) == 0 {
		delete(t.groups, s.Group)
		return
	}
	t.groups[s.Group] = rest
}

// Supersede records that another server answered at a server's address.
func (t *Table) Supersede(s *Server) []event.StateChanged {
	from := s.state()
	s.Superseded = true
	if s.address != nil {
		s.address.stale = true
	}
	return stateChange(s, from, "another server answers at its address")
}

// MarkLeaving records that a server has said that it leaves.
func (t *Table) MarkLeaving(s *Server) []event.StateChanged {
	from := s.state()
	s.Leaving = true
	return stateChange(s, from, "it says so in a reply")
}

// state returns the name of the server's state in logs.
func (s *Server) state() string {
	switch {
	case s.Superseded:
		return "disowned"
	case s.addressTaken():
		return "replaced"
	case s.Draining:
		return "draining"
	case s.Leaving:
		return "leaving"
	case !s.MissingSince.IsZero():
		return "lapsed"
	default:
		return "ready"
	}
}

// stateChange returns the log entry for a change of a server's state, or nil if the state is
// still from.
func stateChange(s *Server, from, cause string) []event.StateChanged {
	if s.state() == from {
		return nil
	}
	return []event.StateChanged{{Kind: "server", Name: string(s.ID), From: from, To: s.state(), Cause: cause + ", group " + s.Group + ", data centre " + s.DataCentre}}
}
