package relay

import (
	"cmp"
	"maps"
	"slices"
	"strings"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

// This file exchanges the rate limits of servers, and the demand by which they are divided, with
// the other instances.

const (
	// demandWindow is the time over which the demand is measured.
	demandWindow = 4 * time.Second
	// maxAnnouncedRoutes limits the routes of an announcement: those with the greatest demand.
	maxAnnouncedRoutes = 16
)

// countArrival counts a request on a route.
func (s *System) countArrival(now time.Time, r *model.Route) {
	b := s.arrivals[r.Name]
	if b == nil {
		b = &budget{}
		s.arrivals[r.Name] = b
	}
	b.advance(now, demandWindow)
	b.buckets[b.head%budgetBuckets].first++
}

// ownDemand returns the demand of this instance.
func (s *System) ownDemand(now time.Time) event.InstanceDemand {
	type routeRate struct {
		route string
		rate  float64
	}
	var rates []routeRate
	for route, b := range s.arrivals {
		b.advance(now, demandWindow)
		if first, _ := b.totals(); first > 0 {
			rates = append(rates, routeRate{route, float64(first) / demandWindow.Seconds()})
		}
	}
	slices.SortFunc(rates, func(a, b routeRate) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), strings.Compare(a.route, b.route))
	})
	out := event.InstanceDemand{Instance: s.Self.ID, Incarnation: s.Self.Incarnation, DataCentre: s.Self.DataCentre, Routes: map[string]float64{}}
	for _, r := range rates[:min(len(rates), maxAnnouncedRoutes)] {
		out.Routes[r.route] = r.rate
	}
	return out
}

// SpreadRateLimits does the periodic work on rate limits. It returns what the peers are to be
// told, or nil.
func (s *System) SpreadRateLimits(now time.Time) *event.RateLimits {
	s.demand.SetLive(now, s.members.Live, s.members.Shares)
	if len(s.limited) == 0 {
		return nil
	}
	s.demand.Announce(now, s.ownDemand(now))
	m := &event.RateLimits{Demands: s.demand.TakeUnsent()}
	for _, b := range s.limitedServers() {
		if b.Limit.Unsent {
			m.Servers = append(m.Servers, newServerLimit(now, b))
			b.Limit.Unsent = false
		}
		if !b.Limit.Active || !slices.Contains(s.Servers.Group(b.Group), b) {
			delete(s.limited, b.ID)
		}
	}
	if len(m.Servers)+len(m.Demands) == 0 {
		return nil
	}
	return m
}

// AllRateLimits returns all that a new peer is to be told of rate limits, or nil.
func (s *System) AllRateLimits(now time.Time) *event.RateLimits {
	if len(s.limited) == 0 {
		return nil
	}
	m := &event.RateLimits{Demands: s.demand.All()}
	for _, b := range s.limitedServers() {
		m.Servers = append(m.Servers, newServerLimit(now, b))
	}
	return m
}

// limitedServers returns the content of limited in order of ID.
func (s *System) limitedServers() []*roster.Server {
	out := slices.Collect(maps.Values(s.limited))
	slices.SortFunc(out, func(a, b *roster.Server) int { return strings.Compare(string(a.ID), string(b.ID)) })
	return out
}

// newServerLimit returns the state of a server's rate limit for peers.
func newServerLimit(now time.Time, b *roster.Server) event.ServerLimit {
	l := &b.Limit
	return event.ServerLimit{
		Server: b.ID, Group: b.Group, Life: b.Life, Active: l.Active, PerSecond: l.PerSecond,
		AgeMicros: max(0, now.Sub(l.ObservedAt()).Microseconds()),
	}
}

// HandleRateLimits applies a peer's report of rate limits.
func (s *System) HandleRateLimits(now time.Time, from model.InstanceID, m *event.RateLimits) {
	for _, d := range m.Demands {
		s.demand.Apply(now, d)
	}
	for _, report := range m.Servers {
		for _, b := range s.Servers.Group(report.Group) {
			if b.ID != report.Server || b.Life != report.Life {
				continue
			}
			wasActive := b.Limit.Active
			observedAt := now.Add(-time.Duration(report.AgeMicros) * time.Microsecond)
			if b.Limit.HandleReport(now, observedAt, report.Active, report.PerSecond) {
				s.limited[b.ID] = b
				s.reportLimit(now, b, wasActive, "reported by "+string(from))
			}
		}
	}
}

// ForgetInstance removes the demand of an instance that has left.
func (s *System) ForgetInstance(id model.InstanceID) { s.demand.Forget(id) }
