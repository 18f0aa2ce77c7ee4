package query

import (
	"time"

	"hyssoppitch/core/claim"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
)

const (
	// holdFactor times the usual latency is how long a cancelled attempt may
	// still occupy a slot, counted from when it was sent.
	holdFactor = 2
	// shedPause is the wait before every server of a group is tried once more.
	shedPause = 10 * time.Millisecond
	// maxRounds bounds how often all servers of a group are tried after sheds.
	maxRounds = 3
)

// Ended takes in the end of an attempt.
func (s *System) HandleAttemptEnded(now time.Time, e event.AttemptEnded) {
	a := s.attempts[e.Attempt]
	if a == nil || a.Ended || a.Server.ID != e.Server {
		s.Counters.RepliesUnwanted++
		return
	}
	a.Ended = true
	s.countEnded(e.Kind)
	s.observe(now, a, e)
	s.judge(now, a, e)
	s.settleAttempt(now, a, e)
	if now.Before(a.HoldUntil) {
		s.setTimer(due{at: a.HoldUntil, kind: timerRelease, attempt: a.ID})
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

// release frees the slot that an attempt occupied.
func (s *System) release(a *Attempt) {
	if a == nil {
		return
	}
	delete(s.attempts, a.ID)
	a.Server.InFlight--
	s.ServerChanged(a.Server)
}

// observe updates the state of the server by how an attempt ended.
func (s *System) observe(now time.Time, a *Attempt, e event.AttemptEnded) {
	b := a.Server
	latency := now.Sub(a.SentAt)
	if e.Report.Boot != "" {
		b.RepliedAt = now
	}
	if b.ApplyReport(e.Report) {
		s.changed(b, "another boot identity in a reply")
	}
	if e.Report.Draining || (e.Kind == event.Refused && e.Reason == event.RefusedDraining) {
		s.drain(b)
	}
	key := limit.GroupKey{Service: b.Service, Group: b.Group}
	switch e.Kind {
	case event.Answered:
		if !a.ToCold {
			s.group(key).tail.observe(latency)
		}
		b.RecordAnswer(latency, s.Options.Limits)
	case event.Refused:
		if e.Reason == event.RefusedShed {
			b.RecordShed(now, s.Options.Limits)
		}
	case event.NotSent, event.Died:
		if !a.Cancelled {
			b.RecordUnreachable(now)
			s.changed(b, "connection failed")
		}
	case event.TimedOut:
		// The answer would have taken at least this long; a cancelled attempt that
		// ended sooner than expected tells nothing.
		if !a.ToCold && (!a.Cancelled || latency > b.Latency) {
			b.ObserveLatency(latency)
		}
		a.HoldUntil = a.SentAt.Add(holdFactor * max(b.Latency, latency))
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
		s.changed(b, "sheds or latency of a cold server")
		s.tell(b)
	}
}

// Warmed turns a server warm and tells the others.
func (s *System) PromoteToWarm(b *limit.Server) {
	b.MarkWarm(s.Share(b))
	s.changed(b, "bore its full load")
	s.tell(b)
}

func (s *System) drain(b *limit.Server) {
	if b.Drain&limit.DrainByReply != 0 {
		return
	}
	b.StartDrain(limit.DrainByReply)
	s.changed(b, "the server said that it is leaving")
	s.tell(b)
}

// tell passes a server's state on to the other instances.
func (s *System) tell(b *limit.Server) {
	s.Peers.Broadcast(event.Message{Servers: &event.Servers{Updates: []event.ServerUpdate{b.PeerUpdate()}}})
}

func (s *System) changed(b *limit.Server, why string) {
	s.Out.Emit(event.StateChanged{Kind: "server", Name: string(b.ID), To: b.State.String(), Cause: why})
	s.ServerChanged(b)
}

// judge updates what is believed of the query by whether the server survived it.
func (s *System) judge(now time.Time, a *Attempt, e event.AttemptEnded) {
	if a.Isolated {
		a.Server.SuspectInFlight--
		if entry := s.Suspects.Get(now, a.Fingerprint); entry != nil {
			entry.InFlight = max(0, entry.InFlight-1)
		}
		s.serviceChanged(a.Server.Service)
	}
	switch {
	case e.Kind == event.Died && !a.Cancelled:
		// A cold server may have died of too much work.
		alone := a.Isolated && (!a.ToCold || a.Server.InFlight == 1)
		news := s.Suspects.RecordCrash(now, a.Fingerprint, alone)
		if news.State == event.SuspicionCondemned {
			s.Counters.QueriesCondemned++
		}
		s.Peers.Broadcast(event.Message{Suspects: &news})
	case e.Kind == event.Answered && a.Isolated:
		if news, ok := s.Suspects.Clear(now, a.Fingerprint); ok {
			s.Peers.Broadcast(event.Message{Suspects: &news})
		}
	}
}

// serviceChanged notes that the waiting legs of a service may move: a suspect is
// tried on one server of the whole service at a time.
func (s *System) serviceChanged(name string) {
	svc := s.config.Service(name)
	if svc == nil {
		return
	}
	for _, g := range svc.Groups {
		s.markDirty(limit.GroupKey{Service: name, Group: g.Name})
	}
}

// settleAttempt moves the leg that the attempt was sent for.
func (s *System) settleAttempt(now time.Time, a *Attempt, e event.AttemptEnded) {
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
		s.settleOnce(now, q, e)
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
	s.tryAgain(now, q, a.Leg, e)
}

// legAnswered settles a leg by a whole result.
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
		s.answerIfEnough(now, q)
	}
}

