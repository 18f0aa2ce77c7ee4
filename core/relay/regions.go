package relay

import (
	"fmt"
	"slices"
	"strings"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

// This file keeps requests to the servers of the regions that may execute them, and logs and counts what is so
// restricted.

// maxRegionChanges is the maximum number of routes that are logged one by one when a new routing table
// changes their regions.
const maxRegionChanges = 20

// logRegionChanges logs the routes whose regions differ between two routing tables.
func (s *System) logRegionChanges(before, after *model.RoutingTable) {
	known := make(map[string][]string, len(before.Routes))
	for i := range before.Routes {
		known[before.Routes[i].Name] = before.Routes[i].Regions
	}
	changed := 0
	for i := range after.Routes {
		r := &after.Routes[i]
		regions, ok := known[r.Name]
		if (!ok && len(r.Regions) == 0) || (ok && slices.Equal(regions, r.Regions)) {
			continue
		}
		if changed++; changed > maxRegionChanges {
			continue
		}
		s.Out.Emit(event.StateChanged{
			Kind: "route-regions", Name: r.Name, From: regionList(regions), To: regionList(r.Regions),
			Cause: fmt.Sprintf("version %d", after.Version),
		})
	}
	if changed > maxRegionChanges {
		s.Out.Emit(event.StateChanged{
			Kind: "route-regions", Name: fmt.Sprintf("%d more", changed-maxRegionChanges), Cause: fmt.Sprintf("version %d", after.Version),
		})
	}
}

// regionList returns regions as text for logs.
func regionList(regions []string) string {
	if len(regions) == 0 {
		return "all"
	}
	return strings.Join(regions, " ")
}

// restriction holds the regions that may execute a request: those of its route and those of its customer, both
// of which bind. None stand for all.
type restriction struct {
	route, customer []string
}

// restrictionOf returns the restriction of a route and a customer, which may be nil.
func restrictionOf(r *model.Route, c *model.Customer) (out restriction) {
	if r != nil {
		out.route = r.Regions
	}
	if c != nil {
		out.customer = c.Regions
	}
	return out
}

// any reports whether only the servers of some regions may execute the request.
func (r restriction) any() bool { return len(r.route) > 0 || len(r.customer) > 0 }

// allows reports whether the servers of a region may execute the request. An empty name stands for an unknown
// region, which only a request without a restriction may go to.
func (r restriction) allows(region string) bool {
	allowedBy := func(regions []string) bool {
		return len(regions) == 0 || (region != "" && slices.Contains(regions, region))
	}
	return allowedBy(r.route) && allowedBy(r.customer)
}

// onArrival returns the restriction by the table that was active on the request's arrival.
func (q *Request) onArrival() restriction { return restrictionOf(q.Route, q.Customer) }

// inForce returns the restriction of a request by the active table. A table that has no route for the request or
// no customer with its key adds none.
func (s *System) inForce(q *Request) restriction {
	if q.Version == s.table.Version {
		return q.onArrival()
	}
	if q.inForceVersion != s.table.Version {
		q.inForceVersion = s.table.Version
		q.inForce = restrictionOf(s.table.Match(q.Host, q.Path), s.customers.byKey[q.Key])
	}
	return q.inForce
}

// allowsRegion reports whether a server is in a region that may execute a request, by the table of its arrival
// and by the active one: a request may take longer than a new version to be in force.
func (s *System) allowsRegion(q *Request, b *roster.Server) bool {
	if !s.restricted(q) {
		return true
	}
	region := s.Options.Regions[b.DataCentre]
	return q.onArrival().allows(region) && s.inForce(q).allows(region)
}

// restricted reports whether only the servers of some regions may execute a request.
func (s *System) restricted(q *Request) bool { return q.onArrival().any() || s.inForce(q).any() }

// countRestricted counts an attempt if only the servers of some regions may execute its request.
func (s *System) countRestricted(q *Request, a *Attempt) {
	if !a.Restricted {
		return
	}
	s.Counters.AttemptsRestricted++
	if !s.inForce(q).allows(s.Options.Regions[a.Server.DataCentre]) {
		s.Counters.AttemptsOutside++
	}
}
