package engine_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

const (
	// coldPerSecond is the number of requests that a cold server may get per second, and
	// coldTime how long a server is cold.
	coldPerSecond = 10
	coldTime      = 4 * time.Second
)

// newColdFleet returns a fleet whose servers, when they start, take coldPerSecond requests a second
// for coldTime.
func newColdFleet(seed uint64, instances int) *limitedFleet {
	f := newLimitedFleet(seed, instances)
	table := *f.directory[0].Routing
	table.Version++
	table.Pools = []model.Pool{{Group: "g", Connections: 100, ColdPerSecond: coldPerSecond, WarmUp: coldTime}}
	f.directory[0].Routing = &table
	f.spread(f.directory[0])
	return f
}

// spread gives all instances changes of the directory.
func (f *limitedFleet) spread(changes ...event.DirectoryChange) {
	f.revision++
	for _, id := range f.ids {
		f.tick(f.nodes[id], event.DirectoryRead{Changes: changes, Position: event.Position{Revision: f.revision}, AsOf: f.now})
	}
}

// restartServers lets all servers start again, cold.
func (f *limitedFleet) restartServers() {
	changes := make([]event.DirectoryChange, len(f.servers))
	for i, s := range f.servers {
		s.Life += "+"
		r := s.Registration
		r.ColdFor = coldTime
		changes[i] = event.DirectoryChange{Key: "servers/" + string(s.ID), Server: &r}
	}
	f.spread(changes...)
}

// isolateAll cuts all instances off from each other.
func (f *limitedFleet) isolateAll() {
	for _, id := range f.ids {
		f.isolate(f.nodes[id])
	}
}

// maxPerSecond returns the greatest number of requests that a server got in a second since from.
func (f *limitedFleet) maxPerSecond(from time.Time) (most int) {
	for _, s := range f.servers {
		for at := from; at.Before(f.now); at = at.Add(50 * time.Millisecond) {
			most = max(most, s.arrivalsIn(at, at.Add(time.Second)))
		}
	}
	return most
}

// maxColdPerSecond is the number of requests in a second that a cold server may get.
const maxColdPerSecond = coldPerSecond*3/2 + 5

// TestUnseenInstancesShareColdServers guards against instances that don't see each other and each
// take a cold server for their own: all of them together send it no more than one may.
func TestUnseenInstancesShareColdServers(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// lose makes instances lose sight of each other.
		lose func(f *limitedFleet)
		// instances are the sizes of the deployment.
		instances []int
	}{
		{"none is lost", func(*limitedFleet) {}, []int{4, 28}},
		{"all are cut off from each other", (*limitedFleet).isolateAll, []int{4, 28}},
		{"a quarter is cut off", func(f *limitedFleet) {
			for _, id := range f.ids[:len(f.ids)/4] {
				f.isolate(f.nodes[id])
			}
		}, []int{4, 28}},
		{"all are cut off, and a quarter starts again", func(f *limitedFleet) {
			f.isolateAll()
			for _, id := range f.ids[:len(f.ids)/4] {
				f.kill(f.nodes[id])
				f.start(f.nodes[id])
			}
		}, []int{4, 28}},
		{"all start again and find nobody", func(f *limitedFleet) {
			f.isolateAll()
			for _, id := range f.ids {
				f.kill(f.nodes[id])
				f.start(f.nodes[id])
			}
		}, []int{4, 28, 118}},
	}
	for _, test := range tests {
		for _, instances := range test.instances {
			t.Run(fmt.Sprintf("%d instances, %s", instances, test.name), func(t *testing.T) {
				t.Parallel()
				f := newColdFleet(9, instances)
				// The settings name three seeds.
				f.expected, f.even = 4, true
				f.load(100, 2*time.Second)
				test.lose(f)
				f.load(100, 12*time.Second)
				f.restartServers()
				from := f.now
				f.load(10*float64(instances), coldTime)
				if got := f.maxPerSecond(from); got > maxColdPerSecond {
					t.Errorf("requests to a cold server in a second: got %d, want at most %d", got, maxColdPerSecond)
				}
			})
		}
	}
}

// TestInstancesThatNeverSawOthersShareColdServers guards against instances that start with settings
// that name seeds that are gone, find nobody, and each take a cold server for their own.
func TestInstancesThatNeverSawOthersShareColdServers(t *testing.T) {
	t.Parallel()
	f := newColdFleet(10, 4)
	f.expected = 4
	f.isolateAll()
	for _, id := range f.ids {
		f.kill(f.nodes[id])
		f.start(f.nodes[id])
	}
	f.load(100, 10*time.Second)
	f.restartServers()
	from := f.now
	f.load(100, coldTime)
	if got := f.maxPerSecond(from); got > maxColdPerSecond {
		t.Errorf("requests to a cold server in a second: got %d, want at most %d", got, maxColdPerSecond)
	}
}

// TestShareOfLostInstancesIsFreed checks that the instances that remain after most of them were lost
// for good use all that a cold server allows half a minute after they have taken them for dead.
func TestShareOfLostInstancesIsFreed(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{4, 28} {
		f := newColdFleet(11, instances)
		f.expected = 4
		for _, id := range f.ids[instances/4:] {
			f.kill(f.nodes[id])
		}
		remaining := f.ids[:instances/4]
		for range 30 {
			f.load(100, time.Second)
			if !slices.ContainsFunc(remaining, func(id model.InstanceID) bool { return len(f.nodes[id].Members.Live()) > len(remaining) }) {
				break
			}
		}
		f.load(100, 31*time.Second)
		f.restartServers()
		from := f.now
		// The instance that sends to a cold server has more requests than it may send.
		f.load(30*float64(instances), coldTime)
		for _, s := range f.servers {
			if got, want := s.arrivalsIn(from, f.now), int(0.8*coldPerSecond*coldTime.Seconds()); got < want {
				t.Errorf("%d instances: requests to %s while it is cold: got %d, want at least %d", instances, s.ID, got, want)
			}
		}
	}
}

