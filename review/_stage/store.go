package main

import (
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or an event of its history.
type item struct {
	key      string
	value    []byte
	revision uint64
	created  uint64
	removed  bool
	at       time.Time
}

func (i item) wire() map[string]any {
	if i.removed {
		return map[string]any{"key": i.key, "revision": i.revision, "compacted": true}
	}
	return map[string]any{
		"key": i.key, "value": base64.StdEncoding.EncodeToString(i.value), "revision": i.revision, "created": i.created, "lease-id": 0,
	}
}

const (
	pageItems = 500
	pageBytes = 1 << 20
)

// store is a stand-in for the platform's metadata store: reads and watches as the protocol page
// describes them. The operator and the servers write to it directly.
type store struct {
	listener net.Listener
	// history is how long past events are kept.
	history time.Duration

	mu          sync.Mutex
	revision    uint64
	items       map[string]item
	events      []item
	compactedTo uint64
	changed     chan struct{}
}

func newStore(history time.Duration) *store {
	s := &store{listener: listen(), history: history, revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(s.listener, mux) }()
	return s
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		fatal("encode %s: %v", key, err)
	}
	return s.write(item{key: key, value: data})
}

func (s *store) remove(key string) time.Time { return s.write(item{key: key, removed: true}) }

// size returns the length of the value of a key in bytes.
func (s *store) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].value)
}

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.revision, i.at, i.created = s.revision, time.Now(), s.revision
	if old, ok := s.items[i.key]; ok {
		i.created = old.created
	}
	if i.removed {
		delete(s.items, i.key)
	} else {
		s.items[i.key] = i
	}
	s.events = append(s.events, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return i.at
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var found []item
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(found, func(a, b int) bool { return found[a].key < found[b].key })
	items, size := []any{}, 0
	for _, i := range found {
		if len(items) > 0 && (len(items) >= pageItems || size+len(i.value) > pageBytes) {
			break
		}
		items, size = append(items, i.wire()), size+len(i.value)
	}
	reply(w, map[string]any{"items": items, "has-more": len(items) < len(found), "at-rev": revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait-ms"))
	prefix := r.URL.Query().Get("prefix")
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		for len(s.events) > 0 && time.Since(s.events[0].at) > s.history {
			s.compactedTo = s.events[0].revision
			s.events = s.events[1:]
		}
		gone, revision, changed := after < s.compactedTo, s.revision, s.changed
		events := []any{}
		for _, i := range s.events {
			if i.revision > after && strings.HasPrefix(i.key, prefix) {
				events = append(events, i.wire())
			}
		}
		s.mu.Unlock()
		if gone {
			w.WriteHeader(http.StatusGone)
			return
		}
		if len(events) > 0 {
			reply(w, map[string]any{"events": events, "at-rev": revision})
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-timeout:
			reply(w, map[string]any{"events": events, "at-rev": revision})
			return
		case <-changed:
		}
	}
}

func reply(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
