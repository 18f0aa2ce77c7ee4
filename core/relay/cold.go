package relay

import (
	"time"

	"hyssoppitch/core/roster"
	"hyssoppitch/core/route"
)

// trickle spaces the requests to a cold server.
type trickle struct {
	// nextAt is when the next may be sent.
	nextAt time.Time
}

// bearable reports whether a server that is cold may get one more request now. The
// bound on it holds for all instances together: one of them, found by rendezvous
// hashing, uses all of it.
func (s *System) bearable(now time.Time, b *roster.Server) bool {
	rate := s.table.Pool(b.Group).ColdPerSecond
	if rate <= 0 || !now.Before(b.ColdUntil) {
		return true
	}
	if len(s.live) > 0 && route.Owner(string(b.ID), s.live) != s.Self.ID {
		return false
	}
	t := s.trickles[b.ID]
	return t == nil || !now.Before(t.nextAt)
}

// tap counts a request to a server that is cold.
func (s *System) tap(now time.Time, b *roster.Server) {
	rate := s.table.Pool(b.Group).ColdPerSecond
	if rate <= 0 || !now.Before(b.ColdUntil) {
		delete(s.trickles, b.ID)
		return
	}
	s.trickles[b.ID] = &trickle{nextAt: now.Add(time.Duration(float64(time.Second) / rate))}
}
