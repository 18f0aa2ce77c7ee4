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

// before orders legs: urgent first, then by deadline.
func (w waitingLeg) before(o waitingLeg) bool {
	if w.urgent != o.urgent {
		return w.urgent
	}
	return w.answerBy.Before(o.answerBy)
}

// groupState is what is kept per group beside its servers.
type groupState struct {
	key limit.GroupKey
	// queue is sorted by waitingLeg.before.
	queue []waitingLeg
	// dirty is set while the group stands in System.dirty.
	dirty bool
	// kickAt is when the group is next looked at without another event.
	kickAt time.Time
	// tail estimates the quantile of latency after which a leg is hedged.
	tail quantile
}

func (s *System) group(key limit.GroupKey) *groupState {
	g := s.groups[key]
	if g == nil {
		g = &groupState{key: key}
		s.groups[key] = g
	}
	return g
}

// markDirty notes that a group's waiting legs may be able to move.
func (s *System) markDirty(key limit.GroupKey) {
	g := s.group(key)
	if !g.dirty {
		g.dirty = true
		s.dirty = append(s.dirty, g)
	}
}

// enqueue puts a waiting leg into its group's queue.
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
		if b.before(a) {
			return 1
		}
		return -1
	})
	g.queue = slices.Insert(g.queue, at, w)
	s.markDirty(key)
}

// live returns the query and leg of a queue entry, or nil when the leg no longer
// waits.
func (s *System) live(w waitingLeg) (*Query, *Leg) {
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

// maxScan bounds the waiting legs that are looked at each time a group can move:
// legs behind these wait for the same servers.
const maxScan = 32

// dispatch sends what can be sent in the groups that changed.
func (s *System) dispatch(now time.Time) {
	for len(s.dirty) > 0 {
		g := s.dirty[0]
		s.dirty = s.dirty[1:]
		g.dirty = false
		s.dispatchGroup(now, g)
	}
}

func (s *System) dispatchGroup(now time.Time, g *groupState) {
	queue := g.queue
	g.queue = nil
	var kept []waitingLeg
	for i, w := range queue {
		q, l := s.live(w)
		if q == nil {
			continue
		}
		if len(kept) >= maxScan {
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
		if q, l := s.live(w); q != nil {
			l.Queued = false
			s.enqueue(q, w.leg)
		}
	}
	s.returnUnusedGrants(g)
}

// returnUnusedGrants gives back the leaves for which no leg waits.
func (s *System) returnUnusedGrants(g *groupState) {
	if len(g.queue) > 0 {
		return
	}
	for _, b := range s.Servers.Group(g.key.Service, g.key.Group) {
		s.Warm.ReturnUnusedGrant(b)
	}
}
