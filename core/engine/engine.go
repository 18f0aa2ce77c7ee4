// Package engine runs the systems of core in a fixed order: it receives a batch of
// events and the current time, runs every system over the tables, and returns
// commands. It does no I/O, starts no goroutine and reads no clock; the same
// events, times and seed give the same commands.
//
// The other packages of core implement the systems; io/node executes the commands.
package engine

import (
	"fmt"
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
	"hyssoppitch/core/report"
	"hyssoppitch/core/rollo"
	"hyssoppitch/core/roster"
	"hyssoppitch/core/usage"
	"hyssoppitch/core/warm"
)

const (
	// suspensionGap is the time between two ticks from which the engine infers that the
	// process was suspended. The engine always asks to be called sooner than that.
	suspensionGap = 1500 * time.Millisecond
	// maintenanceInterval is the time between two runs of the periodic work.
	maintenanceInterval = 500 * time.Millisecond
	// isolationTimeout is the time without contact to the store or any peer after which
	// the instance refuses requests, since it may have missed that a data centre was
	// taken out of service.
	isolationTimeout = 3 * time.Second
	// maxDeferredUpdates limits Engine.deferredUpdates.
	maxDeferredUpdates = 16384
)

// Engine holds all tables of an instance. It must be used from one goroutine.
type Engine struct {
	Self     model.Instance
	Servers  *limit.Table
	Warm     *warm.Coordinator
	Suspects *poison.Table
	Claims   *claim.Ledger
	Queries  *query.System
	Members  *member.View
	// Roster and Relay serve routed requests. Both are nil on an instance that serves
	// the services of a declared configuration instead.
	Roster *roster.Table
	Relay  *relay.System
	// Usage sums events over all instances, and Quotas admits requests of customers by the sums.
	// Both are nil if Relay is.
	Usage  *usage.Table
	Quotas *usage.Quotas
	// Reports exchanges what instances have found out about slow and failing servers. It is nil if
	// Relay is.
	Reports *report.Table
	// Rollouts holds the roll-outs of new versions of servers. It is nil if Relay is.
	Rollouts *rollo.Table

	rand      *rand.Rand
	commands  []event.Command
	config    configState
	directory directorySync
	rollouts  rolloutSync

	lastTick time.Time
	// maintenanceAt is when the periodic work is due.
	maintenanceAt time.Time
	// storeContactAt is when the last call to the store that got an answer began.
	storeContactAt time.Time
	storeDown      bool
	// storeEra is the greatest era that the store has named, and storeEraAt when that became
	// known.
	storeEra   uint64
	storeEraAt time.Time
	// platformInstances is the platform's list as last read, or as first received from a
	// peer if the store did not answer before; nil if neither has happened.
	platformInstances []event.ListedInstance
	leaving           bool
	// maintenanceCount counts the runs of the periodic work.
	maintenanceCount uint64
	// linkTargets and dialSeeds are the values of the last LinkPeers command.
	linkTargets []model.Instance
	dialSeeds   bool
	views       viewSync
	// liveInstances is the set that the systems were last given.
	liveInstances []model.InstanceID
	// configBytes is the maximum memory of a configuration; 0 means no limit.
	configBytes int64
	// expectedInstances is the number of instances that share the servers at least, as far as
	// the settings tell. assumedInstances is that number while the members are not known yet,
	// and zero later.
	expectedInstances, assumedInstances int
	// shares is the number of instances among which the budgets that all of them have in common
	// are divided. linkedOnce is set once this instance has had a link to a peer, and settled
	// once it has had one or has waited long enough.
	shares              int
	linkedOnce, settled bool
	// reportedShares is the last logged value of shares.
	reportedShares int
	// reportedNotReady is the last logged result of NotReadyReason.
	reportedNotReady string
	// deferredUpdates holds peers' updates about servers that are not in the active
	// configuration, at most maxDeferredUpdates.
	deferredUpdates []event.ServerUpdate
}

// Options are the settings of an engine.
type Options struct {
	Query query.Options
	// ConnectionsPerServer is the maximum number of connections to one backend server.
	ConnectionsPerServer int
	// Relay makes the instance serve routed requests; nil means declared services.
	Relay *relay.Options
	// ReadsDirectoryFirst makes the instance read the directory as soon as it starts, so that
	// others can get it from there. It is set on the seeds.
	ReadsDirectoryFirst bool
	// ExpectedInstances is the number of instances that routed requests are assumed to share
	// the servers with, this one included, until the members are known.
	ExpectedInstances int
	// Rollouts bounds what a bad version of servers may do.
	Rollouts rollo.Settings
	// Seed makes random choices reproducible.
	Seed uint64
	// ConfigBytes is the maximum memory of a configuration when it is decoded; 0 means no limit.
	ConfigBytes int64
}

