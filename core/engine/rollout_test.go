package engine_test

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/rollo"
)

// rolloutFleet is a mesh whose callers send requests to one group, with three servers of the old
// version and three of a new one, and a store that takes conditional writes.
type rolloutFleet struct {
	*mesh
	rand     *rand.Rand
	perTick  float64
	lastID   event.QueryID
	duration time.Duration
	// behave returns the latency of an answer and whether it is a failure.
	behave func(newer bool, route string) (latency time.Duration, failed bool)
	// breaks makes the failures of behave broken connections in place of replies.
	breaks bool
	// stopped is a version whose servers have stopped; empty for none.
	stopped string
	// faulty is a server whose answers are slow; empty for none.
	faulty model.ServerID
	// sentBy counts the requests that each instance sent to each version.
	sentBy map[model.InstanceID]map[string]int
	// status is the entry in the store; statusRevision is its revision.
	status *model.RolloutStatus
	// statuses holds all statuses that were written, and orderedAt is when the last order was.
	statuses  []model.RolloutStatus
	orderedAt time.Time
	writes    int
	// loseReply lets the store carry out the next write without a reply.
	loseReply bool
	// sent holds when requests were sent to servers, by version, and bad when the new version's
	// bad answers were.
	sent map[string][]time.Time
	bad  []time.Time
	// runs counts how often each request that can't be repeated was sent.
	runs     map[string]int
	refused  int
	requests map[model.InstanceID]map[event.QueryID]string
}

const (
	rolloutTick = 10 * time.Millisecond
	orderKey    = "op/rollout/g"
	statusKey   = "status/rollout/g"
)

// versionedServer returns the directory entry of a server of group g.
func versionedServer(version string, i int) event.DirectoryChange {
	c := serverEntry(fmt.Sprintf("%s-%d", version, i), fmt.Sprintf("dc%d", i%meshDataCentres))
	c.Server.Version = version
	return c
}

// newRolloutFleet returns a fleet with servers of the versions v1 and v2, of which v2 is not ordered
// yet, and the given requests per second.
func newRolloutFleet(t *testing.T, instances int, perSecond float64) *rolloutFleet {
	t.Helper()
	route := func(name string, repeatable bool) model.Route {
		return model.Route{
			Name: name, Host: "h", Prefix: "/" + name + "/", Idempotent: repeatable, Attempts: 2, Timeout: 2 * time.Second, Target: 300 * time.Millisecond,
			Shares: []model.Share{{Group: "g", Weight: 1}},
		}
	}
	gather := route("gather", true)
	gather.Shares, gather.Gather, gather.LeastCoverage = nil, []string{"g"}, 1
	table := &model.RoutingTable{Version: 1, Routes: []model.Route{route("read", true), route("once", false), gather}}
	directory := []event.DirectoryChange{{Key: "routes", Routing: table}}
	for i := range 3 {
		directory = append(directory, versionedServer("v1", i))
	}
	f := &rolloutFleet{
		mesh: newMeshWith(instances, directory), rand: rand.New(rand.NewPCG(uint64(instances), 5)), perTick: perSecond * rolloutTick.Seconds(),
		sentBy: map[model.InstanceID]map[string]int{}, sent: map[string][]time.Time{}, runs: map[string]int{}, requests: map[model.InstanceID]map[event.QueryID]string{},
		behave: func(bool, string) (time.Duration, bool) { return 0, false },
	}
	f.onCommand = f.execute
	f.advance(5 * time.Second)
	f.load()
	f.advance(2 * time.Second)
	return f
}

// load sends requests to running instances.
func (f *rolloutFleet) load() {
	f.queue.Set(f.now.Add(rolloutTick), f.load)
	for want := f.perTick; want > 0; want-- {
		if f.rand.Float64() >= want {
			continue
		}
		n := f.nodes[f.ids[f.rand.IntN(len(f.ids))]]
		if n.down || !n.Roster.Loaded() {
			continue
		}
		f.lastID++
		name := []string{"read", "once", "gather"}[f.rand.IntN(3)]
		if f.requests[n.id] == nil {
			f.requests[n.id] = map[event.QueryID]string{}
		}
		f.requests[n.id][f.lastID] = name
		f.tick(n, event.RoutedArrived{Request: event.RoutedRequest{
			Query: f.lastID, RequestID: fmt.Sprint(f.lastID), Host: "h", Path: "/" + name + "/x", CallerTimeout: 2 * time.Second,
		}})
	}
}

