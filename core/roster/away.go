package roster

import "time"

// This file holds for how long a server that turns requests away wants to be left alone.

// TurnAway records that the server wants no requests of this instance for a time. It reports whether
// that is news.
func (h *Health) TurnAway(now time.Time, d time.Duration) (changed bool) {
	until := now.Add(d)
	if !until.After(h.awayUntil) {
		return false
	}
	changed = !now.Before(h.awayUntil)
	h.awayUntil, h.returning = until, true
	return changed
}

// AwayFor returns for how long the server still wants no requests; zero if it takes some.
func (h *Health) AwayFor(now time.Time) time.Duration { return max(0, h.awayUntil.Sub(now)) }

// TakesRequest reports whether the server may get one more request. After a time in which it wanted
// none it gets one, and further ones once it has answered.
func (h *Health) TakesRequest(now time.Time) bool {
	return !now.Before(h.awayUntil) && (!h.returning || h.InFlight == 0)
}

// returned records that the server has answered a request that was sent at sentAt.
func (h *Health) returned(sentAt time.Time) {
	if !sentAt.Before(h.awayUntil) {
		h.returning = false
	}
}
