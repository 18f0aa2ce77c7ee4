package warm_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
	"hyssoppitch/core/warm"
)

// sender records the messages that a coordinator sends.
type sender struct {
	to       []model.InstanceID
	messages []event.Message
}

func (s *sender) Send(to model.InstanceID, m event.Message) {
	s.to = append(s.to, to)
	s.messages = append(s.messages, m)
}

// fixture holds a coordinator that owns one cold server, at a time at which it may
// send.
type fixture struct {
	now         time.Time
	lease       time.Time
	coordinator *warm.Coordinator
	server      *limit.Server
	sender      *sender
}

func newFixture() *fixture {
	f := &fixture{now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), sender: &sender{}}
	t := &limit.Table{}
	t.Load(&model.Config{Services: []model.Service{{
		Name: "desk", Slots: 2, Groups: []model.Group{{Name: "g0", Servers: []model.Server{{ID: "s0", Address: "127.0.0.1:1"}, {ID: "far", Address: "127.0.0.1:2"}}}},
	}}})
	f.server = t.Get("s0")
	f.server.ApplyReport(event.ServerReport{Boot: "b1"})
	f.lease = f.now.Add(time.Hour)
	f.coordinator = &warm.Coordinator{Self: "i0", Servers: t, Peers: f.sender, LeaseExpiry: func() time.Time { return f.lease }}
	f.coordinator.SetMembers(f.now, []model.InstanceID{"i0"})
	f.now = f.now.Add(warm.QuorumLease + warm.MaxAttemptTime)
	return f
}

// TestOwnerSendsOnlyAfterWaitUnderLease checks that an owner sends only after the
// delay of a new owner, while its quorum lease lasts and within its allowance.
func TestOwnerSendsOnlyAfterWaitUnderLease(t *testing.T) {
	tests := []struct {
		name   string
		change func(f *fixture)
		want   bool
	}{
		{name: "after the new owner's delay, with a lease", change: func(*fixture) {}, want: true},
		{name: "during the new owner's delay", change: func(f *fixture) { f.now = f.now.Add(-time.Millisecond) }},
		{name: "after the lease", change: func(f *fixture) { f.lease = f.now }},
		{name: "with one attempt in flight", change: func(f *fixture) { f.server.InFlight = 1 }},
		{name: "with one grant issued", change: func(f *fixture) {
			f.coordinator.HandleGrantRequest(f.now, "i1", event.GrantRequest{Server: "s0", AskedAt: f.now.UnixNano()})
		}},
		{name: "after the process was suspended", change: func(f *fixture) { f.coordinator.ResetOwnership(f.now) }},
		{name: "after another instance became the owner", change: func(f *fixture) { f.coordinator.SetMembers(f.now, []model.InstanceID{"other"}) }},
		{name: "directly after becoming the owner again", change: func(f *fixture) {
			f.coordinator.SetMembers(f.now, []model.InstanceID{"other"})
			f.coordinator.SetMembers(f.now, []model.InstanceID{"i0"})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			test.change(f)
			if got := f.coordinator.MaySend(f.now, f.server); got != test.want {
				t.Errorf("MaySend: got %t, want %t", got, test.want)
			}
		})
	}
}

// TestLateGrantIsNotUsed checks that a grant which is read after its timeout, since
// this instance was suspended, doesn't permit an attempt.
func TestLateGrantIsNotUsed(t *testing.T) {
	f := newFixture()
	f.coordinator.SetMembers(f.now, []model.InstanceID{"other"})
	asked := f.now.UnixNano()
	tests := []struct {
		name  string
		after time.Duration
		want  bool
	}{
		{name: "read at once", after: time.Millisecond, want: true},
		{name: "read after this instance was suspended", after: time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			now := f.now.Add(test.after)
			f.coordinator.HandleGrant(now, "other", event.Grant{Server: "s0", Number: 1, AskedAt: asked})
			if got := f.coordinator.MaySend(now, f.server); got != test.want {
				t.Errorf("MaySend: got %t, want %t", got, test.want)
			}
			f.coordinator.TakeGrant(f.server)
		})
	}
}

// TestUnreturnedGrantExpiresAtOwner checks that an owner issues one grant under an
// allowance of one, and may send itself after a grant that was never returned expired.
func TestUnreturnedGrantExpiresAtOwner(t *testing.T) {
	f := newFixture()
	request := event.GrantRequest{Server: "s0", AskedAt: f.now.UnixNano()}
	f.coordinator.HandleGrantRequest(f.now, "i1", request)
	f.coordinator.HandleGrantRequest(f.now, "i2", request)
	if got := len(f.sender.messages); got != 1 {
		t.Fatalf("grants: got %d, want 1", got)
	}
	later := f.now.Add(10 * time.Second)
	f.lease = later.Add(time.Second)
	if !f.coordinator.MaySend(later, f.server) {
		t.Errorf("a grant that was never returned still blocks its owner after 10 s")
	}
}

// TestAllowanceRisesByServersOwnWarmLatency checks that the allowance rises quickly
// only if a server is as fast as it was when warm. A cold server in the same data
// centre must not look warm because it is as fast as a distant warm one.
func TestAllowanceRisesByServersOwnWarmLatency(t *testing.T) {
	tests := []struct {
		name string
		// warmBefore is the server's latency when it was warm; zero if it never was warm.
		warmBefore time.Duration
		latency    time.Duration
		answers    int
		want       int
	}{
		{name: "never warm, as slow as a cold server", latency: 30 * time.Millisecond, answers: 23, want: 1},
		{name: "never warm, after many answers", latency: 30 * time.Millisecond, answers: 24, want: 2},
		{name: "slower than when it was warm", warmBefore: 6 * time.Millisecond, latency: 30 * time.Millisecond, answers: 23, want: 1},
		{name: "distant and slower than when it was warm", warmBefore: 22 * time.Millisecond, latency: 43 * time.Millisecond, answers: 23, want: 1},
		{name: "as fast as when it was warm", warmBefore: 6 * time.Millisecond, latency: 7 * time.Millisecond, answers: 4, want: 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			f := newFixture()
			distant := f.coordinator.Servers.Get("far")
			distant.ApplyReport(event.ServerReport{Boot: "b1"})
			distant.MarkWarm(1)
			distant.RecordAnswer(22*time.Millisecond, limit.PolicyAdaptive)
			if test.warmBefore > 0 {
				f.server.MarkWarm(1)
				f.server.RecordAnswer(test.warmBefore, limit.PolicyAdaptive)
				f.server.ResetToCold()
			}
			for range test.answers {
				f.coordinator.AttemptDone(f.now, f.server, limit.HeldGrant{}, true, test.latency)
			}
			if got := f.server.Allowance; got != test.want {
				t.Errorf("allowance: got %d, want %d", got, test.want)
			}
		})
	}
}
