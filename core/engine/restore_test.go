package engine_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// at returns a position of the directory.
func at(era, revision uint64) event.Position { return event.Position{Era: era, Revision: revision} }

// requests returns how often an instance asked a peer for its copy of the directory.
func (r *routedInstance) requests() (count int) {
	for _, c := range r.emitted {
		if m, ok := c.(event.SendPeer); ok && m.Message.GetDirectory != nil {
			count++
		}
	}
	return count
}

// newRestoreTestInstance returns an instance with a copy at revision 45 of era 1 and a link to a
// peer.
func newRestoreTestInstance() *routedInstance {
	r := newRoutedInstance("b")
	r.tick(event.DirectoryRead{
		Changes: []event.DirectoryChange{routingEntry(9), serverEntry("s1", "dc0"), serverEntry("s2", "dc1")},
		Full:    true, Position: at(1, 45), AsOf: r.now,
	})
	r.link("a")
	r.advance(time.Second)
	return r
}

// TestRestoredDirectoryIsFollowedThroughPeers checks that an instance that gets the directory from
// a peer follows it into a new era.
//
// The failure it guards against: after the store was restored from an older copy, it gave out the
// same revisions again, and the instance took the confirmed configuration under one of them for
// old news.
func TestRestoredDirectoryIsFollowedThroughPeers(t *testing.T) {
	for _, revision := range []uint64{30, 44, 45, 46} {
		r := newRestoreTestInstance()
		before := r.requests()
		r.receiveUpdate("a", event.DirectoryUpdate{Era: 2, BaseRevision: revision, Revision: revision, Reader: "a"})
		if got := r.requests() - before; got != 1 {
			t.Errorf("notice of revision %d of a new era: got %d requests for the content, want 1", revision, got)
		}
		r.receiveUpdate("a", event.DirectoryUpdate{
			Era: 2, Revision: revision, Full: true,
			Changes: []event.DirectoryChange{routingEntry(9), serverEntry("s1", "dc0"), serverEntry("s2", "dc1")},
		})
		r.receiveUpdate("a", event.DirectoryUpdate{Era: 2, BaseRevision: revision, Revision: revision + 1, Reader: "a", Changes: []event.DirectoryChange{routingEntry(11)}})
		if got, want := r.Relay.Table().Version, uint64(11); got != want {
			t.Errorf("version after revision %d of the new era: got %d, want %d", revision+1, got, want)
		}
	}
}

// TestUpdateOfEarlierEraChangesNothing checks that neither a peer that still has the directory of
// the era before nor a late reply of the store changes the copy, whatever their revision.
func TestUpdateOfEarlierEraChangesNothing(t *testing.T) {
	r := newRestoreTestInstance()
	r.tick(event.DirectoryRead{
		Changes: []event.DirectoryChange{routingEntry(9), serverEntry("s1", "dc0")}, Full: true, Position: at(2, 40), AsOf: r.now,
	})
	r.advance(6 * time.Second)
	late := []event.DirectoryChange{routingEntry(12), serverEntry("s1", "dc0"), serverEntry("s3", "dc0")}
	r.receiveUpdate("a", event.DirectoryUpdate{Era: 1, Revision: 70, Full: true, Changes: late})
	r.receiveUpdate("a", event.DirectoryUpdate{Era: 1, BaseRevision: 40, Revision: 71, Changes: late})
	r.receiveUpdate("a", event.DirectoryUpdate{BaseRevision: 40, Revision: 72, Changes: late})
	r.tick(event.DirectoryRead{Changes: late, Full: true, Position: at(1, 73), AsOf: r.now})
	r.tick(event.DirectoryRead{Changes: late, Position: at(0, 74), AsOf: r.now})
	if got, _ := r.DirectoryPosition(); got != at(2, 40) {
		t.Errorf("position: got %v, want %v", got, at(2, 40))
	}
	if got, want := len(r.Roster.Group("g")), 1; got != want || r.Relay.Table().Version != 9 {
		t.Errorf("got %d servers and version %d, want %d and 9", got, r.Relay.Table().Version, want)
	}
}

// TestPeerWithCopyOfEarlierEraGetsTheContent checks that an instance sends its copy to a peer, for
// example one that was paused, whose revision is higher but of an earlier era.
func TestPeerWithCopyOfEarlierEraGetsTheContent(t *testing.T) {
	r := newRestoreTestInstance()
	r.tick(event.DirectoryRead{Changes: []event.DirectoryChange{routingEntry(9)}, Full: true, Position: at(2, 40), AsOf: r.now})
	for _, tt := range []struct {
		position event.Position
		want     int
	}{{at(1, 45), 1}, {at(0, 70), 1}, {at(2, 39), 1}, {at(2, 40), 0}, {at(3, 1), 0}} {
		r.emitted = nil
		r.tick(event.MessageReceived{From: "a", Message: event.Message{GetDirectory: &event.GetDirectory{Era: tt.position.Era, Revision: tt.position.Revision}}})
		got := 0
		for _, c := range r.emitted {
			if m, ok := c.(event.SendPeer); ok && m.Message.Directory != nil && m.Message.Directory.Full && m.Message.Directory.Era == 2 {
				got++
			}
		}
		if got != tt.want {
			t.Errorf("peer at %v: got %d copies, want %d", tt.position, got, tt.want)
		}
	}
}

