// Package warm owns the decision of who may send to a cold backend server, so
// that the work in flight there, summed over all instances, stays within what a
// cold server bears.
//
// One instance owns each cold server, by rendezvous hashing over the live
// instances. The owner keeps an allowance: it starts at one attempt in flight
// and rises with success. Others send only under a grant, which counts against
// the owner's allowance until it is returned or has expired.
//
// Two instances may own a server at the same time while their views of who lives
// differ. That is harmless, since an owner uses its allowance only while a quorum
// of the listed instances answered pings that it sent within QuorumLease: the
// owner that was cut off, or stood still, stops before the other side has
// confirmed its death, and a new owner waits ownerHold, so that what the former
// one sent has ended. The design note warm-up.md works out the times.
//
// The states of servers are kept by package limit; which request goes to a cold
// server is left to package query.
package warm

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
	"hyssoppitch/core/route"
)

const (
	// ownerHold is the wait of a new owner: as long as the former owner may go on
	// sending, and as what it sent last can be in flight.
	ownerHold = QuorumLease + MaxAttemptTime
	// QuorumLease is how long the answer to a ping lets an owner use its allowance,
	// counted from when the ping was sent. It is shorter than the silence after
	// which an instance is confirmed dead.
	QuorumLease = 1500 * time.Millisecond
	// MaxAttempt is the longest that an attempt on a cold server is waited for.
	MaxAttemptTime = time.Second
	// grantUse is how long a grant may be used after it was asked for.
	grantUse = 300 * time.Millisecond
	// grantLife is how long the owner counts a grant that is not returned.
	grantLife = grantUse + MaxAttemptTime + 500*time.Millisecond
	// wantInterval is the least time between two requests for leave.
	wantInterval = 20 * time.Millisecond
	// riseAfter is how many answers in a row, per attempt allowed, raise the
	// allowance when the latency is near that of the server when it was warm.
	riseAfter = 4
	// riseAnyway is how many raise it when the latency is not near that of the
	// server when it was warm, or when this instance never saw it warm.
	riseAnyway = 24
	// nearPart is the part of the latency when warm by which one that is near it may
	// be higher. The way to a distant server is in both, so it has to be small.
	nearPart = 0.25
	// nearNoise is a difference that tells nothing.
	nearNoise = 2 * time.Millisecond
)

// Sender is what Keeper needs to reach other instances.
type Sender interface {
	// Send queues a message for a peer; it is dropped when there is no link.
	Send(to model.InstanceID, m event.Message)
}

// Keeper decides who sends to cold servers.
type Coordinator struct {
	// Self is this instance.
	Self model.InstanceID
	// Servers is the table that the keeper works on.
	Servers *limit.Table
	// Peers carries the keeper's messages.
	Peers Sender
	// LeaseEnds returns when the contact with a quorum of the instances ends, if no
	// further ping is answered.
	LeaseExpiry func() time.Time

	members []model.InstanceID
	grants  uint64
}

// Members sets the live instances, this one included, and recomputes who owns
// each cold server.
func (k *Coordinator) SetMembers(now time.Time, ids []model.InstanceID) {
	k.members = ids
	for _, s := range k.Servers.Rows {
		k.reown(now, s)
	}
}

// Paused gives up every duty after this process stood still: others may have
// taken them over meanwhile.
func (k *Coordinator) ResetOwnership(now time.Time) {
	for _, s := range k.Servers.Rows {
		s.Owned = false
		s.Held = nil
		k.reown(now, s)
	}
}

// Owner returns the instance that owns a server while it is cold. The replicas of
// a group have different owners as far as there are instances: the loss of one
// instance never leaves a cold group without an owner that may send.
func (k *Coordinator) Owner(s *limit.Server) (owner model.InstanceID) {
	free := slices.Clone(k.members)
	for _, b := range k.Servers.Group(s.Service, s.Group) {
		if len(free) == 0 {
			free = slices.Clone(k.members)
		}
		owner = route.Owner("warm/"+string(b.ID), free)
		if b == s {
			return owner
		}
		free = slices.DeleteFunc(free, func(id model.InstanceID) bool { return id == owner })
	}
	return owner
}

