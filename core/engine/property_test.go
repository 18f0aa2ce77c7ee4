package engine_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// -promise-seeds sets the number of simulations, each with its own seed and random faults, for
// a longer run.
var (
	simulationCount = flag.Int("promise-seeds", 500, "number of simulations that TestGuaranteesUnderFaults runs")
	firstSeed       = flag.Int("promise-first", 1, "first seed of TestGuaranteesUnderFaults")
)

// fault is a kind of fault that can be injected into a simulation.
type fault struct {
	name string
	// inject starts the fault. It also schedules the end of a lasting fault, so that the
	// simulation can become idle.
	inject func(w *simulation, pick func(n int) int)
}

// faults are the faults that the random runs choose from.
var faults = []fault{
	{"instance killed and replaced", func(w *simulation, pick func(int) int) {
		n := w.nodes[pick(len(w.nodes))]
		if n.dead || w.liveNodes() < 3 {
			return
		}
		n.kill()
		w.schedule(time.Second, func() { w.addNode(fmt.Sprintf("n%d", len(w.nodes))) })
	}},
	{"instance suspended", func(w *simulation, pick func(int) int) {
		w.nodes[pick(len(w.nodes))].suspend(time.Duration(100+pick(9900)) * time.Millisecond)
	}},
	{"store down", func(w *simulation, pick func(int) int) {
		w.store.down = true
		w.schedule(time.Duration(1+pick(8))*time.Second, func() { w.store.down = false })
	}},
	{"store slow", func(w *simulation, pick func(int) int) {
		w.store.delay = time.Duration(20+pick(500)) * time.Millisecond
		w.schedule(2*time.Second, func() { w.store.delay = 0 })
	}},
	{"store replies lost", func(w *simulation, pick func(int) int) {
		w.store.loseReplies = 1 + pick(4)
		w.store.effectDelay = time.Duration(pick(3)) * 400 * time.Millisecond
		w.schedule(3*time.Second, func() { w.store.loseReplies = 0 })
	}},
	{"instance cut from store", func(w *simulation, pick func(int) int) {
		n := w.nodes[pick(len(w.nodes))]
		n.cutStore = true
		w.schedule(time.Duration(1+pick(8))*time.Second, func() { n.cutStore = false })
	}},
	{"instance cut from peers", func(w *simulation, pick func(int) int) {
		n := w.nodes[pick(len(w.nodes))]
		n.setCutPeers(true)
		w.schedule(time.Duration(1+pick(8))*time.Second, func() { n.setCutPeers(false) })
	}},
	{"server crash", func(w *simulation, pick func(int) int) { w.randomServer(pick).crash() }},
	{"server cold without restart", func(w *simulation, pick func(int) int) { w.randomServer(pick).warmth = 0 }},
	{"server drains and comes back", func(w *simulation, pick func(int) int) {
		s := w.randomServer(pick)
		s.draining, s.statusHidesDrain, s.drainingSince = true, pick(2) == 0, w.now
		w.schedule(time.Duration(3+pick(8))*time.Second, func() { s.crash(); s.statusHidesDrain = false })
	}},
	{"server slow", func(w *simulation, pick func(int) int) {
		s := w.randomServer(pick)
		s.extraTime = time.Duration(20+pick(400)) * time.Millisecond
		w.schedule(2*time.Second, func() { s.extraTime = 0 })
	}},
	{"server loses replies", func(w *simulation, pick func(int) int) { w.randomServer(pick).loseReplies = 1 + pick(3) }},
	{"server corrupts replies", func(w *simulation, pick func(int) int) { w.randomServer(pick).corruptReplies = 1 + pick(3) }},
	{"data centre out and in", func(w *simulation, pick func(int) int) {
		name := w.config.DataCentres[pick(3)].Name
		n := w.nodes[pick(len(w.nodes))]
		w.changeConfig(n, func() { w.setDataCentreState(name, model.DataCentreOut) })
		w.schedule(time.Duration(1+pick(8))*time.Second, func() {
			w.changeConfig(n, func() { w.setDataCentreState(name, model.DataCentreIn) })
		})
	}},
	{"data centre loses power", func(w *simulation, pick func(int) int) {
		name := w.config.DataCentres[pick(3)].Name
		w.forEachServer(func(s *fakeServer) {
			if s.DataCentre == name {
				s.crash()
			}
		})
	}},
	{"snapshot switch", func(w *simulation, pick func(int) int) { w.switchSnapshot(pick) }},
	{"repartition", func(w *simulation, pick func(int) int) {
		w.changeConfig(w.nodes[pick(len(w.nodes))], func() { w.repartition(pick) })
	}},
	{"poison query", func(w *simulation, pick func(int) int) {
		body := fmt.Sprintf("poison-%d", w.order)
		for i := range 2 * len(w.nodes) {
			w.schedule(time.Duration(i)*300*time.Millisecond, func() {
				w.nodes[i%len(w.nodes)].call(event.Request{Service: "desk", Body: []byte(body)})
			})
		}
	}},
}

