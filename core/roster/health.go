package roster

import (
	"math"
	"time"
)

const (
	// factorWeight is the weight of a sample in the slowness estimate.
	slownessWeight = 0.3
	// maxFactor bounds the slowness estimate and a single sample of it.
	maxSlowness = 20
	// failureWeight is the weight of one outcome in the failure estimate.
	failureWeight = 0.15
	// forgetHalf is the time in which an unrefreshed estimate loses half of its
	// distance from that of a sound server, so that a server which got better is
	// tried again.
	estimateHalfLife = 1500 * time.Millisecond
	// pauseLength is how long a server with an overdue attempt is passed over: the
	// usual length of a pause.
	pauseDuration = 200 * time.Millisecond
	// stallWindow is the time from the end of a stall in which another one shows that the
	// server is slow; pauses come seconds apart.
	stallWindow = 3 * time.Second
	// firstBackoff and lastBackoff bound the wait before a server that could not be
	// reached is tried again.
	minBackoff = 200 * time.Millisecond
	maxBackoff  = 800 * time.Millisecond
)

// Health is what this instance has measured of a server.
type Health struct {
	// InFlight counts exchanges that have not ended. Never negative.
	InFlight int
	// Trials counts those of requests that may crash the server. Never negative.
	IsolatedAttempts int
	// PausedUntil is set while an attempt at the server is overdue.
	PausedUntil time.Time
	// DownUntil and Backoff space the tries to reach a server that gave no connection.
	DownUntil time.Time
	Backoff   time.Duration

	// stalledAt is when the last stall ended, and stalled is set until an answer comes in
	// time.
	stalledAt time.Time
	stalled   bool
	// factor is how much slower than its peers the server answers, and failing the
	// fraction of exchanges that it fails or refuses, both as of measuredAt.
	slowness     float64
	failureRate    float64
	measuredAt time.Time
	// broken lists the exchanges that broke off lately, in order, until it is known
	// whether the server had crashed.
	broken []Broken
}

// decay returns the part of an estimate that is left at a time.
func (h *Health) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(h.measuredAt)) / float64(estimateHalfLife))
}

// Factor returns how much slower than its peers the server answers; 1 is usual.
func (h *Health) Slowness(now time.Time) float64 {
	if h.slowness == 0 {
		return 1
	}
	return 1 + (h.slowness-1)*h.decay(now)
}

// Measured returns the slowness as it was last measured, however long ago.
func (h *Health) LastSlowness() float64 { return max(h.slowness, 1) }

// Failing returns the fraction of exchanges that the server fails or refuses.
func (h *Health) FailureRate(now time.Time) float64 { return h.failureRate * h.decay(now) }

// settle brings both estimates up to a time.
func (h *Health) decayTo(now time.Time) {
	h.slowness, h.failureRate = h.Slowness(now), h.FailureRate(now)
	h.measuredAt = now
}

// Answered records an answer to what was sent at a time, which took a multiple of the
// usual time; overdue says that it took far longer than expected. An isolated stall says
// nothing of the next answers and leaves the estimate as it is: it takes two in a row,
// within stallWindow, to show that the server is slow.
func (h *Health) Answered(now, sentAt time.Time, multiple float64, overdue bool) {
	h.PausedUntil = time.Time{}
	h.DownUntil, h.Backoff = time.Time{}, 0
	h.dropSurvived(sentAt)
	if overdue && !h.recordStall(now, sentAt) {
		return
	}
	h.stalled = overdue
	h.decayTo(now)
	h.slowness += slownessWeight * (min(multiple, maxSlowness) - h.slowness)
	h.failureRate -= failureWeight * h.failureRate
}

// stalledAgain notes that an answer was overdue, and reports whether the answer before it
// was so too.
func (h *Health) recordStall(now, sentAt time.Time) bool {
	if sentAt.Before(h.stalledAt) {
		// What was in flight during one stall ends with it.
		return false
	}
	again := h.stalled && sentAt.Sub(h.stalledAt) < stallWindow
	h.stalled, h.stalledAt = true, now
	return again
}

// AtLeast records that an answer to what was sent at a time, which will not be waited for,
// would have taken at least a multiple of the usual time.
func (h *Health) LowerBound(now, sentAt time.Time, multiple float64) {
	if multiple <= h.Slowness(now) || !h.recordStall(now, sentAt) {
		return
	}
	h.decayTo(now)
	h.slowness += slownessWeight * (min(multiple, maxSlowness) - h.slowness)
}

// Failed records a failure or a refusal.
func (h *Health) Failed(now time.Time) {
	h.decayTo(now)
	h.failureRate += failureWeight * (1 - h.failureRate)
}

// Overdue passes the server over for the length of a pause.
func (h *Health) Overdue(now time.Time) { h.PausedUntil = now.Add(pauseDuration) }

// Unreached records that no connection could be had.
func (h *Health) Unreached(now time.Time) {
	h.Backoff = min(max(2*h.Backoff, minBackoff), maxBackoff)
	h.DownUntil = now.Add(h.Backoff)
}
