package query

import (
	"time"

	"hyssoppitch/core/claim"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
)

const (
	// cancelledHoldFactor times a server's latency estimate is how long a cancelled
	// attempt counts as occupying a slot of the server, from when it was sent.
	cancelledHoldFactor = 2
	// shedRetryDelay is the minimum delay before the servers of a group are tried
	// again after all of them shed.
	shedRetryDelay = 10 * time.Millisecond
	// maxShedRounds is the maximum number of times that a leg tries all servers of
	// its group again after sheds.
	maxShedRounds = 3
)

// HandleAttemptEnded processes the end of an attempt: it updates the state of the
// server, the suspicion of the query and the leg, and frees the server's slot.
func (s *System) HandleAttemptEnded(now time.Time, e event.AttemptEnded) {
	a := s.attempts[e.Attempt]
	if a == nil || a.Ended || a.Server.ID != e.Server {
		s.Counters.RepliesUnwanted++
		return
	}
	a.Ended = true
	s.countEnded(e.Kind)
	s.observe(now, a, e)
	s.updateSuspicion(now, a, e)
	s.updateLeg(now, a, e)
	if now.Before(a.HoldUntil) {
		s.setTimer(timerEvent{at: a.HoldUntil, kind: timerRelease, attempt: a.ID})
		return
	}
	s.release(a)
}

func (s *System) countEnded(k event.ResultKind) {
	switch k {
	case event.Answered:
		s.Counters.RepliesAnswered++
	case event.Refused:
		s.Counters.RepliesRefused++
	case event.NotSent:
		s.Counters.RepliesNotSent++
	case event.Died:
		s.Counters.RepliesDied++
	case event.TimedOut:
		s.Counters.RepliesTimedOut++
	case event.BadReply:
		s.Counters.RepliesBad++
	}
}

// release removes an attempt and frees the slot that it occupied.
func (s *System) release(a *Attempt) {
	if a == nil {
		return
	}
	delete(s.attempts, a.ID)
	a.Server.InFlight--
	s.ServerChanged(a.Server)
}

// observe updates the state of the server from the end of an attempt.
func (s *System) observe(now time.Time, a *Attempt, e event.AttemptEnded) {
	b := a.Server
	latency := now.Sub(a.SentAt)
	if e.Report.Boot != "" {
		b.RepliedAt = now
	}
	if b.ApplyReport(e.Report) {
		s.reportStateChange(b, "reply with a new boot identity")
	}
	if e.Report.Draining || (e.Kind == event.Refused && e.Reason == event.RefusedDraining) {
		s.drainByReply(b)
	}
	key := limit.GroupKey{Service: b.Service, Group: b.Group}
	switch e.Kind {
	case event.Answered:
		if !a.ToCold {
			s.group(key).latencyQuantile.observe(latency)
		}
		b.RecordAnswer(latency, s.Options.Limits)
	case event.Refused:
		if e.Reason == event.RefusedShed {
			b.RecordShed(now, s.Options.Limits)
		}
	case event.NotSent, event.Died:
		if !a.Cancelled {
			b.RecordUnreachable(now)
			s.reportStateChange(b, "connection failed")
		}
	case event.TimedOut:
		// The elapsed time is a lower bound of the latency. A cancelled attempt that
		// ended sooner than expected gives no information.
		if !a.ToCold && (!a.Cancelled || latency > b.Latency) {
			b.ObserveLatency(latency)
		}
		a.HoldUntil = a.SentAt.Add(cancelledHoldFactor * max(b.Latency, latency))
	case event.BadReply:
	}
	if a.ToCold {
		if s.Warm.AttemptDone(now, b, a.Grant, e.Kind == event.Answered, latency) {
			s.PromoteToWarm(b)
		}
		return
	}
	if b.LooksCold(s.Servers.Group(b.Service, b.Group)) {
		b.ResetToCold()
		s.reportStateChange(b, "sheds or latency typical of a cold server")
		s.broadcastState(b)
	}
}

