package relay

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// Priority admission decides which requests get the capacity of servers when it doesn't suffice for
// all. Requests that find too few servers with capacity are held, for a quarter of their target at
// most, and are admitted in this order as capacity becomes free:
//
//  1. requests of a kind or customer that is starved: served far less often than all together;
//  2. by priority, that of the customer or else of the route;
//  3. by what the customer has used lately of its rate, least first, so that load shedding starts with
//     customers far above their usual rates;
//  4. by arrival.
//
// A group that a held request waits for is reserved for it: requests behind it get no server of that
// group. The order applies only where routes differ in priority or customers exist, and nothing but
// counters changes while no request is held.

const (
	// maxHeld limits the held requests; the last ones in order are refused beyond it.
	maxHeld = 256
	// shedWindow is the time constant of the counts by which starved kinds and the use of customers
	// are recognized, and drainWindow that of the rate at which capacity becomes free: a few times
	// the usual targets.
	shedWindow  = 2 * time.Second
	drainWindow = 500 * time.Millisecond
	// Kinds and customers are to be served at least a quarter as often as all together; starvedFraction
	// leaves room for the time until precedence takes effect. Fewer requests than minOffered tell
	// nothing.
	starvedFraction = 0.4
	minOffered      = 4
)

// decayed is a count in which past events weigh less with time.
type decayed struct {
	count float64
	at    time.Time
}

// value returns the count at a time, with the given time constant.
func (d *decayed) value(now time.Time, window time.Duration) float64 {
	return d.count * math.Exp(-float64(max(0, now.Sub(d.at)))/float64(window))
}

// add counts an event.
func (d *decayed) add(now time.Time, window time.Duration) {
	d.count, d.at = d.value(now, window)+1, now
}

// servedShare counts the requests of a kind or customer: those that wanted a server, and those that
// got one.
type servedShare struct {
	offered, served decayed
	// recentOffered and recentServed are the counts as of countedAt. The order of requests depends on
	// them, so that it doesn't differ between requests that are compared at about the same time.
	recentOffered, recentServed float64
	countedAt                   time.Time
}

// recent returns the counts, as of holdInterval ago at most: they change little within that.
func (s *servedShare) recent(now time.Time) (offered, served float64) {
	if s.countedAt.IsZero() || now.Sub(s.countedAt) >= holdInterval {
		s.countedAt = now
		s.recentOffered, s.recentServed = s.offered.value(now, shedWindow), s.served.value(now, shedWindow)
	}
	return s.recentOffered, s.recentServed
}

// kind is what has a share of its own among the requests: a route at one priority.
type kind struct {
	route    string
	priority int
}

// shedder holds the requests that wait for capacity, and the counts that their order depends on.
type shedder struct {
	// active is set if the routing table calls for priority admission.
	active bool
	held   []*Request
	// usualRate is the rate that counts as that of customers without one: the mean of the others'.
	usualRate float64
	// all, byKind and byCustomer count the requests served; byCustomer is keyed by name.
	all        servedShare
	byKind     map[kind]*servedShare
	byCustomer map[string]*servedShare
	// freed counts the exchanges that have ended, by group.
	freed map[string]*decayed
	// admitting is set while held requests are admitted.
	admitting bool
}

// load prepares for a routing table. Counts of the one before are dropped.
func (p *shedder) load(t *model.RoutingTable) {
	p.active = len(t.Customers) > 0 || slices.ContainsFunc(t.Routes, func(r model.Route) bool { return r.Priority != t.Routes[0].Priority })
	p.byKind, p.byCustomer = map[kind]*servedShare{}, map[string]*servedShare{}
	p.freed = map[string]*decayed{}
	rates, sum := 0, 0.0
	for _, c := range t.Customers {
		if c.RatePerSecond > 0 {
			rates, sum = rates+1, sum+c.RatePerSecond
		}
	}
	if p.usualRate = 1; rates > 0 {
		p.usualRate = sum / float64(rates)
	}
}

