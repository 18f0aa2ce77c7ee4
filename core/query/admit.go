package query

import (
	"fmt"
	"time"

	"hyssoppitch/core/claim"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
)

const (
	// answerMargin is subtracted from the caller's deadline to leave time for
	// sending the answer back.
	answerMargin = 5 * time.Millisecond
	// minTimeout is the shortest accepted deadline; shorter ones are refused.
	minTimeout = 2 * answerMargin
	// claimTimeFraction is the fraction of a request's time within which its claim
	// must be recorded in the store; maxClaimWait is the upper bound of that time.
	claimTimeFraction = 0.5
	maxClaimWait      = 400 * time.Millisecond
	// transientRetryAfter is the Retry-After of refusals for a transient cause.
	transientRetryAfter = time.Second
	// nonUrgentCapacityFraction is the fraction of a group's capacity that requests
	// which are not urgent may use.
	nonUrgentCapacityFraction = 0.8
)

// HandleQuery validates a request and starts its query, or refuses the request before
// anything is sent to a backend server.
func (s *System) HandleQuery(now time.Time, id event.QueryID, r event.Request) {
	s.Counters.QueriesArrived++
	q, refusal := s.validate(now, id, r)
	if refusal != nil {
		s.refuse(*refusal)
		return
	}
	s.queries[id] = q
	s.setTimer(timerEvent{at: q.AnswerBy, kind: timerDeadline, query: id})
	if q.Class.NonIdempotent {
		s.requestClaim(now, q)
		return
	}
	if q.Class.Patience > 0 {
		s.setTimer(timerEvent{at: now.Add(time.Duration(q.Class.Patience)), kind: timerPatience, query: id})
	}
	s.startLegs(now, q)
}

// validate checks a request and returns its query, or the refusal.
func (s *System) validate(now time.Time, id event.QueryID, r event.Request) (*Query, *event.Refuse) {
	refuse := func(code event.RefusalCode, retry time.Duration, format string, args ...any) *event.Refuse {
		return &event.Refuse{
			Query: id, Class: r.Class, Code: code, Outcome: event.OutcomeNotRun,
			Detail: fmt.Sprintf(format, args...), RetryAfter: retry,
		}
	}
	svc := s.config.Service(r.Service)
	if svc == nil {
		return nil, refuse(event.RefuseUnknownService, 0, "service %q is not in configuration version %d", r.Service, s.config.Version)
	}
	class, ok := svc.Class(r.Class)
	if !ok {
		return nil, refuse(event.RefuseUnknownClass, 0, "service %q has no class %q", r.Service, r.Class)
	}
	if class.NonIdempotent && r.IdempotencyKey == "" {
		return nil, refuse(event.RefuseBadRequest, 0, "class %q is non-idempotent: an Idempotency-Key is needed", class.Name)
	}
	if class.NonIdempotent && r.Key == "" {
		return nil, refuse(event.RefuseBadRequest, 0, "class %q is non-idempotent: a key that routes to one group is needed", class.Name)
	}
	timeout := time.Duration(class.Deadline)
	if r.Timeout > 0 {
		timeout = min(timeout, r.Timeout)
		if !r.ReceivedAt.IsZero() {
			timeout = min(timeout, r.Timeout-now.Sub(r.ReceivedAt))
		}
	}
	if timeout < minTimeout {
		return nil, refuse(event.RefuseDeadline, 0, "%s are left until the deadline, want %s or more", timeout, minTimeout)
	}
	q := &Query{
		ID: id, Request: r, Class: class, ArrivedAt: now,
		Fingerprint: model.FingerprintOf(r.Service, r.Body),
		AnswerBy:    s.beforeStop(now.Add(timeout - answerMargin)),
	}
	q.usePlan(s.choosePlan(svc, r.Key))
	if e := s.Suspects.Get(now, q.identity()); e != nil && e.State == event.SuspicionCondemned {
		return nil, refuse(event.RefusePoison, 0, "query %s crashed the servers that ran it", q.Fingerprint)
	}
	if code := s.overloadRefusal(now, q); code != "" {
		return nil, refuse(code, transientRetryAfter, "service %q is not expected to reach the least coverage of this class within %s", r.Service, timeout)
	}
	return q, nil
}

// overloadRefusal returns a refusal code when the groups that are expected to
// answer in time cover less than the class's least coverage. It returns "" for a
// query that should be tried.
func (s *System) overloadRefusal(now time.Time, q *Query) event.RefusalCode {
	var askedKeys, reachableInTime, unservedKeys uint32
	for i := range q.Legs {
		size := q.Legs[i].Group.Keys.Size()
		askedKeys += size
		wait, exists := s.expectedWait(q, &q.Legs[i])
		switch {
		case !exists:
			unservedKeys += size
		case now.Add(wait).Before(q.AnswerBy):
			reachableInTime += size
		}
	}
	if unservedKeys == askedKeys {
		return event.RefuseNoReplica
	}
	reachable := float64(askedKeys-unservedKeys) / float64(askedKeys)
	requiredFraction := min(q.Class.LeastCoverage, reachable)
	if float64(reachableInTime)/float64(askedKeys) < requiredFraction || reachableInTime == 0 {
		return event.RefuseOverload
	}
	return ""
}

