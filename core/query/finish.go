package query

import (
	"slices"
	"time"

	"hyssoppitch/core/claim"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
)

// finish ends a query once each of its legs is answered or missing. It answers
// if at least one group answered, and refuses otherwise.
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

// answerAtDeadline answers with the results that have arrived by the deadline.
func (s *System) answerAtDeadline(now time.Time, q *Query) {
	if q.Class.NonIdempotent {
		s.refuseNonIdempotentAtDeadline(now, q)
		return
	}
	s.markOpenMissing(q, event.MissingDeadline)
	s.finish(now, q)
}

// refuseNonIdempotentAtDeadline refuses a non-idempotent request at its deadline,
// with the outcome known so far. While its attempt is in flight the query is kept,
// so that a resent request can get the outcome.
func (s *System) refuseNonIdempotentAtDeadline(now time.Time, q *Query) {
	if q.Legs[0].Running > 0 {
		s.refuseQuery(q, event.RefuseOutcomeUnknown, event.OutcomeUnknown, transientRetryAfter, "the request is running; its outcome was not known by the deadline")
		return
	}
	s.releaseClaim(now, q)
	s.refuseQuery(q, event.RefuseDeadline, event.OutcomeNotRun, transientRetryAfter, "no backend server had capacity before the deadline")
}

// releaseClaim releases the claim of a request that was not sent.
func (s *System) releaseClaim(now time.Time, q *Query) {
	if q.Claim != nil {
		s.Claims.Resolve(now, *q.Claim, claim.Released, nil)
	}
}

// answerAfterPatience answers a query whose patience has run out, if the class's
// least coverage is reached.
func (s *System) answerAfterPatience(now time.Time, q *Query) {
	if q.Class.NonIdempotent || q.Class.LeastCoverage >= 1 {
		return
	}
	if c := s.coverage(q); c.Fraction < q.Class.LeastCoverage || c.Fraction == 0 {
		return
	}
	s.markOpenMissing(q, event.MissingPatience)
	s.finish(now, q)
}

// markOpenMissing marks the legs that are waiting or running as missing. A waiting
// leg without a tried server gets the reason of queuedMissingReason.
func (s *System) markOpenMissing(q *Query, reason event.MissingReason) {
	for i := range q.Legs {
		l := &q.Legs[i]
		if l.State != LegWaiting && l.State != LegRunning {
			continue
		}
		l.Reason = reason
		if l.State == LegWaiting && len(l.Tried) == 0 {
			l.Reason = s.queuedMissingReason(q, l, reason)
		}
		l.State = LegMissing
		q.OpenLegs--
	}
}

// queuedMissingReason returns the reason for which a leg is missing that waited
// without a tried server. At the deadline this is MissingOverload if the group has a
// warm server, and MissingCold if it has none; otherwise it is the given reason.
func (s *System) queuedMissingReason(q *Query, l *Leg, reason event.MissingReason) event.MissingReason {
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

// coverage returns the groups that a query asked, those that answered, those that
// are missing, and the fraction of the asked keys that the answers cover.
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

// answer sends the caller the results of the answered legs.
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

// refusalFor returns the refusal code and the Retry-After for a query without any
// answer. They follow from the reason of the first missing group.
func refusalFor(c event.Coverage) (event.RefusalCode, time.Duration) {
	if len(c.Missing) == 0 {
		return event.RefuseNothingAnswered, transientRetryAfter
	}
	switch c.Missing[0].Reason {
	case event.MissingNoReplica:
		return event.RefuseNoReplica, transientRetryAfter
	case event.MissingPoison:
		return event.RefusePoison, 0
	case event.MissingOverload, event.MissingCold:
		return event.RefuseOverload, transientRetryAfter
	case event.MissingDeadline:
		return event.RefuseDeadline, transientRetryAfter
	default:
		return event.RefuseNothingAnswered, transientRetryAfter
	}
}

// refuseQuery refuses an admitted query.
func (s *System) refuseQuery(q *Query, code event.RefusalCode, o event.Outcome, retry time.Duration, detail string) {
	s.refuse(event.Refuse{Query: q.ID, Class: q.Class.Name, Code: code, Outcome: o, Detail: detail, RetryAfter: retry})
	s.close(q)
}

// refuse emits a refusal and counts it by its outcome.
func (s *System) refuse(r event.Refuse) {
	if r.Outcome == event.OutcomeNotRun {
		s.Counters.RefusalsNotRun++
	} else {
		s.Counters.RefusalsUnknown++
	}
	s.Out.Emit(r)
}

// close marks a query as answered and removes it. A non-idempotent query whose
// attempt is in flight is kept until the attempt ends.
func (s *System) close(q *Query) {
	q.Answered = true
	if q.Class.NonIdempotent && q.Legs[0].Running > 0 {
		return
	}
	delete(s.queries, q.ID)
}

// Abandon ends a query whose caller disconnected. A non-idempotent request that
// was sent is not cancelled, so that its outcome is recorded.
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

// cancelAttempts cancels the attempts of a query that are in flight.
func (s *System) cancelAttempts(q *Query) {
	for i := range q.Legs {
		if q.Legs[i].Running > 0 {
			s.cancelLeg(q, i)
		}
	}
}

// cancelLeg cancels the attempts of a leg that are in flight. An attempt on a cold
// server is not cancelled: it warms the server, and its end is observed rather
// than assumed.
func (s *System) cancelLeg(q *Query, leg int) {
	for _, a := range q.Legs[leg].Sent {
		if a.Ended || a.Cancelled || a.ToCold {
			continue
		}
		a.Cancelled = true
		a.HoldUntil = a.SentAt.Add(cancelledHoldFactor * a.Server.Latency)
		s.Out.Emit(event.CancelAttempt{Attempt: a.ID})
	}
}
