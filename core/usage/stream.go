package usage

import (
	"iter"
	"maps"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/route"
)

// role is what a peer is to this instance.
type role int

const (
	// fromMember reports go to the collector of the area.
	fromMember role = iota
	// fromArea reports come from the collector of another area.
	fromArea
	// fromCollector sums come from the collector of the own area.
	fromCollector
)

// stream is the exchange with one peer.
type stream struct {
	epoch uint64
	role  role
	// got holds the peer's counters as last received.
	got map[uint64]received
	// complete is set once a full message was received.
	complete bool
	// seen is the SentAt of the last message of the peer, and echo what the peer has last seen
	// of this instance.
	seen, echo int64
	receivedAt time.Time
	covered    []event.UsageCoverage
	collecting time.Duration
	// sent holds the counters that this instance has sent. full is set while all are to be sent.
	sent map[uint64]sentCount
	full bool
	// lastSent is the last SentAt, which increases with each message.
	lastSent int64
}

type received struct {
	count, total uint64
	// counted is the number of the peer's events that were added to the sums, and recent holds those in
	// the window, if this instance is a collector.
	counted uint64
	recent  *ring
}

type sentCount struct {
	count, total uint64
	at           int64
}

// fresh reports whether the peer has confirmed a message that was sent within a time. Only the clock of
// this instance counts, so that messages that waited while either side was paused are recognized.
func (s *stream) fresh(now time.Time, within time.Duration) bool {
	age := now.UnixNano() - s.echo
	return s.complete && s.echo > 0 && age >= 0 && age < int64(within)
}

// minArea is the number of instances from which a data centre has more than one collector.
const minArea = 16

// An instance younger than youngAge that started later than youngStart after most others isn't a collector
// while its data centre has others. As a member it learns the sums first, so that its own are complete when it
// becomes the collector.
const (
	youngAge   = 10 * time.Second
	youngStart = 5 * time.Second
)

// SetMembers sets the live instances with their data centres, and the number of instances among which
// limits are divided. A data centre has one collector for each area of minArea instances, or of the
// square root of all instances if that is more: collectors have links to their members and to all
// other collectors. Data centres with only young instances use collectors of others.
func (t *Table) SetMembers(now time.Time, live []model.Instance, shares int) {
	t.shares = max(1, shares, len(live))
	changed := !slices.Equal(live, t.members)
	if changed {
		t.members = slices.Clone(live)
		t.live = make(map[model.InstanceID]model.Incarnation, len(live))
		starts := make([]model.Incarnation, 0, len(live))
		for _, p := range live {
			t.live[p.ID] = p.Incarnation
			starts = append(starts, p.Incarnation)
		}
		slices.Sort(starts)
		t.medianStart = 0
		if len(starts) > 0 {
			t.medianStart = starts[(len(starts)-1)/2]
		}
	}
	young := 0
	for _, p := range live {
		if t.young(now, p) {
			young++
		}
	}
	if !changed && young == t.youngOnes {
		return
	}
	t.youngOnes = young
	byDataCentre, sizes := map[string][]model.InstanceID{}, map[string]int{}
	for _, p := range live {
		sizes[p.DataCentre]++
		if !t.young(now, p) {
			byDataCentre[p.DataCentre] = append(byDataCentre[p.DataCentre], p.ID)
		}
	}
	area := minArea
	for area*area < len(live) {
		area++
	}
	t.collector, t.collectors, t.areaMembers = "", nil, nil
	byArea := map[string][]model.InstanceID{}
	for dataCentre, ids := range byDataCentre {
		first := route.RankedOwners("usage/"+dataCentre, ids, (sizes[dataCentre]+area-1)/area)
		t.collectors = append(t.collectors, first...)
		byArea[dataCentre] = first
	}
	slices.Sort(t.collectors)
	t.collector = t.collectorOf(t.Self, byArea)
	if t.isCollector() {
		for _, p := range live {
			if p.ID != t.Self.ID && t.collectorOf(p, byArea) == t.Self.ID {
				t.areaMembers = append(t.areaMembers, p.ID)
			}
		}
	}
}

