// Package event defines the interface between core and its surroundings: events are
// the inputs of core, commands its outputs, and messages are exchanged between
// instances. It holds types only. Package engine handles events and messages; the
// packages under io execute commands and transport messages.
//
// A fingerprint, which identifies the content of a request, is suspected when a
// server crashes while it executes such a request. A suspected request is then sent to
// one server at a time, in isolation from other suspected requests: an answer clears
// the fingerprint, another crash condemns it, and condemned requests are refused.
package event

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/model"
)

// QueryID identifies a query within one incarnation of an instance. IDs increase and
// are never reused.
type QueryID uint64

// AttemptID identifies one attempt of one leg. A leg is the part of a query that one
// group answers. The ID is unique over all instances and incarnations.
type AttemptID struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	Query       QueryID
	// Leg is the index of the group in the query's service.
	Leg int
	// Number counts the attempts of a query, starting at one.
	Number int
}

// String returns the form used in headers: instance/incarnation/query/leg/number.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d/%d", a.Instance, a.Incarnation, a.Query, a.Leg, a.Number)
}

// ParseAttemptID parses the form that String returns.
func ParseAttemptID(s string) (a AttemptID, err error) {
	defer func() { err = errors.Wrapf(err, "attempt ID %q", s) }()
	fields := strings.Split(s, "/")
	if len(fields) != 5 {
		return a, errors.New("want instance/incarnation/query/leg/number")
	}
	var numbers [4]uint64
	for i := range numbers {
		numbers[i], err = strconv.ParseUint(fields[i+1], 10, 63)
		if err != nil {
			return a, err
		}
	}
	return AttemptID{
		Instance: model.InstanceID(fields[0]), Incarnation: model.Incarnation(numbers[0]),
		Query: QueryID(numbers[1]), Leg: int(numbers[2]), Number: int(numbers[3]),
	}, nil
}

// Event reports to core that something happened outside core.
type Event interface{ isEvent() }

// Request is a caller's request to a declared service.
type Request struct {
	Service string
	// Class is the name of a class of the service; empty means the first class.
	Class string
	// Key is the routing key: the request goes to the one group that holds it. Empty
	// means all groups. A non-idempotent request must have a key.
	Key string
	// IdempotencyKey is the caller's identifier of a non-idempotent request.
	IdempotencyKey string
	// Body is passed to the backend servers unchanged.
	Body []byte
	// Timeout is the caller's time limit; zero means the deadline of the class.
	Timeout time.Duration
	// ReceivedAt is when the first byte of the request had arrived, as far as that is known; zero means
	// unknown. Timeout runs from there.
	ReceivedAt time.Time
}

// QueryArrived reports a new request.
type QueryArrived struct {
	Query   QueryID
	Request Request
}

// CallerDisconnected reports that the caller of a query no longer waits for it.
type CallerDisconnected struct{ Query QueryID }

// ResultKind states how an attempt ended.
type ResultKind int

// The results of an attempt.
const (
	// Answered is a complete reply to this attempt.
	Answered ResultKind = iota + 1
	// Refused is the server's statement that it did not execute the attempt.
	Refused
	// NotSent means that no byte of the attempt was written.
	NotSent
	// Died means that the connection broke after a byte was written and before
	// a complete reply arrived.
	Died
	// TimedOut means that no reply came in time.
	TimedOut
	// BadReply is a reply that is truncated, altered or that belongs to another
	// attempt or group.
	BadReply
)

// String returns the name used in counters.
func (k ResultKind) String() string {
	names := [...]string{"", "answered", "refused", "not-sent", "died", "timed-out", "bad-reply"}
	if k < Answered || k > BadReply {
		return "kind-" + strconv.Itoa(int(k))
	}
	return names[k]
}

// RefusalReason states why a server did not execute an attempt.
type RefusalReason string

// The reasons that servers give for a refusal.
const (
	RefusedShed     RefusalReason = "shed"
	RefusedDraining RefusalReason = "draining"
	RefusedSnapshot RefusalReason = "snapshot"
	RefusedEpoch    RefusalReason = "map-epoch"
	RefusedDeadline RefusalReason = "deadline"
	// RefusedOther means that another server answered at the address.
	RefusedOther RefusalReason = "other"
)

// ServerReport is the state of a server as reported by its reply or status endpoint.
type ServerReport struct {
	// Boot identifies one start of the server. Empty means not reported.
	Boot string
	// Draining is set by a server that is shutting down.
	Draining bool
	// Snapshots lists the index versions that the server can serve; nil means not reported.
	Snapshots []model.Snapshot
	// Epoch is the shard map that the server uses; zero means not reported.
	Epoch model.MapEpoch
}

