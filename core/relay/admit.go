package relay

import (
	"fmt"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

const (
	// processingMargin is the time that is reserved to merge and write an answer and for
	// timers that fire late.
	processingMargin = 6 * time.Millisecond
	// assumedNetworkTime is assumed for a caller whose network time is unknown: two round
	// trips of a caller in the same data centre.
	assumedNetworkTime = 4 * time.Millisecond
	// maxMarginFraction is the maximum fraction of a timeout or target that is subtracted
	// for network and processing. A caller that is so far away gets its answer late; it
	// would be of little use if almost no time were left for the backend servers.
	maxMarginFraction = 0.5
	// holdInterval is the delay before the admission of a held request is retried.
	// maxHoldFraction is the fraction of the route's target after which it is refused, as
	// its answer would be late.
	holdInterval    = 10 * time.Millisecond
	maxHoldFraction = 0.25
	// minAnswerTime is the minimum time that is allowed for an answer.
	minAnswerTime = 5 * time.Millisecond
	// maxAnswerTime applies to requests without a timeout on routes without a timeout, and
	// limits all other timeouts.
	maxAnswerTime = time.Minute
	// shortRetryAfter is the Retry-After for short conditions, for example a server at
	// capacity; longRetryAfter is for longer ones, for example a group without servers.
	shortRetryAfter = 150 * time.Millisecond
	longRetryAfter  = 400 * time.Millisecond
)

// HandleRequest admits a request, or refuses it before any attempt is sent. A request that
// arrives before the directory may wait for it.
func (s *System) HandleRequest(now time.Time, r event.RoutedRequest) {
	s.Counters.Arrived++
	arrivedAt := arrivalTime(now, r)
	if s.ready() {
		s.serve(now, arrivedAt, r)
		return
	}
	if !s.awaitDirectory(now, arrivedAt, r) {
		q := &Request{RoutedRequest: r, ArrivedAt: arrivedAt, Version: s.table.Version}
		s.refuse(now, q, event.RefuseNotReady, longRetryAfter, "the directory has not been read yet")
	}
}

// arrivalTime returns when a request that is handled now had arrived completely.
func arrivalTime(now time.Time, r event.RoutedRequest) time.Time { return earlier(now, r.CompleteAt) }

// earlier returns the earlier one of two times, and a if b is zero.
func earlier(a, b time.Time) time.Time {
	if b.IsZero() || b.After(a) {
		return a
	}
	return b
}

// serve admits or refuses a request that arrived at arrivedAt.
func (s *System) serve(now, arrivedAt time.Time, r event.RoutedRequest) {
	q := &Request{RoutedRequest: r, ArrivedAt: arrivedAt, Version: s.table.Version, queued: now.Sub(earlier(now, r.ReceivedAt))}
	q.Route = s.table.Match(r.Host, r.Path)
	if q.Route == nil {
		s.refuse(now, q, event.RefuseUnknownService, 0, fmt.Sprintf("no route for host %q, path %q in version %d", r.Host, r.Path, s.table.Version))
		return
	}
	if !s.identifyCustomer(now, q) {
		return
	}
	q.AnswerBy = s.beforeStop(answerBy(q))
	s.createLegs(q)
	reason := s.unsatisfiable(now, q)
	if reason != "" && s.awaitServers(now, arrivedAt, r) {
		return
	}
	if !s.withinQuota(now, q) {
		return
	}
	s.countArrival(now, q.Route)
	s.countRequest(now, q.Route)
	for i := range q.Legs {
		// Refused requests count as well: the budget is a fraction of the requests received.
		s.recordFirstAttempt(now, q.Legs[i].Group)
	}
	if reason != "" {
		s.refuse(now, q, event.RefuseNoReplica, s.retryAfter(now, q, longRetryAfter), reason)
		return
	}
	if !now.Before(q.AnswerBy) {
		s.refuse(now, q, event.RefuseOverload, shortRetryAfter, fmt.Sprintf("it was read %s ago, no time is left", q.queued.Round(time.Millisecond)))
		return
	}
	if s.stopsTooSoon(now, q) {
		s.refuseStopping(now, q)
		return
	}
	s.requests[r.Query] = q
	s.timers.Set(q.AnswerBy, timerEvent{kind: timerDeadline, request: r.Query})
	if q.gathers() && q.Route.Target > 0 {
		s.timers.Set(arrivedAt.Add(max(minAnswerTime, timeAtInstance(r, q.Route.Target))), timerEvent{kind: timerTarget, request: r.Query})
	}
	s.shed.offer(now, q)
	s.admit(now, q)
}

// admit sends the first attempt of each leg. If so many groups are at capacity that the
// answer would be late, it holds the request for a short time instead, and then refuses
// it before any part of it has been executed.
func (s *System) admit(now time.Time, q *Request) {
	if s.condemned(now, q) {
		s.Counters.RefusedPoison++
		s.refuse(now, q, event.RefusePoison, 0, fmt.Sprintf("requests with fingerprint %s crash the servers that run them", q.Fingerprint))
		return
	}
	if s.suspected(now, q) {
		s.shed.drop(q)
		s.beginIsolation(now, q)
		return
	}
	if s.Suspects.Resembles(now, q.Identity()) {
		s.shed.drop(q)
		s.isolate(now, q, "it has the fingerprint of a request that crashes servers, and other headers")
		return
	}
	servers, blocked := s.chooseServers(now, q)
	if blocked != "" {
		if reason := s.unsatisfiableSince(now, q); reason != "" {
			s.shed.drop(q)
			s.refuse(now, q, event.RefuseNoReplica, s.retryAfter(now, q, shortRetryAfter), reason)
			return
		}
		if s.keptByLimits(now, q) {
			s.refuse(now, q, event.RefuseOverload, s.retryAfter(now, q, longRetryAfter), blocked+"; their servers are at their rate limits")
			return
		}
		if q.ofKind != nil {
			s.holdInOrder(now, q, blocked)
			return
		}
		s.hold(now, q, blocked)
		return
	}
	s.shed.drop(q)
	s.sendFirst(now, q, servers)
}

// sendFirst sends the first attempt of each leg to the servers that chooseServers returned.
func (s *System) sendFirst(now time.Time, q *Request, servers []*roster.Server) {
	q.admitted = true
	q.addStep(now, event.Step{Decision: "admitted", Cause: fmt.Sprintf("%d groups, held %d times", len(q.Legs), q.HoldCount)})
	for i, b := range servers {
		if b == nil {
			s.waitForServer(now, q, i, "no server has capacity")
			continue
		}
		s.send(now, q, i, b, firstAttempt)
	}
}

// hold retries the admission of a request after a delay, or refuses the request if its
// answer would be late.
func (s *System) hold(now time.Time, q *Request, reason string) {
	if now.Add(holdInterval).Sub(q.ArrivedAt) > time.Duration(maxHoldFraction*float64(q.Route.Target)) {
		s.refuse(now, q, event.RefuseOverload, longRetryAfter, reason)
		return
	}
	q.HoldCount++
	s.timers.Set(now.Add(holdInterval), timerEvent{kind: timerAdmit, request: q.Query})
}

// chooseServers returns the servers for the first attempts of a request, with nil for a
// leg whose servers are all at capacity, or whose group is reserved for other requests. For a gathering request that has more such legs
// than the route's coverage allows, it returns a non-empty reason in blocked.
func (s *System) chooseServers(now time.Time, q *Request) (servers []*roster.Server, blocked string) {
	servers = make([]*roster.Server, len(q.Legs))
	withCapacity := 0
	full := ""
	reserved := s.shed.reservedGroups(now, q)
	q.fullGroups = q.fullGroups[:0]
	for i := range q.Legs {
		if !reserved[q.Legs[i].Group] {
			servers[i] = s.chooseServer(now, q, &q.Legs[i], false)
		}
		if servers[i] != nil {
			withCapacity++
		} else {
			full = q.Legs[i].Group
			q.fullGroups = append(q.fullGroups, full)
		}
	}
	if !q.gathers() && servers[0] == nil && s.awaitsCapacity(now, q) {
		return nil, fmt.Sprintf("group %q has no capacity", full)
	}
	if !q.gathers() || sufficientCoverage(q.Route, withCapacity, len(q.Legs)) {
		return servers, ""
	}
	return nil, fmt.Sprintf("%d of %d groups have capacity, group %q has none", withCapacity, len(q.Legs), full)
}

// answerBy returns the time by which the answer to a request must be sent. The caller's time runs from the
// first byte that it has sent, the route's timeout from when the request had arrived.
func answerBy(q *Request) time.Time {
	timeout := maxAnswerTime
	if q.Route.Timeout > 0 {
		timeout = min(timeout, q.Route.Timeout)
	}
	by := q.ArrivedAt.Add(max(minAnswerTime, timeAtInstance(q.RoutedRequest, timeout)))
	if q.CallerTimeout > 0 {
		receivedAt := earlier(q.ArrivedAt, q.ReceivedAt)
		by = earlier(by, receivedAt.Add(max(minAnswerTime, timeAtInstance(q.RoutedRequest, q.CallerTimeout))))
	}
	return by
}

// timeAtInstance returns the part of a caller's waiting time that this instance may use:
// all but the network time and processingMargin.
func timeAtInstance(r event.RoutedRequest, wait time.Duration) time.Duration {
	networkTime := r.NetworkTime
	if networkTime == 0 {
		networkTime = assumedNetworkTime
	}
	return wait - min(networkTime+processingMargin, time.Duration(maxMarginFraction*float64(wait)))
}

// createLegs creates the legs of a request.
func (s *System) createLegs(q *Request) {
	if !q.gathers() {
		q.Legs = []Leg{{Group: s.pickShare(q.Route)}}
	} else {
		q.Legs = make([]Leg, len(q.Route.Gather))
		for i, group := range q.Route.Gather {
			q.Legs[i].Group = group
		}
	}
	q.OpenLegs = len(q.Legs)
	// Most legs have one attempt, with a step for its begin and one for its end.
	q.steps = make([]event.Step, 0, min(maxSteps, 2*len(q.Legs)+2))
}

// unsatisfiable returns why a request can't be served, or "". A request can't be served
// if too many of its groups have no usable server.
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
		return fmt.Sprintf("%d of %d groups have a usable server; group %q has none", servable, len(q.Legs), unservable)
	}
	return ""
}

// unsatisfiableSince does the same for a request that was admissible on arrival: a new table may allow none of the
// regions that could serve it.
func (s *System) unsatisfiableSince(now time.Time, q *Request) (reason string) {
	if q.Version == s.table.Version {
		return ""
	}
	return s.unsatisfiable(now, q)
}

// servable reports whether some server of a leg's group can get the request now or
// shortly.
func (s *System) servable(now time.Time, q *Request, l *Leg) bool {
	// A server whose backoff ends before the caller's next try counts as usable.
	for _, b := range s.Servers.Group(l.Group) {
		if s.eligible(q, b) && b.DownUntil.Sub(now) < shortRetryAfter && b.AwayFor(now) < shortRetryAfter {
			return true
		}
	}
	return false
}

// sufficientCoverage reports whether the number of answered groups meets the route's
// least coverage. No answered group is never sufficient.
func sufficientCoverage(r *model.Route, answered, asked int) bool {
	return answered > 0 && float64(answered) >= r.LeastCoverage*float64(asked)-coverageTolerance
}

// coverageTolerance absorbs floating-point rounding of the least coverage.
const coverageTolerance = 1e-9
