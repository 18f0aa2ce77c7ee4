package engine

import (
	"fmt"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

const (
	// directoryStaleAfter is the age of the local copy after which peers are asked for a
	// newer one. It exceeds the time between two answers of the directory.
	directoryStaleAfter = 2500 * time.Millisecond
	// directoryRequestInterval is the time between two requests to peers while the
	// directory does not answer this instance.
	directoryRequestInterval = time.Second
	// minDirectoryRequestInterval is the minimum time between any two requests to peers.
	// The answer may be on its way, and it is as large as the directory.
	minDirectoryRequestInterval = 200 * time.Millisecond
	// minForwardFreshness is how much more recent an update without changes must be than
	// the previous one of the same reader to be forwarded.
	minForwardFreshness = 300 * time.Millisecond
)

// directorySync tracks the local copy of the directory. In each data centre one instance,
// the first in the order of readers, reads the directory and sends updates to the others
// there. The order is by rendezvous hashing. Without updates the next ones in the order read
// it too; several concurrent readers cost extra calls and are otherwise harmless.
//
// A new instance gets the directory from its peers, except for the first readers. It reads
// the directory itself if no peer has sent it in time.
type directorySync struct {
	// readsFirst is set on an instance that reads the directory as soon as it starts.
	readsFirst bool
	// startedAt is when the instance started, and listAt when it reads the directory itself
	// if it has no copy by then.
	startedAt, listAt time.Time
	// listDelay is the delay before listAt without its random part.
	listDelay time.Duration
	// listFailed is set once this instance has failed to read the directory.
	listFailed bool
	// checkAt is when the source is chosen again while there is no copy.
	checkAt time.Time
	// position is the position of the local copy; zero if there is none.
	position event.Position
	// baseRevision is the revision of the last change: there are no changes between it
	// and position.
	baseRevision uint64
	// asOf is a time at which the directory had the content of the local copy.
	asOf time.Time
	// peerAsOf is the latest such time that a peer reported.
	peerAsOf time.Time
	// readers holds the same for each reader of the data centre, and earlierReaderAsOf the latest
	// of those that come before this instance in the order of readers.
	readers           map[model.InstanceID]time.Time
	earlierReaderAsOf time.Time
	// active is set while this instance reads the directory itself.
	active bool
	// requestedAt is when a peer was last asked for the directory.
	requestedAt time.Time
	// requests counts the requests, to ask a different peer each time.
	requests int
	// waiting holds the peers that asked for the directory when there was no local copy.
	waiting map[model.InstanceID]bool
}

// DirectoryPosition returns the position of the local copy of the directory, and a time
// at which the directory had that content.
func (e *Engine) DirectoryPosition() (at event.Position, asOf time.Time) {
	return e.directory.position, e.directory.asOf
}

// dataCentrePeers returns the other live instances of this data centre to which this
// instance has a link.
func (e *Engine) dataCentrePeers() (out []model.InstanceID) {
	for _, m := range e.Members.Rows() {
		if m.ID != e.Self.ID && m.Linked && m.IsLive() && m.DataCentre == e.Self.DataCentre {
			out = append(out, m.ID)
		}
	}
	return out
}

// directoryMayBeStale reports whether peers may know of changes that this instance has
// not received.
func (e *Engine) directoryMayBeStale(now time.Time) bool {
	return !e.Roster.Loaded() || e.Roster.Unreachable() || now.Sub(e.directory.asOf) > directoryStaleAfter
}

// requestDirectory asks a peer for its copy of the directory, if the local copy may be
// stale.
func (e *Engine) requestDirectory(now time.Time, peer model.InstanceID) {
	if e.Roster == nil || !e.directoryMayBeStale(now) {
		return
	}
	s := &e.directory
	if now.Sub(s.requestedAt) < minDirectoryRequestInterval {
		return
	}
	s.requestedAt = now
	s.requests++
	e.Send(peer, event.Message{GetDirectory: &event.GetDirectory{Era: s.position.Era, Revision: s.position.Revision}})
}

// sendDirectory sends the full local copy to a peer whose copy has an earlier position. If there
// is no local copy yet, the peer is told so, and is notified later.
func (e *Engine) sendDirectory(now time.Time, to model.InstanceID, position event.Position) {
	if e.Roster == nil {
		return
	}
	if !e.Roster.Loaded() || e.Relay.Table().Version == 0 {
		if e.directory.waiting == nil {
			e.directory.waiting = map[model.InstanceID]bool{}
		}
		e.directory.waiting[to] = true
		e.Send(to, event.Message{Directory: &event.DirectoryUpdate{}})
		return
	}
	if !e.directory.position.After(position) {
		return
	}
	changes := append(e.Roster.AllEntries(now), e.Rollouts.Entries()...)
	changes = append(changes, event.DirectoryChange{Key: "routing-table", Routing: e.Relay.Table()})
	e.Send(to, event.Message{Directory: e.newDirectoryUpdate(now, changes, true)})
}

// newDirectoryUpdate returns an update with the changes.
func (e *Engine) newDirectoryUpdate(now time.Time, changes []event.DirectoryChange, full bool) *event.DirectoryUpdate {
	s := &e.directory
	update := &event.DirectoryUpdate{
		Era: s.position.Era, BaseRevision: s.baseRevision, Revision: s.position.Revision, Full: full, Changes: changes,
		AgeMicros: max(0, now.Sub(s.asOf).Microseconds()),
	}
	if at := e.Roster.RecoveredAt(); !at.IsZero() {
		update.RecoveredMicros = max(1, now.Sub(at).Microseconds())
	}
	return update
}

// handleDirectoryRead applies what this instance read from the directory, and updates
// its peers in the data centre.
func (e *Engine) handleDirectoryRead(now time.Time, v event.DirectoryRead) {
	if v.Era < e.directory.position.Era {
		// A peer has read the directory since it was restored; the own reader will find out.
		e.Emit(event.StateChanged{
			Kind: "directory", Name: "directory", To: "ignored",
			Cause: fmt.Sprintf("read %v, the local copy is of %v", v.Position, e.directory.position),
		})
		return
	}
	if e.Roster.Unreachable() {
		e.Emit(event.StateChanged{Kind: "directory", Name: "directory", From: "unreachable", To: "reachable"})
		e.Roster.MarkReachable(now)
	}
	if !v.Full && v.Era == e.directory.position.Era && e.directory.position.After(v.Position) {
		// Peers have sent these changes and later ones, which they would undo.
		return
	}
	e.applyDirectory(now, v)
	e.notifyWaitingPeers(now)
	update := e.newDirectoryUpdate(now, v.Changes, false)
	e.directory.recordChange(v)
	if v.Full {
		update = e.newRevisionNotice(now)
	}
	update.Reader = e.Self.ID
	e.broadcastToDataCentre("", update)
}

// newRevisionNotice returns an update with the current revision and without content. A
// receiver that lacks the revision requests it. This avoids sending the full directory
// to instances that already have most of it.
func (e *Engine) newRevisionNotice(now time.Time) *event.DirectoryUpdate {
	update := e.newDirectoryUpdate(now, nil, false)
	update.BaseRevision = update.Revision
	return update
}

// recordChange advances baseRevision to the revision of a batch of changes. The update
// that forwards the batch must be built before, since it carries the revision that the
// batch applies to.
func (s *directorySync) recordChange(v event.DirectoryRead) {
	if len(v.Changes) > 0 || v.Full {
		s.baseRevision = s.position.Revision
	}
}

// applyDirectory applies the full content or changes of the directory.
func (e *Engine) applyDirectory(now time.Time, v event.DirectoryRead) {
	s := &e.directory
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
			Cause: fmt.Sprintf("%d routes, %d customers", len(c.Routing.Routes), len(c.Routing.Customers)),
		})
		for _, problem := range c.Routing.Problems {
			e.Emit(event.StateChanged{Kind: "routing-table", Name: fmt.Sprint(c.Routing.Version), To: "entry-left-out", Cause: problem})
		}
	}
	e.emitChanges(e.Roster.Apply(now, v))
	e.emitChanges(e.Rollouts.Apply(now, v))
	e.wakeRollouts(now)
	if v.Era > s.position.Era && s.position.Revision != 0 {
		e.Emit(event.StateChanged{
			Kind: "directory", Name: "directory", From: s.position.String(), To: v.String(),
			Cause: fmt.Sprintf("restored from an older copy, %d entries read", len(v.Changes)),
		})
	}
	if v.After(s.position) {
		s.position = v.Position
	}
	if v.AsOf.After(s.asOf) {
		s.asOf = v.AsOf
	}
	if e.Roster.Loaded() {
		e.Relay.DirectoryChanged(now)
		e.reportReadiness(now)
	}
}

