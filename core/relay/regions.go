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

// countRestricted counts an attempt of a request that only the servers of some regions may execute.
func (s *System) countRestricted(q *Request, b *roster.Server) {
	if len(q.Route.Regions) > 0 {
		s.Counters.AttemptsRestricted++
	}
	if r := s.table.Match(q.Host, q.Path); r != nil && !s.inRegions(r.Regions, b) {
		s.Counters.AttemptsOutside++
	}
}

// inRegions reports whether a server is in one of the regions; none stand for all.
func (s *System) inRegions(regions []string, b *roster.Server) bool {
	return len(regions) == 0 || slices.Contains(regions, s.Options.Regions[b.DataCentre])
}