// New returns an engine without configuration and peers.
func New(now time.Time, self model.Instance, o Options) *Engine {
	e := &Engine{
		Self: self, Servers: &limit.Table{ConnectionsPerServer: o.ConnectionsPerServer}, Suspects: &poison.Table{},
		Members: member.New(now, self), lastTick: now, storeContactAt: now,
		rand:      rand.New(rand.NewPCG(o.Seed+2, uint64(self.Incarnation))),
		directory: directorySync{readsFirst: o.ReadsDirectoryFirst, startedAt: now},
	}
	e.expectedInstances, e.configBytes = o.ExpectedInstances, o.ConfigBytes
	e.scheduleList(now, startListDelay)
	e.Warm = &warm.Coordinator{Self: self.ID, Servers: e.Servers, Peers: e, LeaseExpiry: e.quorumLeaseEnd}
	e.Claims = claim.NewLedger(self, e)
	e.Queries = &query.System{
		Self: self, Options: o.Query, Servers: e.Servers, Warm: e.Warm, Suspects: e.Suspects,
		Claims: e.Claims, Out: e, Broadcaster: e, Rand: rand.New(rand.NewPCG(o.Seed, uint64(self.Incarnation))),
	}
	e.Queries.Init()
	if o.Relay != nil {
		e.Roster = roster.New()
		e.Usage = usage.New(now, self, e, rand.New(rand.NewPCG(o.Seed+3, uint64(self.Incarnation))))
		e.Quotas = &usage.Quotas{Table: e.Usage}
		e.Reports = report.New(self, e, rand.New(rand.NewPCG(o.Seed+4, uint64(self.Incarnation))))
		e.Relay = &relay.System{
			Self: self, Options: *o.Relay, Servers: e.Roster, Out: e,
			Rand:     rand.New(rand.NewPCG(o.Seed+1, uint64(self.Incarnation))),
			Suspects: e.Suspects, Broadcaster: e, StartedAt: now,
			Usage: e.Usage, Quotas: e.Quotas, Reports: e.Reports, Network: e.Members,
		}
		e.Rollouts = rollo.New(o.Rollouts)
		counts := rollo.NewExchange()
		e.rollouts = rolloutSync{counts: counts, groups: map[string]*rolloutWork{}, unknownGroups: map[string]bool{}}
		e.Relay.Rollouts, e.Relay.Answers = e.Rollouts, counts
		e.Relay.Init()
		e.applyUsageOptions()
	}
	e.config.active = &model.Config{}
	e.config.parts = map[conf.Digest][]byte{}
	e.refreshLiveInstances(now)
	return e
}

// Emit adds a command to the result of the current tick. The systems emit their
// commands through it.
func (e *Engine) Emit(c event.Command) { e.commands = append(e.commands, c) }

// Send sends a message to a peer, if it is linked.
func (e *Engine) Send(to model.InstanceID, m event.Message) {
	if p := e.Members.Get(to); p != nil && p.Linked {
		e.Emit(event.SendPeer{To: to, Message: m})
	}
}

// Broadcast sends a message to every linked peer.
func (e *Engine) Broadcast(m event.Message) { e.broadcastExcept("", m) }

// broadcastExcept sends a message to every linked peer except one.
func (e *Engine) broadcastExcept(except model.InstanceID, m event.Message) {
	for _, id := range e.Members.Linked() {
		if id != except {
			e.Emit(event.SendPeer{To: id, Message: m})
		}
	}
}