// execute executes the commands that the mesh leaves to it.
func (f *rolloutFleet) execute(n *meshNode, c event.Command) {
	switch c := c.(type) {
	case event.SendExchange:
		f.exchange(n, c)
	case event.RoutedRefusal:
		f.refused++
	case event.WriteRollout:
		f.write(n, c)
	}
}

// exchange simulates one exchange with a server.
func (f *rolloutFleet) exchange(n *meshNode, c event.SendExchange) {
	version, _, _ := strings.Cut(string(c.Server), "-")
	if version == f.stopped {
		starts := n.starts
		f.queue.Set(f.now.Add(time.Millisecond), func() {
			if n.starts == starts {
				f.tick(n, event.ExchangeEnded{Attempt: c.Attempt, Server: c.Server, Kind: event.NotSent, Detail: "connection refused"})
			}
		})
		return
	}
	f.sent[version] = append(f.sent[version], f.now)
	name := f.requests[n.id][c.Attempt.Query]
	if name == "once" {
		f.runs[c.RequestID]++
	}
	extra, failed := f.behave(version != "v1", name)
	if version != "v1" && (failed || extra > 0) {
		f.bad = append(f.bad, f.now)
	}
	latency := 8*time.Millisecond + time.Duration(f.rand.Int64N(int64(6*time.Millisecond))) + extra
	if c.Server == f.faulty {
		latency += 60 * time.Millisecond
	}
	if f.sentBy[n.id] == nil {
		f.sentBy[n.id] = map[string]int{}
	}
	f.sentBy[n.id][version]++
	starts := n.starts
	f.queue.Set(f.now.Add(latency), func() {
		reply := &event.Reply{Status: 200, Stamp: string(c.Server)}
		if failed {
			reply.Status = 500
		}
		switch {
		case n.starts != starts:
		case failed && f.breaks:
			f.tick(n, event.ExchangeEnded{Attempt: c.Attempt, Server: c.Server, Kind: event.Died, Detail: "EOF"})
		default:
			f.tick(n, event.ExchangeEnded{Attempt: c.Attempt, Server: c.Server, Kind: event.Answered, Reply: reply})
		}
	})
}

// write carries out a conditional write.
func (f *rolloutFleet) write(n *meshNode, c event.WriteRollout) {
	f.writes++
	starts := n.starts
	reply := func(v event.RolloutWritten) {
		v.Group, v.Era = c.Status.Group, f.era
		f.queue.Set(f.now.Add(3*time.Millisecond), func() {
			if n.starts == starts {
				f.tick(n, v)
			}
		})
	}
	var revision uint64
	if f.status != nil {
		revision = f.status.Revision
	}
	switch {
	case f.storeDown || n.cutOff:
		reply(event.RolloutWritten{Result: event.WriteUnknown, Detail: "down"})
		return
	case revision != c.Expected:
		reply(event.RolloutWritten{Result: event.WriteConflict, Status: f.status})
		return
	}
	s := c.Status
	s.Revision = f.revision + 1
	f.status = &s
	f.statuses = append(f.statuses, s)
	f.change(event.DirectoryChange{Key: statusKey, Rollout: &s})
	if f.loseReply {
		f.loseReply = false
		reply(event.RolloutWritten{Result: event.WriteUnknown, Detail: "no reply"})
		return
	}
	reply(event.RolloutWritten{Result: event.WriteDone, Status: &s})
}

// change changes entries of the directory, which its readers see 200 ms later.
func (f *rolloutFleet) change(changes ...event.DirectoryChange) {
	f.mesh.change(changes...)
	f.queue.Set(f.now.Add(200*time.Millisecond), func() {
		for _, id := range f.ids {
			f.readOnce(f.nodes[id])
		}
	})
}

