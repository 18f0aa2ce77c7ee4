package query

import (
	"slices"
	"time"

	"hyssoppitch/core/claim"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
)

// finish answers a query all of whose legs are settled.
func (s *System) finish(now time.Time, q *Query) {
	if q.Answered {
		return
	}
	if slices.ContainsFunc(q.Legs, func(l Leg) bool { return l.State == LegAnswered }) {
		s.cancelAttempts(q)
		s.answer(q, false)
		return
	}
	s.refuseUnanswered(now, q)
}

// answerAtDeadline answers with what there is.
func (s *System) answerAtDeadline(now time.Time, q *Query) {
	if q.Class.NonIdempotent {
		s.onceAtDeadline(now, q)
		return
	}
	s.missOpen(q, event.MissingDeadline)
	s.finish(now, q)
}

// onceAtDeadline tells the caller of a non-idempotent request what is known. If
// its attempt is in flight the row stays until that ends, so that a resend can
// be told the outcome.
func (s *System) onceAtDeadline(now time.Time, q *Query) {
	if q.Legs[0].Running > 0 {
		s.refuseQuery(q, event.RefuseOutcomeUnknown, event.OutcomeUnknown, retryLater, "the request is running; its outcome was not known by the deadline")
		return
	}
	s.releaseClaim(now, q)
	s.refuseQuery(q, event.RefuseDeadline, event.OutcomeNotRun, retryLater, "no backend server had room before the deadline")
}

// releaseClaim gives the claim of a request back that was not sent.
func (s *System) releaseClaim(now time.Time, q *Query) {
	if q.Claim != nil {
		s.Claims.Resolve(now, *q.Claim, claim.Released, nil)
	}
}

// answerIfEnough answers once the class's least coverage is reached and its
// patience is spent.
func (s *System) answerIfEnough(now time.Time, q *Query) {
	if q.Class.NonIdempotent || q.Class.LeastCoverage >= 1 {
		return
	}
	if c := s.coverage(q); c.Fraction < q.Class.LeastCoverage || c.Fraction == 0 {
		return
	}
	s.missOpen(q, event.MissingPatience)
	s.finish(now, q)
}

// missOpen settles the legs that are waiting or running as missing. A leg that
// never got a server in a group of cold ones is missing for that reason.
func (s *System) missOpen(q *Query, reason event.MissingReason) {
	for i := range q.Legs {
		l := &q.Legs[i]
		if l.State != LegWaiting && l.State != LegRunning {
			continue
		}
		l.Reason = reason
		if l.State == LegWaiting && len(l.Tried) == 0 {
			l.Reason = s.waitReason(q, l, reason)
		}
		l.State = LegMissing
		q.OpenLegs--
	}
}

// waitReason says why a leg waited: for cold servers, or for room.
func (s *System) waitReason(q *Query, l *Leg, reason event.MissingReason) event.MissingReason {
	if reason != event.MissingDeadline {
		return reason
	}
	for _, b := range s.Servers.Group(q.Service.Name, l.Group.Name) {
		if s.usable(b) && b.State == limit.Warm {
			return event.MissingOverload
		}
	}
	return event.MissingCold
}

// coverage states what the legs of a query cover.
func (s *System) coverage(q *Query) event.Coverage {
	c := event.Coverage{
		Epoch: q.Epoch,
		Asked: make([]event.GroupCoverage, 0, len(q.Legs)), Answered: []event.GroupCoverage{}, Missing: []event.GroupCoverage{},
	}
	var asked, answered uint32
	for i := range q.Legs {
		l := &q.Legs[i]
		g := event.GroupCoverage{Group: l.Group.Name, Keys: l.Group.Keys}
		c.Asked = append(c.Asked, g)
		asked += g.Keys.Size()
		if l.State == LegAnswered {
			c.Answered = append(c.Answered, g)
			answered += g.Keys.Size()
			continue
		}
		g.Reason = l.Reason
		c.Missing = append(c.Missing, g)
	}
	c.Fraction = float64(answered) / float64(asked)
	return c
}

