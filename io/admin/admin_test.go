package admin_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/model"
	"hyssoppitch/decl/sample"
	"hyssoppitch/internal/standin/kvmem"
	"hyssoppitch/io/admin"
	"hyssoppitch/io/node"
	"hyssoppitch/io/store"
)

func newStore(t *testing.T) (*kvmem.Server, *store.Client) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := kvmem.Start(l)
	c := store.New(s.Address(), node.DefaultGuard())
	t.Cleanup(func() { c.Close(); s.Close() })
	return s, c
}

func config(t *testing.T) model.Config {
	t.Helper()
	c, err := sample.Trust(sample.Layout{IP: "127.0.0.1", BasePort: 21000}).Config()
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func TestApplyReportsWhetherChangeWasAccepted(t *testing.T) {
	tests := []struct {
		name string
		// fault injects a fault after version 1 was accepted and before version 2 is
		// applied.
		fault func(s *kvmem.Server)
		from  uint64
		want  error
		// version is the accepted version at the end.
		version uint64
	}{
		{name: "no fault", from: 1, version: 2},
		{name: "change made from an older version", from: 0, want: admin.ErrConflict, version: 1},
		{name: "change made from a version that does not exist yet", from: 7, want: admin.ErrConflict, version: 1},
		{name: "reply to the write of the root is lost", from: 1, version: 2, fault: func(s *kvmem.Server) {
			s.SetFaults(kvmem.Faults{LoseReplies: 1})
		}},
		{name: "write of the root takes effect late and its reply is lost", from: 1, version: 2, fault: func(s *kvmem.Server) {
			s.SetFaults(kvmem.Faults{LoseReplies: 1, LateWriteMs: 300})
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s, c := newStore(t)
			ctx := context.Background()
			if _, err := admin.Apply(ctx, c, config(t), 0, "first"); err != nil {
				t.Fatal(err)
			}
			next := config(t)
			// Only the root changes, so that the parts need not be written.
			next.DataCentres[0].State = model.DataCentreOut
			if test.fault != nil {
				test.fault(s)
			}
			// rootOnlyStore refuses the parts, as the store does with parts that exist.
			_, err := admin.Apply(ctx, &rootOnlyStore{Client: c}, next, test.from, "second")
			if !errors.Is(err, test.want) {
				t.Errorf("got error %v, want %v", err, test.want)
			}
			current, err := admin.Read(ctx, c)
			if err != nil {
				t.Fatal(err)
			}
			if current.Config.Version != test.version {
				t.Errorf("accepted version: got %d, want %d", current.Config.Version, test.version)
			}
		})
	}
}

// rootOnlyStore answers writes of parts as if the parts existed already. Only the write of
// the root reaches the store, so that an injected fault affects that write.
type rootOnlyStore struct{ *store.Client }

func (r *rootOnlyStore) Swap(ctx context.Context, key string, revision int64, data []byte) (store.Value, error) {
	if key != conf.RootKey {
		return store.Value{}, store.ErrConflict
	}
	return r.Client.Swap(ctx, key, revision, data)
}

func TestApplyReportsUnknownOutcomeWhenStoreGoesDown(t *testing.T) {
	s, c := newStore(t)
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	if _, err := admin.Apply(context.Background(), c, config(t), 0, "first"); err != nil {
		t.Fatal(err)
	}
	failingStore := &storeDownAtRootWrite{rootOnlyStore: rootOnlyStore{Client: c}, s: s}
	if _, err := admin.Apply(ctx, failingStore, config(t), 1, "second"); !errors.Is(err, admin.ErrUnknown) {
		t.Errorf("got %v, want %v", err, admin.ErrUnknown)
	}
}

// storeDownAtRootWrite takes the store down just before the root is written.
type storeDownAtRootWrite struct {
	rootOnlyStore
	s *kvmem.Server
}

func (r *storeDownAtRootWrite) Swap(ctx context.Context, key string, revision int64, data []byte) (store.Value, error) {
	if key == conf.RootKey {
		r.s.SetFaults(kvmem.Faults{Down: true})
	}
	return r.rootOnlyStore.Swap(ctx, key, revision, data)
}

// TestConcurrentApplyAcceptsOne checks that of several operators who concurrently apply
// changes made from the same version, one succeeds and the others get ErrConflict.
func TestConcurrentApplyAcceptsOne(t *testing.T) {
	const operators = 8
	_, c := newStore(t)
	ctx := context.Background()
	if _, err := admin.Apply(ctx, c, config(t), 0, "first"); err != nil {
		t.Fatal(err)
	}
	results := make([]error, operators)
	var group sync.WaitGroup
	for i := range operators {
		group.Go(func() {
			next := config(t)
			next.Services[0].Slots = 3 + i
			_, results[i] = admin.Apply(ctx, c, next, 1, fmt.Sprintf("operator-%d", i))
		})
	}
	group.Wait()
	accepted := -1
	for i, err := range results {
		switch {
		case err == nil && accepted < 0:
			accepted = i
		case err == nil:
			t.Errorf("operators %d and %d were both accepted", accepted, i)
		case !errors.Is(err, admin.ErrConflict):
			t.Errorf("operator %d: got %v, want %v", i, err, admin.ErrConflict)
		}
	}
	current, err := admin.Read(ctx, c)
	if err != nil {
		t.Fatal(err)
	}
	if want := fmt.Sprintf("operator-%d", accepted); current.Config.Change != want || current.Config.Version != 2 {
		t.Errorf("got version %d by %q, want 2 by %q", current.Config.Version, current.Config.Change, want)
	}
}

// TestApplyRejectsChangeAfterStoreRollback checks that, after the store fell back to an
// older root, a change made from the lost version is rejected and leaves the root as it
// is.
func TestApplyRejectsChangeAfterStoreRollback(t *testing.T) {
	s, c := newStore(t)
	ctx := context.Background()
	if _, err := admin.Apply(ctx, c, config(t), 0, "first"); err != nil {
		t.Fatal(err)
	}
	old := s.Value(conf.RootKey).Data
	if _, err := admin.Apply(ctx, c, config(t), 1, "second"); err != nil {
		t.Fatal(err)
	}
	s.Restore(conf.RootKey, old)
	if _, err := admin.Apply(ctx, c, config(t), 2, "third"); !errors.Is(err, admin.ErrConflict) {
		t.Errorf("got %v, want %v", err, admin.ErrConflict)
	}
	var root conf.Root
	if err := json.Unmarshal(s.Value(conf.RootKey).Data, &root); err != nil || root.Version != 1 {
		t.Errorf("got version %d %v, want 1", root.Version, err)
	}
}

// TestStatusReplyWithoutEnd guards against a command that reads a reply without end into memory, for as long as
// a call may take.
func TestStatusReplyWithoutEnd(t *testing.T) {
	t.Parallel()
	for _, begin := range []string{`{"version":1,"change":"`, `{"members":[`} {
		var sent atomic.Int64
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			part := []byte(strings.Repeat("{},", 20_000))
			_, err := w.Write([]byte(begin))
			for err == nil {
				var n int
				n, err = w.Write(part)
				sent.Add(int64(n))
			}
		}))
		got := admin.Statuses(t.Context(), []string{server.Listener.Addr().String()}, false)
		server.Close()
		if len(got) != 1 || got[0].Status != nil || got[0].Error == "" {
			t.Errorf("%s…: got %+v, want an error", begin, got)
		}
		// The kernel and net/http hold some MiB on the way.
		if got, want := sent.Load(), int64(32<<20); got > want {
			t.Errorf("%s…: the command took %d bytes, want at most %d", begin, got, want)
		}
	}
}
