// Package engine owns the order in which the systems of core run: it takes a
// batch of events and the time, runs every system over the tables, and returns
// commands. It does no I/O, starts no goroutine and reads no clock; the same
// events, times and seed give the same commands.
//
// What the systems decide is left to the packages beside this one; carrying out
// the commands is left to io/node.
package engine

import (
	"math/rand/v2"
	"time"

	"hyssoppitch/core/claim"
	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/member"
	"hyssoppitch/core/model"
	"hyssoppitch/core/poison"
	"hyssoppitch/core/query"
	"hyssoppitch/core/relay"
	"hyssoppitch/core/roster"
	"hyssoppitch/core/warm"
)

const (
	// pauseGap is the time between two ticks that shows that the process stood
	// still: the engine asks to be called more often than this.
	pauseGap = 1500 * time.Millisecond
	// upkeepInterval is the time between two runs of what is done by the clock.
	upkeepInterval = 500 * time.Millisecond
	// isolatedAfter is the time without store and without peers after which this
	// instance can't know of a data centre that was taken out, and stops.
	isolatedAfter = 3 * time.Second
	// maxUnplaced bounds the word that is kept of servers not yet configured.
	maxUnplaced = 16384
)

// Engine holds all tables of an instance. It is used from one goroutine.
type Engine struct {
	Self     model.Instance
	Servers  *limit.Table
	Warm     *warm.Coordinator
	Suspects *poison.Table
	Claims   *claim.Ledger
	Queries  *query.System
	Members  *member.View
	// Roster and Relay serve routed requests. Relay is nil on an instance that serves
	// the services of a declared configuration instead.
	Roster *roster.Table
	Relay  *relay.System

	commands  []event.Command
	config    holder
	directory follower

	lastTick  time.Time
	upkeepAt  time.Time
	storeAt   time.Time
	storeDown bool
	// listed is the platform's list as last read, or as a peer told it at the start
	// while the store was silent; nil before.
	listed     []event.ListedInstance
	leaving    bool
	pingNumber uint64
	linked     []model.Instance
	seeds      bool
	views      viewSync
	live       []model.InstanceID
	notReady   string
	// unplaced holds peers' word of servers that the configuration in force doesn't
	// name, at most maxUnplaced.
	unplaced []event.ServerUpdate
}

// Options are the settings of an engine.
type Options struct {
	Query query.Options
	// PerServer is the most connections to one backend server.
	ConnectionsPerServer int
	// Relay makes the instance serve routed requests; nil for declared services.
	Relay *relay.Options
	// Seed makes random choices repeatable.
	Seed uint64
}

// New returns an engine that has heard nothing yet.
func New(now time.Time, self model.Instance, o Options) *Engine {
	e := &Engine{
		Self: self, Servers: &limit.Table{PerServer: o.ConnectionsPerServer}, Suspects: &poison.Table{},
		Members: member.New(now, self), lastTick: now, storeAt: now,
	}
	e.Warm = &warm.Coordinator{Self: self.ID, Servers: e.Servers, Peers: e, LeaseExpiry: e.leaseEnds}
	e.Claims = claim.NewLedger(self, e)
	e.Queries = &query.System{
		Self: self, Options: o.Query, Servers: e.Servers, Warm: e.Warm, Suspects: e.Suspects,
		Claims: e.Claims, Out: e, Peers: e, Rand: rand.New(rand.NewPCG(o.Seed, uint64(self.Incarnation))),
	}
	e.Queries.Init()
	if o.Relay != nil {
		e.Roster = roster.New()
		e.Relay = &relay.System{
			Self: self, Options: *o.Relay, Servers: e.Roster, Out: e,
			Rand:     rand.New(rand.NewPCG(o.Seed+1, uint64(self.Incarnation))),
			Suspects: e.Suspects, Broadcaster: e,
		}
		e.Relay.Init()
	}
	e.config.inForce = &model.Config{}
	e.config.parts = map[conf.Digest][]byte{}
	e.viewChanged(now)
	return e
}

