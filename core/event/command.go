package event

import (
	"time"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/model"
)

// Command is an action that core requests from the packages under io.
type Command interface{ isCommand() }

// SendAttempt sends one attempt to one backend server.
type SendAttempt struct {
	Attempt AttemptID
	Server  model.ServerID
	Address string
	Service string
	Group   string
	// Snapshot is the index version that the reply must be computed from; zero lets
	// the server choose.
	Snapshot model.Snapshot
	Epoch    model.MapEpoch
	// Key is the routing key, if the request has one.
	Key string
	// OnceKey identifies a non-idempotent request to the backend server; empty for
	// idempotent requests.
	OnceKey string
	Body    []byte
	// Deadline is the time after which the attempt must not be sent and its reply is
	// no longer awaited.
	Deadline time.Time
}

// CancelAttempt cancels an attempt whose reply is no longer needed. The attempt
// still ends with an AttemptEnded.
type CancelAttempt struct{ Attempt AttemptID }

// Outcome states whether a backend server executed a request.
type Outcome string

// The outcomes of a request. OutcomeNotRun is reported only when no backend server
// has executed, executes or will execute any part of the request; in doubt, the
// outcome is OutcomeUnknown.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// MissingReason states why a group is missing from an answer.
type MissingReason string

// The reasons why a group is missing.
const (
	// MissingNoReplica means that no server of the group is usable.
	MissingNoReplica MissingReason = "no-replica"
	// MissingCold means that the group has no warm server, and no cold one got a request
	// before the deadline.
	MissingCold MissingReason = "cold"
	// MissingDeadline means that no attempt was answered before the deadline.
	MissingDeadline MissingReason = "deadline"
	// MissingOverload means that no warm server had capacity before the deadline.
	MissingOverload MissingReason = "overload"
	// MissingSnapshot and MissingEpoch mean that the group's servers serve another index
	// version or shard map than that of the query.
	MissingSnapshot MissingReason = "snapshot"
	MissingEpoch    MissingReason = "map-epoch"
	// MissingFailed means that the attempts failed and no other server or no retry budget
	// was left.
	MissingFailed MissingReason = "failed"
	// MissingPoison means that requests with this fingerprint crash servers.
	MissingPoison MissingReason = "poison"
	// MissingPatience means that the group had not answered when the class's patience ran
	// out.
	MissingPatience MissingReason = "patience"
)

// GroupCoverage is one group in a Coverage, with its key range.
type GroupCoverage struct {
	Group string      `json:"group"`
	Keys  model.Range `json:"keys"`
	// Reason is set for a missing group only.
	Reason MissingReason `json:"reason,omitempty"`
}

// Coverage states which part of the key space an answer was computed from.
type Coverage struct {
	// Epoch is the shard map that the ranges belong to.
	Epoch model.MapEpoch `json:"map-epoch"`
	// Fraction is the number of answered key positions divided by the number of
	// asked ones, 0 to 1. It is 1 only when no group is missing.
	Fraction float64 `json:"fraction"`
	// Asked lists all groups that the request was for. Each of them is in exactly one
	// of Answered and Missing.
	Asked    []GroupCoverage `json:"asked"`
	Answered []GroupCoverage `json:"answered"`
	Missing  []GroupCoverage `json:"missing"`
}

// GroupResult is the result of one group.
type GroupResult struct {
	Group string
	Body  []byte
}

// AnswerStatus classifies an answer by its coverage.
type AnswerStatus string

// The statuses of an answer.
const (
	// StatusComplete answers cover all asked groups.
	StatusComplete AnswerStatus = "complete"
	// StatusPartial answers cover at least the class's least coverage.
	StatusPartial AnswerStatus = "partial"
	// StatusThin answers cover less than the class's least coverage.
	StatusThin AnswerStatus = "thin"
)

