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

// TestAnswersUseOneSnapshotDuringSwitch checks that each answer uses one snapshot, and
// that at least 99% of the answers are complete, while the servers switch snapshots at
// different times and keep only the last two.
func TestAnswersUseOneSnapshotDuringSwitch(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newSimulation(seed, testConfig(4), 4)
		w.warmUp(t)
		pick := newPicker(seed)
		before := len(w.calls)
		for range 5 {
			w.switchSnapshot(pick)
			w.runLoad(2 * time.Second)
		}
		complete := w.completeFraction(before)
		w.finish(t)
		if complete < 0.99 {
			t.Errorf("seed %d: fraction of complete answers: got %.3f, want at least 0.99", seed, complete)
		}
		if seed == 0 {
			t.Logf("complete: %.4f", complete)
		}
	}
}

// TestAnswersStayConsistentDuringRepartition checks that each answer uses one snapshot and
// one map epoch and states its coverage correctly, while the key ranges of the groups
// change and the servers apply the new shard map at different times.
func TestAnswersStayConsistentDuringRepartition(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newSimulation(seed, testConfig(4), 4)
		w.warmUp(t)
		pick := newPicker(seed)
		before := len(w.calls)
		for range 3 {
			w.repartition(pick)
			w.runLoad(3 * time.Second)
		}
		t.Logf("seed %d: complete: %.4f", seed, w.completeFraction(before))
		c := w.nodes[0].call(lookup())
		w.finish(t)
		if c.answer == nil || c.answer.Status != event.StatusComplete || c.answer.Coverage.Epoch != 4 {
			t.Errorf("seed %d: got %+v %+v, want a complete answer of map epoch 4", seed, c.answer, c.refusal)
		}
	}
}

// completeFraction returns the fraction of complete answers among the requests from
// index since on.
func (w *simulation) completeFraction(since int) float64 {
	complete := 0
	for _, c := range w.calls[since:] {
		if c.answer != nil && c.answer.Status == event.StatusComplete {
			complete++
		}
	}
	return float64(complete) / float64(len(w.calls)-since)
}

// TestCoverageListsMissingGroups checks that the coverage of an answer lists a group that
// can't answer, with the reason.
func TestCoverageListsMissingGroups(t *testing.T) {
	t.Parallel()
	forEachInGroup := func(w *simulation, g int, do func(*fakeServer)) {
		for r := range 3 {
			do(w.servers[model.ServerID(fmt.Sprintf("s%d-%d", g, r))])
		}
	}
	tests := []struct {
		name   string
		fault  func(w *simulation)
		reason event.MissingReason
	}{
		{name: "servers lost", reason: event.MissingNoReplica, fault: func(w *simulation) {
			forEachInGroup(w, 1, func(s *fakeServer) { s.rebootDelay = time.Hour; s.crash() })
			w.advance(time.Second)
		}},
		{name: "servers lost during the request", reason: event.MissingFailed, fault: func(w *simulation) {
			w.schedule(4*time.Millisecond, func() { forEachInGroup(w, 1, func(s *fakeServer) { s.rebootDelay = time.Hour; s.crash() }) })
		}},
		{name: "replies corrupt", reason: event.MissingFailed, fault: func(w *simulation) {
			forEachInGroup(w, 1, func(s *fakeServer) { s.corruptReplies = 100 })
		}},
		{name: "too slow", reason: event.MissingDeadline, fault: func(w *simulation) {
			forEachInGroup(w, 1, func(s *fakeServer) { s.extraTime = time.Minute })
		}},
		{name: "only other snapshots", reason: event.MissingSnapshot, fault: func(w *simulation) {
			forEachInGroup(w, 1, func(s *fakeServer) { s.snapshots = []model.Snapshot{9} })
			w.advance(2 * time.Second)
		}},
		{name: "another shard map", reason: event.MissingEpoch, fault: func(w *simulation) {
			forEachInGroup(w, 1, func(s *fakeServer) { s.epoch = 9 })
			w.advance(2 * time.Second)
		}},
		{name: "cold and no grants", reason: event.MissingCold, fault: func(w *simulation) {
			w.forEachServer(func(s *fakeServer) {
				if s.group.Name == "g1" {
					s.crash()
				}
			})
			// The owners are cut off from each other, so that none has a quorum.
			for _, n := range w.nodes {
				n.setCutPeers(true)
			}
			w.advance(2500 * time.Millisecond)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(1, testConfig(4), 3)
			w.warmUp(t)
			test.fault(w)
			c := w.nodes[0].call(lookup())
			w.finish(t)
			if c.answer == nil {
				t.Fatalf("got %+v, want an answer", c.refusal)
			}
			coverage := c.answer.Coverage
			if coverage.Fraction != 0.75 || len(coverage.Missing) != 1 || coverage.Missing[0].Group != "g1" || coverage.Missing[0].Reason != test.reason {
				t.Errorf("coverage: got fraction %v, missing %+v, want 0.75, only g1 for reason %q", coverage.Fraction, coverage.Missing, test.reason)
			}
			if c.answer.Status == event.StatusComplete {
				t.Errorf("status: got %q, want any but complete", c.answer.Status)
			}
		})
	}
}