// handleDirectoryUpdate applies a peer's update about the directory, and forwards it to
// the data centre if it is new. A peer that still has the directory of an earlier era, before
// it was restored from an older copy, knows nothing that still holds.
func (e *Engine) handleDirectoryUpdate(now time.Time, from model.InstanceID, update *event.DirectoryUpdate) {
	if e.Roster == nil {
		return
	}
	s := &e.directory
	if update.Revision == 0 {
		// The peer has no copy yet, so that another one may be asked.
		s.requestedAt = time.Time{}
		return
	}
	if update.Era < s.position.Era {
		return
	}
	asOf := now.Add(-time.Duration(update.AgeMicros) * time.Microsecond)
	at := update.Position()
	newer := at.After(s.position)
	if now.Sub(asOf) < peerUpdateTimeout {
		e.markDirectoryReachable(now, from, update)
	}
	if newer && !update.Full && (update.Era != s.position.Era || update.BaseRevision > s.position.Revision) {
		// This instance missed the changes in between.
		if now.Sub(s.requestedAt) >= minDirectoryRequestInterval {
			s.requestedAt = now
			e.Send(from, event.Message{GetDirectory: &event.GetDirectory{Era: s.position.Era, Revision: s.position.Revision}})
		}
		return
	}
	first := !e.Roster.Loaded()
	read := event.DirectoryRead{Changes: update.Changes, Full: update.Full, Position: at, AsOf: asOf}
	if newer {
		e.applyDirectory(now, read)
	}
	// An update of an earlier position is not forwarded: it would not advance peerAsOf, and
	// would circulate among the instances forever.
	current := at.Compare(s.position) >= 0
	fresher := current && e.recordReader(update.Reader, asOf)
	if current && asOf.After(s.peerAsOf) {
		s.peerAsOf = asOf
		if asOf.After(s.asOf) {
			s.asOf = asOf
		}
	}
	if newer {
		s.recordChange(read)
	}
	switch {
	case newer && update.Full:
		e.broadcastToDataCentre(from, e.newRevisionNotice(now))
	case newer || (fresher && !update.Full):
		e.broadcastToDataCentre(from, update)
	}
	e.notifyWaitingPeers(now)
	if first && e.Roster.Loaded() && s.active {
		e.stopReadingDirectory("a peer sent the directory")
	}
}

