// Package node owns a running instance: the loop that feeds the engine, the
// carrying out of its commands, the listeners, and the order of start and
// shutdown. All decisions are left to core.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"reflect"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/phuslu/log"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/query"
	"hyssoppitch/core/relay"
	"hyssoppitch/io/back"
	"hyssoppitch/io/feed"
	"hyssoppitch/io/pass"
	"hyssoppitch/io/peer"
	"hyssoppitch/io/setup"
	"hyssoppitch/io/stats"
	"hyssoppitch/io/store"
)

// Clock tells the time.
type Clock interface {
	Now() time.Time
}

// SystemClock is the clock of the machine.
type SystemClock struct{}

// Now returns the time.
func (SystemClock) Now() time.Time { return time.Now() }

// Backend sends attempts to backend servers. Another protocol is another
// implementation.
type Backend interface {
	Send(ctx context.Context, a event.SendAttempt) event.AttemptEnded
	Cancel(id event.AttemptID)
	Status(ctx context.Context, p event.PollStatus) event.StatusPolled
	Close()
}

// Store is the platform's key-value service. Another one is another
// implementation.
type Store interface {
	Get(ctx context.Context, key string) (store.Value, error)
	Swap(ctx context.Context, key string, revision int64, data []byte) (int64, error)
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (store.Value, error)
	Processes(ctx context.Context) (store.Processes, error)
	Close()
}

const (
	// inboxSize is the number of events that wait for the engine before their
	// senders wait too.
	inboxSize = 8192
	// batchSize is the most events that one tick takes in.
	batchSize = 512
)

// Node is a running instance.
type Node struct {
	settings setup.Settings
	self     model.Instance
	clock    Clock
	log      *log.Logger
	engine   *engine.Engine
	backend  Backend
	store    Store
	peers    *peer.Hub
	stats    *stats.Set
	// routed is nil on an instance that serves declared services.
	routed *routed

	inbox chan event.Event
	// views holds functions that read the engine's tables between two ticks.
	views     chan func(*engine.Engine)
	stopped   chan struct{}
	lastQuery atomic.Uint64
	leaving   atomic.Bool
	// shutdown holds the times of a shutdown, which may be reloaded.
	shutdown atomic.Pointer[setup.Shutdown]

	waiters *waiters[waiter]
	work    sync.WaitGroup
	// ctx ends all work that commands started.
	ctx    context.Context
	cancel context.CancelFunc

	listener net.Listener
	control  net.Listener
	// ready is nil when readiness is asked for on the callers' listener, and metrics when
	// the settings name no address for them.
	ready   net.Listener
	metrics net.Listener
}

// waiter is a request that waits for its answer.
type waiter struct {
	reply   chan event.Command
	service string
	since   time.Time
}

// Parts are what a node is built from; nil fields get the real ones.
type Dependencies struct {
	Clock   Clock
	Backend Backend
	Store   Store
	Log     *log.Logger
	// Listener and Control take the place of the addresses in the settings.
	Listener net.Listener
	Control  net.Listener
	// Platform is what routed requests need of the platform; an instance with routed
	// requests can't do without.
	Platform *Platform
}

// Platform is how an instance speaks to the platform that it runs on.
type Platform struct {
	Directory   feed.Source
	HeaderNames pass.HeaderNames
}

// New opens the listeners and returns a node that Run starts.
func New(s setup.Settings, p Dependencies) (n *Node, err error) {
	defer func() { err = errors.Wrapf(err, "instance %q", s.Instance) }()
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.Routed.Enabled && p.Platform == nil {
		return nil, errors.New("routed requests need a platform")
	}
	if p.Clock == nil {
		p.Clock = SystemClock{}
	}
	if p.Log == nil {
		p.Log = &log.DefaultLogger
	}
	if p.Store == nil {
		p.Store = store.New(s.Store)
	}
	if p.Listener == nil {
		p.Listener, err = net.Listen("tcp", s.Listen)
		if err != nil {
			return nil, errors.Wrapf(err, "listen %q", s.Listen)
		}
	}
	if p.Control == nil {
		p.Control, err = net.Listen("tcp", s.Control)
		if err != nil {
			return nil, errors.Wrapf(err, "control %q", s.Control)
		}
	}
	n = build(s, p)
	if s.Routed.Enabled && s.Routed.Ready != "" {
		n.ready, err = net.Listen("tcp", s.Routed.Ready)
		if err != nil {
			return nil, errors.Wrapf(err, "routed.ready %q", s.Routed.Ready)
		}
	}
	if s.Metrics != "" {
		n.metrics, err = net.Listen("tcp", s.Metrics)
		if err != nil {
			return nil, errors.Wrapf(err, "metrics %q", s.Metrics)
		}
	}
	return n, nil
}