// TestNoWorkForDataCentreTakenOut checks that no instance sends requests to a data centre
// later than propagationLimit after a change took it out of service.
func TestNoWorkForDataCentreTakenOut(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// fault is called before the change, and after right after it.
		fault func(w *simulation)
		after func(w *simulation)
	}{
		{name: "no fault"},
		{name: "the store goes down right after", after: func(w *simulation) {
			// The operator's command sends the change to the instances that it can reach.
			w.pushConfig(w.nodes[0])
			w.store.down = true
		}},
		{name: "an instance is cut off from the store", fault: func(w *simulation) { w.nodes[1].cutStore = true }},
		{name: "an instance is cut off from its peers", fault: func(w *simulation) { w.nodes[1].setCutPeers(true) }},
		{name: "an instance is cut off from both", fault: func(w *simulation) {
			w.nodes[1].cutStore = true
			w.nodes[1].setCutPeers(true)
		}},
		{name: "an instance is suspended for a minute", fault: func(w *simulation) { w.nodes[1].suspend(time.Minute) }},
		{name: "an instance is suspended for four seconds", fault: func(w *simulation) { w.nodes[1].suspend(4 * time.Second) }},
		{name: "an instance starts while the store is down", after: func(w *simulation) {
			w.pushConfig(w.nodes[0])
			w.store.down = true
			w.advance(time.Second)
			w.addNode("late")
		}},
		{name: "the data centre's servers are cold", fault: func(w *simulation) {
			w.forEachServer(func(s *fakeServer) {
				if s.DataCentre == "dc1" {
					s.crash()
				}
			})
			w.advance(500 * time.Millisecond)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(2, testConfig(3), 4)
			w.warmUp(t)
			if test.fault != nil {
				test.fault(w)
			}
			w.runLoad(100 * time.Millisecond)
			w.setDataCentreState("dc1", model.DataCentreOut)
			if test.after != nil {
				test.after(w)
			}
			w.runLoad(20 * time.Second)
			w.advance(60 * time.Second)
			w.runLoad(5 * time.Second)
			c := w.nodes[0].call(lookup())
			w.finish(t)
			if c.answer == nil || c.answer.Status != event.StatusComplete {
				t.Errorf("got %+v %+v, want a complete answer", c.answer, c.refusal)
			}
		})
	}
}

// pushConfig sends the accepted configuration to a node, as the operator's command does.
func (w *simulation) pushConfig(n *node) {
	root, parts, err := conf.Split(w.config)
	if err != nil {
		panic(err)
	}
	n.enqueue(event.RootReceived{Root: root})
	for _, p := range parts {
		n.enqueue(event.PartReceived{Digest: p.Digest, Data: p.Data})
	}
}

// TestNoWorkForDrainingServer checks that no work arrives at a server later than
// propagationLimit after its drain began, for each way in which a drain shows.
func TestNoWorkForDrainingServer(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		drain func(w *simulation, s *fakeServer)
	}{
		{name: "replies and status report the drain", drain: func(_ *simulation, s *fakeServer) { s.draining = true }},
		{name: "replies report the drain and the status endpoint denies it", drain: func(_ *simulation, s *fakeServer) { s.draining, s.statusHidesDrain = true, true }},
		{name: "only the platform's list reports the drain", drain: func(w *simulation, s *fakeServer) {
			s.silentDrain = true
			w.listedLeaving = append(w.listedLeaving, s.ID)
		}},
		{name: "the status endpoint denies the drain and an instance is cut off from its peers", drain: func(w *simulation, s *fakeServer) {
			w.nodes[2].setCutPeers(true)
			s.draining, s.statusHidesDrain = true, true
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(2, testConfig(2), 4)
			w.warmUp(t)
			s := w.servers["s0-1"]
			test.drain(w, s)
			drainStart := w.now
			w.runLoad(30 * time.Second)
			if late := s.lastArrivalAt.Sub(drainStart); late > propagationLimit {
				t.Errorf("work arrived %v after the drain began, want at most %v", late, propagationLimit)
			}
			w.finish(t)
		})
	}
}

