package usage

import "time"

// QuotaOptions are the bounds of customers' quotas: over each Window, at most
// (rate x Window + burst) x (1 + Overage) + Slack requests of a customer are sent to servers.
type QuotaOptions struct {
	Window         time.Duration
	Overage, Slack float64
}

const (
	// toleranceFraction is the part of overage and slack that is used: half of it for requests
	// beyond the quota that are visible, the rest for requests that are expected but not visible
	// yet. What is left covers requests that nothing announces, such as the begin of a burst.
	toleranceFraction = 0.8
	// unseenReserve is the fraction of the requests that may be on their way which is kept back.
	unseenReserve = 0.5
	// knownByOthers is the fraction of a limit that is divided among instances that have just started and
	// have no sums yet, later than most others: those know what was used before and keep within the rest.
	// If a third starts again while a limit is used up, a quarter of it stays within overage and slack.
	knownByOthers = 0.25
	// unseenAtStart is the fraction of a limit that may have been admitted unseen before a start of all
	// instances: the requests of visibleDelay at 7.5 times the limit.
	unseenAtStart = 0.75
	// paceTime is the time within which a customer may send its burst and what its rate allows. Without it
	// a customer could use up the quota of a window at once, and what was used before a start of all
	// instances, which they don't know, would stay in the window for long.
	paceTime = time.Second
	// pacedFraction is the fraction of the rate that is admitted after a start of all instances. The rest
	// is for requests that were admitted beyond the pace because they were not visible everywhere.
	pacedFraction = 0.5
	// demandFactor is the number of instances that may see requests of a customer within a window, per
	// usual request. Beyond it, a burst is not divided evenly enough to reach as many.
	demandFactor = 3
	// evenFraction and usualFraction are the fractions of what is left that are divided evenly and by
	// where the requests were before. They add up to more than one, as not all instances lose the sums
	// at once and see as many requests as they may admit.
	evenFraction, usualFraction = 0.75, 0.5
	// minUsualFraction is the least usual number of requests, as a fraction of the limit. A customer
	// that was idle may begin to send.
	minUsualFraction = 0.125
	// minRetryAfter is the minimum delay that a refused caller is told.
	minRetryAfter = 100 * time.Millisecond
	// partRetryAfter is told while the instance can't see the sums: they may be back soon.
	partRetryAfter = time.Second
)

// Quotas admits requests by the quotas of customers.
type Quotas struct {
	Table   *Table
	options QuotaOptions
}

// SetOptions sets the bounds. Requests that were admitted before keep counting.
func (q *Quotas) SetOptions(o QuotaOptions) {
	if o.Window <= 0 {
		o.Window = defaultQuotaWindow
	}
	q.options = o
	q.Table.SetWindow(Admitted, o.Window)
}

const defaultQuotaWindow = 5 * time.Second

// Admit reports whether a request of a customer is within its quota, and counts it if it is. Otherwise
// it returns the time after which the customer may have requests left.
func (q *Quotas) Admit(now time.Time, customer string, ratePerSecond, burst float64) (ok bool, retryAfter time.Duration) {
	if ratePerSecond <= 0 {
		return true, 0
	}
	key := Key{Admitted, customer}
	t := q.Table
	t.wantedUntil = now.Add(KeepTime)
	if ok, retryAfter = q.fits(now, key, ratePerSecond, max(0, burst)); ok {
		t.Add(now, key, 1)
	}
	return ok, retryAfter
}

