package engine_test

import (
	"fmt"
	"reflect"
	"slices"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/relay"
	"hyssoppitch/core/rollo"
)

// routedInstance is an engine that serves routed requests, with a clock and the commands
// that it has emitted.
type routedInstance struct {
	*engine.Engine
	now     time.Time
	emitted []event.Command
}

// newRoutedInstance returns an instance in data centre dc0.
func newRoutedInstance(id model.InstanceID) *routedInstance {
	self := model.Instance{ID: id, Incarnation: 1, Address: "127.0.0.1:1", DataCentre: "dc0"}
	return newRoutedInstanceAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), self, true, 0)
}

// newRoutedInstanceAt returns an instance that starts at the given time. It reads the directory
// at once if readsFirst is set, and assumes the expected number of instances until it knows them.
func newRoutedInstanceAt(now time.Time, self model.Instance, readsFirst bool, expected int) *routedInstance {
	r := &routedInstance{now: now}
	r.Engine = engine.New(r.now, self, engine.Options{Seed: xxhash.Sum64String(string(self.ID)), ReadsDirectoryFirst: readsFirst, ExpectedInstances: expected, Relay: &relay.Options{
		Regions: map[string]string{"dc0": "r0", "dc1": "r1"},
		Retries: relay.RetryBudget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
	}, Rollouts: rollo.Settings{ExposureShare: 0.1, ExposureSlack: 50, Rollback: 5 * time.Second}})
	return r
}

// tick passes events to the engine at the current time.
func (r *routedInstance) tick(events ...event.Event) {
	commands, _ := r.Tick(r.now, events)
	r.emitted = append(r.emitted, commands...)
}

// advance ticks the engine every 100 ms for a duration.
func (r *routedInstance) advance(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(100 * time.Millisecond)
		r.tick()
	}
}

// serverEntry returns the directory entry of a server of group g.
func serverEntry(id, dataCentre string) event.DirectoryChange {
	return event.DirectoryChange{Key: "servers/" + id, Server: &model.Registration{
		ID: model.ServerID(id), Life: "1", Address: "127.0.0.1:2", Group: "g", DataCentre: dataCentre, Slots: 3,
	}}
}

// routingEntry returns the directory entry of a routing table with one route to group g.
func routingEntry(version uint64) event.DirectoryChange {
	return event.DirectoryChange{Key: "routes", Routing: &model.RoutingTable{Version: version, Routes: []model.Route{{
		Name: "r", Host: "h", Prefix: "/a/", Idempotent: true, Attempts: 2, Timeout: time.Second,
		Shares: []model.Share{{Group: "g", Weight: 1}},
	}}}}
}

// fullRead returns the event of reading the full directory at revision 10.
func (r *routedInstance) fullRead(changes ...event.DirectoryChange) event.DirectoryRead {
	return event.DirectoryRead{Changes: changes, Full: true, Position: event.Position{Revision: 10}, AsOf: r.now}
}

// link adds a link to another instance of the same data centre.
func (r *routedInstance) link(id model.InstanceID) {
	r.tick(event.PeerLinked{Peer: model.Instance{ID: id, Incarnation: 1, Address: "127.0.0.1:3", DataCentre: "dc0"}})
}

// receiveUpdate passes an update of the directory from a peer to the engine.
func (r *routedInstance) receiveUpdate(from model.InstanceID, update event.DirectoryUpdate) {
	r.tick(event.MessageReceived{From: from, Message: event.Message{Directory: &update}})
}

// TestRemovalReportedByPeerTakesEffect checks that an instance removes a server that a
// peer reports as removed, after its own call to the directory has failed once. The
// failure it guards against: the instance regarded the directory as unreachable although
// a peer read it, and kept the server as one that may come back after the outage.
func TestRemovalReportedByPeerTakesEffect(t *testing.T) {
	r := newRoutedInstance("b")
	r.tick(r.fullRead(routingEntry(1), serverEntry("s1", "dc0"), serverEntry("s2", "dc1")))
	r.link("a")
	r.tick(event.DirectoryUnreachable{Cause: "timeout"})
	r.receiveUpdate("a", event.DirectoryUpdate{BaseRevision: 10, Revision: 12})
	r.advance(time.Second)
	r.receiveUpdate("a", event.DirectoryUpdate{BaseRevision: 10, Revision: 14, Changes: []event.DirectoryChange{{Key: "servers/s1"}}})
	for range 40 {
		r.advance(100 * time.Millisecond)
		r.receiveUpdate("a", event.DirectoryUpdate{BaseRevision: 14, Revision: 14})
	}
	if got, want := len(r.Roster.Group("g")), 1; got != want {
		t.Errorf("servers of the group 4s after the removal: got %d, want %d", got, want)
	}
}