// Emit adds a command; it implements the outboxes of the systems.
func (e *Engine) Emit(c event.Command) { e.commands = append(e.commands, c) }

// Send sends a message to a linked peer.
func (e *Engine) Send(to model.InstanceID, m event.Message) {
	if p := e.Members.Get(to); p != nil && p.Linked {
		e.Emit(event.SendPeer{To: to, Message: m})
	}
}

// Broadcast sends a message to every linked peer.
func (e *Engine) Broadcast(m event.Message) { e.broadcastBut("", m) }

// broadcastBut sends a message to every linked peer but one.
func (e *Engine) broadcastBut(but model.InstanceID, m event.Message) {
	for _, id := range e.Members.Linked() {
		if id != but {
			e.Emit(event.SendPeer{To: id, Message: m})
		}
	}
}

// Tick takes in events in order, runs the systems, and returns the commands and
// the time at which to be called again if nothing happens before.
func (e *Engine) Tick(now time.Time, events []event.Event) (commands []event.Command, due time.Time) {
	if now.Sub(e.lastTick) > pauseGap {
		e.resumed(now)
	}
	e.lastTick = now
	for _, v := range events {
		e.take(now, v)
	}
	if !now.Before(e.upkeepAt) {
		e.upkeep(now)
		e.upkeepAt = now.Add(upkeepInterval)
	}
	claimsDue := e.Claims.Tick(now)
	e.Queries.Run(now)
	due = earliest(e.upkeepAt, claimsDue, e.Queries.NextDue())
	if e.Relay != nil {
		e.Relay.RunTimers(now)
		due = earliest(due, e.Relay.NextDue())
	}
	commands = e.commands
	e.commands = nil
	return commands, due
}

// earliest returns the earliest of the times that are set.
func earliest(times ...time.Time) (first time.Time) {
	for _, t := range times {
		if !t.IsZero() && (first.IsZero() || t.Before(first)) {
			first = t
		}
	}
	return first
}

// resumed is called after the process stood still. What it believed may be
// outdated: it gives up duties, and does not take its own silence for that of
// the store or its peers.
func (e *Engine) resumed(now time.Time) {
	e.Emit(event.StateChanged{Kind: "instance", Name: string(e.Self.ID), From: "paused", To: "running", Cause: "no tick for " + now.Sub(e.lastTick).String()})
	e.Warm.ResetOwnership(now)
	for _, b := range e.Servers.Rows {
		e.verify(now, b)
	}
}

// take hands one event to the system that it concerns.
func (e *Engine) take(now time.Time, v event.Event) {
	switch v := v.(type) {
	case event.QueryArrived:
		e.arrive(now, v)
	case event.CallerDisconnected:
		e.Queries.Abandon(now, v.Query)
	case event.AttemptEnded:
		e.Queries.HandleAttemptEnded(now, v)
	case event.ConnectionLost:
		if b := e.Servers.ByAddress(v.Address); b != nil {
			e.verify(now, b)
		}
	case event.StatusPolled:
		e.statusSeen(now, v)
	case event.PlatformListed:
		e.platformListed(v)
	case event.StoreDone:
		e.storeSeen(v.Result != event.StoreUnknown)
		e.Claims.StoreDone(now, v)
	case event.StoreReachability:
		if v.Reachable && v.CalledAt.After(e.storeAt) {
			e.storeAt = v.CalledAt
		}
		e.storeSeen(v.Reachable)
	case event.PeerLinked:
		e.peerLinked(now, v.Peer)
	case event.PeerLost:
		e.Members.Unlink(now, v.Peer)
		e.viewUnlinked(v.Peer)
	case event.MessageReceived:
		e.peerReceived(now, v.From, v.Message)
	case event.RootReceived:
		e.rootSeen(v.Root, v.From)
	case event.PartReceived:
		e.partSeen(v)
	case event.ShutdownBegun:
		e.leaving = true
	case event.RoutedArrived:
		e.Relay.HandleRequest(now, v.Request)
	case event.RoutedCallerDisconnected:
		e.Relay.Abandon(now, v.Query)
	case event.ServerChecked:
		e.Relay.HandleServerChecked(now, v)
	case event.ExchangeEnded:
		e.Relay.HandleExchangeEnded(now, v)
	case event.DirectoryRead:
		e.directorySeen(now, v)
	case event.DirectoryUnreachable:
		e.directoryLost(now, v)
	}
}

