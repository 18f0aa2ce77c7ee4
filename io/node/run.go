package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/io/front"
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
	// flushTime is how long shutdown waits for the last answers to be written.
	flushTime = 200 * time.Millisecond
)

// Run serves until the context is cancelled, and then leaves gracefully: readiness
// fails, connections are still accepted for the lag that the settings give, the listener
// closes, requests in flight are finished and recorded, and the leave is announced to
// the peers. Open connections may carry further requests until the last one is answered;
// those that can't be expected to be answered in time are refused as not run.
func (n *Node) Run(ctx context.Context) (err error) {
	defer func() { err = errors.Wrapf(err, "instance %q", n.self.ID) }()
	n.log.Info().Str("instance", string(n.self.ID)).Uint64("incarnation", uint64(n.self.Incarnation)).
		Str("data-centre", n.self.DataCentre).Str("listen", n.Address()).Str("control", n.ControlAddress()).
		Bool("routed", n.routed != nil).Msg("instance-started")
	n.log.Info().Str("instance", string(n.self.ID)).Str("source", n.memory.Source).Int64("bytes", n.memory.Bytes).Msg("memory-found")
	defer func() {
		n.log.Info().Str("instance", string(n.self.ID)).Err(err).Msg("instance-stopped")
	}()
	callers := newCallerServer(n.callerHandler())
	control := newServer(n.controlHandler())
	n.peers.SetPeers(n.ctx, n.addresses(n.linkPeers))

	var group run.Group
	n.addLoop(&group, n.loop)
	n.addLoop(&group, n.runGuard)
	if n.routed != nil {
		n.addLoop(&group, n.routed.runDirectory)
	} else {
		n.addLoop(&group, n.watchRoot)
		n.addLoop(&group, n.pollProcesses)
	}
	if n.ready != nil {
		ready := newServer(front.ReadinessHandler(n))
		addServer(&group, ready, func() error { return ready.Serve(n.ready) })
	}
	if n.metrics != nil {
		metrics := newServer(n.stats)
		addServer(&group, metrics, func() error { return metrics.Serve(n.metrics) })
	}
	addServer(&group, control, func() error { return control.Serve(n.control) })
	addServer(&group, callers, func() error { return n.serveCallers(callers) })
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

// serveCallers serves the callers' listener. leave closes it before the server ends.
func (n *Node) serveCallers(callers *http.Server) error {
	err := callers.Serve(n.listener)
	if n.leaving.Load() && errors.Is(err, net.ErrClosed) {
		return http.ErrServerClosed
	}
	return err
}

// leave performs the steps of a graceful shutdown before the process ends.
func (n *Node) leave(callers *http.Server) {
	n.leaving.Store(true)
	lag, drain := n.shutdown.Load().Durations()
	answerBy := n.clock.Now().Add(lag + drain)
	n.Post(event.ShutdownBegun{AnswerBy: answerBy})
	n.log.Info().Str("instance", string(n.self.ID)).Dur("lag", lag).Dur("drain", drain).Msg("instance-leaving")
	time.Sleep(lag)
	if err := n.listener.Close(); err != nil {
		n.log.Warn().Str("instance", string(n.self.ID)).Err(err).Msg("listener-not-closed")
	}
	n.awaitIdle(answerBy.Sub(n.clock.Now()))
	// A request that arrives from now on is refused, so that none is in flight when the
	// connections are closed. One that arrived just before is still answered.
	n.closing.Store(true)
	n.awaitIdle(answerBy.Sub(n.clock.Now()))
	if open := n.awaitWritten(flushTime); open > 0 {
		n.log.Warn().Str("instance", string(n.self.ID)).Int("connections", open).Msg("drain-incomplete")
	}
	if err := callers.Close(); err != nil {
		n.log.Warn().Str("instance", string(n.self.ID)).Err(err).Msg("connections-not-closed")
	}
	now := n.clock.Now()
	n.View(func(e *engine.Engine) {
		for _, c := range e.Leave(now) {
			n.execute(c)
		}
	})
	time.Sleep(leaveDelay)
}

// awaitIdle waits until no request is in flight or being read or answered, and no record is
// pending, but not longer than the given time.
func (n *Node) awaitIdle(limit time.Duration) {
	n.await(limit, func() bool {
		inFlight := 0
		n.View(func(e *engine.Engine) { inFlight = e.InFlight() })
		return inFlight == 0 && n.listener.Active() == 0
	})
}

// awaitWritten waits until all answers are written, but not longer than the given time. It
// returns the number of connections on which a request is unanswered.
func (n *Node) awaitWritten(limit time.Duration) (open int) {
	n.await(limit, func() bool {
		open = n.listener.Active()
		return open == 0
	})
	return open
}

// await waits until done returns true, but not longer than the given time.
func (n *Node) await(limit time.Duration, done func() bool) {
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	for !done() && ctx.Err() == nil {
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
