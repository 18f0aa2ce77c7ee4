package engine_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/core/member"
	"hyssoppitch/core/model"
)

// BenchmarkMaintenance measures the CPU time of one run of the periodic work of an
// instance, by the number of peers that it knows.
func BenchmarkMaintenance(b *testing.B) {
	for _, peers := range []int{4, 100, 700, 2800} {
		b.Run(fmt.Sprintf("peers-%d", peers), func(b *testing.B) {
			now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
			e := engine.New(now, model.Instance{ID: "self", Incarnation: 1, Address: "127.0.0.1:1"}, engine.Options{})
			e.Tick(now, memberEvents(peers))
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(time.Second / 2)
				e.Tick(now, nil)
			}
		})
	}
}

// memberEvents returns the events by which an engine receives a view with other
// instances from one linked peer.
func memberEvents(peers int) []event.Event {
	peer := model.Instance{ID: "peer", Incarnation: 1, Address: "127.0.0.1:2"}
	return []event.Event{
		event.PeerLinked{Peer: peer},
		event.MessageReceived{From: "peer", Message: event.Message{Members: &event.Members{Updates: memberUpdates(peers), Full: true}}},
	}
}

// memberUpdates returns an update for each of a number of live instances.
func memberUpdates(peers int) []event.MemberUpdate {
	updates := make([]event.MemberUpdate, peers)
	for i := range updates {
		updates[i] = event.MemberUpdate{Instance: model.Instance{
			ID: model.InstanceID(fmt.Sprintf("instance-%04d", i)), Incarnation: 1, Address: fmt.Sprintf("10.0.%d.%d:9080", i/256, i%256), DataCentre: "harbour",
		}, State: event.MemberAlive}
	}
	return updates
}

// BenchmarkViewMemory reports the memory that one instance needs in a membership view.
func BenchmarkViewMemory(b *testing.B) {
	const peers = 2800
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		v := member.New(now, model.Instance{ID: "self"})
		v.Apply(now, memberUpdates(peers))
		runtime.GC()
		runtime.ReadMemStats(&after)
		runtime.KeepAlive(v)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/peers, "bytes/instance")
	}
}
