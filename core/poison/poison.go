// Package poison records which queries crash the servers that execute them. Queries are
// identified by their fingerprint and by their traits, the headers of routed requests. An entry
// applies to the queries with its fingerprint and all of its traits, and has one of three states:
//
//   - suspected: a server crashed with such a query in flight;
//   - condemned: a server crashed during an isolated attempt of a suspected query, that is,
//     one that is executed by a single server with no other isolated attempt there;
//   - cleared: a suspected query was answered.
//
// A caller that sends a query again may change some of its headers each time. The first entry has
// all headers of a query; when a server crashes with a query in flight that has the same fingerprint
// and only some of them, these are the traits of a further entry. So the headers that identify the
// caller stay in the entry, and the queries of others, which lack them, aren't affected by it.
//
// A query that was in flight by chance when a server crashed is therefore retried and not
// condemned. A query that does crash servers crashes at most two servers of a group: the
// first one, and the one of the isolated attempt. A query with the same fingerprint as a suspected
// one and other headers is isolated as well, unless it differs from it as queries do that were
// answered.
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
	// maxPerFingerprint limits the entries of one fingerprint, which differ in their traits.
	maxPerFingerprint = 8
	// maxCondemnedSync limits the condemned fingerprints that are sent to a new instance:
	// the send queue of a peer holds some hundreds of messages.
	maxCondemnedSync = 128
)

// Entry is the state of the requests with one fingerprint and, at least, the given traits.
type Entry struct {
	model.Identity
	// State and Generation order the updates of an entry; see event.Suspicion. They
	// only increase, so that an update broadcast among the instances is passed on a
	// limited number of times.
	State      event.SuspicionState
	Generation uint64
	// ExpiresAt is the time from which the entry no longer applies.
	ExpiresAt time.Time

	// harmless holds the traits that queries have in common with the entry which it doesn't apply to
	// and which were answered; harmlessSeen is set once there was one.
	harmless     model.Traits
	harmlessSeen bool
}

// resembles reports whether the entry may be about the same query with other headers: they have
// traits in common, other than those of queries that were answered.
func (e *Entry) resembles(id model.Identity) bool {
	return !e.harmlessSeen || !e.Traits.Common(id.Traits).Within(e.harmless)
}

// Table holds the entries by fingerprint.
type Table struct {
	entries map[model.Fingerprint][]*Entry
	count   int
	// isolated counts the isolated attempts that are in flight by fingerprint.
	isolated map[model.Fingerprint]int
}

// Get returns the entry that applies to a request and is suspected or condemned, or nil. Of
// several ones it returns one that is condemned.
func (t *Table) Get(now time.Time, id model.Identity) (found *Entry) {
	for _, e := range t.unexpired(now, id.Fingerprint) {
		if e.State != event.SuspicionCleared && e.Traits.Within(id.Traits) && (found == nil || e.State > found.State) {
			found = e
		}
	}
	return found
}

// Resembles reports whether a query that no entry applies to may be one that is suspected or condemned,
// with other headers. Such a query is sent in isolated attempts as well.
func (t *Table) Resembles(now time.Time, id model.Identity) bool {
	return slices.ContainsFunc(t.unexpired(now, id.Fingerprint), func(e *Entry) bool {
		return e.State != event.SuspicionCleared && e.resembles(id)
	})
}

// BeginIsolated records that an isolated attempt was sent, and EndIsolated that it has ended.
func (t *Table) BeginIsolated(f model.Fingerprint) {
	if t.isolated == nil {
		t.isolated = map[model.Fingerprint]int{}
	}
	t.isolated[f]++
}

// EndIsolated records that an isolated attempt has ended.
func (t *Table) EndIsolated(f model.Fingerprint) {
	t.isolated[f]--
	if t.isolated[f] <= 0 {
		delete(t.isolated, f)
	}
}

// Isolated returns the number of isolated attempts that this instance has in flight. It is at most
// 1, unless several queries of the fingerprint were admitted before it became suspected.
func (t *Table) Isolated(f model.Fingerprint) int { return t.isolated[f] }

// unexpired returns the entries of a fingerprint in any state. It deletes those that have expired.
func (t *Table) unexpired(now time.Time, f model.Fingerprint) []*Entry {
	all, found := t.entries[f]
	if !found {
		return nil
	}
	kept := slices.DeleteFunc(slices.Clone(all), func(e *Entry) bool { return !now.Before(e.ExpiresAt) })
	if len(kept) < len(all) {
		t.replace(f, kept)
	}
	return kept
}

// replace sets the entries of a fingerprint.
func (t *Table) replace(f model.Fingerprint, entries []*Entry) {
	t.count += len(entries) - len(t.entries[f])
	if len(entries) == 0 {
		delete(t.entries, f)
		return
	}
	t.entries[f] = entries
}

