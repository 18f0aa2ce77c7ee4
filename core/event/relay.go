package event

import (
	"time"

	"hyssoppitch/core/model"
)

// RoutedRequest is a request that is passed on to backend servers as it came. Its
// bytes stay with the package that read it, under the query's ID.
type RoutedRequest struct {
	Query QueryID
	// Name is the caller's name for the request, for logs.
	RequestID string
	Host      string
	// Path is without the query part.
	Path string
	// Patience is how long the caller waits; zero means that it did not say.
	CallerTimeout time.Duration
	// Fingerprint is the same for requests that differ in nothing but Name and Patience.
	Fingerprint model.Fingerprint
}

// Reply is the whole reply of one backend server to one exchange.
type Reply struct {
	Status int
	// Fields are the headers that are passed on with the reply.
	Fields []HeaderField
	// Stamp is the server's signature under its reply.
	Stamp string
	Body  []byte
}

// Field is one header of a reply.
type HeaderField struct{ Name, Value string }

// Success reports whether the reply has a success status.
func (r *Reply) Success() bool { return r.Status >= 200 && r.Status < 300 }

// SendExchange asks for a request to be passed on to one backend server.
type SendExchange struct {
	Attempt AttemptID
	// Name is the caller's name for the request.
	RequestID string
	Server    model.ServerID
	Address   string
	// Connections is the most connections that this instance opens to the server.
	Connections int
	// FreshConnection forbids a kept connection that has been idle for long: the
	// request can't be repeated.
	FreshConnection bool
	// Deadline is the time after which no reply is waited for.
	Deadline time.Time
}

// CancelExchange says that the reply of an exchange is no longer wanted.
type CancelExchange struct{ Attempt AttemptID }

// CheckServer asks whether a backend server takes connections. ServerChecked answers it.
type CheckServer struct {
	Server  model.ServerID
	Address string
	// Connections is the most connections that this instance opens to the server.
	Connections int
}

// ServerChecked says whether a backend server takes connections.
type ServerChecked struct {
	Server  model.ServerID
	Reached bool
	// Detail says why it was not reached.
	Detail string
}

// ExchangeEnded reports the end of an exchange. There is exactly one for each
// SendExchange.
type ExchangeEnded struct {
	Attempt AttemptID
	Server  model.ServerID
	// Kind is Answered for a whole reply that the server signed, whatever its status.
	Kind   ResultKind
	Reason RefusalReason
	// Reply is set when Kind is Answered.
	Reply *Reply
	// Detail says what went wrong, for logs.
	Detail string
}

// RoutedAnswer gives a routed request its answer. Exactly one of Relayed and
// Merged is set.
type RoutedAnswer struct {
	Query QueryID
	// Relayed is the reply that is passed on as it came.
	Relayed *Reply
	// Merged is set when the answer was merged from several parts.
	Merged *MergedAnswer
}

// MergedAnswer is an answer made of the parts of several groups.
type MergedAnswer struct {
	Stamps []string
	// Missing is the number of groups that are left out.
	Missing int
	Body    []byte
}

// RoutedRefusal gives a routed request an answer of this instance.
type RoutedRefusal struct {
	Query   QueryID
	Code    RefusalCode
	Outcome Outcome
	Detail  string
	// RetryAfter is when to try again; zero means that it would not help.
	RetryAfter time.Duration
}

// Step is one decision on a request.
type Step struct {
	// At is counted from the arrival of the request.
	At time.Duration
	// What names the decision.
	Decision string
	// Server and Group are set for decisions on one attempt.
	Server model.ServerID
	Group  string
	// Expected is the time to an answer that the decision was based on; zero when it
	// played no part.
	Expected time.Duration
	// Why gives the cause or the further inputs.
	Cause string
}

// RoutingInForce announces what callers may send from now on.
type SetCallerLimits struct{ Limits model.CallerLimits }

// RequestTold asks for log lines on a request that has ended.
type RequestLog struct {
	Query     QueryID
	RequestID string
	// Route and Version are those that the request was served by.
	Route   string
	Version uint64
	// Outcome is what the caller was told.
	Outcome string
	// Weight says how much the request matters to those who read logs.
	Severity LogSeverity
	// Elapsed is from the arrival to the answer.
	Elapsed time.Duration
	Steps   []Step
}

// LogWeight says how a request ended for its caller.
type LogSeverity int

// The weights of requests in logs.
const (
	// LogOrdinary requests were answered in full and in time.
	LogOrdinary LogSeverity = iota
	// LogImpaired requests were answered late or without some groups.
	LogImpaired
	// LogFailed requests got no answer.
	LogFailed
)

// DirectoryChange is one change of the directory. Exactly one field but Key is set;
// Key alone means that the entry is gone or can't be read.
type DirectoryChange struct {
	// Key identifies the entry.
	Key     string
	Routing *model.RoutingTable
	Server  *model.Registration
	// Evacuated is a data centre that is to get no work.
	Evacuated string
	// Problem says why the entry can't be read.
	Problem string
}

// DirectorySeen reports changes of the directory.
type DirectoryRead struct {
	Changes []DirectoryChange
	// Whole is set when Changes is all that the directory holds.
	Full bool
	// Revision is that of the directory after the changes.
	Revision uint64
	// KnownAt is a time at which the directory held just this.
	AsOf time.Time
}

// FollowDirectory says whether this instance reads the directory itself, and from
// which revision on; zero reads it whole.
type FollowDirectory struct {
	Active   bool
	Revision uint64
}

// DirectoryLost reports that the directory gave no answer.
type DirectoryUnreachable struct{ Cause string }

// RoutedArrived reports a routed request.
type RoutedArrived struct{ Request RoutedRequest }

// RoutedGone reports that nobody waits for a routed request any more.
type RoutedCallerDisconnected struct{ Query QueryID }

func (RoutedArrived) isEvent()            {}
func (RoutedCallerDisconnected) isEvent() {}
func (ExchangeEnded) isEvent()            {}
func (ServerChecked) isEvent()            {}
func (DirectoryRead) isEvent()            {}
func (DirectoryUnreachable) isEvent()     {}

func (SendExchange) isCommand()    {}
func (CancelExchange) isCommand()  {}
func (RoutedAnswer) isCommand()    {}
func (RoutedRefusal) isCommand()   {}
func (RequestLog) isCommand()      {}
func (CheckServer) isCommand()     {}
func (SetCallerLimits) isCommand() {}

func (FollowDirectory) isCommand() {}
