package pass_test

import (
	"context"
	"net/http"
	"slices"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/pass"
)

// TestHeadersOfCustomers guards against a key that reaches a server, a customer's name that the caller
// chose, and headers that change where the configuration has no customers.
func TestHeadersOfCustomers(t *testing.T) {
	tests := []struct {
		hasCustomers  bool
		customer      string
		wantCustomers []string
		wantKeys      []string
	}{
		{true, "acme", []string{"acme"}, nil},
		{true, "", nil, nil},
		{false, "", []string{"forged", "twice"}, []string{"k1", "k2"}},
	}
	for _, test := range tests {
		got := make(chan http.Header, 2)
		address, _ := rawServer(t, func(_ int, r *http.Request) string {
			got <- r.Header
			return okReply(r, "yes")
		})
		client := pass.NewBackendClient(systemClock{}, names, replyMemory())
		defer client.Close()
		raw := &pass.Request{Method: "GET", Target: "/", Host: "h", RequestID: "r1", Header: http.Header{
			"X-Request": {"r1"}, "X-Key": {"k1", "k2"}, "X-Customer": {"forged", "twice"}, "Other": {"o"},
		}}
		// A second attempt of the same request gets the same headers as the first.
		for number := range 2 {
			id := event.AttemptID{Instance: "i", Query: 1, Number: number}
			client.Exchange(client.Begin(context.Background(), id), event.SendExchange{
				Attempt: id, RequestID: "r1", Server: "s1", Address: address, Connections: 4, Deadline: time.Now().Add(time.Second),
				HasCustomers: test.hasCustomers, Customer: test.customer,
			}, raw)
			h := <-got
			if !slices.Equal(h["X-Customer"], test.wantCustomers) || !slices.Equal(h["X-Key"], test.wantKeys) || h.Get("Other") != "o" {
				t.Errorf("%+v, attempt %d: got headers %v", test, number, h)
			}
		}
	}
}

// TestKeyOfRequest guards against a request whose key is read from an invalid header, and against
// keys in the traits of requests, which are sent to other instances.
func TestKeyOfRequest(t *testing.T) {
	tests := []struct {
		headers string
		want    model.KeyDigest
	}{
		{"", model.KeyDigest{}},
		{"x-key:  k1 \r\n", model.DigestOf("k1")},
		{"X-Key: k1\r\nX-Customer: forged\r\n", model.DigestOf("k1")},
		{"X-Key: k1\r\nX-Key: k1\r\n", model.KeyDigest{}},
		{"X-Key: k1\r\nConnection: X-Key\r\n", model.DigestOf("k1")},
	}
	for _, test := range tests {
		a := &fakeExecutor{answer: event.RoutedRefusal{Code: event.RefuseUnknownKey, Outcome: event.OutcomeNotRun}}
		reply, _ := roundTrip(t, a, "GET / HTTP/1.1\r\nHost: h\r\nAccept: x\r\n"+test.headers+"\r\n")
		if a.routed.Key != test.want || reply.StatusCode != http.StatusUnauthorized || reply.Header.Get("WWW-Authenticate") == "" {
			t.Errorf("%q: got status %d and another key than wanted: %t", test.headers, reply.StatusCode, a.routed.Key != test.want)
		}
		if want := model.NewTraits([]string{"Accept:x"}); !slices.Equal(a.routed.Traits, want) {
			t.Errorf("%q: got traits %v, want %v, of the other header only", test.headers, a.routed.Traits, want)
		}
	}
}
