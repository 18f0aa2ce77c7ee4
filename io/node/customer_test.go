package node_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/phuslu/log"

	"hyssoppitch/io/node"
	"hyssoppitch/platform"
	"hyssoppitch/platform/stand"
)

// logBuffer holds the log of an instance.
type logBuffer struct {
	mu   sync.Mutex
	text bytes.Buffer
}

func (b *logBuffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.String()
}

// customerConfig returns a configuration with one customer.
func customerConfig(version uint64, keys ...string) platform.ConfigDocument {
	route := platform.RouteEntry{Name: "find", Host: "desk", Prefix: "/find/", Kind: "safe", TimeoutMillis: 2000, TargetMillis: 500, Gather: []string{"g0", "g1"}, MergeTop: 5, LeastCoverage: 1, Attempts: 2}
	public := platform.RouteEntry{Name: "open", Host: "desk", Prefix: "/open/", Kind: "unsafe", TimeoutMillis: 2000, Group: "g0", Attempts: 2, Public: true}
	return platform.ConfigDocument{
		Version: version, Routes: []platform.RouteEntry{route, public},
		Tenants: &[]platform.TenantEntry{{Name: "acme", Keys: keys}, {Name: "broken", Keys: []string{"secret with blanks"}}},
	}
}

// ask sends a request with a key and a forged customer's name and returns the status of the reply.
func ask(t *testing.T, address, path, key string) (status int) {
	t.Helper()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+path, nil)
	if err != nil {
		t.Fatal(err)
	}
	r.Host = "desk"
	r.Header.Set(platform.Headers().Request, path)
	r.Header.Set(platform.Headers().Customer, "forged")
	if key != "" {
		r.Header.Set(platform.Headers().Key, key)
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, reply.Body)
	_ = reply.Body.Close()
	return reply.StatusCode
}

// TestCustomersEndToEnd guards against a key that gets from the platform's configuration or a request to
// a server or into the log, a wrong status, and a removed key that stays valid for longer than 5 s.
func TestCustomersEndToEnd(t *testing.T) {
	store, err := stand.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	defer store.Close()
	var servers []*stand.Server
	for i := range 4 {
		s, err := stand.NewServer(fmt.Sprint("s", i), fmt.Sprint("g", i%2), "dc0", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		defer s.Close()
		if i < 2 {
			// One server of each group refuses all requests, so that they are sent again.
			s.SetBehaviour(time.Millisecond, 1, 0)
		}
		servers = append(servers, s)
		store.PutServer(s.ID, platform.ServerEntry{Group: s.Group, Address: s.Address(), DataCentre: "dc0", Slots: 4, State: "ready", StartMillis: 1})
	}
	store.PutConfig(customerConfig(1, "secret-1"))
	directory := platform.NewDirectory(store.Address(), node.DefaultGuard())
	defer directory.Close()
	var text logBuffer
	settings := instanceSettings("i0")
	// An instance that has seen no other uses a hundredth of the slack.
	settings.Routed.RetryRatio, settings.Routed.RetrySlack = 1, 5000
	n, err := node.New(settings, node.Dependencies{
		Log:      &log.Logger{Level: log.DebugLevel, Writer: &log.IOWriter{Writer: &text}},
		Platform: &node.Platform{Directory: directory, HeaderNames: platform.Headers()},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			t.Errorf("the instance ended with %v", err)
		}
	}()
	defer func() { cancel(); <-done }()
	for _, test := range []struct {
		path, key string
		want      int
	}{
		{"/find/a", "secret-1", 200},
		{"/find/b", "secret-2", 401},
		{"/find/c", "", 401},
		{"/find/d", "secret with blanks", 401},
		{"/open/e", "", 200},
		{"/open/f", "secret-2", 200},
		{"/open/g", "secret-1", 200},
		{"/none", "secret-1", 404},
	} {
		if got := ask(t, n.Address(), test.path, test.key); got != test.want {
			t.Errorf("%s with key %q: got status %d, want %d", test.path, test.key, got, test.want)
		}
	}
	store.PutConfig(customerConfig(2, "secret-2"))
	for begin := time.Now(); ask(t, n.Address(), "/find/h", "secret-1") != 401; time.Sleep(20 * time.Millisecond) {
		if time.Since(begin) > 5*time.Second {
			t.Fatal("the key is valid 5s after it was removed")
		}
	}
	if got := ask(t, n.Address(), "/find/i", "secret-2"); got != 200 {
		t.Errorf("new key: got status %d, want 200", got)
	}
	runs := 0
	for _, s := range servers {
		for _, r := range s.Runs() {
			runs++
			identified := strings.HasPrefix(r.Request, "/find/") || strings.HasPrefix(r.Request, "/open/g")
			if len(r.Keys) != 0 || (identified && fmt.Sprint(r.Customers) != "[acme]") || (!identified && len(r.Customers) != 0) {
				t.Errorf("server %s, request %s: got keys %q, customers %q", s.ID, r.Request, r.Keys, r.Customers)
			}
		}
	}
	if runs < 7 {
		t.Errorf("got %d requests at servers, want 7 or more", runs)
	}
	if logged := text.String(); strings.Contains(logged, "secret") || !strings.Contains(logged, "entry-left-out") || !strings.Contains(logged, `"customer":"acme"`) {
		t.Errorf("log with a key, or without the invalid customer and the name of the valid one:\n%s", logged)
	}
	reply, err := http.Get("http://" + n.ControlAddress() + node.PathVars)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = reply.Body.Close() }()
	data, err := io.ReadAll(reply.Body)
	if vars := string(data); err != nil || strings.Contains(vars, "secret") || !strings.Contains(vars, `"customers":{"acme":{"admitted":`) || !strings.Contains(vars, `"customers/acme":`) {
		t.Errorf("metrics without counters or latencies of the customer: %s", vars)
	}
}
