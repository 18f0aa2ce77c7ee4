package engine

import (
	"cmp"
	"fmt"
	"reflect"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/rollo"
	"hyssoppitch/core/route"
)

// This file lets the instances decide roll-outs together. In each data centre the first instance in
// the order of readers collects the counts of answers, and the collectors exchange sums. The first
// collector in the order of a group, by rendezvous hashing, writes the group's status; the others
// follow with a delay if it doesn't. A status is written on the condition that the entry is
// unchanged, so that two of them don't decide differently.

const (
	// rolloutInterval is the time between two runs of the work for unfinished roll-outs.
	rolloutInterval = 250 * time.Millisecond
	// reportInterval is the minimum time between two reports of counts to one instance, and
	// reportRefresh the time after which an unchanged one is sent again, in case it was lost.
	reportInterval = 500 * time.Millisecond
	reportRefresh  = 2 * time.Second
	// plainInterval is the minimum time between two reports that differ in good answers only.
	plainInterval = time.Second
	// leaderDelay is the time for which each further collector in the order of a group waits for
	// those before it to write a status.
	leaderDelay = time.Second
	// soleCollectors is the number of collectors if all instances are in one data centre: another one
	// must be able to write a status if the first one can't reach the directory.
	soleCollectors = 2
	// minWriteRetry and maxWriteRetry limit the delay before a failed write is repeated; the first is
	// also the least time between any two writes of one status.
	//
	// writeTimeout is the time after which the result of a write is no longer awaited.
	minWriteRetry = 200 * time.Millisecond
	maxWriteRetry = 1600 * time.Millisecond
	writeTimeout  = 5 * time.Second
)

// rolloutSync is the state of the work for roll-outs.
type rolloutSync struct {
	counts *rollo.Exchange
	// due is when the work is due; zero while no roll-out is unfinished.
	due time.Time
	// sent holds the last reports to each instance.
	sent map[model.InstanceID]sentReports
	// groups holds the unfinished roll-outs.
	groups map[string]*rolloutWork
	// unknownGroups holds the groups of orders that were reported as unknown.
	unknownGroups map[string]bool
	counters      RolloutCounters
}

// sentReports are the reports that were last sent to an instance.
type sentReports struct {
	at       time.Time
	contents event.Rollouts
}

// rolloutWork is the state of the work for one unfinished roll-out.
type rolloutWork struct {
	order uint64
	// wanted is the stage that is to be written, and wantedSince since when.
	wanted      model.RolloutStage
	wantedSince time.Time
	// writing is set while the result of a write is awaited; writtenAt is when it began.
	writing   bool
	writtenAt time.Time
	retryAt   time.Time
	backoff   time.Duration
	// leads is set once this instance has written a status, until another one has: it need not wait
	// for those before it in the order, which can't write.
	leads bool
}

// RolloutCounters counts the work for roll-outs since the start of the instance.
type RolloutCounters struct {
	Writes         uint64 `json:"writes"`
	WriteConflicts uint64 `json:"write-conflicts"`
	WriteFailures  uint64 `json:"write-failures"`
	Reports        uint64 `json:"reports-sent"`
	Decisions      uint64 `json:"decisions-sent"`
}

// RolloutCounters returns the counters of roll-outs.
func (e *Engine) RolloutCounters() RolloutCounters { return e.rollouts.counters }

// rolloutCollectors returns the collectors of all data centres in order of data centre and ID: one in
// each, or soleCollectors if there is only one data centre.
func (e *Engine) rolloutCollectors() (out []model.Instance) {
	local := map[string][]model.InstanceID{}
	for _, m := range e.Members.Rows() {
		if m.IsLive() {
			local[m.DataCentre] = append(local[m.DataCentre], m.ID)
		}
	}
	n := 1
	if len(local) == 1 {
		n = soleCollectors
	}
	for _, ids := range local {
		for _, id := range route.RankedOwners("directory", ids, n) {
			if m := e.Members.Get(id); m != nil {
				out = append(out, m.Instance)
			}
		}
	}
	slices.SortFunc(out, func(a, b model.Instance) int {
		return cmp.Or(cmp.Compare(a.DataCentre, b.DataCentre), cmp.Compare(a.ID, b.ID))
	})
	return out
}

// rolloutLinks returns the instances that this one must have links to while a roll-out is running.
func (e *Engine) rolloutLinks() (out []model.Instance) {
	if e.rollouts.due.IsZero() {
		return nil
	}
	collectors := e.rolloutCollectors()
	isCollector := slices.ContainsFunc(collectors, func(c model.Instance) bool { return c.ID == e.Self.ID })
	for _, c := range collectors {
		if c.ID != e.Self.ID && (isCollector || c.DataCentre == e.Self.DataCentre) {
			out = append(out, c)
		}
	}
	return out
}

