package engine

import (
	"fmt"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/route"
)

const (
	// peerWordLasts is the time without word from a peer after which an instance reads
	// the directory itself. Those who read it send word about once a second.
	peerWordLasts = 1600 * time.Millisecond
	// staleAfter is the age of what is known after which peers are asked; it is longer
	// than the time between two answers of the directory.
	staleAfter = 2500 * time.Millisecond
	// askInterval is the time between two questions to peers while the directory gives
	// this instance no answer.
	askInterval = time.Second
	// askPause is the least time between two questions: the answer may be on its way, and is
	// as long as the directory.
	askPause = 200 * time.Millisecond
	// passOnAfter is how much fresher word must be to be passed on when it brings no
	// change.
	passOnAfter = 300 * time.Millisecond
)

// follower is how this instance learns of the directory. In each data centre one
// instance, found by rendezvous hashing, reads the directory and tells the others
// there; whoever hears nothing for peerWordLasts reads it too. Two readers at once
// only cost calls.
type follower struct {
	// revision is what is known; zero before the first word.
	revision uint64
	// newsAfter is the revision of the last change: nothing changed between it and
	// revision.
	newsAfter uint64
	// knownAt is a time at which the directory held what is known.
	knownAt time.Time
	// toldAt is the same of what peers told.
	toldAt time.Time
	// active is set while this instance reads the directory itself.
	active bool
	// askedAt is when a peer was last asked.
	askedAt time.Time
	// asked counts the questions, to ask another peer each time.
	asked int
}

// Directory returns the revision of the directory that is known, and a time at which the
// directory held it.
func (e *Engine) DirectoryRevision() (revision uint64, knownAt time.Time) {
	return e.directory.revision, e.directory.knownAt
}

// followDirectory decides whether this instance reads the directory itself.
func (e *Engine) followDirectory(now time.Time) {
	f := &e.directory
	mine := e.dataCentrePeers()
	ids := make([]model.InstanceID, 0, len(mine)+1)
	ids = append(append(ids, mine...), e.Self.ID)
	active := !e.Roster.Loaded() || route.Owner("directory", ids) == e.Self.ID || now.Sub(f.toldAt) > peerWordLasts
	if active != f.active {
		f.active = active
		e.Emit(event.FollowDirectory{Active: active, Revision: f.revision})
		to, why := "peers", "another instance of the data centre reads it"
		switch {
		case active && f.toldAt.IsZero():
			to, why = "directory", "no word from peers yet"
		case active:
			to, why = "directory", fmt.Sprintf("last word from peers %s ago", now.Sub(f.toldAt).Round(time.Millisecond))
		}
		e.Emit(event.StateChanged{Kind: "directory-source", Name: string(e.Self.ID), To: to, Cause: why})
	}
	if e.mayKnowLess(now) && now.Sub(f.askedAt) >= askInterval {
		if linked := e.Members.Linked(); len(linked) > 0 {
			e.askDirectory(now, linked[f.asked%len(linked)])
		}
	}
}

// dataCentrePeers returns the live instances of this data centre that are linked, this
// one left out.
func (e *Engine) dataCentrePeers() (out []model.InstanceID) {
	for _, m := range e.Members.Rows() {
		if m.ID != e.Self.ID && m.Linked && m.IsLive() && m.DataCentre == e.Self.DataCentre {
			out = append(out, m.ID)
		}
	}
	return out
}

// mayKnowLess reports whether peers may know of changes that this instance has not
// heard of.
func (e *Engine) mayKnowLess(now time.Time) bool {
	return !e.Roster.Loaded() || e.Roster.Unreachable() || now.Sub(e.directory.knownAt) > staleAfter
}

// askDirectory asks a peer for what it knows, if this instance may know less.
func (e *Engine) askDirectory(now time.Time, peer model.InstanceID) {
	if e.Roster == nil || !e.mayKnowLess(now) {
		return
	}
	f := &e.directory
	if now.Sub(f.askedAt) < askPause {
		return
	}
	f.askedAt = now
	f.asked++
	e.Send(peer, event.Message{GetDirectory: &event.GetDirectory{Revision: f.revision}})
}

// giveDirectory tells a peer all that is known, if that is newer.
func (e *Engine) giveDirectory(now time.Time, to model.InstanceID, revision uint64) {
	if e.Roster == nil || !e.Roster.Loaded() || e.Relay.Table().Version == 0 || e.directory.revision <= revision {
		return
	}
	changes := append(e.Roster.AllEntries(now), event.DirectoryChange{Key: "routing-table", Routing: e.Relay.Table()})
	e.Send(to, event.Message{Directory: e.news(now, changes, true)})
}

// news makes the message that tells changes.
func (e *Engine) news(now time.Time, changes []event.DirectoryChange, whole bool) *event.DirectoryUpdate {
	f := &e.directory
	n := &event.DirectoryUpdate{
		BaseRevision: f.newsAfter, Revision: f.revision, Full: whole, Changes: changes,
		AgeMicros: max(0, now.Sub(f.knownAt).Microseconds()),
	}
	if at := e.Roster.RecoveredAt(); !at.IsZero() {
		n.RecoveredMicros = max(1, now.Sub(at).Microseconds())
	}
	return n
}

// directorySeen takes in what this instance read, and tells the others of its data
// centre.
func (e *Engine) directorySeen(now time.Time, v event.DirectoryRead) {
	if e.Roster.Unreachable() {
		e.Emit(event.StateChanged{Kind: "directory", Name: "directory", From: "unreachable", To: "reachable"})
		e.Roster.MarkReachable(now)
	}
	e.applyDirectory(now, v)
	n := e.news(now, v.Changes, false)
	e.directory.changed(v)
	if v.Full {
		n = e.pointer(now)
	}
	e.tellDataCentre("", n)
}

