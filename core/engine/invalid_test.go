package engine_test

import (
	"math"
	"testing"
	"time"

	"pgregory.net/rapid"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// TestInvalidPeerMessagesChangeNothing checks that a message with a value that no instance
// sends is logged and ignored as a whole: nothing that was known is lost, and no server or
// member appears.
func TestInvalidPeerMessagesChangeNothing(t *testing.T) {
	valid := serverEntry("s9", "dc0")
	noAddress := serverEntry("s8", "dc0")
	noAddress.Server.Address = ""
	noKey := serverEntry("s8", "dc0")
	noKey.Key = ""
	tests := []struct {
		name    string
		message event.Message
	}{
		{"negative age", event.Message{Directory: &event.DirectoryUpdate{
			BaseRevision: 10, Revision: 12, AgeMicros: -5, Changes: []event.DirectoryChange{valid},
		}}},
		{"age that overflows", event.Message{Directory: &event.DirectoryUpdate{
			BaseRevision: 10, Revision: 12, AgeMicros: math.MaxInt64, Changes: []event.DirectoryChange{valid},
		}}},
		{"negative time since the outage", event.Message{Directory: &event.DirectoryUpdate{
			BaseRevision: 10, Revision: 12, RecoveredMicros: math.MinInt64, Changes: []event.DirectoryChange{valid},
		}}},
		{"base revision after the revision", event.Message{Directory: &event.DirectoryUpdate{BaseRevision: 13, Revision: 12}}},
		{"full content without a routing table", event.Message{Directory: &event.DirectoryUpdate{
			Revision: math.MaxUint64, Full: true, Changes: []event.DirectoryChange{valid},
		}}},
		{"empty full content", event.Message{Directory: &event.DirectoryUpdate{Revision: 12, Full: true}}},
		{"server without an address", event.Message{Directory: &event.DirectoryUpdate{
			BaseRevision: 10, Revision: 12, Changes: []event.DirectoryChange{valid, noAddress},
		}}},
		{"entry without a key", event.Message{Directory: &event.DirectoryUpdate{
			BaseRevision: 10, Revision: 12, Changes: []event.DirectoryChange{noKey},
		}}},
		{"member without an ID", event.Message{Members: &event.Members{Updates: []event.MemberUpdate{
			{Instance: model.Instance{ID: "x"}, State: event.MemberAlive}, {State: event.MemberAlive},
		}}}},
		{"member with an unknown state", event.Message{Members: &event.Members{Updates: []event.MemberUpdate{
			{Instance: model.Instance{ID: "b", Incarnation: 9}, State: 7},
		}}}},
		{"roll-out with an unknown state", event.Message{Rollouts: &event.Rollouts{Decided: []model.RolloutStatus{
			{Group: "g", Version: "v2", State: "done", Stage: model.StageDone},
		}}}},
		{"final roll-out in a stage that isn't", event.Message{Rollouts: &event.Rollouts{Decided: []model.RolloutStatus{
			{Group: "g", Version: "v2", State: model.RolloutCompleted, Stage: model.StageFull},
		}}}},
		{"health report of an unknown kind", event.Message{Reports: &event.HealthReports{Entries: []event.HealthReport{{Kind: 4}}}}},
		{"health report of a slow server without its latency", event.Message{Reports: &event.HealthReports{Entries: []event.HealthReport{{Kind: event.ReportSlow}}}}},
		{"health report with a negative age", event.Message{Reports: &event.HealthReports{Entries: []event.HealthReport{{Kind: event.ReportFailing, AgeMillis: -1}}}}},
		{"too many health reports", event.Message{Reports: &event.HealthReports{Entries: make([]event.HealthReport, 33)}}},
		{"report with an unknown stage", event.Message{Rollouts: &event.Rollouts{Reports: []event.RolloutReport{{Group: "g", Stage: 9}}}}},
		{"order without a duration", event.Message{Directory: &event.DirectoryUpdate{
			BaseRevision: 10, Revision: 12, Changes: []event.DirectoryChange{valid, {Key: "o", Order: &model.RolloutOrder{Group: "g", Version: "v2"}}},
		}}},
		{"restart of no server", event.Message{Restart: &event.ServerRestart{ColdMicros: 1}}},
		{"restart of a server that is cold for a negative time", event.Message{Restart: &event.ServerRestart{Key: "servers/s1", ColdMicros: -1}}},
		{"restart of a server that accepts connections in the future", event.Message{Restart: &event.ServerRestart{Key: "servers/s1", Accepts: true, AgeMicros: -1}}},
		{"unknown state of a fingerprint", event.Message{Suspects: &event.Suspicion{Fingerprint: 7, State: 9}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := newRoutedInstance("a")
			r.tick(r.fullRead(routingEntry(1), serverEntry("s1", "dc0")))
			r.link("b")
			r.advance(time.Second)
			r.emitted = nil
			r.tick(event.MessageReceived{From: "b", Message: test.message})
			at, _ := r.DirectoryPosition()
			if got, want := at.Revision, uint64(10); got != want {
				t.Errorf("revision of the directory: got %d, want %d", got, want)
			}
			if got, want := r.Roster.Len(), 1; got != want {
				t.Errorf("servers: got %d, want %d", got, want)
			}
			if got, want := len(r.Members.Rows()), 2; got != want {
				t.Errorf("members: got %d, want %d", got, want)
			}
			refused := 0
			for _, c := range r.emitted {
				if s, ok := c.(event.StateChanged); ok && s.Kind == "peer-message" && s.Name == "b" && s.Cause != "" {
					refused++
				}
			}
			if got, want := refused, 1; got != want {
				t.Errorf("log lines about a refused message: got %d, want %d", got, want)
			}
		})
	}
}

// TestAnyPeerMessageIsSurvived checks that no message of a peer, however malformed, ends the
// process: an instance handles arbitrary messages, in either mode, and goes on.
func TestAnyPeerMessageIsSurvived(t *testing.T) {
	rapid.Check(t, func(p *rapid.T) {
		r := newRoutedInstance("a")
		if rapid.Bool().Draw(p, "declared") {
			r.Engine = engine.New(r.now, r.Self, engine.Options{Seed: 1})
		} else {
			r.tick(r.fullRead(routingEntry(1), serverEntry("s1", "dc0")))
		}
		r.link("b")
		for range rapid.IntRange(1, 8).Draw(p, "messages") {
			r.tick(event.MessageReceived{From: "b", Message: rapid.Make[event.Message]().Draw(p, "message")})
			r.advance(time.Duration(rapid.IntRange(0, 20).Draw(p, "advance")) * 100 * time.Millisecond)
		}
	})
}
