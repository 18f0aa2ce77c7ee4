package relay

import (
	"fmt"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

const (
	// wayBack is taken off the caller's time for the way of the answer.
	wayBack = 10 * time.Millisecond
	// wayOut is taken off a route's target for the opening of the caller's connection
	// and the way of the request and its answer.
	wayOut = 10 * time.Millisecond
	// holdPause is the wait before a request without room is looked at again, and holdPart
	// the part of the route's target after which it would be answered late and is refused.
	holdPause = 10 * time.Millisecond
	holdPart  = 0.25
	// leastTime is the shortest time in which an answer is tried for.
	leastTime = 5 * time.Millisecond
	// longestTime bounds a request that gives no time and whose route has no timeout.
	longestTime = time.Minute
	// retrySoon is the Retry-After for what passes within moments, such as a full
	// server; retryLater for what takes longer, such as a group without servers.
	retrySoon  = 150 * time.Millisecond
	retryLater = 400 * time.Millisecond
)

// Arrive admits a request, or refuses it before anything is sent.
func (s *System) HandleRequest(now time.Time, r event.RoutedRequest) {
	s.Counters.Arrived++
	q := &Request{RoutedRequest: r, ArrivedAt: now, Version: s.table.Version}
	if !s.Servers.Loaded() || s.table.Version == 0 {
		s.refuse(now, q, event.RefuseNotReady, retryLater, "the directory has not been read yet")
		return
	}
	q.Route = s.table.Match(r.Host, r.Path)
	if q.Route == nil {
		s.refuse(now, q, event.RefuseUnknownService, 0, fmt.Sprintf("no route for host %q, path %q in version %d", r.Host, r.Path, s.table.Version))
		return
	}
	q.AnswerBy = now.Add(s.timeFor(q) - wayBack)
	s.plan(q)
	for i := range q.Legs {
		// A request that is refused counts as well: the budget is a part of what callers ask.
		s.earn(now, q.Legs[i].Group)
	}
	if why := s.hopeless(now, q); why != "" {
		s.refuse(now, q, event.RefuseNoReplica, retryLater, why)
		return
	}
	s.requests[r.Query] = q
	s.timers.Set(q.AnswerBy, due{kind: dueAnswer, request: r.Query})
	if q.gathers() && q.Route.Target > 0 {
		s.timers.Set(now.Add(max(leastTime, q.Route.Target-wayOut)), due{kind: duePatience, request: r.Query})
	}
	s.admit(now, q)
}

// admit sends the legs of a request, unless so many of its groups have no room that
// there would be no answer in time. It then waits for room for a moment, and refuses
// the request before any part of it has run.
func (s *System) admit(now time.Time, q *Request) {
	if s.condemned(now, q) {
		s.Counters.RefusedPoison++
		s.refuse(now, q, event.RefusePoison, 0, fmt.Sprintf("requests with fingerprint %s crash the servers that run them", q.Fingerprint))
		return
	}
	if s.suspected(now, q) {
		s.beginTrial(now, q)
		return
	}
	servers, blocked := s.place(now, q)
	if blocked != "" {
		s.hold(now, q, blocked)
		return
	}
	q.note(now, event.Step{Decision: "admitted", Cause: fmt.Sprintf("%d groups, held %d times", len(q.Legs), q.Held)})
	for i, b := range servers {
		if b == nil {
			s.await(now, q, i, "no server has room")
			continue
		}
		s.send(now, q, i, b, firstAttempt)
	}
}

// hold looks at a request again in a moment, or refuses it when it would be answered late.
func (s *System) hold(now time.Time, q *Request, why string) {
	if now.Add(holdPause).Sub(q.ArrivedAt) > time.Duration(holdPart*float64(q.Route.Target)) {
		s.refuse(now, q, event.RefuseOverload, retryLater, why)
		return
	}
	q.Held++
	s.timers.Set(now.Add(holdPause), due{kind: dueAdmit, request: q.Query})
}

// place chooses the servers of a request's first attempts; a leg without a server that
// has room gets nil. It returns why a gathering request can't be answered in time, or "":
// more of its groups than may be left out have no server with room.
func (s *System) place(now time.Time, q *Request) (servers []*roster.Server, blocked string) {
	servers = make([]*roster.Server, len(q.Legs))
	open := 0
	full := ""
	for i := range q.Legs {
		servers[i] = s.choose(now, q, &q.Legs[i], false)
		if servers[i] != nil {
			open++
		} else {
			full = q.Legs[i].Group
		}
	}
	if !q.gathers() || enough(q.Route, open, len(q.Legs)) {
		return servers, ""
	}
	return nil, fmt.Sprintf("%d of %d groups have room, group %q has none", open, len(q.Legs), full)
}

// timeFor returns how long the caller is kept waiting at most.
func (s *System) timeFor(q *Request) time.Duration {
	d := longestTime
	if q.CallerTimeout > 0 {
		d = min(d, q.CallerTimeout)
	}
	if q.Route.Timeout > 0 {
		d = min(d, q.Route.Timeout)
	}
	return max(d, wayBack+leastTime)
}

// plan makes the legs of a request.
func (s *System) plan(q *Request) {
	if !q.gathers() {
		q.Legs = []Leg{{Group: s.deal(q.Route)}}
	} else {
		q.Legs = make([]Leg, len(q.Route.Gather))
		for i, group := range q.Route.Gather {
			q.Legs[i].Group = group
		}
	}
	q.Open = len(q.Legs)
}

// hopeless returns why a request can't be served, or "": too many of its groups have
// no server that may get work.
func (s *System) hopeless(now time.Time, q *Request) (why string) {
	var served int
	empty := ""
	for i := range q.Legs {
		if s.served(now, q, &q.Legs[i]) {
			served++
		} else {
			empty = q.Legs[i].Group
		}
	}
	if served == 0 || !enough(q.Route, served, len(q.Legs)) {
		return fmt.Sprintf("%d of %d groups have a server that may get work; group %q has none", served, len(q.Legs), empty)
	}
	return ""
}

// served reports whether some server of a leg's group may get the request now or
// soon.
func (s *System) served(now time.Time, q *Request, l *Leg) bool {
	// Servers that can't be reached are tried again sooner than the caller's next try.
	for _, b := range s.Servers.Group(l.Group) {
		if s.permitted(q.Route, b) && b.DownUntil.Sub(now) < retrySoon {
			return true
		}
	}
	return false
}

// enough reports whether a number of answered groups makes an answer.
func enough(r *model.Route, answered, asked int) bool {
	return answered > 0 && float64(answered) >= r.LeastCoverage*float64(asked)-coverageSlack
}

// coverageSlack absorbs the rounding of a fraction.
const coverageSlack = 1e-9
