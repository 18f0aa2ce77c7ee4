package engine

import (
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/route"
)

const (
	// viewInterval is the least time between two whole views that an instance asks for.
	minViewRequestInterval = 500 * time.Millisecond
	// viewSettles is how long the view of a peer may differ before it is asked for: news
	// travels to all within a second. A new link is not waited for.
	viewMismatchGrace = time.Second
	// seedLinks is the number of instances that keep links to the seeds when they have other
	// peers. After a partition, those of each side bring the sides together.
	seedDialers = 4
)

// viewSync is how the views of linked instances become the same where news was lost: each
// ping carries a digest, and whoever finds that a peer's differs asks for its view. Only one
// peer is asked at a time, since a whole view grows with the number of instances.
type viewSync struct {
	requestedAt time.Time
	// linkedAt holds when the present links came up, and differsSince since when the view of
	// a peer was found to differ.
	linkedAt      map[model.InstanceID]time.Time
	mismatchSince map[model.InstanceID]time.Time
}

// viewLinked notes a new link. The first one brings this instance the view of the others.
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

// viewUnlinked notes the end of a link.
func (e *Engine) recordUnlink(peer model.InstanceID) {
	delete(e.views.linkedAt, peer)
	delete(e.views.mismatchSince, peer)
}

// viewCompared takes in the digest of a peer's view.
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

// askView asks a peer for its whole view.
func (e *Engine) requestView(now time.Time, peer model.InstanceID) {
	e.views.requestedAt = now
	e.Send(peer, event.Message{GetMembers: &event.GetMembers{}})
}

// usesSeeds reports whether this instance keeps links to the addresses of its settings: if
// it has no others, or is one of those that do so for all.
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
