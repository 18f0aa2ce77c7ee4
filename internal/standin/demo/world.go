// Package demo runs a complete deployment in one process over loopback TCP: a store
// stand-in, a fleet of backend server stand-ins and instances of hyssoppitch. Only
// demonstrations and tests import it.
package demo

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"
	"github.com/phuslu/log"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
	"hyssoppitch/internal/standin/fleet"
	"hyssoppitch/internal/standin/kvmem"
	"hyssoppitch/internal/standin/load"
	"hyssoppitch/io/admin"
	"hyssoppitch/io/front"
	"hyssoppitch/io/node"
	"hyssoppitch/io/setup"
	"hyssoppitch/io/store"
)

// Plan configures a World.
type Plan struct {
	// Config is applied at the start, with the servers moved to free addresses.
	Config model.Config
	// Instances is the number of instances, spread over the data centres.
	Instances int
	Fleet     fleet.Options
	// Settings, if not nil, modifies the settings of each instance before its start.
	Settings func(*setup.Settings)
	// Log receives the instances' log lines; if nil, they are dropped.
	Log *log.Logger
}

// World is a running deployment.
type World struct {
	Config    model.Config
	Store     *kvmem.Server
	Fleet     *fleet.Fleet
	Instances []*Instance
	Client    *http.Client
	plan      Plan
}

// Instance is an instance of hyssoppitch that runs in this process.
type Instance struct {
	Settings setup.Settings
	Node     *node.Node
	stop     context.CancelFunc
	done     chan error
	// conns records the connections of both listeners, for Kill.
	conns *connTracker
}

// Start starts a deployment and waits until every instance is ready.
func Start(ctx context.Context, p Plan) (w *World, err error) {
	defer func() { err = errors.Wrap(err, "start world") }()
	config := fleet.WithLoopbackAddresses(p.Config)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	w = &World{Config: config, Store: kvmem.Start(l), plan: p, Client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}}
	w.Fleet, err = fleet.Start(config, p.Fleet)
	if err != nil {
		w.Close()
		return nil, err
	}
	if _, err := admin.Apply(ctx, store.New(w.Store.Address(), node.DefaultGuard()), config, 0, ulid.Make().String()); err != nil {
		w.Close()
		return nil, err
	}
	for i := range p.Instances {
		if _, err := w.AddInstance(i); err != nil {
			w.Close()
			return nil, err
		}
	}
	return w, w.AwaitReady(ctx)
}

// AddInstance starts one more instance. Its ID and data centre are derived from number.
func (w *World) AddInstance(number int) (in *Instance, err error) {
	dataCentres := w.Config.DataCentres
	s := setup.Default()
	s.Instance = model.InstanceID("i" + string(rune('0'+number%10)) + string(rune('a'+number/10)))
	s.DataCentre = dataCentres[number%len(dataCentres)].Name
	s.Listen, s.Control, s.Store = "127.0.0.1:0", "127.0.0.1:0", w.Store.Address()
	s.Shutdown.Lag = model.Duration(300 * time.Millisecond)
	for _, other := range w.Instances {
		s.Seeds = append(s.Seeds, other.Node.ControlAddress())
	}
	if w.plan.Settings != nil {
		w.plan.Settings(&s)
	}
	in, err = startInstance(s, w.plan.Log)
	if err != nil {
		return nil, err
	}
	w.Instances = append(w.Instances, in)
	w.publishInstances()
	return in, nil
}

// publishInstances writes the running instances to the platform's list of processes.
func (w *World) publishInstances() {
	var p store.Processes
	for _, in := range w.Instances {
		p.Instances = append(p.Instances, event.ListedInstance{
			ID: in.Settings.Instance, Address: in.Node.ControlAddress(), DataCentre: in.Settings.DataCentre, State: event.ListedLive,
		})
	}
	w.Store.SetProcesses(p)
}

func startInstance(s setup.Settings, logger *log.Logger) (in *Instance, err error) {
	if logger == nil {
		logger = &log.Logger{Level: log.PanicLevel}
	}
	in = &Instance{Settings: s, done: make(chan error, 1), conns: &connTracker{}}
	dependencies := node.Dependencies{Log: logger}
	if dependencies.Listener, err = in.conns.listen(s.Listen); err != nil {
		return nil, err
	}
	if dependencies.Control, err = in.conns.listen(s.Control); err != nil {
		return nil, err
	}
	in.Node, err = node.New(s, dependencies)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(context.Background())
	in.stop = cancel
	go func() { in.done <- in.Node.Run(ctx) }()
	return in, nil
}

// Leave makes an instance leave gracefully and waits until it has ended.
func (in *Instance) Leave() error {
	in.stop()
	return <-in.done
}

// Kill closes an instance's connections and listeners at once. Requests in flight get
// no reply.
func (in *Instance) Kill() { in.conns.closeAll() }

// AwaitReady waits until every instance is ready.
func (w *World) AwaitReady(ctx context.Context) (err error) {
	defer func() { err = errors.Wrap(err, "await readiness") }()
	for _, in := range w.Instances {
		for in.Node.NotReadyReason() != "" {
			if ctx.Err() != nil {
				return errors.Newf("instance %s: %s", in.Settings.Instance, in.Node.NotReadyReason())
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	return nil
}

// Addresses returns the addresses at which the instances accept requests.
func (w *World) Addresses() (out []string) {
	for _, in := range w.Instances {
		out = append(out, in.Node.Address())
	}
	return out
}

// Controls returns the instances' control addresses.
func (w *World) Controls() (out []string) {
	for _, in := range w.Instances {
		out = append(out, in.Node.ControlAddress())
	}
	return out
}

// Send sends one request to an instance.
func (w *World) Send(ctx context.Context, in *Instance, service string, q front.Query, key string) (load.Reply, error) {
	return load.Send(ctx, w.Client, in.Node.Address(), service, q, key, 0)
}

// Close stops the instances, the fleet and the store.
func (w *World) Close() {
	w.Client.CloseIdleConnections()
	for _, in := range w.Instances {
		in.Kill()
	}
	if w.Fleet != nil {
		w.Fleet.Close()
	}
	w.Store.Close()
}

// SetDataCentre takes a data centre out of service or puts it back, like the operators'
// command.
func (w *World) SetDataCentre(ctx context.Context, name string, s model.DataCentreState) (err error) {
	defer func() { err = errors.Wrapf(err, "data centre %q", name) }()
	c := store.New(w.Store.Address(), node.DefaultGuard())
	defer c.Close()
	current, err := admin.Read(ctx, c)
	if err != nil {
		return err
	}
	config := current.Config
	for i := range config.DataCentres {
		if config.DataCentres[i].Name == name {
			config.DataCentres[i].State = s
		}
	}
	accepted, err := admin.Apply(ctx, c, config, config.Version, ulid.Make().String())
	if err != nil {
		return err
	}
	admin.Push(ctx, w.Controls(), accepted)
	return nil
}

// ColdServers returns the number of pairs of an instance and a server that the instance
// doesn't regard as warm.
func (w *World) ColdServers() (n int) {
	for _, in := range w.Instances {
		in.Node.View(func(e *engine.Engine) {
			for _, b := range e.Servers.Rows {
				if b.State != limit.Warm {
					n++
				}
			}
		})
	}
	return n
}