// Condemned returns the first maxCondemnedSync condemned entries in order of fingerprint, to
// be sent to an instance that has joined.
func (t *Table) Condemned(now time.Time) (out []event.Suspicion) {
	for f, entries := range t.entries {
		for _, e := range entries {
			if e.State == event.SuspicionCondemned && now.Before(e.ExpiresAt) {
				out = append(out, event.Suspicion{Fingerprint: f, Traits: e.Traits, State: e.State, Generation: e.Generation})
			}
		}
	}
	slices.SortFunc(out, func(a, b event.Suspicion) int {
		return cmp.Or(cmp.Compare(a.Fingerprint, b.Fingerprint), slices.Compare(a.Traits, b.Traits))
	})
	return out[:min(len(out), maxCondemnedSync)]
}

// Len returns the number of entries.
func (t *Table) Len() int { return t.count }

// RecordCrash records that a server crashed with the query in flight. isolated is set for an
// isolated attempt: one that was sent when the query was suspected already, so that it was
// the only suspected query on the server. The update that RecordCrash returns is to be sent
// to the other instances.
//
// If a query with the same fingerprint is suspected or condemned already, and this one lacks some of
// its traits, the traits that both have become suspected: what differs can't be needed to recognize
// it.
func (t *Table) RecordCrash(now time.Time, id model.Identity, isolated bool) event.Suspicion {
	update := event.Suspicion{Fingerprint: id.Fingerprint, Traits: id.Traits, State: event.SuspicionRaised}
	if e := t.Get(now, id); e != nil {
		update.Traits, update.State = e.Traits, e.State
	} else if e := t.closest(now, id); e != nil {
		update.Traits = id.Traits.Common(e.Traits)
	}
	update.Generation = 1
	if e := t.find(now, update); e != nil {
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

// closest returns the suspected or condemned entry with the same fingerprint that has the most
// traits in common with a query, or nil.
func (t *Table) closest(now time.Time, id model.Identity) (closest *Entry) {
	most := -1
	for _, e := range t.unexpired(now, id.Fingerprint) {
		if e.State == event.SuspicionCleared {
			continue
		}
		if n := len(e.Traits.Common(id.Traits)); n > most {
			closest, most = e, n
		}
	}
	return closest
}

// find returns the entry that an update is about, in any state, or nil.
func (t *Table) find(now time.Time, s event.Suspicion) *Entry {
	for _, e := range t.unexpired(now, s.Fingerprint) {
		if slices.Equal(e.Traits, s.Traits) {
			return e
		}
	}
	return nil
}

// Clear records that a query was answered. It clears the entries by which the query was suspected
// and returns the updates to be sent to the other instances. Later queries don't resemble the other
// entries by what this one has in common with them.
func (t *Table) Clear(now time.Time, id model.Identity) (updates []event.Suspicion) {
	for _, e := range t.unexpired(now, id.Fingerprint) {
		if !e.Traits.Within(id.Traits) {
			e.harmless = e.harmless.Union(e.Traits.Common(id.Traits))
			e.harmlessSeen = true
			continue
		}
		if e.State != event.SuspicionRaised {
			continue
		}
		update := event.Suspicion{Fingerprint: id.Fingerprint, Traits: e.Traits, State: event.SuspicionCleared, Generation: e.Generation}
		if t.Apply(now, update) {
			updates = append(updates, update)
		}
	}
	return updates
}

// Apply applies an update. It returns false if the update doesn't supersede the entry of
// the table.
func (t *Table) Apply(now time.Time, s event.Suspicion) (changed bool) {
	e := t.find(now, s)
	if e != nil && !supersedes(s, *e) {
		return false
	}
	if e == nil {
		e = t.add(model.Identity{Fingerprint: s.Fingerprint, Traits: s.Traits})
	}
	e.State, e.Generation = s.State, s.Generation
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

// add adds an entry. It evicts another one of the same fingerprint if that has maxPerFingerprint
// ones, or of any if the table is full.
func (t *Table) add(id model.Identity) *Entry {
	if t.entries == nil {
		t.entries = map[model.Fingerprint][]*Entry{}
	}
	if entries := t.entries[id.Fingerprint]; len(entries) >= maxPerFingerprint {
		t.remove(slices.MinFunc(entries, expiresEarlier))
	} else if t.count >= maxEntries {
		t.remove(t.firstToExpire())
	}
	e := &Entry{Identity: id}
	t.replace(id.Fingerprint, append(slices.Clone(t.entries[id.Fingerprint]), e))
	return e
}

// remove removes an entry.
func (t *Table) remove(e *Entry) {
	t.replace(e.Fingerprint, slices.DeleteFunc(slices.Clone(t.entries[e.Fingerprint]), func(o *Entry) bool { return o == e }))
}

// firstToExpire returns the entry that expires first.
func (t *Table) firstToExpire() (first *Entry) {
	for _, entries := range t.entries {
		e := slices.MinFunc(entries, expiresEarlier)
		if first == nil || expiresEarlier(e, first) < 0 {
			first = e
		}
	}
	return first
}

// expiresEarlier compares entries by the time at which they expire, then by fingerprint and traits.
func expiresEarlier(a, b *Entry) int {
	return cmp.Or(a.ExpiresAt.Compare(b.ExpiresAt), cmp.Compare(a.Fingerprint, b.Fingerprint), slices.Compare(a.Traits, b.Traits))
}
