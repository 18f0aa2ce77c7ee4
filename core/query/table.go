// Package query owns queries, their legs and their attempts: admission, the
// choice of a server for each leg, retries, hedges, the one snapshot of a query,
// the statement of coverage and the outcome told to the caller.
//
// A caller's query becomes one leg per shard group that it asks; a leg has one or
// more attempts, each on one backend server. The state and limits of servers are
// kept by package limit, cold servers by package warm, the record of
// non-idempotent requests by package claim, and queries that crash servers by
// package poison.
package query

import (
	"time"

	"hyssoppitch/core/claim"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
)

// LegState says how far a leg has come.
type LegState int

// The states of a leg.
const (
	// LegWaiting: the leg waits for a server with room.
	LegWaiting LegState = iota
	// LegRunning: at least one attempt is in flight.
	LegRunning
	// LegAnswered: Result holds the group's whole result.
	LegAnswered
	// LegMissing: the group will be missing from the answer, for Reason.
	LegMissing
)

// Leg is the part of a query that one group answers.
type Leg struct {
	// Group is the group as the query's shard map has it.
	Group model.Group
	State LegState
	// Reason is set when State is LegMissing.
	Reason event.MissingReason
	// Result is set when State is LegAnswered.
	Result []byte
	// Sent lists the attempts of the leg; Running counts those in flight.
	Sent    []*Attempt
	Running int
	// Tried lists the servers that attempts of this leg went to.
	Tried []model.ServerID
	// Rounds counts how often Tried was emptied after every server shed.
	ShedRounds int
	// Hedged is set once a second attempt was sent while the first ran.
	Hedged bool
	// Queued is set while the leg stands in its group's queue.
	Queued bool
}

// Query is one request of a caller.
type Query struct {
	ID      event.QueryID
	Request event.Request
	// Service is the service as it was when the query started; a restart takes
	// the newer one.
	Service     *model.Service
	Class       model.Class
	Fingerprint model.Fingerprint
	ArrivedAt   time.Time
	// AnswerBy is when the answer must go out.
	AnswerBy time.Time
	// Epoch is the shard map that Legs belong to.
	Epoch model.MapEpoch
	// Snapshot is the index version that every result must come from.
	Snapshot model.Snapshot
	// Round counts restarts; a reply to an attempt of an earlier round doesn't
	// settle a leg.
	Round int
	Legs  []Leg
	// Open counts the legs that are waiting or running.
	OpenLegs int
	// Attempts counts the attempts sent; it numbers them.
	Attempts int
	// Unrefuted counts the attempts of all rounds that were sent and are not
	// known not to have run. A refusal with OutcomeNotRun requires it to be zero.
	PossiblyRun int
	// Claim is the granted claim of a non-idempotent request.
	Claim *claim.Entry
	// Answered is set once the caller was given an answer or a refusal. The row
	// stays only while a non-idempotent attempt is in flight.
	Answered bool
}

// AttemptKind says why an attempt was sent.
type AttemptKind int

// The kinds of attempts.
const (
	FirstAttempt AttemptKind = iota
	RetryAttempt
	HedgeAttempt
	// WarmingAttempt is a copy sent to a cold server beside the first, to warm it.
	WarmingAttempt
)

// Attempt is one request to one backend server. The row lives until the server
// is known or assumed to be free of it, which may be after its query ended.
type Attempt struct {
	ID     event.AttemptID
	Server *limit.Server
	Kind   AttemptKind
	// Round is that of the query when the attempt was sent.
	Round int
	// Leg is an index into the query's legs.
	Leg         int
	Fingerprint model.Fingerprint
	SentAt      time.Time
	// Deadline is when no reply is waited for any more.
	Deadline time.Time
	// Cancelled is set once the reply is no longer wanted.
	Cancelled bool
	// Ended is set once AttemptEnded came; the row may live on until HoldUntil.
	Ended bool
	// HoldUntil is when the server counts as free of a cancelled attempt.
	HoldUntil time.Time
	// Alone is set when the query was a suspect already when this was sent.
	Isolated bool
	// ToCold is set when the server was cold; Grant is the leave it was sent under.
	ToCold bool
	Grant  limit.HeldGrant
}

// Counters counts what happened since the instance started.
type Counters struct {
	QueriesArrived      uint64 `json:"queries-arrived"`
	AnswersComplete     uint64 `json:"answers-complete"`
	AnswersPartial      uint64 `json:"answers-partial"`
	AnswersThin         uint64 `json:"answers-thin"`
	RefusalsNotRun      uint64 `json:"refusals-not-run"`
	RefusalsUnknown     uint64 `json:"refusals-unknown"`
	LegsStarted         uint64 `json:"legs-started"`
	AttemptsFirst       uint64 `json:"attempts-first"`
	AttemptsRetry       uint64 `json:"attempts-retry"`
	AttemptsHedge       uint64 `json:"attempts-hedge"`
	AttemptsWarming     uint64 `json:"attempts-warming"`
	RepliesAnswered     uint64 `json:"replies-answered"`
	RepliesRefused      uint64 `json:"replies-refused"`
	RepliesNotSent      uint64 `json:"replies-not-sent"`
	RepliesDied         uint64 `json:"replies-died"`
	RepliesTimedOut     uint64 `json:"replies-timed-out"`
	RepliesBad          uint64 `json:"replies-bad"`
	RepliesUnwanted     uint64 `json:"replies-unwanted"`
	RepliesOffSnapshot  uint64 `json:"replies-off-snapshot"`
	QueriesRestarted    uint64 `json:"queries-restarted"`
	BudgetRefused       uint64 `json:"budget-refused"`
	CallersDisconnected uint64 `json:"callers-gone"`
	QueriesCondemned    uint64 `json:"queries-condemned"`
}