// expectedWait estimates the time to an answer for a leg that joins its group's
// queue now. It returns false when no server of the group may receive requests.
func (s *System) expectedWait(q *Query, l *Leg) (wait time.Duration, exists bool) {
	var capacity float64
	var latency time.Duration
	for _, b := range s.Servers.Group(q.Service.Name, l.Group.Name) {
		if s.evacuatedDataCentres[b.DataCentre] {
			continue
		}
		switch b.State {
		case limit.Warm:
			exists = true
			capacity += b.Limit
			latency = max(latency, b.MinLatency)
		case limit.Cold, limit.Unknown:
			exists = true
		}
	}
	if capacity == 0 {
		// No server is warm: the capacity of a cold one is only found by sending to it.
		return 0, exists
	}
	if !q.Class.Urgent {
		capacity *= nonUrgentCapacityFraction
	}
	ahead := 0
	for _, w := range s.group(limit.GroupKey{Service: q.Service.Name, Group: l.Group.Name}).queue {
		if w.urgent || !q.Class.Urgent {
			ahead++
		}
	}
	return time.Duration(float64(latency) * (1 + float64(ahead)/capacity)), exists
}

// startLegs sends or queues the legs of a query's plan.
func (s *System) startLegs(now time.Time, q *Query) {
	q.OpenLegs = len(q.Legs)
	s.Counters.LegsStarted += uint64(len(q.Legs))
	round := q.Round
	for i := range q.Legs {
		if q.Answered || q.Round != round {
			return
		}
		if !s.place(now, q, i) {
			s.enqueue(q, i)
		}
	}
}

// requestClaim asks the ledger to record the claim of a non-idempotent request.
func (s *System) requestClaim(now time.Time, q *Query) {
	q.OpenLegs = len(q.Legs)
	maxWait := min(time.Duration(claimTimeFraction*float64(q.AnswerBy.Sub(now))), maxClaimWait)
	d := claim.DigestOf(q.Request.Service, q.Request.IdempotencyKey)
	s.Claims.Claim(now, q.ID, d, q.Fingerprint, now.Add(maxWait))
}

// processClaimDecisions continues the requests whose claims were decided.
func (s *System) processClaimDecisions(now time.Time) {
	for {
		decisions := s.Claims.Decisions()
		if len(decisions) == 0 {
			return
		}
		for _, d := range decisions {
			s.processClaimDecision(now, d)
		}
	}
}

func (s *System) processClaimDecision(now time.Time, d claim.Decision) {
	q := s.queries[d.Query]
	if q == nil || q.Answered {
		// The caller no longer waits, and nothing was sent.
		if d.Result == claim.Granted {
			s.Claims.Resolve(now, d.Entry, claim.Released, nil)
		}
		delete(s.queries, d.Query)
		return
	}
	switch d.Result {
	case claim.Granted:
		entry := d.Entry
		q.Claim = &entry
		// The snapshots that the servers serve may have changed while the claim was
		// being recorded.
		q.usePlan(s.choosePlan(q.Service, q.Request.Key))
		s.startLegs(now, q)
	case claim.Taken:
		s.answerDuplicate(q, d.Entry)
	case claim.StoreDown:
		s.refuseQuery(q, event.RefuseStoreDown, event.OutcomeNotRun, transientRetryAfter, "the request could not be recorded in time, so it was not sent")
	case claim.Full:
		s.refuseQuery(q, event.RefuseClaimLogFull, event.OutcomeNotRun, transientRetryAfter, "the claim log of non-idempotent requests is full")
	}
}

// answerDuplicate answers a request whose idempotency key is claimed already,
// with the outcome of the earlier request.
func (s *System) answerDuplicate(q *Query, e claim.Entry) {
	switch {
	case e.RequestFingerprint != q.Fingerprint:
		s.refuseQuery(q, event.RefuseKeyReused, event.OutcomeNotRun, 0, "this Idempotency-Key was used for a request with another body; this body was not run")
	case e.State == claim.Ran && e.Answer != nil:
		s.replayAnswer(q, *e.Answer)
	case e.State == claim.Ran:
		s.refuseQuery(q, event.RefuseOutcomeUnknown, event.OutcomeRan, 0, "an earlier request with this Idempotency-Key ran; its result was too large to store")
	case e.State == claim.Claimed:
		s.refuseQuery(q, event.RefuseInProgress, event.OutcomeUnknown, transientRetryAfter, "an earlier request with this Idempotency-Key is still in progress")
	default:
		s.refuseQuery(q, event.RefuseOutcomeUnknown, event.OutcomeUnknown, 0, "an earlier request with this Idempotency-Key may have run")
	}
}

// replayAnswer answers a resent request with the stored result of the request
// that ran, and with the shard map and the snapshot of that run.
func (s *System) replayAnswer(q *Query, a claim.Answer) {
	q.Epoch, q.Snapshot = a.Epoch, a.Snapshot
	q.Legs[0] = Leg{Group: model.Group{Name: a.Group, Keys: a.Keys}, State: LegAnswered, Result: a.Result}
	s.answer(q, true)
}
