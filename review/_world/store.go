package main

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// pageSize is the number of items in one reply of a range call. The pages allow about 500.
const pageSize = 100

// item is an entry of the store, or an event that removes one.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created,omitempty"`
	Lease    uint64 `json:"lease-id"`
	Removed  bool   `json:"compacted,omitempty"`
}

// store is a stand-in for the platform's metadata store. It serves range and watch calls.
type store struct {
	listener net.Listener

	mu       sync.Mutex
	revision uint64
	items    map[string]item
	events   []item
	// changed is closed and replaced at each write.
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{listener: l, revision: 1, items: map[string]item{}, changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-range", s.serveRange)
	mux.HandleFunc("GET /v1/kv-watch", s.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// put writes a key and returns the time of the acknowledgement.
func (s *store) put(key string, value any) time.Time {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return s.write(item{Key: key, Value: data})
}

// remove removes a key and returns the time of the acknowledgement.
func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Removed: true}) }

func (s *store) write(it item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision, it.Created = s.revision, s.revision
	if old, ok := s.items[it.Key]; ok {
		it.Created = old.Created
	}
	if it.Removed {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.events = append(s.events, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, it)
		}
	}
	slices.SortFunc(found, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	more := len(found) > pageSize
	reply(w, map[string]any{"items": found[:min(len(found), pageSize)], "has-more": more, "at-rev": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseUint(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait-ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		events := []item{}
		s.mu.Lock()
		for _, it := range s.events {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || !waiting {
			reply(w, map[string]any{"events": events, "at-rev": revision})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

// answerTime is the time that the store takes for an answer.
const answerTime = 4 * time.Millisecond

func reply(w http.ResponseWriter, body any) {
	time.Sleep(answerTime)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
