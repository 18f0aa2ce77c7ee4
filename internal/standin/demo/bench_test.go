package demo_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"syscall"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/decl"
	"hyssoppitch/internal/standin/demo"
	"hyssoppitch/internal/standin/fleet"
	"hyssoppitch/internal/standin/load"
	"hyssoppitch/io/back"
	"hyssoppitch/io/front"
	"hyssoppitch/io/guard"
)

// startWorld starts one instance and a service with the given number of groups. The
// servers are warm and answer without delay.
func startWorld(b *testing.B, groups int) *demo.World {
	b.Helper()
	d := &decl.Deployment{}
	d.DataCentre("bay", "west")
	s := decl.Service{
		Name: "desk", MapEpoch: 1, Slots: 4, Connections: 100,
		Classes: []decl.Class{{Name: "search", Deadline: time.Second, LeastCoverage: 1}},
	}
	for g := range groups {
		s.Groups = append(s.Groups, []decl.Server{{ID: fmt.Sprintf("s%d", g), Address: fmt.Sprintf("127.0.0.1:%d", 21000+g), DataCentre: "bay"}})
	}
	d.Service(s)
	config, err := d.Config()
	if err != nil {
		b.Fatal(err)
	}
	w, err := demo.Start(context.Background(), demo.Plan{
		Config: config, Instances: 1, Fleet: fleet.Options{StartWarm: true, Snapshots: []model.Snapshot{1}},
	})
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(w.Close)
	for {
		reply, err := w.Send(context.Background(), w.Instances[0], "desk", query(), "")
		if err == nil && reply.Answer != nil && reply.Answer.Status == event.StatusComplete && w.ColdServers() == 0 {
			return w
		}
	}
}

func query() front.Query { return front.Query{Query: json.RawMessage(`{"a":1}`)} }

// BenchmarkDirect calls one backend server directly, without an instance in between.
func BenchmarkDirect(b *testing.B) {
	w := startWorld(b, 1)
	client := back.New(systemClock{}, "bay", 4, guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}), func(string) {})
	defer client.Close()
	server := w.Config.Services[0].Groups[0].Servers[0]
	for n := 0; b.Loop(); n++ {
		end := client.Send(context.Background(), event.SendAttempt{
			Attempt: event.AttemptID{Instance: "bench", Query: event.QueryID(n), Number: 1}, Server: server.ID, Address: server.Address,
			Service: "desk", Group: "g00", Snapshot: 1, Epoch: 1, Body: []byte(`{"a":1}`), Deadline: time.Now().Add(time.Second),
		})
		if end.Kind != event.Answered {
			b.Fatal(end.Kind)
		}
	}
}

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// BenchmarkThroughTier sends queries through one instance. With one group, the difference
// from BenchmarkDirect is the time spent in the instance. The reported CPU time per leg is
// that of the process, including stand-ins and caller.
func BenchmarkThroughTier(b *testing.B) {
	for _, groups := range []int{1, 10, 30, 100} {
		b.Run(fmt.Sprintf("groups-%d", groups), func(b *testing.B) {
			w := startWorld(b, groups)
			var times []time.Duration
			before := cpuTime()
			for b.Loop() {
				start := time.Now()
				reply, err := load.Send(context.Background(), w.Client, w.Instances[0].Node.Address(), "desk", query(), "", 0)
				if err != nil || reply.Answer == nil || reply.Answer.Status != event.StatusComplete {
					b.Fatalf("%+v %v", reply, err)
				}
				times = append(times, time.Since(start))
			}
			used := cpuTime() - before
			slices.Sort(times)
			b.ReportMetric(float64(times[len(times)/2].Microseconds()), "p50-us")
			b.ReportMetric(float64(used.Microseconds())/float64(len(times)*groups), "cpu-us/leg")
		})
	}
}

// cpuTime returns the CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
