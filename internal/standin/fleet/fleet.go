// Package fleet is a stand-in for backend servers: many of them in one process,
// one listener each, that speak the protocol of io/back, have slots, connection
// limits and a cold start, and show faults on request. They keep a ledger of the
// non-idempotent requests that they ran. It is scaffolding for demonstrations and
// tests; the product doesn't import it.
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

// Faults are what a server does wrong, or differently, until it is told otherwise.
type Faults struct {
	// StraggleMs is added to the time of each run, in milliseconds.
	StraggleMs int `json:"straggle-ms,omitempty"`
	// Shed refuses every request for lack of room.
	Shed bool `json:"shed,omitempty"`
	// Drain refuses every request, since the server is leaving.
	Drain bool `json:"drain,omitempty"`
	// StatusLies makes the status endpoint deny a drain.
	StatusLies bool `json:"status-lies,omitempty"`
	// Cut closes the connection after a request was read: before it runs, or
	// after it ran.
	Cut string `json:"cut,omitempty"`
	// Reply spoils replies: "crossed" names another attempt, "group" another
	// group, "truncated" ends early, "altered" changes the body.
	Reply string `json:"reply,omitempty"`
	// LateMs delays replies after the run, in milliseconds.
	LateMs int `json:"late-ms,omitempty"`
	// StatusSilent makes the status endpoint give no answer.
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

// Options set how all servers of a fleet behave.
type Options struct {
	// RunTime is the time that a warm server takes for one request.
	RunTime time.Duration
	// ConnectTime is the time that a new connection costs.
	ConnectTime time.Duration
	// Delay returns the one-way delay between two data centres; nil is none.
	Delay func(from, to string) time.Duration
	// StartWarm starts servers warm.
	StartWarm bool
	// Snapshots are served at the start.
	Snapshots []model.Snapshot
}

const (
	// coldSlowdown times RunTime is the time that a cold server takes.
	coldSlowdown = 5
	// warmingRuns is the number of runs that warm a server up; it bears one more
	// request at a time for each equal part of them.
	warmingRuns = 24
	// queuePerSlot bounds the requests that wait, per slot; more are shed.
	queuePerSlot = 2
	// rebootTime is how long a crashed server is gone.
	rebootTime = 300 * time.Millisecond
)

// Run is one entry of the ledger.
type Run struct {
	Once    string         `json:"once"`
	Server  model.ServerID `json:"server"`
	Attempt string         `json:"attempt"`
	Body    string         `json:"body"`
	At      time.Time      `json:"at"`
}

// Fleet is a set of backend servers.
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

// Close ends all servers.
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

// In returns the servers of a data centre.
func (f *Fleet) In(dataCentre string) (out []*Server) {
	for _, s := range f.servers {
		if s.DataCentre == dataCentre {
			out = append(out, s)
		}
	}
	return out
}

// Ledger returns the non-idempotent requests that were run, in order.
func (f *Fleet) Ledger() []Run {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]Run(nil), f.ledger...)
}

// Runs returns how often a non-idempotent request was run.
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

// nextBoot returns a boot identity.
func (f *Fleet) nextBoot() string {
	return fmt.Sprintf("boot-%d", f.boots.Add(1))
}

// firstPort is below the ports that the kernel gives to outgoing connections.
const firstPort = 20000

// worlds counts the fleets of this process, so that each has an IP number.
var worlds atomic.Uint32

// Retarget returns the configuration with each server at a port of a loopback IP
// number that no other fleet on the machine uses, so that several run beside each
// other.
func WithLoopbackAddresses(c model.Config) (out model.Config) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+(pid>>8)%250, pid%256, 1+worlds.Add(1)%250)
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
