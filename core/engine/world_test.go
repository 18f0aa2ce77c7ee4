package engine_test

import (
	"container/heap"
	"encoding/json"
	"fmt"
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

// The world of these tests is a set of engines, fake backend servers and a fake
// store in virtual time. Everything that happens is a function in a queue ordered
// by time, so a run is repeatable.

const (
	hop      = time.Millisecond
	runTime  = 6 * time.Millisecond
	coldTime = 30 * time.Millisecond
	// warmRuns is the number of runs after which a fake server is warm.
	warmRuns = 24
	rebootIn = 400 * time.Millisecond
	// maxAtOnce is far above what a world does at one moment.
	maxAtOnce = 100_000
)

// happening is something that is due at a time.
type happening struct {
	at    time.Time
	order int
	do    func()
}

type agenda []happening

func (a agenda) Len() int { return len(a) }

func (a agenda) Less(i, j int) bool {
	if a[i].at.Equal(a[j].at) {
		return a[i].order < a[j].order
	}
	return a[i].at.Before(a[j].at)
}

func (a agenda) Swap(i, j int) { a[i], a[j] = a[j], a[i] }

func (a *agenda) Push(x any) { *a = append(*a, x.(happening)) }

func (a *agenda) Pop() any {
	last := len(*a) - 1
	h := (*a)[last]
	*a = (*a)[:last]
	return h
}

// world is one run.
type world struct {
	start   time.Time
	now     time.Time
	agenda  agenda
	order   int
	random  *rand.Rand
	options query.Options

	config  model.Config
	store   *fakeStore
	servers map[model.ServerID]*fakeServer
	ids     []model.ServerID
	nodes   []*node
	// ledger counts the runs of non-idempotent requests.
	ledger map[string]int
	// started names the queries of which a server ran a part.
	started map[string]bool
	asked   []*ask
	// outSince is when a data centre's removal was accepted.
	outSince map[string]time.Time
	// faults lists what was done, for the report of a failure.
	faults []string
	// leaving holds the servers that the platform lists as leaving.
	leaving []model.ServerID
	// onCommand, when set, sees every command.
	onCommand func(*node, event.Command)
	// splitAt parts the first nodes from the others; zero is no split.
	splitAt int
	wrong   []string
}

// ask is one request of a fake caller.
type ask struct {
	node *node
	// query names the request at its instance, as queryName does.
	query   string
	request event.Request
	at      time.Time
	answer  *event.Answer
	refusal *event.Refuse
	// lost is set when the instance died first: the caller has no reply.
	lost bool
}

func newWorld(seed uint64, c model.Config, nodes int) *world {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	w := &world{
		start: start, now: start, random: rand.New(rand.NewPCG(seed, 7)), config: c,
		options: query.Options{Limits: limit.PolicyAdaptive, Hedging: true},
		servers: map[model.ServerID]*fakeServer{}, ledger: map[string]int{}, started: map[string]bool{}, outSince: map[string]time.Time{},
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
	w.accept(c)
	for i := range nodes {
		w.addNode(fmt.Sprintf("n%d", i))
	}
	return w
}

func (w *world) fail(format string, args ...any) {
	w.wrong = append(w.wrong, fmt.Sprintf("%v: ", w.now.Sub(w.start))+fmt.Sprintf(format, args...))
}

func (w *world) note(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf("%v: ", w.now.Sub(w.start))+fmt.Sprintf(format, args...))
}

// after schedules something.
func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.agenda, happening{at: w.now.Add(d), order: w.order, do: do})
}

// run lets a time pass.
func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	atOnce := 0
	for len(w.agenda) > 0 && !w.agenda[0].at.After(end) {
		h := heap.Pop(&w.agenda).(happening)
		atOnce++
		if h.at.After(w.now) {
			atOnce = 0
		}
		if atOnce > maxAtOnce {
			w.fail("more than %d things happen at one moment: an engine asks to be called again at once", maxAtOnce)
			w.agenda = nil
			break
		}
		w.now = h.at
		h.do()
	}
	w.now = end
}

// accept makes the next version of the configuration the accepted one.
func (w *world) accept(c model.Config) conf.Root {
	c.Version = w.config.Version + 1
	c.Change = fmt.Sprintf("change-%d", c.Version)
	root, parts, err := conf.Split(c)
	if err != nil {
		panic(err)
	}
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
	return root
}

