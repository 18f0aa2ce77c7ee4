package relay

import (
	"time"

	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

const (
	// paceWeight is the weight of a sample in the usual time; the first samples weigh
	// more.
	paceWeight = 0.03
	// paceClip times the usual time is the most that a sample counts for, so that a
	// paused server doesn't change what is usual.
	paceClip = 2.5
	// leastWork is the least part of an answer's time that counts as work.
	leastWork = 0.05
	// startPace is the usual time while nothing has been measured.
	startPace = 20 * time.Millisecond
	// regionPace and distantPace are added for a server in another data centre of the
	// region, and in another region, before one of these has answered.
	regionPace  = 3 * time.Millisecond
	distantPace = 25 * time.Millisecond
	// coldFactor is how much slower a cold server is taken to be.
	coldFactor = 1.6
	// failureCost is the time that a failed attempt costs, weighed by how often the
	// server fails.
	failureCost = 120 * time.Millisecond
	// pauseCost is added for a server with an overdue attempt.
	pauseCost = 150 * time.Millisecond
	// loadPart is the part of the usual time that is added for each exchange in flight
	// per slot.
	loadPart = 0.5
	// costJitter spreads the choice between servers of the same cost.
	costJitter = 0.05
)

// pace is the usual time that one route's requests occupy a server.
type pace struct {
	work    time.Duration
	samples int
}

func (p *pace) observe(d time.Duration) {
	p.samples++
	if p.samples == 1 {
		p.work = d
		return
	}
	if most := time.Duration(paceClip * float64(p.work)); d > most {
		d = most
	}
	weight := max(paceWeight, 1/float64(p.samples))
	p.work += time.Duration(weight * float64(d-p.work))
}

// work returns the time that a route's request usually occupies a server.
func (s *System) work(route string) time.Duration {
	if p := s.paces[route]; p != nil {
		return p.work
	}
	return startPace
}

// way returns how much longer an answer from a data centre takes than one from the
// nearest, by the least time of an answer from each. An average would not tell: farther
// data centres are asked mostly when something is wrong.
func (s *System) way(dataCentre string) time.Duration {
	if least, ok := s.least[dataCentre]; ok {
		nearest := least
		for _, other := range s.least {
			nearest = min(nearest, other)
		}
		return least - nearest
	}
	switch {
	case dataCentre == s.Self.DataCentre:
		return 0
	case s.Options.Regions[dataCentre] == s.Options.Regions[s.Self.DataCentre]:
		return regionPace
	default:
		return distantPace
	}
}

// usual returns the time to an answer of a route's request from a sound server of a data
// centre.
func (s *System) usual(route, dataCentre string) time.Duration {
	return s.work(route) + s.way(dataCentre)
}

// expected returns the time to an answer of a route's request from a server.
func (s *System) expected(now time.Time, route *model.Route, b *roster.Server) time.Duration {
	factor := b.Factor(now)
	if now.Before(b.ColdUntil) {
		factor = max(factor, coldFactor)
	}
	usual := float64(s.usual(route.Name, b.DataCentre))
	return time.Duration(usual * factor)
}

// cost ranks servers: the expected time, what is in flight there, and what is to be
// feared of it.
func (s *System) cost(now time.Time, route *model.Route, b *roster.Server) time.Duration {
	expected := float64(s.expected(now, route, b))
	slots := float64(max(b.Slots, 1))
	cost := expected * (1 + loadPart*float64(b.InFlight)/slots)
	cost += b.Failing(now) * float64(failureCost)
	if now.Before(b.PausedUntil) {
		cost += float64(pauseCost)
	}
	return time.Duration(cost * (1 + costJitter*s.Rand.Float64()))
}

// measure takes in the time of an answer.
func (s *System) measure(now time.Time, a *Attempt) {
	took := now.Sub(a.SentAt)
	dataCentre := a.Server.DataCentre
	if least, ok := s.least[dataCentre]; !ok || took < least {
		s.least[dataCentre] = took
	}
	p := s.paces[a.Route]
	if p == nil {
		p = &pace{}
		s.paces[a.Route] = p
	}
	p.observe(max(took-s.way(dataCentre), time.Duration(leastWork*float64(took))))
	a.Server.Answered(now, a.SentAt, float64(took)/float64(s.usual(a.Route, dataCentre)), a.Overdue)
}

// forgetRoutes drops what is known of routes that are gone.
func (s *System) forgetRoutes() {
	named := map[string]bool{}
	for i := range s.table.Routes {
		named[s.table.Routes[i].Name] = true
	}
	for name := range s.paces {
		if !named[name] {
			delete(s.paces, name)
		}
	}
	for name := range s.dealers {
		if !named[name] {
			delete(s.dealers, name)
		}
	}
}
