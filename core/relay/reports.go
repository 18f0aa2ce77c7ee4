package relay

import (
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/report"
	"hyssoppitch/core/roster"
)

// This file exchanges with other instances which servers are slow or failing. A server that others report
// is ranked lower, and attempts to it are hedged earlier; it stays usable.

const (
	// maxOwnRate is the number of exchanges per second of this instance with a server up to which
	// reports of others are used. With more, it soon notices by itself.
	maxOwnRate = 2
	// slowMultiple is the latency, as a multiple of that of a healthy server, from which an answer is
	// evidence of a slow server, and healthyMultiple the one up to which it is evidence of a healthy one.
	slowMultiple    = 3
	healthyMultiple = 2
	// maxPause is the duration of the longest pause of a healthy server. An exchange that a pause may
	// explain is not reported unless the server is reported already.
	maxPause = 250 * time.Millisecond
	// afterPause is the time after a pause in which answers are late because requests have queued. With
	// 50 ms, instances reported servers that had paused.
	afterPause = 250 * time.Millisecond
	// ownPrecedence is the time for which an answer in time to this instance counts more than reports.
	ownPrecedence = time.Second
	// suspicionTime is the time for which an overdue attempt of this instance counts with one report.
	suspicionTime = time.Second
	// delayTime is the time within which two slow answers in a row show a slow server.
	delayTime = report.MaxAge
	// probesPerSecond is the number of requests per second to a reported server, over all instances, for
	// which reports are passed over, so that it is found out when the server has recovered.
	probesPerSecond = 3
	// minFailureStatus is the status from which a reply is a failure of the server.
	minFailureStatus = 500
	// comparedTime is the time before an exchange within which answers of other servers show that the
	// network works.
	comparedTime = 100 * time.Millisecond
	// comparedLong is the time over which servers are compared in addition.
	comparedLong = 5 * time.Second
	// minBadServers is the number of bad servers, if they are the majority, from which an instance
	// takes the network or itself for the cause.
	minBadServers = 3
)

// rate returns the first attempts per second of this instance in a group.
func (s *System) rate(now time.Time, group string) float64 {
	b := s.budgets[group]
	if b == nil || s.Options.Retries.Window <= 0 {
		return 0
	}
	b.advance(now, s.Options.Retries.Window)
	first, _ := b.totals()
	return float64(first) / s.Options.Retries.Window.Seconds()
}

// usesReports reports whether this instance has too little evidence of its own on the servers of a group.
func (s *System) usesReports(now time.Time, group string) bool {
	return s.Reports != nil && len(s.members.Live) >= report.MinInstances &&
		s.rate(now, group) < float64(maxOwnRate*len(s.Servers.Group(group)))
}

// NeedsReports reports whether this instance sends requests to a group on whose servers it has too little
// evidence of its own.
func (s *System) NeedsReports(now time.Time) bool {
	for group := range s.budgets {
		if s.usesReports(now, group) && s.rate(now, group) > 0 {
			return true
		}
	}
	return false
}

// reported returns what other instances report of a server. ok is false if there is no such report or this
// instance knows better.
func (s *System) reported(now time.Time, b *roster.Server) (v report.Verdict, ok bool) {
	if s.Reports == nil || s.Reports.Empty() || now.Sub(b.GoodAt) < ownPrecedence || !s.usesReports(now, b.Group) {
		return v, false
	}
	return s.Reports.Verdict(now, b.ReportKey, now.Sub(b.BadAt) < suspicionTime)
}

// probes reports, at random, whether reports on a server are passed over for one request.
func (s *System) probes(now time.Time, b *roster.Server) bool {
	natural := s.rate(now, b.Group) * float64(len(s.members.Live)) / float64(len(s.Servers.Group(b.Group)))
	if s.Rand.Float64()*natural >= probesPerSecond {
		return false
	}
	s.Reports.Counters.Probes++
	return true
}

// hedgesEarly reports whether an attempt to a reported server is hedged before it is overdue. While all
// servers of a group are reported, such hedges would only use up the retry budget.
func (s *System) hedgesEarly(now time.Time, b *roster.Server) bool {
	if b == nil {
		return false
	}
	_, bad := s.reported(now, b)
	return !bad
}

