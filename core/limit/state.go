package limit

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
)

const (
	// minBackoff and maxBackoff are the first and the longest delay before an
	// unreachable server is tried again.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 2 * time.Second
	// maxPendingUpdates is the maximum length of Server.PendingUpdates.
	maxPendingUpdates = 4
)

// ApplyReport applies a report of the server itself, from a reply or a status. It
// returns true if the report shows a boot other than the known one: the server is
// then cold, whatever its state was before, unless a stored update of a peer for that
// boot says otherwise.
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
	for _, update := range s.PendingUpdates {
		if update.Boot == r.Boot {
			s.ApplyUpdate(update)
		}
	}
	return true
}

// storePendingUpdate stores a peer's update for a boot that the server has not shown
// to this instance. Boots have no order, so the updates are stored per boot: the late
// update of one peer must not replace another peer's update for the next boot.
func (s *Server) storePendingUpdate(update event.ServerUpdate) {
	i := slices.IndexFunc(s.PendingUpdates, func(o event.ServerUpdate) bool { return o.Boot == update.Boot })
	if i >= 0 {
		if Supersedes(update, s.PendingUpdates[i]) {
			s.PendingUpdates[i] = update
		}
		return
	}
	s.PendingUpdates = append(s.PendingUpdates, update)
	if len(s.PendingUpdates) > maxPendingUpdates {
		s.PendingUpdates = slices.Delete(s.PendingUpdates, 0, 1)
	}
}

// MarkUnverified records that the server may have restarted.
func (s *Server) MarkUnverified(now time.Time) { s.UnverifiedSince = now }

// Unverified reports whether the server may have restarted since it last reported
// its boot.
func (s *Server) Unverified() bool { return !s.UnverifiedSince.IsZero() }

// Verify marks the server as verified by a status that was requested at askedAt. It
// returns false if the server was verified already, or if it became unverified after
// the request, so that the status proves nothing.
func (s *Server) Verify(askedAt time.Time) bool {
	if !s.Unverified() || askedAt.Before(s.UnverifiedSince) {
		return false
	}
	s.UnverifiedSince = time.Time{}
	return true
}

// turnCold makes the server cold in a generation and resets what was learned of its
// capacity and latency.
func (s *Server) turnCold(generation uint64) {
	s.saveWarmMinLatency()
	s.State = Cold
	s.Generation = generation
	s.Allowance = 1
	s.Limit = 1
	s.SuccessStreak, s.FastStreak, s.SlowStreak, s.ShedStreak = 0, 0, 0, 0
	s.Latency, s.MinLatency = 0, 0
	s.Backoff = 0
}

// saveWarmMinLatency stores the minimum latency of a warm server that is about to
// leave the warm state.
func (s *Server) saveWarmMinLatency() {
	if s.State == Warm && s.MinLatency > 0 {
		s.WarmMinLatency = s.MinLatency
	}
}

// ResetToCold makes a warm server cold within its boot, in the next generation.
func (s *Server) ResetToCold() { s.turnCold(s.Generation + 1) }

// MarkWarm makes a cold server warm; share is its initial limit.
func (s *Server) MarkWarm(share float64) {
	s.State = Warm
	s.Limit = share
	// The latency of the cold server doesn't predict that of the warm one.
	s.Latency, s.MinLatency = 0, 0
	s.SuccessStreak, s.FastStreak, s.SlowStreak, s.ShedStreak = 0, 0, 0, 0
	s.IssuedGrants, s.GrantRequests = nil, nil
}

// StartDrain records that a source reports the server as leaving.
func (s *Server) StartDrain(by DrainSource) {
	s.Drain |= by
	s.State = Draining
}

// EndDrain withdraws the report of a source. Callers never withdraw DrainByReply and
// DrainByPeer, which end only with a new boot. When no source is left the server
// becomes cold, since it has not served requests in the meantime.
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

// RecordUnreachable records that the server could not be reached. It is tried again
// after a backoff that doubles up to maxBackoff.
func (s *Server) RecordUnreachable(now time.Time) {
	s.UnverifiedSince = time.Time{}
	s.Allowance = 1
	s.saveWarmMinLatency()
	if s.State != Draining {
		s.State = Down
	}
	s.Backoff = min(max(2*s.Backoff, minBackoff), maxBackoff)
	s.DownUntil = now.Add(s.Backoff)
}

// RecordReachable records that a server that was Down was reached again in the boot
// already known. The server becomes cold in the same generation, so that the owner's
// update makes it warm again if it is warm for the owner.
func (s *Server) RecordReachable() {
	if s.State == Down {
		s.turnCold(s.Generation)
	}
}

// PeerUpdate returns the update that this instance sends to others about the server.
// Only a drain that the server reported in a reply is included: the status and the
// platform's list reach every instance directly, and may be wrong.
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

// Supersedes reports whether update a replaces update b of the same boot. Draining
// replaces any other state; then the later generation wins, and within a generation
// warm replaces cold.
func Supersedes(a, b event.ServerUpdate) bool {
	if a.Warmth == event.WarmthDraining || b.Warmth == event.WarmthDraining {
		return a.Warmth == event.WarmthDraining && b.Warmth != event.WarmthDraining
	}
	if a.Generation != b.Generation {
		return a.Generation > b.Generation
	}
	return a.Warmth > b.Warmth
}

// ApplyUpdate applies a peer's update and returns true if the server changed. An
// update for another boot is stored until the server itself reports that boot.
func (s *Server) ApplyUpdate(update event.ServerUpdate) (changed bool) {
	if update.Boot != s.Boot {
		s.storePendingUpdate(update)
		return false
	}
	if s.Boot == "" || !Supersedes(update, s.PeerUpdate()) || s.State == Down {
		return false
	}
	switch update.Warmth {
	case event.WarmthDraining:
		s.StartDrain(DrainByPeer)
	case event.WarmthWarm:
		s.Generation = update.Generation
		s.MarkWarm(1)
	case event.WarmthCold:
		s.turnCold(update.Generation)
	}
	return true
}
