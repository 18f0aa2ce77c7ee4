package query

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
)

// usable reports whether a server may receive requests now or soon: its data centre
// is not evacuated, its boot is verified, and it is warm or cold.
func (s *System) usable(b *limit.Server) bool {
	if s.evacuatedDataCentres[b.DataCentre] || b.Unverified() {
		return false
	}
	return b.State == limit.Warm || b.State == limit.Cold
}

// newestSnapshot returns the newest snapshot that a usable server of every asked
// group serves; groups without a usable server don't count. It prefers a snapshot
// that two servers of each group serve, so that one of them may fail or be slow. If
// the groups have no snapshot in common it returns widestSnapshot.
func (s *System) newestSnapshot(svc *model.Service, legs []Leg) model.Snapshot {
	if snapshot := s.newestServedBy(svc, legs, 2); snapshot != 0 {
		return snapshot
	}
	if snapshot := s.newestServedBy(svc, legs, 1); snapshot != 0 {
		return snapshot
	}
	return s.widestSnapshot(svc, legs)
}

// widestSnapshot returns the snapshot that is served for the largest part of the
// asked key space, and of several such snapshots the newest.
func (s *System) widestSnapshot(svc *model.Service, legs []Leg) (widest model.Snapshot) {
	var keyCounts []snapshotCount
	for i := range legs {
		served, _ := s.servedInGroup(svc, legs[i].Group.Name, 1)
		for _, v := range served {
			keyCounts = addCount(keyCounts, v, int(legs[i].Group.Keys.Size()))
		}
	}
	best := 0
	for _, c := range keyCounts {
		if c.count > best || (c.count == best && c.snapshot > widest) {
			best, widest = c.count, c.snapshot
		}
	}
	return widest
}

// newestServedBy returns the newest snapshot that at least minServers usable servers
// of every asked group serve, or all of them where a group has fewer. It returns 0
// if there is none.
func (s *System) newestServedBy(svc *model.Service, legs []Leg, minServers int) model.Snapshot {
	var common []model.Snapshot
	for i := range legs {
		served, usable := s.servedInGroup(svc, legs[i].Group.Name, minServers)
		if usable == 0 {
			continue
		}
		if common == nil {
			common = served
			continue
		}
		common = slices.DeleteFunc(common, func(v model.Snapshot) bool { return !slices.Contains(served, v) })
	}
	if len(common) == 0 {
		return 0
	}
	return slices.Max(common)
}

// servedInGroup returns the snapshots that at least minServers usable servers of a
// group serve, or all of them if there are fewer, and the number of usable servers.
// The slice is never nil, since the caller uses nil for "no group yet".
func (s *System) servedInGroup(svc *model.Service, group string, minServers int) (served []model.Snapshot, usable int) {
	counts := s.snapshotCounts[:0]
	for _, b := range s.Servers.Group(svc.Name, group) {
		if !s.usable(b) || !b.Serves(0, svc.Epoch) {
			continue
		}
		usable++
		for _, v := range b.Snapshots {
			counts = addCount(counts, v, 1)
		}
	}
	s.snapshotCounts = counts
	served = make([]model.Snapshot, 0, len(counts))
	for _, c := range counts {
		if c.count >= min(minServers, usable) {
			served = append(served, c.snapshot)
		}
	}
	return served, usable
}

// snapshotCount counts the servers that serve a snapshot, or the key positions for
// which it is served.
type snapshotCount struct {
	snapshot model.Snapshot
	count    int
}

// addCount adds n to the count of a snapshot.
func addCount(counts []snapshotCount, v model.Snapshot, n int) []snapshotCount {
	i := slices.IndexFunc(counts, func(c snapshotCount) bool { return c.snapshot == v })
	if i < 0 {
		return append(counts, snapshotCount{snapshot: v, count: n})
	}
	counts[i].count += n
	return counts
}

const (
	// maxRestarts is the maximum number of restarts of a query.
	maxRestarts = 2
	// restartTimeFraction is the fraction of a query's time that must be left for a
	// restart.
	restartTimeFraction = 0.25
)

