package relay

import (
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/rollo"
	"hyssoppitch/core/roster"
)

// LegState is the state of a leg.
type LegState int

// The states of a leg.
const (
	// LegOpen means that an attempt is in flight or will be sent.
	LegOpen LegState = iota
	// LegAnswered means that Reply holds the group's answer.
	LegAnswered
	// LegMissing means that the leg failed: no answer will come.
	LegMissing
)

// Leg is the part of a request that one group answers.
type Leg struct {
	Group string
	State LegState
	Reply *event.Reply
	// Sent lists the attempts in the order of sending; Running counts those in flight.
	Sent    []*Attempt
	Running int
	// WaitRounds counts how often the leg waited because every server refused or was at
	// capacity.
	WaitRounds int
	// Undetermined is the attempt whose connection broke, while a connection check
	// determines whether its server crashed; nil otherwise.
	Undetermined *Attempt
	// Failure is the last reply with a failure status, or nil.
	Failure *event.Reply
	// side is the side of a roll-out that was drawn for the first attempt by division.
	side     rollo.Side
	division *rollo.Division
}

// mayHaveExecuted counts the attempts that a server may have executed: all but those that
// are known not to have been executed.
func (l *Leg) mayHaveExecuted() (n int) {
	for _, a := range l.Sent {
		if !a.NotExecuted {
			n++
		}
	}
	return n
}

// tried reports whether an attempt of the leg was sent to a server.
func (l *Leg) tried(id model.ServerID) bool {
	for _, a := range l.Sent {
		if a.Server.ID == id {
			return true
		}
	}
	return false
}

// Request is one routed request.
type Request struct {
	event.RoutedRequest
	// Route and Version are from the routing table that was active on arrival.
	Route   *model.Route
	Version uint64
	// inForce is the restriction of the request by the table of inForceVersion.
	inForce        restriction
	inForceVersion uint64
	// HasCustomers is set if that table has customers; Customer is the request's customer, or nil.
	HasCustomers bool
	Customer     *model.Customer
	// ArrivedAt is when the request had arrived completely.
	ArrivedAt time.Time
	// queued is the time from the first byte of the request until it was handled.
	queued time.Duration
	// AnswerBy is the time by which the answer must be sent.
	AnswerBy time.Time
	Legs     []Leg
	// OpenLegs counts the legs in state LegOpen, AnsweredLegs those in state LegAnswered.
	OpenLegs     int
	AnsweredLegs int
	// delay is the time by which all attempts are expected to be late, since the first answer was; zero if
	// it wasn't, or another one has come in time.
	delay time.Duration
	// HoldCount counts how often the request waited for capacity before its first
	// attempt was sent.
	HoldCount int
	// ofKind and ofCustomer count the requests of the same kind and customer; nil unless priority
	// admission was active on arrival.
	ofKind, ofCustomer *servedShare
	// admitted is set once the request has been admitted or isolated.
	admitted bool
	// fullGroups lists the groups in which no server was found when the request was last to be
	// admitted.
	fullGroups []string
	// AttemptCount counts the attempts of all legs and numbers them.
	AttemptCount int
	// TargetPassed is set once the route's target time has passed. From then on the
	// answer is sent as soon as coverage is sufficient.
	TargetPassed bool
	// Isolated is set while the request is sent to one server at a time because it may crash
	// servers; IsolatedAttempt is the attempt in flight there, or nil.
	Isolated        bool
	IsolatedAttempt *Attempt
	// Done is set once the caller was answered. A request that is done is kept only while
	// a non-idempotent exchange is in flight.
	Done bool
	// steps holds the decisions for the request log.
	steps []event.Step
}

// gathers reports whether the answer is merged from the replies of several groups.
func (q *Request) gathers() bool { return len(q.Route.Gather) > 0 }

// mayHaveExecuted reports whether a backend server may have executed any part of the
// request.
func (q *Request) mayHaveExecuted() bool {
	for i := range q.Legs {
		if q.Legs[i].mayHaveExecuted() > 0 {
			return true
		}
	}
	return false
}

// maxSteps bounds the decisions that are logged per request.
const maxSteps = 256

// addStep records a decision for the request log.
func (q *Request) addStep(now time.Time, st event.Step) {
	if len(q.steps) < maxSteps {
		st.At = now.Sub(q.ArrivedAt)
		q.steps = append(q.steps, st)
	}
}

