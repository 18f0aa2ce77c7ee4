package engine_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
	"hyssoppitch/core/query"
)

// These tests simulate a deployment in virtual time: engines, fake backend servers and a
// fake store. All activity consists of functions in a queue ordered by time, so that a
// run is reproducible.

const (
	networkLatency  = time.Millisecond
	warmServiceTime = 6 * time.Millisecond
	coldServiceTime = 30 * time.Millisecond
	// runsUntilWarm is the number of runs after which a fake server is warm.
	runsUntilWarm = 24
	rebootDelay   = 400 * time.Millisecond
	// maxSimultaneousEvents is far above the number of events at one point in time. More
	// of them show that an engine keeps asking to be called again immediately.
	maxSimultaneousEvents = 100_000
)

// scheduledEvent is a function that is called at a given time. Events at the same time
// run in the order in which they were scheduled.
type scheduledEvent struct {
	at    time.Time
	order int
	do    func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(scheduledEvent)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	next := (*q)[last]
	*q = (*q)[:last]
	return next
}

// simulation is one simulated deployment.
type simulation struct {
	start   time.Time
	now     time.Time
	queue   eventQueue
	order   int
	random  *rand.Rand
	options query.Options

	config  model.Config
	store   *fakeStore
	servers map[model.ServerID]*fakeServer
	ids     []model.ServerID
	nodes   []*node
	// runsByKey counts the runs of non-idempotent requests by idempotency key.
	runsByKey map[string]int
	// startedQueries holds the names of the queries of which a server ran a part.
	startedQueries map[string]bool
	calls          []*call
	// outSince is when the change that took a data centre out of service was accepted.
	outSince map[string]time.Time
	// faultLog lists the injected faults, for the message of a failed test.
	faultLog []string
	// listedLeaving holds the servers that the platform lists as leaving.
	listedLeaving []model.ServerID
	// onCommand, if set, is called for every command.
	onCommand func(*node, event.Command)
	// partitionAt is the number of nodes at the start of nodes that a partition separates
	// from the others; zero means no partition.
	partitionAt int
	violations  []string
}

// call is one request of a fake caller.
type call struct {
	node *node
	// query is the queryName of the request.
	query   string
	request event.Request
	at      time.Time
	answer  *event.Answer
	refusal *event.Refuse
	// lost is set when the instance was killed before it replied.
	lost bool
}

func newSimulation(seed uint64, c model.Config, nodes int) *simulation {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &simulation{
		start: start, now: start, random: rand.New(rand.NewPCG(seed, 7)), config: c,
		options: query.Options{Limits: limit.PolicyAdaptive, Hedging: true},
		servers: map[model.ServerID]*fakeServer{}, runsByKey: map[string]int{}, startedQueries: map[string]bool{}, outSince: map[string]time.Time{},
	}
	w.store = &fakeStore{w: w, values: map[string]fakeValue{}}
	for i := range c.Services {
		svc := &c.Services[i]
		for _, g := range svc.Groups {
			for _, b := range g.Servers {
				w.servers[b.ID] = newFakeServer(w, svc, g, b)
				w.ids = append(w.ids, b.ID)
			}
		}
	}
	w.acceptConfig(c)
	for i := range nodes {
		w.addNode(fmt.Sprintf("n%d", i))
	}
	return w
}

// fail records a violation.
func (w *simulation) fail(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%v: ", w.now.Sub(w.start))+fmt.Sprintf(format, args...))
}

// logFault records an injected fault.
func (w *simulation) logFault(format string, args ...any) {
	w.faultLog = append(w.faultLog, fmt.Sprintf("%v: ", w.now.Sub(w.start))+fmt.Sprintf(format, args...))
}

// schedule calls a function after a duration.
func (w *simulation) schedule(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, scheduledEvent{at: w.now.Add(d), order: w.order, do: do})
}

// advance runs the simulation for a duration.
func (w *simulation) advance(d time.Duration) {
	end := w.now.Add(d)
	simultaneous := 0
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		next := heap.Pop(&w.queue).(scheduledEvent)
		simultaneous++
		if next.at.After(w.now) {
			simultaneous = 0
		}
		if simultaneous > maxSimultaneousEvents {
			w.fail("more than %d events at one point in time: an engine keeps asking to be called again immediately", maxSimultaneousEvents)
			w.queue = nil
			break
		}
		w.now = next.at
		next.do()
	}
	w.now = end
}