// markDirectoryReachable records that the directory is reachable, as reported by a peer
// that reads it.
func (e *Engine) markDirectoryReachable(now time.Time, from model.InstanceID, update *event.DirectoryUpdate) {
	if e.Roster.Unreachable() {
		e.Emit(event.StateChanged{Kind: "directory", Name: "directory", From: "unreachable", To: "reachable", Cause: "reported by " + string(from)})
	}
	var recoveredAt time.Time
	if update.RecoveredMicros > 0 {
		recoveredAt = now.Add(-time.Duration(update.RecoveredMicros) * time.Microsecond)
	}
	e.Roster.MarkReachable(recoveredAt)
}

// broadcastToDataCentre sends an update to the linked instances of the data centre,
// except one.
func (e *Engine) broadcastToDataCentre(except model.InstanceID, update *event.DirectoryUpdate) {
	for _, id := range e.dataCentrePeers() {
		if id != except {
			e.Send(id, event.Message{Directory: update})
		}
	}
}

// handleDirectoryUnreachable records that the directory does not answer this instance.
func (e *Engine) handleDirectoryUnreachable(now time.Time, v event.DirectoryUnreachable) {
	if !e.Roster.Loaded() {
		e.Relay.DirectoryFailed(now)
		e.postponeList(now)
	}
	if e.Roster.MarkUnreachable() {
		e.Emit(event.StateChanged{Kind: "directory", Name: "directory", From: "reachable", To: "unreachable", Cause: v.Cause})
		if linked := e.Members.Linked(); len(linked) > 0 {
			e.requestDirectory(now, linked[e.directory.requests%len(linked)])
		}
	}
}

// maxChangesAtOnce is the maximum number of changes of one update that are logged one by one. A
// directory outage changes the state of every server, and the log's queue must have room for
// the lines of requests.
const maxChangesAtOnce = 100

// emitChanges emits several changes of state. Of those beyond maxChangesAtOnce it emits the
// number of each kind only.
func (e *Engine) emitChanges(changes []event.StateChanged) {
	type kind struct{ kind, from, to string }
	counts := map[kind]int{}
	var order []kind
	for i, c := range changes {
		if i < maxChangesAtOnce {
			e.Emit(c)
			continue
		}
		k := kind{c.Kind, c.From, c.To}
		if counts[k] == 0 {
			order = append(order, k)
		}
		counts[k]++
	}
	for _, k := range order {
		e.Emit(event.StateChanged{Kind: k.kind, Name: fmt.Sprintf("%d more", counts[k]), From: k.from, To: k.to, Cause: "as above"})
	}
}

// routedRejectReason returns why this instance must refuse routed requests, or "". An
// instance without contact to the directory continues with its last copy: callers
// reach it, and it can usually reach the backend servers as well.
func (e *Engine) routedRejectReason() string {
	switch {
	case !e.Roster.Loaded():
		return "the directory has not been read yet"
	case e.Relay.Table().Version == 0:
		return "the directory holds no routing table"
	}
	return ""
}
