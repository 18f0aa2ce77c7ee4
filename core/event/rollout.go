package event

import "hyssoppitch/core/model"

// Rollouts carries decisions on running roll-outs, and the counts on which they are based. It is
// sent only while a roll-out is running.
type Rollouts struct {
	// Decided holds statuses that the directory may not show yet. They are passed on.
	Decided []model.RolloutStatus `cbor:"1,keyasint,omitempty"`
	// Reports holds the state of the roll-outs at the sender, or, from the collector of a data
	// centre to those of the others, the sums of its data centre.
	Reports []RolloutReport `cbor:"2,keyasint,omitempty"`
	// Sums is set if Reports holds the sums of a data centre.
	Sums bool `cbor:"3,keyasint,omitempty"`
	// Incarnation is that of the sender. Its counts start from zero with it.
	Incarnation model.Incarnation `cbor:"4,keyasint,omitempty"`
	// Era is the era of the directory whose revisions the message names.
	Era uint64 `cbor:"5,keyasint,omitempty"`
}

// RolloutReport is the state of one roll-out at one instance or data centre.
type RolloutReport struct {
	Group         string `cbor:"1,keyasint"`
	OrderRevision uint64 `cbor:"2,keyasint"`
	// Stage is the stage that the instance applies; of a data centre the lowest of them.
	Stage model.RolloutStage `cbor:"3,keyasint,omitempty"`
	// OldInFlight counts the exchanges in flight at servers of other versions.
	OldInFlight int `cbor:"4,keyasint,omitempty"`
	// Routes holds the answers since the beginning of the roll-out, by route.
	Routes []RolloutCounts `cbor:"5,keyasint,omitempty"`
	// Servers holds the answers of the servers with the target version, on all routes.
	Servers []ServerCounts `cbor:"6,keyasint,omitempty"`
}

// ServerCounts counts the answers of one server.
type ServerCounts struct {
	Server model.ServerID     `cbor:"1,keyasint"`
	Counts model.AnswerCounts `cbor:"2,keyasint"`
}

// RolloutCounts counts the answers on one route by the servers of the target version and by the
// others.
type RolloutCounts struct {
	Route string             `cbor:"1,keyasint"`
	Old   model.AnswerCounts `cbor:"2,keyasint,omitempty"`
	New   model.AnswerCounts `cbor:"3,keyasint,omitempty"`
}

// WriteRollout writes a status to the directory if the entry still has the given revision; zero
// means that there is no entry. RolloutWritten reports the result.
type WriteRollout struct {
	Status   model.RolloutStatus
	Expected uint64
}

// WriteResult is the result of a conditional write.
type WriteResult int

// The results of a conditional write.
const (
	// WriteDone means that the entry was written.
	WriteDone WriteResult = iota + 1
	// WriteConflict means that the entry has another revision.
	WriteConflict
	// WriteRefused means that nothing was done.
	WriteRefused
	// WriteUnknown means that the write may have taken effect, or may do so later.
	WriteUnknown
)

// String returns the name used in logs.
func (r WriteResult) String() string {
	names := [...]string{"", "done", "conflict", "refused", "unknown"}
	if r < WriteDone || int(r) >= len(names) {
		return "invalid"
	}
	return names[r]
}

// RolloutWritten reports the end of a WriteRollout.
type RolloutWritten struct {
	Group  string
	Result WriteResult
	// Status is the entry after the write: the written one, or after a conflict the other one;
	// nil after a conflict with no readable entry, or if the result is another one.
	Status *model.RolloutStatus
	// Era is the era of the reply; zero if there was none.
	Era uint64
	// Unreadable is the revision of an entry that can't be read, after a conflict with it.
	Unreadable uint64
	// Detail explains a failure.
	Detail string
}

func (RolloutWritten) isEvent() {}

func (WriteRollout) isCommand() {}
