// Package usage counts events under keys and sums them over all instances.
//
// One instance of each area, which is a data centre or a part of a large one, is its collector. The others
// report their counters to it and get the sums of the other instances in reply; collectors exchange the
// sums of their areas. Each instance keeps the events of the others in a window of its own, so that a count is not forgotten
// when its instance or a collector is lost. Packages relay and usage itself apply limits to the sums;
// package engine passes the messages.
package usage

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// Kind is what a counter counts. Other packages may define more kinds, from FirstTotal on, of which
// totals are kept.
type Kind uint8

// The kinds of counters.
const (
	// Admitted counts the requests of a customer that were admitted.
	Admitted Kind = iota + 1
	// Requests counts the requests of a route.
	Requests
	// Extra counts the attempts for a group beyond the first of each request.
	Extra
	// FirstTotal is the first kind of which Total is available.
	FirstTotal Kind = 16
)

// Key names a counter.
type Key struct {
	Kind Kind
	Name string
}

// code returns the form that messages contain: the kind, and 56 bits of a hash of the name.
func (k Key) code() uint64 { return uint64(k.Kind)<<56 | xxhash.Sum64String(k.Name)>>8 }

const (
	// collectorInterval is the time between two messages of a collector, and memberInterval between
	// two reports of a member, while a counter is used beyond half of its limit. Otherwise one is sent
	// every baseInterval, so that sums are younger than maxAge.
	collectorInterval = 100 * time.Millisecond
	memberInterval    = 200 * time.Millisecond
	baseInterval      = 600 * time.Millisecond
	// maxAge is the age from which sums are no longer used.
	maxAge = time.Second
	// coveredAge is the age from which a collector no longer regards a peer as covered. A peer
	// confirms the last message in its next report, so that confirmations are up to two base
	// intervals old.
	coveredAge = 1600 * time.Millisecond
	// hotTime is the time for which a counter is reported at short intervals after its use was last
	// found to be beyond half of its limit.
	hotTime = time.Second
	// KeepTime is the time for which sums are kept up after they were last needed.
	KeepTime = time.Minute
	// streamTTL is the time after which the state of a silent peer is removed.
	streamTTL = time.Minute
	// defaultWindow is the window of kinds without one of their own.
	defaultWindow = 10 * time.Second
	// maxCounters limits the counters. Further names of a kind share one counter, which makes
	// limits stricter, not looser.
	maxCounters = 8192
)

// Sender sends messages to peers and logs changes of state.
type Sender interface {
	Send(to model.InstanceID, m event.Message)
	Emit(c event.Command)
}

// Counters counts the work of a table.
type Counters struct {
	ReportsSent uint64 `json:"usage-reports-sent"`
	SumsSent    uint64 `json:"usage-sums-sent"`
	EntriesSent uint64 `json:"usage-entries-sent"`
	// FreshDecisions and PartDecisions count the decisions by the fleet's sums and by the
	// instance's own part.
	FreshDecisions uint64 `json:"usage-decisions-by-sums"`
	PartDecisions  uint64 `json:"usage-decisions-by-own-part"`
}

// Status is the state of the exchange, for metrics.
type Status struct {
	Counters
	// Collector is the collector of the area, Covered the number of instances whose events
	// are visible, and Shares the number among which limits are divided.
	Collector model.InstanceID `json:"usage-collector"`
	Covered   int              `json:"usage-covered"`
	Shares    int              `json:"usage-shares"`
	// Fresh is set while limits are applied to the sums.
	Fresh bool `json:"usage-fresh"`
}

// Status returns the state of the exchange.
func (t *Table) Status(now time.Time) Status {
	covered, _, fresh := t.coverage(now, t.longestWindow())
	return Status{Counters: t.Counters, Collector: t.collector, Covered: covered, Shares: t.shares, Fresh: fresh}
}

// counter is one counter. others are events of other instances: members of the area, if this
// instance is its collector, and remote ones.
type counter struct {
	kind                 Kind
	own, members, remote uint64
	ownRing, membersRing ring
	remoteRing           ring
	// lateMembers and lateRemote hold events whose times are not known exactly: those of the first
	// message of a peer, and after a gap. They are not used as a rate.
	lateMembers, lateRemote ring
	// unclaimed holds the events that this instance knew when it became a collector, and which no peer
	// has reported since: those of lost instances, and of peers that report later.
	unclaimed ring
	// usual is the mean of the events of all instances in a window by the current sums, over some
	// windows until usualAt, and ownUsual the part of this instance.
	usual, ownUsual float64
	usualAt         time.Time
	// totals sums the totals that peers have sent, by their role.
	totals   [fromCollector + 1]uint64
	hotUntil time.Time
	// draw rounds this instance's own part up or down; it is in [0, 1) and drawn anew at drawAt.
	draw   float64
	drawAt time.Time
}