// collectorOf returns the collector of an instance: itself if it is one, otherwise one of its data centre
// or, if that has none, of another. byDataCentre holds the collectors of each data centre.
func (t *Table) collectorOf(p model.Instance, byDataCentre map[string][]model.InstanceID) model.InstanceID {
	own := byDataCentre[p.DataCentre]
	if len(own) == 0 {
		own = t.collectors
	}
	switch {
	case slices.Contains(own, p.ID):
		return p.ID
	case len(own) > 0:
		return route.Owner("usage/"+string(p.ID), own)
	default:
		return ""
	}
}

// young reports whether an instance has started later than most others, and recently.
func (t *Table) young(now time.Time, p model.Instance) bool {
	return t.medianStart > 0 && p.Incarnation > t.medianStart+model.Incarnation(youngStart) && int64(p.Incarnation) > now.Add(-youngAge).UnixNano() //nolint:gosec // nanoseconds
}

// Area returns the collector of this instance's area, all collectors in order of ID and, if this instance
// is the collector, the other instances of its area.
func (t *Table) Area() (collector model.InstanceID, collectors, members []model.InstanceID) {
	return t.collector, t.collectors, t.areaMembers
}

func (t *Table) isCollector() bool { return t.collector == t.Self.ID }

// Peers returns the peers that this instance needs links to, in order of ID.
func (t *Table) Peers(now time.Time) (out []model.InstanceID) {
	if !t.Wanted(now) {
		return nil
	}
	return t.Links()
}

// Links returns the peers that an exchange by areas needs links to, in order of ID.
func (t *Table) Links() (out []model.InstanceID) {
	switch {
	case t.collector == "":
	case !t.isCollector():
		out = append(out, t.collector)
	default:
		for _, id := range t.collectors {
			if id != t.Self.ID {
				out = append(out, id)
			}
		}
	}
	return out
}

// coverage returns the number of covered instances, and whether the sums are current and may be used for a
// window. Sums are provisional for one window after their collector began.
func (t *Table) coverage(now time.Time, window time.Duration) (covered int, current, fresh bool) {
	if !t.isCollector() {
		s := t.streams[t.collector]
		if s == nil || s.role != fromCollector || !s.fresh(now, maxAge) {
			return 1, false, false
		}
		return s.coveredIn(window), true, s.collecting >= window+maxAge
	}
	if t.collectingSince.IsZero() {
		return 1, false, false
	}
	covered = t.areaCovered(now)
	collecting := now.Sub(t.collectingSince)
	for _, s := range t.streams {
		// The events of an area with a new collector are incomplete, unless those of this one are as
		// well.
		if s.role == fromArea && s.fresh(now, coveredAge) && s.collecting >= min(collecting-2*maxAge, window+maxAge) {
			covered += s.coveredIn(window)
		}
	}
	return covered, covered > 1, covered > 1 && collecting >= window+maxAge
}

// coveredIn returns the number of instances that the peer covers in a window.
func (s *stream) coveredIn(window time.Duration) int {
	for _, c := range s.covered {
		if c.WindowMillis == 0 || c.WindowMillis >= window.Milliseconds() {
			return c.Instances
		}
	}
	return 1
}

// coverages returns the coverage of this collector for each window.
func (t *Table) coverages(now time.Time) (out []event.UsageCoverage) {
	windows := []time.Duration{defaultWindow}
	for _, w := range t.windows {
		windows = append(windows, w)
	}
	slices.Sort(windows)
	for _, w := range slices.Compact(windows) {
		covered, _, _ := t.coverage(now, w)
		out = append(out, event.UsageCoverage{WindowMillis: w.Milliseconds(), Instances: covered})
	}
	return out
}

// areaCovered returns the number of instances of the own area.
func (t *Table) areaCovered(now time.Time) (covered int) {
	covered = 1
	for _, s := range t.streams {
		if s.role == fromMember && s.fresh(now, coveredAge) {
			covered++
		}
	}
	return covered
}

