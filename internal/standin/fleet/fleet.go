// Package fleet is a stand-in for backend servers. One process runs many of them, each
// with its own listener. They implement the protocol of io/back, have slots, connection
// limits and a cold start, and inject faults on request. They record the non-idempotent
// requests that they executed in a ledger. Only demonstrations and tests import it.
package fleet

import (
	"fmt"
	"net"
	"os"
	"path"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/model"
)

// Faults configures the faults that a server injects until they are replaced.
type Faults struct {
	// StraggleMs is added to the service time of each request, in milliseconds.
	StraggleMs int `json:"straggle-ms,omitempty"`
	// Shed refuses every request as if the server were overloaded.
	Shed bool `json:"shed,omitempty"`
	// Drain refuses every request because the server is leaving.
	Drain bool `json:"drain,omitempty"`
	// StatusLies makes the status endpoint report that a draining server is not draining.
	StatusLies bool `json:"status-lies,omitempty"`
	// Cut closes the connection after a request was read, either before or after it is
	// executed; see CutBefore and CutAfter.
	Cut string `json:"cut,omitempty"`
	// Reply corrupts replies: "crossed" names another attempt, "group" another
	// group, "truncated" ends the body early, "altered" changes the body.
	Reply string `json:"reply,omitempty"`
	// LateMs delays replies after execution, in milliseconds.
	LateMs int `json:"late-ms,omitempty"`
	// StatusSilent makes the status endpoint close connections without a reply.
	StatusSilent bool `json:"status-silent,omitempty"`
}

// Values of Faults.Cut and Faults.Reply.
const (
	CutBefore      = "before"
	CutAfter       = "after"
	ReplyCrossed   = "crossed"
	ReplyGroup     = "group"
	ReplyTruncated = "truncated"
	ReplyAltered   = "altered"
)

// Options configures all servers of a fleet.
type Options struct {
	// RunTime is the time that a warm server takes for one request.
	RunTime time.Duration
	// ConnectTime is the delay before the first read of a new connection.
	ConnectTime time.Duration
	// Delay returns the one-way delay between two data centres; nil means no delay.
	Delay func(from, to string) time.Duration
	// StartWarm makes servers warm at the start.
	StartWarm bool
	// Snapshots holds the snapshots that servers serve at the start.
	Snapshots []model.Snapshot
}

const (
	// coldSlowdown multiplies RunTime while a server is cold.
	coldSlowdown = 5
	// runsUntilWarm is the number of requests after which a server is warm. The number
	// of concurrent requests that a cold server can handle rises linearly from one with
	// the requests executed.
	runsUntilWarm = 24
	// queuePerSlot is the maximum number of waiting requests per slot; further requests
	// are shed.
	queuePerSlot = 2
	// restartDelay is the time that a crashed server is down.
	restartDelay = 300 * time.Millisecond
)

// Run is a ledger entry: the execution of a non-idempotent request.
type Run struct {
	Once    string         `json:"once"`
	Server  model.ServerID `json:"server"`
	Attempt string         `json:"attempt"`
	Body    string         `json:"body"`
	At      time.Time      `json:"at"`
}

// Fleet is a set of backend server stand-ins.
type Fleet struct {
	options Options
	servers []*Server
	boots   atomic.Uint64

	mu     sync.Mutex
	ledger []Run
	closed bool
}

// Start starts every server of a configuration at its declared address.
func Start(c model.Config, o Options) (f *Fleet, err error) {
	defer func() { err = errors.Wrap(err, "start fleet") }()
	f = &Fleet{options: o}
	for i := range c.Services {
		svc := &c.Services[i]
		for _, g := range svc.Groups {
			for _, b := range g.Servers {
				s := newServer(f, svc, g, b)
				if err := s.listen(); err != nil {
					f.Close()
					return nil, err
				}
				f.servers = append(f.servers, s)
			}
		}
	}
	return f, nil
}

// Close stops all servers.
func (f *Fleet) Close() {
	f.mu.Lock()
	f.closed = true
	f.mu.Unlock()
	for _, s := range f.servers {
		s.stop()
	}
}

func (f *Fleet) isClosed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.closed
}

// Match returns the servers whose ID matches a pattern of path.Match.
func (f *Fleet) Match(pattern string) (out []*Server) {
	for _, s := range f.servers {
		if ok, _ := path.Match(pattern, string(s.ID)); ok {
			out = append(out, s)
		}
	}
	return out
}

// InDataCentre returns the servers of a data centre.
func (f *Fleet) InDataCentre(dataCentre string) (out []*Server) {
	for _, s := range f.servers {
		if s.DataCentre == dataCentre {
			out = append(out, s)
		}
	}
	return out
}

// Ledger returns the executions of non-idempotent requests, in order.
func (f *Fleet) Ledger() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Run(nil), f.ledger...)
}

// Runs returns how many times a non-idempotent request was executed.
func (f *Fleet) Runs(once string) (n int) {
	for _, r := range f.Ledger() {
		if r.Once == once {
			n++
		}
	}
	return n
}

func (f *Fleet) record(r Run) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.ledger = append(f.ledger, r)
}

// nextBoot returns a new boot identity, unique within the fleet.
func (f *Fleet) nextBoot() string {
	return fmt.Sprintf("boot-%d", f.boots.Add(1))
}

// firstPort is below the range of ports that the kernel assigns to outgoing connections.
const firstPort = 20000

// fleetCount counts the fleets of this process, so that each gets its own IP address.
var fleetCount atomic.Uint32

// WithLoopbackAddresses returns a copy of the configuration in which all servers listen
// on a loopback IP address that no other fleet uses, so that several fleets can run on one
// machine. The address is derived from the process ID and the number of the fleet.
func WithLoopbackAddresses(c model.Config) (out model.Config) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%250, pid%256, 1+fleetCount.Add(1)%250)
	out = c
	out.Services = append([]model.Service(nil), c.Services...)
	port := firstPort
	for i := range out.Services {
		groups := append([]model.Group(nil), out.Services[i].Groups...)
		for j := range groups {
			servers := append([]model.Server(nil), groups[j].Servers...)
			for k := range servers {
				servers[k].Address = net.JoinHostPort(ip, strconv.Itoa(port))
				port++
			}
			groups[j].Servers = servers
		}
		out.Services[i].Groups = groups
	}
	return out
}