// Table holds the counters of an instance, and what it knows of those of others.
type Table struct {
	Self     model.Instance
	Out      Sender
	Rand     *rand.Rand
	Counters Counters
	// StartedAt is when the instance started.
	StartedAt time.Time

	epoch    uint64
	counters map[uint64]*counter
	windows  map[Kind]time.Duration
	streams  map[model.InstanceID]*stream
	// collector is the collector of this instance's area, collectors holds those of all areas, and
	// shares is the number of instances among which limits are divided.
	collector  model.InstanceID
	collectors []model.InstanceID
	// areaMembers holds the other instances of the area, if this instance is its collector.
	areaMembers []model.InstanceID
	shares      int
	// members are the live instances, live their incarnations, medianStart the incarnation in the middle,
	// and youngOnes the number of young ones.
	members     []model.Instance
	live        map[model.InstanceID]model.Incarnation
	medianStart model.Incarnation
	youngOnes   int
	// changed holds the previous exchange with peers that have become a collector or a member.
	changed map[model.InstanceID]*stream
	// freshAt is when the sums of a kind were last current here, and takingOver is set while this instance, which
	// knows the sums of the previous collector, waits for the reports of the others.
	freshAt    map[Kind]time.Time
	takingOver bool
	tookOverAt time.Time
	// collectingSince is since when this instance is a collector that is in use; zero if it isn't.
	collectingSince time.Time
	wanted          map[Kind]bool
	wantedUntil     time.Time
	// wantedElsewhere is the end of the time for which the collector of another area needs the sums of
	// this one. It is kept apart, as two areas would otherwise keep each other's exchange up for ever.
	wantedElsewhere time.Time
	// nextRound is when the next messages are due, and baseAt when those to all peers are.
	nextRound, baseAt time.Time
	reported          string
}

// New returns the table of an instance that has just started.
func New(now time.Time, self model.Instance, out Sender, r *rand.Rand) *Table {
	return &Table{
		Self: self, Out: out, Rand: r, StartedAt: now, epoch: max(1, uint64(self.Incarnation)), shares: 1, //nolint:gosec // not negative
		counters: map[uint64]*counter{}, windows: map[Kind]time.Duration{}, streams: map[model.InstanceID]*stream{},
		wanted: map[Kind]bool{}, freshAt: map[Kind]time.Time{}, changed: map[model.InstanceID]*stream{},
	}
}

// SetWindow sets the window of a kind. Events that were counted before keep counting.
func (t *Table) SetWindow(kind Kind, window time.Duration) { t.windows[kind] = window }

// Window returns the window of a kind.
func (t *Table) Window(kind Kind) time.Duration {
	if w := t.windows[kind]; w > 0 {
		return w
	}
	return defaultWindow
}

// SetWanted sets whether sums of a kind are needed at all instances, whether or not this one counts
// events. Sums of other kinds than Requests and Extra are exchanged while events are counted.
func (t *Table) SetWanted(kind Kind, wanted bool) { t.wanted[kind] = wanted }

// Want keeps up the exchange for KeepTime.
func (t *Table) Want(now time.Time) { t.wantedUntil = now.Add(KeepTime) }

// Wanted reports whether this instance takes part in the exchange.
func (t *Table) Wanted(now time.Time) bool {
	return t.wantedInArea(now) || now.Before(t.wantedElsewhere)
}

// wantedInArea reports whether this instance needs sums, or as a collector a member does.
func (t *Table) wantedInArea(now time.Time) bool {
	for _, wanted := range t.wanted {
		if wanted {
			return true
		}
	}
	return now.Before(t.wantedUntil)
}

func (t *Table) counter(code uint64) *counter {
	c := t.counters[code]
	if c == nil {
		kind := Kind(code >> 56)
		if len(t.counters) >= maxCounters {
			code = Key{kind, ""}.code()
			if c = t.counters[code]; c != nil {
				return c
			}
		}
		c = &counter{kind: kind}
		t.counters[code] = c
	}
	return c
}

// others returns the events of the other instances in the window.
func (c *counter) others(now time.Time, window time.Duration) (n int) {
	for _, r := range []*ring{&c.unclaimed, &c.membersRing, &c.remoteRing, &c.lateMembers, &c.lateRemote} {
		n += r.sum(now, window)
	}
	return n
}

// unclaimOthers makes the events of others wait for the peers that report them again.
func (t *Table) unclaimOthers(now time.Time) {
	for _, c := range t.counters {
		for _, r := range []*ring{&c.membersRing, &c.remoteRing, &c.lateMembers, &c.lateRemote} {
			c.unclaimed.addRing(now, t.Window(c.kind), r)
			*r = ring{}
		}
	}
}

const (
	// usualWindows is the number of windows over which usual numbers of events are averaged.
	usualWindows = 4
	// usualTime is the time for which they are used after the sums were lost.
	usualTime = time.Minute
)

