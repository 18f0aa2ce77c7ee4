package engine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/relay"
)

// routedInstance is an engine with routed requests in data centre dc0.
type routedInstance struct {
	*engine.Engine
	now time.Time
	out []event.Command
}

func newRouted(id model.InstanceID) *routedInstance {
	self := model.Instance{ID: id, Incarnation: 1, Address: "127.0.0.1:1", DataCentre: "dc0"}
	return newRoutedAt(time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), self)
}

func newRoutedAt(now time.Time, self model.Instance) *routedInstance {
	r := &routedInstance{now: now}
	r.Engine = engine.New(r.now, self, engine.Options{Seed: 1, Relay: &relay.Options{
		Regions: map[string]string{"dc0": "r0", "dc1": "r1"},
		Retries: relay.RetryBudget{Ratio: 0.2, Slack: 20, Window: 10 * time.Second},
	}})
	return r
}

// tick feeds events at the present time.
func (r *routedInstance) tick(events ...event.Event) {
	commands, _ := r.Tick(r.now, events)
	r.out = append(r.out, commands...)
}

// run lets time pass.
func (r *routedInstance) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.now = r.now.Add(100 * time.Millisecond)
		r.tick()
	}
}

// entry is the entry of a server of group g in the directory.
func entry(id, dataCentre string) event.DirectoryChange {
	return event.DirectoryChange{Key: "servers/" + id, Server: &model.Registration{
		ID: model.ServerID(id), Life: "1", Address: "127.0.0.1:2", Group: "g", DataCentre: dataCentre, Slots: 3,
	}}
}

// routes is a table with one route to group g.
func routes(version uint64) event.DirectoryChange {
	return event.DirectoryChange{Key: "routes", Routing: &model.RoutingTable{Version: version, Routes: []model.Route{{
		Name: "r", Host: "h", Prefix: "/a/", Idempotent: true, Attempts: 2, Timeout: time.Second,
		Shares: []model.Share{{Group: "g", Weight: 1}},
	}}}}
}

// whole is the whole directory as read at revision 10.
func (r *routedInstance) whole(changes ...event.DirectoryChange) event.DirectoryRead {
	return event.DirectoryRead{Changes: changes, Full: true, Revision: 10, AsOf: r.now}
}

// link links another instance of the data centre.
func (r *routedInstance) link(id model.InstanceID) {
	r.tick(event.PeerLinked{Peer: model.Instance{ID: id, Incarnation: 1, Address: "127.0.0.1:3", DataCentre: "dc0"}})
}

func (r *routedInstance) told(from model.InstanceID, n event.DirectoryUpdate) {
	r.tick(event.MessageReceived{From: from, Message: event.Message{Directory: &n}})
}

// TestRemovalToldByPeerEndsWork: an instance whose own call to the directory failed once,
// and which since learns from a peer, gives no work to a server that the peer says is
// gone. It took the directory for away, and kept the server as one that may come back.
func TestRemovalToldByPeerEndsWork(t *testing.T) {
	r := newRouted("b")
	r.tick(r.whole(routes(1), entry("s1", "dc0"), entry("s2", "dc1")))
	r.link("a")
	r.tick(event.DirectoryUnreachable{Cause: "timeout"})
	r.told("a", event.DirectoryUpdate{BaseRevision: 10, Revision: 12})
	r.run(time.Second)
	r.told("a", event.DirectoryUpdate{BaseRevision: 10, Revision: 14, Changes: []event.DirectoryChange{{Key: "servers/s1"}}})
	for range 40 {
		r.run(100 * time.Millisecond)
		r.told("a", event.DirectoryUpdate{BaseRevision: 14, Revision: 14})
	}
	if got, want := len(r.Roster.Group("g")), 1; got != want {
		t.Errorf("servers of the group 4s after the removal: got %d, want %d", got, want)
	}
}

