package relay

import (
	"fmt"
	"slices"
	"strconv"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

// recordLimit records what the reply to an exchange says about the rate limit of its server.
func (s *System) recordLimit(now time.Time, a *Attempt, e event.ExchangeEnded) {
	answered := e.Kind == event.Answered
	if !answered && e.Kind != event.Refused {
		// The reply may belong to another request.
		return
	}
	if e.Limit.Problem != "" {
		s.Counters.LimitsInvalid++
		s.reportInvalidLimit(now, a.Server, e.Limit.Problem)
	}
	if !answered && !e.Limit.Named {
		// A refusal without a limit doesn't show that the limit has ended.
		return
	}
	before := a.Server.Limit
	if a.Server.Limit.HandleReply(now, a.SentAt, e.Limit) {
		s.limited[a.Server.ID] = a.Server
		s.reportLimit(now, a.Server, before.Active, "named in a reply")
	}
}

// limitWait returns how long it takes until the rate limit of a server allows an attempt of this
// instance: zero if it allows one now.
func (s *System) limitWait(now time.Time, b *roster.Server) time.Duration {
	if !b.Limit.Active {
		return 0
	}
	return b.Limit.Wait(now, s.limitPart(b), s.Rand)
}

// limitPart returns this instance's part of the rate limit of a server.
func (s *System) limitPart(b *roster.Server) float64 {
	return s.demand.Part(b.Group, b.DataCentre, s.Self.DataCentre, func(route string) float64 {
		return s.routeWeight(route, b.Group)
	})
}

// routeWeight returns the fraction of a route's requests that are sent to a group.
func (s *System) routeWeight(route, group string) float64 {
	at := slices.IndexFunc(s.table.Routes, func(r model.Route) bool { return r.Name == route })
	if at < 0 {
		return 0
	}
	r := &s.table.Routes[at]
	if slices.Contains(r.Gather, group) {
		return 1
	}
	var weight, total float64
	for _, share := range r.Shares {
		total += share.Weight
		if share.Group == group {
			weight += share.Weight
		}
	}
	if total == 0 {
		return 0
	}
	return weight / total
}

// legLimitWait returns how long the rate limits of its servers keep a leg from being sent: zero
// if some server is held back by something else, or by nothing.
func (s *System) legLimitWait(now time.Time, q *Request, l *Leg) (wait time.Duration) {
	for _, b := range s.Servers.Group(l.Group) {
		if !s.eligible(q, b) || now.Before(b.DownUntil) {
			continue
		}
		w := s.limitWait(now, b)
		if w == 0 {
			return 0
		}
		if wait == 0 || w < wait {
			wait = w
		}
	}
	return wait
}

// maxLimitWait returns how long a request waits for the rate limits of servers at most.
func maxLimitWait(q *Request) time.Duration {
	return time.Duration(maxHoldFraction * float64(q.Route.Target))
}

// keptByLimits reports whether rate limits keep a request from being admitted for as long as it
// may be held.
func (s *System) keptByLimits(now time.Time, q *Request) bool {
	held := now.Sub(q.ArrivedAt)
	admissible := 0
	for i := range q.Legs {
		if held+s.legLimitWait(now, q, &q.Legs[i]) <= maxLimitWait(q) {
			admissible++
		}
	}
	return !sufficientCoverage(q.Route, admissible, len(q.Legs))
}

// maxLimitRetryAfter limits the Retry-After of a request that rate limits kept from being sent.
const maxLimitRetryAfter = 2 * time.Second

// retryAfter returns when the caller of a refused request is to come back: when the rate limits
// allow its legs and servers take requests again, if either keeps some from being sent, and after the
// given time otherwise.
func (s *System) retryAfter(now time.Time, q *Request, otherwise time.Duration) time.Duration {
	for i := range q.Legs {
		if l := &q.Legs[i]; l.State != LegAnswered && len(l.Sent) == 0 {
			otherwise = max(otherwise, min(s.legLimitWait(now, q, l), maxLimitRetryAfter), s.awayWait(now, q, l))
		}
	}
	return otherwise
}

// limitReportInterval is the minimum time between two log lines on the rate limit of a server,
// apart from its begin and its end.
const limitReportInterval = time.Second

// reportLimit counts and logs a change of a server's rate limit.
func (s *System) reportLimit(now time.Time, b *roster.Server, wasActive bool, cause string) {
	l := &b.Limit
	if l.Active {
		s.Counters.LimitsNamed++
	}
	if l.Active == wasActive && !s.mayReportLimit(now, b) {
		return
	}
	change := event.StateChanged{Kind: "rate-limit", Name: string(b.ID), To: "none", Cause: cause + ", group " + b.Group}
	if l.Active {
		change.To = strconv.FormatFloat(l.PerSecond, 'g', 6, 64)
	}
	if wasActive {
		change.Cause += fmt.Sprintf(", sent %d requests in %s", l.Sent, now.Sub(l.Since).Round(time.Millisecond))
	}
	s.Out.Emit(change)
}

// reportInvalidLimit logs that a server names an invalid rate limit.
func (s *System) reportInvalidLimit(now time.Time, b *roster.Server, problem string) {
	if s.mayReportLimit(now, b) {
		s.Out.Emit(event.StateChanged{Kind: "rate-limit", Name: string(b.ID), To: "invalid", Cause: problem + ", group " + b.Group})
	}
}

// mayReportLimit reports whether a further line on the rate limit of a server may be logged.
func (s *System) mayReportLimit(now time.Time, b *roster.Server) bool {
	if now.Sub(b.Limit.ReportedAt) < limitReportInterval {
		return false
	}
	b.Limit.ReportedAt = now
	return true
}

// recordLimited counts an attempt to a server with a rate limit.
func (s *System) recordLimited(b *roster.Server) {
	if b.Limit.Active {
		s.Counters.AttemptsLimited++
		b.Limit.RecordSent()
	}
}
