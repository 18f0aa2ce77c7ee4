package node_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"hyssoppitch/core/model"
	"hyssoppitch/io/node"
	"hyssoppitch/platform"
	"hyssoppitch/platform/stand"
)

// rolloutWorld is a store, instances and servers of one group on loopback addresses.
type rolloutWorld struct {
	store *stand.Store
	nodes []*node.Node
	seq   atomic.Uint64
}

// newRolloutWorld starts two instances and servers of version v1, and a caller that sends requests to
// both instances until the test ends. The instance with the number cutOff can't reach the store.
func newRolloutWorld(t *testing.T, cutOff int) *rolloutWorld {
	t.Helper()
	store, err := stand.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	w := &rolloutWorld{store: store}
	store.PutConfig(platform.ConfigDocument{Version: 1, Routes: []platform.RouteEntry{{
		Name: "r", Host: "desk", Prefix: "/a/", Kind: "safe", TimeoutMillis: 1000, TargetMillis: 300, Group: "g", Attempts: 2,
	}}})
	var seeds []string
	for i := range 2 {
		address := store.Address()
		if i == cutOff {
			address = "127.0.0.1:9"
		}
		directory := platform.NewDirectory(address, node.DefaultGuard())
		n, err := node.New(instanceSettings(model.InstanceID(fmt.Sprintf("i%d", i)), seeds...), node.Dependencies{
			Log:      &log.Logger{Level: log.ErrorLevel},
			Platform: &node.Platform{Directory: directory, HeaderNames: platform.Headers(), Rollouts: directory},
		})
		if err != nil {
			t.Fatal(err)
		}
		seeds = append(seeds, n.ControlAddress())
		w.nodes = append(w.nodes, n)
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan struct{})
		go func() {
			defer close(done)
			_ = n.Run(ctx)
		}()
		t.Cleanup(func() { cancel(); <-done; directory.Close() })
	}
	w.addServers(t, "v1")
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	for _, n := range w.nodes {
		callers.Go(func() { w.call(ctx, n.Address()) })
	}
	t.Cleanup(func() { cancel(); callers.Wait() })
	return w
}

// addServers starts two servers of a version.
func (w *rolloutWorld) addServers(t *testing.T, version string) (out []*stand.Server) {
	t.Helper()
	for i := range 2 {
		s, err := stand.NewServer(fmt.Sprintf("%s-%d", version, i), "g", "dc0", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(s.Close)
		w.store.PutServer(s.ID, platform.ServerEntry{
			Group: "g", Address: s.Address(), DataCentre: "dc0", Slots: 4, State: "ready", StartMillis: 1, Sequence: 1, Version: version,
		})
		out = append(out, s)
	}
	return out
}

// call sends about fifty requests a second to an instance until the context ends.
func (w *rolloutWorld) call(ctx context.Context, address string) {
	client := &http.Client{Timeout: 2 * time.Second}
	defer client.CloseIdleConnections()
	for ctx.Err() == nil {
		time.Sleep(20 * time.Millisecond)
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/a/x", nil)
		if err != nil {
			return
		}
		r.Host = "desk"
		r.Header.Set(platform.Headers().Request, fmt.Sprintf("q%d", w.seq.Add(1)))
		if reply, err := client.Do(r); err == nil {
			_ = reply.Body.Close()
		}
	}
}

// decided waits for a final state of the group's roll-out.
func (w *rolloutWorld) decided(t *testing.T, within time.Duration) platform.StatusEntry {
	t.Helper()
	for end := time.Now().Add(within); ; time.Sleep(50 * time.Millisecond) {
		status, ok := w.store.Status("g")
		if ok && status.State != "running" {
			return status
		}
		if time.Now().After(end) {
			t.Fatalf("no decision within %v: %+v", within, status)
		}
	}
}

// runs returns the number of requests that servers have begun.
func runs(servers []*stand.Server) (n int) {
	for _, s := range servers {
		n += len(s.Runs())
	}
	return n
}

// TestRolloutThroughStore plays a good and a bad roll-out with real instances, a store that is busy and
// loses a reply, and real connections. It guards against parts that don't fit together: entries that
// aren't decoded, a status that isn't written, servers that are used in spite of it.
func TestRolloutThroughStore(t *testing.T) {
	t.Parallel()
	tests := []struct {
		name   string
		bad    bool
		cutOff int
		want   string
	}{
		{"good", false, -1, "completed"},
		{"bad", true, -1, "rolled_back"},
		{"good, the first instance can't reach the store", false, 0, "completed"},
		{"good, the second instance can't reach the store", false, 1, "completed"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			t.Parallel()
			w := newRolloutWorld(t, test.cutOff)
			time.Sleep(2 * time.Second)
			w.store.LoseReplies(1)
			w.store.PutOrder(platform.OrderEntry{Group: "g", Version: "v2", Seconds: 12})
			newer := w.addServers(t, "v2")
			if test.bad {
				for _, s := range newer {
					s.SetBehaviour(60*time.Millisecond, 0, 0)
				}
			}
			time.Sleep(2 * time.Second)
			w.store.SetBusy(true)
			time.Sleep(300 * time.Millisecond)
			w.store.SetBusy(false)
			status := w.decided(t, 12*time.Second)
			if status.State != test.want || status.Version != "v2" {
				t.Fatalf("status: got %+v, want state %q of v2", status, test.want)
			}
			t.Logf("%s: %s", status.State, status.Reason)
			time.Sleep(time.Second)
			before := runs(newer)
			time.Sleep(500 * time.Millisecond)
			if got := runs(newer) - before; (got > 0) != (test.want == "completed") {
				t.Errorf("requests to the new version in half a second after it was %s: got %d", test.want, got)
			}
		})
	}
}
