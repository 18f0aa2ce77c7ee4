package engine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/timer"
)

// mesh runs many engines with routed requests, whose messages take a millisecond, and
// counts what they send. The directory holds a routing table and never changes.
type mesh struct {
	now   time.Time
	queue timer.Queue[func()]
	nodes map[model.InstanceID]*meshNode
	ids   []model.InstanceID
	seeds []model.InstanceID
	// directory is its content, which every revision holds.
	directory []event.DirectoryChange
	revision  uint64
	// suspected counts how often a running instance was taken for silent.
	suspected int
}

type meshNode struct {
	*routedInstance
	id     model.InstanceID
	place  string
	starts int
	down   bool
	// wants holds the peers that it dials, and useSeeds whether it dials the seeds.
	wants    []model.InstanceID
	useSeeds bool
	// reads says whether it reads the directory.
	reads bool
	links map[model.InstanceID]bool
	due   time.Time
	sent  int
}

// meshPlaces is the number of data centres.
const meshPlaces = 6

func newMesh(n int) *mesh {
	m := &mesh{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), nodes: map[model.InstanceID]*meshNode{}}
	for i := range n {
		id := model.InstanceID(fmt.Sprintf("i%04d", i))
		m.ids = append(m.ids, id)
		m.nodes[id] = &meshNode{id: id, place: fmt.Sprintf("dc%d", i%meshPlaces)}
	}
	m.seeds = slices.Clone(m.ids[:3])
	m.revision = 10
	m.directory = []event.DirectoryChange{routes(1)}
	for i := range 200 {
		m.directory = append(m.directory, entry(fmt.Sprintf("server-%d", i), fmt.Sprintf("dc%d", i%meshPlaces)))
	}
	for _, id := range m.ids {
		m.start(m.nodes[id])
	}
	return m
}

// start starts an instance that knows only the seeds.
func (m *mesh) start(n *meshNode) {
	n.starts++
	n.routedInstance = newRoutedAt(m.now, model.Instance{
		ID: n.id, Incarnation: model.Incarnation(n.starts * 1000), Address: "10.0.0.1:8000", DataCentre: n.place,
	})
	n.links, n.wants, n.useSeeds, n.down = map[model.InstanceID]bool{}, nil, true, false
	// It lists the directory, which takes a while and is at another revision for each.
	starts := n.starts
	m.queue.Set(m.now.Add(50*time.Millisecond), func() {
		if n.starts == starts && n.reads {
			m.revision++
			m.tick(n, event.DirectoryRead{Changes: m.directory, Full: true, Revision: m.revision, AsOf: m.now})
		}
	})
	n.reads = true
	m.tick(n)
	m.queue.Set(m.now.Add(time.Second), func() { m.watch(n, starts) })
}

// watch gives an instance that reads the directory word each second.
func (m *mesh) watch(n *meshNode, starts int) {
	if n.starts != starts || n.down {
		return
	}
	if n.reads && n.Roster.Loaded() {
		m.tick(n, event.DirectoryRead{Revision: m.revision, AsOf: m.now})
	}
	m.queue.Set(m.now.Add(time.Second), func() { m.watch(n, starts) })
}

// stop ends an instance without a word.
func (m *mesh) stop(n *meshNode) {
	n.down = true
	for _, id := range m.ids {
		if other := m.nodes[id]; n.links[id] && !other.down {
			delete(other.links, n.id)
			m.tick(other, event.PeerLost{Peer: n.id, Incarnation: n.Self.Incarnation})
		}
	}
}

// leave ends an instance after it has announced that.
func (m *mesh) leave(n *meshNode) {
	for _, c := range n.Leave(m.now) {
		if c, ok := c.(event.SendPeer); ok {
			m.send(n, c)
		}
	}
	m.run(100 * time.Millisecond)
	m.stop(n)
}

// tick feeds events to an engine and carries its commands out.
func (m *mesh) tick(n *meshNode, events ...event.Event) {
	if n.down {
		return
	}
	commands, due := n.Tick(m.now, events)
	if n.due.IsZero() || due.Before(n.due) || !n.due.After(m.now) {
		n.due = due
		m.queue.Set(due, func() {
			if !n.due.After(m.now) {
				m.tick(n)
			}
		})
	}
	for _, c := range commands {
		switch c := c.(type) {
		case event.LinkPeers:
			n.wants, n.useSeeds = nil, c.DialSeeds
			for _, p := range c.Peers {
				n.wants = append(n.wants, p.ID)
			}
		case event.FollowDirectory:
			n.reads = c.Active
		case event.StateChanged:
			if other := m.nodes[model.InstanceID(c.Name)]; c.Kind == "member" && c.To == event.MemberSuspect.String() && !other.down {
				m.suspected++
			}
		case event.SendPeer:
			m.send(n, c)
		}
	}
}

