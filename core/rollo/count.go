package rollo

import (
	"maps"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// Outcome is what a Counter counts of the answers to requests.
type Outcome int

// The outcomes. Each answer counts as OutcomeAnswer, and as one of the others if it is bad.
const (
	OutcomeAnswer Outcome = iota
	OutcomeFailed
	OutcomeSlow
)

// Key names a counter of one roll-out.
type Key struct {
	Group string
	// Order is the revision of the order.
	Order uint64
	Route string
	// Server is set, and Route empty, for the answers of one server on all routes.
	Server  model.ServerID
	Side    Side
	Outcome Outcome
}

// Counter counts the outcomes of roll-outs, summed over the instances.
type Counter interface {
	// Add counts n events at this instance.
	Add(now time.Time, key Key, n int)
	// Total returns the events of all instances as far as they are known.
	Total(key Key) uint64
}

// Counts returns the counts of a roll-out on the given routes.
func Counts(c Counter, group string, order uint64, routes []string) (out []event.RolloutCounts) {
	for _, route := range routes {
		read := func(side Side) model.AnswerCounts {
			return countsOf(c, Key{Group: group, Order: order, Route: route, Side: side})
		}
		counts := event.RolloutCounts{Route: route, Old: read(SideOld), New: read(SideNew)}
		if counts.Old.Answers+counts.New.Answers > 0 {
			out = append(out, counts)
		}
	}
	return out
}

// countsOf returns the counts of a key for all outcomes.
func countsOf(c Counter, key Key) model.AnswerCounts {
	failed, slow := key, key
	failed.Outcome, slow.Outcome = OutcomeFailed, OutcomeSlow
	return model.AnswerCounts{Answers: c.Total(key), Failed: c.Total(failed), Slow: c.Total(slow)}
}

// CountsByServer returns the counts of servers with the target version.
func CountsByServer(c Counter, group string, order uint64, servers []model.ServerID) (out []event.ServerCounts) {
	for _, id := range servers {
		if counts := countsOf(c, Key{Group: group, Order: order, Server: id, Side: SideNew}); counts.Answers > 0 {
			out = append(out, event.ServerCounts{Server: id, Counts: counts})
		}
	}
	return out
}

// Exchange is a Counter that instances keep together by reports: each instance sends its counts to
// the collector of its data centre, and the collectors send each other the sums of their data
// centres. Counts are cumulative, so that a lost report does no harm. Engine sends and receives the
// reports.
type Exchange struct {
	own map[Key]uint64
	// members holds the reports of the instances of the own data centre, and centres the sums of
	// the others, by group. Those of instances that are gone are kept until the roll-out ends.
	members map[model.InstanceID]source
	centres map[string]source
}

// source is where reports come from.
type source struct {
	incarnation model.Incarnation
	reports     map[string]event.RolloutReport
}

// NewExchange returns an Exchange without counts.
func NewExchange() *Exchange {
	return &Exchange{own: map[Key]uint64{}, members: map[model.InstanceID]source{}, centres: map[string]source{}}
}

// Add implements Counter.
func (x *Exchange) Add(_ time.Time, key Key, n int) { x.own[key] += uint64(max(n, 0)) }

// Total implements Counter.
func (x *Exchange) Total(key Key) (sum uint64) {
	sum = x.own[key]
	for _, s := range x.members {
		sum += countOf(s, key)
	}
	for _, s := range x.centres {
		sum += countOf(s, key)
	}
	return sum
}

// countOf returns the count of a key in a source's reports.
func countOf(s source, key Key) uint64 {
	report, ok := s.reports[key.Group]
	if !ok || report.OrderRevision != key.Order {
		return 0
	}
	var counts model.AnswerCounts
	if key.Server != "" {
		if i := slices.IndexFunc(report.Servers, func(c event.ServerCounts) bool { return c.Server == key.Server }); i >= 0 {
			counts = report.Servers[i].Counts
		}
	} else if i := slices.IndexFunc(report.Routes, func(c event.RolloutCounts) bool { return c.Route == key.Route }); i >= 0 {
		counts = report.Routes[i].Old
		if key.Side == SideNew {
			counts = report.Routes[i].New
		}
	}
	return [...]uint64{counts.Answers, counts.Failed, counts.Slow}[key.Outcome]
}

// Own returns the counts of this instance alone.
func (x *Exchange) Own() Counter { return ownCounts{x} }

type ownCounts struct{ x *Exchange }

func (o ownCounts) Add(now time.Time, key Key, n int) { o.x.Add(now, key, n) }

func (o ownCounts) Total(key Key) uint64 { return o.x.own[key] }

// Receive records the reports of an instance of the own data centre.
func (x *Exchange) Receive(from model.InstanceID, incarnation model.Incarnation, reports []event.RolloutReport) {
	x.members[from] = received(x.members[from], incarnation, reports)
}

// ReceiveSums records the sums of another data centre. Those of another collector replace them.
func (x *Exchange) ReceiveSums(dataCentre string, incarnation model.Incarnation, reports []event.RolloutReport) {
	x.centres[dataCentre] = received(x.centres[dataCentre], incarnation, reports)
}

func received(s source, incarnation model.Incarnation, reports []event.RolloutReport) source {
	if s.reports == nil || s.incarnation != incarnation {
		s = source{incarnation: incarnation, reports: map[string]event.RolloutReport{}}
	}
	for _, r := range reports {
		s.reports[r.Group] = r
	}
	return s
}

// Sum adds the reports of the instances of the own data centre to the own report. The lowest stage
// is that of the given live instances; one without a report is in StageNone.
func (x *Exchange) Sum(own event.RolloutReport, live []model.InstanceID) event.RolloutReport {
	routes, servers := map[string]event.RolloutCounts{}, map[model.ServerID]model.AnswerCounts{}
	add := func(r event.RolloutReport) {
		for _, c := range r.Routes {
			sum := routes[c.Route]
			routes[c.Route] = event.RolloutCounts{Route: c.Route, Old: sum.Old.Add(c.Old), New: sum.New.Add(c.New)}
		}
		for _, c := range r.Servers {
			servers[c.Server] = servers[c.Server].Add(c.Counts)
		}
	}
	add(own)
	for _, s := range x.members {
		if r := s.reports[own.Group]; r.OrderRevision == own.OrderRevision {
			add(r)
		}
	}
	for _, id := range live {
		r := x.members[id].reports[own.Group]
		if r.OrderRevision != own.OrderRevision {
			own.Stage = model.StageNone
			continue
		}
		own.Stage = min(own.Stage, r.Stage)
		own.OldInFlight += r.OldInFlight
	}
	own.Routes, own.Servers = nil, nil
	for _, name := range slices.Sorted(maps.Keys(routes)) {
		own.Routes = append(own.Routes, routes[name])
	}
	for _, id := range slices.Sorted(maps.Keys(servers)) {
		own.Servers = append(own.Servers, event.ServerCounts{Server: id, Counts: servers[id]})
	}
	return own
}

// Confirmed reports whether the own data centre, given by its sum, and the other live data centres
// apply a stage and have no exchange in flight at an old server.
func (x *Exchange) Confirmed(sum event.RolloutReport, dataCentres []string, stage model.RolloutStage) bool {
	if sum.Stage < stage || sum.OldInFlight > 0 {
		return false
	}
	for _, d := range dataCentres {
		r := x.centres[d].reports[sum.Group]
		if r.OrderRevision != sum.OrderRevision || r.Stage < stage || r.OldInFlight > 0 {
			return false
		}
	}
	return true
}

// Forget drops all counts of a group, once its roll-out has ended.
func (x *Exchange) Forget(group string) {
	maps.DeleteFunc(x.own, func(k Key, _ uint64) bool { return k.Group == group })
	for id, s := range x.members {
		delete(s.reports, group)
		if len(s.reports) == 0 {
			delete(x.members, id)
		}
	}
	for d, s := range x.centres {
		delete(s.reports, group)
		if len(s.reports) == 0 {
			delete(x.centres, d)
		}
	}
}