// unseenPercent returns by how much more events than those of visibleDelay may not be visible yet, in percent,
// because this instance has received no sums for longer, or as a collector none from some other collectors.
// Those that are no longer covered don't count.
func (t *Table) unseenPercent(now time.Time) (percent int64) {
	covered := int64(max(1, len(t.live)))
	for id, s := range t.streams {
		silence := now.Sub(s.receivedAt)
		if silence <= visibleDelay || !s.fresh(now, coveredAge) {
			continue
		}
		unseen := int64(100 * (silence - visibleDelay) / visibleDelay)
		switch {
		case !t.isCollector() && id == t.collector:
			percent += unseen
		case t.isCollector() && s.role == fromArea:
			percent += unseen * min(covered, int64(s.coveredIn(defaultWindow))) / covered
		}
	}
	return percent
}

// Tick sends what is due and returns when it must be called again; zero if sums are not needed.
func (t *Table) Tick(now time.Time) (due time.Time) {
	if !t.Wanted(now) {
		t.collectingSince, t.nextRound = time.Time{}, time.Time{}
		for id := range t.streams {
			t.remove(id)
		}
		return time.Time{}
	}
	t.updateCollecting(now)
	if now.Before(t.nextRound) {
		return t.nextRound
	}
	t.nextRound = now.Add(memberInterval)
	if t.isCollector() {
		t.nextRound = now.Add(collectorInterval)
	}
	base := !now.Before(t.baseAt)
	if base {
		t.baseAt = now.Add(baseInterval)
		t.removeSilent(now)
		t.report(now)
		t.updateUsual(now)
	}
	t.sendReports(now, base)
	if t.isCollector() {
		t.sendHot(now)
	}
	return t.nextRound
}

// takeOverTime is the time since sums were last current within which an instance takes them over: the
// detection of a lost collector, and the exchange before.
const takeOverTime = 5 * time.Second

// updateCollecting starts and ends the collecting of sums. An instance that knew the sums as a member
// completes them by the reports of all others, and uses them once nearly all have reported, or after maxAge.
// Instances that have not reported are not covered.
func (t *Table) updateCollecting(now time.Time) {
	switch {
	case !t.isCollector():
		t.collectingSince, t.takingOver = time.Time{}, false
	case t.collectingSince.IsZero():
		t.collectingSince = now
		t.takingOver, t.tookOverAt = t.recentlyFresh(now), now
		for id := range t.streams {
			t.remove(id)
		}
		clear(t.changed)
		t.unclaimOthers(now)
	case !t.nextRound.IsZero() && now.Sub(t.nextRound) > maxAge:
		// After a pause this instance has missed events, or another collector has taken over.
		t.collectingSince, t.takingOver = now, false
	case t.takingOver:
		covered, _, _ := t.coverage(now, t.longestWindow())
		if 8*covered >= 7*len(t.live) || now.Sub(t.tookOverAt) >= maxAge {
			t.takingOver = false
			t.collectingSince = now.Add(-t.longestWindow() - maxAge)
			for id, s := range t.memberStreams() {
				t.sendSums(now, id, s, false)
			}
		}
	}
	for kind, window := range t.windows {
		if _, _, fresh := t.coverage(now, window); fresh {
			t.freshAt[kind] = now
		}
	}
}

// recentlyFresh reports whether the sums of all kinds were current within takeOverTime.
func (t *Table) recentlyFresh(now time.Time) bool {
	for kind := range t.windows {
		if now.Sub(t.freshAt[kind]) >= takeOverTime {
			return false
		}
	}
	return len(t.windows) > 0
}

// sendHot sends the members those sums that are used beyond half of their limit. They get the others in
// answer to their reports.
func (t *Table) sendHot(now time.Time) {
	if !t.anyHot(now) {
		return
	}
	for id, s := range t.memberStreams() {
		if s.complete && !s.full {
			t.sendSums(now, id, s, true)
		}
	}
}

// anyHot reports whether any counter is used beyond half of its limit.
func (t *Table) anyHot(now time.Time) bool {
	for _, c := range t.counters {
		if now.Before(c.hotUntil) {
			return true
		}
	}
	return false
}

