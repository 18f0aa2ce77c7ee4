package engine_test

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// TestOneSnapshotWhileSnapshotsSwitch checks promise 4 while every server switches
// at its own time, keeping only the last two, and measures the share that completes.
func TestOneSnapshotWhileSnapshotsSwitch(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newWorld(seed, testConfig(4), 4)
		w.warmUp(t)
		pick := newPicker(seed)
		before := len(w.asked)
		for range 5 {
			w.switchSnapshot(pick)
			w.load(2 * time.Second)
		}
		complete := w.completeSince(before)
		w.finish(t)
		if complete < 0.99 {
			t.Errorf("seed %d: complete answers: got %.3f of all, want 0.99", seed, complete)
		}
		if seed == 0 {
			t.Logf("complete: %.4f", complete)
		}
	}
}

// TestOneSnapshotWhileDataIsRepartitioned checks promises 4 and 5 while the borders
// of the groups move and servers take the new map at their own times.
func TestOneSnapshotWhileDataIsRepartitioned(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newWorld(seed, testConfig(4), 4)
		w.warmUp(t)
		pick := newPicker(seed)
		before := len(w.asked)
		for range 3 {
			w.repartition(pick)
			w.load(3 * time.Second)
		}
		t.Logf("seed %d: complete: %.4f", seed, w.completeSince(before))
		a := w.nodes[0].ask(lookup())
		w.finish(t)
		if a.answer == nil || a.answer.Status != event.StatusComplete || a.answer.Coverage.Epoch != 4 {
			t.Errorf("seed %d: got %+v %+v, want a complete answer of map epoch 4", seed, a.answer, a.refusal)
		}
	}
}

// completeSince returns the share of complete answers among the requests since.
func (w *world) completeSince(since int) float64 {
	complete := 0
	for _, a := range w.asked[since:] {
		if a.answer != nil && a.answer.Status == event.StatusComplete {
			complete++
		}
	}
	return float64(complete) / float64(len(w.asked)-since)
}

// TestCoverageNamesWhatIsMissing checks promise 5 for groups that can't answer.
func TestCoverageNamesWhatIsMissing(t *testing.T) {
	t.Parallel()
	group := func(w *world, g int, do func(*fakeServer)) {
		for r := range 3 {
			do(w.servers[model.ServerID(fmt.Sprintf("s%d-%d", g, r))])
		}
	}
	tests := []struct {
		name   string
		fault  func(w *world)
		reason event.MissingReason
	}{
		{name: "servers lost", reason: event.MissingNoReplica, fault: func(w *world) {
			group(w, 1, func(s *fakeServer) { s.rebootIn = time.Hour; s.crash() })
			w.run(time.Second)
		}},
		{name: "servers lost while they run it", reason: event.MissingFailed, fault: func(w *world) {
			w.after(4*time.Millisecond, func() { group(w, 1, func(s *fakeServer) { s.rebootIn = time.Hour; s.crash() }) })
		}},
		{name: "replies spoilt", reason: event.MissingFailed, fault: func(w *world) {
			group(w, 1, func(s *fakeServer) { s.badReplies = 100 })
		}},
		{name: "too slow", reason: event.MissingDeadline, fault: func(w *world) {
			group(w, 1, func(s *fakeServer) { s.straggle = time.Minute })
		}},
		{name: "other snapshots only", reason: event.MissingSnapshot, fault: func(w *world) {
			group(w, 1, func(s *fakeServer) { s.snapshots = []model.Snapshot{9} })
			w.run(2 * time.Second)
		}},
		{name: "another shard map", reason: event.MissingEpoch, fault: func(w *world) {
			group(w, 1, func(s *fakeServer) { s.epoch = 9 })
			w.run(2 * time.Second)
		}},
		{name: "cold and not to be sent to", reason: event.MissingCold, fault: func(w *world) {
			w.everyServer(func(s *fakeServer) {
				if s.group.Name == "g1" {
					s.crash()
				}
			})
			// The owners were cut off from each other, so that none has a quorum.
			for _, n := range w.nodes {
				n.setCutPeers(true)
			}
			w.run(2500 * time.Millisecond)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(1, testConfig(4), 3)
			w.warmUp(t)
			test.fault(w)
			a := w.nodes[0].ask(lookup())
			w.finish(t)
			if a.answer == nil {
				t.Fatalf("got %+v, want an answer", a.refusal)
			}
			c := a.answer.Coverage
			if c.Fraction != 0.75 || len(c.Missing) != 1 || c.Missing[0].Group != "g1" || c.Missing[0].Reason != test.reason {
				t.Errorf("got fraction %v, missing %+v, want 0.75 and g1 for %q", c.Fraction, c.Missing, test.reason)
			}
			if a.answer.Status == event.StatusComplete {
				t.Errorf("status: got %q", a.answer.Status)
			}
		})
	}
}

