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

// The longer run is chosen with -promise-seeds: the number of worlds, each of its
// own seed, with faults drawn from all that the brief names.
var (
	promiseSeeds = flag.Int("promise-seeds", 500, "number of worlds that TestPromisesUnderFaults runs")
	firstSeed    = flag.Int("promise-first", 1, "first seed of TestPromisesUnderFaults")
)

// fault is something that goes wrong in a world.
type fault struct {
	name string
	// do starts the fault; it ends by itself.
	do func(w *world, pick func(n int) int)
}

// faults are those of the brief. Each ends by itself, so that a world can come to
// rest.
var faults = []fault{
	{"instance killed and replaced", func(w *world, pick func(int) int) {
		n := w.nodes[pick(len(w.nodes))]
		if n.dead || w.liveNodes() < 3 {
			return
		}
		n.kill()
		w.after(time.Second, func() { w.addNode(fmt.Sprintf("n%d", len(w.nodes))) })
	}},
	{"instance frozen", func(w *world, pick func(int) int) {
		w.nodes[pick(len(w.nodes))].freeze(time.Duration(100+pick(9900)) * time.Millisecond)
	}},
	{"store down", func(w *world, pick func(int) int) {
		w.store.down = true
		w.after(time.Duration(1+pick(8))*time.Second, func() { w.store.down = false })
	}},
	{"store slow", func(w *world, pick func(int) int) {
		w.store.slow = time.Duration(20+pick(500)) * time.Millisecond
		w.after(2*time.Second, func() { w.store.slow = 0 })
	}},
	{"store replies lost", func(w *world, pick func(int) int) {
		w.store.loseReplies = 1 + pick(4)
		w.store.lateBy = time.Duration(pick(3)) * 400 * time.Millisecond
		w.after(3*time.Second, func() { w.store.loseReplies = 0 })
	}},
	{"instance cut from store", func(w *world, pick func(int) int) {
		n := w.nodes[pick(len(w.nodes))]
		n.cutStore = true
		w.after(time.Duration(1+pick(8))*time.Second, func() { n.cutStore = false })
	}},
	{"instance cut from peers", func(w *world, pick func(int) int) {
		n := w.nodes[pick(len(w.nodes))]
		n.setCutPeers(true)
		w.after(time.Duration(1+pick(8))*time.Second, func() { n.setCutPeers(false) })
	}},
	{"server crash", func(w *world, pick func(int) int) { w.anyServer(pick).crash() }},
	{"server cold without restart", func(w *world, pick func(int) int) { w.anyServer(pick).warmth = 0 }},
	{"server drains and comes back", func(w *world, pick func(int) int) {
		s := w.anyServer(pick)
		s.draining, s.lying, s.drainingSince = true, pick(2) == 0, w.now
		w.after(time.Duration(3+pick(8))*time.Second, func() { s.crash(); s.lying = false })
	}},
	{"server straggles", func(w *world, pick func(int) int) {
		s := w.anyServer(pick)
		s.straggle = time.Duration(20+pick(400)) * time.Millisecond
		w.after(2*time.Second, func() { s.straggle = 0 })
	}},
	{"server loses replies", func(w *world, pick func(int) int) { w.anyServer(pick).loseReplies = 1 + pick(3) }},
	{"server spoils replies", func(w *world, pick func(int) int) { w.anyServer(pick).badReplies = 1 + pick(3) }},
	{"data centre out and in", func(w *world, pick func(int) int) {
		name := w.config.DataCentres[pick(3)].Name
		n := w.nodes[pick(len(w.nodes))]
		w.operate(n, func() { w.setDataCentre(name, model.DataCentreOut) })
		w.after(time.Duration(1+pick(8))*time.Second, func() {
			w.operate(n, func() { w.setDataCentre(name, model.DataCentreIn) })
		})
	}},
	{"data centre loses power", func(w *world, pick func(int) int) {
		name := w.config.DataCentres[pick(3)].Name
		w.everyServer(func(s *fakeServer) {
			if s.DataCentre == name {
				s.crash()
			}
		})
	}},
	{"snapshot switch", func(w *world, pick func(int) int) { w.switchSnapshot(pick) }},
	{"repartition", func(w *world, pick func(int) int) {
		w.operate(w.nodes[pick(len(w.nodes))], func() { w.repartition(pick) })
	}},
	{"poison query", func(w *world, pick func(int) int) {
		body := fmt.Sprintf("poison-%d", w.order)
		for i := range 2 * len(w.nodes) {
			w.after(time.Duration(i)*300*time.Millisecond, func() {
				w.nodes[i%len(w.nodes)].ask(event.Request{Service: "desk", Body: []byte(body)})
			})
		}
	}},
}

