package engine_test

import (
	"slices"
	"testing"
	"time"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/relay"
)

// The tests of this file check how instances get the directory when they start, at the size
// of a large deployment. A page of the directory holds some 50 entries, so that each instance
// that reads all of it makes many calls to the store.

// largeDeployment is the number of instances of these tests.
const largeDeployment = 118

// TestSimultaneousStartSparesTheStore checks that of many instances that start at the same
// time only the seeds read the full directory, and that all of them have it within two
// seconds.
func TestSimultaneousStartSparesTheStore(t *testing.T) {
	m := newMesh(largeDeployment)
	m.advance(2 * time.Second)
	if got, want := m.loaded(), largeDeployment; got != want {
		t.Errorf("instances with the directory after 2s: got %d, want %d", got, want)
	}
	if got, want := m.lists, len(m.seeds); got > want {
		t.Errorf("instances that read the full directory: got %d, want at most %d", got, want)
	}
}

// TestStartWithoutSeeds checks that instances get the directory within two seconds when no
// seed runs: no instance has a link then, and each must read the directory itself.
func TestStartWithoutSeeds(t *testing.T) {
	m := newMesh(largeDeployment)
	for _, id := range m.ids {
		m.kill(m.nodes[id])
	}
	for _, id := range m.ids[3:] {
		m.start(m.nodes[id])
	}
	m.advance(2 * time.Second)
	if got, want := m.loaded(), largeDeployment-3; got != want {
		t.Errorf("instances with the directory after 2s: got %d, want %d", got, want)
	}
}

// TestSeedsWithoutTheStoreDelayNobody checks that instances read the directory themselves when
// the seeds run but can't read it.
func TestSeedsWithoutTheStoreDelayNobody(t *testing.T) {
	m := newMesh(24)
	for _, id := range m.ids {
		m.kill(m.nodes[id])
	}
	for _, id := range m.seeds {
		m.nodes[id].cutOff = true
	}
	for _, id := range m.ids {
		m.start(m.nodes[id])
	}
	m.advance(2500 * time.Millisecond)
	if got, want := m.loaded(), 24; got != want {
		t.Errorf("instances with the directory after 2.5s: got %d, want %d", got, want)
	}
}

// TestStoreReturnsAfterSimultaneousStart checks that all instances have the directory within a
// second of the store's return when they all started while it was down, and that they make
// few calls meanwhile.
func TestStoreReturnsAfterSimultaneousStart(t *testing.T) {
	m := newMesh(largeDeployment)
	m.advance(3 * time.Second)
	for _, id := range m.ids {
		m.kill(m.nodes[id])
	}
	m.storeDown, m.lists = true, 0
	for _, id := range m.ids {
		m.start(m.nodes[id])
	}
	const outage = 4
	m.advance(outage * time.Second)
	if got, want := m.lists, outage*largeDeployment; got > want {
		t.Errorf("calls to the store while it was down: got %d, want at most %d, one a second and instance", got, want)
	}
	m.storeDown = false
	m.advance(time.Second)
	if got, want := m.loaded(), largeDeployment; got != want {
		t.Errorf("instances with the directory 1s after the store's return: got %d, want %d", got, want)
	}
}

// TestRestartedInstanceGetsDirectoryFromPeer checks that an instance that starts among running
// ones, seed or not, has the directory at once, also while the store is down, and doesn't read
// all of it unless it is a seed.
func TestRestartedInstanceGetsDirectoryFromPeer(t *testing.T) {
	for _, storeDown := range []bool{false, true} {
		m := newMesh(largeDeployment)
		m.advance(8 * time.Second)
		m.storeDown = storeDown
		for i, id := range []model.InstanceID{m.ids[0], m.ids[50], m.ids[117]} {
			m.kill(m.nodes[id])
			m.advance(time.Second)
			m.lists = 0
			m.start(m.nodes[id])
			m.advance(300 * time.Millisecond)
			if got, want := m.loaded(), largeDeployment; got != want {
				t.Errorf("store down %t: instances with the directory 300ms after the start of %s: got %d, want %d", storeDown, id, got, want)
			}
			m.advance(1200 * time.Millisecond)
			if i > 0 && m.lists > 0 {
				t.Errorf("store down %t: %s: got %d reads of the full directory, want 0", storeDown, id, m.lists)
			}
		}
	}
}

