package event

import (
	"hyssoppitch/core/conf"
	"hyssoppitch/core/model"
)

// Message is one message between two instances. Exactly one field is set.
type Message struct {
	Hello        *Hello        `cbor:"1,keyasint,omitempty"`
	Ping         *Ping         `cbor:"2,keyasint,omitempty"`
	Pong         *Pong         `cbor:"3,keyasint,omitempty"`
	Members      *Members      `cbor:"4,keyasint,omitempty"`
	Root         *RootUpdate   `cbor:"5,keyasint,omitempty"`
	GetParts     *GetParts     `cbor:"6,keyasint,omitempty"`
	Part         *PartReceived `cbor:"7,keyasint,omitempty"`
	Servers      *Servers      `cbor:"8,keyasint,omitempty"`
	GrantRequest *GrantRequest `cbor:"9,keyasint,omitempty"`
	Grant        *Grant        `cbor:"10,keyasint,omitempty"`
	GrantReturn  *GrantReturn  `cbor:"11,keyasint,omitempty"`
	Suspects     *Suspicion    `cbor:"12,keyasint,omitempty"`
	GetRoot      *GetRoot      `cbor:"13,keyasint,omitempty"`

	GetDirectory *GetDirectory    `cbor:"14,keyasint,omitempty"`
	Directory    *DirectoryUpdate `cbor:"15,keyasint,omitempty"`

	GetMembers *GetMembers `cbor:"16,keyasint,omitempty"`

	RateLimits *RateLimits `cbor:"17,keyasint,omitempty"`

	Claims *Claims `cbor:"18,keyasint,omitempty"`

	// UsageReport goes to a collector, and UsageSums from a collector to an instance of its data
	// centre.
	UsageReport *Usage    `cbor:"19,keyasint,omitempty"`
	UsageSums   *Usage    `cbor:"20,keyasint,omitempty"`
	Rollouts    *Rollouts `cbor:"21,keyasint,omitempty"`

	// Reports goes to the collector of the area, between collectors, and from a collector to its members.
	Reports *HealthReports `cbor:"23,keyasint,omitempty"`

	// Restart is passed on until all instances have it.
	Restart *ServerRestart `cbor:"24,keyasint,omitempty"`

	// Deflated is another message, compressed with DEFLATE (RFC 1951). Package peer replaces it by that one.
	Deflated []byte `cbor:"25,keyasint,omitempty"`
}

// ServerRestart tells that a server refused a connection, so that its process has ended, or that it
// accepts connections again. A server that starts again is cold.
type ServerRestart struct {
	// Key and Life are those of the server's entry in the directory.
	Key  string `cbor:"1,keyasint"`
	Life string `cbor:"2,keyasint"`
	// ColdMicros is for how many microseconds from now the server counts as cold.
	ColdMicros int64 `cbor:"3,keyasint,omitempty"`
	// Accepts is set if the server accepts connections again. It counts as cold for as long as before.
	Accepts bool `cbor:"4,keyasint,omitempty"`
	// AgeMicros is how many microseconds ago it accepted one.
	AgeMicros int64 `cbor:"5,keyasint,omitempty"`
}

// Claims tells a peer of claims that its sender has made, in case the store loses them.
type Claims struct {
	// Entries is in the form in which package claim stores claims.
	Entries []byte `cbor:"1,keyasint"`
}

// RateLimits reports the rate limits of backend servers, and the demand by which the instances
// divide them. Both are passed on until all instances have them.
type RateLimits struct {
	Servers []ServerLimit    `cbor:"1,keyasint,omitempty"`
	Demands []InstanceDemand `cbor:"2,keyasint,omitempty"`
}

// ServerLimit is the rate limit of one incarnation of a backend server.
type ServerLimit struct {
	Server model.ServerID `cbor:"1,keyasint"`
	Group  string         `cbor:"2,keyasint"`
	Life   string         `cbor:"3,keyasint"`
	// Active is set if the server names a limit, which is PerSecond then.
	Active    bool    `cbor:"4,keyasint,omitempty"`
	PerSecond float64 `cbor:"5,keyasint,omitempty"`
	// AgeMicros is how many microseconds ago this was observed.
	AgeMicros int64 `cbor:"6,keyasint"`
}