// operate makes a change of the configuration as the operators' command does: the
// store has to be up to accept it, and the command hands it to an instance.
func (w *world) operate(n *node, change func()) {
	if w.store.down {
		w.after(200*time.Millisecond, func() { w.operate(n, change) })
		return
	}
	change()
	w.push(n)
}

func (w *world) liveNodes() (n int) {
	for _, o := range w.nodes {
		if !o.dead {
			n++
		}
	}
	return n
}

func (w *world) anyServer(pick func(int) int) *fakeServer { return w.servers[w.ids[pick(len(w.ids))]] }

// switchSnapshot brings the next snapshot to every server, at different times;
// each keeps the one before.
func (w *world) switchSnapshot(pick func(int) int) {
	w.everyServer(func(s *fakeServer) {
		w.after(time.Duration(pick(1500))*time.Millisecond, func() {
			last := s.snapshots[len(s.snapshots)-1]
			s.snapshots = []model.Snapshot{last, last + 1}
		})
	})
}

// repartition moves the borders between the groups: a new map epoch, which the
// servers take at different times around that of the configuration.
func (w *world) repartition(pick func(int) int) {
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
	w.accept(c)
	epoch := svc.Epoch
	w.everyServer(func(s *fakeServer) {
		w.after(time.Duration(pick(800))*time.Millisecond, func() { s.epoch = max(s.epoch, epoch) })
	})
}

// runFaults runs a world of its own with load and drawn faults, and returns it at
// rest.
func runFaults(seed uint64, pick func(n int) int) *world {
	w := newWorld(seed, testConfig(3), 3)
	w.run(3 * time.Second)
	orders := 0
	for step := range 400 {
		if step%25 == 10 {
			f := faults[pick(len(faults))]
			w.note("%s", f.name)
			f.do(w, pick)
		}
		n := w.nodes[pick(len(w.nodes))]
		n.ask(lookup())
		if step%4 == 0 {
			orders++
			w.sendOrder(fmt.Sprintf("order-%d", orders), pick)
		}
		w.run(time.Duration(5+pick(40)) * time.Millisecond)
	}
	w.run(30 * time.Second)
	w.checkEnd()
	return w
}

// sendOrder sends a non-idempotent request, and often again: at the same moment or
// later, through any instance.
func (w *world) sendOrder(key string, pick func(int) int) {
	w.nodes[pick(len(w.nodes))].ask(order(key))
	for range pick(3) {
		w.after(time.Duration(pick(5))*400*time.Millisecond, func() {
			w.nodes[pick(len(w.nodes))].ask(order(key))
		})
	}
}

func TestPromisesUnderFaults(t *testing.T) {
	const shards = 8
	for shard := range shards {
		t.Run(fmt.Sprintf("shard-%d", shard), func(t *testing.T) {
			t.Parallel()
			for i := shard; i < *promiseSeeds; i += shards {
				seed := uint64(*firstSeed + i)
				if got := runFaults(seed, newPicker(seed)); len(got.wrong) > 0 {
					t.Fatalf("seed %d:\n%s", seed, got.report())
				}
			}
		})
	}
}

// TestPromisesUnderDrawnFaults draws the same with rapid, which looks for a small
// world that breaks a promise.
func TestPromisesUnderDrawnFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		pick := func(n int) int { return rapid.IntRange(0, n-1).Draw(r, "pick") }
		if w := runFaults(rapid.Uint64().Draw(r, "seed"), pick); len(w.wrong) > 0 {
			r.Fatal(w.report())
		}
	})
}
