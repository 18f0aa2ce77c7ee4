package relay

import "time"

// RetryBudget bounds the attempts beyond the first of each leg, per group and summed
// over all instances.
type RetryBudget struct {
	// Ratio is the number of extra attempts per request.
	Ratio float64
	// Slack is the number of extra attempts that are allowed besides, in each Window.
	Slack  float64
	Window time.Duration
}

const (
	// budgetBuckets divide the window; requests older than the window leave bucket by
	// bucket.
	budgetBuckets = 20
	// slackPart is the part of an instance's share of the slack that it uses: a restarted
	// instance has forgotten what it spent.
	slackFraction = 0.5
	// ratioPart is the part of the ratio that is used: what arrives at the edges of a
	// window is counted by servers at another moment.
	ratioFraction = 0.9
	// hedgePart is the part of the budget that hedges may use, so that a failed attempt
	// can still be repeated.
	hedgeFraction = 0.75
)

// budget counts the first and extra attempts of one group over the last window.
type budget struct {
	buckets [budgetBuckets]struct{ first, extra int }
	// head is the number of the newest bucket, counted from the zero time.
	head int64
}

// advance empties the buckets that have left the window.
func (b *budget) advance(now time.Time, window time.Duration) {
	head := now.UnixNano() / int64(window/budgetBuckets)
	for n := max(b.head+1, head-budgetBuckets+1); n <= head; n++ {
		b.buckets[n%budgetBuckets] = struct{ first, extra int }{}
	}
	b.head = max(b.head, head)
}

func (b *budget) totals() (first, extra int) {
	for _, k := range b.buckets {
		first += k.first
		extra += k.extra
	}
	return first, extra
}

// budget returns the budget of a group, brought up to the time.
func (s *System) budget(now time.Time, group string) *budget {
	b := s.budgets[group]
	if b == nil {
		b = &budget{}
		s.budgets[group] = b
	}
	b.advance(now, s.Options.Retries.Window)
	return b
}

// earn counts a first attempt.
func (s *System) recordFirstAttempt(now time.Time, group string) {
	b := s.budget(now, group)
	b.buckets[b.head%budgetBuckets].first++
}

// afford reports whether an extra attempt fits the budget, of which it may use a part.
func (s *System) budgetAllows(now time.Time, group string, fraction float64) bool {
	first, extra := s.budget(now, group).totals()
	r := s.Options.Retries
	limit := r.Ratio*ratioFraction*float64(first) + r.Slack*slackFraction/float64(s.instanceCount)
	return float64(extra+1) <= fraction*limit
}

// spend counts an extra attempt.
func (s *System) recordExtraAttempt(now time.Time, group string) {
	b := s.budget(now, group)
	b.buckets[b.head%budgetBuckets].extra++
}