// TestCallerLimitsFollowRoutingTable checks that the callers' limits are set with each
// newer routing table, and not with an older one.
func TestCallerLimitsFollowRoutingTable(t *testing.T) {
	r := newRoutedInstance("a")
	var got []int64
	for _, version := range []uint64{2, 1, 3} {
		c := routingEntry(version)
		c.Routing.Limits.BodyBytes = int64(100 * version)
		r.tick(event.DirectoryRead{Changes: []event.DirectoryChange{c}, Position: event.Position{Revision: 10 + version}, AsOf: r.now})
	}
	for _, c := range r.emitted {
		if set, ok := c.(event.SetCallerLimits); ok {
			got = append(got, set.Limits.BodyBytes)
		}
	}
	if want := []int64{200, 300}; !slices.Equal(got, want) {
		t.Errorf("limits set: got %v, want %v", got, want)
	}
}

// TestNewPeerReceivesCondemnedFingerprints checks that an instance sends a new peer the
// condemned fingerprints, since a restarted instance has lost them.
func TestNewPeerReceivesCondemnedFingerprints(t *testing.T) {
	r := newRoutedInstance("a")
	r.Suspects.RecordCrash(r.now, model.Identity{Fingerprint: 7, Traits: model.Traits{3, 9}}, true)
	r.Suspects.RecordCrash(r.now, model.Identity{Fingerprint: 8}, false)
	r.link("b")
	var got []event.Suspicion
	for _, c := range r.emitted {
		if m, ok := c.(event.SendPeer); ok && m.Message.Suspects != nil {
			got = append(got, *m.Message.Suspects)
		}
	}
	if want := []event.Suspicion{{Fingerprint: 7, Traits: model.Traits{3, 9}, State: event.SuspicionCondemned, Generation: 1}}; !reflect.DeepEqual(got, want) {
		t.Errorf("sent to the new peer: got %v, want %v", got, want)
	}
}

// TestOutdatedDirectoryUpdateIsNotForwarded checks that an update with an older revision
// is not forwarded, however recent it is: it would circulate forever among instances
// that have a newer revision.
func TestOutdatedDirectoryUpdateIsNotForwarded(t *testing.T) {
	r := newRoutedInstance("a")
	r.tick(r.fullRead(routingEntry(1)))
	r.link("b")
	r.link("c")
	for _, revision := range []uint64{9, 10} {
		r.advance(time.Second)
		r.emitted = nil
		r.receiveUpdate("b", event.DirectoryUpdate{BaseRevision: revision, Revision: revision})
		forwarded := 0
		for _, c := range r.emitted {
			if m, ok := c.(event.SendPeer); ok && m.Message.Directory != nil {
				forwarded++
			}
		}
		if want := int(revision - 9); forwarded != want {
			t.Errorf("update of revision %d after revision 10: forwarded %d times, want %d", revision, forwarded, want)
		}
	}
}

// TestFirstPeerUpdateStopsDirectoryRead checks that a new instance stops reading the
// directory as soon as a peer has sent the full content, and not only at the next run of
// the periodic work.
func TestFirstPeerUpdateStopsDirectoryRead(t *testing.T) {
	// "b" is the instance that reads the directory; see route.Owner.
	r := newRoutedInstance("a")
	r.tick()
	r.link("b")
	r.emitted = nil
	r.receiveUpdate("b", event.DirectoryUpdate{Revision: 10, Full: true, Changes: []event.DirectoryChange{routingEntry(1), serverEntry("s1", "dc0")}})
	for _, c := range r.emitted {
		if f, ok := c.(event.FollowDirectory); ok && !f.Active && f.Revision == 10 {
			return
		}
	}
	t.Errorf("after the first update: got %v, want FollowDirectory to be inactive", r.emitted)
}

