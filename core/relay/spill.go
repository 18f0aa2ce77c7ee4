package relay

import (
	"fmt"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/roster"
	"hyssoppitch/core/spill"
)

// This file applies the decision of package spill to the choice of servers, and counts what is sent
// to other data centres.

const (
	// maxSpillLines is the maximum number of log lines about spillover in each spillLogInterval. The
	// loss of a data centre changes the state of every route and group at once.
	maxSpillLines    = 30
	spillLogInterval = 10 * time.Second
)

// SpillCounts counts the exchanges with the servers of a data centre.
type SpillCounts struct {
	Distance  string `json:"distance"`
	Exchanges uint64 `json:"exchanges"`
	// ReplyBytes is the size of the bodies of the replies.
	ReplyBytes uint64 `json:"reply-bytes"`
}

// SpillStatus is what an instance sends where.
type SpillStatus struct {
	// Kept, SentInRegion and SentElsewhere count the exchanges with servers of this instance's data
	// centre, of others in its region, and of other regions.
	Kept          uint64 `json:"exchanges-kept"`
	SentInRegion  uint64 `json:"exchanges-sent-in-region"`
	SentElsewhere uint64 `json:"exchanges-sent-elsewhere"`
	// DataCentres holds the counts by data centre of the servers.
	DataCentres map[string]SpillCounts `json:"data-centres,omitempty"`
	// LinesLeftOut counts the log lines that were left out because there were too many.
	LinesLeftOut uint64      `json:"log-lines-left-out"`
	Spilling     []spill.Row `json:"spilling,omitempty"`
}

// spillState is the state of the decision and its counters.
type spillState struct {
	table  spill.Table
	counts map[string]*SpillCounts
	// servers and candidates hold the servers that can get the request of the current decision.
	// nearest is the distance of the nearest server that the rules allow, and overdue is set if
	// such a server has an overdue exchange.
	servers    []*roster.Server
	candidates []spill.Candidate
	nearest    spill.Distance
	overdue    bool
	// loggedSince is the begin of the interval in which lines log lines were written.
	loggedSince  time.Time
	lines        int
	linesLeftOut uint64
}

// distance returns the distance of a data centre.
func (s *System) distance(dataCentre string) spill.Distance {
	switch {
	case dataCentre == s.Self.DataCentre:
		return spill.OwnDataCentre
	case s.Options.Regions[dataCentre] == s.Options.Regions[s.Self.DataCentre]:
		return spill.OwnRegion
	default:
		return spill.OtherRegion
	}
}

// beginNear begins the choice of a server for a leg's next attempt. It reports whether near servers
// are preferred. Retries and hedges are in a hurry and go to the server with the lowest cost. So do
// the requests of a group during a roll-out: its versions are compared by latency, and may be in
// different data centres.
func (s *System) beginNear(q *Request, l *Leg) bool {
	p := &s.spill
	p.servers, p.candidates = p.servers[:0], p.candidates[:0]
	p.nearest, p.overdue = spill.OtherRegion, false
	return s.Options.Spill && q.Route.Target > 0 && len(l.Sent) == 0 && !q.Isolated && s.runningRollout(l.Group) == nil
}

// considerNear considers a server that the rules allow, whether or not it takes a request now.
func (s *System) considerNear(now time.Time, b *roster.Server) {
	p, distance := &s.spill, s.distance(b.DataCentre)
	if distance > p.nearest {
		return
	}
	if distance < p.nearest {
		p.nearest, p.overdue = distance, false
	}
	p.overdue = p.overdue || now.Before(b.PausedUntil)
}

// addNear adds a server that can get the request now.
func (s *System) addNear(now time.Time, r *model.Route, b *roster.Server, cost time.Duration) {
	// The last measured slowness applies without decay: a slow server is not preferred before an
	// answer shows that it has recovered. The ranking by cost sends it a request some time.
	latency := time.Duration(float64(s.baselineLatency(r.Name, b.DataCentre)) * b.LastSlowness())
	s.spill.servers = append(s.spill.servers, b)
	s.spill.candidates = append(s.spill.candidates, spill.Candidate{
		Distance: s.distance(b.DataCentre), Cost: cost,
		Latency: max(latency, s.expectedLatency(now, r, b)), Load: float64(b.InFlight) / float64(max(b.Slots, 1)),
		Slowness: b.LastSlowness(), FailureRate: b.FailureRate(now), Overdue: now.Before(b.PausedUntil),
	})
}

