// Package node runs an instance: it feeds events to the engine, executes the engine's
// commands, owns the listeners, and controls startup and shutdown. All decisions are
// made by the engine in core.
package node

import (
	"context"
	"math/rand/v2"
	"net"
	"reflect"
	"slices"
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
	"hyssoppitch/core/rollo"
	"hyssoppitch/core/usage"
	"hyssoppitch/io/back"
	"hyssoppitch/io/feed"
	"hyssoppitch/io/guard"
	"hyssoppitch/io/pass"
	"hyssoppitch/io/peer"
	"hyssoppitch/io/setup"
	"hyssoppitch/io/stats"
	"hyssoppitch/io/store"
)

// Clock returns the current time.
type Clock interface {
	Now() time.Time
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now implements Clock.
func (SystemClock) Now() time.Time { return time.Now() }

// Backend sends attempts to backend servers. Each protocol has its own
// implementation.
type Backend interface {
	Send(ctx context.Context, a event.SendAttempt) event.AttemptEnded
	Cancel(id event.AttemptID)
	Status(ctx context.Context, p event.PollStatus) event.StatusPolled
	Close()
}

// Store is the platform's key-value service. Each kind of service has its own
// implementation.
type Store interface {
	Get(ctx context.Context, key string) (store.Value, error)
	Swap(ctx context.Context, key string, revision int64, data []byte) (store.Value, error)
	Watch(ctx context.Context, key string, after int64, wait time.Duration) (store.Value, error)
	Processes(ctx context.Context) (store.Processes, error)
	Close()
}

const (
	// inboxSize is the number of events that may be queued for the engine before
	// Post blocks.
	inboxSize = 8192
	// maxBatch is the maximum number of events that one tick of the engine handles.
	maxBatch = 512
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
	// routed is nil on an instance that serves the services of a declared configuration.
	routed *routed

	inbox chan event.Event
	// viewFuncs passes functions to the loop, which calls them between two ticks.
	viewFuncs chan func(*engine.Engine)
	stopped   chan struct{}
	lastQuery atomic.Uint64
	// fetchSlots has an element for each part of the configuration that is being fetched, and stopFetches
	// ends the last call of fetchParts. Only the loop uses it.
	fetchSlots  chan struct{}
	stopFetches context.CancelFunc
	leaving     atomic.Bool
	// closing is set when all requests have been answered and the callers' connections are
	// about to be closed: requests that still arrive are refused.
	closing atomic.Bool
	// memory is what the process may use.
	memory guard.Memory
	// guard bounds what the clients of all listeners use.
	guard *guard.Guard
	// shutdown holds the shutdown settings, which may be reloaded.
	shutdown atomic.Pointer[setup.Shutdown]
	// seeds holds the seeds of the settings, which may be reloaded, and linkPeers the last
	// command on links. Only the loop uses them once it runs.
	seeds     []string
	linkPeers event.LinkPeers

	waiters *waiters[waiter]
	// background tracks the goroutines that execute commands.
	background sync.WaitGroup
	// ctx is cancelled to end all work that commands started.
	ctx    context.Context
	cancel context.CancelFunc

	listener *guard.Listener
	control  *guard.Listener
	// ready is nil when the callers' listener also serves readiness, and metrics is nil
	// when the settings name no address for metrics.
	ready   *guard.Listener
	metrics *guard.Listener
}

// waiter is a caller's request that waits for the engine's answer.
type waiter struct {
	reply   chan event.Command
	service string
	since   time.Time
	// caller is the connection of the request, or nil.
	caller *guard.Conn
}

// Dependencies are what a node is built from. Nil fields are replaced by the real
// implementations, except for Platform.
type Dependencies struct {
	Clock   Clock
	Backend Backend
	Store   Store
	Log     *log.Logger
	// Memory bounds the memory of clients and replies; see NewGuard.
	Memory *guard.Guard
	// Listener and Control, when set, are used instead of the addresses in the settings.
	Listener net.Listener
	Control  net.Listener
	// Platform is required on an instance with routed requests.
	Platform *Platform
}

// Platform holds what routed requests need from the platform that the instance runs
// on.
type Platform struct {
	Directory   feed.Source
	HeaderNames pass.HeaderNames
	// Rollouts writes the status of roll-outs; nil if that isn't possible.
	Rollouts RolloutWriter
}

// RolloutWriter writes the status of a roll-out to the directory.
type RolloutWriter interface {
	WriteRollout(ctx context.Context, c event.WriteRollout) event.RolloutWritten
}

// New opens the listeners and returns a node that Run starts.
func New(s setup.Settings, d Dependencies) (n *Node, err error) {
	defer func() { err = errors.Wrapf(err, "instance %q", s.Instance) }()
	if err := s.Check(); err != nil {
		return nil, err
	}
	if s.Routed.Enabled && d.Platform == nil {
		return nil, errors.New("routed requests are enabled, but no platform was given")
	}
	if d.Clock == nil {
		d.Clock = SystemClock{}
	}
	if d.Log == nil {
		d.Log = &log.DefaultLogger
	}
	if d.Memory == nil {
		d.Memory = NewGuard(s, d.Clock)
	}
	if d.Store == nil {
		d.Store = store.New(s.Store, d.Memory)
	}
	plan := planOf(s)
	if d.Listener == nil {
		d.Listener, err = guard.ListenTCP(s.Listen, plan.SocketBuffer)
		if err != nil {
			return nil, errors.Wrapf(err, "listen %q", s.Listen)
		}
	}
	if d.Control == nil {
		d.Control, err = guard.ListenTCP(s.Control, plan.SocketBuffer)
		if err != nil {
			return nil, errors.Wrapf(err, "control %q", s.Control)
		}
	}
	n = build(s, d, plan)
	if s.Routed.Enabled && s.Routed.Ready != "" {
		n.ready, err = n.listenOther("ready", s.Routed.Ready, plan)
		if err != nil {
			return nil, errors.Wrapf(err, "routed.ready %q", s.Routed.Ready)
		}
	}
	if s.Metrics != "" {
		n.metrics, err = n.listenOther("metrics", s.Metrics, plan)
		if err != nil {
			return nil, errors.Wrapf(err, "metrics %q", s.Metrics)
		}
	}
	return n, nil
}

func build(s setup.Settings, d Dependencies, plan guard.Plan) *Node {
	now := d.Clock.Now()
	n := &Node{
		settings: s, clock: d.Clock, log: d.Log, backend: d.Backend, store: d.Store, guard: d.Memory,
		self: model.Instance{
			ID: s.Instance, Incarnation: model.Incarnation(now.UnixNano()),
			Address: d.Control.Addr().String(), DataCentre: s.DataCentre,
		},
		inbox: make(chan event.Event, inboxSize), viewFuncs: make(chan func(*engine.Engine)),
		stopped: make(chan struct{}), waiters: newWaiters[waiter](),
		stats: stats.New(), fetchSlots: make(chan struct{}, maxFetches),
	}
	n.memory = memoryOf(s)
	n.guardListeners(s, d, plan)
	n.shutdown.Store(&s.Shutdown)
	// Seeds are dialed until the engine decides.
	n.seeds, n.linkPeers = s.Seeds, event.LinkPeers{DialSeeds: true}
	n.ctx, n.cancel = context.WithCancel(context.Background())
	n.peers = peer.NewHub(n.self, n, n.guard)
	if n.backend == nil {
		n.backend = back.New(d.Clock, s.DataCentre, s.Limits.Connections, n.guard, func(address string) {
			n.Post(event.ConnectionLost{Address: address})
		})
	}
	options := engine.Options{
		Query:                query.Options{Limits: s.Limits.Policy, Hedging: s.Hedging},
		ConnectionsPerServer: s.Limits.Connections,
		Seed:                 rand.Uint64(),
		ConfigBytes:          n.guard.DecodedBytes(),
	}
	if s.Routed.Enabled {
		n.routed = newRouted(n, d.Platform)
		o := relayOptions(s)
		options.Relay = &o
		options.Rollouts = rolloutSettings(s)
		options.ExpectedInstances = expectedInstances(s.Seeds, n.self.Address)
		// Other instances find each other through the seeds, so a seed has links first. An
		// instance that knows no seed gets the directory from nobody.
		options.ReadsDirectoryFirst = len(s.Seeds) == 0 || slices.Contains(s.Seeds, n.self.Address)
	}
	n.engine = engine.New(now, n.self, options)
	n.publishVars()
	return n
}

// expectedInstances returns the number of instances that the settings of one of them let it expect:
// itself and the seeds, of which only the first ones are named in a larger deployment.
func expectedInstances(seeds []string, self string) int {
	if len(seeds) == 0 || (len(seeds) == 1 && seeds[0] == self) {
		return 1
	}
	return len(seeds) + 1
}

// Address returns the address that callers connect to.
func (n *Node) Address() string { return n.listener.Addr().String() }

// ControlAddress returns the address that peers and operators connect to.
func (n *Node) ControlAddress() string { return n.control.Addr().String() }

// Post queues an event for the engine. It blocks while the queue is full, and drops the
// event once the engine has stopped.
func (n *Node) Post(e event.Event) {
	select {
	case n.inbox <- e:
	case <-n.stopped:
	}
}

// awaitedEvent is an event whose sender waits until the engine has handled it.
type awaitedEvent struct {
	event.Event
	handled chan struct{}
}

// PostAndWait is Post for an event that holds much memory. It returns when the engine has handled the event,
// so that such events don't queue up.
func (n *Node) PostAndWait(e event.Event) {
	handled := make(chan struct{})
	n.Post(awaitedEvent{Event: e, handled: handled})
	select {
	case <-handled:
	case <-n.stopped:
	}
}

// View calls f between two ticks of the engine, so that f can read the engine's state.
// It returns false, without calling f, when the engine has stopped.
func (n *Node) View(f func(*engine.Engine)) bool {
	done := make(chan struct{})
	select {
	case n.viewFuncs <- func(e *engine.Engine) { f(e); close(done) }:
		<-done
		return true
	case <-n.stopped:
		return false
	}
}

// loop runs the engine until the context is cancelled.
func (n *Node) loop(ctx context.Context) error {
	defer close(n.stopped)
	timer := time.NewTimer(0)
	defer timer.Stop()
	batch := make([]event.Event, 0, maxBatch)
	// timerDue is when the timer fires; the zero time means that it has fired.
	var timerDue time.Time
	for {
		batch = batch[:0]
		select {
		case <-ctx.Done():
			return nil
		case f := <-n.viewFuncs:
			f(n.engine)
			continue
		case e := <-n.inbox:
			batch = n.drain(append(batch, e))
		case <-timer.C:
			timerDue = time.Time{}
		}
		handled := unwrapAwaited(batch)
		commands, due := n.engine.Tick(n.clock.Now(), batch)
		for _, c := range commands {
			n.execute(c)
		}
		for _, done := range handled {
			close(done)
		}
		clear(batch)
		if !due.Equal(timerDue) {
			timer.Reset(due.Sub(n.clock.Now()))
			timerDue = due
		}
	}
}

// unwrapAwaited replaces awaited events in a batch by the events themselves, and returns the channels to be
// closed when they are handled.
func unwrapAwaited(batch []event.Event) (handled []chan struct{}) {
	for i, e := range batch {
		if a, ok := e.(awaitedEvent); ok {
			batch[i], handled = a.Event, append(handled, a.handled)
		}
	}
	return handled
}

// drain adds the events that are already queued to a batch, up to maxBatch.
func (n *Node) drain(batch []event.Event) []event.Event {
	for len(batch) < maxBatch {
		select {
		case e := <-n.inbox:
			batch = append(batch, e)
		default:
			return batch
		}
	}
	return batch
}

// Execute implements front.Executor.
func (n *Node) Execute(ctx context.Context, r event.Request) event.Command {
	if n.closing.Load() {
		return event.Refuse{Class: r.Class, Code: event.RefuseLeaving, Outcome: event.OutcomeNotRun, Detail: closingDetail, RetryAfter: closingRetryAfter}
	}
	id := event.QueryID(n.lastQuery.Add(1))
	w := waiter{reply: make(chan event.Command, 1), service: r.Service, since: n.clock.Now(), caller: guard.ConnOf(ctx)}
	n.waiters.add(id, w)
	n.Post(event.QueryArrived{Query: id, Request: r})
	c, disconnected := n.awaitReply(ctx, w.reply)
	if disconnected {
		n.waiters.take(id)
		n.Post(event.CallerDisconnected{Query: id})
		return nil
	}
	if c == nil {
		return event.Refuse{Code: event.RefuseLeaving, Outcome: event.OutcomeUnknown, Detail: stoppedDetail}
	}
	return c
}

// NotReadyReason implements front.Executor.
func (n *Node) NotReadyReason() (reason string) {
	now := n.clock.Now()
	if !n.View(func(e *engine.Engine) { reason = e.NotReadyReason(now) }) {
		return "this instance has stopped"
	}
	return reason
}

// Leaving implements front.Executor.
func (n *Node) Leaving() bool { return n.leaving.Load() }

// Reload applies changed settings. Seeds, retry budgets, quotas, regions and the shutdown settings
// change at once. All other changes take effect only after a restart, which the log line
// reports as needs-restart. Settings that can't be read, that belong to another instance,
// or that switch routed requests on or off, are rejected.
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
		n.seeds = s.Seeds
		n.peers.SetPeers(n.ctx, n.addresses(n.linkPeers))
		if e.Relay != nil {
			e.SetRelayOptions(relayOptions(s))
			e.Rollouts.Settings = rolloutSettings(s)
			e.SetExpectedInstances(expectedInstances(s.Seeds, n.self.Address))
		}
	})
	// restartOnly differs from the settings in use only by what needs a restart.
	restartOnly := s
	restartOnly.Seeds = n.settings.Seeds
	restartOnly.Shutdown, restartOnly.Routed.Regions = n.settings.Shutdown, n.settings.Routed.Regions
	restartOnly.Routed.ExposureShare, restartOnly.Routed.ExposureSlack, restartOnly.Routed.Rollback = n.settings.Routed.ExposureShare, n.settings.Routed.ExposureSlack, n.settings.Routed.Rollback
	restartOnly.Routed.RetryRatio, restartOnly.Routed.RetrySlack, restartOnly.Routed.RetryWindow = n.settings.Routed.RetryRatio, n.settings.Routed.RetrySlack, n.settings.Routed.RetryWindow
	restartOnly.Routed.Spill = n.settings.Routed.Spill
	restartOnly.Routed.QuotaWindow, restartOnly.Routed.QuotaOverage, restartOnly.Routed.QuotaSlack = n.settings.Routed.QuotaWindow, n.settings.Routed.QuotaOverage, n.settings.Routed.QuotaSlack
	n.log.Info().Str("instance", string(n.self.ID)).
		Strs("seeds", s.Seeds).Bool("needs-restart", !reflect.DeepEqual(restartOnly, n.settings)).Msg("settings-reloaded")
}

// rolloutSettings returns the bounds of roll-outs that the settings give.
func rolloutSettings(s setup.Settings) rollo.Settings {
	return rollo.Settings{ExposureShare: s.Routed.ExposureShare, ExposureSlack: s.Routed.ExposureSlack, Rollback: time.Duration(s.Routed.Rollback)}
}

// relayOptions returns the options of routed requests that the settings give.
func relayOptions(s setup.Settings) relay.Options {
	return relay.Options{Regions: s.Routed.Regions, Retries: relay.RetryBudget{
		Ratio: s.Routed.RetryRatio, Slack: s.Routed.RetrySlack, Window: time.Duration(s.Routed.RetryWindow),
	}, Quota: usage.QuotaOptions{
		Window: time.Duration(s.Routed.QuotaWindow), Overage: s.Routed.QuotaOverage, Slack: s.Routed.QuotaSlack,
	}, Spill: s.Routed.Spill}
}