// TestLimitsFollowTheTable: what callers may send is announced with each table that comes
// into force, and not with an older one.
func TestLimitsFollowTheTable(t *testing.T) {
	r := newRouted("a")
	var got []int64
	for _, version := range []uint64{2, 1, 3} {
		c := routes(version)
		c.Routing.Limits.BodyBytes = int64(100 * version)
		r.tick(event.DirectoryRead{Changes: []event.DirectoryChange{c}, Revision: 10 + version, AsOf: r.now})
	}
	for _, c := range r.out {
		if f, ok := c.(event.SetCallerLimits); ok {
			got = append(got, f.Limits.BodyBytes)
		}
	}
	if want := []int64{200, 300}; !slices.Equal(got, want) {
		t.Errorf("limits announced: got %v, want %v", got, want)
	}
}

// TestNewPeerHearsOfCrashingRequests: an instance that starts again has forgotten which
// requests crash servers; its peers tell it.
func TestNewPeerHearsOfCrashingRequests(t *testing.T) {
	r := newRouted("a")
	r.Suspects.RecordCrash(r.now, 7, true)
	r.Suspects.RecordCrash(r.now, 8, false)
	r.link("b")
	var got []event.Suspicion
	for _, c := range r.out {
		if m, ok := c.(event.SendPeer); ok && m.Message.Suspects != nil {
			got = append(got, *m.Message.Suspects)
		}
	}
	if want := []event.Suspicion{{Fingerprint: 7, State: event.SuspicionCondemned, Generation: 1}}; !slices.Equal(got, want) {
		t.Errorf("told to the new peer: got %v, want %v", got, want)
	}
}

// TestOldWordIsNotPassedOn: word of an older revision than is known is not passed on, however
// fresh: among instances that know more it would go round without end.
func TestOldWordIsNotPassedOn(t *testing.T) {
	r := newRouted("a")
	r.tick(r.whole(routes(1)))
	r.link("b")
	r.link("c")
	for _, revision := range []uint64{9, 10} {
		r.run(time.Second)
		r.out = nil
		r.told("b", event.DirectoryUpdate{BaseRevision: revision, Revision: revision})
		passed := 0
		for _, c := range r.out {
			if m, ok := c.(event.SendPeer); ok && m.Message.Directory != nil {
				passed++
			}
		}
		if want := int(revision - 9); passed != want {
			t.Errorf("word of revision %d where 10 is known: passed on %d times, want %d", revision, passed, want)
		}
	}
}

// TestFirstWordEndsListing: an instance that starts lists the directory until a peer tells
// it all, and not until the next time that it looks.
func TestFirstWordEndsListing(t *testing.T) {
	// "b" is the one that reads; see route.Holder.
	r := newRouted("a")
	r.tick()
	r.link("b")
	r.out = nil
	r.told("b", event.DirectoryUpdate{Revision: 10, Full: true, Changes: []event.DirectoryChange{routes(1), entry("s1", "dc0")}})
	for _, c := range r.out {
		if f, ok := c.(event.FollowDirectory); ok && !f.Active && f.Revision == 10 {
			return
		}
	}
	t.Errorf("after the first word: got %v, want an order to rest", r.out)
}

// TestLapsedServerIsKeptUntilItMayBeBack: entries that are missing when the directory
// comes back are kept for two seconds, whether this instance or a peer reads it.
func TestLapsedServerIsKeptUntilItMayBeBack(t *testing.T) {
	for _, byPeer := range []bool{false, true} {
		t.Run(fmt.Sprint("by peer ", byPeer), func(t *testing.T) {
			r := newRouted("b")
			r.tick(r.whole(routes(1), entry("s1", "dc0"), entry("s2", "dc1")))
			r.link("a")
			removal := []event.DirectoryChange{{Key: "servers/s1"}}
			if byPeer {
				r.told("a", event.DirectoryUpdate{BaseRevision: 10, Revision: 14, Changes: removal, RecoveredMicros: 1000})
			} else {
				r.tick(event.DirectoryUnreachable{Cause: "timeout"})
				r.run(2 * time.Second)
				r.tick(event.DirectoryRead{Revision: 14, Changes: removal, AsOf: r.now})
			}
			r.run(1500 * time.Millisecond)
			if got, want := len(r.Roster.Group("g")), 2; got != want {
				t.Errorf("servers 1.5s after the return: got %d, want %d", got, want)
			}
			r.run(1500 * time.Millisecond)
			if got, want := len(r.Roster.Group("g")), 1; got != want {
				t.Errorf("servers 3s after the return: got %d, want %d", got, want)
			}
		})
	}
}

