package engine

import (
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/route"
)

const (
	// minViewRequestInterval is the minimum time between two requests of an instance for
	// a full view.
	minViewRequestInterval = 500 * time.Millisecond
	// viewMismatchGrace is how long a peer's view may differ before it is requested, since
	// updates reach all instances within a second. On a new link it is requested at once.
	viewMismatchGrace = time.Second
	// seedDialers is the number of instances that keep links to the seeds although they
	// have other peers. After a partition they reconnect the two sides.
	seedDialers = 4
)

// viewSync reconciles the membership views of linked instances after updates were lost:
// each ping carries a digest of the view, and an instance requests the view of a peer
// whose digest differs. It asks one peer at a time, since the size of a full view grows
// with the number of instances.
type viewSync struct {
	// requestedAt is when a view was last requested.
	requestedAt time.Time
	// linkedAt holds when each current link was established, and mismatchSince since when
	// the view of a peer has differed.
	linkedAt      map[model.InstanceID]time.Time
	mismatchSince map[model.InstanceID]time.Time
}

// recordLink records a new link. On its only link the instance requests the peer's view.
func (e *Engine) recordLink(now time.Time, peer model.InstanceID) {
	s := &e.views
	if s.linkedAt == nil {
		s.linkedAt, s.mismatchSince = map[model.InstanceID]time.Time{}, map[model.InstanceID]time.Time{}
	}
	s.linkedAt[peer] = now
	if len(e.Members.Linked()) == 1 {
		e.requestView(now, peer)
	}
}

// recordUnlink records the end of a link.
func (e *Engine) recordUnlink(peer model.InstanceID) {
	delete(e.views.linkedAt, peer)
	delete(e.views.mismatchSince, peer)
}

// compareView compares the digest of a peer's view with that of the own view, and
// requests the peer's view if they have differed for long enough or the link is new.
func (e *Engine) compareView(now time.Time, peer model.InstanceID, digest uint64) {
	s := &e.views
	if digest == e.Members.Digest() {
		delete(s.mismatchSince, peer)
		return
	}
	since, mismatched := s.mismatchSince[peer]
	if !mismatched {
		since = now
		s.mismatchSince[peer] = now
	}
	recentLink := now.Sub(s.linkedAt[peer]) < viewMismatchGrace
	if now.Sub(s.requestedAt) < minViewRequestInterval || (!recentLink && now.Sub(since) < viewMismatchGrace) {
		return
	}
	e.requestView(now, peer)
}

// requestView asks a peer for its full view.
func (e *Engine) requestView(now time.Time, peer model.InstanceID) {
	e.views.requestedAt = now
	e.Send(peer, event.Message{GetMembers: &event.GetMembers{}})
}

// shouldDialSeeds reports whether this instance keeps links to the seed addresses of its
// settings: if it has no other links, or is one of the seedDialers.
func (e *Engine) shouldDialSeeds() bool {
	live := e.Members.Live()
	if len(e.Members.Linked()) == 0 || len(live) <= seedDialers {
		return true
	}
	for _, id := range route.RankedOwners("seeds", live, seedDialers) {
		if id == e.Self.ID {
			return true
		}
	}
	return false
}
