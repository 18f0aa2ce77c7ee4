package limit

import "time"

// Policy is the rule by which the concurrency limit of a warm server changes.
type Policy string

// The policies; docs/design/limits.md compares them.
const (
	// PolicyShare keeps the limit at an equal share of the server's slots, at least
	// one.
	PolicyShare Policy = "share"
	// PolicyAdaptive raises the limit by one for each limit's worth of answers while
	// the limit is used up and the latency is low, and cuts it on a shed.
	PolicyAdaptive Policy = "adaptive"
)

const (
	// limitCutFactor multiplies a limit on a shed.
	limitCutFactor = 0.7
	// minCutInterval is the minimum time between two cuts, so that the sheds of one
	// burst count once.
	minCutInterval = 50 * time.Millisecond
	// maxLimitPerSlot is the maximum limit per slot of a server: more attempts in
	// flight only add queueing latency.
	maxLimitPerSlot = 2
	// slowFactor times MinLatency is the latency above which an answer is slow.
	slowFactor = 3
	// slowStreakToCold and shedStreakToCold are the numbers of consecutive slow
	// answers and of consecutive sheds that make a warm server cold.
	// slowStreakToColdAlone is the number of slow answers that do so if no other
	// server of the group is fast.
	slowStreakToCold      = 3
	slowStreakToColdAlone = 10
	shedStreakToCold      = 3
	// minSlowLatency is the latency up to which no answer is slow: the scheduler of a
	// loaded machine can delay an answer by as much.
	minSlowLatency = 20 * time.Millisecond
	// latencyDecreaseWeight is the weight of a sample below the latency estimate.
	latencyDecreaseWeight = 0.1
	// latencyDecayFraction is the fraction of its distance to MinLatency by which each
	// call of DecayLatency lowers the estimate.
	latencyDecayFraction = 0.25
	// idleDecayFraction is the fraction of itself by which each call of DecayLatency
	// without an answer since the last call lowers the estimate. A server with twice
	// the latency of the others is tried again after about 17 s.
	idleDecayFraction = 0.02
	// minLatencyIncreaseWeight is the weight of a sample above MinLatency.
	minLatencyIncreaseWeight = 0.002
)

// Share returns an instance's equal share of a server's slots, at least one.
func Share(slots, instances int) float64 {
	return max(1, float64(slots)/float64(max(instances, 1)))
}

// RecordAnswer records the latency of an answer, and raises the limit if the policy
// and the latency allow that.
func (s *Server) RecordAnswer(latency time.Duration, p Policy) {
	s.ObserveLatency(latency)
	s.ShedStreak = 0
	if p != PolicyAdaptive || s.State != Warm {
		return
	}
	limitUsedUp := float64(s.InFlight+1) >= s.Limit
	if limitUsedUp && latency < slowFactor*s.MinLatency {
		s.Limit = min(s.Limit+1/s.Limit, s.MaxLimit)
	}
}

// ObserveLatency updates Latency, MinLatency, SlowStreak and RecentAnswers.
func (s *Server) ObserveLatency(latency time.Duration) {
	s.RecentAnswers++
	if latency > s.Latency {
		s.Latency = latency
	} else {
		s.Latency += time.Duration(latencyDecreaseWeight * float64(latency-s.Latency))
	}
	if s.MinLatency == 0 || latency < s.MinLatency {
		s.MinLatency = latency
	} else {
		s.MinLatency += time.Duration(minLatencyIncreaseWeight * float64(latency-s.MinLatency))
	}
	if latency > slowFactor*s.MinLatency && latency > minSlowLatency {
		s.SlowStreak++
	} else {
		s.SlowStreak = 0
	}
}

// RecordShed records that the server refused an attempt for lack of capacity.
func (s *Server) RecordShed(now time.Time, p Policy) {
	s.ShedStreak++
	if p == PolicyAdaptive && now.Sub(s.LimitCutAt) >= minCutInterval {
		s.Limit = max(1, s.Limit*limitCutFactor)
		s.LimitCutAt = now
	}
}

// LooksCold reports whether a warm server appears to have turned cold without a
// restart. The signs are consecutive sheds although this instance kept to its limit,
// or consecutive slow answers while another server of the group is fast. If no other
// one is fast, more slow answers are needed.
func (s *Server) LooksCold(group []*Server) bool {
	if s.State != Warm {
		return false
	}
	if s.ShedStreak >= shedStreakToCold {
		return true
	}
	if s.SlowStreak < slowStreakToCold {
		return false
	}
	for _, o := range group {
		if o != s && o.State == Warm && o.Latency > 0 && slowFactor*o.Latency < s.Latency {
			return true
		}
	}
	return s.SlowStreak >= slowStreakToColdAlone
}

// DecayLatency lowers the latency estimate as time passes: towards MinLatency, and
// below it while there are no answers. Attempts avoid a server that was slow, so that
// without the decay no answer would ever show that it is fast again.
func (s *Server) DecayLatency() {
	if s.RecentAnswers > 0 || s.Latency > s.MinLatency {
		s.Latency -= time.Duration(latencyDecayFraction * float64(s.Latency-s.MinLatency))
	}
	if s.RecentAnswers == 0 {
		s.Latency -= time.Duration(idleDecayFraction * float64(s.Latency))
	}
	s.RecentAnswers = 0
}
