// Package member owns the view of which instances live. It is fed by links,
// pings, the platform's lagging list and the news that peers pass on; it says
// which peers to link to, whom to suspect, and which instances count as live.
//
// News is flooded: an instance that learns something new passes it on to every
// peer that it is linked to, once. An incarnation that is suspected refutes by a
// higher incarnation. Duties that depend on the view are left to packages route
// and warm; links and messages to io/peer.
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
	// PingInterval is the time between two pings of a link. Two of them fit into
	// the quorum lease of package warm, so that one lost answer does no harm.
	PingInterval = 500 * time.Millisecond
	// silentAfter is the silence after which a linked peer is suspected, and
	// unlinkedAfter the time without a link.
	silentAfter   = 2 * time.Second
	unlinkedAfter = 500 * time.Millisecond
	// deadAfter is how long a suspect has to refute. An instance that was cut off
	// or stands still is confirmed dead after unlinkedAfter and deadAfter at the
	// soonest: not before the quorum lease of package warm has ended.
	deadAfter = 1500 * time.Millisecond
	// forgetAfter is how long a dead instance is remembered, so that old news of
	// it is not taken for new.
	forgetAfter = 10 * time.Minute
	// maxFullMesh is the number of instances up to which each links to all.
	maxFullMesh = 12
	// maxLocalMesh is the number of instances of one data centre up to which each links
	// to all of them.
	maxLocalMesh = 6
	// ringLinks is the number of neighbours to each side on the ring of a larger
	// deployment, at growing distances.
	ringLinks = 4
)

// Member is one row of the view.
type Member struct {
	model.Instance
	State event.MemberState
	// Since is when State was taken in.
	Since time.Time
	// Linked is set while a link is up; HeardAt is when it last carried anything.
	Linked  bool
	HeardAt time.Time
	// UnlinkedAt is when the last link ended.
	UnlinkedAt time.Time
	// WatchedAt is since when this instance judges its silence; zero while it doesn't.
	WatchedAt time.Time
	// ContactAt is when the last ping that was answered had been sent.
	AnsweredPingSentAt time.Time
	// Version is the configuration in force there, as last heard.
	Version uint64
}

// Counts reports whether the member counts as live.
func (m *Member) IsLive() bool {
	return m.State == event.MemberAlive || m.State == event.MemberSuspect
}

// View is one instance's view of all.
type View struct {
	// Self is this instance; its incarnation rises when it refutes a suspicion.
	Self model.Instance
	// rows is sorted by ID and holds Self.
	rows []*Member
	// listed holds the instances on the platform's list, minus Self, in order of
	// ID.
	listed []model.Instance
	left   bool
	// neighbours and digest are kept until the view or the list changes; stale
	// says that it did.
	neighbours []model.Instance
	digest     uint64
	stale      bool
}

// New returns a view that holds only this instance.
func New(now time.Time, self model.Instance) *View {
	v := &View{Self: self, stale: true}
	v.rows = []*Member{{Instance: self, State: event.MemberAlive, Since: now}}
	return v
}

// Get returns the row of an instance, or nil.
func (v *View) Get(id model.InstanceID) *Member {
	i, ok := v.search(id)
	if !ok {
		return nil
	}
	return v.rows[i]
}

func (v *View) search(id model.InstanceID) (int, bool) {
	return slices.BinarySearchFunc(v.rows, id, func(m *Member, id model.InstanceID) int {
		return strings.Compare(string(m.ID), string(id))
	})
}

// Rows returns the rows in order of ID.
func (v *View) Rows() []*Member { return v.rows }

// Live returns the instances that count as live, this one included unless it has
// left, in order of ID.
func (v *View) Live() []model.InstanceID {
	var out []model.InstanceID
	for _, m := range v.rows {
		if m.IsLive() {
			out = append(out, m.ID)
		}
	}
	return out
}

// Linked returns the peers with a link, in order of ID.
func (v *View) Linked() []model.InstanceID {
	var out []model.InstanceID
	for _, m := range v.rows {
		if m.Linked {
			out = append(out, m.ID)
		}
	}
	return out
}

// Link records a new link. It returns the news to pass on.
func (v *View) Link(now time.Time, peer model.Instance) []event.MemberUpdate {
	news := v.Apply(now, []event.MemberUpdate{{Instance: peer, State: event.MemberAlive}})
	m := v.Get(peer.ID)
	m.Linked, m.HeardAt = true, now
	return news
}