// TestNothingGoesToADataCentreThatIsOut checks promise 7: obeyedWithin after the
// change was accepted, no instance sends there.
func TestNothingGoesToADataCentreThatIsOut(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// fault comes before the change, after right behind it.
		fault func(w *world)
		after func(w *world)
	}{
		{name: "no fault"},
		{name: "the store goes down right after", after: func(w *world) {
			// The operators' command hands the change to the instances that it reaches.
			w.push(w.nodes[0])
			w.store.down = true
		}},
		{name: "an instance is cut off from the store", fault: func(w *world) { w.nodes[1].cutStore = true }},
		{name: "an instance is cut off from its peers", fault: func(w *world) { w.nodes[1].setCutPeers(true) }},
		{name: "an instance is cut off from both", fault: func(w *world) {
			w.nodes[1].cutStore = true
			w.nodes[1].setCutPeers(true)
		}},
		{name: "an instance stands still for a minute", fault: func(w *world) { w.nodes[1].freeze(time.Minute) }},
		{name: "an instance stands still for four seconds", fault: func(w *world) { w.nodes[1].freeze(4 * time.Second) }},
		{name: "an instance starts while the store is down", after: func(w *world) {
			w.push(w.nodes[0])
			w.store.down = true
			w.run(time.Second)
			w.addNode("late")
		}},
		{name: "the data centre's servers are cold", fault: func(w *world) {
			w.everyServer(func(s *fakeServer) {
				if s.DataCentre == "dc1" {
					s.crash()
				}
			})
			w.run(500 * time.Millisecond)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(2, testConfig(3), 4)
			w.warmUp(t)
			if test.fault != nil {
				test.fault(w)
			}
			w.load(100 * time.Millisecond)
			w.setDataCentre("dc1", model.DataCentreOut)
			if test.after != nil {
				test.after(w)
			}
			w.load(20 * time.Second)
			w.run(60 * time.Second)
			w.load(5 * time.Second)
			a := w.nodes[0].ask(lookup())
			w.finish(t)
			if a.answer == nil || a.answer.Status != event.StatusComplete {
				t.Errorf("got %+v %+v, want a complete answer", a.answer, a.refusal)
			}
		})
	}
}

// push hands the accepted configuration to a node, as the operators' command does.
func (w *world) push(n *node) {
	root, parts, err := conf.Split(w.config)
	if err != nil {
		panic(err)
	}
	n.post(event.RootReceived{Root: root})
	for _, p := range parts {
		n.post(event.PartReceived{Digest: p.Digest, Data: p.Data})
	}
}

// TestNothingGoesToAServerThatIsLeaving checks promise 8, for each of the ways in
// which a server's leave shows.
func TestNothingGoesToAServerThatIsLeaving(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		leave func(w *world, s *fakeServer)
	}{
		{name: "replies and status say so", leave: func(_ *world, s *fakeServer) { s.draining = true }},
		{name: "the status endpoint denies it", leave: func(_ *world, s *fakeServer) { s.draining, s.lying = true, true }},
		{name: "only the platform's list says so", leave: func(w *world, s *fakeServer) {
			s.silentDrain = true
			w.leaving = append(w.leaving, s.ID)
		}},
		{name: "the status endpoint denies it and an instance is cut off from its peers", leave: func(w *world, s *fakeServer) {
			w.nodes[2].setCutPeers(true)
			s.draining, s.lying = true, true
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(2, testConfig(2), 4)
			w.warmUp(t)
			s := w.servers["s0-1"]
			test.leave(w, s)
			left := w.now
			w.load(30 * time.Second)
			if late := s.lastArrived.Sub(left); late > obeyedWithin {
				t.Errorf("work arrived %v after the server began to leave, want %v at most", late, obeyedWithin)
			}
			w.finish(t)
		})
	}
}

