package query

import "time"

// budget is a token bucket that is filled by first attempts, so that extra
// attempts stay a fraction of the work, whatever the load.
type retryBudget struct {
	// perFirst is the number of tokens that a first attempt brings.
	tokensPerFirst float64
	// most is the number of tokens that can be saved up.
	maxTokens   float64
	tokens float64
}

func (b *retryBudget) recordFirst() { b.tokens = min(b.tokens+b.tokensPerFirst, b.maxTokens) }

func (b *retryBudget) tryTake() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

const (
	// hedgeFraction and extraFraction bound hedges, and hedges plus retries, as a
	// fraction of first attempts.
	hedgeFraction = 0.05
	extraFraction = 0.10
	// budgetBurst is the number of extra attempts that may be made at once.
	budgetBurst = 30

	// hedgeQuantile is the share of attempts that end before a hedge is due.
	hedgeQuantile = 0.95
	// hedgeFloor is the least wait before a hedge.
	minHedgeDelay = 2 * time.Millisecond
	// hedgeRetry is the wait before a hedge is tried again that found no room.
	hedgeRetryDelay = 5 * time.Millisecond
	// hedgeStart is the wait before a hedge while nothing is known of a group.
	initialHedgeDelay = 50 * time.Millisecond
	// firstQuantile times the first sample is the first estimate.
	initialEstimateFactor = 2
	// distantFactor times the base of a distant server is waited for before a
	// hedge, so that distance is not taken for slowness.
	minLatencyHedgeFactor = 1.5
	// quantileStep is the relative step of the quantile estimate.
	quantileStep = 0.05
)

// quantile follows a quantile of a stream of durations by small steps: up by q
// parts when a sample lies above, down by 1-q parts when below.
type quantileEstimate struct {
	value time.Duration
}

func (e *quantileEstimate) observe(d time.Duration) {
	if e.value == 0 {
		e.value = initialEstimateFactor * d
	}
	step := float64(e.value) * quantileStep
	if d > e.value {
		e.value += time.Duration(step * hedgeQuantile)
	} else {
		e.value -= time.Duration(step * (1 - hedgeQuantile))
	}
}

// hedgeAfter returns the wait before a hedge.
func (e *quantileEstimate) hedgeDelay() time.Duration {
	if e.value == 0 {
		return initialHedgeDelay
	}
	return max(e.value, minHedgeDelay)
}
