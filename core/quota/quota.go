// Package quota divides the rate limits that backend servers name among the instances. It
// holds the limit of each server as replies and peers report it, this instance's part of
// it, and the demand of all instances, by which the parts are computed. Package relay
// applies them to attempts, and package engine exchanges them between instances.
package quota

import (
	"math/rand/v2"
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
	// Unsent is set while the peers have not been told of the current state.
	Unsent bool
	// observedAt is the latest time for which the state is known.
	observedAt time.Time
	bucket     bucket
}

const (
	// usedFraction is the fraction of a limit that the instances use, because their parts add
	// up to one only as fast as their announcements spread.
	usedFraction = 0.9
	// probeRate is the number of requests per second that all instances together send to a
	// server that takes fewer, so that the end of its limit is noticed.
	probeRate = 0.25
)

// Rate returns the number of requests per second that an instance with the given part of the
// limit may send.
func (l *Limit) Rate(part float64) float64 {
	return part * max(usedFraction*l.PerSecond, probeRate)
}

// Wait returns how long it takes until this instance may send a request: zero if it may send one
// now. part is this instance's part of the limit.
func (l *Limit) Wait(now time.Time, part float64, r *rand.Rand) time.Duration {
	if !l.Active {
		return 0
	}
	l.bucket.refill(now, l.Rate(part), r)
	return l.bucket.wait(l.Rate(part))
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

// HandleReport records what a peer knew of the limit at a time. It reports whether the limit has
// changed.
func (l *Limit) HandleReport(now, observedAt time.Time, active bool, perSecond float64) (changed bool) {
	if !observedAt.After(l.observedAt) {
		return false
	}
	return l.set(now, observedAt, active, perSecond)
}

// ObservedAt returns the latest time for which the state is known.
func (l *Limit) ObservedAt() time.Time { return l.observedAt }

// set sets the state as of observedAt. It reports whether the state has changed.
func (l *Limit) set(now, observedAt time.Time, active bool, perSecond float64) (changed bool) {
	l.observedAt = observedAt
	if active == l.Active && perSecond == l.PerSecond {
		return false
	}
	if active && !l.Active {
		l.Since, l.Sent = now, 0
		l.bucket.reset(now)
	}
	l.Active, l.PerSecond, l.Unsent = active, perSecond, true
	return true
}

// RecordSent counts a request to the server.
func (l *Limit) RecordSent() {
	if l.Active {
		l.Sent++
		l.bucket.take()
	}
}