// PromoteToWarm marks a server as warm and notifies the other instances.
func (s *System) PromoteToWarm(b *limit.Server) {
	b.MarkWarm(s.Share(b))
	s.reportStateChange(b, "warm-up completed: all slots in use")
	s.broadcastState(b)
}

// drainByReply marks a server as draining after its reply reported that, and
// notifies the other instances.
func (s *System) drainByReply(b *limit.Server) {
	if b.Drain&limit.DrainByReply != 0 {
		return
	}
	b.StartDrain(limit.DrainByReply)
	s.reportStateChange(b, "the server reported that it is draining")
	s.broadcastState(b)
}

// broadcastState sends a server's state to the other instances.
func (s *System) broadcastState(b *limit.Server) {
	s.Broadcaster.Broadcast(event.Message{Servers: &event.Servers{Updates: []event.ServerUpdate{b.PeerUpdate()}}})
}

// reportStateChange logs a server's new state with its cause, and schedules the group
// of the server for dispatch.
func (s *System) reportStateChange(b *limit.Server, cause string) {
	s.Out.Emit(event.StateChanged{Kind: "server", Name: string(b.ID), To: b.State.String(), Cause: cause})
	s.ServerChanged(b)
}

// updateSuspicion updates the suspicion that the query crashes servers, from the
// end of one of its attempts. It broadcasts a changed suspicion.
func (s *System) updateSuspicion(now time.Time, a *Attempt, e event.AttemptEnded) {
	if a.Isolated {
		a.Server.SuspectInFlight--
		s.Suspects.EndIsolated(a.Fingerprint)
		s.serviceChanged(a.Server.Service)
	}
	switch {
	case e.Kind == event.Died && !a.Cancelled:
		// The crash of a cold server with other attempts in flight may be due to
		// overload.
		isolated := a.Isolated && (!a.ToCold || a.Server.InFlight == 1)
		update := s.Suspects.RecordCrash(now, a.identity(), isolated)
		if update.State == event.SuspicionCondemned {
			s.Counters.QueriesCondemned++
		}
		s.Broadcaster.Broadcast(event.Message{Suspects: &update})
	case e.Kind == event.Answered && a.Isolated:
		for _, update := range s.Suspects.Clear(now, a.identity()) {
			s.Broadcaster.Broadcast(event.Message{Suspects: &update})
		}
	}
}

// serviceChanged schedules all groups of a service for dispatch. A suspect query
// runs on one server of the service at a time, so that the end of its attempt may
// let a waiting leg of any group be sent.
func (s *System) serviceChanged(name string) {
	svc := s.config.Service(name)
	if svc == nil {
		return
	}
	for _, g := range svc.Groups {
		s.markDirty(limit.GroupKey{Service: name, Group: g.Name})
	}
}

// updateLeg updates the query and the leg that an attempt was sent for, from the
// end of the attempt.
func (s *System) updateLeg(now time.Time, a *Attempt, e event.AttemptEnded) {
	q := s.queries[a.ID.Query]
	if q == nil {
		return
	}
	if e.Kind == event.Refused || e.Kind == event.NotSent {
		q.PossiblyRun--
	}
	if q.Round != a.Round {
		return
	}
	if q.Class.NonIdempotent {
		s.resolveNonIdempotent(now, q, e)
		return
	}
	l := &q.Legs[a.Leg]
	l.Running--
	if l.State != LegRunning {
		return
	}
	if e.Kind == event.Answered && e.Snapshot == q.Snapshot && e.Epoch == q.Service.Epoch {
		s.legAnswered(now, q, a.Leg, e.Body)
		return
	}
	if e.Kind == event.Answered {
		s.Counters.RepliesOffSnapshot++
	}
	if l.Running > 0 {
		return
	}
	s.retryLeg(now, q, a.Leg, e)
}