// reportAnswer records a successful answer as evidence.
func (s *System) reportAnswer(now time.Time, a *Attempt) {
	switch multiple := a.multiple(now); {
	case multiple >= slowMultiple:
		s.reportSlow(now, a, multiple)
	case multiple <= healthyMultiple:
		a.Server.GoodAt, a.Server.GoodSentAt = now, a.SentAt
		if s.Reports != nil && !s.Reports.Empty() {
			s.Reports.ReportHealthy(now, a.SentAt, a.Server.ReportKey)
		}
	}
}

// multiple returns the duration of an attempt so far as a multiple of the latency of a healthy server.
func (a *Attempt) multiple(now time.Time) float64 {
	return float64(now.Sub(a.SentAt)) / float64(max(a.BaselineLatency, time.Millisecond))
}

// reportUnanswered records an exchange that ended without an answer as evidence.
func (s *System) reportUnanswered(now time.Time, a *Attempt) {
	if multiple := a.multiple(now); multiple >= slowMultiple {
		s.reportSlow(now, a, multiple)
	}
}

// reportSlow records a slow exchange as evidence, and reports it unless a pause may explain it.
func (s *System) reportSlow(now time.Time, a *Attempt, multiple float64) {
	a.Server.BadAt = now
	if !s.usesReports(now, a.Server.Group) || s.onTrial(a.Server) {
		return
	}
	beyondPause := now.Sub(a.SentAt) > maxPause+2*a.BaselineLatency || s.delayedAgain(now, a)
	if beyondPause || s.Reports.Confirms(now, a.Server.ReportKey) {
		s.report(now, a, event.ReportSlow, multiple)
	}
}

// delayedAgain records a slow answer, and reports whether it is the second one in a row and both can't be
// due to one pause: the server has answered the first before the request of the second was sent.
func (s *System) delayedAgain(now time.Time, a *Attempt) bool {
	b := a.Server
	if b.DelayedAt.IsZero() || b.GoodAt.After(b.DelayedAt) || now.Sub(b.DelayedAt) > delayTime {
		b.DelayedAt = now
		return false
	}
	return a.SentAt.After(b.DelayedAt.Add(afterPause))
}

// reportFailure reports a failed exchange.
func (s *System) reportFailure(now time.Time, a *Attempt) {
	a.Server.BadAt = now
	if s.usesReports(now, a.Server.Group) && !s.onTrial(a.Server) && !a.WasIsolated {
		s.report(now, a, event.ReportFailing, 0)
	}
}

// report reports a server, unless most of the servers of its data centre, or of all, are bad.
func (s *System) report(now time.Time, a *Attempt, kind event.ReportKind, multiple float64) {
	if s.mostAreBad(now, a) {
		s.Reports.Counters.Withheld++
		return
	}
	s.Reports.Report(now, a.Server.ReportKey, kind, multiple)
}

// mostAreBad reports whether most of the servers that this instance has heard of since it sent an attempt,
// in the server's data centre or in all, are bad: the cause is then the network or this instance.
func (s *System) mostAreBad(now time.Time, a *Attempt) bool {
	since, lately := a.SentAt.Add(-comparedTime), now.Add(-comparedLong)
	// After a stop of this instance many attempts are overdue at once.
	overdue := map[*roster.Server]bool{}
	for _, o := range s.attempts {
		if o.SentAt.After(since) && !now.Before(o.OverdueAt) {
			overdue[o.Server] = true
		}
	}
	// Each count is of all servers and of those of the data centre. An instance that avoids the bad
	// servers hears of few in the short time.
	var good, bad, goodLately, badLately [2]int
	count := func(n *[2]int, near bool) {
		n[0]++
		if near {
			n[1]++
		}
	}
	for b := range s.Servers.All() {
		near := b.DataCentre == a.Server.DataCentre
		switch {
		case b.GoodSentAt.After(since) && b != a.Server && !overdue[b]:
			count(&good, near)
		case b.BadAt.After(since) || overdue[b]:
			count(&bad, near)
		}
		switch {
		case b.BadAt.After(b.GoodAt) && b.BadAt.After(lately):
			count(&badLately, near)
		case b.GoodAt.After(lately):
			count(&goodLately, near)
		}
	}
	for i := range good {
		if (bad[i] >= minBadServers && bad[i] > good[i]) || (badLately[i] >= minBadServers && badLately[i] > goodLately[i]) {
			return true
		}
	}
	return false
}
