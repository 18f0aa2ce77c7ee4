package warm_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
	"hyssoppitch/core/warm"
)

// sent collects the messages of a keeper.
type sent struct {
	to       []model.InstanceID
	messages []event.Message
}

func (s *sent) Send(to model.InstanceID, m event.Message) {
	s.to = append(s.to, to)
	s.messages = append(s.messages, m)
}

// fixture is a keeper that owns one cold server, at a time when it may send.
type fixture struct {
	now    time.Time
	lease  time.Time
	keeper *warm.Coordinator
	server *limit.Server
	sent   *sent
}

func newFixture() *fixture {
	f := &fixture{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), sent: &sent{}}
	t := &limit.Table{}
	t.Load(&model.Config{Services: []model.Service{{
		Name: "desk", Slots: 2, Groups: []model.Group{{Name: "g0", Servers: []model.Server{{ID: "s0", Address: "127.0.0.1:1"}, {ID: "far", Address: "127.0.0.1:2"}}}},
	}}})
	f.server = t.Get("s0")
	f.server.ApplyReport(event.ServerReport{Boot: "b1"})
	f.lease = f.now.Add(time.Hour)
	f.keeper = &warm.Coordinator{Self: "i0", Servers: t, Peers: f.sent, LeaseExpiry: func() time.Time { return f.lease }}
	f.keeper.SetMembers(f.now, []model.InstanceID{"i0"})
	f.now = f.now.Add(warm.QuorumLease + warm.MaxAttemptTime)
	return f
}

func TestOwnerMaySend(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fixture)
		want   bool
	}{
		{name: "after the hold, with a lease", change: func(*fixture) {}, want: true},
		{name: "during the hold", change: func(f *fixture) { f.now = f.now.Add(-time.Millisecond) }},
		{name: "after the lease", change: func(f *fixture) { f.lease = f.now }},
		{name: "with one in flight", change: func(f *fixture) { f.server.InFlight = 1 }},
		{name: "with one granted", change: func(f *fixture) {
			f.keeper.HandleGrantRequest(f.now, "i1", event.GrantRequest{Server: "s0", AskedAt: f.now.UnixNano()})
		}},
		{name: "after a pause", change: func(f *fixture) { f.keeper.ResetOwnership(f.now) }},
		{name: "after another instance took over", change: func(f *fixture) { f.keeper.SetMembers(f.now, []model.InstanceID{"other"}) }},
		{name: "right after it became the owner again", change: func(f *fixture) {
			f.keeper.SetMembers(f.now, []model.InstanceID{"other"})
			f.keeper.SetMembers(f.now, []model.InstanceID{"i0"})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.change(f)
			if got := f.keeper.MaySend(f.now, f.server); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
		})
	}
}

func TestGrantIsUsedInTimeOrNotAtAll(t *testing.T) {
	f := newFixture()
	f.keeper.SetMembers(f.now, []model.InstanceID{"other"})
	asked := f.now.UnixNano()
	tests := []struct {
		name  string
		after time.Duration
		want  bool
	}{
		{name: "read at once", after: time.Millisecond, want: true},
		{name: "read after this instance stood still", after: time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := f.now.Add(test.after)
			f.keeper.HandleGrant(now, "other", event.Grant{Server: "s0", Number: 1, AskedAt: asked})
			if got := f.keeper.MaySend(now, f.server); got != test.want {
				t.Errorf("got %t, want %t", got, test.want)
			}
			f.keeper.TakeGrant(f.server)
		})
	}
}

func TestGrantExpiresAtItsOwner(t *testing.T) {
	f := newFixture()
	want := event.GrantRequest{Server: "s0", AskedAt: f.now.UnixNano()}
	f.keeper.HandleGrantRequest(f.now, "i1", want)
	f.keeper.HandleGrantRequest(f.now, "i2", want)
	if got := len(f.sent.messages); got != 1 {
		t.Fatalf("grants: got %d, want 1", got)
	}
	later := f.now.Add(10 * time.Second)
	f.lease = later.Add(time.Second)
	if !f.keeper.MaySend(later, f.server) {
		t.Errorf("a grant that is never returned blocks its owner for ever")
	}
}

// TestAllowanceRisesByTheServersOwnWarmLatency checks that a cold server near this
// instance is not taken for warm because the group's warm servers are far away.
func TestAllowanceRisesByTheServersOwnWarmLatency(t *testing.T) {
	tests := []struct {
		name string
		// warmBefore is the server's latency when it was warm; zero if it never was.
		warmBefore time.Duration
		latency    time.Duration
		answers    int
		want       int
	}{
		{name: "never warm, slow as a cold one", latency: 30 * time.Millisecond, answers: 23, want: 1},
		{name: "never warm, after many answers", latency: 30 * time.Millisecond, answers: 24, want: 2},
		{name: "slower than when it was warm", warmBefore: 6 * time.Millisecond, latency: 30 * time.Millisecond, answers: 23, want: 1},
		{name: "far away and slower than when it was warm", warmBefore: 22 * time.Millisecond, latency: 43 * time.Millisecond, answers: 23, want: 1},
		{name: "as fast as when it was warm", warmBefore: 6 * time.Millisecond, latency: 7 * time.Millisecond, answers: 4, want: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			far := f.keeper.Servers.Get("far")
			far.ApplyReport(event.ServerReport{Boot: "b1"})
			far.MarkWarm(1)
			far.RecordAnswer(22*time.Millisecond, limit.PolicyAdaptive)
			if test.warmBefore > 0 {
				f.server.MarkWarm(1)
				f.server.RecordAnswer(test.warmBefore, limit.PolicyAdaptive)
				f.server.ResetToCold()
			}
			for range test.answers {
				f.keeper.AttemptDone(f.now, f.server, limit.HeldGrant{}, true, test.latency)
			}
			if got := f.server.Allowance; got != test.want {
				t.Errorf("allowance: got %d, want %d", got, test.want)
			}
		})
	}
}
