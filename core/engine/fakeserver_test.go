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
	shedsWhenCold    bool
	warmth           int
	draining         bool
	statusHidesDrain bool
	snapshots        []model.Snapshot
	epoch            model.MapEpoch
	inFlight         map[event.AttemptID]*runningAttempt
	// straggle is added to the time of a run; loseReplies is the number of replies
	// that are lost after the run.
	extraTime   time.Duration
	loseReplies int
	// badReplies is the number of replies that are spoilt.
	corruptReplies int
	crashes        int
	// overloads counts the crashes for more work than a cold server bears.
	overloads int
	coldPeak  int
	// drainingSince is when a drawn fault made the server leave.
	drainingSince time.Time
	// toldAt is when an instance in touch with its peers was refused for that.
	drainRefusedAt time.Time
	// silentDrain is a leave that only the platform's list shows.
	silentDrain bool
	// lastArrived is when the last attempt arrived, taken or not.
	lastArrivalAt time.Time
	// poisoned counts the deaths by each poison query.
	poisonCrashes map[string]int
	rebootDelay   time.Duration
}

type runningAttempt struct {
	n *node
	c event.SendAttempt
}

func newFakeServer(w *world, svc *model.Service, g model.Group, b model.Server) *fakeServer {
	return &fakeServer{
		Server: b, w: w, group: g, slots: svc.Slots, up: true, boot: 1, epoch: svc.Epoch,
		snapshots: []model.Snapshot{1}, inFlight: map[event.AttemptID]*runningAttempt{}, poisonCrashes: map[string]int{}, rebootDelay: rebootDelay,
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
	if s.statusHidesDrain {
		r.Draining = false
	}
	return event.StatusPolled{Server: s.ID, Reached: true, Report: r}
}

// bears is the number of attempts that the server bears at a time.
func (s *fakeServer) capacity() int {
	if s.warmth >= runsUntilWarm {
		return 3 * s.slots
	}
	return max(1, 1+s.warmth*s.slots/runsUntilWarm)
}

// take handles an attempt that arrives.
func (s *fakeServer) receive(n *node, c event.SendAttempt) {
	if n.dead {
		return
	}
	s.lastArrivalAt = s.w.now
	s.checkDrainObeyed(n)
	refuse := func(reason event.RefusalReason) {
		s.w.schedule(networkLatency, func() {
			n.end(c, event.AttemptEnded{Kind: event.Refused, Reason: reason, Report: s.report()})
		})
	}
	switch {
	case !s.up:
		s.w.schedule(networkLatency, func() { n.end(c, event.AttemptEnded{Kind: event.NotSent}) })
	case s.draining:
		refuse(event.RefusedDraining)
	case c.Epoch != s.epoch:
		refuse(event.RefusedEpoch)
	case !slices.Contains(s.snapshots, c.Snapshot):
		refuse(event.RefusedSnapshot)
	case len(s.inFlight) >= s.capacity() && s.warmth < runsUntilWarm && !s.shedsWhenCold:
		s.overloads++
		s.w.logFault("%s fell over: %d in flight, bears %d", s.ID, len(s.inFlight), s.capacity())
		s.crash()
	case len(s.inFlight) >= s.capacity():
		refuse(event.RefusedShed)
	default:
		s.start(n, c)
	}
}

// checkLeaving checks promise 8 for an attempt that arrives. While the status denies
// the leave, the server's refusal of an attempt is the only word of it: the time then
// counts from the first one that an instance in touch with its peers got. It counts
// anew for an instance that started, resumed or was joined to its peers again.
func (s *fakeServer) checkDrainObeyed(n *node) {
	if !s.draining || s.drainingSince.IsZero() {
		return
	}
	refused := !s.drainRefusedAt.Before(s.drainingSince)
	if !refused && !n.cutPeers {
		s.drainRefusedAt = s.w.now
	}
	if (s.statusHidesDrain && !refused) || n.cutPeers {
		return
	}
	since := s.drainingSince
	if s.statusHidesDrain {
		since = s.drainRefusedAt
	}
	if n.recoveredAt.After(since) {
		since = n.recoveredAt
	}
	if late := s.w.now.Sub(since); late > propagationLimit {
		s.w.fail("promise 8: %s sent to %s, whose leave could be known for %v", n.id, s.ID, late)
	}
}

func (s *fakeServer) start(n *node, c event.SendAttempt) {
	if s.warmth < runsUntilWarm {
		s.coldPeak = max(s.coldPeak, len(s.inFlight)+1)
	}
	run := &runningAttempt{n: n, c: c}
	s.inFlight[c.Attempt] = run
	s.w.startedQueries[queryName(c.Attempt)] = true
	if c.OnceKey != "" {
		s.w.runsByKey[c.OnceKey]++
	}
	if strings.Contains(string(c.Body), "poison") {
		s.poisonCrashes[string(c.Body)]++
		s.crash()
		return
	}
	serviceTime := warmServiceTime
	if s.warmth < runsUntilWarm {
		serviceTime = coldServiceTime
	}
	serviceTime += s.extraTime + time.Duration(s.w.random.Int64N(int64(2*time.Millisecond)))
	s.w.schedule(serviceTime, func() { s.finish(run) })
}

func (s *fakeServer) finish(run *runningAttempt) {
	if s.inFlight[run.c.Attempt] != run {
		return
	}
	delete(s.inFlight, run.c.Attempt)
	s.warmth++
	if s.loseReplies > 0 {
		s.loseReplies--
		s.w.schedule(networkLatency, func() { run.n.end(run.c, event.AttemptEnded{Kind: event.Died}) })
		return
	}
	end := event.AttemptEnded{
		Kind: event.Answered, Snapshot: run.c.Snapshot, Epoch: run.c.Epoch, Report: s.report(),
		Body: fmt.Appendf(nil, `%s/%s/%d/%d`, s.ID, s.group.Name, run.c.Snapshot, run.c.Epoch),
	}
	if s.corruptReplies > 0 {
		s.corruptReplies--
		end = event.AttemptEnded{Kind: event.BadReply}
	}
	s.w.schedule(networkLatency, func() { run.n.end(run.c, end) })
}

// crash breaks every connection; the server comes back cold.
func (s *fakeServer) crash() {
	s.crashes++
	s.up = false
	s.warmth = 0
	for _, id := range s.sortedRuns() {
		run := s.inFlight[id]
		s.w.schedule(networkLatency, func() { run.n.end(run.c, event.AttemptEnded{Kind: event.Died}) })
	}
	clear(s.inFlight)
	s.w.schedule(networkLatency, func() {
		for _, n := range s.w.nodes {
			n.enqueue(event.ConnectionLost{Address: s.Address})
		}
	})
	s.w.schedule(s.rebootDelay, func() {
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