// chooseNear returns the server for the first attempt of a leg, or nil if none was added.
func (s *System) chooseNear(now time.Time, q *Request, l *Leg) *roster.Server {
	p := &s.spill
	r := spill.Request{
		Key: spill.Key{Route: q.Route.Name, Group: l.Group}, Gathers: q.gathers(),
		Left:    q.ArrivedAt.Add(timeAtInstance(q.RoutedRequest, q.Route.Target)).Sub(now),
		Nearest: p.nearest, NearestOverdue: p.overdue,
	}
	i, began := p.table.Choose(now, r, p.candidates)
	if began {
		s.logSpill(now, r.Key, "kept", "spilling", fmt.Sprintf(
			"the nearest servers are expected to have no time to spare; %d of 1000 requests prefer them", int(1000*p.table.Kept(now, r.Key)),
		))
	}
	if i < 0 {
		return nil
	}
	return p.servers[i]
}

// ReviewSpill logs the routes and groups whose requests have all returned to the nearest servers. It
// is called regularly.
func (s *System) ReviewSpill(now time.Time) {
	if !s.Options.Spill {
		s.spill.table.Clear()
		return
	}
	for _, k := range s.spill.table.Ended(now) {
		s.logSpill(now, k, "spilling", "kept", "the nearest servers have had time to spare for some seconds")
	}
}

// logSpill logs a change of state of a route's requests for a group, unless there were too many
// lines lately.
func (s *System) logSpill(now time.Time, k spill.Key, from, to, cause string) {
	p := &s.spill
	if now.Sub(p.loggedSince) >= spillLogInterval {
		p.loggedSince, p.lines = now, 0
	}
	if p.lines++; p.lines > maxSpillLines {
		p.linesLeftOut++
		return
	}
	s.Out.Emit(event.StateChanged{
		Kind: "spillover", Name: k.Route + " " + k.Group, From: from, To: to, Cause: cause + ", data centre " + s.Self.DataCentre,
	})
}

// spillCounts returns the counters of a data centre.
func (s *System) spillCounts(dataCentre string) *SpillCounts {
	c := s.spill.counts[dataCentre]
	if c == nil {
		c = &SpillCounts{}
		if s.spill.counts == nil {
			s.spill.counts = map[string]*SpillCounts{}
		}
		s.spill.counts[dataCentre] = c
	}
	return c
}

// SpillStatus returns what this instance sends where.
func (s *System) SpillStatus(now time.Time) SpillStatus {
	out := SpillStatus{DataCentres: map[string]SpillCounts{}, LinesLeftOut: s.spill.linesLeftOut, Spilling: s.spill.table.Rows(now)}
	for name, c := range s.spill.counts {
		row, distance := *c, s.distance(name)
		row.Distance = distance.String()
		out.DataCentres[name] = row
		switch distance {
		case spill.OwnDataCentre:
			out.Kept += c.Exchanges
		case spill.OwnRegion:
			out.SentInRegion += c.Exchanges
		default:
			out.SentElsewhere += c.Exchanges
		}
	}
	return out
}

// removeStaleFlows removes the state of routes and groups that are no longer in the routing table.
func (s *System) removeStaleFlows() {
	s.spill.table.Retain(func(k spill.Key) bool {
		i := slices.IndexFunc(s.table.Routes, func(r model.Route) bool { return r.Name == k.Route })
		return i >= 0 && slices.Contains(s.table.Routes[i].Groups(), k.Group)
	})
}

// keptFraction returns the fraction of a route's requests for a group that prefers the nearest servers.
func (s *System) keptFraction(now time.Time, route, group string) float64 {
	if !s.Options.Spill {
		return 0
	}
	return s.spill.table.Kept(now, spill.Key{Route: route, Group: group})
}
