// Package member maintains the membership view: the state of each instance of the
// deployment. Its inputs are links, pings, the platform's list of instances, which lags,
// and the updates of peers. It determines which peers to link to, which instances to
// suspect, and which instances count as live.
//
// Updates are broadcast: an instance passes each update that changes its view on to every
// linked peer, once. A suspected instance refutes the suspicion with a higher incarnation.
// Package route assigns keys to live instances and package warm manages cold servers on
// that basis; package io/peer implements links and messages.
package member

import (
	"encoding/binary"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/route"
)

const (
	// PingInterval is the time between two pings of a link. Two intervals fit into the
	// quorum lease of package warm, so that the loss of one answer does no harm.
	PingInterval = 500 * time.Millisecond
	// silenceTimeout is the time without messages after which a peer is suspected, and
	// unlinkedTimeout the time after the end of its last link.
	silenceTimeout  = 2 * time.Second
	unlinkedTimeout = 500 * time.Millisecond
	// suspectTimeout is the time that a suspected instance has to refute the suspicion. An
	// instance that is partitioned or suspended is confirmed dead after unlinkedTimeout
	// plus suspectTimeout at the earliest, and so not before its quorum lease of package
	// warm has expired.
	suspectTimeout = 1500 * time.Millisecond
	// deadTTL is the time for which a dead or departed instance stays in the view, so that
	// old updates of it don't count as new.
	deadTTL = 10 * time.Minute
	// reservationTime is the time for which an instance that is no longer live keeps its share of
	// the common budgets. It may be cut off from this instance only, or start again, and what
	// it has sent stays in the window of a budget. It covers a cut of a quarter of a minute
	// and a window of ten seconds after it.
	reservationTime = 30 * time.Second
	// minRingSize is the number of instances from which on they link along a ring. In a
	// smaller deployment every instance links to all others.
	minRingSize = 12
	// maxLocalMesh is the maximum number of instances of one data centre that all link to
	// each other.
	maxLocalMesh = 6
	// ringLinks is the number of neighbours in each direction on the ring of a larger
	// deployment, at increasing distances.
	ringLinks = 4
)

// Member is the state of one instance in the view.
type Member struct {
	model.Instance
	State event.MemberState
	// Since is when State was set.
	Since time.Time
	// Linked is set while a link is up. HeardAt is when the last message arrived on a link,
	// or when the link came up.
	Linked  bool
	HeardAt time.Time
	// UnlinkedAt is when the last link ended.
	UnlinkedAt time.Time
	// MonitoredSince is since when this instance checks the member for silence; zero while
	// it doesn't.
	MonitoredSince time.Time
	// AnsweredPingSentAt is when the last answered ping had been sent.
	AnsweredPingSentAt time.Time
	// Version is the version of the member's active configuration, as last reported.
	Version uint64
}

// IsLive reports whether the member counts as live: alive or suspected.
func (m *Member) IsLive() bool {
	return m.State == event.MemberAlive || m.State == event.MemberSuspect
}

// View is the membership view of one instance.
type View struct {
	// Self is this instance. Its incarnation increases when it refutes a suspicion.
	Self model.Instance
	// members is sorted by ID and holds Self.
	members []*Member
	// listed holds the live instances on the platform's list without Self, in order of ID.
	listed []model.Instance
	// preferred holds instances to which this one keeps links besides, in order of ID.
	preferred []model.InstanceID
	// pings tells how long pings to peers take.
	pings pings
	// left is set once this instance has left.
	left bool
	// neighbours and digest are cached. stale is set when the view or the list has changed
	// since they were computed.
	neighbours []model.Instance
	digest     uint64
	stale      bool
}

// New returns a view that holds only this instance.
func New(now time.Time, self model.Instance) *View {
	v := &View{Self: self, stale: true}
	v.members = []*Member{{Instance: self, State: event.MemberAlive, Since: now}}
	return v
}

// Get returns the member with the given ID, or nil.
func (v *View) Get(id model.InstanceID) *Member {
	i, ok := v.search(id)
	if !ok {
		return nil
	}
	return v.members[i]
}

// search returns the index of an instance in members and true, or the index at which
// to insert it and false.
func (v *View) search(id model.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(v.members, id, func(m *Member, id model.InstanceID) int {
		return strings.Compare(string(m.ID), string(id))
	})
}

// Rows returns the members in order of ID.
func (v *View) Rows() []*Member { return v.members }

