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
}

// GetMembers asks a peer for its whole view.
type GetMembers struct{}

// Hello opens a link and names its sender.
type Hello struct {
	Self model.Instance `cbor:"1,keyasint"`
}

// Ping asks a peer whether it is there.
type Ping struct {
	// SentAt is in Unix nanoseconds by the sender's clock, and is repeated in the
	// Pong. An answer to an old ping, read late, shows no fresh contact.
	SentAt int64 `cbor:"1,keyasint"`
	// View is a digest of the sender's membership view.
	ViewDigest uint64 `cbor:"2,keyasint"`
	// Version is the configuration in force at the sender.
	ConfigVersion uint64 `cbor:"3,keyasint"`
}

// Pong answers a Ping.
type Pong struct {
	// SentAt is that of the Ping.
	SentAt        int64  `cbor:"1,keyasint"`
	ViewDigest    uint64 `cbor:"2,keyasint"`
	ConfigVersion uint64 `cbor:"3,keyasint"`
}

// MemberState is what an instance believes of another.
type MemberState int

// The states of a member. For one incarnation a higher state overrides a lower.
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

// MemberNews is one member's state.
type MemberUpdate struct {
	Instance model.Instance `cbor:"1,keyasint"`
	State    MemberState    `cbor:"2,keyasint"`
}

// Members carries changes of membership, or the whole view.
type Members struct {
	Updates []MemberUpdate `cbor:"1,keyasint"`
	// Whole is set when News is the sender's whole view.
	Full bool `cbor:"2,keyasint,omitempty"`
	// Listed is the platform's list as the sender last read it, with Whole; nil if
	// it never has.
	Listed []ListedInstance `cbor:"3,keyasint,omitempty"`
}

// RootNews carries a configuration root.
type RootUpdate struct {
	Root conf.Root `cbor:"1,keyasint"`
}

// GetRoot asks a peer for its configuration root.
type GetRoot struct{}

// GetParts asks a peer for documents.
type GetParts struct {
	Digests []conf.Digest `cbor:"1,keyasint"`
}

// Warmth is what instances tell each other of a backend server's state.
type Warmth int

// The states that travel between instances.
const (
	WarmthCold Warmth = iota + 1
	WarmthWarm
	WarmthDraining
)

// ServerNews is one server's state in one boot. For one boot the higher
// Generation overrides; for one generation warm overrides cold, and draining
// overrides both.
type ServerUpdate struct {
	Server     model.ServerID `cbor:"1,keyasint"`
	Boot       string         `cbor:"2,keyasint"`
	Generation uint64         `cbor:"3,keyasint"`
	Warmth     Warmth         `cbor:"4,keyasint"`
}

// Servers carries changes of servers' states.
type Servers struct {
	Updates []ServerUpdate `cbor:"1,keyasint"`
}

// Want asks the owner of a cold server for leave to send it one attempt.
type GrantRequest struct {
	Server model.ServerID `cbor:"1,keyasint"`
	// AskedAt is in Unix nanoseconds by the sender's clock.
	AskedAt int64 `cbor:"2,keyasint"`
}

// Grant gives leave to send one attempt to a cold server.
type Grant struct {
	Server model.ServerID `cbor:"1,keyasint"`
	// Number identifies the grant at its owner.
	Number uint64 `cbor:"2,keyasint"`
	// AskedAt is that of the Want. The leave counts from there, so that one that
	// is read late is not used late.
	AskedAt int64 `cbor:"3,keyasint"`
}

// Returned gives a grant back, used or not.
type GrantReturn struct {
	Server model.ServerID `cbor:"1,keyasint"`
	Number uint64         `cbor:"2,keyasint"`
	// Used is false when no attempt was sent.
	Used bool `cbor:"3,keyasint,omitempty"`
	// Success is set when the attempt was answered.
	Success bool `cbor:"4,keyasint,omitempty"`
	// LatencyMicros is the time to the answer in microseconds.
	LatencyMicros int64 `cbor:"5,keyasint,omitempty"`
}

// SuspicionState is what is believed of a fingerprint.
type SuspicionState int

// The states of a fingerprint. Within a generation a higher state overrides a
// lower.
const (
	// SuspicionRaised: a server died with the query in flight.
	SuspicionRaised SuspicionState = iota + 1
	// SuspicionCleared: an attempt alone on a server was answered.
	SuspicionCleared
	// SuspicionCondemned: a server died with the query in flight as a suspect.
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

// Suspicion carries what is believed of a query that may crash servers.
type Suspicion struct {
	Fingerprint model.Fingerprint `cbor:"1,keyasint"`
	State       SuspicionState    `cbor:"2,keyasint"`
	// Generation rises when a cleared query is suspected again. A higher one
	// overrides a lower, except that SuspicionCondemned overrides all.
	Generation uint64 `cbor:"3,keyasint"`
}

// GetDirectory asks a peer for what it knows of the directory.
type GetDirectory struct {
	// Revision is what the sender knows; zero if nothing.
	Revision uint64 `cbor:"1,keyasint"`
}

// DirectoryNews carries changes of the directory to instances that don't read it
// themselves.
type DirectoryUpdate struct {
	// After is the revision that Changes follow on: one who knows that revision or a
	// later one misses nothing. Unused when Whole is set.
	BaseRevision uint64 `cbor:"1,keyasint"`
	Revision     uint64 `cbor:"2,keyasint"`
	// Whole is set when Changes is all that the directory holds.
	Full    bool              `cbor:"3,keyasint,omitempty"`
	Changes []DirectoryChange `cbor:"4,keyasint,omitempty"`
	// AgeMicros is how old this word is: the directory held just this at that time.
	AgeMicros int64 `cbor:"5,keyasint"`
	// ReturnedMicros is how long ago the directory came back after it had been away;
	// zero if it was not away lately.
	RecoveredMicros int64 `cbor:"6,keyasint,omitempty"`
}
