// Package query runs callers' queries: admission, the choice of a server for each
// leg, retries, hedges, the one snapshot of each query, the coverage of its answer
// and the outcome reported to the caller.
//
// A query has one leg for each shard group that it asks. A leg has one or more
// attempts, each of which is a request to one backend server. Package limit holds
// the state and the limits of servers, package warm decides who may send to a cold
// server, package claim records non-idempotent requests, and package poison detects
// queries that crash servers.
package query

import (
	"time"

	"hyssoppitch/core/claim"
	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
)

// LegState is the progress of a leg.
type LegState int

// The states of a leg.
const (
	// LegWaiting: the leg waits for a server with capacity.
	LegWaiting LegState = iota
	// LegRunning: at least one attempt is in flight.
	LegRunning
	// LegAnswered: Result holds the group's complete result.
	LegAnswered
	// LegMissing: the group will be missing from the answer, for Reason.
	LegMissing
)

// Leg is the part of a query that one group answers.
type Leg struct {
	// Group is the group as defined by the query's shard map.
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
	// ShedRounds counts how often Tried was emptied after every server shed.
	ShedRounds int
	// Hedged is set once a second attempt was sent while the first ran.
	Hedged bool
	// Queued is set while the leg is in its group's queue.
	Queued bool
}

// Query is one request of a caller.
type Query struct {
	ID      event.QueryID
	Request event.Request
	// Service is the service of the query's plan, as in the configuration that was
	// active when the plan was chosen or with the previous shard map. A restart may
	// replace it.
	Service     *model.Service
	Class       model.Class
	Fingerprint model.Fingerprint
	ArrivedAt   time.Time
	// AnswerBy is when the answer must be sent.
	AnswerBy time.Time
	// Epoch is the shard map that Legs belong to.
	Epoch model.MapEpoch
	// Snapshot is the index version that every result must come from.
	Snapshot model.Snapshot
	// Round counts restarts; a reply to an attempt of an earlier round doesn't
	// change a leg.
	Round int
	Legs  []Leg
	// OpenLegs counts the legs that are waiting or running.
	OpenLegs int
	// Attempts counts the attempts sent; its value is the number of the last one.
	Attempts int
	// PossiblyRun counts the attempts of all rounds that a server may have run: those
	// sent, less those known not to have run. A refusal with OutcomeNotRun requires
	// that it is zero.
	PossiblyRun int
	// Claim is the granted claim of a non-idempotent request.
	Claim *claim.Entry
	// Answered is set once an answer or a refusal was sent to the caller, or the
	// caller disconnected. From then on the query is kept only while a
	// non-idempotent attempt is in flight.
	Answered bool
}

// identity returns what the query is recognized by when it comes again.
func (q *Query) identity() model.Identity { return model.Identity{Fingerprint: q.Fingerprint} }

// AttemptKind is the reason for which an attempt was sent.
type AttemptKind int

// The kinds of attempts.
const (
	FirstAttempt AttemptKind = iota
	RetryAttempt
	HedgeAttempt
	// WarmingAttempt is a copy of a first attempt, sent to a cold server to warm it.
	WarmingAttempt
)

// Attempt is one request to one backend server. It is kept until the server is
// known or assumed to be done with it, which may be after its query ended.
type Attempt struct {
	ID     event.AttemptID
	Server *limit.Server
	Kind   AttemptKind
	// Round is the query's Round when the attempt was sent.
	Round int
	// Leg is an index into the query's legs.
	Leg         int
	Fingerprint model.Fingerprint
	SentAt      time.Time
	// Deadline is the time until which a reply is waited for.
	Deadline time.Time
	// Cancelled is set once the reply is no longer wanted.
	Cancelled bool
	// Ended is set once event.AttemptEnded was received; the attempt may be kept
	// until HoldUntil.
	Ended bool
	// HoldUntil is the time until which a cancelled or timed-out attempt counts as
	// occupying a slot of the server.
	HoldUntil time.Time
	// Isolated is set if the query was a suspect when the attempt was sent: this
	// instance has at most one such attempt of a suspect in flight.
	Isolated bool
	// ToCold is set if the server was cold. Grant is then the owner's grant under
	// which the attempt was sent; it is zero if this instance owns the server.
	ToCold bool
	Grant  limit.HeldGrant
}

// identity returns the identity of the attempt's query.
func (a *Attempt) identity() model.Identity { return model.Identity{Fingerprint: a.Fingerprint} }

// Counters holds the totals since the instance started.
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
