package engine

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/member"
	"hyssoppitch/core/model"
)

const (
	// pollInterval is the time between two reads of a server's status.
	pollInterval = time.Second
	// activePollInterval is the same for a server whose replies currently carry its
	// report. Its status is still read, since it may be the only sign of a drain.
	activePollInterval = 3 * time.Second
)

// runMaintenance does the periodic work.
func (e *Engine) runMaintenance(now time.Time) {
	e.publishMemberUpdates(now, "", e.Members.Tick(now))
	e.refreshLiveInstances(now)
	e.reportShares()
	e.updateUsage(now)
	e.updateLinks()
	e.pingPeers(now)
	for _, b := range e.Servers.Rows {
		b.DecayLatency()
	}
	e.pollServers(now)
	if e.config.pending.Version != 0 {
		e.fetchMissingParts()
	}
	e.rewriteStoredRoot(now)
	if e.Roster != nil {
		e.emitChanges(e.Roster.RemoveExpired(now))
		e.chooseDirectorySource(now)
		e.Relay.ReviewSpill(now)
		if m := e.Relay.SpreadRateLimits(now); m != nil {
			e.Broadcast(event.Message{RateLimits: m})
		}
	} else if e.config.active.Version == 0 {
		e.Broadcast(event.Message{GetRoot: &event.GetRoot{}})
	}
	e.reportReadiness(now)
}

// reportReadiness logs a change of readiness.
func (e *Engine) reportReadiness(now time.Time) {
	reason := e.NotReadyReason(now)
	if reason == e.reportedNotReady {
		return
	}
	to := "ready"
	if reason != "" {
		to = "not-ready"
	}
	e.Emit(event.StateChanged{Kind: "instance", Name: string(e.Self.ID), To: to, Cause: reason})
	e.reportedNotReady = reason
}

// updateLinks emits the set of peers to keep links to, and whether to dial the seeds, if
// either has changed.
func (e *Engine) updateLinks() {
	targets, dialSeeds := e.Members.Neighbours(), e.shouldDialSeeds()
	for _, c := range e.rolloutLinks() {
		if !slices.ContainsFunc(targets, func(t model.Instance) bool { return t.ID == c.ID }) {
			targets = append(slices.Clip(targets), c)
		}
	}
	same := slices.EqualFunc(targets, e.linkTargets, func(a, b model.Instance) bool {
		return a.ID == b.ID && a.Address == b.Address
	})
	if same && dialSeeds == e.dialSeeds {
		return
	}
	e.linkTargets, e.dialSeeds = targets, dialSeeds
	e.Emit(event.LinkPeers{Peers: targets, DialSeeds: dialSeeds})
}

// pingPeers pings every linked peer when a ping is due.
func (e *Engine) pingPeers(now time.Time) {
	if e.maintenanceCount%uint64(member.PingInterval/maintenanceInterval) == 0 {
		e.Members.RecordPing(now)
		e.Broadcast(event.Message{Ping: &event.Ping{
			SentAt: now.UnixNano(), ViewDigest: e.Members.Digest(), ConfigVersion: e.config.active.Version,
			StoreEra: e.knownStoreEra(now),
		}})
	}
	e.maintenanceCount++
}

// pollServers requests the status of the servers whose poll is due, and of those that
// are down, unknown or may have restarted. The polls are spread evenly over time.
func (e *Engine) pollServers(now time.Time) {
	for i, b := range e.Servers.Rows {
		interval := pollInterval
		if now.Sub(b.RepliedAt) < pollInterval {
			interval = activePollInterval
		}
		down := b.State == limit.Down && !now.Before(b.DownUntil)
		due := (e.maintenanceCount+uint64(i))%uint64(interval/maintenanceInterval) == 0
		if down || due || b.Unverified() || b.State == limit.Unknown {
			e.Emit(event.PollStatus{Server: b.ID, Address: b.Address})
		}
	}
}

// verifyServer stops work for a server until its status shows its current boot.
func (e *Engine) verifyServer(now time.Time, b *limit.Server) {
	if b.State == limit.Unknown || b.State == limit.Down {
		return
	}
	b.MarkUnverified(now)
	e.Emit(event.PollStatus{Server: b.ID, Address: b.Address})
}

// handleStatus applies a server's status. The status may start or end a drain or show
// another boot; it never raises a limit.
func (e *Engine) handleStatus(now time.Time, v event.StatusPolled) {
	b := e.Servers.Get(v.Server)
	if b == nil {
		return
	}
	previous := b.State
	if !v.Reached {
		if b.State == limit.Down || (b.Unverified() && !v.AskedAt.Before(b.UnverifiedSince)) {
			b.RecordUnreachable(now)
		}
		e.reportServerState(b, previous, "status unreachable")
		return
	}
	if !b.ApplyReport(v.Report) {
		b.RecordReachable()
	}
	if b.Verify(v.AskedAt) {
		e.Queries.ServerChanged(b)
	}
	switch {
	case v.Report.Draining:
		b.StartDrain(limit.DrainByStatus)
	default:
		b.EndDrain(limit.DrainByStatus)
	}
	e.reportServerState(b, previous, "status")
}

// reportServerState logs a change of a server's state and notifies the queries. The
// owner of the server doesn't depend on its state.
func (e *Engine) reportServerState(b *limit.Server, previous limit.State, cause string) {
	if b.State == previous {
		return
	}
	e.Emit(event.StateChanged{Kind: "server", Name: string(b.ID), From: previous.String(), To: b.State.String(), Cause: cause})
	e.Queries.ServerChanged(b)
}

// handlePlatformList applies the platform's list.
func (e *Engine) handlePlatformList(v event.PlatformListed) {
	e.platformInstances = v.Instances
	e.Members.SetListed(v.Instances)
	for _, l := range v.Servers {
		b := e.Servers.Get(l.ID)
		if b == nil {
			continue
		}
		previous := b.State
		if l.State == event.ListedLeaving {
			b.StartDrain(limit.DrainByPlatform)
		} else {
			b.EndDrain(limit.DrainByPlatform)
		}
		e.reportServerState(b, previous, "platform list")
	}
}