// tryAgain puts a leg whose last attempt failed back to waiting, as far as time,
// servers and budget allow.
func (s *System) tryAgain(now time.Time, q *Query, leg int, e event.AttemptEnded) {
	l := &q.Legs[leg]
	if !now.Before(q.AnswerBy) {
		s.miss(now, q, leg, event.MissingDeadline)
		return
	}
	costly := e.Kind != event.Refused && e.Kind != event.NotSent
	if costly && !s.extras.spend() {
		s.Counters.BudgetRefused++
		s.miss(now, q, leg, event.MissingFailed)
		return
	}
	l.State = LegWaiting
	if e.Kind == event.Refused && e.Reason == event.RefusedShed && s.allTried(q, l) && l.ShedRounds < maxRounds {
		l.ShedRounds++
		l.Tried = l.Tried[:0]
		pause := shedPause + time.Duration(s.Rand.Int64N(int64(shedPause)))
		s.setTimer(due{at: now.Add(pause), kind: timerRequeue, query: q.ID, leg: leg, round: q.Round})
		return
	}
	s.enqueue(q, leg)
}

// allTried reports whether no untried server of a leg's group may get work.
func (s *System) allTried(q *Query, l *Leg) bool {
	for _, b := range s.Servers.Group(q.Service.Name, l.Group.Name) {
		if s.eligible(q, l, b) {
			return false
		}
	}
	return true
}

// miss settles a leg as missing from the answer.
func (s *System) miss(now time.Time, q *Query, leg int, reason event.MissingReason) {
	l := &q.Legs[leg]
	l.State, l.Reason = LegMissing, reason
	q.OpenLegs--
	if q.OpenLegs == 0 {
		s.finish(now, q)
	}
}

// settleOnce settles a non-idempotent request by the end of its one attempt. It
// is sent again only if the server said that it did not run it, or if no byte was
// written.
func (s *System) settleOnce(now time.Time, q *Query, e event.AttemptEnded) {
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
			s.tryAgain(now, q, 0, e)
			return
		}
		s.Claims.Resolve(now, *q.Claim, claim.Released, nil)
		if !q.Answered {
			s.refuseQuery(q, event.RefuseBackendRefused, event.OutcomeNotRun, retryLater, "no backend server ran the request in time")
		}
	default:
		s.Claims.Resolve(now, *q.Claim, claim.Unknown, nil)
		if !q.Answered {
			s.refuseQuery(q, event.RefuseOutcomeUnknown, event.OutcomeUnknown, 0, "the backend server may have run the request: its reply did not arrive whole")
		}
	}
	delete(s.queries, q.ID)
}
