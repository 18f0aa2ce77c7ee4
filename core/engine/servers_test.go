package engine_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// fakeServer is a backend server with slots, a cold start and faults.
type fakeServer struct {
	model.Server
	w     *world
	group model.Group
	slots int
	up    bool
	boot  int
	// sturdy makes a cold server shed what it doesn't bear, in place of a fall.
	sturdy    bool
	warmth    int
	draining  bool
	lying     bool
	snapshots []model.Snapshot
	epoch     model.MapEpoch
	inFlight  map[event.AttemptID]*fakeRun
	// straggle is added to the time of a run; loseReplies is the number of replies
	// that are lost after the run.
	straggle    time.Duration
	loseReplies int
	// badReplies is the number of replies that are spoilt.
	badReplies int
	crashes    int
	// overloads counts the crashes for more work than a cold server bears.
	overloads int
	coldPeak  int
	// drainingSince is when a drawn fault made the server leave.
	drainingSince time.Time
	// toldAt is when an instance in touch with its peers was refused for that.
	toldAt time.Time
	// silentDrain is a leave that only the platform's list shows.
	silentDrain bool
	// lastArrived is when the last attempt arrived, taken or not.
	lastArrived time.Time
	// poisoned counts the deaths by each poison query.
	poisoned map[string]int
	rebootIn time.Duration
}

type fakeRun struct {
	n *node
	c event.SendAttempt
}

func newFakeServer(w *world, svc *model.Service, g model.Group, b model.Server) *fakeServer {
	return &fakeServer{
		Server: b, w: w, group: g, slots: svc.Slots, up: true, boot: 1, epoch: svc.Epoch,
		snapshots: []model.Snapshot{1}, inFlight: map[event.AttemptID]*fakeRun{}, poisoned: map[string]int{}, rebootIn: rebootIn,
	}
}

func (s *fakeServer) report() event.ServerReport {
	return event.ServerReport{
		Boot: fmt.Sprintf("%s-%d", s.ID, s.boot), Draining: s.draining,
		Snapshots: slices.Clone(s.snapshots), Epoch: s.epoch,
	}
}

func (s *fakeServer) status() event.StatusPolled {
	if !s.up {
		return event.StatusPolled{Server: s.ID}
	}
	r := s.report()
	if s.lying {
		r.Draining = false
	}
	return event.StatusPolled{Server: s.ID, Reached: true, Report: r}
}

// bears is the number of attempts that the server bears at a time.
func (s *fakeServer) bears() int {
	if s.warmth >= warmRuns {
		return 3 * s.slots
	}
	return max(1, 1+s.warmth*s.slots/warmRuns)
}

// take handles an attempt that arrives.
func (s *fakeServer) take(n *node, c event.SendAttempt) {
	if n.dead {
		return
	}
	s.lastArrived = s.w.now
	s.checkLeaving(n)
	refuse := func(reason event.RefusalReason) {
		s.w.after(hop, func() {
			n.end(c, event.AttemptEnded{Kind: event.Refused, Reason: reason, Report: s.report()})
		})
	}
	switch {
	case !s.up:
		s.w.after(hop, func() { n.end(c, event.AttemptEnded{Kind: event.NotSent}) })
	case s.draining:
		refuse(event.RefusedDraining)
	case c.Epoch != s.epoch:
		refuse(event.RefusedEpoch)
	case !slices.Contains(s.snapshots, c.Snapshot):
		refuse(event.RefusedSnapshot)
	case len(s.inFlight) >= s.bears() && s.warmth < warmRuns && !s.sturdy:
		s.overloads++
		s.w.note("%s fell over: %d in flight, bears %d", s.ID, len(s.inFlight), s.bears())
		s.crash()
	case len(s.inFlight) >= s.bears():
		refuse(event.RefusedShed)
	default:
		s.start(n, c)
	}
}

// checkLeaving checks promise 8 for an attempt that arrives. While the status denies
// the leave, the server's refusal of an attempt is the only word of it: the time then
// counts from the first one that an instance in touch with its peers got. It counts
// anew for an instance that started, resumed or was joined to its peers again.
func (s *fakeServer) checkLeaving(n *node) {
	if !s.draining || s.drainingSince.IsZero() {
		return
	}
	told := !s.toldAt.Before(s.drainingSince)
	if !told && !n.cutPeers {
		s.toldAt = s.w.now
	}
	if (s.lying && !told) || n.cutPeers {
		return
	}
	since := s.drainingSince
	if s.lying {
		since = s.toldAt
	}
	if n.disturbedAt.After(since) {
		since = n.disturbedAt
	}
	if late := s.w.now.Sub(since); late > obeyedWithin {
		s.w.fail("promise 8: %s sent to %s, whose leave could be known for %v", n.id, s.ID, late)
	}
}

func (s *fakeServer) start(n *node, c event.SendAttempt) {
	if s.warmth < warmRuns {
		s.coldPeak = max(s.coldPeak, len(s.inFlight)+1)
	}
	run := &fakeRun{n: n, c: c}
	s.inFlight[c.Attempt] = run
	s.w.started[queryName(c.Attempt)] = true
	if c.OnceKey != "" {
		s.w.ledger[c.OnceKey]++
	}
	if strings.Contains(string(c.Body), "poison") {
		s.poisoned[string(c.Body)]++
		s.crash()
		return
	}
	cost := runTime
	if s.warmth < warmRuns {
		cost = coldTime
	}
	cost += s.straggle + time.Duration(s.w.random.Int64N(int64(2*time.Millisecond)))
	s.w.after(cost, func() { s.finish(run) })
}

func (s *fakeServer) finish(run *fakeRun) {
	if s.inFlight[run.c.Attempt] != run {
		return
	}
	delete(s.inFlight, run.c.Attempt)
	s.warmth++
	if s.loseReplies > 0 {
		s.loseReplies--
		s.w.after(hop, func() { run.n.end(run.c, event.AttemptEnded{Kind: event.Died}) })
		return
	}
	end := event.AttemptEnded{
		Kind: event.Answered, Snapshot: run.c.Snapshot, Epoch: run.c.Epoch, Report: s.report(),
		Body: fmt.Appendf(nil, `%s/%s/%d/%d`, s.ID, s.group.Name, run.c.Snapshot, run.c.Epoch),
	}
	if s.badReplies > 0 {
		s.badReplies--
		end = event.AttemptEnded{Kind: event.BadReply}
	}
	s.w.after(hop, func() { run.n.end(run.c, end) })
}

// crash breaks every connection; the server comes back cold.
func (s *fakeServer) crash() {
	s.crashes++
	s.up = false
	s.warmth = 0
	for _, id := range s.sortedRuns() {
		run := s.inFlight[id]
		s.w.after(hop, func() { run.n.end(run.c, event.AttemptEnded{Kind: event.Died}) })
	}
	clear(s.inFlight)
	s.w.after(hop, func() {
		for _, n := range s.w.nodes {
			n.post(event.ConnectionLost{Address: s.Address})
		}
	})
	s.w.after(s.rebootIn, func() {
		s.up, s.draining = true, false
		s.boot++
	})
}

// sortedRuns returns the attempts in flight in a repeatable order.
func (s *fakeServer) sortedRuns() (ids []event.AttemptID) {
	for id := range s.inFlight {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b event.AttemptID) int { return strings.Compare(a.String(), b.String()) })
	return ids
}