// memberStreams returns the exchange with the members of the area in order of ID.
func (t *Table) memberStreams() iter.Seq2[model.InstanceID, *stream] {
	return func(yield func(model.InstanceID, *stream) bool) {
		for _, id := range slices.Sorted(maps.Keys(t.streams)) {
			if s := t.streams[id]; s.role == fromMember && !yield(id, s) {
				return
			}
		}
	}
}

// sendSums sends a member the sums of all other instances.
func (t *Table) sendSums(now time.Time, to model.InstanceID, s *stream, fast bool) {
	m := &event.Usage{Fast: fast, Covered: t.coverages(now), CollectingMillis: now.Sub(t.collectingSince).Milliseconds()}
	t.fill(now, s, m, sumsValue)
	if fast && len(m.Entries) == 0 {
		return
	}
	t.Counters.SumsSent++
	t.Out.Send(to, event.Message{UsageSums: m})
}

// removeSilent removes peers that have not been heard of for streamTTL.
func (t *Table) removeSilent(now time.Time) {
	for id, s := range t.streams {
		if now.Sub(s.receivedAt) > streamTTL {
			t.remove(id)
		}
	}
	for id, s := range t.changed {
		if now.Sub(s.receivedAt) > streamTTL {
			delete(t.changed, id)
		}
	}
}

// remove removes the state of the exchange with a peer. The peer's events stay in the sums.
func (t *Table) remove(id model.InstanceID) {
	if s := t.streams[id]; s != nil {
		for code, g := range s.got {
			t.counter(code).totals[s.role] -= g.total
		}
		delete(t.streams, id)
	}
}

// sendReports sends reports to the collector, or as a collector to the others. In between
// only hot counters are sent.
func (t *Table) sendReports(now time.Time, base bool) {
	collecting, hot := t.isCollector(), t.anyHot(now)
	for _, id := range t.Peers(now) {
		s := t.stream(now, id)
		fast := !base && !s.full
		if fast && !hot {
			continue
		}
		m := &event.Usage{Fast: fast, Area: collecting, Wanted: t.wantedInArea(now)}
		value := ownValue
		if collecting {
			value = areaValue
			m.Covered, m.CollectingMillis = []event.UsageCoverage{{Instances: t.areaCovered(now)}}, now.Sub(t.collectingSince).Milliseconds()
		}
		t.fill(now, s, m, value)
		if m.Fast && len(m.Entries) == 0 && !t.takingOver {
			continue
		}
		t.Counters.ReportsSent++
		t.Out.Send(id, event.Message{UsageReport: m})
	}
}

// stream returns the exchange with a peer.
func (t *Table) stream(now time.Time, id model.InstanceID) *stream {
	s := t.streams[id]
	if s == nil {
		s = &stream{got: map[uint64]received{}, sent: map[uint64]sentCount{}, full: true, receivedAt: now}
		t.streams[id] = s
	}
	return s
}

// value returns the count of a counter for a peer, its recent part and its total.
type value func(t *Table, now time.Time, code uint64, c *counter, s *stream) (count, total uint64, recent func() int)

// ownValue is what a member reports.
func ownValue(t *Table, now time.Time, _ uint64, c *counter, _ *stream) (count, total uint64, recent func() int) {
	return c.own, c.own, func() int { return c.ownRing.sum(now, t.Window(c.kind)) }
}

// areaValue is what a collector reports to others: the sum of its area.
func areaValue(t *Table, now time.Time, _ uint64, c *counter, _ *stream) (count, total uint64, recent func() int) {
	return c.own + c.members, c.own + c.totals[fromMember], func() int {
		w := t.Window(c.kind)
		return c.ownRing.sum(now, w) + c.membersRing.sum(now, w) + c.lateMembers.sum(now, w)
	}
}

