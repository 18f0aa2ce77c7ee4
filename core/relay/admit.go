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
	replyMargin = 10 * time.Millisecond
	// wayOut is taken off a route's target for the opening of the caller's connection
	// and the way of the request and its answer.
	targetMargin = 10 * time.Millisecond
	// holdPause is the wait before a request without room is looked at again, and holdPart
	// the part of the route's target after which it would be answered late and is refused.
	holdInterval = 10 * time.Millisecond
	maxHoldFraction  = 0.25
	// leastTime is the shortest time in which an answer is tried for.
	minAnswerTime = 5 * time.Millisecond
	// longestTime bounds a request that gives no time and whose route has no timeout.
	maxAnswerTime = time.Minute
	// retrySoon is the Retry-After for what passes within moments, such as a full
	// server; retryLater for what takes longer, such as a group without servers.
	shortRetryAfter  = 150 * time.Millisecond
	longRetryAfter = 400 * time.Millisecond
)

// Arrive admits a request, or refuses it before anything is sent.
func (s *System) Arrive(now time.Time, r event.RoutedRequest) {
	s.Counters.Arrived++
	q := &Request{RoutedRequest: r, ArrivedAt: now, Version: s.table.Version}
	if !s.Servers.Heard() || s.table.Version == 0 {
		s.refuse(now, q, event.RefuseNotReady, longRetryAfter, "the directory has not been read yet")
		return
	}
	q.Route = s.table.Match(r.Host, r.Path)
	if q.Route == nil {
		s.refuse(now, q, event.RefuseUnknownService, 0, fmt.Sprintf("no route for host %q, path %q in version %d", r.Host, r.Path, s.table.Version))
		return
	}
	q.AnswerBy = now.Add(s.answerTimeout(q) - replyMargin)
	s.createLegs(q)
	for i := range q.Legs {
		// A request that is refused counts as well: the budget is a part of what callers ask.
		s.recordFirstAttempt(now, q.Legs[i].Group)
	}
	if reason := s.unsatisfiable(now, q); reason != "" {
		s.refuse(now, q, event.RefuseNoReplica, longRetryAfter, reason)
		return
	}
	s.requests[r.Query] = q
	s.timers.Set(q.AnswerBy, timerEvent{kind: timerDeadline, request: r.Query})
	if q.gathers() && q.Route.Target > 0 {
		s.timers.Set(now.Add(max(minAnswerTime, q.Route.Target-targetMargin)), timerEvent{kind: timerTarget, request: r.Query})
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
		s.beginIsolation(now, q)
		return
	}
	servers, blocked := s.chooseServers(now, q)
	if blocked != "" {
		s.hold(now, q, blocked)
		return
	}
	q.addStep(now, event.Step{What: "admitted", Why: fmt.Sprintf("%d groups, held %d times", len(q.Legs), q.HoldCount)})
	for i, b := range servers {
		if b == nil {
			s.waitForServer(now, q, i, "no server has room")
			continue
		}
		s.send(now, q, i, b, firstAttempt)
	}
}

// hold looks at a request again in a moment, or refuses it when it would be answered late.
func (s *System) hold(now time.Time, q *Request, reason string) {
	if now.Add(holdInterval).Sub(q.ArrivedAt) > time.Duration(maxHoldFraction*float64(q.Route.Target)) {
		s.refuse(now, q, event.RefuseOverload, longRetryAfter, reason)
		return
	}
	q.HoldCount++
	s.timers.Set(now.Add(holdInterval), timerEvent{kind: timerAdmit, request: q.Query})
}

// place chooses the servers of a request's first attempts; a leg without a server that
// has room gets nil. It returns why a gathering request can't be answered in time, or "":
// more of its groups than may be left out have no server with room.
func (s *System) chooseServers(now time.Time, q *Request) (servers []*roster.Server, blocked string) {
	servers = make([]*roster.Server, len(q.Legs))
	withCapacity := 0
	full := ""
	for i := range q.Legs {
		servers[i] = s.chooseServer(now, q, &q.Legs[i], false)
		if servers[i] != nil {
			withCapacity++
		} else {
			full = q.Legs[i].Group
		}
	}
	if !q.gathers() || sufficientCoverage(q.Route, withCapacity, len(q.Legs)) {
		return servers, ""
	}
	return nil, fmt.Sprintf("%d of %d groups have room, group %q has none", withCapacity, len(q.Legs), full)
}

// timeFor returns how long the caller is kept waiting at most.
func (s *System) answerTimeout(q *Request) time.Duration {
	d := maxAnswerTime
	if q.Patience > 0 {
		d = min(d, q.Patience)
	}
	if q.Route.Timeout > 0 {
		d = min(d, q.Route.Timeout)
	}
	return max(d, replyMargin+minAnswerTime)
}

// plan makes the legs of a request.
func (s *System) createLegs(q *Request) {
	if !q.gathers() {
		q.Legs = []Leg{{Group: s.pickShare(q.Route)}}
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
func (s *System) unsatisfiable(now time.Time, q *Request) (reason string) {
	var servable int
	unservable := ""
	for i := range q.Legs {
		if s.servable(now, q, &q.Legs[i]) {
			servable++
		} else {
			unservable = q.Legs[i].Group
		}
	}
	if servable == 0 || !sufficientCoverage(q.Route, servable, len(q.Legs)) {
		return fmt.Sprintf("%d of %d groups have a server that may get work; group %q has none", servable, len(q.Legs), unservable)
	}
	return ""
}

// served reports whether some server of a leg's group may get the request now or
// soon.
func (s *System) servable(now time.Time, q *Request, l *Leg) bool {
	// Servers that can't be reached are tried again sooner than the caller's next try.
	for _, b := range s.Servers.Group(l.Group) {
		if s.eligible(q.Route, b) && b.DownUntil.Sub(now) < shortRetryAfter {
			return true
		}
	}
	return false
}

// enough reports whether a number of answered groups makes an answer.
func sufficientCoverage(r *model.Route, answered, asked int) bool {
	return answered > 0 && float64(answered) >= r.LeastCoverage*float64(asked)-coverageTolerance
}

// coverageSlack absorbs the rounding of a fraction.
const coverageTolerance = 1e-9
