package relay

import (
	"time"

	"hyssoppitch/core/roster"
	"hyssoppitch/core/route"
)

// coldLimiter limits the rate of requests to a cold server.
type coldLimiter struct {
	// nextAt is when the next request may be sent.
	nextAt time.Time
}

// allowsColdRequest reports whether the cold-start rate limit of a server allows a request
// now. The limit applies to all instances together, so only one instance, selected by
// rendezvous hashing, sends to a cold server.
func (s *System) allowsColdRequest(now time.Time, b *roster.Server) bool {
	rate := s.table.Pool(b.Group).ColdPerSecond
	if rate <= 0 || !now.Before(b.ColdUntil) {
		return true
	}
	if len(s.live) > 0 && route.Owner(string(b.ID), s.live) != s.Self.ID {
		return false
	}
	t := s.coldLimiters[b.ID]
	return t == nil || !now.Before(t.nextAt)
}

// recordColdRequest counts a request to a server against its cold-start rate limit.
func (s *System) recordColdRequest(now time.Time, b *roster.Server) {
	rate := s.table.Pool(b.Group).ColdPerSecond
	if rate <= 0 || !now.Before(b.ColdUntil) {
		delete(s.coldLimiters, b.ID)
		return
	}
	s.coldLimiters[b.ID] = &coldLimiter{nextAt: now.Add(time.Duration(float64(time.Second) / rate))}
}
