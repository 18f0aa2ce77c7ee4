package engine

import (
	"fmt"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
	"hyssoppitch/core/relay"
)

// handlePeerLinked sends a new peer the state that it may lack: members, configuration
// root, servers' states and condemned fingerprints.
func (e *Engine) handlePeerLinked(now time.Time, p model.Instance) {
	e.linkedOnce = true
	e.publishMemberUpdates(now, "", e.Members.Link(now, p))
	e.recordLink(now, p.ID)
	if e.config.active.Version != 0 {
		e.Send(p.ID, event.Message{Root: &event.RootUpdate{Root: e.config.root}})
	}
	if updates := e.serverUpdates(); len(updates) > 0 {
		e.Send(p.ID, event.Message{Servers: &event.Servers{Updates: updates}})
	}
	for _, suspicion := range e.Suspects.Condemned(now) {
		e.Send(p.ID, event.Message{Suspects: &suspicion})
	}
	if e.Relay != nil {
		if m := e.Relay.AllRateLimits(now); m != nil {
			e.Send(p.ID, event.Message{RateLimits: m})
		}
	}
	e.sendRolloutDecisions(p.ID)
	e.Emit(event.StateChanged{Kind: "peer", Name: string(p.ID), To: "linked"})
	e.refreshLiveInstances(now)
	if e.Roster != nil && slices.Contains(e.directoryPeers(now), p.ID) {
		e.requestDirectory(now, p.ID)
	}
}

// sendView sends the full membership view and the platform's list to a peer.
func (e *Engine) sendView(to model.InstanceID) {
	e.Send(to, event.Message{Members: &event.Members{Updates: e.Members.AllUpdates(), Full: true, Listed: e.platformInstances}})
}

// serverUpdates returns the states of the servers whose boot is known.
func (e *Engine) serverUpdates() (updates []event.ServerUpdate) {
	for _, b := range e.Servers.Rows {
		if b.Boot != "" && b.State != limit.Down && b.State != limit.Unknown {
			updates = append(updates, b.PeerUpdate())
		}
	}
	return updates
}

// handleMessage handles a message from a peer.
func (e *Engine) handleMessage(now time.Time, from model.InstanceID, m event.Message) {
	e.Members.RecordReceived(now, from)
	if problem := invalidField(m); problem != "" {
		e.refuseMessage(from, problem)
		return
	}
	switch {
	case m.Ping != nil:
		e.handlePing(now, from, m.Ping)
	case m.Pong != nil:
		e.Members.RecordPong(now, from, time.Unix(0, m.Pong.SentAt))
		e.receiveStoreEra(now, m.Pong.StoreEra)
		e.comparePeerState(now, from, m.Pong.ViewDigest, m.Pong.ConfigVersion)
	case m.Members != nil:
		if e.platformInstances == nil && m.Members.Listed != nil {
			e.platformInstances = m.Members.Listed
			e.Members.SetListed(e.platformInstances)
		}
		e.publishMemberUpdates(now, from, e.Members.Apply(now, m.Members.Updates))
	case m.GetMembers != nil:
		e.sendView(from)
	case m.Root != nil:
		e.receiveRoot(m.Root.Root, from)
	case m.GetRoot != nil:
		if e.config.active.Version != 0 {
			e.Send(from, event.Message{Root: &event.RootUpdate{Root: e.config.root}})
		}
	case m.GetParts != nil:
		e.sendParts(from, m.GetParts)
	case m.Part != nil:
		e.receivePart(*m.Part)
	case m.Servers != nil:
		e.applyServerUpdates(from, m.Servers.Updates)
	case m.GrantRequest != nil:
		e.Warm.HandleGrantRequest(now, from, *m.GrantRequest)
	case m.Grant != nil:
		e.handleGrant(now, from, *m.Grant)
	case m.GrantReturn != nil:
		if b, warmed := e.Warm.HandleGrantReturn(now, from, *m.GrantReturn); b != nil {
			if warmed {
				e.Queries.PromoteToWarm(b)
			}
			e.Queries.ServerChanged(b)
		}
	case m.GetDirectory != nil:
		e.sendDirectory(now, from, m.GetDirectory.Position())
	case m.Directory != nil:
		e.handleDirectoryUpdate(now, from, m.Directory)
	case m.Rollouts != nil:
		e.handleRollouts(now, from, m.Rollouts)
	case m.Claims != nil:
		if err := e.Claims.Learn(now, m.Claims.Entries); err != nil {
			e.refuseMessage(from, err.Error())
		}
	case m.RateLimits != nil:
		if e.Relay != nil {
			e.Relay.HandleRateLimits(now, from, m.RateLimits)
		}
	case m.UsageReport != nil:
		if e.Usage != nil {
			e.Usage.HandleReport(now, from, m.UsageReport)
		}
	case m.UsageSums != nil:
		if e.Usage != nil {
			e.Usage.HandleSums(now, from, m.UsageSums)
		}
	case m.Reports != nil:
		if e.Reports != nil {
			e.Reports.Handle(now, from, m.Reports)
		}
	case m.Restart != nil:
		if e.Relay != nil && e.Relay.HandleServerRestart(now, *m.Restart) {
			e.broadcastExcept(from, m)
		}
	case m.Suspects != nil:
		if e.Suspects.Apply(now, *m.Suspects) {
			e.Emit(event.StateChanged{
				Kind: "fingerprint", Name: m.Suspects.Fingerprint.String(), To: m.Suspects.State.String(), Cause: "reported by " + string(from),
			})
			e.broadcastExcept(from, m)
		}
	}
}

