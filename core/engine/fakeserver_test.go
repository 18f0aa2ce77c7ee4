package engine_test

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// fakeServer simulates a backend server with slots, a cold start and faults.
type fakeServer struct {
	model.Server
	w     *simulation
	group model.Group
	slots int
	up    bool
	boot  int
	// shedsWhenCold makes a cold server shed load above its capacity instead of crashing.
	shedsWhenCold bool
	// warmth counts the finished runs since the start; see runsUntilWarm.
	warmth   int
	draining bool
	// statusHidesDrain makes the status endpoint deny a drain.
	statusHidesDrain bool
	snapshots        []model.Snapshot
	epoch            model.MapEpoch
	inFlight         map[event.AttemptID]*runningAttempt
	// extraTime is added to the service time. loseReplies is the number of replies that
	// will be lost after the run.
	extraTime   time.Duration
	loseReplies int
	// corruptReplies is the number of replies that will be corrupt.
	corruptReplies int
	crashes        int
	// overloads counts the crashes of the cold server because of overload.
	overloads int
	// coldPeak is the maximum number of attempts in flight while the server was cold.
	coldPeak int
	// drainingSince is when a random fault started a drain; zero if none did.
	drainingSince time.Time
	// drainRefusedAt is when the draining server first refused an attempt of an instance
	// with links to its peers.
	drainRefusedAt time.Time
	// silentDrain is set while only the platform's list shows that the server drains.
	silentDrain bool
	// lastArrivalAt is when the last attempt arrived, accepted or not.
	lastArrivalAt time.Time
	// poisonCrashes counts the crashes by each poison query.
	poisonCrashes map[string]int
	rebootDelay   time.Duration
}

// runningAttempt is an attempt that the server runs for a node.
type runningAttempt struct {
	node    *node
	command event.SendAttempt
}

func newFakeServer(w *simulation, svc *model.Service, g model.Group, b model.Server) *fakeServer {
	return &fakeServer{
		Server: b, w: w, group: g, slots: svc.Slots, up: true, boot: 1, epoch: svc.Epoch,
		snapshots: []model.Snapshot{1}, inFlight: map[event.AttemptID]*runningAttempt{}, poisonCrashes: map[string]int{}, rebootDelay: rebootDelay,
	}
}

// report returns the report that replies carry.
func (s *fakeServer) report() event.ServerReport {
	return event.ServerReport{
		Boot: fmt.Sprintf("%s-%d", s.ID, s.boot), Draining: s.draining,
		Snapshots: slices.Clone(s.snapshots), Epoch: s.epoch,
	}
}

// status returns the result of reading the status endpoint.
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

// capacity returns the number of attempts that the server can run concurrently.
func (s *fakeServer) capacity() int {
	if s.warmth >= runsUntilWarm {
		return 3 * s.slots
	}
	return max(1, 1+s.warmth*s.slots/runsUntilWarm)
}

// receive handles an attempt that arrives.
func (s *fakeServer) receive(n *node, c event.SendAttempt) {
	if n.dead {
		return
	}
	s.lastArrivalAt = s.w.now
	s.checkDraining(n)
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
		s.w.logFault("%s crashed because of overload: %d in flight, capacity %d", s.ID, len(s.inFlight), s.capacity())
		s.crash()
	case len(s.inFlight) >= s.capacity():
		refuse(event.RefusedShed)
	default:
		s.start(n, c)
	}
}

// checkDraining checks that no attempt arrives at a draining server later than
// propagationLimit after the instances could know of the drain. While the status hides
// the drain, only a refused attempt shows it: the time then starts at the first refusal
// that an instance with links to its peers received. For an instance that started,
// resumed or was reconnected to its peers later, the time starts there.
func (s *fakeServer) checkDraining(n *node) {
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
		s.w.fail("%s sent to %s, whose drain could be known for %v", n.id, s.ID, late)
	}
}

// start runs an attempt. A poison query crashes the server.
func (s *fakeServer) start(n *node, c event.SendAttempt) {
	if s.warmth < runsUntilWarm {
		s.coldPeak = max(s.coldPeak, len(s.inFlight)+1)
	}
	run := &runningAttempt{node: n, command: c}
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

// finish replies to an attempt, unless the server has crashed since it started.
func (s *fakeServer) finish(run *runningAttempt) {
	if s.inFlight[run.command.Attempt] != run {
		return
	}
	delete(s.inFlight, run.command.Attempt)
	s.warmth++
	if s.loseReplies > 0 {
		s.loseReplies--
		s.w.schedule(networkLatency, func() { run.node.end(run.command, event.AttemptEnded{Kind: event.Died}) })
		return
	}
	end := event.AttemptEnded{
		Kind: event.Answered, Snapshot: run.command.Snapshot, Epoch: run.command.Epoch, Report: s.report(),
		Body: fmt.Appendf(nil, `%s/%s/%d/%d`, s.ID, s.group.Name, run.command.Snapshot, run.command.Epoch),
	}
	if s.corruptReplies > 0 {
		s.corruptReplies--
		end = event.AttemptEnded{Kind: event.BadReply}
	}
	s.w.schedule(networkLatency, func() { run.node.end(run.command, end) })
}

// crash breaks every connection and restarts the server cold after rebootDelay.
func (s *fakeServer) crash() {
	s.crashes++
	s.up = false
	s.warmth = 0
	for _, id := range s.sortedRuns() {
		run := s.inFlight[id]
		s.w.schedule(networkLatency, func() { run.node.end(run.command, event.AttemptEnded{Kind: event.Died}) })
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

// sortedRuns returns the attempts in flight in a reproducible order.
func (s *fakeServer) sortedRuns() (ids []event.AttemptID) {
	for id := range s.inFlight {
		ids = append(ids, id)
	}
	slices.SortFunc(ids, func(a, b event.AttemptID) int { return strings.Compare(a.String(), b.String()) })
	return ids
}
