// Package quota divides the rate limits that backend servers name among the instances. It
// holds the limit of each server as replies and peers report it, this instance's part of
// it, and the demand of all instances, by which the parts are computed. Package relay
// applies them to attempts, and package engine exchanges them between instances.
package quota

import (
	"time"

	"hyssoppitch/core/event"
)

// Limit is the rate limit of one incarnation of a server as this instance knows it.
type Limit struct {
	// Active is set while the server names a limit. PerSecond is its last value, in requests
	// per second from all instances together; it is zero or more.
	Active    bool
	PerSecond float64
	// Since is when the limit became active, and Sent counts the requests that this instance
	// has sent to the server since then.
	Since time.Time
	Sent  int
	// ReportedAt is when the limit was last logged.
	ReportedAt time.Time
	// observedAt is the latest time for which the state is known.
	observedAt time.Time
}

// HandleReply records what a reply says about the limit. named is the limit that the reply
// names, if any, and sentAt is when its request was sent. It reports whether the limit has
// changed.
func (l *Limit) HandleReply(now, sentAt time.Time, named event.RateLimit) (changed bool) {
	switch {
	case named.Problem != "":
		return false
	case named.Named:
		return l.set(now, now, true, named.PerSecond)
	case sentAt.Before(l.observedAt):
		// The reply may be older than the limit.
		return false
	default:
		return l.set(now, sentAt, false, 0)
	}
}

// set sets the state as of observedAt. It reports whether the state has changed.
func (l *Limit) set(now, observedAt time.Time, active bool, perSecond float64) (changed bool) {
	l.observedAt = observedAt
	if active == l.Active && perSecond == l.PerSecond {
		return false
	}
	if active && !l.Active {
		l.Since, l.Sent = now, 0
	}
	l.Active, l.PerSecond = active, perSecond
	return true
}

// RecordSent counts a request to the server.
func (l *Limit) RecordSent() {
	if l.Active {
		l.Sent++
	}
}
