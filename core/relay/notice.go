package relay

import (
	"fmt"
	"time"

	"hyssoppitch/core/event"
)

// recordNotice applies what the reply to an exchange says about the availability of its server, also
// if the reply came too late or wasn't needed. Peers aren't told: each instance goes by what the server
// says to it, so that none can take a server away from the others.
func (s *System) recordNotice(now time.Time, a *Attempt, n event.Notice) {
	if n.Problem != "" {
		s.Counters.NoticesInvalid++
		if s.mayReportLimit(now, a.Server) {
			s.Out.Emit(event.StateChanged{Kind: "server-notice", Name: string(a.Server.ID), To: "invalid", Cause: n.Problem + ", group " + a.Server.Group})
		}
	}
	if n.Leaving && !a.Server.Leaving {
		s.Counters.ServersLeaving++
		for _, c := range s.Servers.MarkLeaving(a.Server) {
			s.Out.Emit(c)
		}
	}
	if n.Away > 0 && a.Server.TurnAway(now, n.Away) {
		s.Counters.ServersAway++
		s.Out.Emit(event.StateChanged{
			Kind: "server", Name: string(a.Server.ID), From: "ready", To: "away",
			Cause: fmt.Sprintf("it turned a request away and asked for %s without any, group %s", n.Away.Round(time.Millisecond), a.Server.Group),
		})
	}
}

// awayWait returns how long it takes until a server of a leg takes requests again: zero if one does now,
// or if none of them has said for how long it doesn't.
func (s *System) awayWait(now time.Time, q *Request, l *Leg) (wait time.Duration) {
	for _, b := range s.Servers.Group(l.Group) {
		if !s.eligible(q, b) {
			continue
		}
		w := b.AwayFor(now)
		if w == 0 {
			return 0
		}
		if wait == 0 || w < wait {
			wait = w
		}
	}
	return wait
}

// awaitsReturn reports whether all servers of a leg want no requests, or get one at a time after such a
// time.
func (s *System) awaitsReturn(now time.Time, q *Request, l *Leg) bool {
	found := false
	for _, b := range s.Servers.Group(l.Group) {
		if !s.eligible(q, b) {
			continue
		}
		if b.TakesRequest(now) {
			return false
		}
		found = true
	}
	return found
}
