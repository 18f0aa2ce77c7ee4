package member_test

import (
	"fmt"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/member"
	"hyssoppitch/core/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func instance(n int) model.Instance {
	id := fmt.Sprintf("instance-%04d", n)
	return model.Instance{ID: model.InstanceID(id), Incarnation: 1, Address: id}
}

// viewOf returns the view of instance self in a deployment of n live instances.
func viewOf(self, n int) *member.View {
	v := member.New(start, instance(self))
	for i := range n {
		if i != self {
			v.Apply(start, []event.MemberUpdate{{Instance: instance(i), State: event.MemberAlive}})
		}
	}
	return v
}

// TestLinkGraphHasFewHops checks that links are mutual, that no instance has too many, and
// that they reach every instance within a few hops.
func TestLinkGraphHasFewHops(t *testing.T) {
	tests := []struct{ instances, links, hops int }{
		{4, 3, 1}, {11, 10, 1}, {12, 8, 4}, {50, 8, 6}, {700, 8, 16}, {2800, 8, 20},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.instances), func(t *testing.T) {
			links := map[model.InstanceID][]model.Instance{}
			// All views are equal, so one view gives the links of all instances.
			view := viewOf(0, test.instances)
			for self := range test.instances {
				links[instance(self).ID] = view.NeighboursOf(instance(self).ID)
			}
			hops, reached := measureHops(links, instance(0).ID)
			if reached != test.instances || hops > test.hops {
				t.Errorf("got %d instances reached in %d hops, want %d in at most %d", reached, hops, test.instances, test.hops)
			}
			t.Logf("%d hops", hops)
			for id, ps := range links {
				if len(ps) > test.links {
					t.Fatalf("%s: got %d links, want %d at most", id, len(ps), test.links)
				}
				for _, p := range ps {
					if !contains(links[p.ID], id) {
						t.Fatalf("%s links to %s, but not vice versa", id, p.ID)
					}
				}
			}
		})
	}
}

// contains reports whether an instance is in a list.
func contains(ps []model.Instance, id model.InstanceID) bool {
	for _, p := range ps {
		if p.ID == id {
			return true
		}
	}
	return false
}

// measureHops returns the number of hops from an instance to the farthest reachable instance
// and the number of reachable instances, both by breadth-first search.
func measureHops(links map[model.InstanceID][]model.Instance, from model.InstanceID) (hops, reached int) {
	distance := map[model.InstanceID]int{from: 0}
	queue := []model.InstanceID{from}
	for len(queue) > 0 {
		id := queue[0]
		queue = queue[1:]
		hops = distance[id]
		for _, p := range links[id] {
			if _, ok := distance[p.ID]; !ok {
				distance[p.ID] = hops + 1
				queue = append(queue, p.ID)
			}
		}
	}
	return hops, len(distance)
}

// TestQuorumContact checks which sets of instances that answered a ping make a quorum.
func TestQuorumContact(t *testing.T) {
	now := start.Add(time.Hour)
	tests := []struct {
		name string
		self int
		// listed and contact hold instance numbers. contact lists the instances that have
		// just answered a ping.
		listed  []int
		contact []int
		want    bool
	}{
		{name: "alone", self: 0, listed: []int{0}, want: true},
		{name: "three of four", self: 3, listed: []int{0, 1, 2, 3}, contact: []int{1, 2}, want: true},
		{name: "two of four with the first", self: 3, listed: []int{0, 1, 2, 3}, contact: []int{0}, want: true},
		{name: "two of four, being the first", self: 0, listed: []int{0, 1, 2, 3}, contact: []int{3}, want: true},
		{name: "two of four without the first", self: 3, listed: []int{0, 1, 2, 3}, contact: []int{2}},
		{name: "one of four", self: 0, listed: []int{0, 1, 2, 3}},
		{name: "two of three", self: 1, listed: []int{0, 1, 2}, contact: []int{2}, want: true},
		{name: "one of two, the first", self: 0, listed: []int{0, 1}, want: true},
		{name: "one of two, the other", self: 1, listed: []int{0, 1}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			v := member.New(start, instance(test.self))
			var listed []event.ListedInstance
			for _, n := range test.listed {
				listed = append(listed, event.ListedInstance{ID: instance(n).ID, State: event.ListedLive})
			}
			v.SetListed(listed)
			for _, n := range test.contact {
				v.Link(start, instance(n))
				v.RecordPong(now, instance(n).ID, now)
			}
			if got := v.QuorumContact(now).Equal(now); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

// TestOwnDeathIsRefuted checks that an instance that is reported dead raises its incarnation,
// unless it has left.
func TestOwnDeathIsRefuted(t *testing.T) {
	v := viewOf(0, 3)
	fresh := v.Apply(start, []event.MemberUpdate{{Instance: instance(0), State: event.MemberDead}})
	if len(fresh) != 1 || fresh[0].State != event.MemberAlive || fresh[0].Instance.Incarnation != 2 {
		t.Errorf("got %+v, want this instance alive in incarnation 2", fresh)
	}
	v.Leave(start)
	if fresh := v.Apply(start, []event.MemberUpdate{{Instance: instance(0), State: event.MemberDead}}); len(fresh) != 0 {
		t.Errorf("after it left: got %+v, want nothing", fresh)
	}
}

// TestNewNeighbourIsNotSuspectedImmediately checks that an instance that becomes a neighbour
// again, long after its last link was closed, is dialled before it can count as silent.
func TestNewNeighbourIsNotSuspectedImmediately(t *testing.T) {
	const n = 40
	v := viewOf(0, n)
	neighbour := v.Neighbours()[0]
	now := start
	v.Link(now, neighbour)
	tick := func() (suspected bool) {
		now = now.Add(100 * time.Millisecond)
		for _, update := range v.Tick(now) {
			if update.Instance.ID == neighbour.ID && update.State == event.MemberSuspect {
				suspected = true
			}
		}
		// All other instances send messages.
		for _, m := range v.Rows() {
			if m.ID != neighbour.ID {
				v.RecordReceived(now, m.ID)
			}
		}
		return suspected
	}
	// An instance that joins takes the neighbour's place on the ring, and leaves again.
	joiner := -1
	for i := n; joiner < 0; i++ {
		v.Apply(now, []event.MemberUpdate{{Instance: instance(i), State: event.MemberAlive}})
		if !contains(v.Neighbours(), neighbour.ID) {
			joiner = i
			break
		}
		v.Apply(now, []event.MemberUpdate{{Instance: instance(i), State: event.MemberLeft}})
	}
	now = now.Add(time.Second)
	v.Unlink(now, neighbour.ID)
	for range 50 {
		if tick() {
			t.Fatal("suspected while it was not a neighbour")
		}
	}
	v.Apply(now, []event.MemberUpdate{{Instance: instance(joiner), State: event.MemberLeft}})
	if !contains(v.Neighbours(), neighbour.ID) {
		t.Fatal("the instance did not become a neighbour again")
	}
	neighbourSince := now
	for range 4 {
		if tick() {
			t.Fatalf("suspected %v after it became a neighbour again", now.Sub(neighbourSince))
		}
	}
	suspected := false
	for range 10 {
		suspected = suspected || tick()
	}
	if !suspected {
		t.Error("never suspected, although no link to it was established")
	}
}