func build(s setup.Settings, p Dependencies) *Node {
	now := p.Clock.Now()
	n := &Node{
		settings: s, clock: p.Clock, log: p.Log, backend: p.Backend, store: p.Store,
		self: model.Instance{
			ID: s.Instance, Incarnation: model.Incarnation(now.UnixNano()),
			Address: p.Control.Addr().String(), DataCentre: s.DataCentre,
		},
		inbox: make(chan event.Event, inboxSize), views: make(chan func(*engine.Engine)),
		stopped: make(chan struct{}), waiters: newWaiters[waiter](),
		listener: p.Listener, control: p.Control, stats: stats.New(),
	}
	n.shutdown.Store(&s.Shutdown)
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.peers = peer.NewHub(n.self, n)
	if n.backend == nil {
		n.backend = back.New(p.Clock, s.DataCentre, s.Limits.Connections, func(address string) {
			n.Post(event.ConnectionLost{Address: address})
		})
	}
	options := engine.Options{
		Query:                query.Options{Limits: s.Limits.Policy, Hedging: s.Hedging},
		ConnectionsPerServer: s.Limits.Connections,
		Seed:                 rand.Uint64(),
	}
	if s.Routed.Enabled {
		n.routed = newRouted(n, p.Platform)
		o := relayOptions(s)
		options.Relay = &o
	}
	n.engine = engine.New(now, n.self, options)
	n.publish()
	return n
}

// Address returns where callers connect.
func (n *Node) Address() string { return n.listener.Addr().String() }

// ControlAddress returns where peers and operators connect.
func (n *Node) ControlAddress() string { return n.control.Addr().String() }

// Post queues an event for the engine.
func (n *Node) Post(e event.Event) {
	select {
	case n.inbox <- e:
	case <-n.stopped:
	}
}

// View calls f between two ticks of the engine. It returns false when the engine
// has stopped and f was not called.
func (n *Node) View(f func(*engine.Engine)) bool {
	done := make(chan struct{})
	select {
	case n.views <- func(e *engine.Engine) { f(e); close(done) }:
		<-done
		return true
	case <-n.stopped:
		return false
	}
}

// loop runs the engine until the context ends.
func (n *Node) loop(ctx context.Context) error {
	defer close(n.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]event.Event, 0, batchSize)
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case f := <-n.views:
			f(n.engine)
			continue
		case e := <-n.inbox:
			batch = n.drain(append(batch, e))
		case <-timer.C:
		}
		commands, due := n.engine.Tick(n.clock.Now(), batch)
		for _, c := range commands {
			n.carryOut(c)
		}
		timer.Reset(due.Sub(n.clock.Now()))
	}
}

// drain takes the events that wait already, up to batchSize.
func (n *Node) drain(batch []event.Event) []event.Event {
	for len(batch) < batchSize {
		select {
		case e := <-n.inbox:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// Ask runs a request; it implements front.Asker.
func (n *Node) Ask(ctx context.Context, r event.Request) event.Command {
	id := event.QueryID(n.lastQuery.Add(1))
	w := waiter{reply: make(chan event.Command, 1), service: r.Service, since: n.clock.Now()}
	n.waiters.add(id, w)
	n.Post(event.QueryArrived{Query: id, Request: r})
	c, gone := n.awaitReply(ctx, w.reply)
	if gone {
		n.waiters.take(id)
		n.Post(event.CallerDisconnected{Query: id})
		return nil
	}
	if c == nil {
		return event.Refuse{Code: event.RefuseLeaving, Outcome: event.OutcomeUnknown, Detail: stoppedDetail}
	}
	return c
}

// NotReady implements front.Asker.
func (n *Node) NotReady() (why string) {
	now := n.clock.Now()
	if !n.View(func(e *engine.Engine) { why = e.NotReadyReason(now) }) {
		return "this instance has stopped"
	}
	return why
}

// Leaving implements front.Asker.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Reload takes in changed settings. Retry budgets, regions and the times of a shutdown
// follow at once; whatever else changed needs a restart and is named in the log.
// Settings that can't be read, or name another instance, change nothing.
func (n *Node) Reload(s setup.Settings, err error) {
	if err == nil && (s.Instance != n.settings.Instance || s.Routed.Enabled != n.settings.Routed.Enabled) {
		err = errors.Newf("settings of instance %q, routed %t: this is instance %q, routed %t",
			s.Instance, s.Routed.Enabled, n.settings.Instance, n.settings.Routed.Enabled)
	}
	if err != nil {
		n.log.Error().Str("instance", string(n.self.ID)).Err(err).Msg("settings-rejected")
		return
	}
	n.View(func(e *engine.Engine) {
		n.shutdown.Store(&s.Shutdown)
		if e.Relay != nil {
			e.Relay.Options = relayOptions(s)
		}
	})
	kept := s
	kept.Shutdown, kept.Routed.Regions = n.settings.Shutdown, n.settings.Routed.Regions
	kept.Routed.RetryRatio, kept.Routed.RetrySlack, kept.Routed.RetryWindow = n.settings.Routed.RetryRatio, n.settings.Routed.RetrySlack, n.settings.Routed.RetryWindow
	n.log.Info().Str("instance", string(n.self.ID)).Bool("needs-restart", !reflect.DeepEqual(kept, n.settings)).Msg("settings-reloaded")
}

// relayOptions returns the settings of routed requests.
func relayOptions(s setup.Settings) relay.Options {
	return relay.Options{Regions: s.Routed.Regions, Retries: relay.RetryBudget{
		Ratio: s.Routed.RetryRatio, Slack: s.Routed.RetrySlack, Window: time.Duration(s.Routed.RetryWindow),
	}}
}