// setDataCentre takes a data centre out or in.
func (w *world) setDataCentre(name string, s model.DataCentreState) {
	c := w.config
	c.DataCentres = append([]model.DataCentre(nil), c.DataCentres...)
	for i := range c.DataCentres {
		if c.DataCentres[i].Name == name {
			c.DataCentres[i].State = s
		}
	}
	w.accept(c)
}

// node is one instance.
type node struct {
	w      *world
	id     model.InstanceID
	engine *engine.Engine
	self   model.Instance
	dead   bool
	diedAt time.Time
	// disturbedAt is when the node last started, resumed or was joined to its peers
	// again.
	disturbedAt time.Time
	frozen      bool
	// cutPeers and cutStore are faults of the node's network.
	cutPeers bool
	cutStore bool
	inbox    []event.Event
	// tickAt is when the next tick is due; wake invalidates older wake-ups.
	wake     int
	want     []model.Instance
	seeds    []model.Instance
	links    map[model.InstanceID]*link
	queries  map[event.QueryID]*ask
	nextID   event.QueryID
	attempts map[event.AttemptID]model.ServerID
	rootRev  int
	// inForce is the highest version that was in force here.
	inForce uint64
}

// link joins two nodes; messages arrive in order.
type link struct {
	a, b *node
	down bool
}

func (w *world) addNode(id string) {
	n := &node{
		w: w, id: model.InstanceID(id), links: map[model.InstanceID]*link{},
		queries: map[event.QueryID]*ask{}, attempts: map[event.AttemptID]model.ServerID{},
	}
	n.disturbedAt = w.now
	n.self = model.Instance{ID: n.id, Incarnation: model.Incarnation(w.now.UnixNano()), Address: id, DataCentre: w.config.DataCentres[0].Name}
	n.engine = engine.New(w.now, n.self, engine.Options{Query: w.options, ConnectionsPerServer: 6, Seed: w.random.Uint64()})
	// The settings of an instance name some others, to start from without the store.
	for _, o := range w.nodes {
		if !o.dead {
			n.seeds = append(n.seeds, o.self)
		}
	}
	w.nodes = append(w.nodes, n)
	w.after(0, func() { n.tick() })
	w.after(0, func() { n.followStore() })
	w.after(0, func() { n.keepLinks() })
}

func (n *node) running() bool { return !n.dead && !n.frozen }

// post gives the engine an event; a frozen node takes it when it resumes.
func (n *node) post(e event.Event) {
	if n.dead {
		return
	}
	n.inbox = append(n.inbox, e)
	if !n.frozen {
		n.wake++
		wake := n.wake
		n.w.after(0, func() { n.tickIf(wake) })
	}
}

func (n *node) tickIf(wake int) {
	if n.wake == wake {
		n.tick()
	}
}

func (n *node) tick() {
	if !n.running() {
		return
	}
	events := n.inbox
	n.inbox = nil
	commands, due := n.engine.Tick(n.w.now, events)
	for _, c := range commands {
		n.carryOut(c)
	}
	n.wake++
	wake := n.wake
	n.w.after(max(due.Sub(n.w.now), 0), func() { n.tickIf(wake) })
}

func (n *node) freeze(d time.Duration) {
	if n.frozen || n.dead {
		return
	}
	n.frozen = true
	n.w.after(d, func() {
		n.frozen = false
		n.disturbedAt = n.w.now
		n.w.after(0, func() { n.tick() })
	})
}

// kill ends a node; its callers get no reply, and the connections of its attempts
// break.
func (n *node) kill() {
	n.dead = true
	n.diedAt = n.w.now
	for _, a := range n.queries {
		a.lost = true
	}
	for _, l := range n.links {
		l.drop()
	}
}

