package store_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/internal/standin/kvmem"
	"hyssoppitch/io/guard"
	"hyssoppitch/io/store"
)

// systemClock is the machine's clock.
type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// TestStoreContract checks the contract that core relies on, against the stand-in store and
// through the protocol. Any other store must pass it too.
func TestStoreContract(t *testing.T) {
	tests := []struct {
		name string
		run  func(t *testing.T, s *kvmem.Server, c *store.Client)
	}{
		{"a missing key has revision zero", func(t *testing.T, _ *kvmem.Server, c *store.Client) {
			v, err := c.Get(context.Background(), "a/b")
			if err != nil || v.Revision != 0 {
				t.Errorf("got %+v %v, want revision 0", v, err)
			}
		}},
		{"a swap needs the current revision", func(t *testing.T, _ *kvmem.Server, c *store.Client) {
			ctx := context.Background()
			first, err := c.Swap(ctx, "a/b", 0, []byte("1"))
			if err != nil {
				t.Fatal(err)
			}
			if _, err := c.Swap(ctx, "a/b", 0, []byte("2")); !errors.Is(err, store.ErrConflict) {
				t.Errorf("swap at zero: got %v, want %v", err, store.ErrConflict)
			}
			second, err := c.Swap(ctx, "a/b", first.Revision, []byte("3"))
			if err != nil || second.Revision <= first.Revision {
				t.Errorf("revisions: got %d after %d, %v, want a higher one", second.Revision, first.Revision, err)
			}
			if v, err := c.Get(ctx, "a/b"); err != nil || string(v.Data) != "3" || v.Revision != second.Revision {
				t.Errorf("got %+v %v, want 3 at %d", v, err, second.Revision)
			}
		}},
		{"a value over 1 MB is refused and not written", func(t *testing.T, s *kvmem.Server, c *store.Client) {
			if _, err := c.Swap(context.Background(), "big", 0, make([]byte, 1<<20+1)); !errors.Is(err, store.ErrRefused) {
				t.Errorf("got %v, want %v", err, store.ErrRefused)
			}
			if got := s.Value("big").Revision; got != 0 {
				t.Errorf("revision: got %d, want 0", got)
			}
		}},
		{"a lost reply is neither success nor conflict", func(t *testing.T, s *kvmem.Server, c *store.Client) {
			s.SetFaults(kvmem.Faults{LoseReplies: 1})
			_, err := c.Swap(context.Background(), "k", 0, []byte("1"))
			if err == nil || errors.Is(err, store.ErrConflict) || errors.Is(err, store.ErrRefused) {
				t.Errorf("got %v, want an unknown result", err)
			}
			if got := string(s.Value("k").Data); got != "1" {
				t.Errorf("got %q, want the write to have taken effect once", got)
			}
		}},
		{"a call fails while the store is down", func(t *testing.T, s *kvmem.Server, c *store.Client) {
			s.SetFaults(kvmem.Faults{Down: true})
			if _, err := c.Get(context.Background(), "k"); err == nil {
				t.Error("got no error")
			}
		}},
		{"a watch returns a change at once", func(t *testing.T, s *kvmem.Server, c *store.Client) {
			type result struct {
				v   store.Value
				err error
			}
			done := make(chan result)
			go func() {
				v, err := c.Watch(context.Background(), "k", 0, time.Minute)
				done <- result{v, err}
			}()
			s.Restore("k", []byte("1"))
			if r := <-done; r.err != nil || string(r.v.Data) != "1" {
				t.Errorf("got %+v %v, want value 1", r.v, r.err)
			}
		}},
		{"a watch without a change returns the same revision", func(t *testing.T, s *kvmem.Server, c *store.Client) {
			s.Restore("k", []byte("1"))
			revision := s.Value("k").Revision
			v, err := c.Watch(context.Background(), "k", revision, time.Millisecond)
			if err != nil || v.Revision != revision {
				t.Errorf("got %+v %v, want revision %d", v, err, revision)
			}
		}},
		{"every reply names the era, or none does", func(t *testing.T, s *kvmem.Server, c *store.Client) {
			ctx := context.Background()
			for name, want := range map[string]uint64{"": 0, "1": 1, "12": 12} {
				s.SetEra(name)
				missing, errMissing := c.Get(ctx, "missing")
				swapped, errSwap := c.Swap(ctx, "k"+name, 0, []byte("1"))
				conflict, errConflict := c.Swap(ctx, "k"+name, 0, []byte("1"))
				if errMissing != nil || errSwap != nil || !errors.Is(errConflict, store.ErrConflict) {
					t.Errorf("era %q: got errors %v, %v, %v", name, errMissing, errSwap, errConflict)
				}
				if missing.Era != want || swapped.Era != want || conflict.Era != want {
					t.Errorf("era %q: got %d, %d and %d, want %d", name, missing.Era, swapped.Era, conflict.Era, want)
				}
			}
		}},
		{"a reply with an invalid era is no answer", func(t *testing.T, s *kvmem.Server, c *store.Client) {
			for _, era := range []string{"0", "-1", "x", "1.0", "99999999999999999999"} {
				s.SetEra(era)
				if v, err := c.Get(context.Background(), "k"); err == nil || !strings.Contains(err.Error(), store.HeaderEra) {
					t.Errorf("era %q: got %+v, %v, want an error that names the header", era, v, err)
				}
			}
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			s := kvmem.Start(l)
			c := store.New(s.Address(), guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}))
			defer func() { c.Close(); s.Close() }()
			test.run(t, s, c)
		})
	}
}

// TestStoreReplyTooLong checks that a value that is longer than the limit is an error, and is
// not returned cut short.
func TestStoreReplyTooLong(t *testing.T) {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Store-Revision", "7")
		_, _ = w.Write(make([]byte, 2<<20+1))
	}))
	defer s.Close()
	c := store.New(strings.TrimPrefix(s.URL, "http://"), guard.New(systemClock{}, guard.Limits{Budget: 32 << 20}))
	defer c.Close()
	if v, err := c.Get(context.Background(), "k"); err == nil {
		t.Errorf("value of 2 MiB and one byte: got %d bytes and no error, want an error", len(v.Data))
	}
}
