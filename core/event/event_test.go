package event_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// TestControlMessageSizes bounds the messages that docs/CAPACITY.md reckons with, in
// bytes of CBOR.
func TestControlMessageSizes(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC).UnixNano()
	instance := model.Instance{ID: "instance-0001", Incarnation: model.Incarnation(now), Address: "10.1.200.200:9080", DataCentre: "data-centre-1"}
	tests := []struct {
		name    string
		message event.Message
		limit   int
	}{
		{"ping", event.Message{Ping: &event.Ping{SentAt: now, ViewDigest: 1 << 63, ConfigVersion: 1 << 20}}, 40},
		{"pong", event.Message{Pong: &event.Pong{SentAt: now, ViewDigest: 1 << 63, ConfigVersion: 1 << 20}}, 40},
		{"news of one member", event.Message{Members: &event.Members{Updates: []event.MemberUpdate{{Instance: instance, State: event.MemberDead}}}}, 100},
		{"news of one server", event.Message{Servers: &event.Servers{Updates: []event.ServerUpdate{{Server: "service.g00.s0", Boot: "boot-identity-of-36-characters-______", Generation: 3, Warmth: event.WarmthWarm}}}}, 90},
		{"want", event.Message{GrantRequest: &event.GrantRequest{Server: "service.g00.s0", AskedAt: now}}, 50},
	}
	for _, test := range tests {
		data, err := cbor.Marshal(test.message)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes", test.name, len(data))
		if len(data) > test.limit {
			t.Errorf("%s: got %d bytes, want %d at most", test.name, len(data), test.limit)
		}
		var back event.Message
		if err := cbor.Unmarshal(data, &back); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

func TestAttemptIDReadsWhatItWrites(t *testing.T) {
	want := event.AttemptID{Instance: "i-1.x", Incarnation: 12, Query: 3, Leg: 4, Number: 5}
	got, err := event.ParseAttemptID(want.String())
	if err != nil || got != want {
		t.Errorf("got %+v %v, want %+v", got, err, want)
	}
	for _, bad := range []string{"", "a/1/2/3", "a/1/2/3/x", "a/1/2/3/4/5"} {
		if _, err := event.ParseAttemptID(bad); err == nil {
			t.Errorf("%q: got no error", bad)
		}
	}
}
