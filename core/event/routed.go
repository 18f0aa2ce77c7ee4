package event

import (
	"cmp"
	"fmt"
	"time"

	"hyssoppitch/core/model"
)

// RoutedRequest is a request that is relayed to backend servers unchanged. Its bytes
// stay with the package that read it, under the query's ID.
type RoutedRequest struct {
	Query QueryID
	// RequestID is the caller's identifier of the request, for logs.
	RequestID string
	Host      string
	// Path excludes the query string.
	Path string
	// CallerTimeout is how long the caller waits; zero means not stated.
	CallerTimeout time.Duration
	// ReceivedAt is when the first byte of the request had arrived at the machine, and CompleteAt when the
	// whole request had, as far as that is known. Zero means unknown.
	ReceivedAt, CompleteAt time.Time
	// NetworkTime is how much of the caller's waiting time passes in the network: the setup
	// of a new connection and the transfer of the request and its answer. Zero means that
	// it is unknown.
	NetworkTime time.Duration
	// Fingerprint is the same for requests that differ only in headers. Traits are the headers
	// other than RequestID, CallerTimeout, the key and the customer's name.
	Fingerprint model.Fingerprint
	Traits      model.Traits
	// Key is the digest of the key that the request carries; zero if it carries none or several.
	Key model.KeyDigest
}

// Identity returns what the request is recognized by when it comes again.
func (r *RoutedRequest) Identity() model.Identity {
	return model.Identity{Fingerprint: r.Fingerprint, Traits: r.Traits}
}

// Reply is the complete reply of one backend server to one exchange.
type Reply struct {
	Status int
	// Fields are the header fields that are relayed with the reply.
	Fields []HeaderField
	// Stamp is the server's signature of its reply.
	Stamp string
	Body  []byte
}

// HeaderField is one header field of a reply.
type HeaderField struct{ Name, Value string }

// Success reports whether the reply has a success status.
func (r *Reply) Success() bool { return r.Status >= 200 && r.Status < 300 }

// SendExchange relays a request to one backend server.
type SendExchange struct {
	Attempt AttemptID
	// RequestID is the caller's identifier of the request.
	RequestID string
	Server    model.ServerID
	Address   string
	// Connections is the maximum number of connections that this instance opens to the
	// server.
	Connections int
	// FreshConnection forbids the use of a connection that has been idle for long. The
	// server may have closed it, and the request can't be repeated.
	FreshConnection bool
	// Deadline is the time after which the reply is no longer awaited.
	Deadline time.Time
	// NetworkTime is how much of the time until then passes before the request reaches the server and
	// after its reply has left, at least. The server isn't told of it.
	NetworkTime time.Duration
	// HasCustomers is set if the request's routing table has customers. The server then gets
	// Customer, the name of the request's customer, and neither the key nor what the caller sent as
	// the name. Customer is empty for a public request without a customer.
	HasCustomers bool
	Customer     string
}

// CancelExchange cancels an exchange whose reply is no longer needed.
type CancelExchange struct{ Attempt AttemptID }

// CheckServer tests whether a backend server accepts connections. ServerChecked reports
// the result.
type CheckServer struct {
	// Number identifies the check. A server may be registered again, with another address, while a
	// check of its former one is pending.
	Number  uint64
	Server  model.ServerID
	Address string
	// Connections is the maximum number of connections that this instance opens to the
	// server.
	Connections int
}

// ServerChecked reports whether a backend server accepts connections. Each CheckServer gets exactly one.
type ServerChecked struct {
	// Number is that of the check.
	Number  uint64
	Server  model.ServerID
	Reached bool
	// ConnectedAt is when the server was found to accept connections; zero if it was not reached.
	ConnectedAt time.Time
	// ConnectionRefused is set if no process listens at the server's address.
	ConnectionRefused bool
	// Detail explains why the server was not reached.
	Detail string
}

// ExchangeEnded reports the end of an exchange. Each SendExchange gets exactly one.
type ExchangeEnded struct {
	Attempt AttemptID
	Server  model.ServerID
	// Kind is Answered for a complete reply that the server signed, whatever its status.
	Kind   ResultKind
	Reason RefusalReason
	// Reply is set when Kind is Answered.
	Reply *Reply
	// Limit is what the reply says about the server's rate limit. It is set when Kind is
	// Answered, or Refused by the server itself.
	Limit RateLimit
	// Notice is what the reply says about the server's availability. It is set as Limit is.
	Notice Notice
	// Use tells which connection carried the exchange.
	Use ConnectionUse
	// ConnectionRefused is set if Kind is NotSent since no process listens at the server's address.
	ConnectionRefused bool
	// Detail describes a failure, for logs.
	Detail string
}

// ConnectionUse is the use of a connection by one exchange, for logs.
type ConnectionUse struct {
	// Connection numbers the connections to backend servers that the instance has opened, from one;
	// zero if the exchange got none.
	Connection uint64
	// Exchange numbers the exchanges on the connection, from one.
	Exchange int
	// Connect is the time that it took to get the connection.
	Connect time.Duration
	// TimeLeft is the time for an answer that the request names to the server; zero if none was written.
	TimeLeft time.Duration
	// FirstByte is the time from the start of the exchange's write to the first byte of the reply, or
	// to the failure of the connection.
	FirstByte time.Duration
}

// Notice is what a server says in a reply about its availability to this instance.
type Notice struct {
	// Leaving is set if the server leaves: it wants no further requests.
	Leaving bool
	// Away is how long the server, which has turned the request away, wants no further requests;
	// zero if it doesn't say.
	Away time.Duration
	// Problem explains why a part of the notice is invalid; empty if all of it is valid. An
	// invalid part is passed over.
	Problem string
}

