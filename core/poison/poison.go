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
	"cmp"
	"slices"
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
	// maxTold bounds what a new instance is told; a peer's queue holds some hundreds of
	// messages.
	maxTold = 128
)

// Entry is one query of which something is believed.
type Entry struct {
	// State and Generation order what is believed; see event.Suspicion. They only
	// move up, so that news flooded among the instances comes to rest.
	State      event.SuspicionState
	Generation uint64
	// ExpiresAt ends the entry.
	ExpiresAt time.Time
	// Running counts attempts in flight anywhere from this instance; at most 1
	// while the query is a suspect, but for those sent before it became one.
	InFlight int
}

// Table holds the entries by fingerprint.
type Table struct {
	entries map[model.Fingerprint]*Entry
}

// Get returns the entry of a query that is suspected or condemned, or nil.
func (t *Table) Get(now time.Time, f model.Fingerprint) *Entry {
	e := t.live(now, f)
	if e == nil || e.State == event.SuspicionCleared {
		return nil
	}
	return e
}

// live returns the entry of a fingerprint, cleared or not, or nil.
func (t *Table) live(now time.Time, f model.Fingerprint) *Entry {
	e := t.entries[f]
	if e == nil || !now.Before(e.ExpiresAt) {
		delete(t.entries, f)
		return nil
	}
	return e
}

// Condemned returns what is condemned, in order of fingerprints, for an instance that has
// heard nothing yet; the first maxTold of them.
func (t *Table) Condemned(now time.Time) (out []event.Suspicion) {
	for f, e := range t.entries {
		if e.State == event.SuspicionCondemned && now.Before(e.ExpiresAt) {
			out = append(out, event.Suspicion{Fingerprint: f, State: e.State, Generation: e.Generation})
		}
	}
	slices.SortFunc(out, func(a, b event.Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out[:min(len(out), maxTold)]
}

// Len returns the number of entries.
func (t *Table) Len() int { return len(t.entries) }

// Death records that a server died with the query in flight; alone says that the
// attempt was sent when the query was a suspect already, and so was the only
// suspect there. It returns what to tell the other instances.
func (t *Table) RecordCrash(now time.Time, f model.Fingerprint, alone bool) event.Suspicion {
	news := event.Suspicion{Fingerprint: f, State: event.SuspicionRaised, Generation: 1}
	if e := t.live(now, f); e != nil {
		news.Generation = e.Generation
		if e.State == event.SuspicionCleared {
			news.Generation++
		}
	}
	if alone {
		news.State = event.SuspicionCondemned
	}
	t.Apply(now, news)
	return news
}

// Clear records that a suspect was answered. It returns what to tell the other
// instances, and false when there was nothing to clear.
func (t *Table) Clear(now time.Time, f model.Fingerprint) (news event.Suspicion, ok bool) {
	e := t.live(now, f)
	if e == nil || e.State != event.SuspicionRaised {
		return news, false
	}
	news = event.Suspicion{Fingerprint: f, State: event.SuspicionCleared, Generation: e.Generation}
	return news, t.Apply(now, news)
}

// Apply takes in another instance's word. It returns false when the table knew as
// much.
func (t *Table) Apply(now time.Time, s event.Suspicion) (fresh bool) {
	e := t.live(now, s.Fingerprint)
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
	life := suspectLife
	if s.State == event.SuspicionCondemned {
		life = condemnedLife
	}
	e.ExpiresAt = now.Add(life)
	return true
}

// supersedes reports whether news overrides an entry.
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

func (t *Table) add(f model.Fingerprint) *Entry {
	if t.entries == nil {
		t.entries = map[model.Fingerprint]*Entry{}
	}
	t.makeRoom()
	e := &Entry{}
	t.entries[f] = e
	return e
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
