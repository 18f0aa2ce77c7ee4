package relay

import (
	"time"

	"hyssoppitch/core/event"
)

const (
	// roundPause is the wait before the servers of a group are tried once more after
	// all of them refused or were full, and maxRounds bounds how often.
	roundPause = 12 * time.Millisecond
	maxRounds  = 20
	// roomRounds is how often a leg that can be left out waits for room in its group.
	roomRounds = 1
)

// Ended takes in the end of an exchange.
func (s *System) HandleExchangeEnded(now time.Time, e event.ExchangeEnded) {
	a := s.attempts[e.Attempt]
	if a == nil || a.Ended {
		return
	}
	a.Ended = true
	a.NotRun = e.Kind == event.Refused || e.Kind == event.NotSent
	delete(s.attempts, e.Attempt)
	a.Server.InFlight--
	s.observe(now, a, e)
	s.judge(now, a, e)
	q := s.requests[e.Attempt.Query]
	if q == nil {
		return
	}
	l := &q.Legs[a.Leg]
	l.Running--
	if q.OnTrial == a {
		q.OnTrial = nil
	}
	if q.Done {
		s.forget(q)
		return
	}
	if l.State != LegOpen {
		return
	}
	q.note(now, event.Step{Decision: e.Kind.String(), Server: a.Server.ID, Group: l.Group, Cause: e.Detail})
	s.settle(now, q, a, e)
}

// observe updates what is known of the server by how the exchange ended.
func (s *System) observe(now time.Time, a *Attempt, e event.ExchangeEnded) {
	switch e.Kind {
	case event.Answered:
		s.Counters.EndedAnswered++
		if e.Reply.Success() {
			s.measure(now, a)
		} else {
			a.Server.Failed(now)
		}
	case event.Refused:
		s.Counters.EndedRefused++
		a.Server.Failed(now)
		if e.Reason == event.RefusedOther {
			for _, c := range s.Servers.Disown(a.Server) {
				s.Out.Emit(c)
			}
		}
	case event.NotSent:
		s.Counters.EndedNotSent++
		if !a.Cancelled {
			a.Server.Failed(now)
			a.Server.Unreached(now)
		}
	case event.Died:
		s.Counters.EndedDied++
		if !a.Cancelled {
			a.Server.Failed(now)
		}
	case event.TimedOut:
		s.Counters.EndedTimedOut++
		// A cancelled exchange would have taken at least this long.
		a.Server.AtLeast(now, a.SentAt, float64(now.Sub(a.SentAt))/float64(a.Usual))
	case event.BadReply:
		s.Counters.EndedBad++
		a.Server.Failed(now)
	}
}

// settle moves the leg of an exchange that ended.
func (s *System) settle(now time.Time, q *Request, a *Attempt, e event.ExchangeEnded) {
	l := &q.Legs[a.Leg]
	switch {
	case e.Kind == event.Answered && e.Reply.Success():
		s.answered(now, q, a, e.Reply)
		return
	case e.Kind == event.Answered:
		l.Failure = e.Reply
	}
	if l.Running > 0 {
		return
	}
	if !q.Route.Idempotent && !a.NotRun {
		s.giveUp(now, q, a.Leg)
		return
	}
	if e.Kind == event.Died && s.unclear(now, q, a) {
		return
	}
	s.retry(now, q, a.Leg)
}

// answered settles a leg by a whole answer.
func (s *System) answered(now time.Time, q *Request, a *Attempt, r *event.Reply) {
	l := &q.Legs[a.Leg]
	l.State, l.Reply = LegAnswered, r
	q.Open--
	q.Answered++
	s.dropLosers(now, l)
	if !q.gathers() {
		s.relay(now, q, r)
		return
	}
	if q.Trial {
		s.endTrial(now, q)
	}
	if q.Open == 0 || q.Impatient {
		s.answerIfEnough(now, q)
	}
}

// loserGrace is how long an attempt that lost to another one of its leg may run on:
// most end by themselves, which keeps the connection.
const loserGrace = 250 * time.Millisecond

// dropLosers lets the other attempts of a leg run on for a while, then cancels them.
func (s *System) dropLosers(now time.Time, l *Leg) {
	for _, a := range l.Sent {
		if !a.Ended && !a.Cancelled {
			s.timers.Set(now.Add(loserGrace), due{kind: dueDrop, attempt: a.ID})
		}
	}
}

// retry sends the next attempt of a leg that has none in flight, as far as servers,
// time and budget allow.
func (s *System) retry(now time.Time, q *Request, leg int) {
	l := &q.Legs[leg]
	if l.State != LegOpen || l.Running > 0 || q.OnTrial != nil || l.Unclear != nil {
		// The end of a trial or of a check comes back to what waits for it.
		return
	}
	if (len(l.Sent) > 0 && s.condemned(now, q)) || l.mayHaveRun() >= q.Route.Attempts || len(l.Sent) >= maxExchanges {
		s.giveUp(now, q, leg)
		return
	}
	b := s.choose(now, q, l, false)
	if b == nil {
		b = s.choose(now, q, l, true)
		if b != nil && l.tried(b.ID) && l.Rounds == 0 {
			b = nil
		}
	}
	if b == nil {
		s.await(now, q, leg, "every server refused or is full")
		return
	}
	if now.Add(s.expected(now, q.Route, b)).After(q.AnswerBy) && l.mayHaveRun() > 0 {
		s.giveUp(now, q, leg)
		return
	}
	if len(l.Sent) == 0 {
		s.send(now, q, leg, b, firstAttempt)
		return
	}
	if !s.afford(now, l.Group, 1) {
		s.Counters.BudgetExhausted++
		q.note(now, event.Step{Decision: "not-retried", Group: l.Group, Cause: "retry budget exhausted"})
		s.giveUp(now, q, leg)
		return
	}
	s.send(now, q, leg, b, retryAttempt)
}

// spare reports whether a gathering request may do without one more of its groups.
func (s *System) spare(q *Request) bool {
	return q.gathers() && enough(q.Route, q.Answered+q.Open-1, len(q.Legs))
}

// await looks at a leg again in a moment, or gives it up.
func (s *System) await(now time.Time, q *Request, leg int, why string) {
	l := &q.Legs[leg]
	l.Rounds++
	if l.Rounds > roomRounds && len(l.Sent) == 0 && s.spare(q) {
		// The group's servers are left to requests that can't do without it.
		q.note(now, event.Step{Decision: "left-out", Group: l.Group, Cause: why})
		s.giveUp(now, q, leg)
		return
	}
	at := now.Add(roundPause + time.Duration(s.Rand.Int64N(int64(roundPause))))
	if l.Rounds > maxRounds || !at.Before(q.AnswerBy) || !s.served(now, q, l) {
		q.note(now, event.Step{Decision: "no-server", Group: l.Group, Cause: why})
		s.giveUp(now, q, leg)
		return
	}
	s.timers.Set(at, due{kind: dueRetry, request: q.Query, leg: leg})
}

// giveUp settles a leg as missing.
func (s *System) giveUp(now time.Time, q *Request, leg int) {
	l := &q.Legs[leg]
	l.State = LegMissing
	q.Open--
	switch {
	case !q.gathers():
		s.refuseSingle(now, q, l)
	case !enough(q.Route, q.Answered+q.Open, len(q.Legs)):
		s.refuseThin(now, q)
	case q.Open == 0 || q.Impatient:
		s.answerIfEnough(now, q)
	}
	if q.Trial && !q.Done {
		s.tryAlone(now, q)
	}
}