// arrive admits a request unless this instance can't serve it well. A leaving
// instance still serves what the balancer sends it.
func (e *Engine) arrive(now time.Time, v event.QueryArrived) {
	if why := e.unfit(now); why != "" {
		e.Emit(event.Refuse{
			Query: v.Query, Class: v.Request.Class, Code: event.RefuseNotReady, Outcome: event.OutcomeNotRun,
			Detail: why, RetryAfter: time.Second,
		})
		return
	}
	e.Queries.HandleQuery(now, v.Query, v.Request)
}

// NotReady returns why the balancer should send no new requests here, or "".
func (e *Engine) NotReadyReason(now time.Time) string {
	if e.leaving {
		return "this instance is leaving"
	}
	return e.unfit(now)
}

// unfit returns why this instance must not take a request, or "".
func (e *Engine) unfit(now time.Time) string {
	if e.Relay != nil {
		return e.unfitToRelay()
	}
	switch {
	case e.config.inForce.Version == 0:
		return "no configuration yet: neither the store nor a peer has given one"
	case e.Isolated(now):
		return "cut off from the store and from every peer, so a change of configuration would not be seen"
	case !e.heardServers():
		return "no backend server has been heard of yet"
	}
	return ""
}

// heardServers reports whether any server of the configuration has been heard of.
func (e *Engine) heardServers() bool {
	for _, b := range e.Servers.Rows {
		if b.State != limit.Unknown {
			return true
		}
	}
	return len(e.Servers.Rows) == 0
}

// Isolated reports whether neither the store nor any peer has been heard for too
// long.
func (e *Engine) Isolated(now time.Time) bool {
	return now.Sub(e.lastContact()) > isolatedAfter
}

// lastContact returns the latest time at which the store or a peer is known to have
// been in reach: when the question was sent that it answered. The arrival of an
// answer would prove less, since it may have waited while this process stood still.
func (e *Engine) lastContact() time.Time {
	last := e.storeAt
	for _, m := range e.Members.Rows() {
		if m.AnsweredPingSentAt.After(last) {
			last = m.AnsweredPingSentAt
		}
	}
	return last
}

// leaseEnds returns when the contact with a quorum of the instances ends. Without a
// list from the platform nobody knows who else there is: there is no lease.
func (e *Engine) leaseEnds() time.Time {
	if e.listed == nil {
		return time.Time{}
	}
	return e.Members.QuorumContact(e.lastTick).Add(warm.QuorumLease)
}

func (e *Engine) storeSeen(reachable bool) {
	if reachable == e.storeDown {
		from, to := "reachable", "unreachable"
		if reachable {
			from, to = to, from
		}
		e.Emit(event.StateChanged{Kind: "store", Name: "store", From: from, To: to})
	}
	e.storeDown = !reachable
}

// Config returns the configuration in force.
func (e *Engine) Config() model.Config { return *e.config.inForce }

// StoreDown reports whether the store's last call went unanswered.
func (e *Engine) StoreDown() bool { return e.storeDown }

// Leaving reports whether this instance is leaving.
func (e *Engine) Leaving() bool { return e.leaving }

// InFlight returns the number of requests and records that shutdown waits for.
func (e *Engine) InFlight() int {
	open := e.Queries.InFlight() + e.Claims.PendingCount()
	if e.Relay != nil {
		open += e.Relay.InFlight()
	}
	return open
}