// entry returns the value of a key, which it adds if it is missing.
func entry[K comparable, V any](m map[K]*V, key K) *V {
	v := m[key]
	if v == nil {
		v = new(V)
		m[key] = v
	}
	return v
}

// offer counts a request that wants servers.
func (p *shedder) offer(now time.Time, q *Request) {
	if !p.active {
		return
	}
	q.ofKind = entry(p.byKind, kind{q.Route.Name, q.priority()})
	q.ofCustomer = entry(p.byCustomer, q.customerName())
	for _, share := range []*servedShare{&p.all, q.ofKind, q.ofCustomer} {
		share.offered.add(now, shedWindow)
	}
}

// serve counts a request that got its first server.
func (p *shedder) serve(now time.Time, q *Request) {
	if q.ofKind == nil {
		return
	}
	for _, share := range []*servedShare{&p.all, q.ofKind, q.ofCustomer} {
		share.served.add(now, shedWindow)
	}
}

// starved reports whether requests of a kind or customer are served far less often than all.
func (p *shedder) starved(now time.Time, q *Request) bool {
	allOffered, allServed := p.all.recent(now)
	for _, share := range []*servedShare{q.ofKind, q.ofCustomer} {
		offered, served := share.recent(now)
		if offered >= minOffered && served*allOffered < starvedFraction*allServed*offered {
			return true
		}
	}
	return false
}

// use returns how many requests of the customer were served lately, in relation to its rate.
// Requests without a customer count as those of one more, without a rate.
func (p *shedder) use(now time.Time, q *Request) float64 {
	rate := p.usualRate
	if q.Customer != nil && q.Customer.RatePerSecond > 0 {
		rate = q.Customer.RatePerSecond
	}
	_, served := q.ofCustomer.recent(now)
	return served / rate
}

// place is the position of a request in the order of admission.
type place struct {
	starved  bool
	priority int
	use      float64
	arrived  time.Time
	query    event.QueryID
}

// placeOf returns the place of a request.
func (p *shedder) placeOf(now time.Time, q *Request) place {
	return place{starved: p.starved(now, q), priority: q.priority(), use: p.use(now, q), arrived: q.ArrivedAt, query: q.Query}
}

// compare orders places, the first to be admitted first.
func (a place) compare(b place) int {
	if a.starved != b.starved {
		if a.starved {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.priority, b.priority), cmp.Compare(a.use, b.use), a.arrived.Compare(b.arrived), cmp.Compare(a.query, b.query))
}

// reservedGroups returns the groups that are reserved for other requests than q.
func (p *shedder) reservedGroups(now time.Time, q *Request) (groups map[string]bool) {
	if len(p.held) == 0 || q.ofKind == nil {
		return nil
	}
	groups = map[string]bool{}
	own := p.placeOf(now, q)
	for _, h := range p.held {
		if h != q && p.placeOf(now, h).compare(own) < 0 {
			for _, g := range h.fullGroups {
				groups[g] = true
			}
		}
	}
	return groups
}

// free counts the end of an exchange.
func (p *shedder) free(now time.Time, group string) {
	if p.active {
		entry(p.freed, group).add(now, drainWindow)
	}
}

// waitTime returns the time that it takes to free capacity for the requests before q in one of the
// groups that it waits for, at the present rate; zero if that isn't known.
func (p *shedder) waitTime(now time.Time, q *Request) (longest time.Duration) {
	own := p.placeOf(now, q)
	for _, g := range q.fullGroups {
		freed := p.freed[g]
		if freed == nil || freed.value(now, drainWindow) < 1 {
			continue
		}
		before := 0
		for _, h := range p.held {
			if h != q && slices.Contains(h.fullGroups, g) && p.placeOf(now, h).compare(own) < 0 {
				before++
			}
		}
		perSecond := freed.value(now, drainWindow) / drainWindow.Seconds()
		longest = max(longest, time.Duration(float64(before)/perSecond*float64(time.Second)))
	}
	return longest
}

