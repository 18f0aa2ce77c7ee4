package relay

import (
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/roster"
)

// A server that starts again is cold. While the directory doesn't answer, only its connections tell of it:
// a server without a process refuses them. Such a server counts as cold from then on, and at all instances,
// since only one of them may send to a cold server. Its connections are checked at intervals, so that the
// time of its start is known to within an interval.

const (
	// recheckInterval is the time from a refused connection to the next check of the server, and
	// maxRecheckDelay the most by which it is later at an instance, so that one instance checks at a time.
	recheckInterval = time.Second
	maxRecheckDelay = 200 * time.Millisecond
	// restartMargin is the longest time from a refused connection to a start of the server that the next
	// check finds.
	restartMargin = recheckInterval + maxRecheckDelay + 300*time.Millisecond
	// minRestartNews is by how much longer a server must count as cold for peers to be told.
	minRestartNews = recheckInterval / 2
)

// limitsColdServers reports whether the servers of a group take a limited number of requests after a start.
func (s *System) limitsColdServers(group string) bool {
	pool := s.pools[group]
	return pool.ColdPerSecond > 0 && pool.WarmUp > 0
}

// recordUnreached records that no connection to a server could be established. refused is set if no process
// listens at its address.
func (s *System) recordUnreached(now time.Time, b *roster.Server, refused bool) {
	b.Unreached(now)
	// A host that doesn't answer after a refusal may still start the process.
	if !s.limitsColdServers(b.Group) || (!refused && b.RefusedAt.IsZero()) {
		return
	}
	if !b.MayHaveRestarted(now) {
		s.Counters.ServersRestarting++
		s.Out.Emit(event.StateChanged{
			Kind: "server", Name: string(b.ID), From: "ready", To: "restarting",
			Cause: "it refuses connections, so that it is cold if it starts again, group " + b.Group,
		})
	}
	cold := restartMargin + s.pools[b.Group].WarmUp
	if b.RecordRefused(now, now.Add(cold)) >= minRestartNews {
		s.Broadcaster.Broadcast(event.Message{Restart: &event.ServerRestart{Key: b.Key, Life: b.Life, ColdMicros: cold.Microseconds()}})
	}
	s.scheduleRecheck(b)
}

// recordReached records that a server accepted a connection at the given time, and tells peers, which need
// not check it then.
func (s *System) recordReached(now time.Time, b *roster.Server, at time.Time) {
	if b.RefusedAt.IsZero() {
		return
	}
	if !b.Accepted(at) {
		// It has refused another one since.
		s.scheduleRecheck(b)
		return
	}
	s.Broadcaster.Broadcast(event.Message{Restart: &event.ServerRestart{
		Key: b.Key, Life: b.Life, Accepts: true, AgeMicros: max(0, now.Sub(at).Microseconds()),
	}})
}

// HandleServerRestart handles what a peer tells of a server. It reports whether that is news.
func (s *System) HandleServerRestart(now time.Time, r event.ServerRestart) (news bool) {
	b := s.Servers.Get(r.Key)
	if b == nil || b.Life != r.Life || !s.limitsColdServers(b.Group) {
		return false
	}
	if r.Accepts {
		return !b.RefusedAt.IsZero() && b.Accepted(now.Add(-time.Duration(r.AgeMicros)*time.Microsecond))
	}
	cold := min(time.Duration(r.ColdMicros)*time.Microsecond, restartMargin+s.pools[b.Group].WarmUp)
	news = b.RecordRefused(now, now.Add(cold)) >= minRestartNews
	// The peer may be lost before the server starts.
	s.scheduleRecheck(b)
	return news
}

// scheduleRecheck sets the timer of the next check of a server that refuses connections, unless it is set.
func (s *System) scheduleRecheck(b *roster.Server) {
	if s.rechecks[b] {
		return
	}
	s.rechecks[b] = true
	delay := time.Duration(s.Rand.Float64() * float64(maxRecheckDelay))
	s.timers.Set(b.RefusedAt.Add(recheckInterval+delay), timerEvent{kind: timerRecheck, server: b})
}

// recheck checks a server that refused connections, unless it refused or accepted one since.
func (s *System) recheck(now time.Time, b *roster.Server) {
	delete(s.rechecks, b)
	switch {
	case b.RefusedAt.IsZero() || s.Servers.Get(b.Key) != b || !s.Servers.Usable(b) || !s.limitsColdServers(b.Group):
	case now.Sub(b.RefusedAt) < recheckInterval:
		s.scheduleRecheck(b)
	default:
		s.check(b)
	}
}