// changeConfig changes the configuration as the operator's command does: the store must
// be up to accept the change, and the command sends it to an instance.
func (w *simulation) changeConfig(n *node, change func()) {
	if w.store.down {
		w.schedule(200*time.Millisecond, func() { w.changeConfig(n, change) })
		return
	}
	change()
	w.pushConfig(n)
}

// liveNodes returns the number of nodes that have not been killed.
func (w *simulation) liveNodes() (n int) {
	for _, o := range w.nodes {
		if !o.dead {
			n++
		}
	}
	return n
}

// randomServer returns a server chosen by pick.
func (w *simulation) randomServer(pick func(int) int) *fakeServer {
	return w.servers[w.ids[pick(len(w.ids))]]
}

// switchSnapshot adds the next snapshot to every server, at different times. Each server
// keeps the previous one.
func (w *simulation) switchSnapshot(pick func(int) int) {
	w.forEachServer(func(s *fakeServer) {
		w.schedule(time.Duration(pick(1500))*time.Millisecond, func() {
			last := s.snapshots[len(s.snapshots)-1]
			s.snapshots = []model.Snapshot{last, last + 1}
		})
	})
}

// repartition changes the key ranges of the groups. The servers apply the new map epoch
// at different times, before or after the instances activate the new configuration.
func (w *simulation) repartition(pick func(int) int) {
	c := w.config
	c.Services = append([]model.Service(nil), c.Services...)
	svc := &c.Services[0]
	svc.Epoch++
	svc.Groups = append([]model.Group(nil), svc.Groups...)
	step := model.KeySpace / len(svc.Groups)
	for i := 1; i < len(svc.Groups); i++ {
		border := uint32(i*step + pick(step/2))
		svc.Groups[i-1].Keys.To, svc.Groups[i].Keys.From = border, border
	}
	w.acceptConfig(c)
	epoch := svc.Epoch
	w.forEachServer(func(s *fakeServer) {
		w.schedule(time.Duration(pick(800))*time.Millisecond, func() { s.epoch = max(s.epoch, epoch) })
	})
}

// runWithFaults runs a new simulation with load and random faults until it is idle, and
// returns it. With restores, the store is restored twice from an older copy as well.
func runWithFaults(seed uint64, pick func(n int) int, restores bool) *simulation {
	w := newSimulation(seed, testConfig(3), 3)
	if restores {
		w.store.era = 1
	}
	w.advance(3 * time.Second)
	orders := 0
	for step := range 400 {
		if step%25 == 10 {
			f := faults[pick(len(faults))]
			w.logFault("%s", f.name)
			f.inject(w, pick)
		}
		if restores && step%200 == 120 {
			age := time.Duration(pick(9000)) * time.Millisecond
			w.logFault("store restored from a copy that is %s old", age)
			w.store.restore(age)
		}
		n := w.nodes[pick(len(w.nodes))]
		n.call(lookup())
		if step%4 == 0 {
			orders++
			w.sendOrder(fmt.Sprintf("order-%d", orders), pick)
		}
		w.advance(time.Duration(5+pick(40)) * time.Millisecond)
	}
	w.advance(30 * time.Second)
	w.checkFinalState()
	return w
}

// sendOrder sends a non-idempotent request, and up to two copies at the same time or
// later, each through a random instance.
func (w *simulation) sendOrder(key string, pick func(int) int) {
	w.nodes[pick(len(w.nodes))].call(order(key))
	for range pick(3) {
		w.schedule(time.Duration(pick(5))*400*time.Millisecond, func() {
			w.nodes[pick(len(w.nodes))].call(order(key))
		})
	}
}

// TestGuaranteesUnderFaults runs simulations with random faults and checks them for
// violations.
func TestGuaranteesUnderFaults(t *testing.T) {
	const shards = 8
	for shard := range shards {
		t.Run(fmt.Sprintf("shard-%d", shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < *simulationCount; i += shards {
				seed := uint64(*firstSeed + i)
				if s := runWithFaults(seed, newPicker(seed), false); len(s.violations) > 0 {
					t.Fatalf("seed %d:\n%s", seed, s.report())
				}
			}
		})
	}
}

// TestGuaranteesUnderFaultsAndRestores does the same while the store is restored from older
// copies.
func TestGuaranteesUnderFaultsAndRestores(t *testing.T) {
	const shards = 8
	for shard := range shards {
		t.Run(fmt.Sprintf("shard-%d", shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < *simulationCount/5; i += shards {
				seed := uint64(*firstSeed + i)
				if s := runWithFaults(seed, newPicker(seed), true); len(s.violations) > 0 {
					t.Fatalf("seed %d:\n%s", seed, s.report())
				}
			}
		})
	}
}

// TestGuaranteesUnderGeneratedFaults does the same with rapid, which reduces a failing
// simulation to a smaller one.
func TestGuaranteesUnderGeneratedFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "pick") }
		if w := runWithFaults(rapid.Uint64().Draw(r, "seed"), pick, false); len(w.violations) > 0 {
			r.Fatal(w.report())
		}
	})
}