// holds reports whether a request is held.
func (p *shedder) holds(q *Request) bool { return slices.Contains(p.held, q) }

// drop removes a request from the held ones.
func (p *shedder) drop(q *Request) {
	p.held = slices.DeleteFunc(p.held, func(h *Request) bool { return h == q })
}

// holdLimit returns until when a request may be held: later its answer would be late.
func holdLimit(q *Request) time.Time {
	return q.ArrivedAt.Add(time.Duration(maxHoldFraction * float64(q.Route.Target)))
}

// holdInOrder holds a request that finds too few servers with capacity. It is refused at once if it
// is certain that none becomes free for it in time, so that it can still be served elsewhere.
func (s *System) holdInOrder(now time.Time, q *Request, reason string) {
	if !s.shed.holds(q) {
		s.shed.held = append(s.shed.held, q)
	}
	if wait := s.shed.waitTime(now, q); now.Add(max(wait, holdInterval)).After(holdLimit(q)) {
		if wait > holdInterval {
			reason = fmt.Sprintf("%s; the requests before it take another %s", reason, wait.Round(time.Millisecond))
		}
		s.shedRequest(now, q, reason)
		return
	}
	q.HoldCount++
	s.timers.Set(now.Add(holdInterval), timerEvent{kind: timerAdmit, request: q.Query})
	if len(s.shed.held) > maxHeld {
		last := slices.MaxFunc(s.shed.held, func(a, b *Request) int {
			return s.shed.placeOf(now, a).compare(s.shed.placeOf(now, b))
		})
		s.shedRequest(now, last, reason)
	}
}

// shedRequest refuses a held request.
func (s *System) shedRequest(now time.Time, q *Request, reason string) {
	s.Counters.RefusedShed++
	s.shed.drop(q)
	retryAfter := longRetryAfter
	if now.Before(holdLimit(q).Add(-holdInterval)) {
		retryAfter = shortRetryAfter
	}
	s.refuse(now, q, event.RefuseOverload, s.retryAfter(now, q, retryAfter), reason)
}

// awaitsCapacity reports whether a request to a single group, for which no server was found, is to
// be held for capacity. Rate limits and servers that turn requests away are waited for otherwise.
func (s *System) awaitsCapacity(now time.Time, q *Request) bool {
	l := &q.Legs[0]
	return q.ofKind != nil && q.Route.Target > 0 && s.legLimitWait(now, q, l) == 0 && !s.awaitsReturn(now, q, l) && s.servable(now, q, l)
}

// admitHeld admits held requests after capacity became free in a group, in their order.
func (s *System) admitHeld(now time.Time, group string) {
	if len(s.shed.held) == 0 || s.shed.admitting {
		return
	}
	s.shed.admitting = true
	defer func() { s.shed.admitting = false }()
	var waiting []*Request
	for _, q := range s.shed.held {
		// The timer of a suspected request isolates it.
		if slices.Contains(q.fullGroups, group) && !s.suspected(now, q) && !s.Suspects.Resembles(now, q.Identity()) {
			waiting = append(waiting, q)
		}
	}
	slices.SortFunc(waiting, func(a, b *Request) int { return s.shed.placeOf(now, a).compare(s.shed.placeOf(now, b)) })
	for _, q := range waiting {
		servers, blocked := s.chooseServers(now, q)
		switch {
		case blocked == "":
			s.shed.drop(q)
			s.sendFirst(now, q, servers)
		case slices.Contains(q.fullGroups, group):
			// The group has no further capacity for the requests behind this one.
			return
		}
	}
}

// priority returns the rank of a request: that of its customer, or else of its route. 0 is the
// most urgent.
func (q *Request) priority() int {
	if q.Customer != nil && q.Customer.Priority != nil {
		return *q.Customer.Priority
	}
	return q.Route.Priority
}
