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
	// pauseCost is added for a server with an overdue attempt, and downCost for one
	// that could not be reached.
	pauseCost = 150 * time.Millisecond
	downCost  = 2 * time.Second
	// loadPart is the part of the usual time that is added for each exchange in flight
	// per slot.
	loadPart = 0.5
	// costJitter spreads the choice between servers of the same cost.
	costJitter = 0.05
)

// paceKey names what is usual: one route's requests to one data centre.
type paceKey struct {
	route      string
	dataCentre string
}

// pace is the usual time to an answer.
type pace struct {
	usual   time.Duration
	samples int
}

func (p *pace) observe(d time.Duration) {
	p.samples++
	if p.samples == 1 {
		p.usual = d
		return
	}
	if most := time.Duration(paceClip * float64(p.usual)); d > most {
		d = most
	}
	weight := max(paceWeight, 1/float64(p.samples))
	p.usual += time.Duration(weight * float64(d-p.usual))
}

// usual returns the usual time to an answer of a route's request from a data centre.
func (s *System) usual(route, dataCentre string) time.Duration {
	if p := s.paces[paceKey{route, dataCentre}]; p != nil {
		return p.usual
	}
	base := time.Duration(0)
	for key, p := range s.paces {
		if key.route == route && (base == 0 || p.usual < base) {
			base = p.usual
		}
	}
	if base == 0 {
		base = startPace
	}
	switch {
	case dataCentre == s.Self.DataCentre:
		return base
	case s.Options.Regions[dataCentre] == s.Options.Regions[s.Self.DataCentre]:
		return base + regionPace
	default:
		return base + distantPace
	}
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
	if now.Before(b.DownUntil) {
		cost += float64(downCost)
	}
	return time.Duration(cost * (1 + costJitter*s.Rand.Float64()))
}

// measure takes in the time of an answer.
func (s *System) measure(now time.Time, a *Attempt) {
	took := now.Sub(a.SentAt)
	key := paceKey{a.Route, a.Server.DataCentre}
	p := s.paces[key]
	if p == nil {
		p = &pace{}
		s.paces[key] = p
	}
	p.observe(took)
	a.Server.Answered(now, float64(took)/float64(p.usual))
}

// forgetPaces drops what is known of routes that are gone.
func (s *System) forgetPaces() {
	named := map[string]bool{}
	for i := range s.table.Routes {
		named[s.table.Routes[i].Name] = true
	}
	for key := range s.paces {
		if !named[key.route] {
			delete(s.paces, key)
		}
	}
	for name := range s.dealers {
		if !named[name] {
			delete(s.dealers, name)
		}
	}
}