// fits reports whether one more request fits into the limit of the window, and besides into what the rate
// and the burst allow in paceTime.
func (q *Quotas) fits(now time.Time, key Key, ratePerSecond, burst float64) (ok bool, retryAfter time.Duration) {
	t := q.Table
	limit := ratePerSecond*q.options.Window.Seconds() + burst
	sum := t.Fleet(now, key)
	tolerance := toleranceFraction * (q.options.Overage*limit + q.options.Slack) / 2
	restarted := t.mayRepeat(now) && !sum.UsualKnown
	if restarted || 2*float64(sum.Events()) >= limit {
		t.MarkHot(now, key)
	}
	usable := limit + tolerance
	if restarted {
		usable = min(usable, leftAtStart(limit, tolerance)+q.pacedSinceStart(now, ratePerSecond))
	}
	expected := max(0, float64(sum.Expected)-tolerance)
	if sum.Fresh {
		usable = limit + tolerance
	} else {
		expected = float64(sum.Expected)
	}
	if sum.Fresh || (sum.Current && restarted && 2*sum.Covered > sum.Shares) || (t.alone() && !restarted) {
		t.Counters.FreshDecisions++
		left := usable*sum.Scale() - float64(sum.Events())
		if 2*float64(sum.Events()) >= limit {
			pace := ratePerSecond*paceTime.Seconds() + burst + tolerance
			left = min(left, pace*sum.Scale()-float64(t.recent(now, key)))
		}
		// All instances see at about the same time that something is left again. So that they don't
		// use it up all at once, requests are admitted at random if what is left is not much more
		// than what may be on its way.
		if left >= 1 && left-unseenReserve*expected > t.Rand.Float64()*expected {
			return true, 0
		}
		return false, t.retryAfter(now, key)
	}
	t.Counters.PartDecisions++
	whole := limit + tolerance
	if restarted {
		whole = leftAtStart(limit, tolerance)
		if t.young(now, t.Self) {
			whole = 2*tolerance + knownByOthers*limit
		}
	}
	// What was used while the sums were current is not available again before it has left the window:
	// if all instances lose the sums at once, the rest is divided among them.
	left := whole - float64(sum.Events()-sum.OwnSince)
	part := left * sum.demandShare(limit)
	if restarted {
		part = min(part+q.pacedSinceStart(now, ratePerSecond)/float64(sum.Shares), whole+tolerance)
	}
	if sum.OwnSince+1 <= t.Part(now, key, part) {
		return true, 0
	}
	if left < 1 {
		return false, max(partRetryAfter, t.retryAfter(now, key))
	}
	return false, partRetryAfter
}

// leftAtStart returns how many requests of a customer are admitted in the window after all instances have
// started again: the whole limit may have been used up before. Most of overage and slack is left of a customer
// whose requests in visibleDelay, at several times the limit, are few.
func leftAtStart(limit, tolerance float64) float64 {
	return max(tolerance/2, 2*tolerance-unseenAtStart*limit)
}

// pacedSinceStart returns how many requests of a customer are admitted besides since all instances have started
// again. Those before kept to the pace, except for visibleDelay, so that about as many of them leave the window
// as the rate allows.
func (q *Quotas) pacedSinceStart(now time.Time, ratePerSecond float64) float64 {
	t := q.Table
	if t.young(now, t.Self) {
		return 0
	}
	return pacedFraction * ratePerSecond * now.Sub(t.StartedAt).Seconds()
}

// recent returns the visible events of the last paceTime.
func (t *Table) recent(now time.Time, key Key) (n int) {
	c := t.counters[key.code()]
	if c == nil {
		return 0
	}
	window := t.Window(key.Kind)
	for _, r := range []*ring{&c.ownRing, &c.membersRing, &c.remoteRing} {
		r.advance(now, window)
		n += r.newest(int64(paceTime * windowBuckets / window))
	}
	return n
}

// demandShare returns the part of a customer's requests that this instance may admit without current sums.
// One part is divided by where the requests were admitted before. The other is divided among the instances
// that may see any since the sums were lost: a customer with few requests reaches only some of them.
func (s Sum) demandShare(limit float64) float64 {
	usual := limit
	if s.UsualKnown {
		usual = max(s.Usual, minUsualFraction*limit)
	}
	even := 1 / min(float64(s.Shares), max(1, demandFactor*usual*s.SinceFresh))
	if !s.UsualKnown {
		return even
	}
	return min(1, evenFraction*even+usualFraction*s.OwnUsual/usual)
}

// alone reports whether the limits are not divided: no other instance has a share.
func (t *Table) alone() bool { return t.shares == 1 }

// mayRepeat reports whether requests that an earlier incarnation of this instance admitted may still be
// in the window.
func (t *Table) mayRepeat(now time.Time) bool {
	return now.Sub(t.StartedAt) < t.Window(Admitted)
}

// retryAfter returns the time until the oldest events of a counter leave the window.
func (t *Table) retryAfter(now time.Time, key Key) time.Duration {
	wait := t.Window(key.Kind)
	if c := t.counters[key.code()]; c != nil {
		for _, r := range []*ring{&c.ownRing, &c.membersRing, &c.remoteRing, &c.lateMembers, &c.lateRemote, &c.unclaimed} {
			if d := r.nextExpiry(now); d > 0 {
				wait = min(wait, d)
			}
		}
	}
	return max(minRetryAfter, wait)
}