// answer gives the caller the results that there are.
func (s *System) answer(q *Query, replayed bool) {
	a := event.Answer{
		Query: q.ID, Class: q.Class.Name, Snapshot: q.Snapshot, Coverage: s.coverage(q), Replayed: replayed,
	}
	for i := range q.Legs {
		if l := &q.Legs[i]; l.State == LegAnswered {
			a.Results = append(a.Results, event.GroupResult{Group: l.Group.Name, Body: l.Result})
		}
	}
	switch {
	case len(a.Coverage.Missing) == 0:
		a.Status = event.StatusComplete
		s.Counters.AnswersComplete++
	case a.Coverage.Fraction >= q.Class.LeastCoverage:
		a.Status = event.StatusPartial
		s.Counters.AnswersPartial++
	default:
		a.Status = event.StatusThin
		s.Counters.AnswersThin++
	}
	s.Out.Emit(a)
	s.close(q)
}

// refuseUnanswered refuses a query that no group answered.
func (s *System) refuseUnanswered(now time.Time, q *Query) {
	c := s.coverage(q)
	code, retry := refusalFor(c)
	outcome := event.OutcomeUnknown
	if q.PossiblyRun == 0 {
		outcome = event.OutcomeNotRun
		s.releaseClaim(now, q)
	}
	s.cancelAttempts(q)
	s.refuse(event.Refuse{
		Query: q.ID, Class: q.Class.Name, Code: code, Outcome: outcome,
		Detail: "no shard group answered", RetryAfter: retry, Coverage: &c,
	})
	s.close(q)
}

// refusalFor returns the code for a query none of whose groups answered, by the
// reason of the first.
func refusalFor(c event.Coverage) (event.RefusalCode, time.Duration) {
	if len(c.Missing) == 0 {
		return event.RefuseNothingAnswered, retryLater
	}
	switch c.Missing[0].Reason {
	case event.MissingNoReplica:
		return event.RefuseNoReplica, retryLater
	case event.MissingPoison:
		return event.RefusePoison, 0
	case event.MissingOverload, event.MissingCold:
		return event.RefuseOverload, retryLater
	case event.MissingDeadline:
		return event.RefuseDeadline, retryLater
	default:
		return event.RefuseNothingAnswered, retryLater
	}
}

// refuseQuery refuses an admitted query.
func (s *System) refuseQuery(q *Query, code event.RefusalCode, o event.Outcome, retry time.Duration, detail string) {
	s.refuse(event.Refuse{Query: q.ID, Class: q.Class.Name, Code: code, Outcome: o, Detail: detail, RetryAfter: retry})
	s.close(q)
}

func (s *System) refuse(r event.Refuse) {
	if r.Outcome == event.OutcomeNotRun {
		s.Counters.RefusalsNotRun++
	} else {
		s.Counters.RefusalsUnknown++
	}
	s.Out.Emit(r)
}

// close ends a query for its caller. The row of a non-idempotent request stays
// while its attempt is in flight.
func (s *System) close(q *Query) {
	q.Answered = true
	if q.Class.NonIdempotent && q.Legs[0].Running > 0 {
		return
	}
	delete(s.queries, q.ID)
}

// Abandon drops a query that nobody waits for. A non-idempotent request that was
// sent runs on, so that its outcome is recorded.
func (s *System) Abandon(now time.Time, id event.QueryID) {
	q := s.queries[id]
	if q == nil || q.Answered {
		return
	}
	s.Counters.CallersDisconnected++
	if !q.Class.NonIdempotent {
		s.cancelAttempts(q)
	} else if q.Legs[0].Running == 0 {
		s.releaseClaim(now, q)
	}
	s.close(q)
}

// cancelAttempts cancels what is in flight for a query.
func (s *System) cancelAttempts(q *Query) {
	for i := range q.Legs {
		if q.Legs[i].Running > 0 {
			s.cancelLeg(q, i)
		}
	}
}

// cancelLeg cancels what is in flight for a leg. An attempt on a cold server runs
// on: it warms the server, and its end is known.
func (s *System) cancelLeg(q *Query, leg int) {
	for _, a := range q.Legs[leg].Sent {
		if a.Ended || a.Cancelled || a.ToCold {
			continue
		}
		a.Cancelled = true
		a.HoldUntil = a.SentAt.Add(holdFactor * a.Server.Latency)
		s.Out.Emit(event.CancelAttempt{Attempt: a.ID})
	}
}