// runRollouts does the work for unfinished roll-outs if it is due, and returns when it is due next.
func (e *Engine) runRollouts(now time.Time) time.Time {
	if e.Relay == nil {
		return time.Time{}
	}
	s := &e.rollouts
	if s.due.IsZero() || now.Before(s.due) {
		return s.due
	}
	unfinished := e.unfinishedRollouts()
	e.endRolloutWork(unfinished)
	if len(unfinished) == 0 {
		s.due = time.Time{}
		s.sent = nil
		return s.due
	}
	s.due = now.Add(rolloutInterval)
	e.Rollouts.SetHold(e.cutOffFromDecisions(now))
	collectors := e.rolloutCollectors()
	at := slices.IndexFunc(collectors, func(c model.Instance) bool { return c.ID == e.Self.ID })
	var own, sums []event.RolloutReport
	for _, r := range unfinished {
		if !r.Running() {
			continue
		}
		routes, servers := e.Relay.RoutesTo(r.Group), e.Relay.TargetServers(r.Group)
		_, oldInFlight := e.Relay.RolloutServers(r.Group)
		report := event.RolloutReport{
			Group: r.Group, OrderRevision: r.Order.Revision, OldInFlight: oldInFlight,
			Routes:  rollo.Counts(s.counts.Own(), r.Group, r.Order.Revision, routes),
			Servers: rollo.CountsByServer(s.counts.Own(), r.Group, r.Order.Revision, servers),
		}
		if r.Current() {
			report.Stage = r.Status.Stage
		}
		own = append(own, report)
		sums = append(sums, s.counts.Sum(report, e.liveDataCentrePeers()))
		r.Judge.Update(now, rollo.Counts(e.Relay.Answers, r.Group, r.Order.Revision, routes),
			rollo.CountsByServer(e.Relay.Answers, r.Group, r.Order.Revision, servers))
		if at >= 0 || !e.linkedToCollector(collectors) {
			// An instance sees few servers of the version. What it alone has seen decides only if
			// nobody can sum it up.
			e.stopBadVersion(now, r)
		}
	}
	for _, c := range collectors {
		switch {
		case c.ID == e.Self.ID:
		case c.DataCentre == e.Self.DataCentre:
			e.sendReports(now, c.ID, own, false)
		case at >= 0:
			e.sendReports(now, c.ID, sums, true)
		}
	}
	for _, r := range unfinished {
		// Any reader of the directory saves a decision that no collector can save.
		if at >= 0 || !r.Running() {
			i := slices.IndexFunc(sums, func(sum event.RolloutReport) bool { return sum.Group == r.Group })
			var sum event.RolloutReport
			if i >= 0 {
				sum = sums[i]
			}
			e.leadRollout(now, r, sum, collectors)
		}
	}
	return s.due
}

// cutOffFromDecisions reports whether this instance may miss decisions: neither the directory nor all
// instances that were alive lately can be reached.
func (e *Engine) cutOffFromDecisions(now time.Time) bool {
	return now.Sub(e.directory.asOf) > isolationTimeout && e.shares > len(e.liveInstances)
}

// unfinishedRollouts returns the unfinished roll-outs of known groups, and reports the others once.
func (e *Engine) unfinishedRollouts() (out []*rollo.Rollout) {
	s := &e.rollouts
	for _, r := range e.Rollouts.Unfinished() {
		if e.Relay.Knows(r.Group) {
			delete(s.unknownGroups, r.Group)
			out = append(out, r)
			continue
		}
		if !s.unknownGroups[r.Group] && r.Order != nil {
			s.unknownGroups[r.Group] = true
			e.Emit(event.StateChanged{
				Kind: "rollout-order", Name: r.Group, To: "ignored",
				Cause: fmt.Sprintf(`field "service" is %.80q: neither the routing table nor a server names it`, r.Group),
			})
		}
	}
	return out
}

// endRolloutWork drops the work and the counts of finished or replaced roll-outs.
func (e *Engine) endRolloutWork(unfinished []*rollo.Rollout) {
	s := &e.rollouts
	current := map[string]uint64{}
	for _, r := range unfinished {
		current[r.Group] = 0
		if r.Order != nil {
			current[r.Group] = r.Order.Revision
		}
	}
	for group, w := range s.groups {
		if order, ok := current[group]; !ok || order != w.order {
			s.counts.Forget(group)
			delete(s.groups, group)
		}
	}
	for group, order := range current {
		if s.groups[group] == nil {
			s.groups[group] = &rolloutWork{order: order}
		}
	}
}