// order starts servers of a version and orders it half a second later.
func (f *rolloutFleet) order(version string, d time.Duration) {
	for i := range 3 {
		f.change(versionedServer(version, i))
	}
	f.orderOnly(version, d)
}

// orderOnly orders a version.
func (f *rolloutFleet) orderOnly(version string, d time.Duration) {
	f.orderedAt, f.duration = f.now, d
	f.change(event.DirectoryChange{Key: orderKey, Order: &model.RolloutOrder{Group: "g", Version: version, Duration: d, Revision: f.revision + 1}})
}

// untilDecided advances until the status is final, and returns how long that took since the order. It
// fails the test if that is after the deadline.
func (f *rolloutFleet) untilDecided(t *testing.T, version string) time.Duration {
	t.Helper()
	for f.status == nil || f.status.Version != version || !f.status.Final() {
		f.advance(100 * time.Millisecond)
		if f.now.Sub(f.orderedAt) > f.duration+100*time.Millisecond {
			t.Fatalf("no decision by the deadline: status %+v", f.status)
		}
	}
	return f.now.Sub(f.orderedAt)
}

// since returns how many requests were sent to a version after a time.
func (f *rolloutFleet) since(version string, at time.Time) (n int) {
	for _, s := range f.sent[version] {
		if s.After(at) {
			n++
		}
	}
	return n
}

// check checks the state of a decided roll-out, that nothing is sent to the wrong version after it,
// the bounds of what a bad version may do, and that requests that can't be repeated were sent once.
func (f *rolloutFleet) check(t *testing.T, version string, want model.RolloutState) {
	t.Helper()
	took := f.untilDecided(t, version)
	f.advance(500 * time.Millisecond)
	settled := f.now
	f.advance(f.orderedAt.Add(f.duration + time.Second).Sub(f.now))
	if got := f.status.State; got != want {
		t.Fatalf("state after %v: got %s (%s), want %s; statuses %+v", took, got, f.status.Reason, want, f.statuses)
	}
	t.Logf("%s after %v: %s; %d writes, %d bad answers, %d refusals", want, took, f.status.Reason, f.writes, len(f.bad), f.refused)
	if want == model.RolloutCompleted {
		if got := f.since("v1", settled); got > 0 {
			t.Errorf("requests to old servers after the roll-out was completed: got %d, want 0", got)
		}
		if got := f.since(version, settled); got == 0 {
			t.Errorf("requests to new servers after the roll-out was completed: got none")
		}
	} else {
		if got := f.since(version, settled); got > 0 {
			t.Errorf("requests to new servers after the rollback: got %d, want 0", got)
		}
		total := f.since("v1", f.orderedAt) + f.since(version, f.orderedAt)
		got, allowed := f.since(version, f.orderedAt), 0.1*float64(total)+50
		t.Logf("%d of %d requests went to the new version, %.0f allowed", got, total, allowed)
		if float64(got) > allowed {
			t.Errorf("requests to the bad version: got %d of %d, want at most %.0f", got, total, allowed)
		}
		if len(f.bad) >= 50 {
			if got := f.since(version, f.bad[49].Add(5*time.Second)); got > 0 {
				t.Errorf("requests later than 5s after the 50th bad answer: got %d, want 0", got)
			}
		}
	}
	for request, n := range f.runs {
		if n > 1 {
			t.Fatalf("request %s can't be repeated: sent %d times, want once", request, n)
		}
	}
}

// share returns the share of v2 in the requests of the last two seconds.
func (f *rolloutFleet) share() float64 {
	target := f.since("v2", f.now.Add(-2*time.Second))
	return float64(target) / float64(max(1, target+f.since("v1", f.now.Add(-2*time.Second))))
}