// sumsValue is what a collector sends to a member: the sum of all other instances.
func sumsValue(t *Table, now time.Time, code uint64, c *counter, s *stream) (count, total uint64, recent func() int) {
	g := s.got[code]
	total = c.own + c.totals[fromMember] + c.totals[fromArea] - g.total
	return c.own + c.members + c.remote - g.counted, total, func() int {
		w := t.Window(c.kind)
		sum := c.ownRing.sum(now, w) + c.others(now, w)
		if g.recent != nil {
			sum -= g.recent.sum(now, w)
		}
		return max(0, sum)
	}
}

// fill completes a message to a peer with the counters that have changed, or that the peer has not
// confirmed for maxAge.
func (t *Table) fill(now time.Time, s *stream, m *event.Usage, v value) {
	at := max(now.UnixNano(), s.lastSent+1)
	s.lastSent = at
	m.Epoch, m.SentAt, m.Echo, m.Reset = t.epoch, at, s.seen, !s.complete
	if t.takingOver {
		// The sums are incomplete. What is reported later would count again at peers that know it from
		// the previous collector.
		return
	}
	m.Full = s.full
	if s.full {
		clear(s.sent)
	}
	s.full = false
	for code, c := range t.counters {
		if m.Fast && !now.Before(c.hotUntil) {
			continue
		}
		count, total, recent := v(t, now, code, c, s)
		if c.kind < FirstTotal {
			total = 0
		}
		last, known := s.sent[code]
		confirmed := known && s.echo >= last.at
		if (!known && count == 0) || (known && count == last.count && total == last.total && (confirmed || at-last.at < int64(maxAge))) {
			continue
		}
		u := event.UsageEntry{Key: code, Count: count, Total: total}
		if !confirmed {
			u.Recent = min(count, uint64(recent())) //nolint:gosec // not negative
		}
		m.Entries = append(m.Entries, u)
		s.sent[code] = sentCount{count: count, total: total, at: at}
	}
	slices.SortFunc(m.Entries, func(a, b event.UsageEntry) int {
		if a.Key < b.Key {
			return -1
		}
		return 1
	})
	t.Counters.EntriesSent += uint64(len(m.Entries))
}

// HandleReport applies the report of a member or of another collector, and answers a member's regular report.
func (t *Table) HandleReport(now time.Time, from model.InstanceID, m *event.Usage) {
	t.updateCollecting(now)
	if !t.isCollector() || t.collectingSince.IsZero() {
		// This instance doesn't know yet that it is a collector. It has these events from the previous one.
		return
	}
	r := fromMember
	if m.Area {
		r = fromArea
		if !slices.Contains(t.collectors, from) {
			// The previous collector of the area is still in use here. Both would count twice.
			return
		}
	}
	s := t.receive(now, from, m, r)
	if s == nil {
		return
	}
	switch {
	case r == fromMember:
		t.wantedUntil = now.Add(KeepTime)
	case m.Wanted:
		t.wantedElsewhere = now.Add(KeepTime)
	}
	if m.Fast && r == fromMember {
		for _, u := range m.Entries {
			t.counter(u.Key).hotUntil = now.Add(hotTime)
		}
	}
	if r == fromMember && (!m.Fast || s.full) && (!t.takingOver || !s.complete) {
		t.sendSums(now, from, s, false)
	}
}

// longestWindow returns the longest window of all kinds.
func (t *Table) longestWindow() (longest time.Duration) {
	for _, w := range t.windows {
		longest = max(longest, w)
	}
	return longest
}

// HandleSums applies the sums of a collector.
func (t *Table) HandleSums(now time.Time, from model.InstanceID, m *event.Usage) {
	if from == t.collector {
		t.receive(now, from, m, fromCollector)
	}
}

// receive applies a message of a peer. It returns nil if the message is older than the last one.
func (t *Table) receive(now time.Time, from model.InstanceID, m *event.Usage, r role) *stream {
	s := t.streams[from]
	if s == nil || (s.epoch != 0 && s.epoch != m.Epoch) || (s.epoch != 0 && s.role != r) {
		if s != nil && s.role != fromCollector && (s.role == fromArea || s.epoch == m.Epoch) {
			t.changed[from] = s
		}
		t.remove(from)
		s = t.stream(now, from)
	}
	if m.SentAt <= s.seen {
		return nil
	}
	gap := now.Sub(s.receivedAt)
	s.epoch, s.role, s.seen, s.receivedAt = m.Epoch, r, m.SentAt, now
	if m.Echo >= t.StartedAt.UnixNano() && m.Echo <= s.lastSent {
		s.echo = max(s.echo, m.Echo)
	}
	s.complete = s.complete || m.Full
	s.covered, s.collecting = m.Covered, time.Duration(m.CollectingMillis)*time.Millisecond
	if m.Reset {
		s.full = true
	}
	if s.complete {
		t.apply(now, s, m, gap)
	}
	return s
}

