// Package limit holds the table of backend servers: the state of each, the number of
// attempts in flight there, and the concurrency limit of this instance for it.
// Package warm decides who may send to a cold server, and package query chooses a
// server for each attempt.
package limit

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// State is the state of a backend server as known to this instance.
type State int

// The states of a server.
const (
	// Unknown: the server has not reported yet. It gets no requests.
	Unknown State = iota
	// Cold: the server is new, restarted, or slow as after a restart. Only its owner
	// and holders of the owner's grants send to it.
	Cold
	// Warm: the server can take its full load.
	Warm
	// Draining: the server is leaving. It gets no requests.
	Draining
	// Down: the server can't be reached. It gets no requests until it is reached
	// again.
	Down
)

// String returns the name used in logs and status.
func (s State) String() string {
	names := [...]string{"unknown", "cold", "warm", "draining", "down"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// DrainSource is a source that reports a server as leaving.
type DrainSource int

// The sources of a drain, as bits.
const (
	// DrainByReply is the server's own report in a reply; only a new boot ends it.
	DrainByReply DrainSource = 1 << iota
	// DrainByStatus is the report of the status endpoint, which may be wrong.
	DrainByStatus
	// DrainByPlatform is the platform's list, which may be out of date.
	DrainByPlatform
	// DrainByPeer is a DrainByReply that another instance relayed.
	DrainByPeer
)

// Server is a backend server as known to this instance.
type Server struct {
	model.Server
	// Service and Group are the names of the server's service and shard group. Slots is
	// the number of requests that each server of the service executes at a time.
	Service string
	Group   string
	Slots   int

	// State is set by the methods of Server.
	State State
	// Boot is the boot identity last reported; empty before the first report.
	Boot string
	// Generation counts how often the server turned cold within Boot.
	Generation uint64
	// Drain is the set of sources that report the server as leaving. It is non-zero
	// exactly when State is Draining.
	Drain DrainSource
	// UnverifiedSince is when a connection of the server was last lost, or when this
	// process was last found to have been suspended: since then the server may have
	// restarted. It gets no requests until a status that was requested later shows its
	// boot. The zero time means that the boot is verified.
	UnverifiedSince time.Time
	// RepliedAt is when a reply last carried the server's report.
	RepliedAt time.Time
	// DownUntil is when a server that is Down is tried again, and Backoff the delay
	// that was used for it.
	DownUntil time.Time
	Backoff   time.Duration

	// InFlight counts attempts that may still occupy a slot, including cancelled
	// ones until their hold time ends. It is never negative.
	InFlight int
	// Limit is the number of attempts that this instance may have in flight at a warm
	// server, from 1 to MaxLimit.
	Limit    float64
	MaxLimit float64
	// Latency is the estimated time to an answer. It rises to a higher sample at once
	// and falls slowly. It is zero before the first answer.
	Latency time.Duration
	// MinLatency is the recent minimum time to an answer.
	MinLatency time.Duration
	// WarmMinLatency is MinLatency as it was when the server was last warm; zero if
	// this instance got no answer from the server while it was warm.
	WarmMinLatency time.Duration
	// RecentAnswers counts the answers since DecayLatency was last called.
	RecentAnswers int
	// SlowStreak and ShedStreak count consecutive answers far above MinLatency, and
	// consecutive sheds.
	SlowStreak int
	ShedStreak int
	// LimitCutAt is when Limit was last lowered.
	LimitCutAt time.Time

	// Snapshots and Epoch are the snapshots and the shard map that the server last
	// reported that it serves.
	Snapshots []model.Snapshot
	Epoch     model.MapEpoch

	// Owned is set while this instance owns the cold server, from OwnedSince.
	Owned      bool
	OwnedSince time.Time
	// Allowance is the number of attempts that the owner allows in flight, summed
	// over all instances, while the server is cold.
	Allowance int
	// SuccessStreak counts the consecutive answered attempts since Allowance last
	// changed.
	SuccessStreak int
	// FastStreak counts those at the end of SuccessStreak that took about as long as
	// when the server was warm.
	FastStreak int
	// IssuedGrants holds the grants to other instances that are not yet returned.
	IssuedGrants []IssuedGrant
	// GrantRequests lists the waiting grant requests, one per instance, oldest first.
	GrantRequests []GrantRequest
	// Held is the grant that this instance got from the server's owner, or nil.
	Held *HeldGrant
	// GrantRequestedAt is when this instance last sent the owner a grant request.
	GrantRequestedAt time.Time

	// PendingUpdates holds the last update of peers for each of at most
	// maxPendingUpdates boots other than Boot, in the order in which the boots were
	// first reported.
	PendingUpdates []event.ServerUpdate
	// SuspectInFlight counts attempts in flight of queries that are suspected of
	// crashing servers; at most 1.
	SuspectInFlight int
}

// GrantRequest is an instance's request to send one attempt to a cold server.
type GrantRequest struct {
	From model.InstanceID
	// AskedAt is the sender's time of the request, which the grant repeats.
	AskedAt int64
	// ArrivedAt is when the request was received.
	ArrivedAt time.Time
}

// IssuedGrant is a grant that this owner issued and that was not yet returned.
type IssuedGrant struct {
	Number uint64
	To     model.InstanceID
	// ExpiresAt is after the last moment at which an attempt sent under the grant can
	// still be in flight.
	ExpiresAt time.Time
}

// HeldGrant is a grant to send one attempt that this instance got from the owner of
// a cold server.
type HeldGrant struct {
	Number uint64
	Owner  model.InstanceID
	// UseBefore is the last moment to send under the grant.
	UseBefore time.Time
}

// Table holds the servers of one configuration.
type Table struct {
	// ConnectionsPerServer is the maximum number of connections that this instance
	// opens to one server, and so of attempts in flight there; zero means no limit.
	ConnectionsPerServer int
	// Rows holds the servers in the order of the configuration. Decisions iterate over
	// it and never over a map, so that they are deterministic.
	Rows []*Server
	// byID, byAddress and byGroup index Rows.
	byID      map[model.ServerID]*Server
	byAddress map[string]*Server
	byGroup   map[GroupKey][]*Server
}

// GroupKey identifies a group among those of all services.
type GroupKey struct {
	Service string
	Group   string
}

// Get returns the server with an ID, or nil.
func (t *Table) Get(id model.ServerID) *Server { return t.byID[id] }

// ByAddress returns the server at an address, or nil.
func (t *Table) ByAddress(address string) *Server { return t.byAddress[address] }

// Group returns the servers of a group in the order of the configuration.
func (t *Table) Group(service, group string) []*Server {
	return t.byGroup[GroupKey{Service: service, Group: group}]
}

// Load replaces the servers by those of a configuration. A server that is still
// listed keeps its state, unless its address changed: it is then another server.
func (t *Table) Load(c *model.Config) {
	previous := t.byID
	t.Rows = nil
	t.byID = map[model.ServerID]*Server{}
	t.byAddress = map[string]*Server{}
	t.byGroup = map[GroupKey][]*Server{}
	for i := range c.Services {
		s := &c.Services[i]
		for _, g := range s.Groups {
			for _, b := range g.Servers {
				server := previous[b.ID]
				if server == nil || server.Address != b.Address {
					server = &Server{}
				}
				server.Server, server.Service, server.Group, server.Slots = b, s.Name, g.Name, s.Slots
				server.MaxLimit = t.maxLimit(s.Slots)
				t.add(server)
			}
		}
	}
}

// maxLimit returns the maximum concurrency limit of a server with a number of slots.
// More attempts would only wait at the server, or for a connection.
func (t *Table) maxLimit(slots int) float64 {
	maxLimit := maxLimitPerSlot * slots
	if t.ConnectionsPerServer > 0 {
		maxLimit = min(maxLimit, t.ConnectionsPerServer)
	}
	return float64(maxLimit)
}

// add appends a server to the table and its indexes.
func (t *Table) add(server *Server) {
	key := GroupKey{Service: server.Service, Group: server.Group}
	t.Rows = append(t.Rows, server)
	t.byID[server.ID] = server
	t.byAddress[server.Address] = server
	t.byGroup[key] = append(t.byGroup[key], server)
}

// Serves reports whether the server is known to serve a snapshot of a shard map;
// snapshot 0 stands for any. If the server has not reported its shard map, only the
// snapshot is compared.
func (s *Server) Serves(snapshot model.Snapshot, epoch model.MapEpoch) bool {
	if s.Epoch != 0 && s.Epoch != epoch {
		return false
	}
	return snapshot == 0 || slices.Contains(s.Snapshots, snapshot)
}

// ExpectedLatency returns the expected time to an answer if one more attempt is sent.
func (s *Server) ExpectedLatency() time.Duration {
	load := float64(s.InFlight+1) / max(s.Limit, 1)
	return time.Duration(float64(s.Latency) * max(load, 1))
}
