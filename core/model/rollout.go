package model

import "time"

// RolloutOrder orders that the requests of a group are moved to its servers of one version.
type RolloutOrder struct {
	Group   string
	Version string
	// Duration is the time from the order to its deadline; above zero.
	Duration time.Duration
	// Revision is the revision of the directory at which the order was written. Of two orders for
	// a group the one with the higher revision counts.
	Revision uint64
}

// RolloutState is the state of a roll-out.
type RolloutState string

// The states of a roll-out. The last two are final.
const (
	RolloutRunning    RolloutState = "running"
	RolloutCompleted  RolloutState = "completed"
	RolloutRolledBack RolloutState = "rolled_back"
)

// RolloutStage is the stage of a roll-out. A roll-out only moves to higher stages.
type RolloutStage int

// The stages of a roll-out.
const (
	// StageNone means that nothing was decided yet: the target version gets no requests.
	StageNone RolloutStage = iota
	// StageProbe measures the rate of requests, with a small share for the target version.
	StageProbe
	// StageObserve collects evidence, with a share that depends on the rate.
	StageObserve
	// StageRaised shows how the target version behaves with a larger share.
	StageRaised
	// StageFull moves all requests to the target version.
	StageFull
	// StageDone means that the state is final.
	StageDone
)

// String returns the name used in logs and in the store.
func (s RolloutStage) String() string {
	names := [...]string{"none", "probe", "observe", "raised", "full", "done"}
	if s < 0 || int(s) >= len(names) {
		return "invalid"
	}
	return names[s]
}

// UnixMillis is a time in Unix milliseconds, the precision in which directories and messages hold it.
type UnixMillis int64

// MillisOf returns a time in Unix milliseconds.
func MillisOf(t time.Time) UnixMillis { return UnixMillis(t.UnixMilli()) }

// Time returns the time.
func (m UnixMillis) Time() time.Time { return time.UnixMilli(int64(m)).UTC() }

// RolloutStatus is the state of a group's last roll-out.
type RolloutStatus struct {
	Group   string       `cbor:"1,keyasint"`
	Version string       `cbor:"2,keyasint"`
	State   RolloutState `cbor:"3,keyasint"`
	Stage   RolloutStage `cbor:"4,keyasint"`
	// SharePerMille is the part of the requests that goes to servers with Version: 0 to 1000.
	SharePerMille int `cbor:"5,keyasint,omitempty"`
	// OrderRevision and Duration are those of the order that the roll-out follows.
	OrderRevision uint64        `cbor:"6,keyasint"`
	Duration      time.Duration `cbor:"7,keyasint"`
	// StartedAt and ChangedAt are when the order was first seen and when the stage was decided.
	StartedAt UnixMillis `cbor:"8,keyasint"`
	ChangedAt UnixMillis `cbor:"9,keyasint"`
	// Base is the version whose roll-out was completed before this one; empty if there was none.
	Base string `cbor:"10,keyasint,omitempty"`
	// Rejected lists versions of earlier roll-outs that must get no requests.
	Rejected []string `cbor:"11,keyasint,omitempty"`
	Reason   string   `cbor:"12,keyasint,omitempty"`
	// Old and New count the answers as of ChangedAt.
	Old AnswerCounts `cbor:"13,keyasint,omitempty"`
	New AnswerCounts `cbor:"14,keyasint,omitempty"`
	// Revision is the revision of the directory entry; zero if the status is not stored.
	Revision uint64 `cbor:"15,keyasint,omitempty"`
}

// Final reports whether the state is final.
func (s *RolloutStatus) Final() bool { return s.Stage == StageDone }

// AnswerCounts counts the answers of the servers of one version.
type AnswerCounts struct {
	Answers uint64 `cbor:"1,keyasint,omitempty"`
	Failed  uint64 `cbor:"2,keyasint,omitempty"`
	Slow    uint64 `cbor:"3,keyasint,omitempty"`
}

// Add returns the sum of two counts.
func (c AnswerCounts) Add(o AnswerCounts) AnswerCounts {
	return AnswerCounts{Answers: c.Answers + o.Answers, Failed: c.Failed + o.Failed, Slow: c.Slow + o.Slow}
}
