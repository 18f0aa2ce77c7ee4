package query

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
)

// waitingLeg is a leg in a group's queue.
type waitingLeg struct {
	query    event.QueryID
	leg      int
	round    int
	urgent   bool
	answerBy time.Time
}

// sortsBefore orders legs: urgent ones first, then by deadline.
func (w waitingLeg) sortsBefore(o waitingLeg) bool {
	if w.urgent != o.urgent {
		return w.urgent
	}
	return w.answerBy.Before(o.answerBy)
}

// groupState holds the queue and the latency estimate of a group.
type groupState struct {
	key limit.GroupKey
	// queue is sorted by waitingLeg.sortsBefore.
	queue []waitingLeg
	// dirty is set while the group is listed in System.dirty.
	dirty bool
	// recheckAt is when a timer next tries to place the group's waiting legs.
	recheckAt time.Time
	// latencyQuantile estimates the latency after which a leg is hedged.
	latencyQuantile quantileEstimate
}

// group returns the state of a group, and creates it on first use.
func (s *System) group(key limit.GroupKey) *groupState {
	g := s.groups[key]
	if g == nil {
		g = &groupState{key: key}
		s.groups[key] = g
	}
	return g
}

// markDirty schedules a group for dispatch: its waiting legs may have become
// placeable.
func (s *System) markDirty(key limit.GroupKey) {
	g := s.group(key)
	if !g.dirty {
		g.dirty = true
		s.dirty = append(s.dirty, g)
	}
}

// enqueue adds a waiting leg to its group's queue.
func (s *System) enqueue(q *Query, leg int) {
	l := &q.Legs[leg]
	if l.Queued {
		return
	}
	l.Queued = true
	key := limit.GroupKey{Service: q.Service.Name, Group: l.Group.Name}
	g := s.group(key)
	w := waitingLeg{query: q.ID, leg: leg, round: q.Round, urgent: q.Class.Urgent, answerBy: q.AnswerBy}
	at, _ := slices.BinarySearchFunc(g.queue, w, func(a, b waitingLeg) int {
		if b.sortsBefore(a) {
			return 1
		}
		return -1
	})
	g.queue = slices.Insert(g.queue, at, w)
	s.markDirty(key)
}

// waitingLegOf returns the query and the leg of a queue entry, or nil when the leg
// no longer waits.
func (s *System) waitingLegOf(w waitingLeg) (*Query, *Leg) {
	q := s.queries[w.query]
	if q == nil || q.Answered || q.Round != w.round {
		return nil, nil
	}
	l := &q.Legs[w.leg]
	if l.State != LegWaiting {
		return nil, nil
	}
	return q, l
}

// maxDispatchScan is the number of legs that may fail to be placed before the
// dispatch of a group stops: the legs behind these wait for the same servers.
const maxDispatchScan = 32

// dispatch places the waiting legs of the groups that changed.
func (s *System) dispatch(now time.Time) {
	for len(s.dirty) > 0 {
		g := s.dirty[0]
		s.dirty = s.dirty[1:]
		g.dirty = false
		s.dispatchGroup(now, g)
	}
}

// dispatchGroup places the waiting legs of a group in queue order and keeps those
// that can't be placed.
func (s *System) dispatchGroup(now time.Time, g *groupState) {
	queue := g.queue
	g.queue = nil
	var kept []waitingLeg
	for i, w := range queue {
		q, l := s.waitingLegOf(w)
		if q == nil {
			continue
		}
		if len(kept) >= maxDispatchScan {
			kept = append(kept, queue[i:]...)
			break
		}
		l.Queued = false
		if !s.place(now, q, w.leg) {
			l.Queued = true
			kept = append(kept, w)
		}
	}
	// Placing a leg may have queued others of this group.
	added := g.queue
	g.queue = kept
	for _, w := range added {
		if q, l := s.waitingLegOf(w); q != nil {
			l.Queued = false
			s.enqueue(q, w.leg)
		}
	}
	s.returnUnusedGrants(g)
}

// returnUnusedGrants returns the grants that this instance holds for a group's cold
// servers, if no leg of the group waits.
func (s *System) returnUnusedGrants(g *groupState) {
	if len(g.queue) > 0 {
		return
	}
	for _, b := range s.Servers.Group(g.key.Service, g.key.Group) {
		s.Warm.ReturnUnusedGrant(b)
	}
}