// Live returns the instances that count as live in order of ID. It includes this instance
// unless it has left.
func (v *View) Live() []model.InstanceID {
	var out []model.InstanceID
	for _, m := range v.members {
		if m.IsLive() {
			out = append(out, m.ID)
		}
	}
	return out
}

// Shares returns the number of instances that have a share of the common budgets, this one included:
// the live ones, and those that ended within the reservation time.
func (v *View) Shares(now time.Time) (n int) {
	for _, m := range v.members {
		if m.IsLive() || m.ID == v.Self.ID || now.Sub(m.Since) < reservationTime {
			n++
		}
	}
	return n
}

// Linked returns the peers with a link, in order of ID.
func (v *View) Linked() []model.InstanceID {
	var out []model.InstanceID
	for _, m := range v.members {
		if m.Linked {
			out = append(out, m.ID)
		}
	}
	return out
}

// Link records a new link. It returns the updates to pass on.
func (v *View) Link(now time.Time, peer model.Instance) []event.MemberUpdate {
	updates := v.Apply(now, []event.MemberUpdate{{Instance: peer, State: event.MemberAlive}})
	m := v.Get(peer.ID)
	m.Linked, m.HeardAt = true, now
	return updates
}

// Unlink records the end of a link.
func (v *View) Unlink(now time.Time, id model.InstanceID) {
	if m := v.Get(id); m != nil {
		m.Linked, m.UnlinkedAt = false, now
	}
}

// RecordReceived records that a message arrived on a link.
func (v *View) RecordReceived(now time.Time, id model.InstanceID) {
	if m := v.Get(id); m != nil {
		m.HeardAt = now
	}
}

// RecordPong records that a ping that was sent at sentAt was answered.
func (v *View) RecordPong(now time.Time, id model.InstanceID, sentAt time.Time) {
	v.pings.answered(now, sentAt)
	if m := v.Get(id); m != nil && sentAt.After(m.AnsweredPingSentAt) {
		m.AnsweredPingSentAt = sentAt
	}
}

// Leave records that this instance leaves. It returns the updates to pass on.
func (v *View) Leave(now time.Time) []event.MemberUpdate {
	v.left, v.stale = true, true
	m := v.Get(v.Self.ID)
	m.State, m.Since = event.MemberLeft, now
	return []event.MemberUpdate{{Instance: v.Self, State: event.MemberLeft}}
}

// Apply applies updates. It returns those that are to be passed on: the ones that changed
// the view, and refutations.
func (v *View) Apply(now time.Time, updates []event.MemberUpdate) (fresh []event.MemberUpdate) {
	for _, u := range updates {
		if u.Instance.ID == v.Self.ID {
			fresh = append(fresh, v.refute(u)...)
			continue
		}
		if v.applyUpdate(now, u) {
			fresh = append(fresh, u)
		}
	}
	return fresh
}

// refute raises this instance's incarnation in response to an update that reports it as
// suspected, dead or left. It returns the update to pass on, or nil if there is nothing to
// refute.
func (v *View) refute(u event.MemberUpdate) []event.MemberUpdate {
	if v.left || u.State == event.MemberAlive || u.Instance.Incarnation < v.Self.Incarnation {
		return nil
	}
	v.Self.Incarnation = u.Instance.Incarnation + 1
	v.stale = true
	v.Get(v.Self.ID).Instance = v.Self
	return []event.MemberUpdate{{Instance: v.Self, State: event.MemberAlive}}
}

// applyUpdate applies an update of another instance. It returns false if the view already
// holds this or a newer state of the instance.
func (v *View) applyUpdate(now time.Time, u event.MemberUpdate) bool {
	i, ok := v.search(u.Instance.ID)
	if !ok {
		v.stale = true
		v.members = slices.Insert(v.members, i, &Member{Instance: u.Instance, State: u.State, Since: now})
		return true
	}
	m := v.members[i]
	newer := u.Instance.Incarnation > m.Incarnation ||
		(u.Instance.Incarnation == m.Incarnation && u.State > m.State)
	if !newer {
		return false
	}
	m.Instance, m.State, m.Since = u.Instance, u.State, now
	v.stale = true
	return true
}

// SetListed sets the platform's list of instances. The list lags, so it adds instances to
// link to, but no instance is marked dead because of it.
func (v *View) SetListed(list []event.ListedInstance) {
	var next []model.Instance
	for _, l := range list {
		if l.ID != v.Self.ID && l.State == event.ListedLive {
			next = append(next, model.Instance{ID: l.ID, Address: l.Address, DataCentre: l.DataCentre})
		}
	}
	slices.SortFunc(next, func(a, b model.Instance) int { return strings.Compare(string(a.ID), string(b.ID)) })
	if !slices.Equal(next, v.listed) {
		v.listed, v.stale = next, true
	}
}

