package relay

import (
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/roster"
)

// Requests that crash the servers that run them are found by the exchanges that were in
// flight at a crash. A request like one of these is a suspect: it is tried on one server
// alone before anything else of it is sent. An answer clears it; another crash condemns
// it, and whatever is like it is refused. Package poison keeps what is believed.

// unclearFor bounds the wait until it is known whether a server crashed: a connection to
// another region takes some 40 ms.
const unclearFor = 60 * time.Millisecond

// check is a server that is asked whether it takes connections.
type check struct {
	server *roster.Server
	// waiting lists the attempts whose legs wait for the outcome.
	waiting []*Attempt
}

// suspected reports whether requests like this one may crash servers.
func (s *System) suspected(now time.Time, q *Request) bool {
	return s.Suspects.Get(now, q.Fingerprint) != nil
}

// condemned reports whether requests like this one crash servers.
func (s *System) condemned(now time.Time, q *Request) bool {
	e := s.Suspects.Get(now, q.Fingerprint)
	return e != nil && e.State == event.SuspicionCondemned
}

// beginTrial sends the first part of a suspect, unless another one like it is being tried.
func (s *System) beginTrial(now time.Time, q *Request) {
	if s.Suspects.Get(now, q.Fingerprint).InFlight > 0 {
		s.hold(now, q, "a request like this is being tried, since a server crashed with one in flight")
		return
	}
	q.Trial = true
	q.note(now, event.Step{Decision: "on-trial", Cause: "a server crashed with a request like this in flight, fingerprint " + q.Fingerprint.String()})
	s.tryAlone(now, q)
}

// tryAlone goes on with one leg that has nothing in flight.
func (s *System) tryAlone(now time.Time, q *Request) {
	// Not always the same group bears the trials.
	first := s.Rand.IntN(len(q.Legs))
	for k := range q.Legs {
		i := (first + k) % len(q.Legs)
		if l := &q.Legs[i]; l.State == LegOpen && l.Running == 0 && l.Unclear == nil {
			s.retry(now, q, i)
			return
		}
	}
}

// trialSent notes the exchange of a request on trial.
func (s *System) trialSent(now time.Time, q *Request, a *Attempt) {
	q.OnTrial = a
	a.Server.Trials++
	if e := s.Suspects.Get(now, a.Fingerprint); e != nil {
		e.InFlight++
	}
}

// endTrial goes on with the legs that waited for the end of the trial.
func (s *System) endTrial(now time.Time, q *Request) {
	q.Trial, q.OnTrial = false, nil
	for i := range q.Legs {
		if l := &q.Legs[i]; l.State == LegOpen && l.Running == 0 && !q.Done {
			s.retry(now, q, i)
		}
	}
}

// unclear takes in that an exchange of a request that may be repeated broke off. It returns
// true if the leg waits until it is known whether the server crashed: sent to all groups
// again, a request that crashes servers would take a second one of each. A request of which
// something was answered crashes none, and goes on at once.
func (s *System) unclear(now time.Time, q *Request, a *Attempt) (waits bool) {
	if !a.Alone && (q.Answered > 0 || !q.gathers()) {
		return false
	}
	c := s.checks[a.Server.ID]
	if c == nil {
		return false
	}
	q.Legs[a.Leg].Unclear = a
	if a.Alone {
		q.OnTrial = a
	}
	c.waiting = append(c.waiting, a)
	s.timers.Set(now.Add(unclearFor), due{kind: dueUnclear, request: q.Query, leg: a.Leg, attempt: a.ID})
	return true
}

// goOn goes on with a leg whose attempt broke off; alive says that the server takes
// connections, or that this is not known in time. A request with which a server crashed is
// tried on one server at a time from then on, and ends when one crashes in a trial.
func (s *System) goOn(now time.Time, q *Request, a *Attempt, alive bool) {
	q.Legs[a.Leg].Unclear = nil
	switch {
	case !q.Trial:
		// Something of the request was answered meanwhile, or it never was on trial.
		q.Trial = !alive && q.Answered == 0
	case a.Alone && !alive:
		s.refuse(now, q, event.RefuseNothingAnswered, 0, "backend servers crashed with requests like this in flight, the last one with this request alone")
		return
	case a.Alone:
		s.endTrial(now, q)
		return
	}
	if q.Trial && q.OnTrial == nil {
		q.note(now, event.Step{Decision: "on-trial", Server: a.Server.ID, Cause: "an exchange of the request broke off, and the server crashed"})
	}
	s.retry(now, q, a.Leg)
}

// judge updates what is believed of the request of an exchange that ended.
func (s *System) judge(now time.Time, a *Attempt, e event.ExchangeEnded) {
	if a.Alone {
		a.Server.Trials--
		if entry := s.Suspects.Get(now, a.Fingerprint); entry != nil {
			entry.InFlight = max(0, entry.InFlight-1)
		}
	}
	switch {
	case e.Kind == event.Answered:
		if news, ok := s.Suspects.Clear(now, a.Fingerprint); ok {
			s.believe(news, "answered by "+string(a.Server.ID))
		}
	case e.Kind == event.Died && !a.Cancelled:
		a.Server.BrokeOff(now, a.Fingerprint, a.Alone)
		s.check(a.Server)
	}
}

// check finds out whether a server that broke off an exchange has crashed: the next requests
// go to other servers, and would not tell.
func (s *System) check(b *roster.Server) {
	if s.checks[b.ID] != nil {
		return
	}
	s.checks[b.ID] = &check{server: b}
	s.Out.Emit(event.CheckServer{Server: b.ID, Address: b.Address, Connections: s.connections(b.Group)})
}

// Checked takes in whether a server takes connections.
func (s *System) HandleServerChecked(now time.Time, e event.ServerChecked) {
	c := s.checks[e.Server]
	if c == nil {
		return
	}
	delete(s.checks, e.Server)
	if e.Reached {
		c.server.Reached()
	} else {
		c.server.Unreached(now)
		for _, with := range c.server.Crashed(now) {
			s.blame(now, c.server, with)
		}
	}
	for _, a := range c.waiting {
		if q := s.requests[a.ID.Query]; q != nil && !q.Done && q.Legs[a.Leg].Unclear == a {
			s.goOn(now, q, a, e.Reached)
		}
	}
}

// blame takes in that a server crashed with a request in flight.
func (s *System) blame(now time.Time, b *roster.Server, with roster.Broken) {
	before := event.SuspicionCleared
	if e := s.Suspects.Get(now, with.Fingerprint); e != nil {
		before = e.State
	}
	news := s.Suspects.RecordCrash(now, with.Fingerprint, with.Alone)
	if news.State == before || before == event.SuspicionCondemned {
		return
	}
	if news.State == event.SuspicionCondemned {
		s.Counters.Condemned++
	} else {
		s.Counters.Suspected++
	}
	s.believe(news, "in flight when server "+string(b.ID)+" crashed")
}

// believe tells what is now believed of a fingerprint.
func (s *System) believe(news event.Suspicion, why string) {
	s.Broadcaster.Broadcast(event.Message{Suspects: &news})
	s.Out.Emit(event.StateChanged{Kind: "fingerprint", Name: news.Fingerprint.String(), To: news.State.String(), Cause: why})
}
