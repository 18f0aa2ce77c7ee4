package limit

import "time"

// Policy says how the limit of a warm server moves.
type Policy string

// The policies that were weighed; docs/design/limits.md compares them.
const (
	// PolicyShare keeps an equal share of the server's slots, at least one.
	PolicyShare Policy = "share"
	// PolicyAdaptive rises by one per limit's worth of answers and is cut on a
	// shed or a rise of latency.
	PolicyAdaptive Policy = "adaptive"
)

const (
	// limitCut is what a limit is multiplied by on a shed.
	limitCut = 0.7
	// cutInterval is the least time between two cuts, so that the sheds of one
	// burst count once.
	cutInterval = 50 * time.Millisecond
	// limitPerSlot bounds a limit: queueing more than this at a server only adds
	// latency.
	limitPerSlot = 2
	// slowFactor times Base is far above the usual latency.
	slowFactor = 3
	// slowRun and shedRun are how many slow answers or sheds in a row make a
	// warm server cold; slowAlone is how many do when no other server of the group
	// is fast.
	slowRun   = 3
	slowAlone = 10
	shedRun   = 3
	// slowFloor is the least latency that counts as slow: below it the scheduler
	// of a loaded machine makes as much difference.
	slowFloor = 20 * time.Millisecond
	// latencyFall is the weight of a sample below the estimate.
	latencyFall = 0.1
	// fade is the part of the distance to the base that an estimate loses with each
	// call of Fade.
	fade = 0.25
	// idleFade is the part of the estimate itself that it loses with each call
	// without an answer since the last: a server of twice the others' latency is
	// tried again after some 17 s.
	idleFade = 0.02
	// baseRise is the weight of a sample above the base.
	baseRise = 0.002
)

// Share returns an instance's equal share of a server's slots, at least one.
func Share(slots, instances int) float64 {
	return max(1, float64(slots)/float64(max(instances, 1)))
}

// Answered records an answer's latency and raises the limit if the policy and
// the latency allow.
func (s *Server) RecordAnswer(latency time.Duration, p Policy) {
	s.ObserveLatency(latency)
	s.ShedStreak = 0
	if p != PolicyAdaptive || s.State != Warm {
		return
	}
	full := float64(s.InFlight+1) >= s.Limit
	if full && latency < slowFactor*s.MinLatency {
		s.Limit = min(s.Limit+1/s.Limit, s.MaxLimit)
	}
}

// Observe updates Latency, Base and Slow.
func (s *Server) ObserveLatency(latency time.Duration) {
	s.RecentAnswers++
	if latency > s.Latency {
		s.Latency = latency
	} else {
		s.Latency += time.Duration(latencyFall * float64(latency-s.Latency))
	}
	if s.MinLatency == 0 || latency < s.MinLatency {
		s.MinLatency = latency
	} else {
		s.MinLatency += time.Duration(baseRise * float64(latency-s.MinLatency))
	}
	if latency > slowFactor*s.MinLatency && latency > slowFloor {
		s.SlowStreak++
	} else {
		s.SlowStreak = 0
	}
}

// Shed records that the server refused for lack of room.
func (s *Server) RecordShed(now time.Time, p Policy) {
	s.ShedStreak++
	if p == PolicyAdaptive && now.Sub(s.LimitCutAt) >= cutInterval {
		s.Limit = max(1, s.Limit*limitCut)
		s.LimitCutAt = now
	}
}

// FellBack reports whether a warm server shows the signs of having turned cold
// without a restart: a run of sheds while this instance kept to its limit, or a
// run of slow answers while another server of the group is fast.
func (s *Server) LooksCold(group []*Server) bool {
	if s.State != Warm {
		return false
	}
	if s.ShedStreak >= shedRun {
		return true
	}
	if s.SlowStreak < slowRun {
		return false
	}
	for _, o := range group {
		if o != s && o.State == Warm && o.Latency > 0 && slowFactor*o.Latency < s.Latency {
			return true
		}
	}
	return s.SlowStreak >= slowAlone
}

// Fade moves the latency estimate down as time passes: towards the base, and below
// it while there are no answers. A server that was slow is avoided, so that without
// this no answer would ever show that it is fast again.
func (s *Server) DecayLatency() {
	if s.RecentAnswers > 0 || s.Latency > s.MinLatency {
		s.Latency -= time.Duration(fade * float64(s.Latency-s.MinLatency))
	}
	if s.RecentAnswers == 0 {
		s.Latency -= time.Duration(idleFade * float64(s.Latency))
	}
	s.RecentAnswers = 0
}
