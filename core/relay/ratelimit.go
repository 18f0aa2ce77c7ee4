package relay

import (
	"fmt"
	"strconv"
	"time"

	"hyssoppitch/core/event"
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
		s.reportLimit(now, a.Server, before.Active, "named in a reply")
	}
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