// TestRolloutIsDecided plays roll-outs of good and bad versions. The failures that it guards against: a
// good version that isn't completed by its deadline, or is condemned because all servers are in
// trouble; and a bad one that is accepted or gets more requests than it may, whatever is bad about it.
func TestRolloutIsDecided(t *testing.T) {
	t.Parallel()
	slow := 40 * time.Millisecond
	type behaviour func(f *rolloutFleet) func(newer bool, route string) (time.Duration, bool)
	since := func(f *rolloutFleet) float64 { return f.now.Sub(f.orderedAt).Seconds() / f.duration.Seconds() }
	tests := []struct {
		name     string
		behave   behaviour
		duration time.Duration
		want     model.RolloutState
		// perSecond is the number of requests per second; zero means 120.
		perSecond float64
	}{
		{"good", func(*rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(bool, string) (time.Duration, bool) { return 0, false }
		}, 30 * time.Second, model.RolloutCompleted, 0},
		{"good, 15 s", func(*rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(bool, string) (time.Duration, bool) { return 0, false }
		}, 15 * time.Second, model.RolloutCompleted, 0},
		{"good, few requests", func(*rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(bool, string) (time.Duration, bool) { return 0, false }
		}, 40 * time.Second, model.RolloutCompleted, 4},
		{"fails, few requests", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(newer bool, _ string) (time.Duration, bool) { return 0, newer && f.rand.Float64() < 0.5 }
		}, 40 * time.Second, model.RolloutRolledBack, 4},
		{"fails, many requests", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(newer bool, _ string) (time.Duration, bool) { return 0, newer && f.rand.Float64() < 0.2 }
		}, 30 * time.Second, model.RolloutRolledBack, 900},
		{"fails under load, many requests", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(newer bool, _ string) (time.Duration, bool) {
				return 0, newer && f.share() > 0.3 && f.rand.Float64() < 0.3
			}
		}, 30 * time.Second, model.RolloutRolledBack, 900},
		{"every server pauses now and then", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(bool, string) (time.Duration, bool) {
				if f.now.UnixMilli()%3600 < 150 {
					return 100 * time.Millisecond, false
				}
				return 0, false
			}
		}, 40 * time.Second, model.RolloutCompleted, 300},
		{"fails at once", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(newer bool, _ string) (time.Duration, bool) { return 0, newer && f.rand.Float64() < 0.4 }
		}, 30 * time.Second, model.RolloutRolledBack, 0},
		{"is slow", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(newer bool, _ string) (time.Duration, bool) {
				if newer && f.rand.Float64() < 0.4 {
					return slow, false
				}
				return 0, false
			}
		}, 30 * time.Second, model.RolloutRolledBack, 0},
		{"fails on one route", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(newer bool, route string) (time.Duration, bool) {
				return 0, newer && route == "gather" && f.rand.Float64() < 0.5
			}
		}, 30 * time.Second, model.RolloutRolledBack, 0},
		{"fails late", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(newer bool, _ string) (time.Duration, bool) {
				return 0, newer && since(f) > 0.5 && f.rand.Float64() < 0.4
			}
		}, 40 * time.Second, model.RolloutRolledBack, 0},
		{"fails under load", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(newer bool, _ string) (time.Duration, bool) {
				return 0, newer && f.share() > 0.3 && f.rand.Float64() < 0.5
			}
		}, 40 * time.Second, model.RolloutRolledBack, 0},
		{"all servers fail for a time", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(bool, string) (time.Duration, bool) {
				return 0, since(f) > 0.3 && since(f) < 0.5 && f.rand.Float64() < 0.4
			}
		}, 40 * time.Second, model.RolloutCompleted, 0},
		{"all servers are slow for a time", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(bool, string) (time.Duration, bool) {
				if since(f) > 0.2 && since(f) < 0.5 && f.rand.Float64() < 0.5 {
					return slow, false
				}
				return 0, false
			}
		}, 40 * time.Second, model.RolloutCompleted, 0},
		{"bad while all servers fail as well", func(f *rolloutFleet) func(bool, string) (time.Duration, bool) {
			return func(newer bool, _ string) (time.Duration, bool) {
				return 0, f.rand.Float64() < 0.05 || (newer && f.rand.Float64() < 0.5)
			}
		}, 40 * time.Second, model.RolloutRolledBack, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newRolloutFleet(t, 12, cmp.Or(test.perSecond, 120))
			f.duration, f.orderedAt = test.duration, f.now
			f.behave = test.behave(f)
			f.order("v2", test.duration)
			f.check(t, "v2", test.want)
		})
	}
}

