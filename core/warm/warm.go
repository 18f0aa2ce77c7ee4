// Package warm decides which instances may send to a cold backend server, so that
// the attempts in flight there, summed over all instances, stay within the capacity
// of a cold server.
//
// Each cold server is owned by one instance, which is found by rendezvous hashing
// over the live instances. The owner has an allowance of attempts in flight, which
// starts at one and rises with successful attempts. Other instances send only under a
// grant, which counts against the owner's allowance until it is returned or expires.
//
// Two instances may own a server at the same time while their views of the live
// instances differ. This does not exceed the allowance, since an owner uses it only
// while a quorum of the listed instances has answered pings that it sent within
// QuorumLease. An owner that was cut off or suspended therefore stops sending before
// the other instances have confirmed its death, and a new owner waits newOwnerWait, so
// that the attempts of the former owner have ended. The design note warm-up.md derives
// the times.
//
// Package limit holds the states of servers, and package query chooses the request
// that is sent to a cold server.
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
	// newOwnerWait is the delay before a new owner may send: the time for which the
	// former owner may still send, and the time for which its last attempt may be in
	// flight.
	newOwnerWait = QuorumLease + MaxAttemptTime
	// QuorumLease is how long an answered ping lets an owner use its allowance,
	// counted from when the ping was sent. It is shorter than the silence after
	// which an instance is confirmed dead.
	QuorumLease = 1500 * time.Millisecond
	// MaxAttemptTime is the longest time for which the reply of a cold server is
	// waited for.
	MaxAttemptTime = time.Second
	// grantUseTimeout is how long after its request a grant may be used.
	grantUseTimeout = 300 * time.Millisecond
	// grantTTL is how long the owner counts a grant that is not returned.
	grantTTL = grantUseTimeout + MaxAttemptTime + 500*time.Millisecond
	// minGrantRequestInterval is the minimum time between two grant requests for the
	// same server.
	minGrantRequestInterval = 20 * time.Millisecond
	// fastSuccessesPerStep is the number of consecutive answers, for each attempt of
	// the allowance, that raise the allowance by one if their latency is near the
	// latency of the same server when it was warm.
	fastSuccessesPerStep = 4
	// successesPerStep is that number if the latency is higher, or if this instance
	// has no latency of the server when it was warm.
	successesPerStep = 24
	// latencyToleranceFraction is the fraction of the latency when warm by which a
	// latency near it may be higher. Both include the network delay to a distant
	// server, so that the fraction has to be small.
	latencyToleranceFraction = 0.25
	// minLatencyTolerance is the minimum tolerance: smaller differences are noise.
	minLatencyTolerance = 2 * time.Millisecond
)

// Sender sends messages to other instances.
type Sender interface {
	// Send queues a message for a peer. Without a link to the peer the message is
	// dropped.
	Send(to model.InstanceID, m event.Message)
}

// Coordinator decides which instances may send to cold servers. It issues the grants
// for the servers that this instance owns, and requests those for other servers.
type Coordinator struct {
	// Self is this instance.
	Self model.InstanceID
	// Servers is the table of the servers.
	Servers *limit.Table
	// Peers sends the messages to other instances.
	Peers Sender
	// LeaseExpiry returns the time from which this instance has no contact with a
	// quorum of the instances, if no further ping is answered.
	LeaseExpiry func() time.Time

	members         []model.InstanceID
	lastGrantNumber uint64
}

// SetMembers sets the live instances, including this one, and recomputes the owner of
// each server.
func (c *Coordinator) SetMembers(now time.Time, ids []model.InstanceID) {
	c.members = ids
	for _, s := range c.Servers.Rows {
		c.recomputeOwner(now, s)
	}
}

// ResetOwnership drops every ownership and every held grant after this process was
// suspended, since other instances may have become owners meanwhile. The servers that
// this instance still owns are acquired anew, with the delay of a new owner.
func (c *Coordinator) ResetOwnership(now time.Time) {
	for _, s := range c.Servers.Rows {
		s.Owned = false
		s.Held = nil
		c.recomputeOwner(now, s)
	}
}

// Owner returns the instance that owns a server while it is cold. The servers of a
// group have different owners as long as there are enough instances, so that the loss
// of one instance never leaves a cold group without an owner that may send.
func (c *Coordinator) Owner(s *limit.Server) (owner model.InstanceID) {
	candidates := slices.Clone(c.members)
	for _, b := range c.Servers.Group(s.Service, s.Group) {
		if len(candidates) == 0 {
			candidates = slices.Clone(c.members)
		}
		owner = route.Owner("warm/"+string(b.ID), candidates)
		if b == s {
			return owner
		}
		candidates = slices.DeleteFunc(candidates, func(id model.InstanceID) bool { return id == owner })
	}
	return owner
}