// TestExpiredServerIsKeptAfterDirectoryOutage checks that entries that are missing after
// an outage of the directory are kept for two seconds, so that their servers can register
// again, whether this instance or a peer reads the directory.
func TestExpiredServerIsKeptAfterDirectoryOutage(t *testing.T) {
	for _, byPeer := range []bool{false, true} {
		t.Run(fmt.Sprint("by peer ", byPeer), func(t *testing.T) {
			r := newRoutedInstance("b")
			r.tick(r.fullRead(routingEntry(1), serverEntry("s1", "dc0"), serverEntry("s2", "dc1")))
			r.link("a")
			removal := []event.DirectoryChange{{Key: "servers/s1"}}
			if byPeer {
				r.receiveUpdate("a", event.DirectoryUpdate{BaseRevision: 10, Revision: 14, Changes: removal, RecoveredMicros: 1000})
			} else {
				r.tick(event.DirectoryUnreachable{Cause: "timeout"})
				r.advance(2 * time.Second)
				r.tick(event.DirectoryRead{Position: event.Position{Revision: 14}, Changes: removal, AsOf: r.now})
			}
			r.advance(1500 * time.Millisecond)
			if got, want := len(r.Roster.Group("g")), 2; got != want {
				t.Errorf("servers 1.5s after the outage: got %d, want %d", got, want)
			}
			r.advance(1500 * time.Millisecond)
			if got, want := len(r.Roster.Group("g")), 1; got != want {
				t.Errorf("servers 3s after the outage: got %d, want %d", got, want)
			}
		})
	}
}

// TestDirectoryIsReadWhenPeersAreSilent checks that an instance reads the directory itself
// when the instance of its data centre that reads it sends no more updates, and soon
// enough for the shortest time limit on a change, 3 s.
func TestDirectoryIsReadWhenPeersAreSilent(t *testing.T) {
	for _, id := range []model.InstanceID{"a", "b"} {
		r := newRoutedInstance(id)
		r.tick(r.fullRead(routingEntry(1)))
		other := model.InstanceID("a")
		if id == "a" {
			other = "b"
		}
		r.link(other)
		for range 20 {
			r.advance(500 * time.Millisecond)
			r.receiveUpdate(other, event.DirectoryUpdate{BaseRevision: 10, Revision: 10, Reader: other})
		}
		r.emitted = nil
		r.advance(2500 * time.Millisecond)
		reads := false
		for _, c := range r.emitted {
			if f, ok := c.(event.FollowDirectory); ok && f.Active {
				reads = true
				if got, want := f.Revision, uint64(10); got != want {
					t.Errorf("%s continues from revision: got %d, want %d", id, got, want)
				}
			}
		}
		if id == "a" && !reads {
			// "b" is the instance that reads the directory; see route.Owner.
			t.Errorf("%s doesn't read the directory 2.5s after the last update from a peer", id)
		}
	}
}

// TestMissedDirectoryUpdateIsRequested checks that an update whose base revision is newer
// than the local copy is not applied, and that the full content is requested from the
// peer.
func TestMissedDirectoryUpdateIsRequested(t *testing.T) {
	r := newRoutedInstance("b")
	r.tick(r.fullRead(routingEntry(1), serverEntry("s1", "dc0")))
	r.link("a")
	r.emitted = nil
	r.receiveUpdate("a", event.DirectoryUpdate{BaseRevision: 12, Revision: 14, Changes: []event.DirectoryChange{{Key: "servers/s1"}}})
	if got, want := len(r.Roster.Group("g")), 1; got != want {
		t.Errorf("servers: got %d, want %d", got, want)
	}
	requested := false
	for _, c := range r.emitted {
		if m, ok := c.(event.SendPeer); ok && m.Message.GetDirectory != nil {
			requested = true
		}
	}
	if !requested {
		t.Error("the directory was not requested from the peer")
	}
}

// TestNewInstanceGetsDirectoryFromPeer checks that an instance which starts while the
// directory does not answer gets the content from a peer and becomes ready.
func TestNewInstanceGetsDirectoryFromPeer(t *testing.T) {
	running, joining := newRoutedInstance("a"), newRoutedInstance("b")
	running.tick(running.fullRead(routingEntry(3), serverEntry("s1", "dc0"), event.DirectoryChange{Key: "out/dc1", Evacuated: "dc1"}))
	running.link("b")
	joining.tick(event.DirectoryUnreachable{Cause: "refused"})
	if got := joining.NotReadyReason(joining.now); got == "" {
		t.Error("ready without a routing table")
	}
	joining.link("a")
	var request *event.GetDirectory
	for _, c := range joining.emitted {
		if m, ok := c.(event.SendPeer); ok && m.Message.GetDirectory != nil {
			request = m.Message.GetDirectory
		}
	}
	if request == nil {
		t.Fatal("the directory was not requested from the peer")
	}
	running.emitted = nil
	running.tick(event.MessageReceived{From: "b", Message: event.Message{GetDirectory: request}})
	for _, c := range running.emitted {
		if m, ok := c.(event.SendPeer); ok && m.Message.Directory != nil && m.Message.Directory.Full {
			joining.receiveUpdate("a", *m.Message.Directory)
		}
	}
	if got := joining.NotReadyReason(joining.now); got != "" {
		t.Errorf("not ready: %s", got)
	}
	if got, want := joining.Relay.Table().Version, uint64(3); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
	if !joining.Roster.Evacuated("dc1") {
		t.Error("the new instance lacks the evacuation of dc1")
	}
}