// TestBadVersionIsNotAcceptedOnFewAnswers plays short roll-outs of a version that fails half of its requests,
// in a group that gets few. The failure that it guards against: the version is completed as its bad answers
// are too few to condemn it early, or are counted too late.
func TestBadVersionIsNotAcceptedOnFewAnswers(t *testing.T) {
	t.Parallel()
	for _, perSecond := range []float64{5, 10, 20, 40} {
		for _, breaks := range []bool{false, true} {
			t.Run(fmt.Sprintf("%.0f a second, connections break %t", perSecond, breaks), func(t *testing.T) {
				t.Parallel()
				for seed := range uint64(30) {
					f := newRolloutFleet(t, 4, perSecond)
					f.rand, f.breaks = rand.New(rand.NewPCG(seed, 11)), breaks
					f.behave = func(newer bool, _ string) (time.Duration, bool) { return 0, newer && f.rand.Float64() < 0.5 }
					f.order("v2", 13*time.Second)
					f.check(t, "v2", model.RolloutRolledBack)
				}
			})
		}
	}
}

// TestGoodVersionIsAcceptedDespiteFailures checks that one failure in a hundred answers, of all servers,
// condemns no version when it gets all requests and nothing can be compared with it any more.
func TestGoodVersionIsAcceptedDespiteFailures(t *testing.T) {
	t.Parallel()
	for seed := range uint64(16) {
		f := newRolloutFleet(t, 4, 40)
		f.rand = rand.New(rand.NewPCG(seed, 11))
		f.behave = func(bool, string) (time.Duration, bool) { return 0, f.rand.Float64() < 0.01 }
		f.order("v2", 13*time.Second)
		f.check(t, "v2", model.RolloutCompleted)
	}
}

// TestRolloutSurvivesFailures plays roll-outs while instances or the store fail. The failures that it
// guards against: a roll-out that nobody continues, a bad version that is used until the store
// answers, and two decisions on one order.
func TestRolloutSurvivesFailures(t *testing.T) {
	t.Parallel()
	bad := func(f *rolloutFleet) {
		f.behave = func(newer bool, _ string) (time.Duration, bool) { return 0, newer && f.rand.Float64() < 0.4 }
	}
	// writer returns the instance that would write the status, as it reads the directory.
	killReaders := func(f *rolloutFleet) {
		killed := 0
		for _, id := range f.ids {
			if n := f.nodes[id]; n.readsDirectory && killed < 3 {
				f.kill(n)
				killed++
			}
		}
	}
	tests := []struct {
		name string
		play func(f *rolloutFleet)
		want model.RolloutState
	}{
		{"half of the readers are killed halfway", func(f *rolloutFleet) {
			f.order("v2", 40*time.Second)
			f.advance(18 * time.Second)
			killReaders(f)
		}, model.RolloutCompleted},
		{"readers are killed and the version turns bad", func(f *rolloutFleet) {
			f.order("v2", 40*time.Second)
			f.advance(18 * time.Second)
			killReaders(f)
			bad(f)
		}, model.RolloutRolledBack},
		{"the store is away when a bad version shows", func(f *rolloutFleet) {
			f.order("v2", 40*time.Second)
			f.advance(6 * time.Second)
			f.storeDown = true
			bad(f)
			f.advance(15 * time.Second)
			f.storeDown = false
		}, model.RolloutRolledBack},
		{"the store is away halfway", func(f *rolloutFleet) {
			f.order("v2", 40*time.Second)
			f.advance(20 * time.Second)
			f.storeDown = true
			f.advance(8 * time.Second)
			f.storeDown = false
		}, model.RolloutCompleted},
		{"replies are lost", func(f *rolloutFleet) {
			f.order("v2", 40*time.Second)
			for range 35 {
				f.loseReply = true
				f.advance(time.Second)
			}
		}, model.RolloutCompleted},
		{"all instances start again halfway", func(f *rolloutFleet) {
			f.order("v2", 40*time.Second)
			f.advance(15 * time.Second)
			for _, id := range f.ids {
				f.kill(f.nodes[id])
			}
			f.advance(time.Second)
			for _, id := range f.ids {
				f.start(f.nodes[id])
			}
		}, model.RolloutCompleted},
		{"all start again and the version turns bad", func(f *rolloutFleet) {
			f.order("v2", 40*time.Second)
			f.advance(15 * time.Second)
			for _, id := range f.ids {
				f.kill(f.nodes[id])
			}
			f.advance(time.Second)
			for _, id := range f.ids {
				f.start(f.nodes[id])
			}
			bad(f)
		}, model.RolloutRolledBack},
		{"an instance can't reach the store", func(f *rolloutFleet) {
			for _, id := range f.ids {
				if n := f.nodes[id]; n.readsDirectory {
					n.cutOff = true
					break
				}
			}
			f.order("v2", 40*time.Second)
		}, model.RolloutCompleted},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			f := newRolloutFleet(t, 18, 120)
			test.play(f)
			f.check(t, "v2", test.want)
			final := 0
			for _, s := range f.statuses {
				if s.Final() {
					final++
				}
			}
			if final != 1 {
				t.Errorf("final statuses: got %d, want 1: %+v", final, f.statuses)
			}
		})
	}
}