// acceptConfig stores a configuration as the next accepted version.
func (w *simulation) acceptConfig(c model.Config) {
	c.Version = w.config.Version + 1
	c.Change = fmt.Sprintf("change-%d-of-era-%d", c.Version, w.store.era)
	root, parts, err := conf.Split(c)
	if err != nil {
		panic(err)
	}
	root.Era = w.store.era
	for _, p := range parts {
		w.store.set(conf.PartPrefix+string(p.Digest), p.Data)
	}
	data, err := json.Marshal(root)
	if err != nil {
		panic(err)
	}
	w.store.set(conf.RootKey, data)
	w.config = c
	for _, d := range c.DataCentres {
		if d.State == model.DataCentreIn {
			delete(w.outSince, d.Name)
		} else if _, ok := w.outSince[d.Name]; !ok {
			w.outSince[d.Name] = w.now
		}
	}
}

// setDataCentreState takes a data centre out of service or puts it back.
func (w *simulation) setDataCentreState(name string, s model.DataCentreState) {
	c := w.config
	c.DataCentres = append([]model.DataCentre(nil), c.DataCentres...)
	for i := range c.DataCentres {
		if c.DataCentres[i].Name == name {
			c.DataCentres[i].State = s
		}
	}
	w.acceptConfig(c)
}

// node is one simulated instance.
type node struct {
	w      *simulation
	id     model.InstanceID
	engine *engine.Engine
	self   model.Instance
	dead   bool
	diedAt time.Time
	// recoveredAt is when the node last started, resumed, or was cut off from its peers or
	// reconnected to them.
	recoveredAt time.Time
	suspended   bool
	// cutPeers and cutStore are set while the node can't reach its peers or the store.
	cutPeers bool
	cutStore bool
	inbox    []event.Event
	// timerID identifies the timer for the next tick; older timers have no effect.
	timerID      int
	linkTargets  []model.Instance
	seeds        []model.Instance
	links        map[model.InstanceID]*link
	queries      map[event.QueryID]*call
	nextID       event.QueryID
	attempts     map[event.AttemptID]model.ServerID
	rootRevision int
	rootEra      uint64
	// configVersion is the version of the configuration that the node activated last.
	configVersion uint64
	configChange  string
}

// link connects two nodes; messages arrive in order.
type link struct {
	a, b *node
	down bool
}

// addNode starts a new instance.
func (w *simulation) addNode(id string) {
	n := &node{
		w: w, id: model.InstanceID(id), links: map[model.InstanceID]*link{},
		queries: map[event.QueryID]*call{}, attempts: map[event.AttemptID]model.ServerID{},
	}
	n.recoveredAt = w.now
	n.self = model.Instance{ID: n.id, Incarnation: model.Incarnation(w.now.UnixNano()), Address: id, DataCentre: w.config.DataCentres[0].Name}
	n.engine = engine.New(w.now, n.self, engine.Options{Query: w.options, ConnectionsPerServer: 6, Seed: w.random.Uint64()})
	// The settings of an instance contain seeds, so that it can start without the store.
	for _, o := range w.nodes {
		if !o.dead {
			n.seeds = append(n.seeds, o.self)
		}
	}
	w.nodes = append(w.nodes, n)
	w.schedule(0, func() { n.tick() })
	w.schedule(0, func() { n.pollStore() })
	w.schedule(0, func() { n.maintainLinks() })
}

func (n *node) running() bool { return !n.dead && !n.suspended }

// enqueue adds an event for the engine. A suspended node handles it when it resumes.
func (n *node) enqueue(e event.Event) {
	if n.dead {
		return
	}
	n.inbox = append(n.inbox, e)
	if !n.suspended {
		n.timerID++
		timerID := n.timerID
		n.w.schedule(0, func() { n.tickIfCurrent(timerID) })
	}
}

// tickIfCurrent ticks the engine unless a later timer has replaced this one.
func (n *node) tickIfCurrent(timerID int) {
	if n.timerID == timerID {
		n.tick()
	}
}