// Unlink records the end of a link.
func (v *View) Unlink(now time.Time, id model.InstanceID) {
	if m := v.Get(id); m != nil {
		m.Linked, m.UnlinkedAt = false, now
	}
}

// Heard records that a link carried something.
func (v *View) RecordReceived(now time.Time, id model.InstanceID) {
	if m := v.Get(id); m != nil {
		m.HeardAt = now
	}
}

// Contact records that a ping sent at a time was answered.
func (v *View) RecordPong(id model.InstanceID, sentAt time.Time) {
	if m := v.Get(id); m != nil && sentAt.After(m.AnsweredPingSentAt) {
		m.AnsweredPingSentAt = sentAt
	}
}

// Leave records that this instance leaves. It returns the news to pass on.
func (v *View) Leave(now time.Time) []event.MemberUpdate {
	v.left, v.stale = true, true
	m := v.Get(v.Self.ID)
	m.State, m.Since = event.MemberLeft, now
	return []event.MemberUpdate{{Instance: v.Self, State: event.MemberLeft}}
}

// Apply takes in news. It returns what was new, to be passed on.
func (v *View) Apply(now time.Time, news []event.MemberUpdate) (fresh []event.MemberUpdate) {
	for _, n := range news {
		if n.Instance.ID == v.Self.ID {
			fresh = append(fresh, v.refute(n)...)
			continue
		}
		if v.take(now, n) {
			fresh = append(fresh, n)
		}
	}
	return fresh
}

// refute answers news of this instance's own death.
func (v *View) refute(n event.MemberUpdate) []event.MemberUpdate {
	if v.left || n.State == event.MemberAlive || n.Instance.Incarnation < v.Self.Incarnation {
		return nil
	}
	v.Self.Incarnation = n.Instance.Incarnation + 1
	v.stale = true
	v.Get(v.Self.ID).Instance = v.Self
	return []event.MemberUpdate{{Instance: v.Self, State: event.MemberAlive}}
}

// take takes in one piece of news of another instance; it returns false when the
// view knew better.
func (v *View) take(now time.Time, n event.MemberUpdate) bool {
	i, ok := v.search(n.Instance.ID)
	if !ok {
		v.stale = true
		v.rows = slices.Insert(v.rows, i, &Member{Instance: n.Instance, State: n.State, Since: now})
		return true
	}
	m := v.rows[i]
	newer := n.Instance.Incarnation > m.Incarnation ||
		(n.Instance.Incarnation == m.Incarnation && n.State > m.State)
	if !newer {
		return false
	}
	m.Instance, m.State, m.Since = n.Instance, n.State, now
	v.stale = true
	return true
}

// Listed takes in the platform's list of live instances. The list lags: it names
// instances to link to, and kills none.
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

// electorate returns the instances that a quorum is counted over: those on the
// platform's list and those that live, this one included, in order of ID. The list
// lags, so that an instance that went away counts for a while; it can't be taken
// off by those that merely don't hear it.
func (v *View) electorate() []model.InstanceID {
	ids := v.Live()
	for _, l := range v.listed {
		ids = append(ids, l.ID)
	}
	slices.Sort(ids)
	return slices.Compact(ids)
}

