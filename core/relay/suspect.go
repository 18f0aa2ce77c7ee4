package relay

import (
	"fmt"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/roster"
)

// Requests that crash the servers that execute them are detected by the exchanges that were
// in flight at a crash. Requests with the fingerprint of such an exchange are suspected:
// they are isolated, that is, sent to one server at a time, with no other isolated request
// on that server. An answer clears the fingerprint; a crash during an isolated attempt
// condemns it, and requests with a condemned fingerprint are refused. Package poison holds
// the state of each fingerprint.

// crashCheckTimeout limits the wait for the connection check that shows whether a server
// crashed. Connecting to another region takes about 40 ms.
const crashCheckTimeout = 60 * time.Millisecond

// check is a pending check whether a server accepts connections.
type check struct {
	number uint64
	// waiting lists the attempts whose legs wait for the result.
	waiting []brokenAttempt
}

// brokenAttempt is an attempt whose connection broke.
type brokenAttempt struct {
	*Attempt
	brokeAt time.Time
}

// suspected reports whether the fingerprint of a request is suspected or condemned.
func (s *System) suspected(now time.Time, q *Request) bool {
	return s.Suspects.Get(now, q.Identity()) != nil
}

// condemned reports whether the fingerprint of a request is condemned.
func (s *System) condemned(now time.Time, q *Request) bool {
	e := s.Suspects.Get(now, q.Identity())
	return e != nil && e.State == event.SuspicionCondemned
}

// beginIsolation sends the first isolated attempt of a suspected request. It holds the
// request while another one with the same fingerprint has an isolated attempt in flight.
func (s *System) beginIsolation(now time.Time, q *Request) {
	if s.Suspects.Isolated(q.Fingerprint) > 0 {
		s.hold(now, q, "another request with this fingerprint is on trial after a server crash")
		return
	}
	s.isolate(now, q, "a server crashed with a request of this fingerprint in flight")
}

// isolate sends the first isolated attempt of a request.
func (s *System) isolate(now time.Time, q *Request, cause string) {
	q.Isolated, q.admitted = true, true
	q.addStep(now, event.Step{Decision: "on-trial", Cause: cause + ": " + q.Fingerprint.String()})
	s.retryIsolated(now, q)
}

// retryIsolated sends the next attempt of one leg that has none in flight.
func (s *System) retryIsolated(now time.Time, q *Request) {
	// A random start spreads the risk of a crash over the groups.
	first := s.Rand.IntN(len(q.Legs))
	for k := range q.Legs {
		i := (first + k) % len(q.Legs)
		if l := &q.Legs[i]; l.State == LegOpen && l.Running == 0 && l.Undetermined == nil {
			s.retry(now, q, i)
			return
		}
	}
}

// recordIsolatedAttempt records that an isolated attempt was sent.
func (s *System) recordIsolatedAttempt(q *Request, a *Attempt) {
	q.IsolatedAttempt = a
	a.Server.IsolatedAttempts++
	s.Suspects.BeginIsolated(a.Identity.Fingerprint)
}

// endIsolation ends the isolation of a request and resumes the legs that waited for it.
func (s *System) endIsolation(now time.Time, q *Request) {
	q.Isolated, q.IsolatedAttempt = false, nil
	for i := range q.Legs {
		if l := &q.Legs[i]; l.State == LegOpen && l.Running == 0 && !q.Done {
			s.retry(now, q, i)
		}
	}
}

// awaitCrashCheck handles an exchange of an idempotent request whose connection broke. It
// returns true if the leg must wait until the connection check shows whether the server
// crashed: retried in all groups at once, a request that crashes servers would crash a
// second server of each group. An attempt that was not isolated is retried
// without waiting if its request goes to a single group, or has an answered leg and so
// doesn't crash servers.
func (s *System) awaitCrashCheck(now time.Time, q *Request, a *Attempt) (waits bool) {
	if !a.WasIsolated && (q.AnsweredLegs > 0 || !q.gathers()) {
		return false
	}
	c := s.checks[a.Server]
	if c == nil {
		return false
	}
	q.Legs[a.Leg].Undetermined = a
	if a.WasIsolated {
		q.IsolatedAttempt = a
	}
	c.waiting = append(c.waiting, brokenAttempt{a, now})
	s.timers.Set(now.Add(crashCheckTimeout), timerEvent{kind: timerCrashCheck, request: q.Query, leg: a.Leg, attempt: a.ID})
	return true
}