// legAnswered records the complete result of a leg.
func (s *System) legAnswered(now time.Time, q *Query, leg int, body []byte) {
	l := &q.Legs[leg]
	l.State, l.Result = LegAnswered, body
	q.OpenLegs--
	if l.Running > 0 {
		s.cancelLeg(q, leg)
	}
	if q.OpenLegs == 0 {
		s.finish(now, q)
		return
	}
	if q.Class.Patience > 0 && now.Sub(q.ArrivedAt) >= time.Duration(q.Class.Patience) {
		s.answerAfterPatience(now, q)
	}
}

// retryLeg makes a leg whose last attempt failed wait for another server, or marks
// it as missing if the deadline has passed or the retry budget is used up. A retry
// after an attempt that did not run is not charged to the budget.
func (s *System) retryLeg(now time.Time, q *Query, leg int, e event.AttemptEnded) {
	l := &q.Legs[leg]
	if !now.Before(q.AnswerBy) {
		s.markMissing(now, q, leg, event.MissingDeadline)
		return
	}
	mayHaveExecuted := e.Kind != event.Refused && e.Kind != event.NotSent
	if mayHaveExecuted && !s.extraBudget.tryTake() {
		s.Counters.BudgetRefused++
		s.markMissing(now, q, leg, event.MissingFailed)
		return
	}
	l.State = LegWaiting
	if e.Kind == event.Refused && e.Reason == event.RefusedShed && s.allTried(q, l) && l.ShedRounds < maxShedRounds {
		l.ShedRounds++
		l.Tried = l.Tried[:0]
		delay := shedRetryDelay + time.Duration(s.Rand.Int64N(int64(shedRetryDelay)))
		s.setTimer(timerEvent{at: now.Add(delay), kind: timerRequeue, query: q.ID, leg: leg, round: q.Round})
		return
	}
	s.enqueue(q, leg)
}

// allTried reports whether every eligible server of a leg's group was tried.
func (s *System) allTried(q *Query, l *Leg) bool {
	for _, b := range s.Servers.Group(q.Service.Name, l.Group.Name) {
		if s.eligible(q, l, b) {
			return false
		}
	}
	return true
}

// markMissing marks a leg as missing from the answer.
func (s *System) markMissing(now time.Time, q *Query, leg int, reason event.MissingReason) {
	l := &q.Legs[leg]
	l.State, l.Reason = LegMissing, reason
	q.OpenLegs--
	if q.OpenLegs == 0 {
		s.finish(now, q)
	}
}

// resolveNonIdempotent records the outcome of a non-idempotent request from the end
// of its attempt. The request is sent again only if the server reported that it did
// not run it, or if no byte was written.
func (s *System) resolveNonIdempotent(now time.Time, q *Query, e event.AttemptEnded) {
	l := &q.Legs[0]
	l.Running--
	switch e.Kind {
	case event.Answered:
		s.Claims.Resolve(now, *q.Claim, claim.Ran, &claim.Answer{
			Group: l.Group.Name, Keys: l.Group.Keys, Epoch: e.Epoch, Snapshot: e.Snapshot, Result: e.Body,
		})
		if !q.Answered {
			s.legAnswered(now, q, 0, e.Body)
			return
		}
	case event.Refused, event.NotSent:
		if !q.Answered && now.Before(q.AnswerBy) {
			s.retryLeg(now, q, 0, e)
			return
		}
		s.Claims.Resolve(now, *q.Claim, claim.Released, nil)
		if !q.Answered {
			s.refuseQuery(q, event.RefuseBackendRefused, event.OutcomeNotRun, transientRetryAfter, "no backend server ran the request in time")
		}
	default:
		s.Claims.Resolve(now, *q.Claim, claim.Unknown, nil)
		if !q.Answered {
			s.refuseQuery(q, event.RefuseOutcomeUnknown, event.OutcomeUnknown, 0, "the backend server may have run the request: no complete reply arrived")
		}
	}
	delete(s.queries, q.ID)
}