// Tick handles events in order, runs the systems, and returns the commands and the
// time at which it must be called again if no event arrives before.
func (e *Engine) Tick(now time.Time, events []event.Event) (commands []event.Command, due time.Time) {
	if now.Sub(e.lastTick) > suspensionGap {
		e.handleResume(now)
	}
	e.lastTick = now
	for _, v := range events {
		e.handleEvent(now, v)
	}
	if !now.Before(e.maintenanceAt) {
		e.runMaintenance(now)
		e.maintenanceAt = now.Add(maintenanceInterval)
	}
	claimsDue := e.Claims.Tick(now)
	e.Queries.Run(now)
	e.shareClaims()
	due = earliest(e.maintenanceAt, claimsDue, e.Queries.NextDue(), e.checkDirectoryAtStart(now))
	if e.Relay != nil {
		e.Relay.RunTimers(now)
		due = earliest(due, e.runRollouts(now), e.Relay.NextDue(), e.Usage.Tick(now), e.Reports.Tick(now))
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

// handleResume handles the end of a suspension of the process. The recorded state may
// be outdated: the instance gives up the ownership of cold servers and verifies every
// server before it sends more work there. It does not change the recorded state of the
// store and the peers: their silence during the suspension is no sign of a failure.
func (e *Engine) handleResume(now time.Time) {
	e.Emit(event.StateChanged{Kind: "instance", Name: string(e.Self.ID), From: "paused", To: "running", Cause: "no tick for " + now.Sub(e.lastTick).String()})
	e.Warm.ResetOwnership(now)
	for _, b := range e.Servers.Rows {
		e.verifyServer(now, b)
	}
}

// handleEvent dispatches one event to the system that handles it.
func (e *Engine) handleEvent(now time.Time, v event.Event) {
	switch v := v.(type) {
	case event.QueryArrived:
		e.admitQuery(now, v)
	case event.CallerDisconnected:
		e.Queries.Abandon(now, v.Query)
	case event.AttemptEnded:
		e.Queries.HandleAttemptEnded(now, v)
	case event.ConnectionLost:
		if b := e.Servers.ByAddress(v.Address); b != nil {
			e.verifyServer(now, b)
		}
	case event.StatusPolled:
		e.handleStatus(now, v)
	case event.PlatformListed:
		e.handlePlatformList(v)
	case event.StoreDone:
		e.setStoreReachable(v.Result != event.StoreUnknown && e.recordStoreEra(now, v.Era))
		e.Claims.StoreDone(now, v)
	case event.StoreReachability:
		reachable := v.Reachable && e.recordStoreEra(now, v.Era)
		if reachable && v.CalledAt.After(e.storeContactAt) {
			e.storeContactAt = v.CalledAt
		}
		e.setStoreReachable(reachable)
	case event.PeerLinked:
		e.handlePeerLinked(now, v.Peer)
	case event.PeerLost:
		e.Members.Unlink(now, v.Peer)
		e.recordUnlink(v.Peer)
		e.Emit(event.StateChanged{Kind: "peer", Name: string(v.Peer), From: "linked", To: "unlinked", Cause: v.Cause})
	case event.MessageReceived:
		e.handleMessage(now, v.From, v.Message)
	case event.RootReceived:
		if v.Stored {
			e.recordStoredRoot(now, v)
		}
		e.receiveRoot(v.Root, v.From)
	case event.PartReceived:
		e.receivePart(v)
	case event.ShutdownBegun:
		e.beginShutdown(v.AnswerBy)
	case event.RoutedArrived:
		e.Relay.HandleRequest(now, v.Request)
	case event.RoutedCallerDisconnected:
		e.Relay.Abandon(now, v.Query)
	case event.ServerChecked:
		e.Relay.HandleServerChecked(now, v)
	case event.ExchangeEnded:
		e.Relay.HandleExchangeEnded(now, v)
	case event.DirectoryRead:
		e.handleDirectoryRead(now, v)
	case event.RolloutWritten:
		e.handleRolloutWritten(now, v)
	case event.DirectoryUnreachable:
		e.handleDirectoryUnreachable(now, v)
	}
}

// beginShutdown makes readiness fail and limits the time for which requests are served.
func (e *Engine) beginShutdown(answerBy time.Time) {
	e.leaving = true
	if answerBy.IsZero() {
		return
	}
	e.Queries.StopBy(answerBy)
	if e.Relay != nil {
		e.Relay.StopBy(answerBy)
	}
}

// admitQuery admits a request unless rejectReason gives a reason against it. An
// instance that is leaving still serves what the load balancer sends to it.
func (e *Engine) admitQuery(now time.Time, v event.QueryArrived) {
	if reason := e.rejectReason(now); reason != "" {
		e.Emit(event.Refuse{
			Query: v.Query, Class: v.Request.Class, Code: event.RefuseNotReady, Outcome: event.OutcomeNotRun,
			Detail: reason, RetryAfter: time.Second,
		})
		return
	}
	e.Queries.HandleQuery(now, v.Query, v.Request)
}

// NotReadyReason returns why the load balancer should send no new requests to this
// instance, or "".
func (e *Engine) NotReadyReason(now time.Time) string {
	if e.leaving {
		return "this instance is leaving"
	}
	return e.rejectReason(now)
}

// rejectReason returns why this instance must refuse requests, or "".
func (e *Engine) rejectReason(now time.Time) string {
	if e.Relay != nil {
		return e.routedRejectReason()
	}
	switch {
	case e.config.active.Version == 0:
		return "no configuration yet: neither the store nor a peer has sent one"
	case e.Isolated(now):
		return "no contact with the store or any peer: a change of the configuration could be missed"
	case !e.anyServerKnown():
		return "the state of no backend server is known yet"
	}
	return ""
}

// anyServerKnown reports whether the state of any server of the configuration is known.
func (e *Engine) anyServerKnown() bool {
	for _, b := range e.Servers.Rows {
		if b.State != limit.Unknown {
			return true
		}
	}
	return len(e.Servers.Rows) == 0
}

// Isolated reports whether the last contact with the store or any peer is longer ago
// than isolationTimeout.
func (e *Engine) Isolated(now time.Time) bool {
	return now.Sub(e.lastContact()) > isolationTimeout
}

// lastContact returns the latest time at which the store or a peer is known to have
// been reachable: when the request was sent that it answered. The arrival time of the
// answer is no proof, since the answer may have been queued while this process was
// suspended.
func (e *Engine) lastContact() time.Time {
	last := e.storeContactAt
	for _, m := range e.Members.Rows() {
		if m.AnsweredPingSentAt.After(last) {
			last = m.AnsweredPingSentAt
		}
	}
	return last
}

// quorumLeaseEnd returns when the lease ends that contact with a quorum of the
// instances gives. Without the platform's list the other instances are unknown, and
// there is no lease.
func (e *Engine) quorumLeaseEnd() time.Time {
	if e.platformInstances == nil {
		return time.Time{}
	}
	return e.Members.QuorumContact(e.lastTick).Add(warm.QuorumLease)
}

// setStoreReachable records whether the store answers, and reports changes.
func (e *Engine) setStoreReachable(reachable bool) {
	if reachable == e.storeDown {
		from, to := "reachable", "unreachable"
		if reachable {
			from, to = to, from
		}
		e.Emit(event.StateChanged{Kind: "store", Name: "store", From: from, To: to})
	}
	e.storeDown = !reachable
}

// recordStoreEra records the era of a reply of the store, and reports when the store was restored
// from an older copy. It returns false for a reply of an earlier era, or of none although the
// store has named one: it is late, or from a copy that was replaced.
func (e *Engine) recordStoreEra(now time.Time, era uint64) (current bool) {
	if era < e.storeEra {
		if !e.storeDown {
			e.Emit(event.StateChanged{
				Kind: "store", Name: "store", To: "ignored",
				Cause: fmt.Sprintf("the reply is of era %d, an earlier one was of era %d", era, e.storeEra),
			})
		}
		return false
	}
	if era == e.storeEra {
		return true
	}
	if e.storeEra > 0 {
		e.Emit(event.StateChanged{
			Kind: "store", Name: "store", From: fmt.Sprintf("era %d", e.storeEra), To: fmt.Sprintf("era %d", era),
			Cause: "restored from an older copy",
		})
	}
	e.storeEra, e.storeEraAt = era, now
	e.Claims.SetEra(now, era)
	return true
}

// knownStoreEra returns the era of the store for a message to a peer.
func (e *Engine) knownStoreEra(now time.Time) (out event.StoreEra) {
	if e.storeEra > 0 {
		out = event.StoreEra{Era: e.storeEra, EraAgeMicros: max(0, now.Sub(e.storeEraAt).Microseconds())}
	}
	return out
}

// receiveStoreEra records the era of the store that a peer knows.
func (e *Engine) receiveStoreEra(now time.Time, v event.StoreEra) {
	if v.Era > e.storeEra {
		e.recordStoreEra(now, v.Era)
	}
	if v.Era == e.storeEra && v.Era > 0 {
		e.Claims.ConfirmEra(now, time.Duration(v.EraAgeMicros)*time.Microsecond)
	}
}

// shareClaims tells the peers of the claims that this instance has made or resolved.
func (e *Engine) shareClaims() {
	data, err := e.Claims.TakeUnshared()
	if err != nil {
		e.Emit(event.StateChanged{Kind: "claims", Name: string(e.Self.ID), To: "not-shared", Cause: err.Error()})
		return
	}
	if data != nil {
		e.Broadcast(event.Message{Claims: &event.Claims{Entries: data}})
	}
}

// Config returns the active configuration.
func (e *Engine) Config() model.Config { return *e.config.active }

// StoreDown reports whether the last call to the store got no answer.
func (e *Engine) StoreDown() bool { return e.storeDown }

// Leaving reports whether this instance is leaving.
func (e *Engine) Leaving() bool { return e.leaving }

// InFlight returns the number of requests and claim records that shutdown waits for.
func (e *Engine) InFlight() int {
	open := e.Queries.InFlight() + e.Claims.PendingCount()
	if e.Relay != nil {
		open += e.Relay.InFlight()
	}
	return open
}