// InstanceDemand announces the requests per second that callers send to an instance.
type InstanceDemand struct {
	Instance    model.InstanceID  `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	// Number counts the announcements of an incarnation.
	Number     uint64 `cbor:"3,keyasint"`
	DataCentre string `cbor:"4,keyasint"`
	// Routes maps the name of a route to the requests per second on it.
	Routes map[string]float64 `cbor:"5,keyasint,omitempty"`
}

// GetMembers asks a peer for its full membership view.
type GetMembers struct{}

// Hello is the first message on a link and identifies its sender.
type Hello struct {
	Self model.Instance `cbor:"1,keyasint"`
	// Dial numbers the connections that the sender has dialed, from one; zero if the receiver
	// has dialed this one.
	Dial uint64 `cbor:"2,keyasint,omitempty"`
	// Inflates is set if the sender takes compressed messages.
	Inflates bool `cbor:"3,keyasint,omitempty"`
}

// Ping checks that a peer is reachable.
type Ping struct {
	// SentAt is in Unix nanoseconds by the sender's clock. The Pong repeats it, so that
	// a late answer to an old ping does not count as recent contact.
	SentAt int64 `cbor:"1,keyasint"`
	// ViewDigest is a digest of the sender's membership view.
	ViewDigest uint64 `cbor:"2,keyasint"`
	// ConfigVersion is the version of the sender's active configuration.
	ConfigVersion uint64 `cbor:"3,keyasint"`
	StoreEra
}

// StoreEra is the era of the store, which rises each time the store is restored from an older
// copy, as the sender of a message knows it.
type StoreEra struct {
	// Era is zero if it is unknown.
	Era uint64 `cbor:"10,keyasint,omitempty"`
	// EraAgeMicros is for how many microseconds the sender has known it.
	EraAgeMicros int64 `cbor:"11,keyasint,omitempty"`
}

// Pong answers a Ping.
type Pong struct {
	// SentAt is the SentAt of the Ping.
	SentAt        int64  `cbor:"1,keyasint"`
	ViewDigest    uint64 `cbor:"2,keyasint"`
	ConfigVersion uint64 `cbor:"3,keyasint"`
	StoreEra
}

// MemberState is the state of an instance as another one records it.
type MemberState int

// The states of a member. Within one incarnation a higher state overrides a lower one.
const (
	MemberAlive MemberState = iota + 1
	MemberSuspect
	MemberDead
	MemberLeft
)

// String returns the name used in logs and status.
func (s MemberState) String() string {
	names := [...]string{"none", "alive", "suspect", "dead", "left"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// MemberUpdate reports the state of one member.
type MemberUpdate struct {
	Instance model.Instance `cbor:"1,keyasint"`
	State    MemberState    `cbor:"2,keyasint"`
}

// Members reports changes of membership, or the full view.
type Members struct {
	Updates []MemberUpdate `cbor:"1,keyasint"`
	// Full is set when Updates is the sender's full view.
	Full bool `cbor:"2,keyasint,omitempty"`
	// Listed is the platform's list as the sender last read it; nil if the sender has
	// not read it. It is sent only with a full view.
	Listed []ListedInstance `cbor:"3,keyasint,omitempty"`
}

// RootUpdate carries a configuration root.
type RootUpdate struct {
	Root conf.Root `cbor:"1,keyasint"`
}

// GetRoot asks a peer for its configuration root.
type GetRoot struct{}

// GetParts asks a peer for documents of the configuration.
type GetParts struct {
	Digests []conf.Digest `cbor:"1,keyasint"`
}

// Warmth is the state of a backend server in the updates between instances.
type Warmth int

// The states that instances exchange.
const (
	WarmthCold Warmth = iota + 1
	WarmthWarm
	WarmthDraining
)

// ServerUpdate reports the state of one server in one boot. Within a boot the higher
// Generation takes precedence; within a generation warm overrides cold, and draining
// overrides both.
type ServerUpdate struct {
	Server     model.ServerID `cbor:"1,keyasint"`
	Boot       string         `cbor:"2,keyasint"`
	Generation uint64         `cbor:"3,keyasint"`
	Warmth     Warmth         `cbor:"4,keyasint"`
}

// Servers reports changes of servers' states.
type Servers struct {
	Updates []ServerUpdate `cbor:"1,keyasint"`
}

// GrantRequest asks the owner of a cold server for permission to send the server one
// attempt.
type GrantRequest struct {
	Server model.ServerID `cbor:"1,keyasint"`
	// AskedAt is in Unix nanoseconds by the sender's clock.
	AskedAt int64 `cbor:"2,keyasint"`
}

// Grant permits the receiver to send one attempt to a cold server.
type Grant struct {
	Server model.ServerID `cbor:"1,keyasint"`
	// Number identifies the grant at the server's owner.
	Number uint64 `cbor:"2,keyasint"`
	// AskedAt is the AskedAt of the GrantRequest. The grant's lifetime starts there, so
	// that a delayed grant is not used after its time.
	AskedAt int64 `cbor:"3,keyasint"`
}

// GrantReturn returns a grant to the server's owner, used or unused.
type GrantReturn struct {
	Server model.ServerID `cbor:"1,keyasint"`
	Number uint64         `cbor:"2,keyasint"`
	// Used is set when an attempt was sent.
	Used bool `cbor:"3,keyasint,omitempty"`
	// Success is set when the attempt was answered.
	Success bool `cbor:"4,keyasint,omitempty"`
	// LatencyMicros is the latency of the answer in microseconds.
	LatencyMicros int64 `cbor:"5,keyasint,omitempty"`
}

// SuspicionState is the state of a fingerprint that may crash servers.
type SuspicionState int

// The states of a fingerprint. Within a generation a higher state overrides a lower
// one.
const (
	// SuspicionRaised means that a server crashed with the query in flight.
	SuspicionRaised SuspicionState = iota + 1
	// SuspicionCleared means that an attempt of the suspected query was answered.
	SuspicionCleared
	// SuspicionCondemned means that a server crashed during an isolated attempt of the
	// suspected query.
	SuspicionCondemned
)

// String returns the name used in logs.
func (s SuspicionState) String() string {
	switch s {
	case SuspicionRaised:
		return "suspected"
	case SuspicionCleared:
		return "cleared"
	case SuspicionCondemned:
		return "condemned"
	default:
		return "unknown"
	}
}

// Suspicion reports the state of a query that may crash servers.
type Suspicion struct {
	Fingerprint model.Fingerprint `cbor:"1,keyasint"`
	State       SuspicionState    `cbor:"2,keyasint"`
	// Generation increases when a cleared query is suspected again. A higher generation
	// overrides a lower one, but SuspicionCondemned overrides all.
	Generation uint64 `cbor:"3,keyasint"`
	// Traits are those of the requests that the state applies to.
	Traits model.Traits `cbor:"4,keyasint,omitempty"`
}

// GetDirectory asks a peer for its copy of the directory.
type GetDirectory struct {
	// Revision is the revision of the sender's copy; zero if it has none.
	Revision uint64 `cbor:"1,keyasint"`
	// Era is the era of that revision.
	Era uint64 `cbor:"2,keyasint,omitempty"`
}

// Position returns the position of the sender's copy.
func (g *GetDirectory) Position() Position { return Position{Era: g.Era, Revision: g.Revision} }

// DirectoryUpdate reports changes of the directory to instances that don't read it
// themselves.
type DirectoryUpdate struct {
	// BaseRevision is the revision that Changes apply to: a receiver that has this or a
	// later revision misses nothing. Unused when Full is set.
	BaseRevision uint64 `cbor:"1,keyasint"`
	Revision     uint64 `cbor:"2,keyasint"`
	// Full is set when Changes is the full content of the directory.
	Full    bool              `cbor:"3,keyasint,omitempty"`
	Changes []DirectoryChange `cbor:"4,keyasint,omitempty"`
	// AgeMicros is the age of this update: the directory had this content that many
	// microseconds ago.
	AgeMicros int64 `cbor:"5,keyasint"`
	// RecoveredMicros is how many microseconds ago the directory became reachable after
	// an outage; zero if there was no recent outage.
	RecoveredMicros int64 `cbor:"6,keyasint,omitempty"`
	// Reader is the instance that read this from the directory itself; empty in an update that
	// answers a request.
	Reader model.InstanceID `cbor:"7,keyasint,omitempty"`
	// Era is the era of both revisions.
	Era uint64 `cbor:"8,keyasint,omitempty"`
}

// Position returns the position of the directory after the changes.
func (u *DirectoryUpdate) Position() Position { return Position{Era: u.Era, Revision: u.Revision} }
