package relay

import (
	"fmt"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/merge"
)

// relayReply answers a request with a server's reply, unchanged.
func (s *System) relayReply(now time.Time, q *Request, r *event.Reply) {
	s.Counters.Relayed++
	s.Out.Emit(event.RoutedAnswer{Query: q.Query, Relayed: r})
	s.finish(now, q, "relayed", s.logSeverity(now, q, true))
}

// answerIfCovered answers a gathering request if its coverage is sufficient.
func (s *System) answerIfCovered(now time.Time, q *Request) {
	if !q.gathers() || !sufficientCoverage(q.Route, q.AnsweredLegs, len(q.Legs)) {
		return
	}
	m := event.MergedAnswer{Missing: len(q.Legs) - q.AnsweredLegs}
	parts := make([][]byte, 0, q.AnsweredLegs)
	for i := range q.Legs {
		if l := &q.Legs[i]; l.State == LegAnswered {
			m.Stamps = append(m.Stamps, l.Reply.Stamp)
			parts = append(parts, l.Reply.Body)
		}
	}
	m.Body = merge.Top(parts, q.Route.MergeTop)
	full := m.Missing == 0
	if full {
		s.Counters.AnsweredFull++
	} else {
		s.Counters.AnsweredPartial++
		s.noteUnansweredLegs(now, q, "missing")
	}
	s.Out.Emit(event.RoutedAnswer{Query: q.Query, Merged: &m})
	s.finish(now, q, fmt.Sprintf("answered %d of %d", q.AnsweredLegs, len(q.Legs)), s.logSeverity(now, q, full))
}

// noteUnansweredLegs records the groups that are missing from the answer.
func (s *System) noteUnansweredLegs(now time.Time, q *Request, decision string) {
	for i := range q.Legs {
		l := &q.Legs[i]
		if l.State == LegOpen && len(l.Sent) > 0 {
			q.addStep(now, event.Step{Decision: decision, Group: l.Group, Server: l.Sent[len(l.Sent)-1].Server.ID, Cause: "no answer yet"})
		} else if l.State != LegAnswered {
			q.addStep(now, event.Step{Decision: decision, Group: l.Group})
		}
	}
}

// logSeverity returns the log severity of an answered request: LogImpaired if the answer is
// partial or reaches the caller later than the route's target.
func (s *System) logSeverity(now time.Time, q *Request, full bool) event.LogSeverity {
	if !full || (q.Route.Target > 0 && now.Sub(q.ArrivedAt)+q.NetworkTime > q.Route.Target) {
		return event.LogImpaired
	}
	return event.LogOrdinary
}

// answerAtDeadline answers a request at its deadline if coverage is sufficient, and
// refuses it otherwise.
func (s *System) answerAtDeadline(now time.Time, q *Request) {
	s.answerIfCovered(now, q)
	if q.Done {
		return
	}
	s.noteUnansweredLegs(now, q, "unanswered")
	if s.endedByStop(q) {
		s.refuse(now, q, event.RefuseLeaving, stopRetryAfter, fmt.Sprintf("this instance stops, %d of %d groups have answered", q.AnsweredLegs, len(q.Legs)))
		return
	}
	s.refuse(now, q, event.RefuseDeadline, 0, fmt.Sprintf("%d of %d groups answered in time", q.AnsweredLegs, len(q.Legs)))
}

// refuseSingle ends a request whose only leg failed. It relays the failure reply of a
// server, with its signature, if there is one, and refuses the request otherwise.
func (s *System) refuseSingle(now time.Time, q *Request, l *Leg) {
	if l.Failure != nil {
		s.Counters.RelayedFailure++
		s.Out.Emit(event.RoutedAnswer{Query: q.Query, Relayed: l.Failure})
		s.finish(now, q, "relayed a failure", event.LogFailed)
		return
	}
	if q.mayHaveExecuted() {
		s.refuse(now, q, event.RefuseOutcomeUnknown, 0, "a backend server may have run the request, but no complete reply arrived")
		return
	}
	s.refuse(now, q, event.RefuseOverload, s.retryAfter(now, q, shortRetryAfter), "no backend server had capacity; none ran the request")
}