// followStore reads the root when it changed and the platform's list of nodes.
func (n *node) followStore() {
	if n.dead {
		return
	}
	calledAt := n.w.now
	n.w.after(hop, func() {
		if n.frozen {
			return
		}
		up := n.w.store.reachable(n)
		n.post(event.StoreReachability{Reachable: up, CalledAt: calledAt})
		if !up {
			return
		}
		v := n.w.store.values[conf.RootKey]
		if v.revision != n.rootRev {
			n.rootRev = v.revision
			root, err := conf.ParseRoot(v.data)
			if err != nil {
				panic(err)
			}
			n.post(event.RootReceived{Root: root})
		}
		n.post(event.PlatformListed{Instances: n.w.listed(), Servers: n.w.listedServers()})
	})
	n.w.after(200*time.Millisecond, func() { n.followStore() })
}

// listLag is how long the platform's list shows a node that died.
const listLag = 8 * time.Second

// listed is the platform's list.
func (w *world) listed() (out []event.ListedInstance) {
	for _, n := range w.nodes {
		if n.dead && w.now.Sub(n.diedAt) > listLag {
			continue
		}
		out = append(out, event.ListedInstance{ID: n.id, Address: string(n.id), DataCentre: n.self.DataCentre, State: event.ListedLive})
	}
	return out
}

func (w *world) listedServers() (out []event.ListedServer) {
	for _, id := range w.leaving {
		out = append(out, event.ListedServer{ID: id, State: event.ListedLeaving})
	}
	return out
}

// keepLinks opens the links that the engine wants and drops those that are cut.
func (n *node) keepLinks() {
	if n.dead {
		return
	}
	for _, p := range append(slices.Clone(n.want), n.seeds...) {
		other := n.w.node(p.ID)
		if other != nil && n.running() && other.running() && n.links[p.ID] == nil && !n.cutPeers && !other.cutPeers && !n.w.parted(n, other) {
			n.link(other)
		}
	}
	n.w.after(100*time.Millisecond, func() { n.keepLinks() })
}

// parted reports whether a split lies between two nodes.
func (w *world) parted(a, b *node) bool {
	first := func(n *node) bool { return slices.Index(w.nodes, n) < w.splitAt }
	return w.splitAt > 0 && first(a) != first(b)
}

func (w *world) node(id model.InstanceID) *node {
	for i := len(w.nodes) - 1; i >= 0; i-- {
		if w.nodes[i].id == id && !w.nodes[i].dead {
			return w.nodes[i]
		}
	}
	return nil
}

func (n *node) link(other *node) {
	l := &link{a: n, b: other}
	n.links[other.id], other.links[n.id] = l, l
	n.post(event.PeerLinked{Peer: other.self})
	other.post(event.PeerLinked{Peer: n.self})
}

func (l *link) drop() {
	if l.down {
		return
	}
	l.down = true
	delete(l.a.links, l.b.id)
	delete(l.b.links, l.a.id)
	l.a.post(event.PeerLost{Peer: l.b.id, Incarnation: l.b.self.Incarnation})
	l.b.post(event.PeerLost{Peer: l.a.id, Incarnation: l.a.self.Incarnation})
}

func (n *node) setCutPeers(cut bool) {
	n.cutPeers = cut
	n.disturbedAt = n.w.now
	if !cut {
		return
	}
	for _, other := range n.w.nodes {
		if l := n.links[other.id]; l != nil {
			l.drop()
		}
	}
}

func (n *node) send(c event.SendPeer) {
	l := n.links[c.To]
	if l == nil {
		return
	}
	to := l.a
	if to == n {
		to = l.b
	}
	n.w.after(hop, func() {
		if !l.down {
			to.post(event.MessageReceived{From: n.id, Message: c.Message})
		}
	})
}

