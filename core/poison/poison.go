// Package poison records which queries crash the servers that execute them. Queries are
// identified by their fingerprint, which has one of three states:
//
//   - suspected: a server crashed with a query of this fingerprint in flight;
//   - condemned: a server crashed during an isolated attempt of a suspected query, that is,
//     one that is executed by a single server with no other isolated attempt there;
//   - cleared: a suspected query was answered.
//
// A query that was in flight by chance when a server crashed is therefore retried and not
// condemned. A query that does crash servers crashes at most two servers of a group: the
// first one, and the one of the isolated attempt.
//
// Packages query and relay send the isolated attempts and refuse condemned queries.
package poison

import (
	"cmp"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

const (
	// suspectTTL is the time for which a suspected query is sent in isolated attempts only;
	// cleared entries are kept for the same time.
	suspectTTL = 10 * time.Minute
	// condemnedTTL is the time for which a condemned query is refused.
	condemnedTTL = 30 * time.Minute
	// maxEntries limits the table. The entry that expires first is evicted.
	maxEntries = 4096
	// maxCondemnedSync limits the condemned fingerprints that are sent to a new instance:
	// the send queue of a peer holds some hundreds of messages.
	maxCondemnedSync = 128
)

// Entry is the state of one fingerprint.
type Entry struct {
	// State and Generation order the updates of a fingerprint; see event.Suspicion. They
	// only increase, so that an update broadcast among the instances is passed on a
	// limited number of times.
	State      event.SuspicionState
	Generation uint64
	// ExpiresAt is the time from which the entry no longer applies.
	ExpiresAt time.Time
	// InFlight counts the attempts in flight that this instance sent while the fingerprint
	// was suspected. It is at most 1, unless several queries of the fingerprint were admitted
	// before it became suspected.
	InFlight int
}

// Table holds the entries by fingerprint.
type Table struct {
	entries map[model.Fingerprint]*Entry
}

// Get returns the entry of a fingerprint that is suspected or condemned, or nil.
func (t *Table) Get(now time.Time, f model.Fingerprint) *Entry {
	e := t.unexpired(now, f)
	if e == nil || e.State == event.SuspicionCleared {
		return nil
	}
	return e
}

// unexpired returns the entry of a fingerprint in any state, or nil. It deletes the entry if
// it has expired.
func (t *Table) unexpired(now time.Time, f model.Fingerprint) *Entry {
	e := t.entries[f]
	if e == nil || !now.Before(e.ExpiresAt) {
		delete(t.entries, f)
		return nil
	}
	return e
}

// Condemned returns the first maxCondemnedSync condemned fingerprints in ascending order, to
// be sent to an instance that has joined.
func (t *Table) Condemned(now time.Time) (out []event.Suspicion) {
	for f, e := range t.entries {
		if e.State == event.SuspicionCondemned && now.Before(e.ExpiresAt) {
			out = append(out, event.Suspicion{Fingerprint: f, State: e.State, Generation: e.Generation})
		}
	}
	slices.SortFunc(out, func(a, b event.Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out[:min(len(out), maxCondemnedSync)]
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// RecordCrash records that a server crashed with the query in flight. isolated is set for an
// isolated attempt: one that was sent when the query was suspected already, so that it was
// the only suspected query on the server. The update that RecordCrash returns is to be sent
// to the other instances.
func (t *Table) RecordCrash(now time.Time, f model.Fingerprint, isolated bool) event.Suspicion {
	update := event.Suspicion{Fingerprint: f, State: event.SuspicionRaised, Generation: 1}
	if e := t.unexpired(now, f); e != nil {
		update.Generation = e.Generation
		if e.State == event.SuspicionCleared {
			update.Generation++
		}
	}
	if isolated {
		update.State = event.SuspicionCondemned
	}
	t.Apply(now, update)
	return update
}

// Clear records that a query was answered. If the query was suspected, Clear returns the
// update to be sent to the other instances, and true.
func (t *Table) Clear(now time.Time, f model.Fingerprint) (update event.Suspicion, ok bool) {
	e := t.unexpired(now, f)
	if e == nil || e.State != event.SuspicionRaised {
		return update, false
	}
	update = event.Suspicion{Fingerprint: f, State: event.SuspicionCleared, Generation: e.Generation}
	return update, t.Apply(now, update)
}

// Apply applies an update. It returns false if the update doesn't supersede the entry of
// the table.
func (t *Table) Apply(now time.Time, s event.Suspicion) (changed bool) {
	e := t.unexpired(now, s.Fingerprint)
	if e != nil && !supersedes(s, *e) {
		return false
	}
	if e == nil {
		e = t.add(s.Fingerprint)
	}
	e.State, e.Generation = s.State, s.Generation
	if s.State == event.SuspicionCleared {
		e.InFlight = 0
	}
	ttl := suspectTTL
	if s.State == event.SuspicionCondemned {
		ttl = condemnedTTL
	}
	e.ExpiresAt = now.Add(ttl)
	return true
}

// supersedes reports whether an update overrides an entry.
func supersedes(s event.Suspicion, e Entry) bool {
	switch {
	case e.State == event.SuspicionCondemned:
		return false
	case s.State == event.SuspicionCondemned:
		return true
	case s.Generation != e.Generation:
		return s.Generation > e.Generation
	default:
		return s.State > e.State
	}
}

// add adds an entry, evicting another one if the table is full.
func (t *Table) add(f model.Fingerprint) *Entry {
	if t.entries == nil {
		t.entries = map[model.Fingerprint]*Entry{}
	}
	t.evict()
	e := &Entry{}
	t.entries[f] = e
	return e
}

// evict deletes the entry that expires first if the table is full. Ties are broken by
// fingerprint.
func (t *Table) evict() {
	if len(t.entries) < maxEntries {
		return
	}
	var first model.Fingerprint
	var expiresAt time.Time
	for f, e := range t.entries {
		if expiresAt.IsZero() || e.ExpiresAt.Before(expiresAt) || (e.ExpiresAt.Equal(expiresAt) && f < first) {
			first, expiresAt = f, e.ExpiresAt
		}
	}
	delete(t.entries, first)
}