// refuseInsufficient refuses a gathering request that can no longer reach the route's
// least coverage.
func (s *System) refuseInsufficient(now time.Time, q *Request) {
	s.noteUnansweredLegs(now, q, "missing")
	s.refuse(now, q, event.RefuseNothingAnswered, shortRetryAfter,
		fmt.Sprintf("%d of %d groups answered and %d are pending: the route requires a coverage of %.2f", q.AnsweredLegs, len(q.Legs), q.OpenLegs, q.Route.LeastCoverage))
}

// refuse answers a request with a refusal by this instance. The outcome is not-run only
// if no server may have executed any part of the request.
func (s *System) refuse(now time.Time, q *Request, code event.RefusalCode, retry time.Duration, detail string) {
	outcome := event.OutcomeNotRun
	if q.mayHaveExecuted() {
		outcome = event.OutcomeUnknown
		s.Counters.RefusedUnknown++
	} else {
		s.Counters.RefusedNotRun++
	}
	s.Out.Emit(event.RoutedRefusal{Query: q.Query, Code: code, Outcome: outcome, Detail: detail, RetryAfter: s.jitter(retry)})
	q.addStep(now, event.Step{Decision: "refused", Cause: string(code) + ", " + string(outcome) + ": " + detail})
	s.customers.countRefused(q.Customer, code)
	severity := event.LogFailed
	if code == event.RefuseUnknownKey || code == event.RefuseQuota {
		severity = event.LogRejected
	}
	s.finish(now, q, string(code), severity)
}

// maxJitter limits the random part of a Retry-After.
const maxJitter = time.Second

// jitter adds a random time of up to the same length to a Retry-After, so that callers
// that were refused together don't retry together.
func (s *System) jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + time.Duration(s.Rand.Int64N(int64(min(d, maxJitter))))
}

// finish marks a request as done, emits its request log and schedules the cancellation of
// its exchanges.
func (s *System) finish(now time.Time, q *Request, outcome string, severity event.LogSeverity) {
	q.Done = true
	s.shed.drop(q)
	requestLog := event.RequestLog{
		Query: q.Query, RequestID: q.RequestID, Version: q.Version, Outcome: outcome, Severity: severity, Customer: q.customerName(),
		Elapsed: now.Sub(q.ArrivedAt), Queued: q.queued, NetworkTime: q.NetworkTime, Steps: q.steps,
	}
	if q.Route != nil {
		requestLog.Route = q.Route.Name
	}
	s.Out.Emit(requestLog)
	for i := range q.Legs {
		// For an answered leg the cancellation is scheduled already. Non-idempotent
		// exchanges are not cancelled.
		if l := &q.Legs[i]; q.Route.Idempotent && l.State != LegAnswered {
			s.scheduleLoserCancel(now, l)
		}
	}
	s.release(q)
}

// release removes a request that is done, unless it has a non-idempotent exchange in
// flight: shutdown waits for that exchange.
func (s *System) release(q *Request) {
	if q.Route != nil && !q.Route.Idempotent && len(q.Legs) > 0 && q.Legs[0].Running > 0 {
		return
	}
	delete(s.requests, q.Query)
}

// Abandon ends a request whose caller disconnected. Idempotent exchanges are cancelled;
// others run to their end.
func (s *System) Abandon(now time.Time, id event.QueryID) {
	if s.dropEarly(id) {
		return
	}
	q := s.requests[id]
	if q == nil || q.Done {
		return
	}
	s.Counters.CallersDisconnected++
	if q.Route.Idempotent {
		for i := range q.Legs {
			for _, a := range q.Legs[i].Sent {
				s.cancel(a)
			}
		}
	}
	q.addStep(now, event.Step{Decision: "abandoned", Cause: "the caller disconnected"})
	s.finish(now, q, "abandoned", event.LogImpaired)
}