// TestDirectoryIsReadWhenPeersAreSilent: one instance of a data centre reads the
// directory; another one reads it too once word stops, and in time for the shortest
// bound on a change, 3 s.
func TestDirectoryIsReadWhenPeersAreSilent(t *testing.T) {
	for _, id := range []model.InstanceID{"a", "b"} {
		r := newRouted(id)
		r.tick(r.whole(routes(1)))
		other := model.InstanceID("a")
		if id == "a" {
			other = "b"
		}
		r.link(other)
		for range 20 {
			r.run(500 * time.Millisecond)
			r.told(other, event.DirectoryUpdate{BaseRevision: 10, Revision: 10})
		}
		r.out = nil
		r.run(2500 * time.Millisecond)
		reads := false
		for _, c := range r.out {
			if f, ok := c.(event.FollowDirectory); ok && f.Active {
				reads = true
				if got, want := f.Revision, uint64(10); got != want {
					t.Errorf("%s reads on from revision: got %d, want %d", id, got, want)
				}
			}
		}
		if id == "a" && !reads {
			// "b" is the one that reads; see route.Holder.
			t.Errorf("%s doesn't read the directory 2.5s after the last word of a peer", id)
		}
	}
}

// TestMissedNewsIsAskedFor: word that follows on a revision that is not known yet is not
// applied; the peer is asked for all that it knows.
func TestMissedNewsIsAskedFor(t *testing.T) {
	r := newRouted("b")
	r.tick(r.whole(routes(1), entry("s1", "dc0")))
	r.link("a")
	r.out = nil
	r.told("a", event.DirectoryUpdate{BaseRevision: 12, Revision: 14, Changes: []event.DirectoryChange{{Key: "servers/s1"}}})
	if got, want := len(r.Roster.Group("g")), 1; got != want {
		t.Errorf("servers: got %d, want %d", got, want)
	}
	asked := false
	for _, c := range r.out {
		if m, ok := c.(event.SendPeer); ok && m.Message.GetDirectory != nil {
			asked = true
		}
	}
	if !asked {
		t.Error("the peer was not asked for what is missing")
	}
}

// TestNewcomerLearnsFromPeer: an instance that starts while the directory gives no answer
// serves by a peer's word.
func TestNewcomerLearnsFromPeer(t *testing.T) {
	old, young := newRouted("a"), newRouted("b")
	old.tick(old.whole(routes(3), entry("s1", "dc0"), event.DirectoryChange{Key: "out/dc1", Evacuated: "dc1"}))
	old.link("b")
	young.tick(event.DirectoryUnreachable{Cause: "refused"})
	if got := young.NotReadyReason(young.now); got == "" {
		t.Error("ready without a routing table")
	}
	young.link("a")
	var question *event.GetDirectory
	for _, c := range young.out {
		if m, ok := c.(event.SendPeer); ok && m.Message.GetDirectory != nil {
			question = m.Message.GetDirectory
		}
	}
	if question == nil {
		t.Fatal("the peer was not asked")
	}
	old.out = nil
	old.tick(event.MessageReceived{From: "b", Message: event.Message{GetDirectory: question}})
	for _, c := range old.out {
		if m, ok := c.(event.SendPeer); ok && m.Message.Directory != nil && m.Message.Directory.Full {
			young.told("a", *m.Message.Directory)
		}
	}
	if got := young.NotReadyReason(young.now); got != "" {
		t.Errorf("not ready: %s", got)
	}
	if got, want := young.Relay.Table().Version, uint64(3); got != want {
		t.Errorf("version: got %d, want %d", got, want)
	}
	if !young.Roster.Evacuated("dc1") {
		t.Error("the newcomer doesn't know that dc1 is evacuated")
	}
}