// TestFaultyServerCondemnsNoVersion checks that a good version is completed although one of its servers
// is slow throughout.
func TestFaultyServerCondemnsNoVersion(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 12, 120)
	f.faulty = "v2-1"
	f.order("v2", 40*time.Second)
	f.check(t, "v2", model.RolloutCompleted)
}

// TestCutOffInstanceKeepsToOldServers checks an instance that is cut off from the store and its peers
// during a roll-out. The failures that it guards against: it sends requests to a bad version long after
// the others have rolled it back, and it refuses all requests once the old servers have stopped.
func TestCutOffInstanceKeepsToOldServers(t *testing.T) {
	t.Parallel()
	cutOff := func(f *rolloutFleet) *meshNode {
		n := f.nodes[f.ids[7]]
		n.cutOff, n.isolated = true, true
		return n
	}
	t.Run("bad version", func(t *testing.T) {
		t.Parallel()
		f := newRolloutFleet(t, 12, 120)
		f.order("v2", 60*time.Second)
		f.advance(6 * time.Second)
		n := cutOff(f)
		f.advance(5 * time.Second)
		before, old := f.sentBy[n.id]["v2"], f.sentBy[n.id]["v1"]
		f.advance(20 * time.Second)
		if got := f.sentBy[n.id]["v2"] - before; got > 0 {
			t.Errorf("requests of the cut-off instance to the new version: got %d, want 0", got)
		}
		if got := f.sentBy[n.id]["v1"] - old; got < 50 {
			t.Errorf("requests of the cut-off instance to the old version: got %d, want at least 50", got)
		}
	})
	t.Run("completed", func(t *testing.T) {
		t.Parallel()
		f := newRolloutFleet(t, 12, 120)
		f.order("v2", 20*time.Second)
		f.advance(6 * time.Second)
		n := cutOff(f)
		f.untilDecided(t, "v2")
		if f.status.State != model.RolloutCompleted {
			t.Fatalf("status: got %+v, want completed", f.status)
		}
		f.stopped = "v1"
		f.advance(2 * time.Second)
		before, refused := f.sentBy[n.id]["v2"], f.refused
		f.advance(5 * time.Second)
		if got := f.sentBy[n.id]["v2"] - before; got < 20 {
			t.Errorf("requests of the cut-off instance to the new version: got %d, want at least 20; %d were refused", got, f.refused-refused)
		}
	})
}