// TestConfigurationNeverReverts checks that all instances get the newest configuration
// and keep it. The simulation reports a violation when an instance activates an older version.
func TestConfigurationNeverReverts(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name  string
		fault func(w *simulation)
	}{
		{name: "the store comes back with an older value", fault: func(w *simulation) {
			old := w.store.values[conf.RootKey].data
			w.setDataCentreState("dc1", model.DataCentreOut)
			w.advance(2 * time.Second)
			w.store.down = true
			w.advance(2 * time.Second)
			w.store.set(conf.RootKey, old)
			w.store.down = false
		}},
		{name: "a peer sends an older root", fault: func(w *simulation) {
			old := w.nodes[0].engine.Config()
			w.setDataCentreState("dc1", model.DataCentreOut)
			w.advance(2 * time.Second)
			root, _, _ := conf.Split(old)
			for _, n := range w.nodes {
				n.enqueue(event.MessageReceived{From: "n0", Message: event.Message{Root: &event.RootUpdate{Root: root}}})
			}
		}},
		{name: "an instance resumes after a minute", fault: func(w *simulation) {
			w.nodes[0].suspend(time.Minute)
			w.setDataCentreState("dc1", model.DataCentreOut)
			w.advance(61 * time.Second)
		}},
		{name: "an instance starts from a peer while the store is down", fault: func(w *simulation) {
			w.setDataCentreState("dc1", model.DataCentreOut)
			w.advance(2 * time.Second)
			w.store.down = true
			w.addNode("late")
		}},
		{name: "parts can't be read from the store", fault: func(w *simulation) {
			w.nodes[1].cutStore = true
			w.setDataCentreState("dc1", model.DataCentreOut)
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newSimulation(4, testConfig(2), 4)
			w.warmUp(t)
			test.fault(w)
			w.advance(propagationLimit)
			for _, n := range w.nodes {
				if got, want := n.engine.Config().Version, uint64(2); got != want {
					t.Errorf("%s: active version: got %d, want %d", n.id, got, want)
				}
			}
			w.finish(t)
		})
	}
}

// TestRootWithCorruptPartIsNotActivated checks that a document which doesn't match its
// digest is dropped, and that the old configuration stays active until the right
// document arrives.
func TestRootWithCorruptPartIsNotActivated(t *testing.T) {
	t.Parallel()
	w := newSimulation(4, testConfig(2), 2)
	w.advance(2 * time.Second)
	c := w.config
	c.Version = 2
	c.Services = append([]model.Service(nil), c.Services...)
	c.Services[0].Slots = 2
	root, parts, err := conf.Split(c)
	if err != nil {
		t.Fatal(err)
	}
	n := w.nodes[0]
	n.enqueue(event.RootReceived{Root: root})
	n.enqueue(event.PartReceived{Digest: parts[0].Digest, Data: []byte(`{"name":"other"}`)})
	w.advance(time.Second)
	if got := n.engine.Config().Version; got != 1 {
		t.Errorf("active version: got %d, want 1", got)
	}
	n.enqueue(event.PartReceived{Digest: parts[0].Digest, Data: parts[0].Data})
	w.advance(time.Second)
	if got := n.engine.Config().Version; got != 2 {
		t.Errorf("active version: got %d, want 2", got)
	}
}

// TestPoisonQueryCrashesAtMostTwoServersPerGroup checks that a query which crashes every
// server that runs it is stopped, although it is sent repeatedly and through all
// instances, and that other queries in flight at the same time are not condemned.
func TestPoisonQueryCrashesAtMostTwoServersPerGroup(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newSimulation(seed, testConfig(3), 4)
		w.warmUp(t)
		before := len(w.calls)
		poison := event.Request{Service: "desk", Body: []byte("poison")}
		for round := range 12 {
			w.nodes[round%4].call(poison)
			w.runLoad(300 * time.Millisecond)
		}
		crashes := map[string]int{}
		for _, id := range w.ids {
			crashes[w.servers[id].group.Name] += w.servers[id].poisonCrashes["poison"]
		}
		for group, got := range crashes {
			if got > 2 {
				t.Errorf("seed %d: the query crashed servers of group %s %d times, want at most 2", seed, group, got)
			}
		}
		for _, c := range w.calls[before:] {
			if c.refusal != nil && c.refusal.Code == event.RefusePoison && string(c.request.Body) != "poison" {
				t.Errorf("seed %d: a query other than the crashing one was refused as poison", seed)
			}
		}
		w.finish(t)
	}
}

// TestReplayProducesSameCommands runs the same simulation twice and compares the commands of
// its engines byte for byte.
func TestReplayProducesSameCommands(t *testing.T) {
	t.Parallel()
	record := func() []byte {
		w := newSimulation(11, testConfig(3), 3)
		var log []byte
		w.onCommand = func(n *node, c event.Command) {
			data, err := json.Marshal(c)
			if err != nil {
				t.Fatal(err)
			}
			log = fmt.Appendf(log, "%v %s %T %s\n", w.now.Sub(w.start), n.id, c, data)
		}
		pick := newPicker(11)
		w.advance(3 * time.Second)
		for range 20 {
			faults[pick(len(faults))].inject(w, pick)
			w.runLoad(200 * time.Millisecond)
		}
		return log
	}
	first, second := record(), record()
	if len(first) < 100_000 {
		t.Fatalf("recorded %d bytes of commands, want at least 100000", len(first))
	}
	if string(first) != string(second) {
		t.Errorf("the second run of the same events produced other commands")
	}
}