// AttemptEnded reports the end of an attempt. Each SendAttempt gets exactly one.
type AttemptEnded struct {
	Attempt AttemptID
	Server  model.ServerID
	Kind    ResultKind
	// Reason is set when Kind is Refused.
	Reason RefusalReason
	// Body is the result when Kind is Answered.
	Body []byte
	// Snapshot and Epoch are the versions that the reply was computed from.
	Snapshot model.Snapshot
	Epoch    model.MapEpoch
	Report   ServerReport
}

// ConnectionLost reports that a backend server closed a connection. The server may
// have restarted.
type ConnectionLost struct {
	// Address is the address of the server.
	Address string
}

// StatusPolled reports the result of reading a server's status endpoint. The status
// may be outdated or wrong.
type StatusPolled struct {
	Server model.ServerID
	// Reached is false when the endpoint gave no answer.
	Reached bool
	// AskedAt is when the read began. The report may lack later changes.
	AskedAt time.Time
	Report  ServerReport
}

// ListedState is the state of a process according to the platform.
type ListedState string

// The states in the platform's list.
const (
	ListedLive    ListedState = "live"
	ListedLeaving ListedState = "leaving"
)

// ListedInstance is an instance in the platform's list.
type ListedInstance struct {
	ID model.InstanceID `json:"id"`
	// Address is the IP address and port of the control listener.
	Address    string      `json:"address"`
	DataCentre string      `json:"data-centre"`
	State      ListedState `json:"state"`
}

// ListedServer is a backend server in the platform's list.
type ListedServer struct {
	ID    model.ServerID `json:"id"`
	State ListedState    `json:"state"`
}

// PlatformListed reports the platform's list of processes, which lags behind.
type PlatformListed struct {
	Instances []ListedInstance
	Servers   []ListedServer
}

// StoreResult states how a store call ended.
type StoreResult int

// The results of a store call.
const (
	// StoreOK means success. A read of a missing key succeeds with Revision zero.
	StoreOK StoreResult = iota + 1
	// StoreConflict means that the revision had changed and nothing was written.
	StoreConflict
	// StoreUnknown means that no answer arrived: a write may or may not have taken
	// effect, and may still take effect later.
	StoreUnknown
)

// StoreDone reports the end of a StoreGet or StoreSwap.
type StoreDone struct {
	// Op is the Op of the command.
	Op     uint64
	Result StoreResult
	// Revision is the key's revision after the call; zero means no such key.
	Revision int64
	// Value is the value that was read; empty for a write.
	Value []byte
	// Era counts how often the store was restored from an older copy; zero if it counts none,
	// or didn't answer.
	Era uint64
}

// StoreReachability reports whether the store answered a call.
type StoreReachability struct {
	Reachable bool
	// CalledAt is when the call began. The answer may lack later changes.
	CalledAt time.Time
	// Era counts how often the store was restored from an older copy; zero if it counts none,
	// or didn't answer.
	Era uint64
}

// PeerLinked reports a new link to a peer.
type PeerLinked struct{ Peer model.Instance }

// PeerLost reports that the link to a peer ended.
type PeerLost struct {
	Peer        model.InstanceID
	Incarnation model.Incarnation
	// Cause is why the link ended, for logs; it may be empty.
	Cause string
}

// MessageReceived reports a message from a peer.
type MessageReceived struct {
	From    model.InstanceID
	Message Message
}

// RootReceived reports a configuration root from the store, a peer or an operator.
type RootReceived struct {
	Root conf.Root
	// From is the peer that sent the root, or "" for the store or an operator.
	From model.InstanceID
	// Stored is set if the store holds this root, at Revision; a zero Root and Revision mean that
	// it holds none.
	Stored   bool
	Revision int64
}

// PartReceived reports a document of the configuration.
type PartReceived struct {
	Digest conf.Digest
	Data   []byte
}

// ShutdownBegun reports that this instance must shut down gracefully.
type ShutdownBegun struct {
	// AnswerBy is the time by which every request must be answered, because the process ends
	// then; the zero time means that there is no such time.
	AnswerBy time.Time
}

func (QueryArrived) isEvent()       {}
func (CallerDisconnected) isEvent() {}
func (AttemptEnded) isEvent()       {}
func (ConnectionLost) isEvent()     {}
func (StatusPolled) isEvent()       {}
func (PlatformListed) isEvent()     {}
func (StoreDone) isEvent()          {}
func (StoreReachability) isEvent()  {}
func (PeerLinked) isEvent()         {}
func (PeerLost) isEvent()           {}
func (MessageReceived) isEvent()    {}
func (RootReceived) isEvent()       {}
func (PartReceived) isEvent()       {}
func (ShutdownBegun) isEvent()      {}
