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
	// answerMargin is taken off the caller's deadline for the way back.
	answerMargin = 5 * time.Millisecond
	// minTimeout is the shortest deadline that is tried at all.
	minTimeout = 2 * answerMargin
	// claimPart is the part of a request's time in which its claim must stand,
	// and maxClaimWait bounds it.
	claimPart    = 0.5
	maxClaimWait = 400 * time.Millisecond
	// retryLater is the Retry-After for what passes by itself.
	retryLater = time.Second
	// normalHeadroom is the part of the capacity that requests which are not
	// urgent are admitted to.
	normalHeadroom = 0.8
)

// Arrive admits a request, or refuses it before anything is sent.
func (s *System) HandleQuery(now time.Time, id event.QueryID, r event.Request) {
	s.Counters.QueriesArrived++
	q, refusal := s.accept(now, id, r)
	if refusal != nil {
		s.refuse(*refusal)
		return
	}
	s.queries[id] = q
	s.setTimer(due{at: q.AnswerBy, kind: timerAnswer, query: id})
	if q.Class.NonIdempotent {
		s.claim(now, q)
		return
	}
	if q.Class.Patience > 0 {
		s.setTimer(due{at: now.Add(time.Duration(q.Class.Patience)), kind: timerPatience, query: id})
	}
	s.start(now, q)
}

// accept checks a request and makes its row.
func (s *System) accept(now time.Time, id event.QueryID, r event.Request) (*Query, *event.Refuse) {
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
	}
	if timeout < minTimeout {
		return nil, refuse(event.RefuseDeadline, 0, "deadline %s is too short: want %s or more", timeout, minTimeout)
	}
	q := &Query{
		ID: id, Request: r, Class: class, ArrivedAt: now,
		Fingerprint: model.FingerprintOf(r.Service, r.Body),
		AnswerBy:    now.Add(timeout - answerMargin),
	}
	q.follow(s.choosePlan(svc, r.Key))
	if e := s.Suspects.Get(now, q.Fingerprint); e != nil && e.State == event.SuspicionCondemned {
		return nil, refuse(event.RefusePoison, 0, "query %s crashed the servers that ran it", q.Fingerprint)
	}
	if code := s.overloaded(now, q); code != "" {
		return nil, refuse(code, retryLater, "service %q cannot answer enough of this within %s", r.Service, timeout)
	}
	return q, nil
}

// overloaded returns a refusal code when less than the class's least coverage can
// be expected in time. It is "" for a query that should be tried.
func (s *System) overloaded(now time.Time, q *Query) event.RefusalCode {
	var asked, hopeful, absent uint32
	for i := range q.Legs {
		size := q.Legs[i].Group.Keys.Size()
		asked += size
		wait, exists := s.expectedWait(q, &q.Legs[i])
		switch {
		case !exists:
			absent += size
		case now.Add(wait).Before(q.AnswerBy):
			hopeful += size
		}
	}
	if absent == asked {
		return event.RefuseNoReplica
	}
	reachable := float64(asked-absent) / float64(asked)
	need := min(q.Class.LeastCoverage, reachable)
	if float64(hopeful)/float64(asked) < need || hopeful == 0 {
		return event.RefuseOverload
	}
	return ""
}

// expectedWait estimates the time to an answer of a leg that joins its group's
// queue now. It returns false when no server of the group may get work.
func (s *System) expectedWait(q *Query, l *Leg) (wait time.Duration, exists bool) {
	var capacity float64
	var latency time.Duration
	for _, b := range s.Servers.Group(q.Service.Name, l.Group.Name) {
		if s.out[b.DataCentre] {
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
		// Only cold servers: what they bear is found out by trying.
		return 0, exists
	}
	if !q.Class.Urgent {
		capacity *= normalHeadroom
	}
	ahead := 0
	for _, w := range s.group(limit.GroupKey{Service: q.Service.Name, Group: l.Group.Name}).queue {
		if w.urgent || !q.Class.Urgent {
			ahead++
		}
	}
	return time.Duration(float64(latency) * (1 + float64(ahead)/capacity)), exists
}

// start sends or queues the legs of a query's plan.
func (s *System) start(now time.Time, q *Query) {
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

// claim asks for the claim of a non-idempotent request.
func (s *System) claim(now time.Time, q *Query) {
	q.OpenLegs = len(q.Legs)
	wait := min(time.Duration(claimPart*float64(q.AnswerBy.Sub(now))), maxClaimWait)
	d := claim.DigestOf(q.Request.Service, q.Request.IdempotencyKey)
	s.Claims.Claim(now, q.ID, d, q.Fingerprint, now.Add(wait))
}

// takeDecisions carries on with the requests whose claims were decided.
func (s *System) takeDecisions(now time.Time) {
	for {
		decisions := s.Claims.Decisions()
		if len(decisions) == 0 {
			return
		}
		for _, d := range decisions {
			s.takeDecision(now, d)
		}
	}
}

func (s *System) takeDecision(now time.Time, d claim.Decision) {
	q := s.queries[d.Query]
	if q == nil || q.Answered {
		// Nobody waits any more, and nothing was sent.
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
		// The claim took a while: what the servers serve may have changed.
		q.follow(s.choosePlan(q.Service, q.Request.Key))
		s.start(now, q)
	case claim.Taken:
		s.answerTaken(q, d.Entry)
	case claim.StoreDown:
		s.refuseQuery(q, event.RefuseStoreDown, event.OutcomeNotRun, retryLater, "the request could not be recorded in time, so it was not sent")
	case claim.Full:
		s.refuseQuery(q, event.RefuseClaimLogFull, event.OutcomeNotRun, retryLater, "the record of non-idempotent requests takes no more")
	}
}

// answerTaken tells what became of the earlier request with the same key.
func (s *System) answerTaken(q *Query, e claim.Entry) {
	switch {
	case e.RequestFingerprint != q.Fingerprint:
		s.refuseQuery(q, event.RefuseKeyReused, event.OutcomeNotRun, 0, "this Idempotency-Key was used for a request with another body; this body was not run")
	case e.State == claim.Ran && e.Answer != nil:
		s.answerAgain(q, *e.Answer)
	case e.State == claim.Ran:
		s.refuseQuery(q, event.RefuseOutcomeUnknown, event.OutcomeRan, 0, "an earlier request with this Idempotency-Key ran; its result was too long to keep")
	case e.State == claim.Claimed:
		s.refuseQuery(q, event.RefuseInProgress, event.OutcomeUnknown, retryLater, "an earlier request with this Idempotency-Key has not been settled")
	default:
		s.refuseQuery(q, event.RefuseOutcomeUnknown, event.OutcomeUnknown, 0, "an earlier request with this Idempotency-Key may have run")
	}
}

// answerAgain gives a resend the answer of the run, with the shard map and the
// snapshot of the run.
func (s *System) answerAgain(q *Query, a claim.Answer) {
	q.Epoch, q.Snapshot = a.Epoch, a.Snapshot
	q.Legs[0] = Leg{Group: model.Group{Name: a.Group, Keys: a.Keys}, State: LegAnswered, Result: a.Result}
	s.answer(q, true)
}