// Attempt is one exchange with one backend server. It exists until the exchange has
// ended, which may be after the request was answered.
type Attempt struct {
	ID     event.AttemptID
	Server *roster.Server
	Leg    int
	SentAt time.Time
	// BaselineLatency is the expected latency of a healthy server when the attempt was
	// sent.
	BaselineLatency time.Duration
	// Route is the name of the route whose service time the attempt is a sample of.
	Route    string
	Identity model.Identity
	// Restricted is set if only the servers of some regions may execute the request.
	Restricted bool
	// WasIsolated is set if the request was isolated when the attempt was sent.
	WasIsolated bool
	// NotExecuted is set once the server is known not to have executed the request.
	NotExecuted bool
	// Cancelled is set once the reply is no longer wanted.
	Cancelled bool
	// OverdueAt is when the attempt has taken far longer than expected. It is hedged then, or earlier
	// if others report the server.
	OverdueAt time.Time
	// Overdue is set once the attempt has taken far longer than expected.
	Overdue bool
	Ended   bool
}

// Counters counts events since the start of the instance.
type Counters struct {
	Arrived             uint64 `json:"requests-arrived"`
	AnsweredFull        uint64 `json:"requests-answered-full"`
	AnsweredPartial     uint64 `json:"requests-answered-partial"`
	Relayed             uint64 `json:"requests-relayed"`
	RelayedFailure      uint64 `json:"requests-relayed-failure"`
	RefusedNotRun       uint64 `json:"requests-refused-not-run"`
	RefusedUnknown      uint64 `json:"requests-refused-unknown"`
	CallersDisconnected uint64 `json:"requests-abandoned"`
	AttemptsFirst       uint64 `json:"exchanges-first"`
	AttemptsRetry       uint64 `json:"exchanges-retry"`
	AttemptsHedge       uint64 `json:"exchanges-hedge"`
	// HedgesDelayed counts how often a hedge waited because many legs of its request were late.
	HedgesDelayed   uint64 `json:"hedges-delayed"`
	BudgetExhausted uint64 `json:"retry-budget-exhausted"`
	// BudgetPeakPerMille is the largest part of the extra attempts that the settings allow for a group, in
	// 1/1000, that the sums of all instances have shown.
	BudgetPeakPerMille uint64 `json:"retry-budget-peak-per-mille"`
	EndedAnswered      uint64 `json:"exchanges-answered"`
	EndedRefused       uint64 `json:"exchanges-refused"`
	EndedNotSent       uint64 `json:"exchanges-not-sent"`
	EndedDied          uint64 `json:"exchanges-died"`
	EndedTimedOut      uint64 `json:"exchanges-timed-out"`
	EndedBad           uint64 `json:"exchanges-bad"`
	// Suspected and Condemned count the fingerprints that this instance found to have been
	// in flight at a crash, and those that it found to crash servers. Changes received
	// from peers are not counted.
	Suspected     uint64 `json:"crashing-requests-suspected"`
	Condemned     uint64 `json:"crashing-requests-condemned"`
	RefusedPoison uint64 `json:"requests-refused-poison"`
	// RefusedKey counts the requests without the key of a customer, and RefusedQuota those of
	// customers above their quotas.
	RefusedKey   uint64 `json:"requests-refused-unknown-key"`
	RefusedQuota uint64 `json:"requests-refused-quota"`
	// RefusedShed counts the requests that waited for capacity in vain, or were certain to.
	RefusedShed uint64 `json:"requests-refused-shed"`
	// ServersLeaving counts the servers that said that they leave, ServersAway how often one asked
	// to be left alone for a time, and NoticesInvalid the replies with an invalid form of either.
	ServersLeaving uint64 `json:"servers-leaving"`
	ServersAway    uint64 `json:"servers-away"`
	NoticesInvalid uint64 `json:"server-notices-invalid"`
	// ServersRestarting counts how often this instance found that a server refuses connections, so that
	// it is cold if it starts again.
	ServersRestarting uint64 `json:"servers-restarting"`
	// AttemptsRestricted counts the attempts of requests that only the servers of some regions may execute,
	// AttemptsMisdirected those of them at whose address another server answered, and AttemptsOutside
	// those to a region that the active routing table doesn't allow.
	AttemptsRestricted  uint64 `json:"exchanges-restricted"`
	AttemptsMisdirected uint64 `json:"exchanges-restricted-misdirected"`
	AttemptsOutside     uint64 `json:"exchanges-outside-regions"`
	// LimitsNamed counts how often a server began to name a rate limit or changed it, and
	// LimitsInvalid the replies with an invalid one. AttemptsLimited counts the attempts to
	// servers with a rate limit.
	LimitsNamed     uint64 `json:"rate-limits-named"`
	LimitsInvalid   uint64 `json:"rate-limits-invalid"`
	AttemptsLimited uint64 `json:"exchanges-rate-limited"`
}