// TestOneReaderPerDataCentre checks that one instance of each data centre reads the directory
// of a large deployment, although most instances have no link to it, and that another one
// takes its place without a rush of readers when it is cut off from the store.
func TestOneReaderPerDataCentre(t *testing.T) {
	m := newMesh(largeDeployment)
	m.advance(6 * time.Second)
	if got, want := m.readers(), meshDataCentres; got != want {
		t.Errorf("readers: got %d, want %d, one for each data centre", got, want)
	}
	for _, n := range m.nodes {
		if n.readsDirectory {
			n.cutOff = true
		}
	}
	peak := 0
	for range 100 {
		m.advance(100 * time.Millisecond)
		peak = max(peak, m.readers())
	}
	if got, want := peak, 4*meshDataCentres; got > want {
		t.Errorf("readers at a time after all readers were cut off from the store: got up to %d, want at most %d", got, want)
	}
	for _, id := range m.ids {
		n := m.nodes[id]
		if _, asOf := n.DirectoryPosition(); m.now.Sub(asOf) > 3*time.Second {
			t.Errorf("%s: directory is %v old, want at most 3s", id, m.now.Sub(asOf))
		}
	}
}

// TestOldCopyOfPeerDoesNotBringServersBack checks that an instance that starts and gets the
// directory from a peer that has been cut off from the store doesn't rely on that copy: it
// reads the directory from the copy's revision on, so that a server that has left in the
// meantime is removed, and a still older copy of another peer changes nothing.
func TestOldCopyOfPeerDoesNotBringServersBack(t *testing.T) {
	r := newRoutedInstanceAt(newRoutedInstance("a").now, model.Instance{ID: "a", Incarnation: 1, Address: "127.0.0.1:1", DataCentre: "dc0"}, false, 0)
	r.tick()
	r.link("b")
	age := (20 * time.Second).Microseconds()
	r.receiveUpdate("b", event.DirectoryUpdate{
		Revision: 10, Full: true, AgeMicros: age,
		Changes: []event.DirectoryChange{routingEntry(1), serverEntry("s1", "dc0"), serverEntry("s2", "dc0")},
	})
	r.advance(time.Second)
	var got []event.FollowDirectory
	for _, c := range r.emitted {
		if f, ok := c.(event.FollowDirectory); ok {
			got = append(got, f)
		}
	}
	if want := []event.FollowDirectory{{Active: true, Position: event.Position{Revision: 10}, MaxRetryDelay: 800 * time.Millisecond}}; !slices.Equal(got, want) {
		t.Fatalf("reading of the directory: got %v, want %v", got, want)
	}
	r.tick(event.DirectoryRead{Changes: []event.DirectoryChange{{Key: "servers/s1"}}, Position: event.Position{Revision: 15}, AsOf: r.now})
	r.link("c")
	r.receiveUpdate("c", event.DirectoryUpdate{
		Revision: 9, Full: true, AgeMicros: age,
		Changes: []event.DirectoryChange{routingEntry(1), serverEntry("s1", "dc0"), serverEntry("s0", "dc0")},
	})
	r.advance(time.Second)
	if got, want := r.Roster.Len(), 1; got != want {
		t.Errorf("servers after two have left: got %d, want %d", got, want)
	}
}

// TestStartingInstanceTakesOnlyItsShare checks that an instance that has just started, and knows
// no other member yet, doesn't use the connections of all instances: after a total stop each
// one would, and keep the last one out. Once the members are known, their number counts.
func TestStartingInstanceTakesOnlyItsShare(t *testing.T) {
	r := newRoutedInstance("a")
	r.Engine = engine.New(r.now, r.Self, engine.Options{Seed: 1, ReadsDirectoryFirst: true, ExpectedInstances: 4, Relay: &relay.Options{
		Retries: relay.RetryBudget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
	}})
	entry := routingEntry(1)
	entry.Routing.Pools = []model.Pool{{Group: "g", Connections: 30}}
	r.tick(r.fullRead(entry, serverEntry("s1", "dc0")))
	connections := func() int {
		r.emitted = nil
		r.tick(event.RoutedArrived{Request: event.RoutedRequest{Query: event.QueryID(r.now.UnixNano()), Host: "h", Path: "/a/"}})
		for _, c := range r.emitted {
			if s, ok := c.(event.SendExchange); ok {
				return s.Connections
			}
		}
		t.Fatalf("commands: got %v, want an exchange", r.emitted)
		return 0
	}
	if got, want := connections(), 30/4; got > want {
		t.Errorf("connections to a server at the start: got %d, want at most %d", got, want)
	}
	r.advance(4 * time.Second)
	if got, want := connections(), 20; got < want {
		t.Errorf("connections to a server once the instance is known to be alone: got %d, want %d or more", got, want)
	}
}