// restart starts a query again on the plan that choosePlan returns now, if that
// differs from the query's own and there is time. All results so far are discarded,
// so that no answer mixes snapshots.
func (s *System) restart(now time.Time, q *Query) bool {
	if q.Class.NonIdempotent || q.Round >= maxRestarts {
		return false
	}
	if float64(q.AnswerBy.Sub(now)) < restartTimeFraction*float64(q.AnswerBy.Sub(q.ArrivedAt)) {
		return false
	}
	svc := s.config.Service(q.Request.Service)
	if svc == nil {
		return false
	}
	p := s.choosePlan(svc, q.Request.Key)
	if p.snapshot == 0 || (p.service.Epoch == q.Epoch && p.snapshot == q.Snapshot) {
		return false
	}
	s.cancelAttempts(q)
	s.Counters.QueriesRestarted++
	q.Round++
	q.usePlan(p)
	s.startLegs(now, q)
	return true
}

// plan is a shard map and a snapshot to answer a query from.
type plan struct {
	service  *model.Service
	legs     []Leg
	snapshot model.Snapshot
	// coveredKeys counts the key positions for which a usable server serves the
	// snapshot on the shard map.
	coveredKeys uint32
	// askedKeys counts the key positions of all legs.
	askedKeys uint32
}

// usePlan sets the shard map, the snapshot and the legs of a query.
func (q *Query) usePlan(p plan) {
	q.Service, q.Epoch, q.Snapshot, q.Legs = p.service, p.service.Epoch, p.snapshot, p.legs
}

// choosePlan returns the plan for a request. It uses the active shard map, unless the
// previous map, which servers may still serve, covers more keys.
func (s *System) choosePlan(svc *model.Service, key string) plan {
	p := s.planOn(svc, key)
	previousMap := s.previousMaps[svc.Name]
	if previousMap == nil || p.coveredKeys == p.askedKeys {
		return p
	}
	if previousPlan := s.planOn(previousMap, key); previousPlan.coveredKeys > p.coveredKeys {
		return previousPlan
	}
	return p
}

// planOn returns the plan for a request on a shard map.
func (s *System) planOn(svc *model.Service, key string) plan {
	p := plan{service: svc, legs: legsOf(svc, key)}
	p.snapshot = s.newestSnapshot(svc, p.legs)
	for i := range p.legs {
		size := p.legs[i].Group.Keys.Size()
		p.askedKeys += size
		if s.served(svc, p.legs[i].Group.Name, p.snapshot) {
			p.coveredKeys += size
		}
	}
	return p
}

// served reports whether a usable server of a group serves a snapshot of a shard
// map.
func (s *System) served(svc *model.Service, group string, v model.Snapshot) bool {
	for _, b := range s.Servers.Group(svc.Name, group) {
		if v != 0 && s.usable(b) && b.Serves(v, svc.Epoch) {
			return true
		}
	}
	return false
}

// legsOf returns the waiting legs of a request: the group that holds the key, or
// all groups.
func legsOf(svc *model.Service, key string) []Leg {
	if key != "" {
		i := svc.GroupAt(model.Position(key))
		return []Leg{{Group: svc.Groups[i]}}
	}
	legs := make([]Leg, len(svc.Groups))
	for i := range legs {
		legs[i].Group = svc.Groups[i]
	}
	return legs
}

// unplaceableReason returns the reason for which no server of a leg's group can run
// the leg, or "" if one can now or soon.
func (s *System) unplaceableReason(q *Query, l *Leg) event.MissingReason {
	var offSnapshot, offEpoch, tried bool
	for _, b := range s.Servers.Group(q.Service.Name, l.Group.Name) {
		switch {
		case s.evacuatedDataCentres[b.DataCentre], b.State == limit.Draining, b.State == limit.Down:
		case b.State == limit.Unknown, b.Unverified():
			return ""
		case slices.Contains(l.Tried, b.ID):
			tried = true
		case !b.Serves(0, q.Service.Epoch):
			offEpoch = true
		case !b.Serves(q.Snapshot, q.Service.Epoch):
			offSnapshot = true
		default:
			return ""
		}
	}
	switch {
	case offSnapshot:
		return event.MissingSnapshot
	case offEpoch:
		return event.MissingEpoch
	case tried || len(l.Tried) > 0:
		return event.MissingFailed
	default:
		return event.MissingNoReplica
	}
}
