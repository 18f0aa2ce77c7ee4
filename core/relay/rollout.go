package relay

import (
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/rollo"
	"hyssoppitch/core/roster"
)

// This file divides the requests of a group between the versions of its servers while an operator
// rolls out a new one, and counts the answers by which the version is judged.

const (
	// slowFactor is the multiple of the latency of other servers from which on an answer is slow;
	// slowMargin keeps short delays of the network from counting at servers that answer at once.
	slowFactor = 2.5
	slowMargin = 5 * time.Millisecond
	// brokenInterval is the time in which the broken connections of one server count as one failed
	// answer: a crash breaks all of them, and is rather that of a machine than of a version.
	brokenInterval = time.Second
)

// division returns the division of a group's requests between versions, or nil.
func (s *System) division(group string) *rollo.Division {
	if s.Rollouts == nil {
		return nil
	}
	return s.Rollouts.Division(group)
}

// excludedVersion reports whether a server must get no requests because of its version.
func (s *System) excludedVersion(b *roster.Server) bool {
	d := s.division(b.Group)
	return d != nil && d.Side(b.Version) == rollo.SideExcluded
}

// chooseVersion returns the server for a leg's next attempt among those of the version that the
// division selects.
func (s *System) chooseVersion(now time.Time, q *Request, l *Leg, allowTried bool, d *rollo.Division) *roster.Server {
	choose := func(side rollo.Side) *roster.Server {
		return s.chooseAmong(now, q, l, allowTried, func(b *roster.Server) bool { return d.Side(b.Version) == side })
	}
	side := rollo.SideOld
	switch {
	case d.Target == "":
	case d.PerMille >= 1000:
		side = rollo.SideNew
	case len(l.Sent) > 0:
		// Retries and hedges go to the proven version: they don't add to the exposure.
	default:
		if l.division != d {
			l.division, l.side = d, rollo.SideOld
			if s.Rand.IntN(1000) < d.PerMille {
				l.side = rollo.SideNew
			}
		}
		side = l.side
	}
	b := choose(side)
	switch {
	case b != nil || d.Target == "":
		return b
	case side == rollo.SideNew && (d.PerMille < 1000 || !s.anyOnSide(now, q, l, d, rollo.SideNew)):
		return choose(rollo.SideOld)
	case side == rollo.SideOld && !s.anyOnSide(now, q, l, d, rollo.SideOld):
		// The old servers have stopped, perhaps because this instance doesn't know that the roll-out
		// was completed.
		return choose(rollo.SideNew)
	}
	return nil
}

// anyOnSide reports whether a side of a division has a usable server that is neither cold nor known to
// be down.
func (s *System) anyOnSide(now time.Time, q *Request, l *Leg, d *rollo.Division, side rollo.Side) bool {
	for _, b := range s.Servers.Group(l.Group) {
		if d.Side(b.Version) == side && s.eligible(q, b) && !now.Before(b.DownUntil) && !now.Before(b.ColdEnd()) {
			return true
		}
	}
	return false
}

// countAnswer counts the end of an exchange for the roll-out of its group, if one is running.
func (s *System) countAnswer(now time.Time, a *Attempt, e event.ExchangeEnded) {
	r := s.runningRollout(a.Server.Group)
	if r == nil || a.Server.ColdEnd().After(a.SentAt) {
		// A cold server of a good version is slow as well.
		return
	}
	key := rollo.Key{Group: r.Group, Order: r.Order.Revision, Route: a.Route, Side: s.division(r.Group).Side(a.Server.Version)}
	if key.Side == rollo.SideExcluded {
		return
	}
	slow := now.Sub(a.SentAt) > time.Duration(slowFactor*float64(a.BaselineLatency))+slowMargin
	var bad rollo.Outcome
	switch e.Kind {
	case event.Answered:
		switch {
		case !e.Reply.Success():
			bad = rollo.OutcomeFailed
		case slow:
			bad = rollo.OutcomeSlow
		}
	case event.BadReply:
		bad = rollo.OutcomeFailed
	case event.Died:
		if a.Cancelled || now.Sub(s.brokenAt[a.Server.ID]) < brokenInterval {
			return
		}
		s.brokenAt[a.Server.ID] = now
		bad = rollo.OutcomeFailed
	case event.TimedOut:
		if !slow {
			return
		}
		bad = rollo.OutcomeSlow
	default:
		// The server has not run the request.
		return
	}
	keys := []rollo.Key{key}
	if key.Side == rollo.SideNew {
		keys = append(keys, rollo.Key{Group: key.Group, Order: key.Order, Server: a.Server.ID, Side: key.Side})
	}
	for _, key := range keys {
		s.Answers.Add(now, key, 1)
		if bad != rollo.OutcomeAnswer {
			key.Outcome = bad
			s.Answers.Add(now, key, 1)
		}
	}
}

// runningRollout returns the running roll-out of a group, or nil.
func (s *System) runningRollout(group string) *rollo.Rollout {
	if s.division(group) == nil {
		return nil
	}
	if r := s.Rollouts.Get(group); r.Running() {
		return r
	}
	return nil
}

// onTrial reports whether a server has the target version of a running roll-out. Its latency is no
// measure for that of the other servers.
func (s *System) onTrial(b *roster.Server) bool {
	r := s.runningRollout(b.Group)
	return r != nil && s.division(b.Group).Side(b.Version) == rollo.SideNew
}

// RolloutServers returns the number of usable servers of a group with the target version of a running
// roll-out, and the exchanges of this instance in flight at the others.
func (s *System) RolloutServers(group string) (target, oldInFlight int) {
	d := s.division(group)
	if d == nil {
		return 0, 0
	}
	for _, b := range s.Servers.Group(group) {
		if d.Side(b.Version) == rollo.SideNew {
			if s.Servers.Usable(b) {
				target++
			}
			continue
		}
		oldInFlight += b.InFlight
	}
	return target, oldInFlight
}

// TargetServers returns the servers of a group with the target version of a running roll-out.
func (s *System) TargetServers(group string) (ids []model.ServerID) {
	if d := s.division(group); d != nil {
		for _, b := range s.Servers.Group(group) {
			if d.Side(b.Version) == rollo.SideNew {
				ids = append(ids, b.ID)
			}
		}
	}
	return ids
}

// RoutesTo returns the names of the routes whose requests may be sent to a group.
func (s *System) RoutesTo(group string) (names []string) {
	for i := range s.table.Routes {
		r := &s.table.Routes[i]
		for _, g := range r.Groups() {
			if g == group {
				names = append(names, r.Name)
				break
			}
		}
	}
	return names
}

// Knows reports whether the routing table or the directory names a group.
func (s *System) Knows(group string) bool {
	return len(s.RoutesTo(group)) > 0 || len(s.Servers.Group(group)) > 0 || s.table.Pool(group) != model.Pool{Group: group}
}
