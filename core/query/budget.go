package query

import "time"

// retryBudget is a token bucket that is filled by first attempts, so that the
// number of extra attempts stays a fixed fraction of theirs under any load.
type retryBudget struct {
	// tokensPerFirst is the number of tokens that a first attempt adds.
	tokensPerFirst float64
	// maxTokens is the capacity of the bucket.
	maxTokens float64
	tokens    float64
}

// recordFirst adds the tokens of one first attempt.
func (b *retryBudget) recordFirst() { b.tokens = min(b.tokens+b.tokensPerFirst, b.maxTokens) }

// tryTake takes one token for an extra attempt. It returns false, and takes
// nothing, when less than one token is left.
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
	// budgetBurst is the number of hedges that may be sent at once. Hedges and
	// retries together may reach twice as many.
	budgetBurst = 30

	// hedgeQuantile is the latency quantile after which an attempt is hedged.
	hedgeQuantile = 0.95
	// minHedgeDelay is the minimum delay before a hedge.
	minHedgeDelay = 2 * time.Millisecond
	// hedgeRetryDelay is the delay before a hedge is retried when no server had
	// capacity for it.
	hedgeRetryDelay = 5 * time.Millisecond
	// initialHedgeDelay is the delay before a hedge for a group without latency
	// samples.
	initialHedgeDelay = 50 * time.Millisecond
	// initialEstimateFactor times the first sample is the initial estimate.
	initialEstimateFactor = 2
	// minLatencyHedgeFactor times a server's minimum latency is the minimum delay
	// before an attempt on it is hedged, so that the network delay to a distant
	// server is not mistaken for slowness.
	minLatencyHedgeFactor = 1.5
	// quantileStep is the relative step of the quantile estimate.
	quantileStep = 0.05
)

// quantileEstimate estimates the hedgeQuantile of a stream of durations without
// storing the samples. With quantile q, a sample above the estimate raises it by q
// steps, and any other lowers it by 1-q steps.
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

// hedgeDelay returns the delay before a hedge.
func (e *quantileEstimate) hedgeDelay() time.Duration {
	if e.value == 0 {
		return initialHedgeDelay
	}
	return max(e.value, minHedgeDelay)
}
