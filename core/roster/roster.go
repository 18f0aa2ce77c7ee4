// Package roster owns the table of discovered backend servers: which are listed in
// the directory, which of them may get work, and what this instance has measured of
// each. It follows the directory's changes and bridges the times in which entries
// lapse because the directory itself was away. Which server an attempt goes to is
// left to package relay.
package roster

import (
	"slices"
	"strings"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// returnGrace is how long after the directory's return an entry that is missing may
// still come back: servers register again within about two seconds.
const returnGrace = 2 * time.Second

// Server is one row: a backend server as this instance sees it.
type Server struct {
	model.Registration
	// Key is the directory's key of the registration.
	Key string
	// ColdUntil is when the server counts as warm.
	ColdUntil time.Time
	// LapsedAt is when the entry was found missing after the directory had been away;
	// zero while the server is listed.
	LapsedAt time.Time
	// Disowned is set once another server answered at the address: this one is gone.
	Disowned bool

	Health
}

// Table holds the servers by key and by group.
type Table struct {
	rows map[string]*Server
	// groups holds the rows of each group in order of ID.
	groups map[string][]*Server
	// evacuated maps a directory key to the data centre that it takes out.
	evacuated map[string]string

	// heard is set once the directory has been read whole.
	heard bool
	// away is set while the directory gives no answer.
	away bool
	// returnedAt is when it last came back.
	returnedAt time.Time
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[string]*Server{}, groups: map[string][]*Server{}, evacuated: map[string]string{}}
}

// Heard reports whether the directory has been read.
func (t *Table) Loaded() bool { return t.heard }

// Away reports whether the directory gives no answer.
func (t *Table) Unreachable() bool { return t.away }

// Len returns the number of servers.
func (t *Table) Len() int { return len(t.rows) }

// Group returns the servers of a group in order of ID. The caller doesn't change it.
func (t *Table) Group(name string) []*Server { return t.groups[name] }

// Evacuated reports whether a data centre is to get no work.
func (t *Table) Evacuated(dataCentre string) bool {
	for _, d := range t.evacuated {
		if d == dataCentre {
			return true
		}
	}
	return false
}

// Usable reports whether a server may get work at all.
func (t *Table) Usable(s *Server) bool {
	return !s.Draining && !s.Disowned && !t.Evacuated(s.DataCentre)
}

// Lost notes that the directory gave no answer.
func (t *Table) MarkUnreachable() (changed bool) {
	changed = !t.away
	t.away = true
	return changed
}

// Returned notes that the directory is back, since a time if it had been away lately;
// the zero time if it had not.
func (t *Table) MarkReachable(since time.Time) {
	t.away = false
	if since.After(t.returnedAt) {
		t.returnedAt = since
	}
}

// ReturnedAt returns when the directory last came back; the zero time if it never was
// away.
func (t *Table) RecoveredAt() time.Time { return t.returnedAt }

// All returns the table's content as changes of the directory.
func (t *Table) AllEntries(now time.Time) []event.DirectoryChange {
	out := make([]event.DirectoryChange, 0, len(t.rows)+len(t.evacuated))
	for _, key := range t.keys() {
		if d, ok := t.evacuated[key]; ok {
			out = append(out, event.DirectoryChange{Key: key, Evacuated: d})
			continue
		}
		s := t.rows[key]
		if !s.LapsedAt.IsZero() {
			continue
		}
		r := s.Registration
		r.ColdFor = max(0, s.ColdUntil.Sub(now))
		out = append(out, event.DirectoryChange{Key: key, Server: &r})
	}
	return out
}

// Apply takes in changes of the directory and returns what changed.
func (t *Table) Apply(now time.Time, seen event.DirectoryRead) (changes []event.StateChanged) {
	present := map[string]bool{}
	for _, c := range seen.Changes {
		present[c.Key] = true
		changes = append(changes, t.change(now, c)...)
	}
	if !seen.Full {
		return changes
	}
	t.heard = true
	for _, key := range t.keys() {
		if !present[key] {
			changes = append(changes, t.missing(now, key)...)
		}
	}
	return changes
}

// keys returns all keys of the table in order.
func (t *Table) keys() []string {
	out := make([]string, 0, len(t.rows)+len(t.evacuated))
	for k := range t.rows {
		out = append(out, k)
	}
	for k := range t.evacuated {
		out = append(out, k)
	}
	slices.Sort(out)
	return out
}

