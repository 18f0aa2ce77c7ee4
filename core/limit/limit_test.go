package limit_test

import (
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/limit"
)

const ms = time.Millisecond

// warmServer returns a server that was cold, with the latency of a cold one, and
// turned warm.
func warmServer() *limit.Server {
	s := &limit.Server{Slots: 3, MaxLimit: 6}
	s.ApplyReport(event.ServerReport{Boot: "b"})
	s.RecordAnswer(30*ms, limit.PolicyAdaptive)
	s.MarkWarm(1)
	return s
}

// TestColdLatencyIsForgotten checks that a server which turned warm is preferred to
// one that is farther away, though it was slow while cold.
func TestColdLatencyIsForgotten(t *testing.T) {
	s := warmServer()
	if got, far := s.ExpectedLatency(), 22*ms; got >= far {
		t.Errorf("expected time: got %v, want less than %v", got, far)
	}
}

func TestSlowServerIsTriedAgain(t *testing.T) {
	s := warmServer()
	s.RecordAnswer(6*ms, limit.PolicyAdaptive)
	s.RecordAnswer(400*ms, limit.PolicyAdaptive)
	calls := 0
	for ; s.ExpectedLatency() > 22*ms; calls++ {
		if calls > 40 {
			t.Fatalf("still expected to take %v after %d calls of Fade", s.ExpectedLatency(), calls)
		}
		s.DecayLatency()
	}
	if calls == 0 {
		t.Error("a slow answer had no effect")
	}
}

func TestAdaptiveLimit(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := warmServer()
	for range 200 {
		s.InFlight = int(s.Limit)
		s.RecordAnswer(6*ms, limit.PolicyAdaptive)
	}
	if got := s.Limit; got != s.MaxLimit {
		t.Errorf("after fast answers at full use: got %v, want %v", got, s.MaxLimit)
	}
	for range 10 {
		s.RecordShed(now, limit.PolicyAdaptive)
	}
	if got := s.Limit; got >= s.MaxLimit || got < 1 {
		t.Errorf("after a burst of sheds: got %v, want one cut", got)
	}
	for range 100 {
		now = now.Add(time.Second)
		s.RecordShed(now, limit.PolicyAdaptive)
	}
	if got := s.Limit; got != 1 {
		t.Errorf("after many sheds: got %v, want 1", got)
	}
}

func TestWordOfAPeer(t *testing.T) {
	news := func(boot string, generation uint64, w event.Warmth) event.ServerUpdate {
		return event.ServerUpdate{Server: "s", Boot: boot, Generation: generation, Warmth: w}
	}
	tests := []struct {
		name  string
		state func(s *limit.Server)
		news  event.ServerUpdate
		want  limit.State
	}{
		{"warm of the same generation", nil, news("b", 0, event.WarmthWarm), limit.Warm},
		{"warm of another boot is kept for later", nil, news("b2", 0, event.WarmthWarm), limit.Cold},
		{"cold of a later generation", func(s *limit.Server) { s.MarkWarm(1) }, news("b", 1, event.WarmthCold), limit.Cold},
		{"cold of the same generation", func(s *limit.Server) { s.MarkWarm(1) }, news("b", 0, event.WarmthCold), limit.Warm},
		{"warm of an earlier generation", func(s *limit.Server) { s.ResetToCold() }, news("b", 0, event.WarmthWarm), limit.Cold},
		{"draining", func(s *limit.Server) { s.MarkWarm(1) }, news("b", 0, event.WarmthDraining), limit.Draining},
		{"warm of a draining one", func(s *limit.Server) { s.StartDrain(limit.DrainByReply) }, news("b", 9, event.WarmthWarm), limit.Draining},
		{"draining of another boot", func(s *limit.Server) { s.MarkWarm(1) }, news("b0", 0, event.WarmthDraining), limit.Warm},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := &limit.Server{}
			s.ApplyReport(event.ServerReport{Boot: "b"})
			if test.state != nil {
				test.state(s)
			}
			s.ApplyUpdate(test.news)
			if s.State != test.want {
				t.Errorf("got %s, want %s", s.State, test.want)
			}
		})
	}
}

// TestWordOfTwoBoots checks that a peer that lags doesn't displace what another said
// of the server's boot.
func TestWordOfTwoBoots(t *testing.T) {
	s := &limit.Server{}
	s.ApplyUpdate(event.ServerUpdate{Server: "s", Boot: "b2", Warmth: event.WarmthDraining})
	s.ApplyUpdate(event.ServerUpdate{Server: "s", Boot: "b1", Warmth: event.WarmthWarm})
	if s.ApplyReport(event.ServerReport{Boot: "b2"}); s.State != limit.Draining {
		t.Errorf("got %s, want %s", s.State, limit.Draining)
	}
}

func TestDrains(t *testing.T) {
	s := warmServer()
	s.StartDrain(limit.DrainByStatus)
	s.StartDrain(limit.DrainByReply)
	if s.EndDrain(limit.DrainByStatus); s.State != limit.Draining {
		t.Errorf("status denies what a reply said: got %s, want %s", s.State, limit.Draining)
	}
	if s.ApplyReport(event.ServerReport{Boot: "b2"}); s.State != limit.Cold {
		t.Errorf("after a new boot: got %s, want %s", s.State, limit.Cold)
	}
	s.StartDrain(limit.DrainByPlatform)
	if s.EndDrain(limit.DrainByPlatform); s.State != limit.Cold {
		t.Errorf("after the platform took it back: got %s, want %s", s.State, limit.Cold)
	}
}