// handleGrant stores a grant for a cold server and retries the queries that wait for it.
func (e *Engine) handleGrant(now time.Time, from model.InstanceID, g event.Grant) {
	e.Warm.HandleGrant(now, from, g)
	if b := e.Servers.Get(g.Server); b != nil {
		e.Queries.ServerChanged(b)
	}
}

// handlePing answers a ping and compares the sender's state with that of this instance.
func (e *Engine) handlePing(now time.Time, from model.InstanceID, p *event.Ping) {
	e.Send(from, event.Message{Pong: &event.Pong{
		SentAt: p.SentAt, ViewDigest: e.Members.Digest(), ConfigVersion: e.config.active.Version,
		StoreEra: e.knownStoreEra(now),
	}})
	e.receiveStoreEra(now, p.StoreEra)
	e.comparePeerState(now, from, p.ViewDigest, p.ConfigVersion)
}

// comparePeerState finds out what this instance or a peer lacks: it requests the peer's
// view if the digests differ, and sends the root if the peer's configuration is older.
func (e *Engine) comparePeerState(now time.Time, from model.InstanceID, viewDigest, configVersion uint64) {
	if m := e.Members.Get(from); m != nil {
		m.Version = configVersion
	}
	e.compareView(now, from, viewDigest)
	if configVersion < e.config.active.Version {
		e.Send(from, event.Message{Root: &event.RootUpdate{Root: e.config.root}})
	}
}

// sendParts sends a peer the requested documents that this instance has.
func (e *Engine) sendParts(to model.InstanceID, g *event.GetParts) {
	for _, d := range g.Digests {
		if data, ok := e.config.parts[d]; ok {
			e.Send(to, event.Message{Part: &event.PartReceived{Digest: d, Data: data}})
		}
	}
}

// applyServerUpdates applies a peer's updates about servers and forwards those that
// changed something.
func (e *Engine) applyServerUpdates(from model.InstanceID, updates []event.ServerUpdate) {
	var applied []event.ServerUpdate
	for _, update := range updates {
		b := e.Servers.Get(update.Server)
		if b == nil {
			e.deferServerUpdate(update)
			continue
		}
		previous := b.State
		if update.Boot != b.Boot && b.State != limit.Unknown {
			// The peer reports another boot: read the status from the server.
			e.Emit(event.PollStatus{Server: b.ID, Address: b.Address})
		}
		if !b.ApplyUpdate(update) {
			continue
		}
		if b.State == limit.Warm {
			b.Limit = e.Queries.Share(b)
		}
		applied = append(applied, update)
		e.reportServerState(b, previous, "reported by "+string(from))
	}
	if len(applied) > 0 {
		e.broadcastExcept(from, event.Message{Servers: &event.Servers{Updates: applied}})
	}
}

