package node

import (
	"context"
	"net"
	"net/http"

	"hyssoppitch/io/guard"
	"hyssoppitch/io/pass"
	"hyssoppitch/io/setup"
)

const (
	// otherHeaderBytes limits header sections on the listeners that are not for callers.
	otherHeaderBytes = 64 << 10
	// serverHeaderBytes is the limit of net/http for callers. The guard applies that of the
	// operators, which may change and is lower.
	serverHeaderBytes = 64 << 20
)

// memoryOf returns the memory that the settings give the process, or what the operating system lets it use.
func memoryOf(s setup.Settings) guard.Memory {
	if s.Machine.MemoryMB > 0 {
		return guard.Memory{Bytes: int64(s.Machine.MemoryMB * (1 << 20)), Source: "machine.memory-mb"}
	}
	return guard.SystemMemory()
}

// planOf returns how the machine that the settings describe is divided.
func planOf(s setup.Settings) guard.Plan {
	p := guard.PlanFor(memoryOf(s).Bytes, s.Machine.Descriptors)
	if s.Callers.Connections > 0 {
		p.Callers = s.Callers.Connections
	}
	return p
}

// MemoryLimit returns the limit for the garbage collector that fits the settings.
func MemoryLimit(s setup.Settings) int64 { return planOf(s).MemoryLimit }

// NewGuard returns what bounds the memory of clients and replies by the settings.
func NewGuard(s setup.Settings, c Clock) *guard.Guard {
	plan := planOf(s)
	return guard.New(c, guard.Limits{
		Budget: plan.Budget, HeaderLines: s.Callers.HeaderLines, ReplyBytes: plan.ReplyBytes, ReceiveBuffer: plan.SocketBuffer,
	})
}

// DefaultGuard returns the bounds of an instance with default settings.
func DefaultGuard() *guard.Guard { return NewGuard(setup.Default(), SystemClock{}) }

// guardListeners bounds what the clients of the listeners use.
func (n *Node) guardListeners(s setup.Settings, d Dependencies, plan guard.Plan) {
	n.listener = n.guard.Listen(d.Listener, guard.ListenerOptions{
		Name: "callers", Connections: plan.Callers, PerAddress: s.Callers.PerAddress, Active: plan.Active, HeaderBytes: plan.HeaderBytes,
	})
	n.control = n.guard.Listen(d.Control, guard.ListenerOptions{Name: "control", Connections: plan.Control, Active: plan.ControlActive, HeaderBytes: otherHeaderBytes})
}

// listenOther opens a listener for readiness or metrics.
func (n *Node) listenOther(name, address string, plan guard.Plan) (*guard.Listener, error) {
	l, err := guard.ListenTCP(address, plan.SocketBuffer)
	if err != nil {
		return nil, err
	}
	return n.guard.Listen(l, guard.ListenerOptions{Name: name, Connections: plan.Other, Active: plan.OtherActive, HeaderBytes: otherHeaderBytes}), nil
}

// newServer returns the HTTP server of a guarded listener.
func newServer(h http.Handler) *http.Server {
	return &http.Server{
		Handler: guard.Handler(h), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout,
		ConnContext: guard.ConnContext, ConnState: guard.SetState,
	}
}

// newCallerServer returns the HTTP server for callers.
func newCallerServer(h http.Handler) *http.Server {
	s := newServer(h)
	s.ConnContext = func(ctx context.Context, c net.Conn) context.Context {
		return guard.ConnContext(pass.ConnContext(ctx, c), c)
	}
	s.MaxHeaderBytes = serverHeaderBytes
	// Otherwise net/http answers "OPTIONS *" itself.
	s.DisableGeneralOptionsHandler = true
	return s
}

// runGuard runs the guard, and logs at most one line in ten seconds.
func (n *Node) runGuard(ctx context.Context) error {
	n.guard.Run(ctx, func(c guard.Counters) {
		n.log.Warn().Str("instance", string(n.self.ID)).
			Uint64("closed-idle", c.ClosedIdle).Uint64("refused-connections", c.Refused).
			Uint64("closed-holding", c.ClosedHolding).Uint64("refused-holding", c.RefusedHolding).
			Uint64("closed-unfinished", c.ClosedUnfinished).Uint64("refused-busy", c.RefusedBusy).
			Uint64("head-too-long", c.HeadTooLong).Uint64("too-many-header-lines", c.TooManyLines).
			Uint64("slow-body", c.SlowBody).Uint64("slow-reader", c.SlowReader).Msg("clients-limited")
	})
	return nil
}