func (n *node) carryOut(c event.Command) {
	w := n.w
	if w.onCommand != nil {
		w.onCommand(n, c)
	}
	switch c := c.(type) {
	case event.SendAttempt:
		n.attempts[c.Attempt] = c.Server
		w.checkSend(n, c)
		w.after(hop, func() { w.servers[c.Server].take(n, c) })
		w.after(max(0, c.Deadline.Sub(w.now)), func() { n.end(c, event.AttemptEnded{Kind: event.TimedOut}) })
	case event.CancelAttempt:
		w.after(0, func() {
			if server, ok := n.attempts[c.Attempt]; ok {
				delete(n.attempts, c.Attempt)
				n.post(event.AttemptEnded{Attempt: c.Attempt, Server: server, Kind: event.TimedOut})
			}
		})
	case event.Answer:
		n.reply(c.Query, func(a *ask) { a.answer = &c })
	case event.Refuse:
		n.reply(c.Query, func(a *ask) { a.refusal = &c })
	case event.StoreGet:
		w.store.get(n, c)
	case event.StoreSwap:
		w.store.swap(n, c)
	case event.SendPeer:
		n.send(c)
	case event.LinkPeers:
		n.want = c.Peers
	case event.FetchParts:
		for _, d := range c.Digests {
			w.after(2*hop, func() {
				if w.store.reachable(n) && n.running() {
					n.post(event.PartReceived{Digest: d, Data: w.store.values[conf.PartPrefix+string(d)].data})
				}
			})
		}
	case event.PollStatus:
		askedAt := w.now
		w.after(hop, func() {
			seen := w.servers[c.Server].status()
			seen.AskedAt = askedAt
			w.after(hop, func() { n.post(seen) })
		})
	case event.ActivateConfig:
		if c.Config.Version <= n.inForce {
			w.fail("promise 9: %s went from version %d to %d", n.id, n.inForce, c.Config.Version)
		}
		n.inForce = c.Config.Version
	case event.StateChanged:
	}
}

// end reports the end of an attempt, once.
func (n *node) end(c event.SendAttempt, e event.AttemptEnded) {
	if _, ok := n.attempts[c.Attempt]; !ok {
		return
	}
	delete(n.attempts, c.Attempt)
	e.Attempt, e.Server = c.Attempt, c.Server
	n.post(e)
}

// queryName names the query of an attempt over all instances.
func queryName(a event.AttemptID) string {
	return fmt.Sprintf("%s/%d/%d", a.Instance, a.Incarnation, a.Query)
}

// ask sends a request to a node.
func (n *node) ask(r event.Request) *ask {
	a := &ask{node: n, request: r, at: n.w.now}
	n.w.asked = append(n.w.asked, a)
	if n.dead {
		a.lost = true
		return a
	}
	n.nextID++
	a.query = queryName(event.AttemptID{Instance: n.id, Incarnation: n.self.Incarnation, Query: n.nextID})
	n.queries[n.nextID] = a
	n.post(event.QueryArrived{Query: n.nextID, Request: r})
	return a
}

func (n *node) reply(id event.QueryID, set func(*ask)) {
	a := n.queries[id]
	if a == nil {
		n.w.fail("%s replied to query %d twice", n.id, id)
		return
	}
	delete(n.queries, id)
	set(a)
	n.w.checkReply(a)
}

// fakeValue is a value of the fake store.
type fakeValue struct {
	revision int
	data     []byte
}

// fakeStore is the platform's service.
type fakeStore struct {
	w        *world
	values   map[string]fakeValue
	revision int
	down     bool
	slow     time.Duration
	// loseReplies is the number of writes whose replies are lost; lateBy delays
	// the effect of these.
	loseReplies int
	lateBy      time.Duration
}

func (s *fakeStore) reachable(n *node) bool { return !s.down && !n.cutStore }

func (s *fakeStore) set(key string, data []byte) int {
	s.revision++
	s.values[key] = fakeValue{revision: s.revision, data: data}
	return s.revision
}

// storeTimeout is when a caller of the store gives up.
const storeTimeout = 300 * time.Millisecond

// call carries a call out and posts its end, or StoreUnknown at the timeout.
func (s *fakeStore) call(n *node, op uint64, do func() (event.StoreDone, bool)) {
	done := false
	s.w.after(hop+s.slow, func() {
		if !s.reachable(n) {
			return
		}
		result, replied := do()
		if !replied {
			return
		}
		s.w.after(hop, func() {
			if !done {
				done = true
				result.Op = op
				n.post(result)
			}
		})
	})
	s.w.after(storeTimeout, func() {
		if !done {
			done = true
			n.post(event.StoreDone{Op: op, Result: event.StoreUnknown})
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
			s.w.after(s.lateBy, func() { effect() })
			return event.StoreDone{}, false
		}
		return effect(), true
	})
}

// newPicker returns a source of choices that a seed repeats.
func newPicker(seed uint64) func(n int) int {
	random := rand.New(rand.NewPCG(seed, 11))
	return random.IntN
}
