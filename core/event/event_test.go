package event_test

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// TestControlMessageSizes bounds the encoded sizes, in bytes of CBOR, that the
// calculations in docs/CAPACITY.md assume.
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
		{"update of one member", event.Message{Members: &event.Members{Updates: []event.MemberUpdate{{Instance: instance, State: event.MemberDead}}}}, 100},
		{"update of one server", event.Message{Servers: &event.Servers{Updates: []event.ServerUpdate{{Server: "service.g00.s0", Boot: "boot-identity-of-36-characters-______", Generation: 3, Warmth: event.WarmthWarm}}}}, 90},
		{"grant request", event.Message{GrantRequest: &event.GrantRequest{Server: "service.g00.s0", AskedAt: now}}, 50},
	}
	for _, test := range tests {
		data, err := cbor.Marshal(test.message)
		if err != nil {
			t.Fatal(err)
		}
		t.Logf("%s: %d bytes", test.name, len(data))
		if len(data) > test.limit {
			t.Errorf("%s: got %d bytes, want at most %d", test.name, len(data), test.limit)
		}
		var decoded event.Message
		if err := cbor.Unmarshal(data, &decoded); err != nil {
			t.Errorf("%s: %v", test.name, err)
		}
	}
}

// TestAttemptIDRoundTrip checks that ParseAttemptID reads what String writes, and
// rejects other forms.
func TestAttemptIDRoundTrip(t *testing.T) {
	want := event.AttemptID{Instance: "i-1.x", Incarnation: 12, Query: 3, Leg: 4, Number: 5}
	got, err := event.ParseAttemptID(want.String())
	if err != nil || got != want {
		t.Errorf("got %+v with error %v, want %+v", got, err, want)
	}
	for _, bad := range []string{"", "a/1/2/3", "a/1/2/3/x", "a/1/2/3/4/5"} {
		if _, err := event.ParseAttemptID(bad); err == nil {
			t.Errorf("ParseAttemptID(%q): got no error, want one", bad)
		}
	}
}