func (k *Coordinator) reown(now time.Time, s *limit.Server) {
	owned := k.Owner(s) == k.Self
	if owned && !s.Owned {
		s.OwnedSince = now
		s.Allowance, s.SuccessStreak, s.FastStreak = 1, 0, 0
	}
	if !owned {
		s.IssuedGrants, s.GrantRequests = nil, nil
	}
	s.Owned = owned
}

// MaySend reports whether this instance may send one more attempt to a cold
// server now.
func (k *Coordinator) MaySend(now time.Time, s *limit.Server) bool {
	if s.State != limit.Cold {
		return false
	}
	if s.Owned {
		return k.room(now, s)
	}
	return s.Held != nil && now.Before(s.Held.UseBefore)
}

// room reports whether the owner's allowance leaves room for one more attempt.
func (k *Coordinator) room(now time.Time, s *limit.Server) bool {
	if now.Sub(s.OwnedSince) < ownerHold || !now.Before(k.LeaseExpiry()) {
		return false
	}
	s.IssuedGrants = slices.DeleteFunc(s.IssuedGrants, func(g limit.IssuedGrant) bool { return !now.Before(g.ExpiresAt) })
	return s.InFlight+len(s.IssuedGrants) < s.Allowance
}

// Use takes the grant that an attempt is sent under. It returns zero when this
// instance owns the server.
func (k *Coordinator) TakeGrant(s *limit.Server) (grant limit.HeldGrant) {
	if s.Owned || s.Held == nil {
		return limit.HeldGrant{}
	}
	grant = *s.Held
	s.Held = nil
	return grant
}

// Ask asks the owner of a cold server for leave to send one attempt.
func (k *Coordinator) RequestGrant(now time.Time, s *limit.Server) {
	holds := s.Held != nil && now.Before(s.Held.UseBefore)
	if s.State != limit.Cold || s.Owned || holds || now.Sub(s.GrantRequestedAt) < wantInterval {
		return
	}
	owner := k.Owner(s)
	if owner == "" || owner == k.Self {
		return
	}
	s.GrantRequestedAt = now
	k.Peers.Send(owner, event.Message{GrantRequest: &event.GrantRequest{Server: s.ID, AskedAt: now.UnixNano()}})
}

// Wanted queues another instance's request for leave.
func (k *Coordinator) HandleGrantRequest(now time.Time, from model.InstanceID, w event.GrantRequest) {
	s := k.Servers.Get(w.Server)
	if s == nil {
		return
	}
	if s.State == limit.Warm || s.State == limit.Draining {
		k.Peers.Send(from, event.Message{Servers: &event.Servers{Updates: []event.ServerUpdate{s.PeerUpdate()}}})
		return
	}
	if !s.Owned {
		return
	}
	k.queue(s, limit.GrantRequest{From: from, AskedAt: w.AskedAt, ArrivedAt: now})
	k.IssueGrants(now, s)
}

// queue adds a request for leave, or renews the one of the same instance.
func (k *Coordinator) queue(s *limit.Server, w limit.GrantRequest) {
	i := slices.IndexFunc(s.GrantRequests, func(o limit.GrantRequest) bool { return o.From == w.From })
	if i < 0 {
		s.GrantRequests = append(s.GrantRequests, w)
		return
	}
	s.GrantRequests[i] = w
}

// Serve gives leave to those that wait, as far as the allowance goes. An owner
// that can't reach the server itself still gives leave to those that may.
func (k *Coordinator) IssueGrants(now time.Time, s *limit.Server) {
	if !s.Owned || s.State == limit.Warm || s.State == limit.Draining {
		return
	}
	s.GrantRequests = slices.DeleteFunc(s.GrantRequests, func(w limit.GrantRequest) bool { return now.Sub(w.ArrivedAt) > grantUse })
	for len(s.GrantRequests) > 0 && k.room(now, s) {
		w := s.GrantRequests[0]
		s.GrantRequests = s.GrantRequests[1:]
		k.grants++
		s.IssuedGrants = append(s.IssuedGrants, limit.IssuedGrant{Number: k.grants, To: w.From, ExpiresAt: now.Add(grantLife)})
		k.Peers.Send(w.From, event.Message{Grant: &event.Grant{Server: s.ID, Number: k.grants, AskedAt: w.AskedAt}})
	}
}