// TestConfigurationNeverReverts checks promise 9; the world fails when a version in
// force goes down.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault func(w *world)
	}{
		{name: "the store comes back with an older value", fault: func(w *world) {
			old := w.store.values[conf.RootKey].data
			w.setDataCentre("dc1", model.DataCentreOut)
			w.run(2 * time.Second)
			w.store.down = true
			w.run(2 * time.Second)
			w.store.set(conf.RootKey, old)
			w.store.down = false
		}},
		{name: "a peer sends an older root", fault: func(w *world) {
			old := w.nodes[0].engine.Config()
			w.setDataCentre("dc1", model.DataCentreOut)
			w.run(2 * time.Second)
			root, _, _ := conf.Split(old)
			for _, n := range w.nodes {
				n.post(event.MessageReceived{From: "n0", Message: event.Message{Root: &event.RootUpdate{Root: root}}})
			}
		}},
		{name: "an instance resumes after a minute", fault: func(w *world) {
			w.nodes[0].freeze(time.Minute)
			w.setDataCentre("dc1", model.DataCentreOut)
			w.run(61 * time.Second)
		}},
		{name: "an instance starts from a peer while the store is down", fault: func(w *world) {
			w.setDataCentre("dc1", model.DataCentreOut)
			w.run(2 * time.Second)
			w.store.down = true
			w.addNode("late")
		}},
		{name: "parts can't be read from the store", fault: func(w *world) {
			w.nodes[1].cutStore = true
			w.setDataCentre("dc1", model.DataCentreOut)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(4, testConfig(2), 4)
			w.warmUp(t)
			test.fault(w)
			// In force everywhere within obeyedWithin.
			w.run(obeyedWithin)
			for _, n := range w.nodes {
				if got, want := n.engine.Config().Version, uint64(2); got != want {
					t.Errorf("%s: version in force: got %d, want %d", n.id, got, want)
				}
			}
			w.finish(t)
		})
	}
}

// TestRootWithABadPartIsNotTaken checks that a document which doesn't match its
// digest is dropped, and the old configuration stays in force.
func TestRootWithABadPartIsNotTaken(t *testing.T) {
	t.Parallel()
	w := newWorld(4, testConfig(2), 2)
	w.run(2 * time.Second)
	c := w.config
	c.Version = 2
	c.Services = append([]model.Service(nil), c.Services...)
	c.Services[0].Slots = 2
	root, parts, err := conf.Split(c)
	if err != nil {
		t.Fatal(err)
	}
	n := w.nodes[0]
	n.post(event.RootReceived{Root: root})
	n.post(event.PartReceived{Digest: parts[0].Digest, Data: []byte(`{"name":"other"}`)})
	w.run(time.Second)
	if got := n.engine.Config().Version; got != 1 {
		t.Errorf("version in force: got %d, want 1", got)
	}
	n.post(event.PartReceived{Digest: parts[0].Digest, Data: parts[0].Data})
	w.run(time.Second)
	if got := n.engine.Config().Version; got != 2 {
		t.Errorf("version in force: got %d, want 2", got)
	}
}

// TestPoisonQueryKillsTwoServersOfAGroupAtMost checks that a query that crashes
// each server that runs it is stopped, however often and through whichever instance
// it is sent, and that bystanders are not condemned with it.
func TestPoisonQueryKillsTwoServersOfAGroupAtMost(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newWorld(seed, testConfig(3), 4)
		w.warmUp(t)
		before := len(w.asked)
		poison := event.Request{Service: "desk", Body: []byte("poison")}
		for round := range 12 {
			w.nodes[round%4].ask(poison)
			w.load(300 * time.Millisecond)
		}
		deaths := map[string]int{}
		for _, id := range w.ids {
			deaths[w.servers[id].group.Name] += w.servers[id].poisoned["poison"]
		}
		for group, got := range deaths {
			if got > 2 {
				t.Errorf("seed %d: group %s lost %d servers to the query, want 2 at most", seed, group, got)
			}
		}
		for _, a := range w.asked[before:] {
			if a.refusal != nil && a.refusal.Code == event.RefusePoison && string(a.request.Body) != "poison" {
				t.Errorf("seed %d: a bystander was refused as poison", seed)
			}
		}
		w.finish(t)
	}
}

// TestReplayGivesTheSameCommands runs one world twice and compares what its engines
// commanded, byte for byte.
func TestReplayGivesTheSameCommands(t *testing.T) {
	t.Parallel()
	record := func() []byte {
		w := newWorld(11, testConfig(3), 3)
		var log []byte
		w.onCommand = func(n *node, c event.Command) {
			data, err := json.Marshal(c)
			if err != nil {
				t.Fatal(err)
			}
			log = fmt.Appendf(log, "%v %s %T %s\n", w.now.Sub(w.start), n.id, c, data)
		}
		pick := newPicker(11)
		w.run(3 * time.Second)
		for range 20 {
			faults[pick(len(faults))].do(w, pick)
			w.load(200 * time.Millisecond)
		}
		return log
	}
	first, second := record(), record()
	if len(first) < 100_000 {
		t.Fatalf("recorded %d bytes of commands, want a run that does something", len(first))
	}
	if string(first) != string(second) {
		t.Errorf("the same events gave other commands the second time")
	}
}
