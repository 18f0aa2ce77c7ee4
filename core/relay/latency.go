package relay

import (
	"math"
	"time"

	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

const (
	// serviceTimeWeight is the weight of a sample in the moving average of the service
	// time. The first samples weigh more.
	serviceTimeWeight = 0.03
	// maxSampleRatio limits a sample to this multiple of the average, so that a paused
	// server doesn't distort it.
	maxSampleRatio = 2.5
	// minServiceFraction is the minimum fraction of a latency that counts as service time.
	minServiceFraction = 0.05
	// initialServiceTime is assumed until a latency has been measured.
	initialServiceTime = 20 * time.Millisecond
	// assumedRegionDelay and assumedRemoteDelay are the network delays that are assumed
	// for other data centres of the same region, and of other regions, until they have
	// been measured.
	assumedRegionDelay = 3 * time.Millisecond
	assumedRemoteDelay = 25 * time.Millisecond
	// minDelayGroups is the number of groups whose servers must have answered from a data
	// centre before its network delay counts as measured.
	minDelayGroups = 3
	// coldSlowness is the minimum slowness that is assumed for a cold server.
	coldSlowness = 1.6
	// failureCost is the cost of a failed attempt; it is multiplied by the server's failure
	// rate.
	failureCost = 400 * time.Millisecond
	// pauseCost is added for a server with an overdue attempt.
	pauseCost = 150 * time.Millisecond
	// loadFraction is the fraction of the expected latency that is added for each exchange
	// in flight per slot.
	loadFraction = 0.5
	// costJitter is the relative random variation that spreads requests over servers of
	// equal cost.
	costJitter = 0.05
)

// serviceTimeEstimate is a moving average of the time for which a route's request occupies
// a server.
type serviceTimeEstimate struct {
	serviceTime time.Duration
	samples     int
}

// observe adds a sample.
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

// minLatency is the minimum latency of the servers of one data centre.
type minLatency struct {
	latency time.Duration
	// groups holds the groups whose servers in the data centre answered, up to
	// minDelayGroups of them.
	groups map[string]bool
}

// observe adds the latency of an answer by a server of a group.
func (l *minLatency) observe(took time.Duration, group string) {
	l.latency = min(l.latency, took)
	if len(l.groups) < minDelayGroups {
		l.groups[group] = true
	}
}

// serviceTime returns the average time for which a route's request occupies a server.
func (s *System) serviceTime(route string) time.Duration {
	if p := s.serviceTimes[route]; p != nil {
		return p.serviceTime
	}
	return initialServiceTime
}

// networkDelay returns how much longer an answer from a data centre takes than one from
// the nearest data centre. It compares minimum latencies: average latencies would be
// misleading, as distant data centres are used mostly while near servers are impaired.
func (s *System) networkDelay(dataCentre string) time.Duration {
	networkDelay, measured := s.measuredDelay(dataCentre)
	if !measured {
		// With few samples the minimum may be high because all of the servers are slow.
		return min(networkDelay, s.assumedDelay(dataCentre))
	}
	return networkDelay
}

// measuredDelay returns the network delay of a data centre by its minimum latency, or the
// maximum duration if no server there has answered. measured is set if servers of at least
// minDelayGroups groups have answered.
func (s *System) measuredDelay(dataCentre string) (delay time.Duration, measured bool) {
	l := s.minLatency[dataCentre]
	if l == nil {
		return math.MaxInt64, false
	}
	return l.latency - s.nearestLatency, len(l.groups) >= minDelayGroups
}

// assumedDelay returns the network delay that is assumed for a data centre until it has
// been measured.
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

// baselineLatency returns the expected latency of a route's request at a healthy server
// of a data centre.
func (s *System) baselineLatency(route, dataCentre string) time.Duration {
	return s.serviceTime(route) + s.networkDelay(dataCentre)
}

// serverServiceTime returns the time in nanoseconds for which a route's request occupies
// the given server. The server's last measured slowness applies to the whole latency; the
// network delay is then subtracted, as it doesn't occupy the server.
func (s *System) serverServiceTime(route string, b *roster.Server) float64 {
	serviceTime, networkDelay := float64(s.serviceTime(route)), float64(s.networkDelay(b.DataCentre))
	return max(serviceTime, (serviceTime+networkDelay)*b.LastSlowness()-networkDelay)
}

// expectedLatency returns the expected latency of a route's request at a server.
func (s *System) expectedLatency(now time.Time, route *model.Route, b *roster.Server) time.Duration {
	slowness := b.Slowness(now)
	if now.Before(b.ColdEnd()) {
		slowness = max(slowness, coldSlowness)
	}
	baselineLatency := float64(s.baselineLatency(route.Name, b.DataCentre))
	return time.Duration(baselineLatency * slowness)
}

// cost returns the value by which servers are ranked: the expected latency, increased for
// the server's load, its failure rate and a suspected pause.
func (s *System) cost(now time.Time, route *model.Route, b *roster.Server) time.Duration {
	expectedLatency := float64(s.expectedLatency(now, route, b))
	failureRate := b.FailureRate(now)
	if v, ok := s.reported(now, b); ok && !s.probes(now, b) {
		expectedLatency = max(expectedLatency, v.Multiple*float64(s.baselineLatency(route.Name, b.DataCentre)))
		failureRate = max(failureRate, v.FailureRate)
		s.Reports.Counters.Avoided++
	}
	slots := float64(max(b.Slots, 1))
	cost := expectedLatency * (1 + loadFraction*float64(b.InFlight)/slots)
	cost += failureRate * float64(failureCost)
	if now.Before(b.PausedUntil) {
		cost += float64(pauseCost)
	}
	return time.Duration(cost * (1 + costJitter*s.Rand.Float64()))
}

// recordLatency records the latency of a successful attempt.
func (s *System) recordLatency(now time.Time, a *Attempt) {
	took := now.Sub(a.SentAt)
	dataCentre := a.Server.DataCentre
	l := s.minLatency[dataCentre]
	if l == nil {
		l = &minLatency{latency: took, groups: map[string]bool{}}
		s.minLatency[dataCentre] = l
		if len(s.minLatency) == 1 {
			s.nearestLatency = took
		}
	}
	l.observe(took, a.Server.Group)
	s.nearestLatency = min(s.nearestLatency, took)
	s.reportAnswer(now, a)
	p := s.serviceTimes[a.Route]
	if p == nil {
		p = &serviceTimeEstimate{}
		s.serviceTimes[a.Route] = p
	}
	if s.onTrial(a.Server) {
		a.Server.Answered(now, a.SentAt, float64(took)/float64(s.baselineLatency(a.Route, dataCentre)), a.Overdue)
		return
	}
	p.observe(max(took-s.networkDelay(dataCentre), time.Duration(minServiceFraction*float64(took))))
	a.Server.Answered(now, a.SentAt, float64(took)/float64(s.baselineLatency(a.Route, dataCentre)), a.Overdue)
}

// removeStaleRoutes removes the state of routes that are no longer in the routing table.
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
	for name := range s.arrivals {
		if !current[name] {
			delete(s.arrivals, name)
		}
	}
	for name := range s.pickers {
		if !current[name] {
			delete(s.pickers, name)
		}
	}
	s.removeStaleFlows()
}
