package relay

import (
	"time"

	"hyssoppitch/core/event"
)

const (
	// roundInterval is the minimum delay before the servers of a group are tried again
	// after all of them refused or were at capacity; a random delay of up to the same
	// length is added. maxRounds limits the number of such retries.
	roundInterval = 12 * time.Millisecond
	maxRounds     = 20
	// maxOptionalRounds limits how often a leg that may be omitted waits for capacity.
	maxOptionalRounds = 1
)

// HandleExchangeEnded handles the end of an exchange.
func (s *System) HandleExchangeEnded(now time.Time, e event.ExchangeEnded) {
	a := s.attempts[e.Attempt]
	if a == nil || a.Ended {
		return
	}
	a.Ended = true
	a.NotExecuted = e.Kind == event.Refused || e.Kind == event.NotSent
	delete(s.attempts, e.Attempt)
	a.Server.InFlight--
	s.shed.free(now, a.Server.Group)
	defer s.admitHeld(now, a.Server.Group)
	s.countAnswer(now, a, e)
	s.recordOutcome(now, a, e)
	s.recordLimit(now, a, e)
	s.recordNotice(now, a, e.Notice)
	s.updateSuspicion(now, a, e)
	q := s.requests[e.Attempt.Query]
	if q == nil {
		return
	}
	l := &q.Legs[a.Leg]
	l.Running--
	if q.IsolatedAttempt == a {
		q.IsolatedAttempt = nil
	}
	if q.Done {
		s.release(q)
		return
	}
	if l.State != LegOpen {
		return
	}
	q.addStep(now, event.Step{Decision: e.Kind.String(), Server: a.Server.ID, Group: l.Group, Use: e.Use, Cause: e.Detail})
	s.resolveLeg(now, q, a, e)
}

// recordOutcome counts the end of an exchange and updates the health of its server.
func (s *System) recordOutcome(now time.Time, a *Attempt, e event.ExchangeEnded) {
	switch e.Kind {
	case event.Answered:
		s.Counters.EndedAnswered++
		s.spillCounts(a.Server.DataCentre).ReplyBytes += uint64(len(e.Reply.Body))
		if e.Reply.Success() {
			s.recordLatency(now, a)
		} else {
			a.Server.Failed(now)
			if e.Reply.Status >= minFailureStatus {
				s.reportFailure(now, a)
			}
		}
	case event.Refused:
		s.Counters.EndedRefused++
		a.Server.Failed(now)
		if e.Reason == event.RefusedOther {
			if a.Restricted {
				s.Counters.AttemptsMisdirected++
			}
			for _, c := range s.Servers.Supersede(a.Server) {
				s.Out.Emit(c)
			}
		}
	case event.NotSent:
		s.Counters.EndedNotSent++
		if !a.Cancelled {
			a.Server.Failed(now)
			s.recordUnreached(now, a.Server, e.ConnectionRefused)
			s.reportFailure(now, a)
		}
	case event.Died:
		s.Counters.EndedDied++
		if !a.Cancelled {
			a.Server.Failed(now)
			s.reportFailure(now, a)
		}
	case event.TimedOut:
		s.Counters.EndedTimedOut++
		s.reportUnanswered(now, a)
		// A cancelled exchange would have taken at least this long as well.
		a.Server.TimedOut(now, a.SentAt, float64(now.Sub(a.SentAt))/float64(a.BaselineLatency))
	case event.BadReply:
		s.Counters.EndedBad++
		a.Server.Failed(now)
		s.reportFailure(now, a)
	}
}

// resolveLeg completes, fails or retries the leg of an exchange that ended.
func (s *System) resolveLeg(now time.Time, q *Request, a *Attempt, e event.ExchangeEnded) {
	l := &q.Legs[a.Leg]
	switch {
	case e.Kind == event.Answered && e.Reply.Success():
		s.completeLeg(now, q, a, e.Reply)
		return
	case e.Kind == event.Answered:
		l.Failure = e.Reply
	}
	if l.Running > 0 {
		return
	}
	if !q.Route.Idempotent && !a.NotExecuted {
		s.failLeg(now, q, a.Leg)
		return
	}
	if e.Kind == event.Died && s.awaitCrashCheck(now, q, a) {
		return
	}
	s.retry(now, q, a.Leg)
}

// completeLeg completes a leg with a successful reply.
func (s *System) completeLeg(now time.Time, q *Request, a *Attempt, r *event.Reply) {
	l := &q.Legs[a.Leg]
	l.State, l.Reply = LegAnswered, r
	q.recordDelay(now, a)
	q.OpenLegs--
	q.AnsweredLegs++
	s.scheduleLoserCancel(now, l)
	if !q.gathers() {
		s.relayReply(now, q, r)
		return
	}
	if q.Isolated {
		s.endIsolation(now, q)
	}
	if q.OpenLegs == 0 || q.TargetPassed {
		s.answerIfCovered(now, q)
	}
}

// loserGrace is the time for which an attempt may continue after another attempt of its
// leg was answered. Most attempts end within this time, which preserves the connection
// for reuse.
const loserGrace = 250 * time.Millisecond