// TestUnseenInstancesShareTheRetrySlack guards against instances that don't see each other and each
// take all of the slack of a retry budget.
func TestUnseenInstancesShareTheRetrySlack(t *testing.T) {
	t.Parallel()
	for _, instances := range []int{4, 28, 118} {
		f := newLimitedFleet(12, instances)
		f.load(20, 2*time.Second)
		f.isolateAll()
		f.load(20, 8*time.Second)
		// So slow that each attempt is hedged.
		for _, s := range f.servers {
			s.serviceTime = 150 * time.Millisecond
		}
		from, sent := f.now, int(f.lastID)
		f.load(20, 10*time.Second)
		requests, arrivals := int(f.lastID)-sent, 0
		for _, s := range f.servers {
			arrivals += s.arrivalsIn(from, f.now)
		}
		// The options of these instances.
		const ratio, slack = 0.2, 20
		if got, want := arrivals-requests, int(ratio*float64(requests))+slack; got > want {
			t.Errorf("%d instances: extra attempts in 10s: got %d for %d requests, want at most %d", instances, got, requests, want)
		}
	}
}

// TestInstancesThatStartAgainShareTheRetrySlack guards against instances that start again and again and take
// their part of the slack of a retry budget anew each time.
func TestInstancesThatStartAgainShareTheRetrySlack(t *testing.T) {
	t.Parallel()
	f := newLimitedFleet(13, 4)
	f.even, f.expected = true, 4
	f.load(10, 4*time.Second)
	// So slow that each attempt is hedged.
	for _, s := range f.servers {
		s.serviceTime = 150 * time.Millisecond
	}
	from, sent := f.now, int(f.lastID)
	for i := range 20 {
		// Two of four at a time; the others have the directory.
		for _, id := range f.ids[2*(i%2) : 2*(i%2)+2] {
			f.kill(f.nodes[id])
			f.start(f.nodes[id])
		}
		f.load(10, 500*time.Millisecond)
	}
	requests, arrivals := int(f.lastID)-sent, 0
	for _, s := range f.servers {
		arrivals += s.arrivalsIn(from, f.now)
	}
	// The options of these instances.
	const ratio, slack = 0.2, 20
	t.Logf("%d extra attempts for %d requests", arrivals-requests, requests)
	if got, want := arrivals-requests, int(ratio*float64(requests))+slack; got > want {
		t.Errorf("extra attempts in 10s: got %d for %d requests, want at most %d", got, requests, want)
	}
}

// TestServersThatRestartWhileTheStoreIsDown guards against servers that crash and start again while the
// store is down, and then get their full load from all instances although they are cold.
func TestServersThatRestartWhileTheStoreIsDown(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name string
		// even is set if the callers use all instances alike, and only if all use the first one.
		even, only bool
		downtime   time.Duration
		// meanwhile is called while the servers are down; it may be nil.
		meanwhile func(f *limitedFleet)
	}{
		{"even load, down for a moment", true, false, 300 * time.Millisecond, nil},
		{"even load", true, false, 2 * time.Second, nil},
		{"even load, down for long", true, false, 9 * time.Second, nil},
		{"uneven load", false, false, 2 * time.Second, nil},
		{"one instance has all requests, down for long", false, true, 9 * time.Second, nil},
		{"an instance starts again", true, false, 4 * time.Second, func(f *limitedFleet) {
			f.kill(f.nodes[f.ids[1]])
			f.start(f.nodes[f.ids[1]])
		}},
		{"a quarter of the instances is killed", true, false, 4 * time.Second, func(f *limitedFleet) {
			for _, id := range f.ids[:len(f.ids)/4] {
				f.kill(f.nodes[id])
			}
		}},
		{"all are cut off from each other", true, false, 4 * time.Second, (*limitedFleet).isolateAll},
	}
	for _, test := range tests {
		for _, instances := range []int{4, 28} {
			t.Run(fmt.Sprintf("%d instances, %s", instances, test.name), func(t *testing.T) {
				t.Parallel()
				f := newColdFleet(13, instances)
				f.expected, f.even = 4, test.even
				load := func(d time.Duration) {
					if !test.only {
						f.load(200, d)
						return
					}
					for at := f.now; at.Before(f.now.Add(d)); at = at.Add(5 * time.Millisecond) {
						f.queue.Set(at, func() { f.request(f.nodes[f.ids[0]]) })
					}
					f.advance(d)
				}
				load(3 * time.Second)
				f.storeDown = true
				load(500 * time.Millisecond)
				for _, s := range f.servers {
					s.dead = true
				}
				load(test.downtime / 2)
				if test.meanwhile != nil {
					test.meanwhile(f)
				}
				load(test.downtime / 2)
				for _, s := range f.servers {
					s.dead = false
				}
				from := f.now
				load(coldTime)
				if got := f.maxPerSecond(from); got > maxColdPerSecond {
					t.Errorf("requests to a cold server in a second: got %d, want at most %d", got, maxColdPerSecond)
				}
				// They are used in full again soon after.
				load(2 * time.Second)
				from = f.now
				before := f.lastID
				load(2 * time.Second)
				var got int
				for _, s := range f.servers {
					got += s.arrivalsIn(from, f.now)
				}
				if want := int(f.lastID-before) * 49 / 50; got < want {
					t.Errorf("requests to the servers in 2s, 2s after they are warm: got %d, want at least %d", got, want)
				}
			})
		}
	}
}
