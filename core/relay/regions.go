package relay

import (
	"fmt"
	"slices"
	"strings"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
)

// This file logs and counts what is restricted to the servers of some regions.

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

// allowsRegion reports whether a server is in a region that may execute a request: one that its route allowed
// on arrival, and that the active table allows. A request may take longer than a new version to be in force.
func (s *System) allowsRegion(q *Request, b *roster.Server) bool {
	return s.inRegions(q.Route.Regions, b) && s.inRegions(s.regionsInForce(q), b)
}

// regionsInForce returns the regions that the active table allows for a request, none if it allows all. A
// table without a route for the request adds no restriction.
func (s *System) regionsInForce(q *Request) []string {
	if q.Version == s.table.Version {
		return q.Route.Regions
	}
	if q.inForceVersion != s.table.Version {
		q.inForceVersion, q.inForce = s.table.Version, nil
		if r := s.table.Match(q.Host, q.Path); r != nil {
			q.inForce = r.Regions
		}
	}
	return q.inForce
}

// restricted reports whether only the servers of some regions may execute a request.
func (s *System) restricted(q *Request) bool {
	return len(q.Route.Regions) > 0 || len(s.regionsInForce(q)) > 0
}

// countRestricted counts an attempt of a request that only the servers of some regions may execute.
func (s *System) countRestricted(q *Request, b *roster.Server) {
	if s.restricted(q) {
		s.Counters.AttemptsRestricted++
	}
	if !s.inRegions(s.regionsInForce(q), b) {
		s.Counters.AttemptsOutside++
	}
}

// inRegions reports whether a server is in one of the regions; none stand for all.
func (s *System) inRegions(regions []string, b *roster.Server) bool {
	return len(regions) == 0 || slices.Contains(regions, s.Options.Regions[b.DataCentre])
}