// Answer returns an answer to the caller of a query.
type Answer struct {
	Query  QueryID
	Class  string
	Status AnswerStatus
	// Snapshot is the one index version that every result was computed from.
	Snapshot model.Snapshot
	Coverage Coverage
	// Results has the order of Coverage.Answered.
	Results []GroupResult
	// Replayed is set when the result is the stored one of an earlier execution of
	// the same non-idempotent request.
	Replayed bool
}

// RefusalCode is a machine-readable reason for a refusal.
type RefusalCode string

// The refusal codes.
const (
	RefuseUnknownService  RefusalCode = "unknown-service"
	RefuseUnknownClass    RefusalCode = "unknown-class"
	RefuseBadRequest      RefusalCode = "bad-request"
	RefuseNotReady        RefusalCode = "not-ready"
	RefuseLeaving         RefusalCode = "leaving"
	RefuseOverload        RefusalCode = "overload"
	RefuseDeadline        RefusalCode = "deadline"
	RefuseNoReplica       RefusalCode = "no-replica"
	RefusePoison          RefusalCode = "poison"
	RefuseStoreDown       RefusalCode = "store-down"
	RefuseInProgress      RefusalCode = "in-progress"
	RefuseKeyReused       RefusalCode = "key-reused"
	RefuseClaimLogFull    RefusalCode = "claim-log-full"
	RefuseOutcomeUnknown  RefusalCode = "outcome-unknown"
	RefuseNothingAnswered RefusalCode = "nothing-answered"
	RefuseBackendRefused  RefusalCode = "backend-refused"
	// RefuseUnknownKey refuses a request without the key of a customer, and RefuseQuota one of a
	// customer above its quota.
	RefuseUnknownKey RefusalCode = "unknown-key"
	RefuseQuota      RefusalCode = "quota"
)

// Refuse returns a refusal to the caller of a query.
type Refuse struct {
	Query   QueryID
	Class   string
	Code    RefusalCode
	Outcome Outcome
	// Detail is a human-readable explanation.
	Detail string
	// RetryAfter is the delay after which to retry; zero means that a retry would not
	// help.
	RetryAfter time.Duration
	// Coverage is set when attempts were sent but no group answered.
	Coverage *Coverage
}

// StoreGet reads a value from the store.
type StoreGet struct {
	Op  uint64
	Key string
}

// StoreSwap performs a compare-and-swap in the store.
type StoreSwap struct {
	Op  uint64
	Key string
	// Revision is the revision that the key must have; zero means that the key must
	// not exist.
	Revision int64
	Value    []byte
}

// SendPeer sends a message to a linked peer.
type SendPeer struct {
	To      model.InstanceID
	Message Message
}

// LinkPeers sets the peers that this instance dials and keeps links to. It replaces
// the previous set.
type LinkPeers struct {
	Peers []model.Instance
	// DialSeeds states whether the seed addresses of the settings are dialled too.
	DialSeeds bool
}

// FetchParts reads documents of the configuration from the store.
type FetchParts struct{ Digests []conf.Digest }

// PollStatus reads a server's status endpoint now.
type PollStatus struct {
	Server  model.ServerID
	Address string
}

// ActivateConfig makes Config the configuration that applies from now on.
type ActivateConfig struct{ Config model.Config }

// StateChanged logs the change of state of an object.
type StateChanged struct {
	// Kind is the type of the object: "server" or "instance", for example.
	Kind string
	Name string
	From string
	To   string
	// Cause explains the change.
	Cause string
}

func (SendAttempt) isCommand()    {}
func (CancelAttempt) isCommand()  {}
func (Answer) isCommand()         {}
func (Refuse) isCommand()         {}
func (StoreGet) isCommand()       {}
func (StoreSwap) isCommand()      {}
func (SendPeer) isCommand()       {}
func (LinkPeers) isCommand()      {}
func (FetchParts) isCommand()     {}
func (PollStatus) isCommand()     {}
func (ActivateConfig) isCommand() {}
func (StateChanged) isCommand()   {}
