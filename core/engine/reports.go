package engine

import (
	"fmt"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/report"
)

// updateReports tells the exchange of reports on servers which instances and servers there are. It reports
// whether this instance needs the links of the exchange.
func (e *Engine) updateReports(now time.Time, live []model.Instance) (needed bool) {
	if len(live) < report.MinInstances {
		e.Reports.SetPeers(nil, report.Peers{})
		e.Reports.SetServers(nil)
		return false
	}
	p := report.Peers{}
	p.Collector, p.Collectors, p.Members = e.Usage.Area()
	e.Reports.SetPeers(live, p)
	known := map[uint64]string{}
	for b := range e.Roster.All() {
		known[b.ReportKey] = b.DataCentre
	}
	e.Reports.SetServers(known)
	return e.linkedOnce && e.Relay.NeedsReports(now)
}

// invalidReports returns the invalid field of a message of reports, or "".
func invalidReports(m *event.HealthReports) (problem string) {
	if len(m.Entries) == 0 || len(m.Entries) > report.MaxEntries {
		return fmt.Sprintf("reports: %d entries", len(m.Entries))
	}
	for _, r := range m.Entries {
		switch {
		case r.Kind < event.ReportSlow || r.Kind > event.ReportHealthy:
			return fmt.Sprintf("reports: server %x: kind %d", r.Server, r.Kind)
		case r.Multiple < 0 || r.Multiple > report.MaxMultiple || (r.Multiple > 0) != (r.Kind == event.ReportSlow):
			return fmt.Sprintf("reports: server %x: %s, multiple %d", r.Server, r.Kind, r.Multiple)
		case r.AgeMillis < 0 || r.AgeMillis > maxAge.Milliseconds():
			return fmt.Sprintf("reports: server %x: age %d ms", r.Server, r.AgeMillis)
		}
	}
	return ""
}