// TestBadVersionStopsWithoutStore checks that a bad version gets no more requests while the store, to
// which its status would be written, is away.
func TestBadVersionStopsWithoutStore(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 18, 300)
	f.order("v2", 60*time.Second)
	f.advance(6 * time.Second)
	f.storeDown = true
	f.behave = func(newer bool, _ string) (time.Duration, bool) { return 0, newer && f.rand.Float64() < 0.5 }
	f.advance(15 * time.Second)
	if got := len(f.bad); got >= 50 {
		t.Errorf("bad answers: got %d, want less than 50", got)
	}
	if got := f.since("v2", f.now.Add(-5*time.Second)); got > 0 {
		t.Errorf("requests to the bad version after 10s: got %d, want 0", got)
	}
	f.storeDown = false
	f.check(t, "v2", model.RolloutRolledBack)
}

// TestOrdersOfRollouts checks orders that are replaced, withdrawn or can't be carried out.
func TestOrdersOfRollouts(t *testing.T) {
	t.Parallel()
	t.Run("two orders: the newer one counts", func(t *testing.T) {
		t.Parallel()
		f := newRolloutFleet(t, 12, 120)
		f.order("v2", 40*time.Second)
		f.advance(10 * time.Second)
		f.order("v3", 40*time.Second)
		f.advance(2 * time.Second)
		at := f.now
		f.check(t, "v3", model.RolloutCompleted)
		if got := f.since("v2", at); got > 0 {
			t.Errorf("requests to the version of the replaced order: got %d, want 0", got)
		}
	})
	t.Run("withdrawn: all versions are used as before", func(t *testing.T) {
		t.Parallel()
		f := newRolloutFleet(t, 12, 120)
		f.order("v2", 40*time.Second)
		f.advance(10 * time.Second)
		f.change(event.DirectoryChange{Key: orderKey})
		f.advance(4 * time.Second)
		if got := f.share(); got < 0.3 {
			t.Errorf("share of the new version after the order was withdrawn: got %.2f, want about a half", got)
		}
		if f.status == nil || f.status.State != model.RolloutRunning {
			t.Errorf("status: got %+v, want running", f.status)
		}
	})
	t.Run("no server of the target version: rolled back at the deadline", func(t *testing.T) {
		t.Parallel()
		f := newRolloutFleet(t, 12, 120)
		f.orderOnly("v9", 15*time.Second)
		f.advance(10 * time.Second)
		if f.status == nil || f.status.State != model.RolloutRunning {
			t.Fatalf("status before the deadline: got %+v, want running", f.status)
		}
		f.check(t, "v9", model.RolloutRolledBack)
		if got, want := f.status.Reason, "no server of the target version"; !strings.Contains(got, want) {
			t.Errorf("reason: got %q, want %q", got, want)
		}
	})
	t.Run("servers appear after the order: the share is kept", func(t *testing.T) {
		t.Parallel()
		f := newRolloutFleet(t, 12, 120)
		f.orderOnly("v2", 60*time.Second)
		f.advance(5 * time.Second)
		for i := range 3 {
			f.change(versionedServer("v2", i))
		}
		f.advance(4 * time.Second)
		if got := f.share(); got > 0.12 {
			t.Errorf("share of the new version: got %.2f, want at most 0.12", got)
		}
	})
	t.Run("the next roll-out excludes neither the completed nor admits the old version", func(t *testing.T) {
		t.Parallel()
		f := newRolloutFleet(t, 12, 120)
		f.order("v2", 15*time.Second)
		f.check(t, "v2", model.RolloutCompleted)
		f.bad = nil
		f.behave = func(bool, string) (time.Duration, bool) { return 0, false }
		f.order("v3", 15*time.Second)
		at := f.now
		f.check(t, "v3", model.RolloutCompleted)
		if got := f.since("v1", at); got > 0 {
			t.Errorf("requests to the version before the last: got %d, want 0", got)
		}
	})
	t.Run("the store is restored after a rollback: the version stays unused", func(t *testing.T) {
		t.Parallel()
		f := newRolloutFleet(t, 12, 120)
		f.behave = func(newer bool, _ string) (time.Duration, bool) { return 0, newer }
		directory, revision := slices.Clone(f.directory), f.revision
		for i := range 3 {
			directory = append(directory, versionedServer("v2", i))
		}
		f.order("v2", 60*time.Second)
		f.untilDecided(t, "v2")
		f.advance(2 * time.Second)
		at := f.now
		f.restore(revision, directory)
		f.status = nil
		f.advance(3 * time.Second)
		f.orderOnly("v2", 60*time.Second)
		f.advance(10 * time.Second)
		if got, want := f.writes, 20; got > want {
			t.Errorf("writes: got %d, want at most %d", got, want)
		}
		var messages uint64
		for _, id := range f.ids {
			c := f.nodes[id].RolloutCounters()
			messages += c.Reports + c.Decisions
		}
		t.Logf("%d writes, %d messages, revision %d", f.writes, messages, f.revision)
		if got := f.since("v2", at); got > 0 {
			t.Errorf("requests to the rejected version after the restoration: got %d, want 0", got)
		}
		if f.status == nil || f.status.State != model.RolloutRolledBack {
			t.Errorf("status after the restoration: got %+v after %d writes, want rolled_back", f.status, f.writes)
		}
	})
}

