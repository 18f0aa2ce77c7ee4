package pass_test

import (
	"context"
	"net/http"
	"strconv"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/io/pass"
)

// TestTimeLeftExcludesNetwork guards against servers that are told of the time that a request spends on its
// way as well, while bytes wait in front of a link.
func TestTimeLeftExcludesNetwork(t *testing.T) {
	told := make(chan string, 1)
	address, _ := rawServer(t, func(_ int, r *http.Request) string {
		told <- r.Header.Get("X-Patience")
		return okReply(r, "x")
	})
	b := pass.NewBackendClient(systemClock{}, names, replyMemory())
	defer b.Close()
	for i, tc := range []struct{ left, network, want time.Duration }{
		{left: 10 * time.Second, want: 10 * time.Second},
		{left: 10 * time.Second, network: 600 * time.Millisecond, want: 9400 * time.Millisecond},
		{left: 10 * time.Second, network: 9 * time.Second, want: 5 * time.Second},
	} {
		id := event.AttemptID{Instance: "i", Query: 1, Number: i + 1}
		end := b.Exchange(b.Begin(context.Background(), id), event.SendExchange{
			Attempt: id, RequestID: "r" + strconv.Itoa(i), Server: "s1", Address: address, Connections: 4,
			Deadline: time.Now().Add(tc.left), NetworkTime: tc.network,
		}, &pass.Request{Method: "GET", Target: "/", Host: "h.example", Header: http.Header{}, RequestID: "r" + strconv.Itoa(i)})
		got, err := strconv.Atoi(<-told)
		if err != nil {
			t.Fatal(err)
		}
		// The test's own delays make it less, never more.
		if d := time.Duration(got) * time.Millisecond; d > tc.want || d < tc.want-3*time.Second {
			t.Errorf("of %v with %v in the network the server is told %v, want %v", tc.left, tc.network, d, tc.want)
		}
		if end.Use.TimeLeft.Milliseconds() != int64(got) {
			t.Errorf("logged %v, sent %d ms", end.Use.TimeLeft, got)
		}
	}
}