// QuorumContact returns the time since which a quorum of the electorate, this
// instance included, has answered a ping: each of them answered one that was sent
// then or later. Half of an even number is a quorum if the first instance in order
// of ID is among them, so that of two halves one goes on. The zero time means that
// there was no such contact.
func (v *View) QuorumContact(now time.Time) time.Time {
	ids := v.electorate()
	contacts := make([]time.Time, len(ids))
	for i, id := range ids {
		contacts[i] = v.contactAt(now, id)
	}
	first := contacts[0]
	slices.SortFunc(contacts, func(a, b time.Time) int { return b.Compare(a) })
	if len(ids)%2 == 0 {
		// With the first one, half is enough.
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

// contactAt returns when the last answered ping to an instance had been sent.
func (v *View) contactAt(now time.Time, id model.InstanceID) time.Time {
	if id == v.Self.ID {
		return now
	}
	if m := v.Get(id); m != nil {
		return m.AnsweredPingSentAt
	}
	return time.Time{}
}

// Tick moves the states that depend on time. It returns the news to pass on.
func (v *View) Tick(now time.Time) (fresh []event.MemberUpdate) {
	watched := map[model.InstanceID]bool{}
	for _, p := range v.Neighbours() {
		watched[p.ID] = true
	}
	for _, m := range v.rows {
		if m.ID == v.Self.ID {
			continue
		}
		switch {
		case !watched[m.ID]:
			m.WatchedAt = time.Time{}
		case m.WatchedAt.IsZero():
			m.WatchedAt = now
		}
		switch {
		case m.State == event.MemberAlive && watched[m.ID] && v.silent(now, m):
			m.State, m.Since = event.MemberSuspect, now
		case m.State == event.MemberSuspect && now.Sub(m.Since) > deadAfter:
			m.State, m.Since = event.MemberDead, now
		default:
			continue
		}
		fresh = append(fresh, event.MemberUpdate{Instance: m.Instance, State: m.State})
		v.stale = true
	}
	v.rows = slices.DeleteFunc(v.rows, func(m *Member) bool {
		return !m.IsLive() && m.ID != v.Self.ID && now.Sub(m.Since) > forgetAfter
	})
	return fresh
}

// silent reports whether a neighbour has given no sign for too long since it was last
// taken for alive, and since it became a neighbour: a new one has to be dialled first, and
// the last link to it may be long ago.
func (v *View) silent(now time.Time, m *Member) bool {
	if !m.Linked && m.UnlinkedAt.After(m.Since) {
		return now.Sub(latest(m.UnlinkedAt, m.WatchedAt)) > unlinkedAfter
	}
	return now.Sub(latest(m.HeardAt, m.Since, m.WatchedAt)) > silentAfter
}

func latest(times ...time.Time) time.Time { return slices.MaxFunc(times, time.Time.Compare) }

// refresh recomputes what depends on the view and the list, if they changed.
func (v *View) refresh() {
	if !v.stale {
		return
	}
	v.neighbours, v.digest, v.stale = v.NeighboursOf(v.Self.ID), v.computeDigest(), false
}

// Neighbours returns the instances to keep links to, whose silence this one is a
// judge of: all of them in a small deployment; else those at some distances to both
// sides on a ring in the order of a hash, so that every instance has watchers and
// the links make one graph of few hops. The result is not to be changed.
func (v *View) Neighbours() []model.Instance {
	v.refresh()
	return v.neighbours
}

// Digest returns a number that is equal for equal views.
func (v *View) Digest() uint64 {
	v.refresh()
	return v.digest
}

// NeighboursOf returns the instances that an instance of the view keeps links to.
func (v *View) NeighboursOf(self model.InstanceID) []model.Instance {
	all := v.candidates()
	if len(all) < maxFullMesh {
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

// localNeighbours returns the neighbours of the same data centre: all in a small one;
// else the next ones to both sides on the ring of that data centre, so that word can
// travel within it.
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

// ringSteps returns the distances of the neighbours to one side on a ring of n
// instances: the powers of the ringLinks-th root of n. Every instance is then within
// some ringLinks times half that root of hops, and a distance that one instance
// keeps to the right, another keeps to the left.
func ringSteps(n int) []int {
	root := int(math.Ceil(math.Pow(float64(n), 1.0/ringLinks)))
	steps := make([]int, 0, ringLinks)
	for step := 1; len(steps) < ringLinks && step < n/2; step *= max(root, 2) {
		steps = append(steps, step)
	}
	return steps
}

// candidates returns the live instances and those that the platform lists, this one
// included. One that is listed and believed dead is among them: after a partition
// each side believes the other dead, and somebody has to try.
func (v *View) candidates() []model.Instance {
	var out []model.Instance
	for _, m := range v.rows {
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

func (v *View) computeDigest() uint64 {
	d := xxhash.New()
	var b [16]byte
	for _, m := range v.rows {
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

// All returns the whole view as news, for a peer whose view differs.
func (v *View) AllUpdates() []event.MemberUpdate {
	out := make([]event.MemberUpdate, len(v.rows))
	for i, m := range v.rows {
		out[i] = event.MemberUpdate{Instance: m.Instance, State: m.State}
	}
	return out
}