func (t *Table) change(now time.Time, c event.DirectoryChange) []event.StateChanged {
	switch {
	case c.Server != nil:
		return t.register(now, c.Key, *c.Server)
	case c.Evacuated != "":
		if t.evacuated[c.Key] == c.Evacuated {
			return nil
		}
		t.evacuated[c.Key] = c.Evacuated
		return []event.StateChanged{{Kind: "data-centre", Name: c.Evacuated, From: "in", To: "out", Cause: "evacuated by the operator"}}
	case c.Routing != nil:
		return nil
	case c.Problem != "":
		// What can't be read names no server; a server that was known by that key has
		// been overwritten by another writer and is kept.
		return nil
	default:
		return t.missing(now, c.Key)
	}
}

// register takes in a server's registration.
func (t *Table) register(now time.Time, key string, r model.Registration) []event.StateChanged {
	old := t.rows[key]
	if old != nil && old.Life == r.Life && old.Group == r.Group && old.Address == r.Address {
		from := old.state()
		old.Registration = r
		old.LapsedAt = time.Time{}
		old.ColdUntil = now.Add(r.ColdFor)
		return changeOf(old, from, "registered")
	}
	from := "unlisted"
	if old != nil {
		from = old.state()
		t.remove(key)
	}
	s := &Server{Registration: r, Key: key, ColdUntil: now.Add(r.ColdFor)}
	t.rows[key] = s
	group := t.groups[r.Group]
	at, _ := slices.BinarySearchFunc(group, s, func(a, b *Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	// The old slice may be in use.
	t.groups[r.Group] = slices.Insert(slices.Clone(group), at, s)
	return changeOf(s, from, "registered")
}

// missing handles an entry that is gone: at once, or, when the directory was away
// just before, after the time in which the server may register again.
func (t *Table) missing(now time.Time, key string) []event.StateChanged {
	if d, ok := t.evacuated[key]; ok {
		delete(t.evacuated, key)
		return []event.StateChanged{{Kind: "data-centre", Name: d, From: "out", To: "in", Cause: "evacuation taken back"}}
	}
	s := t.rows[key]
	if s == nil {
		return nil
	}
	from := s.state()
	if !t.returnedAt.IsZero() && now.Before(t.returnedAt.Add(returnGrace)) {
		if s.LapsedAt.IsZero() {
			s.LapsedAt = now
		}
		return changeOf(s, from, "missing after the directory was away")
	}
	t.remove(key)
	return []event.StateChanged{{Kind: "server", Name: string(s.ID), From: from, To: "unlisted", Cause: "entry removed"}}
}

// Tick drops the servers that have not come back.
func (t *Table) RemoveExpired(now time.Time) (changes []event.StateChanged) {
	if t.away || t.returnedAt.IsZero() || now.Before(t.returnedAt.Add(returnGrace)) {
		return nil
	}
	for _, key := range t.keys() {
		s := t.rows[key]
		if s == nil || s.LapsedAt.IsZero() {
			continue
		}
		t.remove(key)
		changes = append(changes, event.StateChanged{Kind: "server", Name: string(s.ID), From: "lapsed", To: "unlisted", Cause: "did not register again"})
	}
	return changes
}

func (t *Table) remove(key string) {
	s := t.rows[key]
	delete(t.rows, key)
	rest := slices.DeleteFunc(slices.Clone(t.groups[s.Group]), func(o *Server) bool { return o == s })
	if len(rest) == 0 {
		delete(t.groups, s.Group)
		return
	}
	t.groups[s.Group] = rest
}

// Disown notes that another server answered at a server's address.
func (t *Table) Disown(s *Server) []event.StateChanged {
	from := s.state()
	s.Disowned = true
	return changeOf(s, from, "another server answers at its address")
}

// state returns the name used in logs.
func (s *Server) state() string {
	switch {
	case s.Disowned:
		return "disowned"
	case s.Draining:
		return "draining"
	case !s.LapsedAt.IsZero():
		return "lapsed"
	default:
		return "ready"
	}
}

func changeOf(s *Server, from, why string) []event.StateChanged {
	if s.state() == from {
		return nil
	}
	return []event.StateChanged{{Kind: "server", Name: string(s.ID), From: from, To: s.state(), Cause: why + ", group " + s.Group + ", data centre " + s.DataCentre}}
}