// TestNoOrderChangesNothing checks that without an order no message about roll-outs is sent and no
// status is written, although the servers have versions.
func TestNoOrderChangesNothing(t *testing.T) {
	t.Parallel()
	f := newRolloutFleet(t, 12, 120)
	for i := range 3 {
		f.change(versionedServer("v2", i))
	}
	f.advance(5 * time.Second)
	if got := f.share(); got < 0.3 || got > 0.7 {
		t.Errorf("share of the other version: got %.2f, want about a half", got)
	}
	for _, id := range f.ids {
		if c := f.nodes[id].RolloutCounters(); c.Reports+c.Decisions+c.Writes > 0 {
			t.Fatalf("%s: got %+v, want no work for roll-outs", id, c)
		}
	}
}

// TestAnswersAreCountedOverFleet checks that the instances that decide know within 1.5 s of one bad
// answer at each instance. The failure that it guards against: a version whose bad answers are spread
// over many instances is noticed by none of them.
func TestAnswersAreCountedOverFleet(t *testing.T) {
	t.Parallel()
	for _, size := range []int{25, 300} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			t.Parallel()
			f := newRolloutFleet(t, size, 20)
			f.order("v2", 5*time.Minute)
			f.advance(4 * time.Second)
			f.sentBytes()
			f.advance(2 * time.Second)
			before, _ := f.sentBytes()
			r := f.nodes[f.ids[0]].Rollouts.Get("g")
			key := rollo.Key{Group: "g", Order: r.Order.Revision, Route: "read", Side: rollo.SideOld, Outcome: rollo.OutcomeSlow}
			count := func() {
				for _, id := range f.ids {
					answer := key
					answer.Outcome = rollo.OutcomeAnswer
					f.nodes[id].Relay.Answers.Add(f.now, answer, 1)
					f.nodes[id].Relay.Answers.Add(f.now, key, 1)
				}
			}
			count()
			f.advance(1500 * time.Millisecond)
			var most uint64
			for _, id := range f.ids {
				most = max(most, f.nodes[id].Relay.Answers.Total(key))
			}
			if got, want := most, uint64(size); got != want {
				t.Errorf("%d instances: bad answers counted within 1.5s: got %d, want %d", size, got, want)
			}
			mean, peak := f.sentBytes()
			t.Logf("%d instances: %d bytes per second each during the roll-out, then %d on average and at most %d", size, before/2, mean*2/3, peak*2/3)
			if got, want := mean*2/3, 5000; got > want {
				t.Errorf("%d instances: got %d bytes per second, want at most %d", size, got, want)
			}
			key.Side, key.Outcome = rollo.SideNew, rollo.OutcomeFailed
			count()
			f.advance(2 * time.Second)
			for _, id := range f.ids {
				if s := f.nodes[id].Rollouts.Get("g").Status; s.State != model.RolloutRolledBack {
					t.Fatalf("%d instances: %s: status 2s after a bad answer at each instance: got %+v, want rolled_back", size, id, s)
				}
			}
		})
	}
}