// tick passes the queued events to the engine and executes its commands.
func (n *node) tick() {
	if !n.running() {
		return
	}
	events := n.inbox
	n.inbox = nil
	commands, due := n.engine.Tick(n.w.now, events)
	for _, c := range commands {
		n.execute(c)
	}
	n.timerID++
	timerID := n.timerID
	n.w.schedule(max(due.Sub(n.w.now), 0), func() { n.tickIfCurrent(timerID) })
}

// suspend stops the node for a duration, as if its process were suspended.
func (n *node) suspend(d time.Duration) {
	if n.suspended || n.dead {
		return
	}
	n.suspended = true
	n.w.schedule(d, func() {
		n.suspended = false
		n.recoveredAt = n.w.now
		n.w.schedule(0, func() { n.tick() })
	})
}

// kill ends a node. Its callers get no reply, and its links close.
func (n *node) kill() {
	n.dead = true
	n.diedAt = n.w.now
	for _, c := range n.queries {
		c.lost = true
	}
	for _, l := range n.links {
		l.drop()
	}
}

// pollStore reads the configuration root, if it has changed, and the platform's list every
// 200 ms.
func (n *node) pollStore() {
	if n.dead {
		return
	}
	calledAt := n.w.now
	n.w.schedule(networkLatency, func() {
		if n.suspended {
			return
		}
		up := n.w.store.reachable(n)
		n.enqueue(event.StoreReachability{Reachable: up, CalledAt: calledAt, Era: n.w.store.era})
		if !up {
			return
		}
		v := n.w.store.values[conf.RootKey]
		if v.revision != n.rootRevision || n.rootEra != n.w.store.era {
			n.rootRevision, n.rootEra = v.revision, n.w.store.era
			var root conf.Root
			if v.revision > 0 {
				var err error
				if root, err = conf.ParseRoot(v.data); err != nil {
					panic(err)
				}
			}
			n.enqueue(event.RootReceived{Root: root, Stored: true, Revision: int64(v.revision)})
		}
		n.enqueue(event.PlatformListed{Instances: n.w.platformInstances(), Servers: n.w.platformServers()})
	})
	n.w.schedule(200*time.Millisecond, func() { n.pollStore() })
}

// platformListLag is how long the platform's list shows a node that was killed.
const platformListLag = 8 * time.Second

// platformInstances returns the instances in the platform's list.
func (w *simulation) platformInstances() (out []event.ListedInstance) {
	for _, n := range w.nodes {
		if n.dead && w.now.Sub(n.diedAt) > platformListLag {
			continue
		}
		out = append(out, event.ListedInstance{ID: n.id, Address: string(n.id), DataCentre: n.self.DataCentre, State: event.ListedLive})
	}
	return out
}

// platformServers returns the servers that the platform lists as leaving.
func (w *simulation) platformServers() (out []event.ListedServer) {
	for _, id := range w.listedLeaving {
		out = append(out, event.ListedServer{ID: id, State: event.ListedLeaving})
	}
	return out
}

// maintainLinks opens the links that the engine and the seeds require, as far as the
// network allows, every 100 ms.
func (n *node) maintainLinks() {
	if n.dead {
		return
	}
	for _, p := range append(slices.Clone(n.linkTargets), n.seeds...) {
		other := n.w.node(p.ID)
		if other != nil && n.running() && other.running() && n.links[p.ID] == nil && !n.cutPeers && !other.cutPeers && !n.w.partitioned(n, other) {
			n.link(other)
		}
	}
	n.w.schedule(100*time.Millisecond, func() { n.maintainLinks() })
}

// partitioned reports whether a partition separates two nodes.
func (w *simulation) partitioned(a, b *node) bool {
	first := func(n *node) bool { return slices.Index(w.nodes, n) < w.partitionAt }
	return w.partitionAt > 0 && first(a) != first(b)
}

// node returns the live node with an ID, or nil.
func (w *simulation) node(id model.InstanceID) *node {
	for i := len(w.nodes) - 1; i >= 0; i-- {
		if w.nodes[i].id == id && !w.nodes[i].dead {
			return w.nodes[i]
		}
	}
	return nil
}

// link opens a link to another node.
func (n *node) link(other *node) {
	l := &link{a: n, b: other}
	n.links[other.id], other.links[n.id] = l, l
	n.enqueue(event.PeerLinked{Peer: other.self})
	other.enqueue(event.PeerLinked{Peer: n.self})
}