// recomputeOwner updates whether this instance owns a server. A new owner starts with
// an allowance of one; a former owner forgets its grants and the waiting requests.
func (c *Coordinator) recomputeOwner(now time.Time, s *limit.Server) {
	owned := c.Owner(s) == c.Self
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
func (c *Coordinator) MaySend(now time.Time, s *limit.Server) bool {
	if s.State != limit.Cold {
		return false
	}
	if s.Owned {
		return c.allowanceLeft(now, s)
	}
	return s.Held != nil && now.Before(s.Held.UseBefore)
}

// allowanceLeft reports whether this instance, as the owner, may send or grant one
// more attempt. It drops the grants that have expired.
func (c *Coordinator) allowanceLeft(now time.Time, s *limit.Server) bool {
	if now.Sub(s.OwnedSince) < newOwnerWait || !now.Before(c.LeaseExpiry()) {
		return false
	}
	s.IssuedGrants = slices.DeleteFunc(s.IssuedGrants, func(g limit.IssuedGrant) bool { return !now.Before(g.ExpiresAt) })
	return s.InFlight+len(s.IssuedGrants) < s.Allowance
}

// TakeGrant takes the held grant to send an attempt under it. It returns the zero
// grant if this instance owns the server or holds none.
func (c *Coordinator) TakeGrant(s *limit.Server) (grant limit.HeldGrant) {
	if s.Owned || s.Held == nil {
		return limit.HeldGrant{}
	}
	grant = *s.Held
	s.Held = nil
	return grant
}

// RequestGrant asks the owner of a cold server for a grant to send one attempt. It
// does nothing if this instance holds a grant or asked a short time ago.
func (c *Coordinator) RequestGrant(now time.Time, s *limit.Server) {
	holds := s.Held != nil && now.Before(s.Held.UseBefore)
	if s.State != limit.Cold || s.Owned || holds || now.Sub(s.GrantRequestedAt) < minGrantRequestInterval {
		return
	}
	owner := c.Owner(s)
	if owner == "" || owner == c.Self {
		return
	}
	s.GrantRequestedAt = now
	c.Peers.Send(owner, event.Message{GrantRequest: &event.GrantRequest{Server: s.ID, AskedAt: now.UnixNano()}})
}

// HandleGrantRequest queues the grant request of another instance. If the server is
// warm or draining, it answers with the state of the server instead.
func (c *Coordinator) HandleGrantRequest(now time.Time, from model.InstanceID, request event.GrantRequest) {
	s := c.Servers.Get(request.Server)
	if s == nil {
		return
	}
	if s.State == limit.Warm || s.State == limit.Draining {
		c.Peers.Send(from, event.Message{Servers: &event.Servers{Updates: []event.ServerUpdate{s.PeerUpdate()}}})
		return
	}
	if !s.Owned {
		return
	}
	c.enqueueGrantRequest(s, limit.GrantRequest{From: from, AskedAt: request.AskedAt, ArrivedAt: now})
	c.IssueGrants(now, s)
}

// enqueueGrantRequest adds a grant request, or replaces the one of the same instance.
func (c *Coordinator) enqueueGrantRequest(s *limit.Server, request limit.GrantRequest) {
	i := slices.IndexFunc(s.GrantRequests, func(o limit.GrantRequest) bool { return o.From == request.From })
	if i < 0 {
		s.GrantRequests = append(s.GrantRequests, request)
		return
	}
	s.GrantRequests[i] = request
}

// IssueGrants issues grants to the waiting instances, as far as the allowance goes.
// An owner that can't reach the server itself still issues grants, since the other
// instances may be able to reach it.
func (c *Coordinator) IssueGrants(now time.Time, s *limit.Server) {
	if !s.Owned || s.State == limit.Warm || s.State == limit.Draining {
		return
	}
	s.GrantRequests = slices.DeleteFunc(s.GrantRequests, func(request limit.GrantRequest) bool { return now.Sub(request.ArrivedAt) > grantUseTimeout })
	for len(s.GrantRequests) > 0 && c.allowanceLeft(now, s) {
		request := s.GrantRequests[0]
		s.GrantRequests = s.GrantRequests[1:]
		c.lastGrantNumber++
		s.IssuedGrants = append(s.IssuedGrants, limit.IssuedGrant{Number: c.lastGrantNumber, To: request.From, ExpiresAt: now.Add(grantTTL)})
		c.Peers.Send(request.From, event.Message{Grant: &event.Grant{Server: s.ID, Number: c.lastGrantNumber, AskedAt: request.AskedAt}})
	}
}

// HandleGrant stores a grant from an owner, or returns it at once if it can't be used
// or is too late.
func (c *Coordinator) HandleGrant(now time.Time, from model.InstanceID, g event.Grant) {
	s := c.Servers.Get(g.Server)
	useBefore := time.Unix(0, g.AskedAt).Add(grantUseTimeout)
	if s == nil || s.State != limit.Cold || s.Owned || s.Held != nil || !now.Before(useBefore) {
		c.returnGrant(from, event.GrantReturn{Server: g.Server, Number: g.Number})
		return
	}
	s.Held = &limit.HeldGrant{Number: g.Number, Owner: from, UseBefore: useBefore}
}

// ReturnUnusedGrant returns the held grant of a server to the owner, if there is one.
func (c *Coordinator) ReturnUnusedGrant(s *limit.Server) {
	if s.Held == nil {
		return
	}
	h := s.Held
	s.Held = nil
	c.returnGrant(h.Owner, event.GrantReturn{Server: s.ID, Number: h.Number})
}

// returnGrant sends the return of a grant to the owner that issued it.
func (c *Coordinator) returnGrant(owner model.InstanceID, r event.GrantReturn) {
	c.Peers.Send(owner, event.Message{GrantReturn: &r})
}

// AttemptDone records the end of an attempt that this instance sent to a cold server.
// For an attempt under a grant it returns the grant with the result to the owner. It
// returns true if this instance owns the server and the server completed its warm-up.
func (c *Coordinator) AttemptDone(now time.Time, s *limit.Server, grant limit.HeldGrant, success bool, latency time.Duration) (warmed bool) {
	if grant.Number != 0 {
		c.returnGrant(grant.Owner, event.GrantReturn{
			Server: s.ID, Number: grant.Number, Used: true, Success: success, LatencyMicros: latency.Microseconds(),
		})
		return false
	}
	if !s.Owned || s.State != limit.Cold {
		return false
	}
	return c.recordResult(now, s, success, latency)
}

// HandleGrantReturn handles the return of a grant by another instance, and records
// the result of the attempt if the grant was used. It returns the server, or nil, and
// whether the server completed its warm-up.
func (c *Coordinator) HandleGrantReturn(now time.Time, from model.InstanceID, r event.GrantReturn) (s *limit.Server, warmed bool) {
	s = c.Servers.Get(r.Server)
	if s == nil {
		return nil, false
	}
	i := slices.IndexFunc(s.IssuedGrants, func(g limit.IssuedGrant) bool { return g.Number == r.Number && g.To == from })
	if i < 0 {
		return s, false
	}
	s.IssuedGrants = slices.Delete(s.IssuedGrants, i, i+1)
	if r.Used && s.Owned && s.State == limit.Cold {
		warmed = c.recordResult(now, s, r.Success, time.Duration(r.LatencyMicros)*time.Microsecond)
	}
	return s, warmed
}

// recordResult adjusts the allowance by the result of one attempt. It returns true
// when the server has completed its warm-up with an allowance of all its slots.
func (c *Coordinator) recordResult(now time.Time, s *limit.Server, success bool, latency time.Duration) (warmed bool) {
	if !success {
		s.SuccessStreak, s.FastStreak = 0, 0
		s.Allowance = max(1, s.Allowance-1)
		return false
	}
	s.SuccessStreak++
	s.FastStreak++
	if !nearWarmLatency(s, latency) {
		s.FastStreak = 0
	}
	if s.FastStreak < fastSuccessesPerStep*s.Allowance && s.SuccessStreak < successesPerStep*s.Allowance {
		c.IssueGrants(now, s)
		return false
	}
	s.SuccessStreak, s.FastStreak = 0, 0
	if s.Allowance >= s.Slots {
		return true
	}
	s.Allowance++
	c.IssueGrants(now, s)
	return false
}

// nearWarmLatency reports whether a latency is near the latency of the same server
// when it was warm, as measured by this instance. Other servers are no reference,
// since their network delay differs.
func nearWarmLatency(s *limit.Server, latency time.Duration) bool {
	tolerance := max(time.Duration(latencyToleranceFraction*float64(s.WarmMinLatency)), minLatencyTolerance)
	return s.WarmMinLatency > 0 && latency <= s.WarmMinLatency+tolerance
}
