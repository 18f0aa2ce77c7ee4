package limit_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
)

const ms = time.Millisecond

// newWarmedServer returns a server that became warm after answering as slowly as a
// cold one.
func newWarmedServer() *limit.Server {
	s := &limit.Server{Slots: 3, MaxLimit: 6}
	s.ApplyReport(event.ServerReport{Boot: "b"})
	s.RecordAnswer(30*ms, limit.PolicyAdaptive)
	s.MarkWarm(1)
	return s
}

// TestMarkWarmResetsColdLatency checks that a server which became warm is preferred
// to a more distant one, although it was slow while cold.
func TestMarkWarmResetsColdLatency(t *testing.T) {
	s := newWarmedServer()
	if got, distantLatency := s.ExpectedLatency(), 22*ms; got >= distantLatency {
		t.Errorf("expected latency: got %v, want less than %v", got, distantLatency)
	}
}

// TestDecayLatencyReadmitsSlowServer checks that a server with one slow answer is
// preferred again to a more distant one after some decay, without further answers.
func TestDecayLatencyReadmitsSlowServer(t *testing.T) {
	s := newWarmedServer()
	s.RecordAnswer(6*ms, limit.PolicyAdaptive)
	s.RecordAnswer(400*ms, limit.PolicyAdaptive)
	calls := 0
	for ; s.ExpectedLatency() > 22*ms; calls++ {
		if calls > 40 {
			t.Fatalf("expected latency: got %v after %d calls of DecayLatency, want at most 22ms", s.ExpectedLatency(), calls)
		}
		s.DecayLatency()
	}
	if calls == 0 {
		t.Error("the slow answer did not raise the expected latency")
	}
}

func TestAdaptiveLimitRaisesAndCuts(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := newWarmedServer()
	for range 200 {
		s.InFlight = int(s.Limit)
		s.RecordAnswer(6*ms, limit.PolicyAdaptive)
	}
	if got := s.Limit; got != s.MaxLimit {
		t.Errorf("limit after fast answers with the limit used up: got %v, want %v", got, s.MaxLimit)
	}
	for range 10 {
		s.RecordShed(now, limit.PolicyAdaptive)
	}
	if got := s.Limit; got >= s.MaxLimit || got < 1 {
		t.Errorf("limit after a burst of sheds: got %v, want one cut: at least 1 and less than MaxLimit", got)
	}
	for range 100 {
		now = now.Add(time.Second)
		s.RecordShed(now, limit.PolicyAdaptive)
	}
	if got := s.Limit; got != 1 {
		t.Errorf("limit after many sheds: got %v, want 1", got)
	}
}

func TestApplyUpdateOrdersStates(t *testing.T) {
	update := func(boot string, generation uint64, w event.Warmth) event.ServerUpdate {
		return event.ServerUpdate{Server: "s", Boot: boot, Generation: generation, Warmth: w}
	}
	tests := []struct {
		name   string
		state  func(s *limit.Server)
		update event.ServerUpdate
		want   limit.State
	}{
		{"warm of the same generation", nil, update("b", 0, event.WarmthWarm), limit.Warm},
		{"warm of another boot is stored for later", nil, update("b2", 0, event.WarmthWarm), limit.Cold},
		{"cold of a later generation", func(s *limit.Server) { s.MarkWarm(1) }, update("b", 1, event.WarmthCold), limit.Cold},
		{"cold of the same generation", func(s *limit.Server) { s.MarkWarm(1) }, update("b", 0, event.WarmthCold), limit.Warm},
		{"warm of an earlier generation", func(s *limit.Server) { s.ResetToCold() }, update("b", 0, event.WarmthWarm), limit.Cold},
		{"draining", func(s *limit.Server) { s.MarkWarm(1) }, update("b", 0, event.WarmthDraining), limit.Draining},
		{"warm of a draining server", func(s *limit.Server) { s.StartDrain(limit.DrainByReply) }, update("b", 9, event.WarmthWarm), limit.Draining},
		{"draining of another boot", func(s *limit.Server) { s.MarkWarm(1) }, update("b0", 0, event.WarmthDraining), limit.Warm},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &limit.Server{}
			s.ApplyReport(event.ServerReport{Boot: "b"})
			if test.state != nil {
				test.state(s)
			}
			s.ApplyUpdate(test.update)
			if s.State != test.want {
				t.Errorf("state: got %s, want %s", s.State, test.want)
			}
		})
	}
}

// TestPendingUpdatesKeepEachBoot checks that a late update of one peer for an old boot
// doesn't replace another peer's update for the boot that the server then reports.
func TestPendingUpdatesKeepEachBoot(t *testing.T) {
	s := &limit.Server{}
	s.ApplyUpdate(event.ServerUpdate{Server: "s", Boot: "b2", Warmth: event.WarmthDraining})
	s.ApplyUpdate(event.ServerUpdate{Server: "s", Boot: "b1", Warmth: event.WarmthWarm})
	if s.ApplyReport(event.ServerReport{Boot: "b2"}); s.State != limit.Draining {
		t.Errorf("state: got %s, want %s", s.State, limit.Draining)
	}
}

// TestDrainSourcesEndSeparately checks that a server drains until every source has
// withdrawn its report, and that a new boot ends a drain.
func TestDrainSourcesEndSeparately(t *testing.T) {
	s := newWarmedServer()
	s.StartDrain(limit.DrainByStatus)
	s.StartDrain(limit.DrainByReply)
	if s.EndDrain(limit.DrainByStatus); s.State != limit.Draining {
		t.Errorf("state after only the status withdrew its report: got %s, want %s", s.State, limit.Draining)
	}
	if s.ApplyReport(event.ServerReport{Boot: "b2"}); s.State != limit.Cold {
		t.Errorf("state after a new boot: got %s, want %s", s.State, limit.Cold)
	}
	s.StartDrain(limit.DrainByPlatform)
	if s.EndDrain(limit.DrainByPlatform); s.State != limit.Cold {
		t.Errorf("state after the platform withdrew its report: got %s, want %s", s.State, limit.Cold)
	}
}