// drop closes a link.
func (l *link) drop() {
	if l.down {
		return
	}
	l.down = true
	delete(l.a.links, l.b.id)
	delete(l.b.links, l.a.id)
	l.a.enqueue(event.PeerLost{Peer: l.b.id, Incarnation: l.b.self.Incarnation})
	l.b.enqueue(event.PeerLost{Peer: l.a.id, Incarnation: l.a.self.Incarnation})
}

// setCutPeers cuts a node off from its peers or reconnects it.
func (n *node) setCutPeers(cut bool) {
	n.cutPeers = cut
	n.recoveredAt = n.w.now
	if !cut {
		return
	}
	for _, other := range n.w.nodes {
		if l := n.links[other.id]; l != nil {
			l.drop()
		}
	}
}

// send delivers a message if the link still exists when it arrives.
func (n *node) send(c event.SendPeer) {
	l := n.links[c.To]
	if l == nil {
		return
	}
	to := l.a
	if to == n {
		to = l.b
	}
	n.w.schedule(networkLatency, func() {
		if !l.down {
			to.enqueue(event.MessageReceived{From: n.id, Message: c.Message})
		}
	})
}

// execute executes a command of the engine.
func (n *node) execute(c event.Command) {
	w := n.w
	if w.onCommand != nil {
		w.onCommand(n, c)
	}
	switch c := c.(type) {
	case event.SendAttempt:
		n.attempts[c.Attempt] = c.Server
		w.checkDataCentreIn(n, c)
		w.schedule(networkLatency, func() { w.servers[c.Server].receive(n, c) })
		w.schedule(max(0, c.Deadline.Sub(w.now)), func() { n.end(c, event.AttemptEnded{Kind: event.TimedOut}) })
	case event.CancelAttempt:
		w.schedule(0, func() {
			if server, ok := n.attempts[c.Attempt]; ok {
				delete(n.attempts, c.Attempt)
				n.enqueue(event.AttemptEnded{Attempt: c.Attempt, Server: server, Kind: event.TimedOut})
			}
		})
	case event.Answer:
		n.reply(c.Query, func(sent *call) { sent.answer = &c })
	case event.Refuse:
		n.reply(c.Query, func(sent *call) { sent.refusal = &c })
	case event.StoreGet:
		w.store.get(n, c)
	case event.StoreSwap:
		w.store.swap(n, c)
	case event.SendPeer:
		n.send(c)
	case event.LinkPeers:
		n.linkTargets = c.Peers
	case event.FetchParts:
		for _, d := range c.Digests {
			w.schedule(2*networkLatency, func() {
				if w.store.reachable(n) && n.running() {
					n.enqueue(event.PartReceived{Digest: d, Data: w.store.values[conf.PartPrefix+string(d)].data})
				}
			})
		}
	case event.PollStatus:
		askedAt := w.now
		w.schedule(networkLatency, func() {
			polled := w.servers[c.Server].status()
			polled.AskedAt = askedAt
			w.schedule(networkLatency, func() { n.enqueue(polled) })
		})
	case event.ActivateConfig:
		if c.Config.Version < n.configVersion || (c.Config.Version == n.configVersion && (c.Config.Change == n.configChange || w.store.era <= 1)) {
			// Only a store that has lost a version accepts another one under its number.
			w.fail("configuration reverted: %s went from version %d to %d", n.id, n.configVersion, c.Config.Version)
		}
		n.configVersion, n.configChange = c.Config.Version, c.Config.Change
	case event.StateChanged:
	}
}

// end reports the end of an attempt, unless it has been reported before.
func (n *node) end(c event.SendAttempt, e event.AttemptEnded) {
	if _, ok := n.attempts[c.Attempt]; !ok {
		return
	}
	delete(n.attempts, c.Attempt)
	e.Attempt, e.Server = c.Attempt, c.Server
	n.enqueue(e)
}

// queryName returns a name for the query of an attempt that is unique over all instances.
func queryName(a event.AttemptID) string {
	return fmt.Sprintf("%s/%d/%d", a.Instance, a.Incarnation, a.Query)
}