// RateLimit is the rate limit that a server names in a reply. The zero value means that the
// reply names none.
type RateLimit struct {
	// Named is set if the reply names a valid limit.
	Named bool
	// PerSecond is the number of requests per second that the server takes from all
	// instances together: zero or more.
	PerSecond float64
	// Problem explains why the named limit is invalid; empty if it is valid.
	Problem string
}

// RoutedAnswer returns an answer to the caller of a routed request. Exactly one of
// Relayed and Merged is set.
type RoutedAnswer struct {
	Query QueryID
	// Relayed is a server's reply, relayed unchanged.
	Relayed *Reply
	// Merged is an answer merged from the parts of several groups.
	Merged *MergedAnswer
}

// MergedAnswer is an answer merged from the parts of several groups.
type MergedAnswer struct {
	// Stamps holds the signatures of the replies that were merged.
	Stamps []string
	// Missing is the number of groups that are missing from the answer.
	Missing int
	Body    []byte
}

// RoutedRefusal returns a refusal by this instance to the caller of a routed request.
type RoutedRefusal struct {
	Query   QueryID
	Code    RefusalCode
	Outcome Outcome
	Detail  string
	// RetryAfter is the delay after which to retry; zero means that a retry would not
	// help.
	RetryAfter time.Duration
}

// Step records one decision on a request, for the request log.
type Step struct {
	// At is the time since the arrival of the request.
	At time.Duration
	// Decision names the decision.
	Decision string
	// Server and Group are set for decisions on one attempt. DataCentre is that of the server of an
	// attempt that is sent.
	Server     model.ServerID
	Group      string
	DataCentre string
	// Expected is the expected latency that the decision was based on; zero if the
	// decision did not depend on it.
	Expected time.Duration
	// Use tells which connection carried an exchange that has ended.
	Use ConnectionUse
	// Cause explains the decision or gives its other inputs.
	Cause string
}

// SetCallerLimits sets the limits on what callers may send from now on.
type SetCallerLimits struct{ Limits model.CallerLimits }

// RequestLog logs a request that has ended, with the decisions on it.
type RequestLog struct {
	Query     QueryID
	RequestID string
	// Route and Version are the route and the routing table that applied.
	Route   string
	Version uint64
	// Customer is the name of the request's customer, or empty.
	Customer string
	// Outcome is the outcome that was reported to the caller.
	Outcome string
	// Severity classifies how the request ended for its caller.
	Severity LogSeverity
	// Elapsed is the time from the arrival to the answer.
	Elapsed time.Duration
	// Queued is the time from the first byte of the request to its handling by the engine, and NetworkTime
	// that of the request.
	Queued, NetworkTime time.Duration
	Steps               []Step
}

// LogSeverity is the importance of a request in logs, by how it ended for its caller.
type LogSeverity int

// The severities of requests in logs.
const (
	// LogOrdinary requests were answered in full and in time.
	LogOrdinary LogSeverity = iota
	// LogImpaired requests were answered late, or with groups missing.
	LogImpaired
	// LogFailed requests got no answer.
	LogFailed
	// LogRejected requests were refused because of their key or the customer's quota. One customer
	// can cause any number of them, so they don't count as LogFailed.
	LogRejected
)

// DirectoryChange is one change of the directory. At most one field besides Key is set;
// Key alone means that the entry was removed or can't be read.
type DirectoryChange struct {
	// Key identifies the entry.
	Key     string
	Routing *model.RoutingTable
	Server  *model.Registration
	// Evacuated is a data centre that must get no requests.
	Evacuated string
	// Problem explains why the entry can't be read.
	Problem string
	// Order and Rollout are an operator's order of a roll-out and the status of one.
	Order   *model.RolloutOrder  `cbor:",omitempty" json:",omitempty"`
	Rollout *model.RolloutStatus `cbor:",omitempty" json:",omitempty"`
}

// Position identifies a state of the directory. The zero value stands for none.
type Position struct {
	// Era counts how often the directory was restored from an older copy; zero if it doesn't
	// say. After that, the revisions since the copy are given out again.
	Era uint64
	// Revision increases with each change within an era.
	Revision uint64
}

// Compare compares positions: by era, and within an era by revision.
func (p Position) Compare(o Position) int {
	return cmp.Or(cmp.Compare(p.Era, o.Era), cmp.Compare(p.Revision, o.Revision))
}

// After reports whether p is later than o.
func (p Position) After(o Position) bool { return p.Compare(o) > 0 }

// String returns the form used in logs.
func (p Position) String() string { return fmt.Sprintf("revision %d of era %d", p.Revision, p.Era) }

// DirectoryRead reports changes of the directory.
type DirectoryRead struct {
	Changes []DirectoryChange
	// Full is set when Changes is the full content of the directory.
	Full bool
	// Position is the state of the directory after the changes.
	Position
	// AsOf is a time at which the directory had this content.
	AsOf time.Time
}

// FollowDirectory starts or stops reading the directory on this instance. Reading
// continues from Position; the zero value reads the full directory.
type FollowDirectory struct {
	Active bool
	Position
	// MaxRetryDelay limits the delay before a failed call is repeated.
	MaxRetryDelay time.Duration
}

// DirectoryUnreachable reports that the directory gave no answer.
type DirectoryUnreachable struct{ Cause string }

// RoutedArrived reports a routed request.
type RoutedArrived struct{ Request RoutedRequest }

// RoutedCallerDisconnected reports that the caller of a routed request no longer waits
// for it.
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