// apply adds the events of a peer to the sums. Without a complete message before, a change of a counter
// can't be told: all counters follow then.
func (t *Table) apply(now time.Time, s *stream, m *event.Usage, gap time.Duration) {
	for _, u := range m.Entries {
		c := t.counter(u.Key)
		g, known := s.got[u.Key]
		var events uint64
		switch {
		case !known:
			events = u.Recent
		case u.Count > g.count:
			events = u.Count - g.count
			if m.Full {
				events = min(events, u.Recent)
			}
		}
		c.totals[s.role] += u.Total - g.total
		g.count, g.total = max(g.count, u.Count), u.Total
		s.got[u.Key] = g
		t.addOthers(now, c, s, u.Key, events, m.Full, gap)
	}
}

// addOthers adds events that a peer has reported. In its first message are events that are known already
// from a previous collector.
func (t *Table) addOthers(now time.Time, c *counter, s *stream, code, events uint64, full bool, gap time.Duration) {
	window := t.Window(c.kind)
	sum, r, lateRing := &c.remote, &c.remoteRing, &c.lateRemote
	if s.role == fromMember {
		sum, r, lateRing = &c.members, &c.membersRing, &c.lateMembers
	}
	g := s.got[code]
	if s.role != fromCollector {
		if g.recent == nil {
			g.recent = &ring{}
		}
		if full {
			g.recent.addRecent(now, window, events)
		} else {
			g.recent.add(now, window, events)
		}
	}
	if full {
		switch s.role {
		case fromCollector:
			events -= min(events, uint64(c.others(now, window))) //nolint:gosec // not negative
		default:
			events -= t.takeOver(now, code, events)
			claimed := c.unclaimed.move(now, window, r, events)
			events -= claimed
			if t.takingOver {
				g.counted += claimed
				*sum += claimed
			}
		}
	}
	g.counted += events
	s.got[code] = g
	*sum += events
	switch {
	case full:
		lateRing.addRecent(now, window, events)
	case gap > baseInterval+collectorInterval:
		lateRing.add(now, window, events)
	default:
		r.addSince(now, window, gap, events)
	}
}

// takeOver returns how many of the events in a peer's first message are in the sums already, because peers
// reported them that have moved to another collector, or were the collector of another area.
func (t *Table) takeOver(now time.Time, code, events uint64) (taken uint64) {
	for id, s := range t.streams {
		moved := s.role == fromMember && uint64(t.live[id]) == s.epoch && now.Sub(s.receivedAt) > memberInterval+baseInterval
		if s.role == fromArea {
			moved = !slices.Contains(t.collectors, id)
		}
		if g := s.got[code]; moved && g.recent != nil {
			taken += g.recent.move(now, t.Window(Kind(code>>56)), nil, events-taken)
		}
	}
	for _, s := range t.changed {
		if g := s.got[code]; g.recent != nil {
			taken += g.recent.move(now, t.Window(Kind(code>>56)), nil, events-taken)
		}
	}
	return taken
}

// report logs a change of the collector or of the state of the sums.
func (t *Table) report(now time.Time) {
	_, _, fresh := t.coverage(now, t.longestWindow())
	state := "own-part"
	if fresh {
		state = "fleet-sums"
	}
	if to := state + " " + string(t.collector); to != t.reported {
		t.Out.Emit(event.StateChanged{Kind: "usage", Name: string(t.Self.ID), From: t.reported, To: to, Cause: "state of the sums, and the collector"})
		t.reported = to
	}
}
