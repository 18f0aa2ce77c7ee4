package engine_test

import (
	"fmt"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// runLoad sends lookups to every node for a duration.
func (w *simulation) runLoad(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		for _, n := range w.nodes {
			n.call(lookup())
		}
		w.advance(loadInterval)
	}
}

// loadInterval is short enough that attempts of several instances overlap at a server.
const loadInterval = 8 * time.Millisecond

// owner returns the node that owns server s0-0 in the view of node 0.
func (w *simulation) owner() *node {
	n := w.nodes[0]
	return w.node(n.engine.Warm.Owner(n.engine.Servers.Get("s0-0")))
}

// overloads returns how often servers crashed because of overload.
func (w *simulation) overloads() (n int) {
	w.forEachServer(func(s *fakeServer) { n += s.overloads })
	return n
}

// TestColdServersAreNotOverloaded checks that the instances together send a cold server
// no more than it can take: the fake servers crash when the attempts in flight exceed
// their capacity. All servers must be warm again within 30 s, a time by which the
// platform's list is up to date as well.
func TestColdServersAreNotOverloaded(t *testing.T) {
	t.Parallel()
	const server = model.ServerID("s0-0")
	tests := []struct {
		name  string
		fault func(w *simulation)
		// recoveryTime is the maximum time until all instances see all servers as warm
		// again: 30 s, by which the platform's list is up to date as well.
		recoveryTime time.Duration
	}{
		{name: "a server restarts", fault: func(w *simulation) { w.servers[server].crash() }},
		{name: "every server of a group restarts faster than its status is read", fault: func(w *simulation) {
			for r := range 3 {
				s := w.servers[model.ServerID(fmt.Sprintf("s0-%d", r))]
				s.rebootDelay = 5 * time.Millisecond
				s.crash()
			}
		}},
		{name: "every server of a group restarts while two instances are suspended", fault: func(w *simulation) {
			w.nodes[0].suspend(2 * time.Second)
			w.nodes[1].suspend(2 * time.Second)
			w.runLoad(time.Second)
			for r := range 3 {
				w.servers[model.ServerID(fmt.Sprintf("s0-%d", r))].crash()
			}
		}},
		{name: "every server of a group restarts", fault: func(w *simulation) {
			for r := range 3 {
				w.servers[model.ServerID(fmt.Sprintf("s0-%d", r))].crash()
			}
		}},
		{name: "a data centre restarts", fault: func(w *simulation) {
			w.forEachServer(func(s *fakeServer) {
				if s.DataCentre == "dc1" {
					s.crash()
				}
			})
		}},
		{name: "every server restarts", fault: func(w *simulation) { w.forEachServer(func(s *fakeServer) { s.crash() }) }},
		{name: "every server and every instance restarts", fault: func(w *simulation) {
			w.forEachServer(func(s *fakeServer) { s.crash() })
			for _, n := range w.nodes {
				n.kill()
			}
			for i := range 4 {
				w.addNode(fmt.Sprintf("m%d", i))
			}
		}},
		{name: "the owner of the cold server is killed", fault: func(w *simulation) {
			owner := w.owner()
			w.servers[server].crash()
			w.runLoad(time.Second)
			owner.kill()
		}},
		{name: "the owner of the cold server is suspended and resumes", fault: func(w *simulation) {
			owner := w.owner()
			w.servers[server].crash()
			w.runLoad(600 * time.Millisecond)
			owner.suspend(8 * time.Second)
		}},
		{name: "the owner of the cold server is suspended for a short time", fault: func(w *simulation) {
			owner := w.owner()
			w.servers[server].crash()
			w.runLoad(600 * time.Millisecond)
			owner.suspend(1900 * time.Millisecond)
		}},
		{name: "the owner of the cold server is cut off from its peers", fault: func(w *simulation) {
			owner := w.owner()
			w.servers[server].crash()
			w.runLoad(600 * time.Millisecond)
			owner.setCutPeers(true)
			w.runLoad(9 * time.Second)
			owner.setCutPeers(false)
		}},
		{name: "a partition separates the instances into two halves", fault: func(w *simulation) {
			w.servers[server].crash()
			w.runLoad(600 * time.Millisecond)
			w.partition(2)
			w.runLoad(9 * time.Second)
			w.partition(0)
		}},
		{name: "instances join while a server warms up", fault: func(w *simulation) {
			w.servers[server].crash()
			w.runLoad(600 * time.Millisecond)
			w.addNode("n4")
			w.addNode("n5")
		}},
		{name: "a server restarts while the store is down", fault: func(w *simulation) {
			w.store.down = true
			w.runLoad(time.Second)
			w.servers[server].crash()
			w.runLoad(5 * time.Second)
			w.store.down = false
		}},
		{name: "an instance starts while the store is down and a server is cold", fault: func(w *simulation) {
			w.store.down = true
			w.servers[server].crash()
			w.addNode("n4")
			w.runLoad(5 * time.Second)
			w.store.down = false
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(10) {
				w := newSimulation(seed, testConfig(2), 4)
				w.warmUp(t)
				start := w.now
				test.fault(w)
				w.runLoad(time.Second)
				for !w.allServersWarm() && w.now.Sub(start) < 30*time.Second {
					w.runLoad(100 * time.Millisecond)
				}
				if !w.allServersWarm() {
					t.Errorf("seed %d: not warm everywhere after %v: %s", seed, w.now.Sub(start), w.serversNotWarm())
				}
				if got := w.overloads(); got != 0 {
					t.Errorf("seed %d: servers crashed %d times because of overload, want 0\n%s", seed, got, w.report())
				}
				if seed == 0 {
					t.Logf("warm everywhere after %v", w.now.Sub(start))
				}
				w.finish(t)
			}
		})
	}
}

