// Package event owns the vocabulary between the decisions in core and the world:
// events go in, commands come out, and peer messages travel between instances.
// It holds types only; who acts on them is left to package engine, and how they
// reach a socket to the packages under io.
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

// QueryID names a query within one life of an instance. IDs rise and are never
// used twice.
type QueryID uint64

// AttemptID names one attempt of one leg. It is unique over all instances and
// their lives.
type AttemptID struct {
	Instance    model.InstanceID
	Incarnation model.Incarnation
	Query       QueryID
	// Leg is the index of the group in the query's service.
	Leg int
	// Number counts the attempts of a query from one.
	Number int
}

// String returns the identity as it travels in a header.
func (a AttemptID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d/%d", a.Instance, a.Incarnation, a.Query, a.Leg, a.Number)
}

// ParseAttemptID reads the form that String writes.
func ParseAttemptID(s string) (a AttemptID, err error) {
	defer func() { err = errors.Wrapf(err, "attempt identity %q", s) }()
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

// Event is something that happened outside core.
type Event interface{ isEvent() }

// Request is what a caller asks.
type Request struct {
	Service string
	// Class is a class of the service; empty means its first.
	Class string
	// Key routes the request to the one group that holds it. Empty means all
	// groups; a non-idempotent request needs a key.
	Key string
	// IdempotencyKey is the caller's name for a non-idempotent request.
	IdempotencyKey string
	// Body is passed to the backend servers as it is.
	Body []byte
	// Timeout is the caller's deadline; zero means the class's.
	Timeout time.Duration
}

// QueryArrived reports a new request.
type QueryArrived struct {
	Query   QueryID
	Request Request
}

// CallerGone reports that nobody waits for a query any more.
type CallerDisconnected struct{ Query QueryID }

// ResultKind says how an attempt ended.
type ResultKind int

// The ways in which an attempt ends.
const (
	// Answered is a whole reply to this very attempt.
	Answered ResultKind = iota + 1
	// Refused is the server's word that it did not run the attempt.
	Refused
	// NotSent means that no byte of the attempt was written.
	NotSent
	// Died means that the connection broke after a byte was written and before
	// a whole reply arrived.
	Died
	// TimedOut means that no reply came in time.
	TimedOut
	// BadReply is a reply that is truncated, altered or meant for another
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

// RefusalReason is a server's reason not to run an attempt.
type RefusalReason string

// The reasons that servers give.
const (
	RefusedShed     RefusalReason = "shed"
	RefusedDraining RefusalReason = "draining"
	RefusedSnapshot RefusalReason = "snapshot"
	RefusedEpoch    RefusalReason = "map-epoch"
	RefusedDeadline RefusalReason = "deadline"
	RefusedOther    RefusalReason = "other"
)

// ServerReport is what a reply or a status says of the server that sent it.
type ServerReport struct {
	// Boot changes with each start of the server. Empty means not told.
	Boot string
	// Draining is set by a server that is leaving.
	Draining bool
	// Snapshots lists the index versions it can serve; nil means not told.
	Snapshots []model.Snapshot
	// Epoch is the shard map it serves; zero means not told.
	Epoch model.MapEpoch
}

// AttemptEnded reports the end of an attempt. There is exactly one for each
// SendAttempt.
type AttemptEnded struct {
	Attempt AttemptID
	Server  model.ServerID
	Kind    ResultKind
	// Reason is set when Kind is Refused.
	Reason RefusalReason
	// Body is the whole result when Kind is Answered.
	Body []byte
	// Snapshot and Epoch are those that the reply was computed from.
	Snapshot model.Snapshot
	Epoch    model.MapEpoch
	Report   ServerReport
}

// ConnectionLost reports that a backend server closed a connection: it may have
// restarted.
type ConnectionLost struct {
	// Address is that of the server.
	Address string
}

// StatusSeen reports what a server's status endpoint says. It may lag or mislead.
type StatusPolled struct {
	Server model.ServerID
	// Reached is false when the endpoint gave no answer.
	Reached bool
	// AskedAt is when the read began: what happened since may be missing from it.
	AskedAt time.Time
	Report  ServerReport
}

// ListedState is the platform's word on a process.
type ListedState string

// The states in the platform's list.
const (
	ListedLive    ListedState = "live"
	ListedLeaving ListedState = "leaving"
)

// ListedInstance is an instance in the platform's list.
type ListedInstance struct {
	ID model.InstanceID `json:"id"`
	// Address is the IP number and port of the control listener.
	Address    string      `json:"address"`
	DataCentre string      `json:"data-centre"`
	State      ListedState `json:"state"`
}

// ListedServer is a backend server in the platform's list.
type ListedServer struct {
	ID    model.ServerID `json:"id"`
	State ListedState    `json:"state"`
}

// PlatformListed reports the platform's lagging list of processes.
type PlatformListed struct {
	Instances []ListedInstance
	Servers   []ListedServer
}

// StoreResult says how a store call ended.
type StoreResult int

// The ways in which a store call ends.
const (
	// StoreOK is success; for a read of a missing key Revision is zero.
	StoreOK StoreResult = iota + 1
	// StoreConflict means that the revision had changed: nothing was written.
	StoreConflict
	// StoreUnknown means that no answer came: a write may or may not have taken
	// effect, or may still.
	StoreUnknown
)

// StoreDone reports the end of a StoreGet or StoreSwap.
type StoreDone struct {
	// Op is that of the command.
	Op     uint64
	Result StoreResult
	// Revision is the key's revision after the call; zero means no such key.
	Revision int64
	// Value is the value read; empty for a write.
	Value []byte
}

// StoreSeen reports that the store answered a call or went silent.
type StoreReachability struct {
	Reachable bool
	// CalledAt is when the call began: what the store knew later may be missing
	// from its answer.
	CalledAt time.Time
}

// PeerLinked reports a new link to a peer.
type PeerLinked struct{ Peer model.Instance }

// PeerLost reports that the link to a peer ended.
type PeerLost struct {
	Peer        model.InstanceID
	Incarnation model.Incarnation
}

// PeerReceived reports a message from a peer.
type MessageReceived struct {
	From    model.InstanceID
	Message Message
}

// RootSeen reports a configuration root, from the store, a peer or an operator.
type RootReceived struct {
	Root conf.Root
	// From is the peer that sent it, or "" for the store or an operator.
	From model.InstanceID
}

// PartSeen reports a document of the configuration.
type PartReceived struct {
	Digest conf.Digest
	Data   []byte
}

// ShutdownBegun reports that this instance is to leave.
type ShutdownBegun struct{}

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
