package relay

import (
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

// LegState says how far a leg has come.
type LegState int

// The states of a leg.
const (
	// LegOpen: an attempt is in flight, or one will be sent.
	LegOpen LegState = iota
	// LegAnswered: Reply holds the group's answer.
	LegAnswered
	// LegMissing: no answer will come.
	LegMissing
)

// Leg is the part of a request that one group answers.
type Leg struct {
	Group string
	State LegState
	Reply *event.Reply
	// Sent lists the attempts, in order; Running counts those in flight.
	Sent    []*Attempt
	Running int
	// Rounds counts how often the leg waited for servers that all refused or were full.
	Rounds int
	// Unclear is the attempt that broke off, while it is found out whether its server crashed;
	// nil otherwise.
	Undetermined *Attempt
	// Failure is the last reply with which a server failed, or nil.
	Failure *event.Reply
}

// mayHaveRun counts the attempts that are not known not to have run.
func (l *Leg) mayHaveRun() (n int) {
	for _, a := range l.Sent {
		if !a.NotRun {
			n++
		}
	}
	return n
}

// tried reports whether an attempt of the leg went to a server.
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
	// Route and Version are those in force when the request arrived.
	Route     *model.Route
	Version   uint64
	ArrivedAt time.Time
	// AnswerBy is when the answer must go out.
	AnswerBy time.Time
	Legs     []Leg
	// Open counts the legs in LegOpen, and Answered those in LegAnswered.
	Open     int
	Answered int
	// Held counts how often the request waited for room before anything was sent.
	HoldCount int
	// Attempts numbers the attempts.
	AttemptCount int
	// Impatient is set once the route's target has passed: as soon as coverage is
	// enough, the answer goes out.
	TargetPassed bool
	// Trial is set while the request is tried on one server at a time, because it may crash
	// servers; OnTrial is the exchange in flight there, or nil.
	Isolated   bool
	IsolatedAttempt *Attempt
	// Done is set once the caller was answered. The row stays only while an exchange
	// that can't be repeated is in flight.
	Done  bool
	steps []event.Step
}

// gathers reports whether the answer is merged from several groups.
func (q *Request) gathers() bool { return len(q.Route.Gather) > 0 }

// mayHaveRun reports whether a backend server may have run any part of the request.
func (q *Request) mayHaveRun() bool {
	for i := range q.Legs {
		if q.Legs[i].mayHaveRun() > 0 {
			return true
		}
	}
	return false
}

// maxSteps bounds the decisions that are kept of a request for its log lines.
const maxSteps = 256

// note keeps a decision for the log lines of the request.
func (q *Request) addStep(now time.Time, st event.Step) {
	if len(q.steps) < maxSteps {
		st.At = now.Sub(q.ArrivedAt)
		q.steps = append(q.steps, st)
	}
}

// Attempt is one exchange with one backend server. The row lives until the exchange
// has ended, which may be after its request.
type Attempt struct {
	ID     event.AttemptID
	Server *roster.Server
	Leg    int
	SentAt time.Time
	// Usual is the time to an answer that a sound server was expected to take.
	BaselineLatency time.Duration
	// Route is the name of the route, for the pace.
	Route       string
	Fingerprint model.Fingerprint
	// Alone is set when the request was on trial as it was sent.
	Alone bool
	// NotRun is set once it is known that the server did not run the request.
	NotRun bool
	// Cancelled is set once the reply is no longer wanted.
	Cancelled bool
	// Overdue is set once the answer took far longer than expected.
	Overdue bool
	Ended   bool
}

// Counters counts what happened since the instance started.
type Counters struct {
	Arrived         uint64 `json:"requests-arrived"`
	AnsweredFull    uint64 `json:"requests-answered-full"`
	AnsweredPartial uint64 `json:"requests-answered-partial"`
	Relayed         uint64 `json:"requests-relayed"`
	RelayedFailure  uint64 `json:"requests-relayed-failure"`
	RefusedNotRun   uint64 `json:"requests-refused-not-run"`
	RefusedUnknown  uint64 `json:"requests-refused-unknown"`
	CallersDisconnected     uint64 `json:"requests-abandoned"`
	AttemptsFirst   uint64 `json:"exchanges-first"`
	AttemptsRetry   uint64 `json:"exchanges-retry"`
	AttemptsHedge   uint64 `json:"exchanges-hedge"`
	BudgetExhausted uint64 `json:"retry-budget-exhausted"`
	EndedAnswered   uint64 `json:"exchanges-answered"`
	EndedRefused    uint64 `json:"exchanges-refused"`
	EndedNotSent    uint64 `json:"exchanges-not-sent"`
	EndedDied       uint64 `json:"exchanges-died"`
	EndedTimedOut   uint64 `json:"exchanges-timed-out"`
	EndedBad        uint64 `json:"exchanges-bad"`
	// Suspected and Condemned count the requests of which this instance found out that a
	// server crashed with them in flight, or that they crash servers.
	Suspected     uint64 `json:"crashing-requests-suspected"`
	Condemned     uint64 `json:"crashing-requests-condemned"`
	RefusedPoison uint64 `json:"requests-refused-poison"`
}
