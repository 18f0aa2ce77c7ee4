package event

import (
	"time"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/model"
)

// Command is something that core wants done.
type Command interface{ isCommand() }

// SendAttempt asks for one attempt to be sent to one backend server.
type SendAttempt struct {
	Attempt AttemptID
	Server  model.ServerID
	Address string
	Service string
	Group   string
	// Snapshot is the index version that the reply must be computed from; zero
	// leaves it to the server.
	Snapshot model.Snapshot
	Epoch    model.MapEpoch
	// Key is the routing key, if the request has one.
	Key string
	// OnceKey names a non-idempotent request to the backend server; empty for
	// any other.
	OnceKey string
	Body    []byte
	// Deadline is the time after which no reply is waited for, and after which
	// the attempt must not be sent.
	Deadline time.Time
}

// CancelAttempt says that the reply of an attempt is no longer wanted. The
// attempt still ends with an AttemptEnded.
type CancelAttempt struct{ Attempt AttemptID }

// Outcome says whether a request ran.
type Outcome string

// The outcomes of a request. They are never blurred: OutcomeNotRun is given only
// when no backend server ran, runs or will run any part of the request.
const (
	OutcomeRan     Outcome = "ran"
	OutcomeNotRun  Outcome = "not-run"
	OutcomeUnknown Outcome = "unknown"
)

// MissingReason says why a group is missing from an answer.
type MissingReason string

// The reasons for which a group is missing.
const (
	MissingNoReplica MissingReason = "no-replica"
	MissingCold      MissingReason = "cold"
	MissingDeadline  MissingReason = "deadline"
	MissingOverload  MissingReason = "overload"
	MissingSnapshot  MissingReason = "snapshot"
	MissingEpoch     MissingReason = "map-epoch"
	MissingFailed    MissingReason = "failed"
	MissingPoison    MissingReason = "poison"
	MissingPatience  MissingReason = "patience"
)

// GroupCoverage is one group in a statement of coverage.
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
	// Fraction is answered positions over asked positions, 0 to 1. It is 1 only
	// when no group is missing.
	Fraction float64 `json:"fraction"`
	// Asked, Answered and Missing: every asked group is in exactly one of the
	// latter two.
	Asked    []GroupCoverage `json:"asked"`
	Answered []GroupCoverage `json:"answered"`
	Missing  []GroupCoverage `json:"missing"`
}

// GroupResult is the result of one group.
type GroupResult struct {
	Group string
	Body  []byte
}

// AnswerStatus says how an answer's coverage compares with what was asked.
type AnswerStatus string

// The statuses of an answer.
const (
	// StatusComplete answers cover all that was asked.
	StatusComplete AnswerStatus = "complete"
	// StatusPartial answers cover at least the class's least coverage.
	StatusPartial AnswerStatus = "partial"
	// StatusThin answers cover less than the class's least coverage.
	StatusThin AnswerStatus = "thin"
)

// Answer gives a query its answer.
type Answer struct {
	Query  QueryID
	Class  string
	Status AnswerStatus
	// Snapshot is the one index version that every result was computed from.
	Snapshot model.Snapshot
	Coverage Coverage
	// Results is in the order of Coverage.Answered.
	Results []GroupResult
	// Replayed is set when the result was stored by an earlier run of the same
	// non-idempotent request.
	Replayed bool
}

// RefusalCode is a machine-readable reason for a refusal.
type RefusalCode string

// The codes of refusals.
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
)

// Refuse gives a query a refusal.
type Refuse struct {
	Query   QueryID
	Class   string
	Code    RefusalCode
	Outcome Outcome
	// Detail is a sentence for a person.
	Detail string
	// RetryAfter is when to try again; zero means that it would not help.
	RetryAfter time.Duration
	// Coverage is set when legs were sent but none answered.
	Coverage *Coverage
}

// StoreGet asks for a value from the store.
type StoreGet struct {
	Op  uint64
	Key string
}

// StoreSwap asks for a compare-and-swap in the store.
type StoreSwap struct {
	Op  uint64
	Key string
	// Revision is the one that the key must have; zero means that it must not
	// exist.
	Revision int64
	Value    []byte
}

// SendPeer asks for a message to be sent to a linked peer.
type SendPeer struct {
	To      model.InstanceID
	Message Message
}

// LinkPeers names the peers that this instance dials and keeps links to.
type LinkPeers struct {
	Peers []model.Instance
	// Seeds says whether the addresses of the settings are dialled too.
	DialSeeds bool
}

// FetchParts asks for documents from the store.
type FetchParts struct{ Digests []conf.Digest }

// PollStatus asks for a server's status endpoint to be read now.
type PollStatus struct {
	Server  model.ServerID
	Address string
}

// ConfigInForce announces the configuration that is obeyed from now on.
type ActivateConfig struct{ Config model.Config }

// StateChanged asks for a log line: something changed state.
type StateChanged struct {
	// Kind is what changed, such as "server" or "instance".
	Kind string
	Name string
	From string
	To   string
	// Why is the cause.
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
