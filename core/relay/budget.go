package relay

import (
	"time"

	"hyssoppitch/core/usage"
)

// RetryBudget limits the extra attempts, that is, those beyond the first of each leg. It
// applies per group, to the sum over all instances.
type RetryBudget struct {
	// Ratio is the number of extra attempts that are allowed per request.
	Ratio float64
	// Slack is the number of extra attempts that are allowed in each Window in addition.
	Slack  float64
	Window time.Duration
}

const (
	// budgetBuckets is the number of buckets that the window is divided into; attempts
	// expire one bucket at a time.
	budgetBuckets = 20
	// slackFraction is the fraction of its share of the slack that an instance uses, because
	// instances learn late that others have joined.
	slackFraction = 0.5
	// ratioFraction is the fraction of the ratio that is used, because servers may count
	// attempts at the edge of a window in the adjacent window.
	ratioFraction = 0.9
	// hedgeFraction is the fraction of the budget that hedges may use, so that a failed
	// attempt can still be retried.
	hedgeFraction = 0.75
)

// budget counts the first and extra attempts of one group over the last window.
type budget struct {
	buckets [budgetBuckets]struct{ first, extra int }
	// head is the number of the newest bucket, counted from the Unix epoch.
	head int64
	// window is the length of the window that the buckets divide.
	window time.Duration
}

// advance clears the buckets that have left the window. After a change of the window's length
// the extra attempts count as recent, since the buckets don't show when they were sent; of the
// first ones a shorter window keeps a share.
func (b *budget) advance(now time.Time, window time.Duration) {
	head := now.UnixNano() / int64(window/budgetBuckets)
	if window != b.window {
		first, extra := b.totals()
		if window < b.window {
			first = int(float64(first) * float64(window) / float64(b.window))
		}
		*b = budget{head: head, window: window}
		b.buckets[head%budgetBuckets] = struct{ first, extra int }{first, extra}
		return
	}
	for n := max(b.head+1, head-budgetBuckets+1); n <= head; n++ {
		b.buckets[n%budgetBuckets] = struct{ first, extra int }{}
	}
	b.head = max(b.head, head)
}

// totals returns the number of attempts in the window.
func (b *budget) totals() (first, extra int) {
	for _, k := range b.buckets {
		first += k.first
		extra += k.extra
	}
	return first, extra
}

// budget returns the budget of a group, advanced to the given time.
func (s *System) budget(now time.Time, group string) *budget {
	b := s.budgets[group]
	if b == nil {
		b = &budget{}
		s.budgets[group] = b
	}
	b.advance(now, s.Options.Retries.Window)
	return b
}

// recordFirstAttempt counts the first attempt of a leg.
func (s *System) recordFirstAttempt(now time.Time, group string) {
	b := s.budget(now, group)
	b.buckets[b.head%budgetBuckets].first++
}

// budgetAllows reports whether one more extra attempt fits into the given fraction of the
// group's budget.
func (s *System) budgetAllows(now time.Time, group string, fraction float64) bool {
	first, extra := s.budget(now, group).totals()
	limit := s.ownBudget(now, first)
	if s.PoolsBudgets() {
		return s.pooledBudgetAllows(now, group, fraction, limit, extra)
	}
	return float64(extra+1) <= fraction*limit
}

// ownBudget returns the extra attempts that this instance may use on its own in a window with the given
// number of requests for a group.
func (s *System) ownBudget(now time.Time, first int) float64 {
	r := s.Options.Retries
	own := r.Ratio*ratioFraction*float64(first) + r.Slack*slackFraction/float64(s.members.Shares)
	// An instance that starts again doesn't know what its predecessor used up, which may have been earned
	// by requests before the window: its budget is available in proportion to the time since the start.
	if age := now.Sub(s.StartedAt); age < r.Window {
		own *= max(0, float64(age)/float64(r.Window))
	}
	return own
}

// recordExtraAttempt counts an extra attempt.
func (s *System) recordExtraAttempt(now time.Time, group string) {
	b := s.budget(now, group)
	b.buckets[b.head%budgetBuckets].extra++
	if s.Usage != nil {
		s.Usage.Add(now, usage.Key{Kind: usage.Extra, Name: group}, 1)
	}
}