// resumeLeg resumes a leg whose attempt was undetermined. reachable is set if the server
// accepts connections or the check took too long. A request during which a server crashed
// is isolated from then on; it is refused if a server crashes during an isolated attempt.
func (s *System) resumeLeg(now time.Time, q *Request, a *Attempt, reachable bool) {
	q.Legs[a.Leg].Undetermined = nil
	switch {
	case !q.Isolated:
		// The request was not isolated, or its isolation has ended because another leg was
		// answered.
		q.Isolated = !reachable && q.AnsweredLegs == 0
	case a.WasIsolated && !reachable:
		s.refuse(now, q, event.RefuseNothingAnswered, 0, "backend servers crashed with requests of this fingerprint in flight, the last one during an isolated attempt")
		return
	case a.WasIsolated:
		s.endIsolation(now, q)
		return
	}
	if q.Isolated && q.IsolatedAttempt == nil {
		q.addStep(now, event.Step{Decision: "on-trial", Server: a.Server.ID, Cause: "the server crashed with the request in flight"})
	}
	s.retry(now, q, a.Leg)
}

// updateSuspicion updates the state of the fingerprint of an exchange that ended.
func (s *System) updateSuspicion(now time.Time, a *Attempt, e event.ExchangeEnded) {
	if a.WasIsolated {
		a.Server.IsolatedAttempts--
		s.Suspects.EndIsolated(a.Identity.Fingerprint)
	}
	switch {
	case e.Kind == event.Answered:
		for _, update := range s.Suspects.Clear(now, a.Identity) {
			s.announceSuspicion(update, "answered by "+string(a.Server.ID))
		}
	case e.Kind == event.Died && !a.Cancelled:
		a.Server.ConnectionBroke(now, a.Identity, a.WasIsolated)
		s.check(a.Server)
	}
}

// check starts a connection check of a server whose connection broke, to find out whether
// it crashed. Later requests avoid the server and would not show it.
func (s *System) check(b *roster.Server) {
	if s.checks[b] != nil {
		return
	}
	s.lastCheck++
	s.checks[b] = &check{number: s.lastCheck}
	s.Out.Emit(event.CheckServer{Number: s.lastCheck, Server: b.ID, Address: b.Address, Connections: s.connectionLimit(b.Group)})
}

// HandleServerChecked handles the result of a connection check.
func (s *System) HandleServerChecked(now time.Time, e event.ServerChecked) {
	for b, c := range s.checks {
		if c.number == e.Number {
			delete(s.checks, b)
			s.endCheck(now, b, c, e)
			return
		}
	}
}

// endCheck applies the result of a check of a server. A connection that broke after the server was reached
// is the matter of another check: the server may have crashed since.
func (s *System) endCheck(now time.Time, b *roster.Server, c *check, e event.ServerChecked) {
	if e.Reached {
		s.recordReached(now, b, e.ConnectedAt)
		if b.Reached(e.ConnectedAt) {
			s.check(b)
		}
	} else {
		s.recordUnreached(now, b, e.ConnectionRefused)
		for _, broken := range b.TakeBroken(now) {
			s.attributeCrash(now, b, broken)
		}
	}
	for _, a := range c.waiting {
		q := s.requests[a.ID.Query]
		if q == nil || q.Done || q.Legs[a.Leg].Undetermined != a.Attempt {
			continue
		}
		if next := s.checks[b]; next != nil && a.brokeAt.After(e.ConnectedAt) {
			next.waiting = append(next.waiting, a)
			continue
		}
		s.resumeLeg(now, q, a.Attempt, e.Reached)
	}
}

// attributeCrash records that a server crashed with an exchange in flight and announces
// the new state of its fingerprint, if it changed.
func (s *System) attributeCrash(now time.Time, b *roster.Server, broken roster.Broken) {
	before := event.SuspicionCleared
	if e := s.Suspects.Get(now, broken.Identity); e != nil {
		before = e.State
	}
	update := s.Suspects.RecordCrash(now, broken.Identity, broken.WasIsolated)
	if update.State == before || before == event.SuspicionCondemned {
		return
	}
	if update.State == event.SuspicionCondemned {
		s.Counters.Condemned++
	} else {
		s.Counters.Suspected++
	}
	s.announceSuspicion(update, "in flight when server "+string(b.ID)+" crashed")
}

// announceSuspicion sends the state of a fingerprint to the other instances and logs it.
func (s *System) announceSuspicion(update event.Suspicion, cause string) {
	s.Broadcaster.Broadcast(event.Message{Suspects: &update})
	s.Out.Emit(event.StateChanged{Kind: "fingerprint", Name: update.Fingerprint.String(), To: update.State.String(), Cause: fmt.Sprintf("%s, recognized by %d headers", cause, len(update.Traits))})
}