// liveDataCentrePeers returns the other live instances of this data centre, linked or not.
func (e *Engine) liveDataCentrePeers() (out []model.InstanceID) {
	for _, m := range e.Members.Rows() {
		if m.ID != e.Self.ID && m.IsLive() && m.DataCentre == e.Self.DataCentre {
			out = append(out, m.ID)
		}
	}
	return out
}

// linkedToCollector reports whether this instance has a link to the collector of its data centre.
func (e *Engine) linkedToCollector(collectors []model.Instance) bool {
	for _, c := range collectors {
		if m := e.Members.Get(c.ID); c.DataCentre == e.Self.DataCentre && m != nil && m.Linked {
			return true
		}
	}
	return false
}

// stopBadVersion ends the use of a version that is bad by the answers that this instance knows of,
// and tells the peers. The status is written afterwards, as soon as the directory answers.
func (e *Engine) stopBadVersion(now time.Time, r *rollo.Rollout) {
	if !r.Current() || r.Status.Final() {
		return
	}
	if reason := r.Judge.Bad(e.Rollouts.Settings.Excess()); reason != "" {
		e.adoptRollout(now, "", r.RollBack(now, reason))
	}
}

// adoptRollout applies a status, and tells the peers if it was new.
func (e *Engine) adoptRollout(now time.Time, from model.InstanceID, status model.RolloutStatus) {
	changes, adopted := e.Rollouts.Adopt(status)
	e.emitChanges(changes)
	if !adopted {
		return
	}
	e.rollouts.counters.Decisions++
	e.broadcastExcept(from, event.Message{Rollouts: &event.Rollouts{Decided: []model.RolloutStatus{status}, Era: e.directory.position.Era}})
	e.wakeRollouts(now)
}

// sendRolloutDecisions tells a new peer of the unfinished roll-outs: it may not read the directory, or
// the directory may lack the newest status.
func (e *Engine) sendRolloutDecisions(to model.InstanceID) {
	if e.Rollouts == nil {
		return
	}
	delete(e.rollouts.sent, to)
	m := event.Rollouts{Era: e.directory.position.Era}
	for _, r := range e.Rollouts.Unfinished() {
		if r.Status.State != "" {
			m.Decided = append(m.Decided, r.Status)
		}
	}
	if len(m.Decided) > 0 {
		e.Send(to, event.Message{Rollouts: &m})
	}
}

// wakeRollouts lets the work for roll-outs run at once if there is any.
func (e *Engine) wakeRollouts(now time.Time) {
	if e.Rollouts != nil && len(e.Rollouts.Unfinished()) > 0 {
		e.rollouts.due = now
	}
}

// sendReports sends reports to an instance if they have changed, or to repeat them.
func (e *Engine) sendReports(now time.Time, to model.InstanceID, reports []event.RolloutReport, sums bool) {
	s := &e.rollouts
	if len(reports) == 0 {
		return
	}
	if p := e.Members.Get(to); p == nil || !p.Linked {
		return
	}
	last, sent := s.sent[to]
	m := event.Rollouts{Reports: reports, Sums: sums, Incarnation: e.Self.Incarnation, Era: e.directory.position.Era}
	age := now.Sub(last.at)
	switch {
	case !sent || age >= reportRefresh || stagesDiffer(last.contents.Reports, reports):
	case age < reportInterval, age < plainInterval && badAnswers(last.contents.Reports) == badAnswers(reports):
		return
	case reflect.DeepEqual(last.contents, m):
		return
	}
	if s.sent == nil {
		s.sent = map[model.InstanceID]sentReports{}
	}
	s.sent[to] = sentReports{at: now, contents: m}
	s.counters.Reports++
	e.Send(to, event.Message{Rollouts: &m})
}

// badAnswers returns the number of bad answers in reports.
func badAnswers(reports []event.RolloutReport) (n uint64) {
	for _, r := range reports {
		for _, c := range r.Routes {
			n += c.Old.Failed + c.Old.Slow + c.New.Failed + c.New.Slow
		}
	}
	return n
}

// stagesDiffer reports whether reports name other stages than earlier ones.
func stagesDiffer(a, b []event.RolloutReport) bool {
	return !slices.EqualFunc(a, b, func(x, y event.RolloutReport) bool {
		return x.Group == y.Group && x.OrderRevision == y.OrderRevision && x.Stage == y.Stage && (x.OldInFlight == 0) == (y.OldInFlight == 0)
	})
}