// scheduleLoserCancel schedules the cancellation of a leg's attempts that are still in
// flight, after loserGrace.
func (s *System) scheduleLoserCancel(now time.Time, l *Leg) {
	for _, a := range l.Sent {
		if !a.Ended && !a.Cancelled {
			s.timers.Set(now.Add(loserGrace), timerEvent{kind: timerCancel, attempt: a.ID})
		}
	}
}

// retry sends the next attempt of a leg that has none in flight, if a server is available
// and the remaining time and the retry budget allow it.
func (s *System) retry(now time.Time, q *Request, leg int) {
	l := &q.Legs[leg]
	if l.State != LegOpen || l.Running > 0 || q.IsolatedAttempt != nil || l.Undetermined != nil {
		// The end of the isolated attempt or of the connection check resumes the leg.
		return
	}
	if (len(l.Sent) > 0 && s.condemned(now, q)) || l.mayHaveExecuted() >= q.Route.Attempts || len(l.Sent) >= maxAttemptsPerLeg {
		s.failLeg(now, q, leg)
		return
	}
	if len(l.Sent) == 0 && s.shed.reservedGroups(now, q)[l.Group] {
		s.waitForServer(now, q, leg, "the group's servers are reserved for more urgent requests")
		return
	}
	b := s.chooseServer(now, q, l, false)
	if b == nil {
		b = s.chooseServer(now, q, l, true)
		if b != nil && l.tried(b.ID) && l.WaitRounds == 0 {
			b = nil
		}
	}
	if b == nil {
		s.waitForServer(now, q, leg, "every server refused or is at capacity")
		return
	}
	if now.Add(s.expectedLatency(now, q.Route, b)).After(q.AnswerBy) && l.mayHaveExecuted() > 0 {
		s.failLeg(now, q, leg)
		return
	}
	if len(l.Sent) == 0 {
		if !q.gathers() && s.stopsTooSoon(now, q) {
			s.refuseStopping(now, q)
			return
		}
		s.send(now, q, leg, b, firstAttempt)
		return
	}
	if !s.budgetAllows(now, l.Group, 1) {
		s.Counters.BudgetExhausted++
		q.addStep(now, event.Step{Decision: "not-retried", Group: l.Group, Cause: "retry budget exhausted"})
		s.failLeg(now, q, leg)
		return
	}
	s.send(now, q, leg, b, retryAttempt)
}

// optional reports whether a gathering request would still meet the least coverage with
// one more of its groups missing.
func (s *System) optional(q *Request) bool {
	return q.gathers() && sufficientCoverage(q.Route, q.AnsweredLegs+q.OpenLegs-1, len(q.Legs))
}

// waitForServer retries a leg after a delay, or fails it if it may be omitted, has waited
// too often or can't be answered in time.
func (s *System) waitForServer(now time.Time, q *Request, leg int, reason string) {
	l := &q.Legs[leg]
	l.WaitRounds++
	if l.WaitRounds > maxOptionalRounds && len(l.Sent) == 0 && s.optional(q) {
		// The group's capacity is reserved for requests that need this group.
		q.addStep(now, event.Step{Decision: "left-out", Group: l.Group, Cause: reason})
		s.failLeg(now, q, leg)
		return
	}
	delay := roundInterval + time.Duration(s.Rand.Int64N(int64(roundInterval)))
	if wait := s.legLimitWait(now, q, l); wait > 0 {
		delay = max(delay, wait)
		since := q.ArrivedAt
		if len(l.Sent) > 0 {
			since = now
		}
		if now.Add(delay).Sub(since) > maxLimitWait(q) {
			q.addStep(now, event.Step{Decision: "no-server", Group: l.Group, Cause: "the servers are at their rate limits"})
			s.failLeg(now, q, leg)
			return
		}
	}
	if s.awaitsReturn(now, q, l) && now.Add(delay).Sub(q.ArrivedAt) > maxLimitWait(q)/2 {
		// The rest of the time is for an attempt.
		q.addStep(now, event.Step{Decision: "no-server", Group: l.Group, Cause: "the servers have turned requests away lately"})
		s.failLeg(now, q, leg)
		return
	}
	at := now.Add(delay)
	if l.WaitRounds > maxRounds || !at.Before(q.AnswerBy) || !s.servable(now, q, l) {
		q.addStep(now, event.Step{Decision: "no-server", Group: l.Group, Cause: reason})
		s.failLeg(now, q, leg)
		return
	}
	s.timers.Set(at, timerEvent{kind: timerRetry, request: q.Query, leg: leg})
}

// failLeg marks a leg as missing and ends the request if its outcome is now decided.
func (s *System) failLeg(now time.Time, q *Request, leg int) {
	l := &q.Legs[leg]
	l.State = LegMissing
	q.OpenLegs--
	switch {
	case !q.gathers():
		s.refuseSingle(now, q, l)
	case !sufficientCoverage(q.Route, q.AnsweredLegs+q.OpenLegs, len(q.Legs)):
		s.refuseInsufficient(now, q)
	case q.OpenLegs == 0 || q.TargetPassed:
		s.answerIfCovered(now, q)
	}
	if q.Isolated && !q.Done {
		s.retryIsolated(now, q)
	}
}