// SetPreferred sets live instances to which this one keeps links in addition to those that connect
// all instances. ids must be in order.
func (v *View) SetPreferred(ids []model.InstanceID) {
	if !slices.Equal(ids, v.preferred) {
		v.preferred, v.stale = slices.Clone(ids), true
	}
}

// quorumMembers returns the instances over which a quorum is counted, in order of ID: the
// live ones, this one included, and those on the platform's list. The list lags, so an
// instance that has ended still counts for some time. In return, instances that have lost
// contact with it can't remove it from the quorum members.
func (v *View) quorumMembers() []model.InstanceID {
	ids := v.Live()
	for _, l := range v.listed {
		ids = append(ids, l.ID)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// QuorumContact returns the latest time t such that a majority of the quorum members, this
// instance included, has answered a ping that was sent at t or later. Half of an even number
// is sufficient if it includes the first instance in order of ID, so that after a split into
// two halves one of them keeps a quorum. The zero time means that there was no such contact.
func (v *View) QuorumContact(now time.Time) time.Time {
	ids := v.quorumMembers()
	contacts := make([]time.Time, len(ids))
	for i, id := range ids {
		contacts[i] = v.answeredPingSentAt(now, id)
	}
	first := contacts[0]
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	if len(ids)%2 == 0 {
		// Half is sufficient if it includes the first instance.
		half := contacts[len(ids)/2-1]
		if first.Before(half) {
			half = first
		}
		if majority := contacts[len(ids)/2]; majority.After(half) {
			return majority
		}
		return half
	}
	return contacts[len(ids)/2]
}

// answeredPingSentAt returns when the last answered ping to an instance had been sent, or
// now for this instance.
func (v *View) answeredPingSentAt(now time.Time, id model.InstanceID) time.Time {
	if id == v.Self.ID {
		return now
	}
	if m := v.Get(id); m != nil {
		return m.AnsweredPingSentAt
	}
	return time.Time{}
}

// Tick applies the state changes that depend on time: it suspects silent neighbours, marks
// suspects as dead that have not refuted in time, and removes members after deadTTL. It
// returns the updates to pass on.
func (v *View) Tick(now time.Time) (updates []event.MemberUpdate) {
	monitored := map[model.InstanceID]bool{}
	for _, p := range v.Neighbours() {
		monitored[p.ID] = true
	}
	for _, m := range v.members {
		if m.ID == v.Self.ID {
			continue
		}
		switch {
		case !monitored[m.ID]:
			m.MonitoredSince = time.Time{}
		case m.MonitoredSince.IsZero():
			m.MonitoredSince = now
		}
		switch {
		case m.State == event.MemberAlive && monitored[m.ID] && v.silent(now, m):
			m.State, m.Since = event.MemberSuspect, now
		case m.State == event.MemberSuspect && now.Sub(m.Since) > suspectTimeout:
			m.State, m.Since = event.MemberDead, now
		default:
			continue
		}
		updates = append(updates, event.MemberUpdate{Instance: m.Instance, State: m.State})
		v.stale = true
	}
	v.members = slices.DeleteFunc(v.members, func(m *Member) bool {
		return !m.IsLive() && m.ID != v.Self.ID && now.Sub(m.Since) > deadTTL
	})
	return updates
}

// silent reports whether a neighbour has been silent for too long. The time counts from the
// latest of these: its last message, or the end of its last link if it has none now; the
// time when it was last marked alive; and the time when it became a neighbour. A new
// neighbour has to be dialled first, and its last link may have ended long ago.
func (v *View) silent(now time.Time, m *Member) bool {
	if !m.Linked && m.UnlinkedAt.After(m.Since) {
		return now.Sub(latest(m.UnlinkedAt, m.MonitoredSince)) > unlinkedTimeout
	}
	return now.Sub(latest(m.HeardAt, m.Since, m.MonitoredSince)) > silenceTimeout
}

// latest returns the latest of the given times.
func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// refresh recomputes the neighbours and the digest if the view or the list has changed.
func (v *View) refresh() {
	if !v.stale {
		return
	}
	v.neighbours, v.digest, v.stale = v.NeighboursOf(v.Self.ID), v.computeDigest(), false
	for _, id := range v.preferred {
		known := slices.ContainsFunc(v.neighbours, func(p model.Instance) bool { return p.ID == id })
		if m := v.Get(id); m != nil && m.IsLive() && id != v.Self.ID && !known {
			v.neighbours = append(v.neighbours, m.Instance)
		}
	}
}

// Neighbours returns the instances to which this instance keeps links and which it monitors
// for silence. In a small deployment these are all others. In a larger one they are the
// instances at certain distances in both directions on a ring in hash order, so that every
// instance is monitored and the links form a connected graph of small diameter. Instances set
// by SetPreferred are added. The caller must not change the result.
func (v *View) Neighbours() []model.Instance {
	v.refresh()
	return v.neighbours
}

// Digest returns a hash of the live members with their incarnations and states. Equal views
// have equal digests.
func (v *View) Digest() uint64 {
	v.refresh()
	return v.digest
}

// NeighboursOf returns the instances to which the given instance of the view keeps links.
func (v *View) NeighboursOf(self model.InstanceID) []model.Instance {
	all := v.candidates()
	if len(all) < minRingSize {
		return slices.DeleteFunc(all, func(p model.Instance) bool { return p.ID == self })
	}
	ids := make([]model.InstanceID, len(all))
	byID := make(map[model.InstanceID]model.Instance, len(all))
	for i, p := range all {
		ids[i] = p.ID
		byID[p.ID] = p
	}
	ring := route.RankedOwners("ring", ids, len(ids))
	at := slices.Index(ring, self)
	var out []model.Instance
	for _, step := range ringSteps(len(ring)) {
		out = append(out, byID[ring[(at+step)%len(ring)]], byID[ring[(at-step+len(ring))%len(ring)]])
	}
	for _, id := range localNeighbours(ring, byID, self) {
		if !slices.ContainsFunc(out, func(p model.Instance) bool { return p.ID == id }) {
			out = append(out, byID[id])
		}
	}
	return out
}

// localNeighbours returns the neighbours in the same data centre, so that updates can spread
// within it: all instances in a small data centre, otherwise the adjacent ones in both
// directions on the ring of the data centre.
func localNeighbours(ring []model.InstanceID, byID map[model.InstanceID]model.Instance, self model.InstanceID) []model.InstanceID {
	local := slices.DeleteFunc(slices.Clone(ring), func(id model.InstanceID) bool {
		return byID[id].DataCentre != byID[self].DataCentre
	})
	at := slices.Index(local, self)
	n := len(local)
	if n <= maxLocalMesh {
		return slices.Delete(local, at, at+1)
	}
	return []model.InstanceID{local[(at+1)%n], local[(at+n-1)%n]}
}

// ringSteps returns the distances of the neighbours in one direction on a ring of n
// instances: the powers of the ringLinks-th root of n. Every instance is then within about
// ringLinks/2 times that root hops. Links are mutual, because every instance uses the same
// distances in both directions.
func ringSteps(n int) []int {
	root := int(math.Ceil(math.Pow(float64(n), 1.0/ringLinks)))
	steps := make([]int, 0, ringLinks)
	for step := 1; len(steps) < ringLinks && step < n/2; step *= max(root, 2) {
		steps = append(steps, step)
	}
	return steps
}

// candidates returns the instances to which links are possible, this one included: the live
// ones and those on the platform's list. Listed instances that are marked dead are included
// because after a partition each side has marked the other one dead, and they must connect
// to each other again.
func (v *View) candidates() []model.Instance {
	var out []model.Instance
	for _, m := range v.members {
		if m.IsLive() || m.ID == v.Self.ID {
			out = append(out, m.Instance)
		}
	}
	for _, l := range v.listed {
		if m := v.Get(l.ID); m == nil || m.State == event.MemberDead {
			out = append(out, l)
		}
	}
	return out
}

// computeDigest computes the result of Digest.
func (v *View) computeDigest() uint64 {
	d := xxhash.New()
	var b [16]byte
	for _, m := range v.members {
		if !m.IsLive() {
			continue
		}
		_, _ = d.WriteString(string(m.ID))
		binary.LittleEndian.PutUint64(b[:8], uint64(m.Incarnation))
		binary.LittleEndian.PutUint64(b[8:], uint64(m.State))
		_, _ = d.Write(b[:])
	}
	return d.Sum64()
}

// AllUpdates returns the full view as updates, for a peer whose view differs.
func (v *View) AllUpdates() []event.MemberUpdate {
	out := make([]event.MemberUpdate, len(v.members))
	for i, m := range v.members {
		out[i] = event.MemberUpdate{Instance: m.Instance, State: m.State}
	}
	return out
}
