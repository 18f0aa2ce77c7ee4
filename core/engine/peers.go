package engine

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
)

// peerLinked greets a new peer with all that it may lack.
func (e *Engine) peerLinked(now time.Time, p model.Instance) {
	e.spreadMembers(now, "", e.Members.Link(now, p))
	e.viewLinked(now, p.ID)
	if e.config.inForce.Version != 0 {
		e.Send(p.ID, event.Message{Root: &event.RootUpdate{Root: e.config.root}})
	}
	if news := e.serverNews(); len(news) > 0 {
		e.Send(p.ID, event.Message{Servers: &event.Servers{Updates: news}})
	}
	for _, news := range e.Suspects.Condemned(now) {
		e.Send(p.ID, event.Message{Suspects: &news})
	}
	e.Emit(event.StateChanged{Kind: "peer", Name: string(p.ID), To: "linked"})
	e.viewChanged(now)
	e.askDirectory(now, p.ID)
}

// sendView sends the whole view and the platform's list to a peer.
func (e *Engine) sendView(to model.InstanceID) {
	e.Send(to, event.Message{Members: &event.Members{Updates: e.Members.AllUpdates(), Full: true, Listed: e.listed}})
}

// serverNews returns what this instance knows of the servers that it has heard.
func (e *Engine) serverNews() (news []event.ServerUpdate) {
	for _, b := range e.Servers.Rows {
		if b.Boot != "" && b.State != limit.Down && b.State != limit.Unknown {
			news = append(news, b.PeerUpdate())
		}
	}
	return news
}

// peerReceived handles a message from a peer.
func (e *Engine) peerReceived(now time.Time, from model.InstanceID, m event.Message) {
	e.Members.RecordReceived(now, from)
	switch {
	case m.Ping != nil:
		e.pinged(now, from, m.Ping)
	case m.Pong != nil:
		e.Members.RecordPong(from, time.Unix(0, m.Pong.SentAt))
		e.compare(now, from, m.Pong.ViewDigest, m.Pong.ConfigVersion)
	case m.Members != nil:
		if e.listed == nil && m.Members.Listed != nil {
			e.listed = m.Members.Listed
			e.Members.SetListed(e.listed)
		}
		e.spreadMembers(now, from, e.Members.Apply(now, m.Members.Updates))
	case m.GetMembers != nil:
		e.sendView(from)
	case m.Root != nil:
		e.rootSeen(m.Root.Root, from)
	case m.GetRoot != nil:
		if e.config.inForce.Version != 0 {
			e.Send(from, event.Message{Root: &event.RootUpdate{Root: e.config.root}})
		}
	case m.GetParts != nil:
		e.giveParts(from, m.GetParts)
	case m.Part != nil:
		e.partSeen(*m.Part)
	case m.Servers != nil:
		e.serversTold(from, m.Servers.Updates)
	case m.GrantRequest != nil:
		e.Warm.HandleGrantRequest(now, from, *m.GrantRequest)
	case m.Grant != nil:
		e.granted(now, from, *m.Grant)
	case m.GrantReturn != nil:
		if b, warmed := e.Warm.HandleGrantReturn(now, from, *m.GrantReturn); b != nil {
			if warmed {
				e.Queries.PromoteToWarm(b)
			}
			e.Queries.ServerChanged(b)
		}
	case m.GetDirectory != nil:
		e.giveDirectory(now, from, m.GetDirectory.Revision)
	case m.Directory != nil:
		e.directoryTold(now, from, m.Directory)
	case m.Suspects != nil:
		if e.Suspects.Apply(now, *m.Suspects) {
			e.Emit(event.StateChanged{
				Kind: "fingerprint", Name: m.Suspects.Fingerprint.String(), To: m.Suspects.State.String(), Cause: "told by " + string(from),
			})
			e.broadcastBut(from, m)
		}
	}
}

func (e *Engine) granted(now time.Time, from model.InstanceID, g event.Grant) {
	e.Warm.HandleGrant(now, from, g)
	if b := e.Servers.Get(g.Server); b != nil {
		e.Queries.ServerChanged(b)
	}
}

func (e *Engine) pinged(now time.Time, from model.InstanceID, p *event.Ping) {
	e.Send(from, event.Message{Pong: &event.Pong{
		SentAt: p.SentAt, ViewDigest: e.Members.Digest(), ConfigVersion: e.config.inForce.Version,
	}})
	e.compare(now, from, p.ViewDigest, p.ConfigVersion)
}

// compare finds out what this instance or a peer lacks: it asks for the peer's view if that
// differs, and sends the root if the peer's is older.
func (e *Engine) compare(now time.Time, from model.InstanceID, view, version uint64) {
	if m := e.Members.Get(from); m != nil {
		m.Version = version
	}
	e.viewCompared(now, from, view)
	if version < e.config.inForce.Version {
		e.Send(from, event.Message{Root: &event.RootUpdate{Root: e.config.root}})
	}
}

func (e *Engine) giveParts(to model.InstanceID, g *event.GetParts) {
	for _, d := range g.Digests {
		if data, ok := e.config.parts[d]; ok {
			e.Send(to, event.Message{Part: &event.PartReceived{Digest: d, Data: data}})
		}
	}
}

// serversTold takes in peers' word on servers and passes on what was new.
func (e *Engine) serversTold(from model.InstanceID, news []event.ServerUpdate) {
	var fresh []event.ServerUpdate
	for _, n := range news {
		b := e.Servers.Get(n.Server)
		if b == nil {
			e.keepUnplaced(n)
			continue
		}
		before := b.State
		if n.Boot != b.Boot && b.State != limit.Unknown {
			// The peer knows another boot: ask the server itself.
			e.Emit(event.PollStatus{Server: b.ID, Address: b.Address})
		}
		if !b.ApplyUpdate(n) {
			continue
		}
		if b.State == limit.Warm {
			b.Limit = e.Queries.Share(b)
		}
		fresh = append(fresh, n)
		e.noteServer(b, before, "word of "+string(from))
	}
	if len(fresh) > 0 {
		e.broadcastBut(from, event.Message{Servers: &event.Servers{Updates: fresh}})
	}
}

// keepUnplaced keeps word of a server that the configuration in force doesn't name:
// the configuration that names it may be on its way.
func (e *Engine) keepUnplaced(n event.ServerUpdate) {
	if len(e.unplaced) < maxUnplaced {
		e.unplaced = append(e.unplaced, n)
	}
}

// spreadMembers passes on news of membership and recomputes what depends on it.
func (e *Engine) spreadMembers(now time.Time, from model.InstanceID, fresh []event.MemberUpdate) {
	if len(fresh) == 0 {
		return
	}
	for _, n := range fresh {
		e.Emit(event.StateChanged{Kind: "member", Name: string(n.Instance.ID), To: n.State.String()})
	}
	e.broadcastBut(from, event.Message{Members: &event.Members{Updates: fresh}})
	e.viewChanged(now)
}

// viewChanged recomputes what depends on the set of live instances.
func (e *Engine) viewChanged(now time.Time) {
	live := e.Members.Live()
	if slices.Equal(live, e.live) {
		return
	}
	e.live = live
	e.Warm.SetMembers(now, live)
	e.Queries.SetInstances(len(live))
	if e.Relay != nil {
		e.Relay.SetLiveInstances(live)
	}
}

// Leave announces that this instance is gone: its requests are finished.
func (e *Engine) Leave(now time.Time) []event.Command {
	e.spreadMembers(now, "", e.Members.Leave(now))
	commands := e.commands
	e.commands = nil
	return commands
}
