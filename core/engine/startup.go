package engine

import (
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// This file decides how an instance that has just started gets the directory.

const (
	// startListDelay is the time after its start at which an instance without the directory
	// reads it itself, unless it reads it first, and unlinkedListDelay the same for an instance
	// without links. A random time of up to startListJitter is added. startListDelay applies
	// after a failed read, too.
	startListDelay    = 900 * time.Millisecond
	unlinkedListDelay = 400 * time.Millisecond
	startListJitter   = 500 * time.Millisecond
	// remoteRequestDelay is the time after its start at which the first instance in the order
	// of readers asks a peer of another data centre for the directory; the others ask after
	// twice that time, as they get it from the first one.
	remoteRequestDelay = 400 * time.Millisecond
	// startCheckInterval and startRequestInterval are the intervals at which an instance
	// without a copy checks whether to read the directory itself, and asks a peer for it.
	startCheckInterval   = 100 * time.Millisecond
	startRequestInterval = 300 * time.Millisecond
	// maxStartListDelay limits startListDelay, which doubles after each failed read while
	// there are peers that may send the directory.
	maxStartListDelay = 4 * startListDelay
	// establishedAge is how much earlier than this instance a peer must have started to be
	// expected to have the directory.
	establishedAge = 5 * time.Second
)

// directoryPeers returns the linked peers that may be asked for the directory now. While many
// instances start together, one without a copy asks only those of its data centre at first,
// because links between data centres are slow and the directory is large. Peers that have
// been running for some time are asked at once.
func (e *Engine) directoryPeers(now time.Time) (out []model.InstanceID) {
	delay := remoteRequestDelay
	if e.readerRank() > 0 {
		delay *= 2
	}
	if e.Roster.Loaded() || now.Sub(e.directory.startedAt) >= delay {
		return e.Members.Linked()
	}
	for _, m := range e.Members.Rows() {
		established := m.Incarnation+model.Incarnation(establishedAge) < e.Self.Incarnation
		if m.ID != e.Self.ID && m.Linked && (established || m.DataCentre == e.Self.DataCentre) {
			out = append(out, m.ID)
		}
	}
	return out
}

// scheduleList sets when this instance reads the directory itself if it gets no copy from
// peers before.
func (e *Engine) scheduleList(now time.Time, delay time.Duration) {
	e.directory.listDelay = delay
	e.directory.listAt = now.Add(delay + time.Duration(e.rand.Int64N(int64(startListJitter))))
}

// notifyWaitingPeers sends the current revision to the peers that asked for the directory when
// there was no local copy. Those that lack it still will ask again.
func (e *Engine) notifyWaitingPeers(now time.Time) {
	if len(e.directory.waiting) == 0 || !e.Roster.Loaded() || e.Relay.Table().Version == 0 {
		return
	}
	for _, id := range e.Members.Linked() {
		if e.directory.waiting[id] {
			e.Send(id, event.Message{Directory: e.newRevisionNotice(now)})
		}
	}
	e.directory.waiting = nil
}

// checkDirectoryAtStart chooses the source of the directory more often than the periodic work
// does while there is no copy. It returns when it must be called again, or the zero time.
func (e *Engine) checkDirectoryAtStart(now time.Time) (due time.Time) {
	if e.Roster == nil || e.Roster.Loaded() {
		return time.Time{}
	}
	if !now.Before(e.directory.checkAt) {
		e.chooseDirectorySource(now)
	}
	return e.directory.checkAt
}

// postponeList delays the next read of the directory by an instance that has no copy and failed
// to read it. Seeds are not delayed.
func (e *Engine) postponeList(now time.Time) {
	s := &e.directory
	if s.readsFirst {
		return
	}
	s.listFailed = true
	delay := startListDelay
	if len(e.Members.Linked()) > 0 {
		delay = min(2*s.listDelay, maxStartListDelay)
	}
	e.scheduleList(now, delay)
	e.chooseDirectorySource(now)
}
