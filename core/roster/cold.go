package roster

import "time"

// ColdEnd returns the time from which the server counts as warm.
func (s *Server) ColdEnd() time.Time {
	if s.restartColdUntil.After(s.ColdUntil) {
		return s.restartColdUntil
	}
	return s.ColdUntil
}

// RecordRefused records that the server refused a connection, and that it counts as cold until a time in
// case it starts again. It returns by how much later that is than was known.
func (s *Server) RecordRefused(now, coldUntil time.Time) (later time.Duration) {
	s.RefusedAt = now
	known := s.restartColdUntil
	if known.Before(now) {
		known = now
	}
	if !coldUntil.After(known) {
		return 0
	}
	s.restartColdUntil = coldUntil
	return coldUntil.Sub(known)
}

// MayHaveRestarted reports whether the server counts as cold because it refused a connection.
func (s *Server) MayHaveRestarted(now time.Time) bool { return now.Before(s.restartColdUntil) }

// Accepted records that the server accepted a connection at the given time. It reports whether it has
// refused none since.
func (s *Server) Accepted(at time.Time) bool {
	if !at.After(s.RefusedAt) {
		return false
	}
	s.RefusedAt = time.Time{}
	return true
}