// TestLogOfOutageIsBounded checks that the log of a directory outage, which changes the state of
// every server, has a limited number of lines, and that they tell the number of servers.
func TestLogOfOutageIsBounded(t *testing.T) {
	r := newRoutedInstance("a")
	changes := []event.DirectoryChange{routingEntry(1)}
	for i := range 1000 {
		changes = append(changes, serverEntry(fmt.Sprintf("s%04d", i), "dc0"))
	}
	r.emitted = nil
	r.tick(r.fullRead(changes...))
	lines, servers := 0, 0
	for _, c := range r.emitted {
		s, ok := c.(event.StateChanged)
		if !ok || s.Kind != "server" {
			continue
		}
		lines++
		more := 1
		if _, err := fmt.Sscanf(s.Name, "%d more", &more); err != nil {
			more = 1
		}
		servers += more
	}
	if got, want := lines, 200; got > want {
		t.Errorf("lines about 1000 servers: got %d, want at most %d", got, want)
	}
	if got, want := servers, 1000; got != want {
		t.Errorf("servers that the lines tell of: got %d, want %d", got, want)
	}
}

// TestMissedUpdateStillShowsThatDirectoryIsReachable checks that an update which can't be applied,
// because changes before it were missed, ends the outage all the same: the peer has read the
// directory.
func TestMissedUpdateStillShowsThatDirectoryIsReachable(t *testing.T) {
	r := newRoutedInstance("b")
	r.tick(r.fullRead(routingEntry(1), serverEntry("s1", "dc0")))
	r.link("a")
	r.tick(event.DirectoryUnreachable{Cause: "timeout"})
	r.receiveUpdate("a", event.DirectoryUpdate{BaseRevision: 12, Revision: 14, RecoveredMicros: 1000, Reader: "a"})
	if r.Roster.Unreachable() {
		t.Errorf("directory after a peer's update: got unreachable, want reachable")
	}
	if at, _ := r.DirectoryPosition(); at.Revision != 10 {
		t.Errorf("revision: got %d, want 10, as changes were missed", at.Revision)
	}
}

// TestLateReadDoesNotUndoUpdatesOfPeers guards against a server that has left, or an evacuated data centre, that
// gets requests again since the instance's own read of earlier changes arrives after a peer's update.
func TestLateReadDoesNotUndoUpdatesOfPeers(t *testing.T) {
	r := newRoutedInstance("b")
	r.tick(r.fullRead(routingEntry(1), serverEntry("s1", "dc0"), serverEntry("s2", "dc1")))
	r.link("a")
	draining := serverEntry("s1", "dc0")
	draining.Server.Draining = true
	evacuation := event.DirectoryChange{Key: "op/evacuate/dc1", Evacuated: "dc1"}
	r.receiveUpdate("a", event.DirectoryUpdate{BaseRevision: 10, Revision: 14, Changes: []event.DirectoryChange{draining, evacuation}})
	late := []event.DirectoryChange{serverEntry("s1", "dc0"), {Key: "op/evacuate/dc1"}}
	r.tick(event.DirectoryRead{Changes: late, Position: event.Position{Revision: 12}, AsOf: r.now})
	for _, s := range r.Roster.Group("g") {
		if r.Roster.Usable(s) {
			t.Errorf("server %s in %s: got usable, want not", s.ID, s.DataCentre)
		}
	}
	// What follows is read as usual.
	r.tick(event.DirectoryRead{Changes: []event.DirectoryChange{{Key: "op/evacuate/dc1"}}, Position: event.Position{Revision: 15}, AsOf: r.now})
	if got, want := r.Roster.Evacuated("dc1"), false; got != want {
		t.Errorf("evacuated after the next read: got %v, want %v", got, want)
	}
}