// handleRollouts applies a peer's message.
func (e *Engine) handleRollouts(now time.Time, from model.InstanceID, m *event.Rollouts) {
	if e.Relay == nil || m.Era < e.directory.position.Era {
		// Revisions of an earlier era mean nothing since the directory was restored.
		return
	}
	for _, status := range m.Decided {
		status.Revision = 0
		e.adoptRollout(now, from, status)
	}
	if p := e.Members.Get(from); p != nil && len(m.Reports) > 0 {
		switch {
		case m.Sums && p.DataCentre != e.Self.DataCentre:
			e.rollouts.counts.ReceiveSums(p.DataCentre, m.Incarnation, m.Reports)
		case !m.Sums && p.DataCentre == e.Self.DataCentre:
			e.rollouts.counts.Receive(from, m.Incarnation, m.Reports)
		}
	}
}

// leadRollout writes the next status of a roll-out, if it is this instance's turn. sum is that of
// its data centre.
func (e *Engine) leadRollout(now time.Time, r *rollo.Rollout, sum event.RolloutReport, collectors []model.Instance) {
	w := e.rollouts.groups[r.Group]
	if w == nil || !e.directory.active || e.Roster.Unreachable() {
		return
	}
	var facts rollo.Facts
	facts.TargetServers, _ = e.Relay.RolloutServers(r.Group)
	var others, ids []string
	for _, c := range collectors {
		ids = append(ids, string(c.ID))
		if c.DataCentre != e.Self.DataCentre {
			others = append(others, c.DataCentre)
		}
	}
	facts.Confirmed = r.Current() && e.rollouts.counts.Confirmed(sum, others, r.Status.Stage)
	next, changed := e.Rollouts.Next(now, r, facts)
	if !changed && (r.Running() || !r.Status.Final()) {
		w.wantedSince = time.Time{}
		return
	}
	if w.wantedSince.IsZero() || w.wanted != next.Stage {
		w.wanted, w.wantedSince = next.Stage, now
	}
	if next.State == model.RolloutRolledBack && !r.Status.Final() && r.Current() {
		// The version is not used from now on, whether or not the directory answers.
		e.adoptRollout(now, "", next)
	}
	if !w.leads && now.Sub(w.wantedSince) < time.Duration(rank(r.Group, e.Self.ID, ids))*leaderDelay {
		return
	}
	if (w.writing && now.Sub(w.writtenAt) < writeTimeout) || now.Sub(w.writtenAt) < minWriteRetry || now.Before(w.retryAt) {
		return
	}
	w.writing, w.writtenAt = true, now
	e.rollouts.counters.Writes++
	e.Emit(event.WriteRollout{Status: next, Expected: r.Stored.Revision})
}

// rank returns the position of an instance in a group's order of collectors.
func rank(group string, self model.InstanceID, collectors []string) int {
	ids := make([]model.InstanceID, len(collectors))
	for i, c := range collectors {
		ids[i] = model.InstanceID(c)
	}
	return max(0, slices.Index(route.RankedOwners("rollout/"+group, ids, len(ids)), self))
}

// handleRolloutWritten handles the end of a write. A write without a known result may take effect
// later; the condition of the next one shows that.
func (e *Engine) handleRolloutWritten(now time.Time, v event.RolloutWritten) {
	s := &e.rollouts
	w := s.groups[v.Group]
	if w != nil {
		w.writing = false
	}
	switch v.Result {
	case event.WriteDone, event.WriteConflict:
		if v.Result == event.WriteConflict {
			s.counters.WriteConflicts++
		}
		if w != nil {
			w.retryAt, w.backoff, w.leads = time.Time{}, 0, v.Result == event.WriteDone
		}
		if v.Era < e.directory.position.Era {
			// The directory was restored since; the reader finds out what it holds.
			return
		}
		r := e.Rollouts.Get(v.Group)
		if v.Status == nil {
			if r != nil {
				r.Stored = model.RolloutStatus{Revision: v.Unreadable}
			}
			if w != nil {
				w.retryAt = now.Add(minWriteRetry)
			}
			return
		}
		before := model.RolloutStatus{}
		if r != nil {
			before = r.Status
		}
		e.emitChanges(e.Rollouts.SetStored(*v.Status))
		if r = e.Rollouts.Get(v.Group); r.Status.Stage != before.Stage || r.Status.OrderRevision != before.OrderRevision {
			s.counters.Decisions++
			e.Broadcast(event.Message{Rollouts: &event.Rollouts{Decided: []model.RolloutStatus{*v.Status}, Era: e.directory.position.Era}})
		}
		e.wakeRollouts(now)
	default:
		s.counters.WriteFailures++
		if w == nil {
			return
		}
		if w.backoff == 0 {
			e.Emit(event.StateChanged{Kind: "rollout-write", Name: v.Group, To: v.Result.String(), Cause: v.Detail})
		}
		w.backoff = min(max(2*w.backoff, minWriteRetry), maxWriteRetry)
		w.retryAt = now.Add(w.backoff)
	}
}