// deferServerUpdate stores an update about a server that is not in the active
// configuration, since a newer configuration with that server may be on its way.
func (e *Engine) deferServerUpdate(update event.ServerUpdate) {
	if len(e.deferredUpdates) < maxDeferredUpdates {
		e.deferredUpdates = append(e.deferredUpdates, update)
	}
}

// publishMemberUpdates logs and forwards changes of membership and recomputes what
// depends on the set of live instances.
func (e *Engine) publishMemberUpdates(now time.Time, from model.InstanceID, updates []event.MemberUpdate) {
	if len(updates) == 0 {
		return
	}
	for _, update := range updates {
		e.Emit(event.StateChanged{Kind: "member", Name: string(update.Instance.ID), To: update.State.String()})
		if e.Relay != nil && update.State == event.MemberLeft {
			e.Relay.ForgetInstance(update.Instance.ID)
		}
	}
	e.broadcastExcept(from, event.Message{Members: &event.Members{Updates: updates}})
	e.refreshLiveInstances(now)
}

// refreshLiveInstances recomputes what depends on the set of live instances, if that
// set has changed.
func (e *Engine) refreshLiveInstances(now time.Time) {
	liveInstances := e.Members.Live()
	settling := now.Sub(e.directory.startedAt) <= membershipSettleTime
	atLeast := 0
	if settling {
		atLeast = e.expectedInstances
	}
	shares := max(e.Members.Shares(now), e.unseenShares(now))
	settled := e.linkedOnce || !settling || e.expectedInstances <= 1
	if slices.Equal(liveInstances, e.liveInstances) && atLeast == e.assumedInstances && shares == e.shares && settled == e.settled {
		return
	}
	e.liveInstances, e.assumedInstances, e.shares, e.settled = liveInstances, atLeast, shares, settled
	e.Warm.SetMembers(now, liveInstances)
	e.Queries.SetLiveInstances(len(liveInstances))
	if e.Relay != nil {
		e.Relay.SetMembership(relay.Membership{Live: liveInstances, AtLeast: atLeast, Shares: shares, Settled: settled})
		e.updateUsage(now)
	}
}

// SetExpectedInstances sets the number of instances that the settings let this one expect. The next
// periodic work applies it.
func (e *Engine) SetExpectedInstances(n int) { e.expectedInstances = n }

// reportShares logs a change of the number of instances among which budgets are divided.
func (e *Engine) reportShares() {
	if e.shares == e.reportedShares {
		return
	}
	e.Emit(event.StateChanged{
		Kind: "shares", Name: string(e.Self.ID), From: fmt.Sprint(e.reportedShares), To: fmt.Sprint(e.shares),
		Cause: fmt.Sprintf("%d live instances, %d expected by the settings", len(e.liveInstances), e.expectedInstances),
	})
	e.reportedShares = e.shares
}

const (
	// unseenTime is the time after its start for which an instance that has seen no other
	// assumes unseenInstances of them: it can't know their number, and they may see each other as
	// little as it does. Later it assumes as many as the settings let it expect.
	unseenTime      = time.Minute
	unseenInstances = 100
)

// unseenShares returns the number of instances that an instance must assume because it doesn't know
// the others yet, or has found none.
func (e *Engine) unseenShares(now time.Time) int {
	age := now.Sub(e.directory.startedAt)
	switch {
	case e.expectedInstances <= 1 || (e.linkedOnce && age > membershipSettleTime):
		return 0
	case !e.linkedOnce && age <= unseenTime:
		return max(unseenInstances, e.expectedInstances)
	default:
		return e.expectedInstances
	}
}

// Leave announces to the peers that this instance has left. It is called when all
// requests are finished.
func (e *Engine) Leave(now time.Time) []event.Command {
	e.publishMemberUpdates(now, "", e.Members.Leave(now))
	commands := e.commands
	e.commands = nil
	return commands
}
