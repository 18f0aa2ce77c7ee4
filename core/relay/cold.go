package relay

import (
	"time"

	"hyssoppitch/core/roster"
	"hyssoppitch/core/route"
)

// unseenFraction is the fraction of its share of a cold server's rate that an instance uses while
// it may not see all others. Their requests come at unrelated times, so that in some seconds more of
// them come than on average.
const unseenFraction = 0.6

// coldRate returns how many requests per second all instances that see each other may send to a
// cold server, or zero if that isn't limited. Instances that are cut off from each other divide
// the rate of the server in proportion to their number.
func (s *System) coldRate(now time.Time, b *roster.Server) float64 {
	if !now.Before(b.ColdEnd()) {
		return 0
	}
	rate := s.pools[b.Group].ColdPerSecond
	if rate <= 0 {
		return 0
	}
	live := max(1, len(s.members.Live))
	if s.members.Shares <= live {
		return rate
	}
	return rate * unseenFraction * float64(live) / float64(s.members.Shares)
}

// allowsColdRequest reports whether the cold-start rate limit of a server allows a request
// now. Of the instances that see each other only one, selected by rendezvous hashing, sends to a
// cold server. An instance that has just started and sees no other leaves it to them.
func (s *System) allowsColdRequest(now time.Time, b *roster.Server) bool {
	rate := s.coldRate(now, b)
	if rate <= 0 {
		return true
	}
	live := s.members.Live
	if !s.members.Settled || (len(live) > 0 && route.Owner(string(b.ID), live) != s.Self.ID) {
		return false
	}
	if b.ColdNextAt.IsZero() {
		b.ColdNextAt = now
		if s.members.Shares > len(live) {
			// Instances that don't see each other must not all send at once.
			b.ColdNextAt = now.Add(time.Duration(s.Rand.Float64() * float64(time.Second) / rate))
		}
	}
	return !now.Before(b.ColdNextAt)
}

// recordColdRequest counts a request to a server against its cold-start rate limit.
func (s *System) recordColdRequest(now time.Time, b *roster.Server) {
	b.ColdNextAt = time.Time{}
	if rate := s.coldRate(now, b); rate > 0 {
		b.ColdNextAt = now.Add(time.Duration(float64(time.Second) / rate))
	}
}
