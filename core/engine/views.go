package engine

import (
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/route"
)

const (
	// viewInterval is the least time between two whole views that an instance asks for.
	viewInterval = 500 * time.Millisecond
	// viewSettles is how long the view of a peer may differ before it is asked for: news
	// travels to all within a second. A new link is not waited for.
	viewSettles = time.Second
	// seedLinks is the number of instances that keep links to the seeds when they have other
	// peers. After a partition, those of each side bring the sides together.
	seedLinks = 4
)

// viewSync is how the views of linked instances become the same where news was lost: each
// ping carries a digest, and whoever finds that a peer's differs asks for its view. Only one
// peer is asked at a time, since a whole view grows with the number of instances.
type viewSync struct {
	askedAt time.Time
	// linkedAt holds when the present links came up, and differsSince since when the view of
	// a peer was found to differ.
	linkedAt     map[model.InstanceID]time.Time
	differsSince map[model.InstanceID]time.Time
}

// viewLinked notes a new link. The first one brings this instance the view of the others.
func (e *Engine) viewLinked(now time.Time, peer model.InstanceID) {
	s := &e.views
	if s.linkedAt == nil {
		s.linkedAt, s.differsSince = map[model.InstanceID]time.Time{}, map[model.InstanceID]time.Time{}
	}
	s.linkedAt[peer] = now
	if len(e.Members.Linked()) == 1 {
		e.askView(now, peer)
	}
}

// viewUnlinked notes the end of a link.
func (e *Engine) viewUnlinked(peer model.InstanceID) {
	delete(e.views.linkedAt, peer)
	delete(e.views.differsSince, peer)
}

// viewCompared takes in the digest of a peer's view.
func (e *Engine) viewCompared(now time.Time, peer model.InstanceID, digest uint64) {
	s := &e.views
	if digest == e.Members.Digest() {
		delete(s.differsSince, peer)
		return
	}
	since, known := s.differsSince[peer]
	if !known {
		since = now
		s.differsSince[peer] = now
	}
	fresh := now.Sub(s.linkedAt[peer]) < viewSettles
	if now.Sub(s.askedAt) < viewInterval || (!fresh && now.Sub(since) < viewSettles) {
		return
	}
	e.askView(now, peer)
}

// askView asks a peer for its whole view.
func (e *Engine) askView(now time.Time, peer model.InstanceID) {
	e.views.askedAt = now
	e.Send(peer, event.Message{GetMembers: &event.GetMembers{}})
}

// usesSeeds reports whether this instance keeps links to the addresses of its settings: if
// it has no others, or is one of those that do so for all.
func (e *Engine) usesSeeds() bool {
	live := e.Members.Live()
	if len(e.Members.Linked()) == 0 || len(live) <= seedLinks {
		return true
	}
	for _, id := range route.RankedOwners("seeds", live, seedLinks) {
		if id == e.Self.ID {
			return true
		}
	}
	return false
}
