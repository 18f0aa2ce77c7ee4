package node

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/io/front"
	"hyssoppitch/io/pass"
	"hyssoppitch/io/wait"
)

const (
	// headerTimeout limits the time to read a request's headers.
	headerTimeout = 5 * time.Second
	// idleTimeout is how long an unused connection of a caller is kept open.
	idleTimeout = 2 * time.Minute
	// idlePollInterval is the interval at which shutdown checks whether requests are
	// still in flight.
	idlePollInterval = 10 * time.Millisecond
	// leaveDelay is how long shutdown waits for the leave announcement to reach the
	// peers.
	leaveDelay = 100 * time.Millisecond
)

// Run serves until the context is cancelled, and then leaves gracefully: readiness
// fails, requests are still accepted for the lag that the settings give, the listener
// closes, requests in flight are finished and recorded, and the leave is announced to
// the peers.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "instance %q", n.self.ID) }()
	n.log.Info().Str("instance", string(n.self.ID)).Uint64("incarnation", uint64(n.self.Incarnation)).
		Str("data-centre", n.self.DataCentre).Str("listen", n.Address()).Str("control", n.ControlAddress()).
		Bool("routed", n.routed != nil).Msg("instance-started")
	defer func() {
		n.log.Info().Str("instance", string(n.self.ID)).Err(err).Msg("instance-stopped")
	}()
	callers := &http.Server{
		Handler: n.callerHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout, ConnContext: pass.ConnContext,
	}
	control := &http.Server{Handler: n.controlHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	n.peers.SetPeers(n.ctx, n.settings.Seeds)

	var group run.Group
	n.addLoop(&group, n.loop)
	if n.routed != nil {
		n.addLoop(&group, n.routed.runDirectory)
	} else {
		n.addLoop(&group, n.watchRoot)
		n.addLoop(&group, n.pollProcesses)
	}
	if n.ready != nil {
		ready := &http.Server{Handler: front.ReadinessHandler(n), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		addServer(&group, ready, func() error { return ready.Serve(n.ready) })
	}
	if n.metrics != nil {
		metrics := &http.Server{Handler: n.stats, ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
		addServer(&group, metrics, func() error { return metrics.Serve(n.metrics) })
	}
	addServer(&group, control, func() error { return control.Serve(n.control) })
	addServer(&group, callers, func() error { return callers.Serve(n.listener) })
	leaveCtx, cancel := context.WithCancel(ctx)
	group.Add(func() error {
		<-leaveCtx.Done()
		n.leave(callers)
		return nil
	}, func(error) { cancel() })
	err = group.Run()
	n.close()
	return err
}

// callerHandler returns the HTTP interface for callers.
func (n *Node) callerHandler() http.Handler {
	if n.routed != nil {
		return n.routed.handler
	}
	return front.Handler(n)
}

// addLoop adds an actor that runs until its context is cancelled.
func (n *Node) addLoop(group *run.Group, f func(context.Context) error) {
	ctx, cancel := context.WithCancel(n.ctx)
	group.Add(func() error { return f(ctx) }, func(error) { cancel() })
}

// addServer adds an HTTP server. Its actor does not end when the server is shut down,
// because a graceful shutdown closes the callers' server before the others, and the first
// actor that ends stops the group.
func addServer(group *run.Group, s *http.Server, serve func() error) {
	ended := make(chan struct{})
	group.Add(func() error {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			return err
		}
		<-ended
		return nil
	}, func(error) {
		close(ended)
		_ = s.Close()
	})
}

// leave performs the steps of a graceful shutdown before the process ends.
func (n *Node) leave(callers *http.Server) {
	n.leaving.Store(true)
	n.Post(event.ShutdownBegun{})
	lag, drain := n.shutdown.Load().Durations()
	n.log.Info().Str("instance", string(n.self.ID)).Dur("lag", lag).Dur("drain", drain).Msg("instance-leaving")
	time.Sleep(lag)
	ctx, cancel := context.WithTimeout(context.Background(), drain)
	defer cancel()
	if err := callers.Shutdown(ctx); err != nil {
		n.log.Warn().Str("instance", string(n.self.ID)).Err(err).Msg("drain-incomplete")
	}
	n.awaitIdle(ctx)
	now := n.clock.Now()
	n.View(func(e *engine.Engine) {
		for _, c := range e.Leave(now) {
			n.execute(c)
		}
	})
	time.Sleep(leaveDelay)
}

// awaitIdle waits until no request is in flight and no record is pending, or the
// context ends.
func (n *Node) awaitIdle(ctx context.Context) {
	for ctx.Err() == nil {
		inFlight := 0
		n.View(func(e *engine.Engine) { inFlight = e.InFlight() })
		if inFlight == 0 {
			return
		}
		wait.For(ctx, idlePollInterval)
	}
}

// close ends everything that the node started.
func (n *Node) close() {
	n.cancel()
	n.peers.Close()
	n.background.Wait()
	if n.routed != nil {
		n.routed.backends.Close()
	}
	n.backend.Close()
	n.store.Close()
}