// Granted takes in a leave from an owner.
func (k *Coordinator) HandleGrant(now time.Time, from model.InstanceID, g event.Grant) {
	s := k.Servers.Get(g.Server)
	useBefore := time.Unix(0, g.AskedAt).Add(grantUse)
	if s == nil || s.State != limit.Cold || s.Owned || s.Held != nil || !now.Before(useBefore) {
		k.giveBack(from, event.GrantReturn{Server: g.Server, Number: g.Number})
		return
	}
	s.Held = &limit.HeldGrant{Number: g.Number, Owner: from, UseBefore: useBefore}
}

// GiveBackUnused returns a held grant that nothing waits for.
func (k *Coordinator) ReturnUnusedGrant(s *limit.Server) {
	if s.Held == nil {
		return
	}
	h := s.Held
	s.Held = nil
	k.giveBack(h.Owner, event.GrantReturn{Server: s.ID, Number: h.Number})
}

func (k *Coordinator) giveBack(owner model.InstanceID, r event.GrantReturn) {
	k.Peers.Send(owner, event.Message{GrantReturn: &r})
}

// Done records the end of an attempt that this instance sent to a cold server.
func (k *Coordinator) AttemptDone(now time.Time, s *limit.Server, grant limit.HeldGrant, success bool, latency time.Duration) (warmed bool) {
	if grant.Number != 0 {
		k.giveBack(grant.Owner, event.GrantReturn{
			Server: s.ID, Number: grant.Number, Used: true, Success: success, LatencyMicros: latency.Microseconds(),
		})
		return false
	}
	if !s.Owned || s.State != limit.Cold {
		return false
	}
	return k.count(now, s, success, latency)
}

// Returned takes a grant back from another instance.
func (k *Coordinator) HandleGrantReturn(now time.Time, from model.InstanceID, r event.GrantReturn) (s *limit.Server, warmed bool) {
	s = k.Servers.Get(r.Server)
	if s == nil {
		return nil, false
	}
	i := slices.IndexFunc(s.IssuedGrants, func(g limit.IssuedGrant) bool { return g.Number == r.Number && g.To == from })
	if i < 0 {
		return s, false
	}
	s.IssuedGrants = slices.Delete(s.IssuedGrants, i, i+1)
	if r.Used && s.Owned && s.State == limit.Cold {
		warmed = k.count(now, s, r.Success, time.Duration(r.LatencyMicros)*time.Microsecond)
	}
	return s, warmed
}

// count moves the allowance by the result of one attempt. It returns true when
// the server has borne its full number of slots and counts as warm.
func (k *Coordinator) count(now time.Time, s *limit.Server, success bool, latency time.Duration) (warmed bool) {
	if !success {
		s.SuccessStreak, s.FastStreak = 0, 0
		s.Allowance = max(1, s.Allowance-1)
		return false
	}
	s.SuccessStreak++
	s.FastStreak++
	if !near(s, latency) {
		s.FastStreak = 0
	}
	if s.FastStreak < riseAfter*s.Allowance && s.SuccessStreak < riseAnyway*s.Allowance {
		k.IssueGrants(now, s)
		return false
	}
	s.SuccessStreak, s.FastStreak = 0, 0
	if s.Allowance >= s.Slots {
		return true
	}
	s.Allowance++
	k.IssueGrants(now, s)
	return false
}

// near reports whether a latency is near that of the same server when it was warm,
// as this instance saw it. Other servers may be farther away or nearer, so that
// comparing with them would prove nothing.
func near(s *limit.Server, latency time.Duration) bool {
	more := max(time.Duration(nearPart*float64(s.WarmMinLatency)), nearNoise)
	return s.WarmMinLatency > 0 && latency <= s.WarmMinLatency+more
}
