package relay

import (
	"fmt"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/merge"
)

// relay passes a reply on as it came.
func (s *System) relay(now time.Time, q *Request, r *event.Reply) {
	s.Counters.Relayed++
	s.Out.Emit(event.RoutedAnswer{Query: q.Query, Relayed: r})
	s.finish(now, q, "relayed", s.weigh(now, q, true))
}

// answerIfEnough answers a gathering request if its coverage suffices.
func (s *System) answerIfEnough(now time.Time, q *Request) {
	if !q.gathers() || !enough(q.Route, q.Answered, len(q.Legs)) {
		return
	}
	m := event.MergedAnswer{Missing: len(q.Legs) - q.Answered}
	parts := make([][]byte, 0, q.Answered)
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
		s.noteOpen(now, q, "missing")
	}
	s.Out.Emit(event.RoutedAnswer{Query: q.Query, Merged: &m})
	s.finish(now, q, fmt.Sprintf("answered %d of %d", q.Answered, len(q.Legs)), s.weigh(now, q, full))
}

// noteOpen keeps which groups are left out.
func (s *System) noteOpen(now time.Time, q *Request, what string) {
	for i := range q.Legs {
		l := &q.Legs[i]
		if l.State == LegOpen && len(l.Sent) > 0 {
			q.note(now, event.Step{Decision: what, Group: l.Group, Server: l.Sent[len(l.Sent)-1].Server.ID, Cause: "no answer yet"})
		} else if l.State != LegAnswered {
			q.note(now, event.Step{Decision: what, Group: l.Group})
		}
	}
}

// weigh returns how much an answered request matters in logs.
func (s *System) weigh(now time.Time, q *Request, full bool) event.LogSeverity {
	if !full || (q.Route.Target > 0 && now.Sub(q.ArrivedAt) > q.Route.Target) {
		return event.LogImpaired
	}
	return event.LogOrdinary
}

// answerAtDeadline ends a request whose time is up.
func (s *System) answerAtDeadline(now time.Time, q *Request) {
	s.answerIfEnough(now, q)
	if q.Done {
		return
	}
	s.noteOpen(now, q, "unanswered")
	s.refuse(now, q, event.RefuseDeadline, 0, fmt.Sprintf("%d of %d groups answered in time", q.Answered, len(q.Legs)))
}

// refuseSingle refuses a request whose one leg is given up. A server's failure is
// passed on with its signature.
func (s *System) refuseSingle(now time.Time, q *Request, l *Leg) {
	if l.Failure != nil {
		s.Counters.RelayedFailure++
		s.Out.Emit(event.RoutedAnswer{Query: q.Query, Relayed: l.Failure})
		s.finish(now, q, "relayed a failure", event.LogFailed)
		return
	}
	if q.mayHaveRun() {
		s.refuse(now, q, event.RefuseOutcomeUnknown, 0, "a backend server may have run the request: its reply did not arrive whole")
		return
	}
	s.refuse(now, q, event.RefuseOverload, retrySoon, "no backend server had room; none ran the request")
}

// refuseThin refuses a gathering request that can't be covered any more.
func (s *System) refuseThin(now time.Time, q *Request) {
	s.noteOpen(now, q, "missing")
	s.refuse(now, q, event.RefuseNothingAnswered, retrySoon,
		fmt.Sprintf("%d of %d groups answered and %d may still: the route wants %.2f of them", q.Answered, len(q.Legs), q.Open, q.Route.LeastCoverage))
}

// refuse gives the caller an answer of this instance. The outcome is not-run only if
// no server may have run any part of the request.
func (s *System) refuse(now time.Time, q *Request, code event.RefusalCode, retry time.Duration, detail string) {
	outcome := event.OutcomeNotRun
	if q.mayHaveRun() {
		outcome = event.OutcomeUnknown
		s.Counters.RefusedUnknown++
	} else {
		s.Counters.RefusedNotRun++
	}
	s.Out.Emit(event.RoutedRefusal{Query: q.Query, Code: code, Outcome: outcome, Detail: detail, RetryAfter: s.spread(retry)})
	q.note(now, event.Step{Decision: "refused", Cause: string(code) + ", " + string(outcome) + ": " + detail})
	s.finish(now, q, string(code), event.LogFailed)
}

// spread varies a Retry-After, so that callers which were refused together don't come
// back together.
func (s *System) spread(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d + time.Duration(s.Rand.Int64N(int64(d)))
}

// finish ends a request for its caller.
func (s *System) finish(now time.Time, q *Request, outcome string, weight event.LogSeverity) {
	q.Done = true
	told := event.RequestLog{
		Query: q.Query, RequestID: q.RequestID, Version: q.Version, Outcome: outcome, Severity: weight,
		Elapsed: now.Sub(q.ArrivedAt), Steps: q.steps,
	}
	if q.Route != nil {
		told.Route = q.Route.Name
	}
	s.Out.Emit(told)
	for i := range q.Legs {
		// The losers of a leg that was answered are dropped already.
		if l := &q.Legs[i]; q.Route.Idempotent && l.State != LegAnswered {
			s.dropLosers(now, l)
		}
	}
	s.forget(q)
}

// forget drops the row of a request that is done, unless an exchange that can't be
// repeated is in flight: shutdown waits for it.
func (s *System) forget(q *Request) {
	if q.Route != nil && !q.Route.Idempotent && len(q.Legs) > 0 && q.Legs[0].Running > 0 {
		return
	}
	delete(s.requests, q.Query)
}

// Abandon drops a request that nobody waits for. What can be repeated is cancelled;
// the rest runs on to its end.
func (s *System) Abandon(now time.Time, id event.QueryID) {
	q := s.requests[id]
	if q == nil || q.Done {
		return
	}
	s.Counters.CallersGone++
	if q.Route.Idempotent {
		for i := range q.Legs {
			for _, a := range q.Legs[i].Sent {
				s.cancel(a)
			}
		}
	}
	q.note(now, event.Step{Decision: "abandoned", Cause: "the caller is gone"})
	s.finish(now, q, "abandoned", event.LogImpaired)
}
