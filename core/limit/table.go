// Package limit owns the table of backend servers: their state, how much work is
// in flight at each, and how much this instance may have in flight there. It
// says which server of a group an attempt may go to; who sends to a cold server
// is left to package warm, and when to send to package query.
package limit

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// State is what this instance believes of a backend server.
type State int

// The states of a server.
const (
	// Unknown: no word from the server yet. It gets no work.
	Unknown State = iota
	// Cold: new, restarted or fallen back. Only its owner sends to it.
	Cold
	// Warm: bears full load.
	Warm
	// Draining: leaving. It gets no work.
	Draining
	// Down: it can't be reached. It gets no work until it is seen again.
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

// DrainSource says who reported that a server is leaving.
type DrainSource int

// The sources of a drain, as bits.
const (
	// DrainByReply is the server's own word on a request; a new boot ends it.
	DrainByReply DrainSource = 1 << iota
	// DrainByStatus is the status endpoint's word; it may mislead.
	DrainByStatus
	// DrainByPlatform is the platform's list; it lags.
	DrainByPlatform
	// DrainByPeer is another instance's word for a DrainByReply.
	DrainByPeer
)

// Server is one row: a backend server as this instance sees it.
type Server struct {
	model.Server
	// Service and Group place the server; Slots is that of the service.
	Service string
	Group   string
	Slots   int

	// State is derived by the systems; see the constants.
	State State
	// Boot is the boot identity last seen; empty before the first word.
	Boot string
	// Generation counts how often the server turned cold within Boot.
	Generation uint64
	// Drain is the set of sources that say the server is leaving. Non-zero
	// exactly when State is Draining.
	Drain DrainSource
	// SuspectedAt is when the server was last seen to close a connection, or this
	// process to stand still: the server may have restarted. It gets no work until a
	// status that was asked for later shows which boot this is. The zero time means
	// that the boot is verified.
	UnverifiedSince time.Time
	// RepliedAt is when a reply last carried the server's report.
	RepliedAt time.Time
	// DownUntil and Backoff space the tries to reach a server that is Down.
	DownUntil time.Time
	Backoff   time.Duration

	// InFlight counts attempts that may still occupy a slot, including cancelled
	// ones until their hold ends. Never negative.
	InFlight int
	// Limit is the number of attempts that this instance may have in flight; for
	// a warm server at least 1 and at most Most.
	Limit    float64
	MaxLimit float64
	// Latency follows the time of an answered attempt: at once upwards, slowly
	// downwards. Zero before the first answer.
	Latency time.Duration
	// Base is the recent least time of an answered attempt.
	MinLatency time.Duration
	// WarmBase is Base as it was when the server was last warm; zero if this
	// instance never got an answer from it while it was.
	WarmMinLatency time.Duration
	// Recent counts the answers since Fade was last called.
	RecentAnswers int
	// Slow and Sheds count answers far above Base, and sheds, in a row.
	SlowStreak int
	ShedStreak int
	// CutAt is when Limit was last lowered.
	LimitCutAt time.Time

	// Snapshots and Epoch are what the server last said that it serves.
	Snapshots []model.Snapshot
	Epoch     model.MapEpoch

	// Owned is set while this instance owns the cold server, from OwnedSince.
	Owned      bool
	OwnedSince time.Time
	// Allowance is the number of attempts that the owner lets be in flight in
	// the whole deployment while the server is cold; Streak counts the answered
	// ones since it last rose, and Near those in a row that were about as fast as
	// when the server was warm.
	Allowance     int
	SuccessStreak int
	FastStreak    int
	// Grants are the leaves given to other instances and not yet returned.
	IssuedGrants []IssuedGrant
	// Waiting lists the requests for leave, one per instance, first come first.
	GrantRequests []GrantRequest
	// Held is the leave that another owner gave to this instance, or nil.
	Held *HeldGrant
	// WantedAt is when this instance last asked the owner for leave.
	GrantRequestedAt time.Time

	// Announced is the latest word from peers on boots other than Boot, at most
	// maxAnnounced of them, the latest last.
	PendingUpdates []event.ServerUpdate
	// SuspectInFlight counts attempts of queries that are suspected of crashing
	// servers; at most 1.
	SuspectInFlight int
}

// WaitingWant is an instance's request for leave.
type GrantRequest struct {
	From model.InstanceID
	// AskedAt is repeated in the grant.
	AskedAt int64
	// ArrivedAt is when the request came.
	ArrivedAt time.Time
}

// GivenGrant is a leave that an owner gave and has not got back.
type IssuedGrant struct {
	Number uint64
	To     model.InstanceID
	// ExpiresAt is after the last moment at which work sent under the grant can
	// still be in flight.
	ExpiresAt time.Time
}

// HeldGrant is a leave that this instance got from a server's owner.
type HeldGrant struct {
	Number uint64
	Owner  model.InstanceID
	// UseBefore is the last moment to send under the grant.
	UseBefore time.Time
}

// Table holds the servers of one configuration.
type Table struct {
	// PerServer is the most connections that this instance opens to one server,
	// and so the most attempts that it has in flight there; zero is no bound.
	PerServer int
	// Rows is in the order of the configuration; decisions walk it, never a map.
	Rows []*Server
	// byID and byGroup index Rows.
	byID      map[model.ServerID]*Server
	byAddress map[string]*Server
	byGroup   map[GroupKey][]*Server
}

// GroupKey names a group over all services.
type GroupKey struct {
	Service string
	Group   string
}

// Get returns a server's row, or nil.
func (t *Table) Get(id model.ServerID) *Server { return t.byID[id] }

// At returns the row of the server at an address, or nil.
func (t *Table) ByAddress(address string) *Server { return t.byAddress[address] }

// Group returns the rows of a group in order of the configuration.
func (t *Table) Group(service, group string) []*Server {
	return t.byGroup[GroupKey{Service: service, Group: group}]
}

// Load replaces the rows by those of a configuration. A server that stays keeps
// what is known of it, unless its address changed: then it is another server.
func (t *Table) Load(c *model.Config) {
	old := t.byID
	t.Rows = nil
	t.byID = map[model.ServerID]*Server{}
	t.byAddress = map[string]*Server{}
	t.byGroup = map[GroupKey][]*Server{}
	for i := range c.Services {
		s := &c.Services[i]
		for _, g := range s.Groups {
			for _, b := range g.Servers {
				row := old[b.ID]
				if row == nil || row.Address != b.Address {
					row = &Server{}
				}
				row.Server, row.Service, row.Group, row.Slots = b, s.Name, g.Name, s.Slots
				row.MaxLimit = t.most(s.Slots)
				t.add(row)
			}
		}
	}
}

// most returns the highest limit of a server: beyond it, attempts only queue, at
// the server or for a connection.
func (t *Table) most(slots int) float64 {
	most := limitPerSlot * slots
	if t.PerServer > 0 {
		most = min(most, t.PerServer)
	}
	return float64(most)
}

func (t *Table) add(row *Server) {
	key := GroupKey{Service: row.Service, Group: row.Group}
	t.Rows = append(t.Rows, row)
	t.byID[row.ID] = row
	t.byAddress[row.Address] = row
	t.byGroup[key] = append(t.byGroup[key], row)
}

// Serves reports whether the server is known to serve a snapshot of a shard map.
// A server that has not said which epoch it serves is taken at its snapshots.
func (s *Server) Serves(snapshot model.Snapshot, epoch model.MapEpoch) bool {
	if s.Epoch != 0 && s.Epoch != epoch {
		return false
	}
	return snapshot == 0 || slices.Contains(s.Snapshots, snapshot)
}

// Expected returns the expected time to an answer if one more attempt is sent.
func (s *Server) ExpectedLatency() time.Duration {
	load := float64(s.InFlight+1) / max(s.Limit, 1)
	return time.Duration(float64(s.Latency) * max(load, 1))
}
