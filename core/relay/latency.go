package relay

import (
	"math"
	"time"

	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

const (
	// paceWeight is the weight of a sample in the usual time; the first samples weigh
	// more.
	serviceTimeWeight = 0.03
	// paceClip times the usual time is the most that a sample counts for, so that a
	// paused server doesn't change what is usual.
	maxSampleRatio = 2.5
	// leastWork is the least part of an answer's time that counts as work.
	minServiceFraction = 0.05
	// startPace is the usual time while nothing has been measured.
	initialServiceTime = 20 * time.Millisecond
	// regionPace and distantPace are added for a server in another data centre of the
	// region, and in another region, before one of these has answered.
	assumedRegionDelay  = 3 * time.Millisecond
	assumedRemoteDelay = 25 * time.Millisecond
	// wayGroups is the number of groups whose servers must have answered from a data
	// centre before the way there counts as measured.
	minDelayGroups = 3
	// coldFactor is how much slower a cold server is taken to be.
	coldSlowness = 1.6
	// failureCost is the time that a failed attempt costs, weighed by how often the
	// server fails.
	failureCost = 400 * time.Millisecond
	// pauseCost is added for a server with an overdue attempt.
	pauseCost = 150 * time.Millisecond
	// loadPart is the part of the usual time that is added for each exchange in flight
	// per slot.
	loadFraction = 0.5
	// costJitter spreads the choice between servers of the same cost.
	costJitter = 0.05
)

// pace is the usual time that one route's requests occupy a server.
type serviceTimeEstimate struct {
	serviceTime    time.Duration
	samples int
}

func (p *serviceTimeEstimate) observe(d time.Duration) {
	p.samples++
	if p.samples == 1 {
		p.serviceTime = d
		return
	}
	if limit := time.Duration(maxSampleRatio * float64(p.serviceTime)); d > limit {
		d = limit
	}
	weight := max(serviceTimeWeight, 1/float64(p.samples))
	p.serviceTime += time.Duration(weight * float64(d-p.serviceTime))
}

// least is the least time of an answer from one data centre.
type minLatency struct {
	latency time.Duration
	// groups holds the groups whose servers there answered, wayGroups of them at most.
	groups map[string]bool
}

func (l *minLatency) observe(took time.Duration, group string) {
	l.latency = min(l.latency, took)
	if len(l.groups) < minDelayGroups {
		l.groups[group] = true
	}
}

// work returns the time that a route's request usually occupies a server.
func (s *System) serviceTime(route string) time.Duration {
	if p := s.serviceTimes[route]; p != nil {
		return p.serviceTime
	}
	return initialServiceTime
}

// way returns how much longer an answer from a data centre takes than one from the
// nearest, by the least time of an answer from each. An average would not tell: farther
// data centres are asked mostly when something is wrong.
func (s *System) networkDelay(dataCentre string) time.Duration {
	networkDelay, measured := s.measuredDelay(dataCentre)
	if !measured {
		// The least of a few servers may be high because all of these are slow.
		return min(networkDelay, s.assumedDelay(dataCentre))
	}
	return networkDelay
}

// measuredWay returns the way to a data centre by the least time of an answer from there;
// sure is set when enough groups answered. It is the longest time if none did.
func (s *System) measuredDelay(dataCentre string) (delay time.Duration, measured bool) {
	l := s.minLatency[dataCentre]
	if l == nil {
		return math.MaxInt64, false
	}
	nearest := l.latency
	for _, other := range s.minLatency {
		nearest = min(nearest, other.latency)
	}
	return l.latency - nearest, len(l.groups) >= minDelayGroups
}

// assumedWay returns what is taken for the way to a data centre before it was measured.
func (s *System) assumedDelay(dataCentre string) time.Duration {
	switch {
	case dataCentre == s.Self.DataCentre:
		return 0
	case s.Options.Regions[dataCentre] == s.Options.Regions[s.Self.DataCentre]:
		return assumedRegionDelay
	default:
		return assumedRemoteDelay
	}
}

// usual returns the time to an answer of a route's request from a sound server of a data
// centre.
func (s *System) baselineLatency(route, dataCentre string) time.Duration {
	return s.serviceTime(route) + s.networkDelay(dataCentre)
}

// busy returns the time, in nanoseconds, that a route's request occupies a server: the
// time to an answer as last measured, without the way, which is not slowed by the server.
func (s *System) serverServiceTime(route string, b *roster.Server) float64 {
	serviceTime, networkDelay := float64(s.serviceTime(route)), float64(s.networkDelay(b.DataCentre))
	return max(serviceTime, (serviceTime+networkDelay)*b.LastSlowness()-networkDelay)
}

// expected returns the time to an answer of a route's request from a server.
func (s *System) expectedLatency(now time.Time, route *model.Route, b *roster.Server) time.Duration {
	slowness := b.Slowness(now)
	if now.Before(b.ColdUntil) {
		slowness = max(slowness, coldSlowness)
	}
	baselineLatency := float64(s.baselineLatency(route.Name, b.DataCentre))
	return time.Duration(baselineLatency * slowness)
}

// cost ranks servers: the expected time, what is in flight there, and what is to be
// feared of it.
func (s *System) cost(now time.Time, route *model.Route, b *roster.Server) time.Duration {
	expectedLatency := float64(s.expectedLatency(now, route, b))
	slots := float64(max(b.Slots, 1))
	cost := expectedLatency * (1 + loadFraction*float64(b.InFlight)/slots)
	cost += b.FailureRate(now) * float64(failureCost)
	if now.Before(b.PausedUntil) {
		cost += float64(pauseCost)
	}
	return time.Duration(cost * (1 + costJitter*s.Rand.Float64()))
}

// measure takes in the time of an answer.
func (s *System) recordLatency(now time.Time, a *Attempt) {
	took := now.Sub(a.SentAt)
	dataCentre := a.Server.DataCentre
	l := s.minLatency[dataCentre]
	if l == nil {
		l = &minLatency{latency: took, groups: map[string]bool{}}
		s.minLatency[dataCentre] = l
	}
	l.observe(took, a.Server.Group)
	p := s.serviceTimes[a.Route]
	if p == nil {
		p = &serviceTimeEstimate{}
		s.serviceTimes[a.Route] = p
	}
	p.observe(max(took-s.networkDelay(dataCentre), time.Duration(minServiceFraction*float64(took))))
	a.Server.Answered(now, a.SentAt, float64(took)/float64(s.baselineLatency(a.Route, dataCentre)), a.Overdue)
}

// forgetRoutes drops what is known of routes that are gone.
func (s *System) removeStaleRoutes() {
	current := map[string]bool{}
	for i := range s.table.Routes {
		current[s.table.Routes[i].Name] = true
	}
	for name := range s.serviceTimes {
		if !current[name] {
			delete(s.serviceTimes, name)
		}
	}
	for name := range s.pickers {
		if !current[name] {
			delete(s.pickers, name)
		}
	}
}
