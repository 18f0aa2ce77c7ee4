// Package poison owns what is believed of queries that crash the servers that
// run them. A query that was in flight when a server died is a suspect; a suspect
// that is tried alone and kills another server is condemned; one that is answered
// is cleared. So a bystander that was in flight on a dying server is tried again
// and not condemned, and a query that does crash servers costs at most two of a
// group: the first, and the one that it was tried on alone.
//
// Trying a suspect alone is left to package query.
package poison

import (
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

const (
	// suspectLife is how long a suspect is treated with care.
	suspectLife = 10 * time.Minute
	// condemnedLife is how long a condemned query is refused.
	condemnedLife = 30 * time.Minute
	// maxEntries bounds the table; the entry that expires first makes room.
	maxEntries = 4096
)

// Entry is one suspected or condemned query.
type Entry struct {
	// State is SuspicionRaised or SuspicionCondemned.
	State event.SuspicionState
	// ExpiresAt ends the entry.
	ExpiresAt time.Time
	// Running counts attempts in flight anywhere from this instance; at most 1
	// while the query is a suspect, but for those sent before it became one.
	Running int
}

// Table holds the entries by fingerprint.
type Table struct {
	entries map[model.Fingerprint]*Entry
}

// Get returns the live entry of a fingerprint, or nil.
func (t *Table) Get(now time.Time, f model.Fingerprint) *Entry {
	e := t.entries[f]
	if e == nil || !now.Before(e.ExpiresAt) {
		delete(t.entries, f)
		return nil
	}
	return e
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Death records that a server died with the query in flight; alone says that the
// attempt was sent when the query was a suspect already, and so was the only
// suspect there. It returns the state to tell other instances.
func (t *Table) Death(now time.Time, f model.Fingerprint, alone bool) event.Suspicion {
	state := event.SuspicionRaised
	if alone {
		state = event.SuspicionCondemned
	}
	t.set(now, f, state)
	return event.Suspicion{Fingerprint: f, State: state}
}

// Clear records that a suspect was answered. It returns false when there was
// nothing to clear.
func (t *Table) Clear(now time.Time, f model.Fingerprint) bool {
	e := t.Get(now, f)
	if e == nil || e.State != event.SuspicionRaised {
		return false
	}
	delete(t.entries, f)
	return true
}

// Apply takes in another instance's word. A condemned query is not cleared. It
// returns false when the table knew as much.
func (t *Table) Apply(now time.Time, s event.Suspicion) (fresh bool) {
	if s.State == event.SuspicionCleared {
		return t.Clear(now, s.Fingerprint)
	}
	return t.set(now, s.Fingerprint, s.State)
}

func (t *Table) set(now time.Time, f model.Fingerprint, state event.SuspicionState) (fresh bool) {
	if t.entries == nil {
		t.entries = map[model.Fingerprint]*Entry{}
	}
	e := t.Get(now, f)
	if e == nil {
		t.makeRoom()
		e = &Entry{}
		t.entries[f] = e
	}
	if state < e.State {
		return false
	}
	fresh = state > e.State
	e.State = state
	life := suspectLife
	if state == event.SuspicionCondemned {
		life = condemnedLife
	}
	e.ExpiresAt = now.Add(life)
	return fresh
}

func (t *Table) makeRoom() {
	if len(t.entries) < maxEntries {
		return
	}
	var first model.Fingerprint
	var at time.Time
	for f, e := range t.entries {
		if at.IsZero() || e.ExpiresAt.Before(at) || (e.ExpiresAt.Equal(at) && f < first) {
			first, at = f, e.ExpiresAt
		}
	}
	delete(t.entries, first)
}