// TestRestoredVersionIsNotTakenForNewer checks that the routing table never goes back to the
// version of the older copy.
func TestRestoredVersionIsNotTakenForNewer(t *testing.T) {
	r := newRestoreTestInstance()
	r.tick(event.DirectoryRead{Changes: []event.DirectoryChange{routingEntry(4)}, Full: true, Position: at(2, 30), AsOf: r.now})
	if got, want := r.Relay.Table().Version, uint64(9); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
}

// TestFleetFollowsRestoredDirectory checks that all instances of a mesh, of which most get the
// directory from peers and some were killed, paused or cut off from the store meanwhile, have a
// change in force within three seconds that the store accepted after its restoration.
func TestFleetFollowsRestoredDirectory(t *testing.T) {
	t.Parallel()
	for _, size := range []int{4, 24, 118} {
		m := newMesh(size)
		m.era, m.revision = 1, 45
		m.advance(8 * time.Second)
		m.nodes[m.ids[1]].cutOff = true
		m.storeDown = true
		m.advance(2 * time.Second)
		m.kill(m.nodes[m.ids[2]])
		m.storeDown = false
		m.restore(44, nil)
		m.advance(500 * time.Millisecond)
		m.start(m.nodes[m.ids[2]])
		m.advance(3 * time.Second)
		m.change(routingEntry(2))
		m.advance(3 * time.Second)
		for _, id := range m.ids {
			if got, want := m.nodes[id].Relay.Table().Version, uint64(2); got != want {
				position, _ := m.nodes[id].DirectoryPosition()
				t.Errorf("%d instances: %s at %v: got version %d, want %d", size, id, position, got, want)
			}
		}
	}
}

// TestServersThatLeftStayAwayAfterRestore checks what the listing of a restored directory, which is
// some seconds old, changes: a server that was removed, or that drains, gets no work again; one that
// registered meanwhile, and a data centre taken out meanwhile, are kept until they are written
// again.
func TestServersThatLeftStayAwayAfterRestore(t *testing.T) {
	r := newRoutedInstance("b")
	entry := func(id string, sequence uint64, draining bool) event.DirectoryChange {
		return event.DirectoryChange{Key: "servers/" + id, Server: &model.Registration{
			ID: model.ServerID(id), Life: "1", Address: id + ":80", Group: "g", DataCentre: "dc0", Sequence: sequence, Draining: draining,
		}}
	}
	older := []event.DirectoryChange{routingEntry(1), entry("gone", 3, false), entry("drains", 3, false), entry("stays", 3, false), entry("restarted", 50, false)}
	r.tick(event.DirectoryRead{Changes: older, Full: true, Position: at(1, 40), AsOf: r.now})
	r.advance(time.Second)
	restarted := entry("restarted", 1, false)
	restarted.Server.Life, restarted.Server.ColdFor = "2", 20*time.Second
	r.tick(event.DirectoryRead{
		Changes:  []event.DirectoryChange{{Key: "servers/gone"}, entry("drains", 5, true), entry("new", 1, false), restarted, {Key: "out", Evacuated: "dc1"}},
		Position: at(1, 45), AsOf: r.now,
	})
	r.advance(time.Second)
	r.tick(event.DirectoryRead{Changes: older, Full: true, Position: at(2, 40), AsOf: r.now})
	check := func(when string, wantOut bool, want map[model.ServerID]bool) {
		t.Helper()
		got := map[model.ServerID]bool{}
		for _, s := range r.Roster.Group("g") {
			got[s.ID] = r.Roster.Usable(s)
			if s.ID == "restarted" && !r.now.Before(s.ColdUntil) {
				t.Errorf("%s: server that restarted: got warm, want cold", when)
			}
		}
		for id, usable := range want {
			if got[id] != usable {
				t.Errorf("%s: server %q: got usable %t, want %t", when, id, got[id], usable)
			}
		}
		if got := r.Roster.Evacuated("dc1"); got != wantOut {
			t.Errorf("%s: data centre out: got %t, want %t", when, got, wantOut)
		}
	}
	check("after the restore", true, map[model.ServerID]bool{"gone": false, "drains": false, "stays": true, "new": true, "restarted": true})
	// The server that was gone is alive: it writes again. The new one doesn't.
	r.tick(event.DirectoryRead{Changes: []event.DirectoryChange{entry("gone", 9, false), {Key: "out", Evacuated: "dc1"}}, Position: at(2, 42), AsOf: r.now})
	for range 70 {
		r.advance(100 * time.Millisecond)
		r.tick(event.DirectoryRead{Position: at(2, 42), AsOf: r.now})
	}
	check("later", true, map[model.ServerID]bool{"gone": true, "drains": false, "stays": true, "new": false, "restarted": true})
	r.tick(event.DirectoryRead{Changes: []event.DirectoryChange{{Key: "out"}}, Position: at(2, 43), AsOf: r.now})
	check("after the evacuation has ended", false, nil)
}
