package quota

import (
	"math"
	"math/rand/v2"
	"time"
)

const (
	// savedTime is the time for which an instance saves up its part of a limit while it sends
	// nothing.
	savedTime = time.Second
	// drawInterval is the time for which one draw of bucket.threshold holds.
	drawInterval = 2 * time.Second
)

// bucket is a token bucket with one token per request. The instances' buckets must not save up
// more than the server takes, however many instances there are. A bucket that gets less than one
// token per drawInterval therefore holds a fraction of one only, and yields one request per
// drawInterval with that probability.
type bucket struct {
	tokens   float64
	filledAt time.Time
	// threshold is the number of tokens that a request needs. It is 1 if the bucket holds a whole
	// token. Otherwise it is random in (0, 1], drawn at drawnAt, and infinite after a request until
	// the next draw.
	threshold float64
	drawnAt   time.Time
}

// capacity returns the number of tokens that a bucket holds at most.
func capacity(perSecond float64) float64 {
	if c := perSecond * drawInterval.Seconds(); c < 1 {
		return c
	}
	return max(1, perSecond*savedTime.Seconds())
}

// reset empties the bucket.
func (b *bucket) reset(now time.Time) { *b = bucket{filledAt: now} }

// refill adds the tokens since the last call, and draws another threshold if that is due.
func (b *bucket) refill(now time.Time, perSecond float64, r *rand.Rand) {
	elapsed := max(0, now.Sub(b.filledAt).Seconds())
	b.tokens = min(capacity(perSecond), b.tokens+perSecond*elapsed)
	b.filledAt = now
	if now.Sub(b.drawnAt) < drawInterval {
		return
	}
	b.drawnAt, b.threshold = now, 1
	if capacity(perSecond) < 1 {
		b.threshold = 1 - r.Float64()
	}
}

// take removes the token of a request.
func (b *bucket) take() {
	b.tokens = max(0, b.tokens-1)
	if b.threshold < 1 {
		b.threshold = math.Inf(1)
	}
}

// wait returns how long it takes until the bucket yields a request, as of the last refill. It is
// zero if it yields one now, and the time until the next draw if this one yields none.
func (b *bucket) wait(perSecond float64) time.Duration {
	missing := b.threshold - b.tokens
	if missing <= 0 {
		return 0
	}
	if b.threshold > capacity(perSecond) {
		return max(time.Millisecond, b.drawnAt.Add(drawInterval).Sub(b.filledAt))
	}
	return time.Duration(math.Ceil(missing / perSecond * float64(time.Second)))
}