// partition cuts the links between the first half nodes and the others; zero ends the
// partition.
func (w *simulation) partition(half int) {
	w.partitionAt = half
	for i, n := range w.nodes {
		for j, o := range w.nodes {
			if l := n.links[o.id]; l != nil && half > 0 && (i < half) != (j < half) {
				l.drop()
			}
		}
	}
}

// allServersWarm reports whether every live node regards every server as warm.
func (w *simulation) allServersWarm() bool { return w.serversNotWarm() == "" }

// serversNotWarm lists the servers that a live node doesn't regard as warm, with their
// states and owners.
func (w *simulation) serversNotWarm() (out string) {
	for _, n := range w.nodes {
		if n.dead {
			continue
		}
		if len(n.engine.Servers.Rows) == 0 {
			out += fmt.Sprintf("%s has no configuration ", n.id)
		}
		for _, b := range n.engine.Servers.Rows {
			if b.State.String() != "warm" {
				out += fmt.Sprintf("%s:%s=%s(%s) ", n.id, b.ID, b.State, n.engine.Warm.Owner(b))
			}
		}
	}
	return out
}

// TestServerThatTurnsColdWithoutRestartIsWarmedAgain checks that the instances detect a
// server that turns cold without a restart and without a crash, and warm it up again.
func TestServerThatTurnsColdWithoutRestartIsWarmedAgain(t *testing.T) {
	t.Parallel()
	for seed := range uint64(10) {
		w := newSimulation(seed, testConfig(2), 4)
		w.warmUp(t)
		s := w.servers["s0-0"]
		// The long warm-up ensures that the server is still cold when it is detected.
		s.shedsWhenCold, s.warmth = true, -100
		w.runLoad(5 * time.Second)
		generations := 0
		for _, n := range w.nodes {
			generations = max(generations, int(n.engine.Servers.Get("s0-0").Generation))
		}
		if generations == 0 {
			t.Errorf("seed %d: no instance noticed that the server turned cold", seed)
		}
		for i := 0; !w.allServersWarm() && i < 200; i++ {
			w.runLoad(100 * time.Millisecond)
		}
		if !w.allServersWarm() {
			t.Errorf("seed %d: not warm again: %s", seed, w.serversNotWarm())
		}
		c := w.nodes[1].call(lookup())
		w.finish(t)
		if c.answer == nil || c.answer.Status != event.StatusComplete {
			t.Errorf("seed %d: got %+v %+v, want a complete answer", seed, c.answer, c.refusal)
		}
	}
}
