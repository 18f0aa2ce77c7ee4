package limit

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
)

const (
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 2 * time.Second
	// maxAnnounced is the number of boots that peers' word is kept of.
	maxAnnounced = 4
)

// Seen records a report of the server itself, from a reply or a status. It
// returns true when the report shows another boot than the one known: the server
// is then cold, whatever was known before.
func (s *Server) ApplyReport(r event.ServerReport) (rebooted bool) {
	if r.Snapshots != nil {
		s.Snapshots = r.Snapshots
	}
	if r.Epoch != 0 {
		s.Epoch = r.Epoch
	}
	if r.Boot == "" || r.Boot == s.Boot {
		return false
	}
	s.Boot = r.Boot
	s.UnverifiedSince = time.Time{}
	s.Drain = 0
	s.turnCold(0)
	for _, n := range s.PendingUpdates {
		if n.Boot == r.Boot {
			s.ApplyUpdate(n)
		}
	}
	return true
}

// announce keeps word of a boot that the server has not shown here. Boots have no
// order, so that a peer which lags must not displace what another said of the next.
func (s *Server) announce(n event.ServerUpdate) {
	i := slices.IndexFunc(s.PendingUpdates, func(o event.ServerUpdate) bool { return o.Boot == n.Boot })
	if i >= 0 {
		if Supersedes(n, s.PendingUpdates[i]) {
			s.PendingUpdates[i] = n
		}
		return
	}
	s.PendingUpdates = append(s.PendingUpdates, n)
	if len(s.PendingUpdates) > maxAnnounced {
		s.PendingUpdates = slices.Delete(s.PendingUpdates, 0, 1)
	}
}

// Suspect notes that the server may have restarted.
func (s *Server) MarkUnverified(now time.Time) { s.UnverifiedSince = now }

// Unverified reports whether the server may have restarted since its boot was last
// shown.
func (s *Server) Unverified() bool { return !s.UnverifiedSince.IsZero() }

// Verify ends a suspicion by a status that was asked for after it began. It returns
// false when there is none, or the status is too old to tell.
func (s *Server) Verify(askedAt time.Time) bool {
	if !s.Unverified() || askedAt.Before(s.UnverifiedSince) {
		return false
	}
	s.UnverifiedSince = time.Time{}
	return true
}

// turnCold puts the server into the cold state of a generation.
func (s *Server) turnCold(generation uint64) {
	s.rememberWarm()
	s.State = Cold
	s.Generation = generation
	s.Allowance = 1
	s.Limit = 1
	s.SuccessStreak, s.FastStreak, s.SlowStreak, s.ShedStreak = 0, 0, 0, 0
	s.Latency, s.MinLatency = 0, 0
	s.Backoff = 0
}

// rememberWarm keeps the base of a warm server that is about to be so no longer.
func (s *Server) rememberWarm() {
	if s.State == Warm && s.MinLatency > 0 {
		s.WarmMinLatency = s.MinLatency
	}
}

// FallBack turns a warm server cold within its boot.
func (s *Server) ResetToCold() { s.turnCold(s.Generation + 1) }

// TurnWarm ends the cold state; share is the limit to start from.
func (s *Server) MarkWarm(share float64) {
	s.State = Warm
	s.Limit = share
	// What was measured of the cold server says nothing of the warm one.
	s.Latency, s.MinLatency = 0, 0
	s.SuccessStreak, s.FastStreak, s.SlowStreak, s.ShedStreak = 0, 0, 0, 0
	s.IssuedGrants, s.GrantRequests = nil, nil
}

// StartDrain records that a source says the server is leaving.
func (s *Server) StartDrain(by DrainSource) {
	s.Drain |= by
	s.State = Draining
}

// EndDrain takes back what a source said. DrainByReply and DrainByPeer are never
// taken back: they end only with a new boot. When no source is left the server is
// cold: nobody has seen it at work since.
func (s *Server) EndDrain(by DrainSource) (ended bool) {
	if s.Drain&by == 0 {
		return false
	}
	s.Drain &^= by
	if s.Drain != 0 {
		return false
	}
	s.turnCold(s.Generation + 1)
	return true
}

// Lost records that the server could not be reached. It is tried again after a
// backoff that doubles up to lastBackoff.
func (s *Server) RecordUnreachable(now time.Time) {
	s.UnverifiedSince = time.Time{}
	s.Allowance = 1
	s.rememberWarm()
	if s.State != Draining {
		s.State = Down
	}
	s.Backoff = min(max(2*s.Backoff, firstBackoff), lastBackoff)
	s.DownUntil = now.Add(s.Backoff)
}

// Back records that a server that was Down was reached again in the boot already
// known. This instance holds it cold, in the same generation: if the owner sees it
// warm, its word ends that.
func (s *Server) RecordReachable() {
	if s.State == Down {
		s.turnCold(s.Generation)
	}
}

// News returns what this instance tells others of the server. Only a drain that
// the server announced on a request is passed on: status and platform list reach
// every instance by themselves, and may mislead.
func (s *Server) PeerUpdate() event.ServerUpdate {
	w := event.WarmthCold
	switch {
	case s.Drain&(DrainByReply|DrainByPeer) != 0:
		w = event.WarmthDraining
	case s.State == Warm:
		w = event.WarmthWarm
	}
	return event.ServerUpdate{Server: s.ID, Boot: s.Boot, Generation: s.Generation, Warmth: w}
}

// Supersedes reports whether news a overrides news b of the same boot.
func Supersedes(a, b event.ServerUpdate) bool {
	if a.Warmth == event.WarmthDraining || b.Warmth == event.WarmthDraining {
		return a.Warmth == event.WarmthDraining && b.Warmth != event.WarmthDraining
	}
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return a.Warmth > b.Warmth
}

// Apply takes in a peer's word. It returns true when the row changed. Word of
// another boot is kept until the server itself shows that boot.
func (s *Server) ApplyUpdate(n event.ServerUpdate) (changed bool) {
	if n.Boot != s.Boot {
		s.announce(n)
		return false
	}
	if s.Boot == "" || !Supersedes(n, s.PeerUpdate()) || s.State == Down {
		return false
	}
	switch n.Warmth {
	case event.WarmthDraining:
		s.StartDrain(DrainByPeer)
	case event.WarmthWarm:
		s.Generation = n.Generation
		s.MarkWarm(1)
	case event.WarmthCold:
		s.turnCold(n.Generation)
	}
	return true
}