// call sends a request to a node.
func (n *node) call(r event.Request) *call {
	c := &call{node: n, request: r, at: n.w.now}
	n.w.calls = append(n.w.calls, c)
	if n.dead {
		c.lost = true
		return c
	}
	n.nextID++
	c.query = queryName(event.AttemptID{Instance: n.id, Incarnation: n.self.Incarnation, Query: n.nextID})
	n.queries[n.nextID] = c
	n.enqueue(event.QueryArrived{Query: n.nextID, Request: r})
	return c
}

// reply records the reply to a query.
func (n *node) reply(id event.QueryID, set func(*call)) {
	c := n.queries[id]
	if c == nil {
		n.w.fail("%s replied to query %d twice", n.id, id)
		return
	}
	delete(n.queries, id)
	set(c)
	n.w.checkReply(c)
}

// fakeValue is a value of the fake store.
type fakeValue struct {
	revision int
	data     []byte
}

// fakeStore simulates the store.
type fakeStore struct {
	w        *simulation
	values   map[string]fakeValue
	revision int
	down     bool
	delay    time.Duration
	// loseReplies is the number of writes whose replies will be lost; effectDelay is the
	// time until these take effect.
	loseReplies int
	effectDelay time.Duration
	// era counts the restorations from an older copy, from 1 on; zero if the store counts none.
	// copies holds the older states by time.
	era    uint64
	copies []storeCopy
}

// storeCopy is the state of the fake store before a write.
type storeCopy struct {
	at       time.Time
	revision int
	values   map[string]fakeValue
}

// restore puts the store back to its state some time ago. The copies of that time and later are
// dropped.
func (s *fakeStore) restore(age time.Duration) {
	s.era++
	at := s.w.now.Add(-age)
	i := slices.IndexFunc(s.copies, func(c storeCopy) bool { return !c.at.Before(at) })
	if i >= 0 {
		s.revision, s.values = s.copies[i].revision, s.copies[i].values
		s.copies = s.copies[:i]
	}
}

func (s *fakeStore) reachable(n *node) bool { return !s.down && !n.cutStore }

func (s *fakeStore) set(key string, data []byte) int {
	s.copies = append(s.copies, storeCopy{at: s.w.now, revision: s.revision, values: maps.Clone(s.values)})
	s.revision++
	s.values[key] = fakeValue{revision: s.revision, data: data}
	return s.revision
}

// storeTimeout is the time limit of a call to the store.
const storeTimeout = 300 * time.Millisecond

// call executes a call and reports its result, or StoreUnknown after storeTimeout.
func (s *fakeStore) call(n *node, op uint64, do func() (event.StoreDone, bool)) {
	done := false
	s.w.schedule(networkLatency+s.delay, func() {
		if !s.reachable(n) {
			return
		}
		result, replied := do()
		era := s.era
		if !replied {
			return
		}
		s.w.schedule(networkLatency, func() {
			if !done {
				done = true
				result.Op = op
				result.Era = era
				n.enqueue(result)
			}
		})
	})
	s.w.schedule(storeTimeout, func() {
		if !done {
			done = true
			n.enqueue(event.StoreDone{Op: op, Result: event.StoreUnknown})
		}
	})
}

func (s *fakeStore) get(n *node, c event.StoreGet) {
	s.call(n, c.Op, func() (event.StoreDone, bool) {
		v := s.values[c.Key]
		return event.StoreDone{Result: event.StoreOK, Revision: int64(v.revision), Value: v.data}, true
	})
}

func (s *fakeStore) swap(n *node, c event.StoreSwap) {
	s.call(n, c.Op, func() (event.StoreDone, bool) {
		effect := func() event.StoreDone {
			if int64(s.values[c.Key].revision) != c.Revision {
				return event.StoreDone{Result: event.StoreConflict}
			}
			return event.StoreDone{Result: event.StoreOK, Revision: int64(s.set(c.Key, c.Value))}
		}
		if s.loseReplies > 0 {
			s.loseReplies--
			s.w.schedule(s.effectDelay, func() { effect() })
			return event.StoreDone{}, false
		}
		return effect(), true
	})
}

// newPicker returns a source of random numbers that is reproducible by its seed.
func newPicker(seed uint64) func(n int) int {
	random := rand.New(rand.NewPCG(seed, 11))
	return random.IntN
}
