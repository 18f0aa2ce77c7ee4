package roster

import (
	"math"
	"time"

	"hyssoppitch/core/quota"
)

const (
	// slownessWeight is the weight of a sample in the slowness estimate.
	slownessWeight = 0.3
	// maxSlowness limits each sample of the slowness estimate, and so the estimate.
	maxSlowness = 20
	// failureWeight is the weight of one outcome in the failure rate.
	failureWeight = 0.15
	// estimateHalfLife is the time in which an estimate without new samples loses half of
	// its distance from that of a healthy server, so that a server that has recovered is
	// tried again.
	estimateHalfLife = 1500 * time.Millisecond
	// pauseDuration is the time for which a server with an overdue attempt is avoided: the
	// typical duration of a pause.
	pauseDuration = 200 * time.Millisecond
	// stallWindow is the time after a stall within which a second stall shows that the
	// server is slow. Pauses of a healthy server are seconds apart.
	stallWindow = 3 * time.Second
	// minBackoff and maxBackoff limit the delay before an unreachable server is tried
	// again.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 800 * time.Millisecond
)

// Health is the health of a server as measured by this instance.
type Health struct {
	// InFlight counts the exchanges that have not ended. It is never negative.
	InFlight int
	// IsolatedAttempts counts those of InFlight that belong to isolated requests, which may
	// crash the server. It is never negative.
	IsolatedAttempts int
	// PausedUntil is set by an overdue attempt and cleared by an answer. Until then the
	// server is avoided.
	PausedUntil time.Time
	// DownUntil is the time before which an unreachable server is not tried again, and
	// Backoff the last delay.
	DownUntil time.Time
	Backoff   time.Duration
	// ColdNextAt is when this instance may send the next request to the server while it is
	// cold; zero if that is not determined yet.
	ColdNextAt time.Time

	// awayUntil is the time until which the server wants no requests of this instance, by its own
	// word. returning is set from then until it has answered a request.
	awayUntil time.Time
	returning bool

	// GoodAt is when the last answer in time arrived, and GoodSentAt when its request was sent. BadAt
	// is when an attempt was last found overdue, slow or failed.
	GoodAt, GoodSentAt, BadAt time.Time
	// DelayedAt is when a slow answer ended that a pause may explain; zero if there was none lately.
	DelayedAt time.Time

	// Limit is the rate limit that the server names.
	Limit quota.Limit

	// stalledAt is when the last stall ended. stalled is set from then until an answer
	// arrives in time.
	stalledAt time.Time
	stalled   bool
	// slowness is the ratio of the server's latency to the baseline latency, and
	// failureRate the fraction of exchanges that it fails or refuses, both as of
	// measuredAt.
	slowness    float64
	failureRate float64
	measuredAt  time.Time
	// broken lists the recently broken exchanges in order, until it is known whether the
	// server had crashed.
	broken []Broken
}

// decay returns the fraction of an estimate's distance from that of a healthy server that
// remains at the given time.
func (h *Health) decay(now time.Time) float64 {
	return math.Exp2(-float64(now.Sub(h.measuredAt)) / float64(estimateHalfLife))
}

// Slowness returns the ratio of the server's latency to the baseline latency, decayed to
// the given time; 1 is that of a healthy server.
func (h *Health) Slowness(now time.Time) float64 {
	if h.slowness == 0 {
		return 1
	}
	return 1 + (h.slowness-1)*h.decay(now)
}

// LastSlowness returns the slowness as last measured, without decay.
func (h *Health) LastSlowness() float64 { return max(h.slowness, 1) }

// FailureRate returns the fraction of exchanges that the server fails or refuses, decayed
// to the given time.
func (h *Health) FailureRate(now time.Time) float64 { return h.failureRate * h.decay(now) }

// decayTo decays both estimates to the given time.
func (h *Health) decayTo(now time.Time) {
	h.slowness, h.failureRate = h.Slowness(now), h.FailureRate(now)
	h.measuredAt = now
}

// Answered records the answer to a request that was sent at sentAt. multiple is its latency
// as a multiple of the baseline latency; overdue is set if it took far longer than
// expected. A single stall doesn't predict the latency of later answers and leaves the
// slowness estimate unchanged: only two consecutive stalls within stallWindow show that the
// server is slow.
func (h *Health) Answered(now, sentAt time.Time, multiple float64, overdue bool) {
	h.PausedUntil = time.Time{}
	h.DownUntil, h.Backoff = time.Time{}, 0
	h.returned(sentAt)
	h.dropSurvived(sentAt)
	if overdue && !h.recordStall(now, sentAt) {
		return
	}
	h.stalled = overdue
	h.decayTo(now)
	h.slowness += slownessWeight * (min(multiple, maxSlowness) - h.slowness)
	h.failureRate -= failureWeight * h.failureRate
}

// recordStall records that the answer to a request that was sent at sentAt was overdue. It
// reports whether this is the second of two consecutive stalls.
func (h *Health) recordStall(now, sentAt time.Time) bool {
	if sentAt.Before(h.stalledAt) {
		// The request was in flight during the last stall and belongs to it.
		return false
	}
	again := h.stalled && sentAt.Sub(h.stalledAt) < stallWindow
	h.stalled, h.stalledAt = true, now
	return again
}

// TimedOut records that a request that was sent at sentAt timed out or was cancelled, so
// that its latency would have been at least the given multiple of the baseline latency.
func (h *Health) TimedOut(now, sentAt time.Time, multiple float64) {
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

// Overdue records that an attempt is overdue. The server is avoided for pauseDuration.
func (h *Health) Overdue(now time.Time) { h.PausedUntil = now.Add(pauseDuration) }

// Unreached records that no connection could be established.
func (h *Health) Unreached(now time.Time) {
	h.Backoff = min(max(2*h.Backoff, minBackoff), maxBackoff)
	h.DownUntil = now.Add(h.Backoff)
}
