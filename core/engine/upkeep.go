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
	// repliedPollInterval is the same for a server whose replies carry its report.
	// It is read all the same, since a drain may show in the status only.
	repliedPollInterval = 3 * time.Second
)

// upkeep does what is due by the clock.
func (e *Engine) upkeep(now time.Time) {
	e.spreadMembers(now, "", e.Members.Tick(now))
	e.relink()
	e.ping(now)
	for _, b := range e.Servers.Rows {
		b.DecayLatency()
	}
	e.poll(now)
	if e.config.next.Version != 0 {
		e.fetchNext()
	}
	if e.Roster != nil {
		e.emitChanges(e.Roster.RemoveExpired(now))
		e.followDirectory(now)
	} else if e.config.inForce.Version == 0 {
		e.Broadcast(event.Message{GetRoot: &event.GetRoot{}})
	}
	e.noteReady(now)
}

// noteReady reports a change of readiness.
func (e *Engine) noteReady(now time.Time) {
	why := e.NotReadyReason(now)
	if why == e.notReady {
		return
	}
	to := "ready"
	if why != "" {
		to = "not-ready"
	}
	e.Emit(event.StateChanged{Kind: "instance", Name: string(e.Self.ID), To: to, Cause: why})
	e.notReady = why
}

// relink names the peers to keep links to, and whether to dial the seeds, when that changed.
func (e *Engine) relink() {
	want, seeds := e.Members.Neighbours(), e.usesSeeds()
	same := slices.EqualFunc(want, e.linked, func(a, b model.Instance) bool {
		return a.ID == b.ID && a.Address == b.Address
	})
	if same && seeds == e.seeds {
		return
	}
	e.linked, e.seeds = want, seeds
	e.Emit(event.LinkPeers{Peers: want, DialSeeds: seeds})
}

// ping pings every linked peer.
func (e *Engine) ping(now time.Time) {
	if e.pingNumber%uint64(member.PingInterval/upkeepInterval) == 0 {
		e.Broadcast(event.Message{Ping: &event.Ping{
			SentAt: now.UnixNano(), ViewDigest: e.Members.Digest(), ConfigVersion: e.config.inForce.Version,
		}})
	}
	e.pingNumber++
}

// poll asks for the status of the servers that are due, spread over the time, and
// of those that are down or may have restarted.
func (e *Engine) poll(now time.Time) {
	for i, b := range e.Servers.Rows {
		interval := pollInterval
		if now.Sub(b.RepliedAt) < pollInterval {
			interval = repliedPollInterval
		}
		down := b.State == limit.Down && !now.Before(b.DownUntil)
		due := (e.pingNumber+uint64(i))%uint64(interval/upkeepInterval) == 0
		if down || due || b.Unverified() || b.State == limit.Unknown {
			e.Emit(event.PollStatus{Server: b.ID, Address: b.Address})
		}
	}
}

// verify keeps work from a server until its status shows which boot it is in.
func (e *Engine) verify(now time.Time, b *limit.Server) {
	if b.State == limit.Unknown || b.State == limit.Down {
		return
	}
	b.MarkUnverified(now)
	e.Emit(event.PollStatus{Server: b.ID, Address: b.Address})
}

// statusSeen takes in a server's status. It may start a drain or show another
// boot; it never raises a limit.
func (e *Engine) statusSeen(now time.Time, v event.StatusPolled) {
	b := e.Servers.Get(v.Server)
	if b == nil {
		return
	}
	before := b.State
	if !v.Reached {
		if b.State == limit.Down || (b.Unverified() && !v.AskedAt.Before(b.UnverifiedSince)) {
			b.RecordUnreachable(now)
		}
		e.noteServer(b, before, "status unreachable")
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
	e.noteServer(b, before, "status")
}

// noteServer reports a change of a server's state. Who owns the server doesn't depend
// on its state.
func (e *Engine) noteServer(b *limit.Server, before limit.State, why string) {
	if b.State == before {
		return
	}
	e.Emit(event.StateChanged{Kind: "server", Name: string(b.ID), From: before.String(), To: b.State.String(), Cause: why})
	e.Queries.ServerChanged(b)
}

// platformListed takes in the platform's list.
func (e *Engine) platformListed(v event.PlatformListed) {
	e.listed = v.Instances
	e.Members.SetListed(v.Instances)
	for _, l := range v.Servers {
		b := e.Servers.Get(l.ID)
		if b == nil {
			continue
		}
		before := b.State
		if l.State == event.ListedLeaving {
			b.StartDrain(limit.DrainByPlatform)
		} else {
			b.EndDrain(limit.DrainByPlatform)
		}
		e.noteServer(b, before, "platform list")
	}
}