// pointer makes the message that tells which revision is known and nothing of its content:
// whoever lacks it asks. The whole directory is not passed on to those who have most of it.
func (e *Engine) pointer(now time.Time) *event.DirectoryUpdate {
	n := e.news(now, nil, false)
	n.BaseRevision = n.Revision
	return n
}

// changed moves on to the revision of what was read or told. The news of a batch is made
// before, so that it names the revision that the batch follows on.
func (f *follower) changed(v event.DirectoryRead) {
	if len(v.Changes) > 0 || v.Full {
		f.newsAfter = f.revision
	}
}

// applyDirectory takes in a state of the directory, or changes of it.
func (e *Engine) applyDirectory(now time.Time, v event.DirectoryRead) {
	f := &e.directory
	for _, c := range v.Changes {
		if c.Problem != "" {
			e.Emit(event.StateChanged{Kind: "directory-entry", Name: c.Key, To: "unreadable", Cause: c.Problem})
		}
		if c.Routing == nil || !e.Relay.Configure(c.Routing) {
			continue
		}
		e.Emit(event.SetCallerLimits{Limits: c.Routing.Limits})
		e.Emit(event.StateChanged{
			Kind: "routing-table", Name: fmt.Sprint(c.Routing.Version), To: "in-force",
			Cause: fmt.Sprintf("%d routes", len(c.Routing.Routes)),
		})
	}
	e.emitChanges(e.Roster.Apply(now, v))
	f.revision = max(f.revision, v.Revision)
	if v.AsOf.After(f.knownAt) {
		f.knownAt = v.AsOf
	}
}

// directoryTold takes in a peer's word on the directory.
func (e *Engine) directoryTold(now time.Time, from model.InstanceID, n *event.DirectoryUpdate) {
	if e.Roster == nil {
		return
	}
	f := &e.directory
	knownAt := now.Add(-time.Duration(n.AgeMicros) * time.Microsecond)
	news := n.Revision > f.revision
	if news && !n.Full && n.BaseRevision > f.revision {
		// Changes between were missed.
		if now.Sub(f.askedAt) >= askPause {
			f.askedAt = now
			e.Send(from, event.Message{GetDirectory: &event.GetDirectory{Revision: f.revision}})
		}
		return
	}
	if now.Sub(knownAt) < peerWordLasts {
		e.returnedBy(now, from, n)
	}
	first := !e.Roster.Loaded()
	seen := event.DirectoryRead{Changes: n.Changes, Full: n.Full, Revision: n.Revision, AsOf: knownAt}
	if news {
		e.applyDirectory(now, seen)
	}
	// Word of an older revision is not passed on: it would not make what was told fresher,
	// and come back for ever.
	fresher := n.Revision >= f.revision && knownAt.Sub(f.toldAt) > passOnAfter
	if n.Revision >= f.revision && knownAt.After(f.toldAt) {
		f.toldAt = knownAt
		if knownAt.After(f.knownAt) {
			f.knownAt = knownAt
		}
	}
	if news {
		f.changed(seen)
	}
	switch {
	case news && n.Full:
		e.tellDataCentre(from, e.pointer(now))
	case news || fresher:
		e.tellDataCentre(from, n)
	}
	if first && e.Roster.Loaded() {
		// Listing the directory may have become needless.
		e.followDirectory(now)
	}
}

// returnedBy takes the directory for reachable, by way of a peer that reads it.
func (e *Engine) returnedBy(now time.Time, from model.InstanceID, n *event.DirectoryUpdate) {
	if e.Roster.Unreachable() {
		e.Emit(event.StateChanged{Kind: "directory", Name: "directory", From: "unreachable", To: "reachable", Cause: "by way of " + string(from)})
	}
	var since time.Time
	if n.RecoveredMicros > 0 {
		since = now.Add(-time.Duration(n.RecoveredMicros) * time.Microsecond)
	}
	e.Roster.MarkReachable(since)
}

// tellDataCentre passes word on to the linked instances of the data centre but one.
func (e *Engine) tellDataCentre(but model.InstanceID, n *event.DirectoryUpdate) {
	for _, id := range e.dataCentrePeers() {
		if id != but {
			e.Send(id, event.Message{Directory: n})
		}
	}
}

// directoryLost notes that the directory gives this instance no answer.
func (e *Engine) directoryLost(now time.Time, v event.DirectoryUnreachable) {
	if e.Roster.MarkUnreachable() {
		e.Emit(event.StateChanged{Kind: "directory", Name: "directory", From: "reachable", To: "unreachable", Cause: v.Cause})
		if linked := e.Members.Linked(); len(linked) > 0 {
			e.askDirectory(now, linked[e.directory.asked%len(linked)])
		}
	}
}

func (e *Engine) emitChanges(changes []event.StateChanged) {
	for _, c := range changes {
		e.Emit(c)
	}
}

// unfitToRelay returns why this instance must not take routed requests, or "". An
// instance that is cut off from the directory serves on by what it last heard:
// callers reach it, and mostly the backend servers too.
func (e *Engine) unfitToRelay() string {
	switch {
	case !e.Roster.Loaded():
		return "the directory has not been read yet"
	case e.Relay.Table().Version == 0:
		return "the directory holds no routing table"
	}
	return ""
}