func (m *mesh) send(from *meshNode, c event.SendPeer) {
	if !from.links[c.To] {
		return
	}
	data, err := cbor.Marshal(c.Message)
	if err != nil {
		panic(err)
	}
	from.sent += len(data)
	to, starts := m.nodes[c.To], m.nodes[c.To].starts
	m.queue.Set(m.now.Add(time.Millisecond), func() {
		if to.links[from.id] && to.starts == starts {
			m.tick(to, event.MessageReceived{From: from.id, Message: c.Message})
		}
	})
}

// relink makes the links that somebody wants, and ends those that nobody does.
func (m *mesh) relink() {
	wanted := map[[2]model.InstanceID]bool{}
	for _, id := range m.ids {
		n := m.nodes[id]
		if n.down {
			continue
		}
		wants := n.wants
		if n.useSeeds {
			wants = append(slices.Clone(wants), m.seeds...)
		}
		for _, to := range wants {
			if to != id && m.nodes[to] != nil && !m.nodes[to].down {
				wanted[[2]model.InstanceID{min(id, to), max(id, to)}] = true
			}
		}
	}
	for i, a := range m.ids {
		for _, b := range m.ids[i+1:] {
			na, nb := m.nodes[a], m.nodes[b]
			switch want := wanted[[2]model.InstanceID{a, b}]; {
			case want && !na.links[b] && !na.down && !nb.down:
				na.links[b], nb.links[a] = true, true
				m.tick(na, event.PeerLinked{Peer: nb.Members.Self})
				m.tick(nb, event.PeerLinked{Peer: na.Members.Self})
			case !want && na.links[b]:
				delete(na.links, b)
				delete(nb.links, a)
				m.tick(na, event.PeerLost{Peer: b, Incarnation: nb.Members.Self.Incarnation})
				m.tick(nb, event.PeerLost{Peer: a, Incarnation: na.Members.Self.Incarnation})
			}
		}
	}
}

// run lets time pass.
func (m *mesh) run(d time.Duration) {
	for end := m.now.Add(d); m.now.Before(end); {
		m.relink()
		step := m.now.Add(100 * time.Millisecond)
		for {
			at := m.queue.NextDue()
			if at.IsZero() || at.After(step) {
				break
			}
			m.now = at
			f, _ := m.queue.Pop(m.now)
			f()
		}
		m.now = step
	}
}

// sent returns what the instances sent since the last call: the mean and the most, in bytes.
func (m *mesh) sent() (mean, most int) {
	for _, n := range m.nodes {
		mean += n.sent
		most = max(most, n.sent)
		n.sent = 0
	}
	return mean / len(m.nodes), most
}

// TestControlBytesOfManyInstances: what instances tell each other stays within 5 KB a second
// for each, also while one of them restarts every two seconds; no seed has many links; and
// all agree on who lives.
func TestControlBytesOfManyInstances(t *testing.T) {
	for _, size := range []int{60, 240} {
		m := newMesh(size)
		m.run(15 * time.Second)
		m.sent()
		m.run(10 * time.Second)
		mean, most := m.sent()
		t.Logf("%d instances at rest: %d bytes a second, %d at most", size, mean/10, most/10)
		if got, want := most/10, 5000; got > want {
			t.Errorf("%d instances at rest: got %d bytes a second, want %d at most", size, got, want)
		}
		for i := range 5 {
			n := m.nodes[m.ids[7*i+4]]
			if i%2 == 0 {
				m.leave(n)
			} else {
				m.stop(n)
			}
			m.run(time.Second)
			m.start(n)
			m.run(time.Second)
		}
		mean, most = m.sent()
		t.Logf("%d instances with restarts: %d bytes a second, %d at most", size, mean/10, most/10)
		if got, want := mean/10, 5000; got > want {
			t.Errorf("%d instances with restarts: got %d bytes a second, want %d at most", size, got, want)
		}
		m.run(8 * time.Second)
		m.sent()
		for _, id := range m.ids {
			m.stop(m.nodes[id])
		}
		for _, id := range m.ids {
			m.start(m.nodes[id])
		}
		m.run(10 * time.Second)
		mean, most = m.sent()
		t.Logf("%d instances that all start at once: %d bytes each, %d at most", size, mean, most)
		if got, want := mean, 50_000+1000*size; got > want {
			t.Errorf("%d instances that all start at once: got %d bytes each, want %d at most", size, got, want)
		}
		if m.suspected > 0 {
			t.Errorf("%d instances: running ones were suspected %d times, want none", size, m.suspected)
		}
		for _, id := range m.ids {
			n := m.nodes[id]
			if got := len(n.Members.Live()); got != size {
				t.Fatalf("%d instances: %s takes %d for live", size, id, got)
			}
			if got, want := len(n.links), 40; got > want {
				t.Errorf("%d instances: %s has %d links, want %d at most", size, id, got, want)
			}
		}
	}
}