// updateUsual updates the usual numbers of events while the sums are current.
func (t *Table) updateUsual(now time.Time) {
	for kind, window := range t.windows {
		if _, _, fresh := t.coverage(now, window); !fresh {
			continue
		}
		for _, c := range t.counters {
			if c.kind != kind {
				continue
			}
			own := float64(c.ownRing.sum(now, window))
			events := own + float64(c.others(now, window))
			weight := 1.0
			if age := now.Sub(c.usualAt); !c.usualAt.IsZero() {
				weight = min(1, float64(age)/float64(usualWindows*window))
			}
			c.usual, c.ownUsual, c.usualAt = c.usual+weight*(events-c.usual), c.ownUsual+weight*(own-c.ownUsual), now
		}
	}
}

// Add counts n events at this instance.
func (t *Table) Add(now time.Time, key Key, n int) {
	if n <= 0 {
		return
	}
	c := t.counter(key.code())
	c.own += uint64(n)
	c.ownRing.add(now, t.Window(key.Kind), uint64(n))
	if key.Kind != Requests && key.Kind != Extra {
		t.wantedUntil = now.Add(KeepTime)
	}
}

// Sum is the number of events of a counter in the window that ends now.
type Sum struct {
	// Own and Others are the events of this instance, and those of other instances as far as
	// they are visible here. Others includes those of instances that are no longer covered.
	Own, Others int
	// Expected is the number of events of others that have probably happened since.
	Expected int
	// Covered is the number of instances whose current events are included, and Shares the number
	// among which limits are divided.
	Covered, Shares int
	// Usual is the mean number of events of all instances in a window over the last windows with
	// current sums. It is known for usualTime after them.
	Usual      float64
	UsualKnown bool
	// OwnUsual is the part of Usual of this instance, and OwnSince the number of its events in the
	// window since the sums were last current. SinceFresh is the time since then in windows, at most one.
	OwnUsual, SinceFresh float64
	OwnSince             int
	// Current is set if the sums are not too old to use, and Fresh if they are besides complete:
	// the collector has collected for more than a window.
	Current, Fresh bool
}

// Events returns the events of all covered instances.
func (s Sum) Events() int { return s.Own + s.Others }

// Scale returns the fraction of a limit that the covered instances may use.
func (s Sum) Scale() float64 { return min(1, float64(s.Covered)/float64(max(1, s.Shares))) }

// Fleet returns the events of all covered instances within the window that ends now, own events
// included, and how many instances are covered.
func (t *Table) Fleet(now time.Time, key Key) Sum {
	window := t.Window(key.Kind)
	s := Sum{Covered: 1, Shares: t.shares}
	if c := t.counters[key.code()]; c != nil {
		s.Own = c.ownRing.sum(now, window)
		s.Others = c.others(now, window)
		s.Usual, s.OwnUsual, s.UsualKnown = c.usual, c.ownUsual, now.Sub(c.usualAt) < usualTime
		s.OwnSince, s.SinceFresh = s.Own, 1
		if since := now.Sub(t.freshAt[key.Kind]); since < window {
			s.OwnSince = c.ownRing.newest(int64(since/(window/windowBuckets)) + 2)
			s.SinceFresh = min(1, float64(since+visibleDelay)/float64(window))
		}
		if key.Kind == Requests {
			// A budget is a fraction of the requests: no more of them may count than were sent
			// within the window.
			s.Own = c.ownRing.within(now, window)
			s.Others = c.membersRing.within(now, window) + c.remoteRing.within(now, window) +
				c.lateMembers.within(now, window) + c.lateRemote.within(now, window) + c.unclaimed.within(now, window)
		}
		s.Expected = c.unclaimed.expected(now, window) + c.membersRing.expected(now, window) + c.remoteRing.expected(now, window)
		s.Expected = int(int64(s.Expected) * (100 + t.unseenPercent(now)) / 100)
	}
	s.Covered, s.Current, s.Fresh = t.coverage(now, window)
	return s
}

// Total returns the events since the counter began, summed over the instances that are known here.
func (t *Table) Total(key Key) (n uint64) {
	c := t.counters[key.code()]
	if c == nil {
		return 0
	}
	if t.isCollector() {
		return c.own + c.totals[fromMember] + c.totals[fromArea]
	}
	return c.own + c.totals[fromCollector]
}

// MarkHot makes the counter be reported at short intervals.
func (t *Table) MarkHot(now time.Time, key Key) {
	t.counter(key.code()).hotUntil = now.Add(hotTime)
}

// drawTime is the time for which a draw holds, in windows. A redraw may allow an event in the same
// window as the last draw, so draws are rare.
const drawTime = 8

// Part returns how many whole events this instance may have in a window if its part of a limit is a
// fraction of one: the result is rounded at random, so that on average no part is lost and none is
// gained over all instances.
func (t *Table) Part(now time.Time, key Key, part float64) int {
	c := t.counter(key.code())
	if !now.Before(c.drawAt) {
		window := t.Window(key.Kind)
		first := c.drawAt.IsZero()
		c.draw, c.drawAt = t.Rand.Float64(), now.Add(drawTime*window)
		if first {
			c.drawAt = now.Add(time.Duration(t.Rand.Float64() * float64(drawTime*window)))
		}
	}
	return int(max(0, part) + c.draw)
}
