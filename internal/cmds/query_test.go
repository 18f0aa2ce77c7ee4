package cmds_test

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"hyssoppitch/internal/cmds"
)

// TestAnswerWithoutEnd guards against a query that reads an answer without end into memory until its
// deadline. The request may have run.
func TestAnswerWithoutEnd(t *testing.T) {
	var sent atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		part := bytes.Repeat([]byte("{},"), 20_000)
		_, err := w.Write([]byte(`{"results":[`))
		for err == nil {
			var n int
			n, err = w.Write(part)
			sent.Add(int64(n))
		}
	}))
	defer server.Close()
	var out bytes.Buffer
	got := cmds.Main([]string{"query", "desk", "--deadline", "1m", "--instance", server.Listener.Addr().String()}, strings.NewReader(""), &out, &out)
	if want := "the answer has more than"; got != cmds.ExitUnknown || !strings.Contains(out.String(), want) {
		t.Errorf("got exit code %d, output %.200q; want %d, %q", got, out.String(), cmds.ExitUnknown, want)
	}
	// The kernel and net/http hold some MiB on the way.
	if got, want := sent.Load(), int64(80<<20); got > want {
		t.Errorf("the command took %d bytes, want at most %d", got, want)
	}
}
