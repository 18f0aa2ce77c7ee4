// Package kvmem is a stand-in for the platform's key-value service: it keeps
// values in memory, behind the protocol of io/store, and shows the faults of the
// real one on request. It is scaffolding for demonstrations and tests; the product
// doesn't import it.
package kvmem

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/io/store"
)

// PathFaults takes Faults, and PathProcesses the platform's list, by PUT.
const (
	PathFaults    = "/control/faults"
	PathProcesses = "/control/processes"
	PathCounts    = "/control/counts"
)

// maxValue is the largest value that is taken, in bytes.
const maxValueBytes = 1 << 20

// Faults are what the stand-in does wrong.
type Faults struct {
	// Down refuses every call.
	Down bool `json:"down"`
	// SlowMs delays every call, in milliseconds.
	SlowMs int `json:"slow-ms"`
	// LoseReplies is the number of writes that take effect and get no reply.
	LoseReplies int `json:"lose-replies"`
	// LateWriteMs delays the effect of a write whose reply is lost, in
	// milliseconds.
	LateWriteMs int `json:"late-write-ms"`
}

// Counts counts calls since the start.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

// Server is a store stand-in.
type Server struct {
	mu        sync.Mutex
	values    map[string]store.Value
	revision  int64
	changed   chan struct{}
	faults    Faults
	processes store.Processes
	counts    Counts

	listener net.Listener
	http     *http.Server
}

// Start serves on a listener until Close.
func Start(l net.Listener) *Server {
	s := &Server{values: map[string]store.Value{}, changed: make(chan struct{}), listener: l}
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+store.PathKV+"{key...}", s.withFaults(s.get))
	mux.HandleFunc("PUT "+store.PathKV+"{key...}", s.withFaults(s.put))
	mux.HandleFunc("GET "+store.PathWatch+"{key...}", s.withFaults(s.watch))
	mux.HandleFunc("GET "+store.PathProcesses, s.withFaults(s.listProcesses))
	mux.HandleFunc("PUT "+PathFaults, func(_ http.ResponseWriter, r *http.Request) {
		var f Faults
		_ = json.NewDecoder(r.Body).Decode(&f)
		s.SetFaults(f)
	})
	mux.HandleFunc("PUT "+PathProcesses, func(_ http.ResponseWriter, r *http.Request) {
		var p store.Processes
		_ = json.NewDecoder(r.Body).Decode(&p)
		s.SetProcesses(p)
	})
	mux.HandleFunc("GET "+PathCounts, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(s.Counts())
	})
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.http.Serve(l) }()
	return s
}

// Address returns the IP number and port.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close ends the server and its connections.
func (s *Server) Close() { _ = s.http.Close() }

// SetFaults replaces the faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatchers()
}

// SetProcesses replaces the platform's list.
func (s *Server) SetProcesses(p store.Processes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = p
}

// Counts returns the counts of calls.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Value returns what a key holds.
func (s *Server) Value(key string) store.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// Restore overwrites a key, as a store does that comes back with an older value.
func (s *Server) Restore(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, data)
}

// wake ends all waits; the lock is held.
func (s *Server) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key; the lock is held.
func (s *Server) set(key string, data []byte) int64 {
	s.revision++
	s.values[key] = store.Value{Revision: s.revision, Data: data}
	s.wakeWatchers()
	return s.revision
}

func (s *Server) withFaults(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		f := s.faults
		s.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
		if f.Down {
			abortConnection(w)
			return
		}
		next(w, r)
	}
}

// hangUp closes the connection without a reply.
func abortConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

func writeValue(w http.ResponseWriter, v store.Value) {
	w.Header().Set(store.HeaderRevision, strconv.FormatInt(v.Revision, 10))
	_, _ = w.Write(v.Data)
}

func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.counts.Reads++
	v, ok := s.values[r.PathValue("key")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeValue(w, v)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxValueBytes+1))
	if err != nil {
		return
	}
	if len(data) > maxValueBytes {
		http.Error(w, "value over 1 MB", http.StatusRequestEntityTooLarge)
		return
	}
	want, _ := strconv.ParseInt(r.Header.Get(store.HeaderRevision), 10, 64)
	key := r.PathValue("key")
	lost, delay := s.takeLostReply()
	if delay > 0 {
		time.AfterFunc(delay, func() { s.compareAndSwap(key, want, data) })
		abortConnection(w)
		return
	}
	revision, ok := s.compareAndSwap(key, want, data)
	switch {
	case lost:
		abortConnection(w)
	case !ok:
		w.Header().Set(store.HeaderRevision, strconv.FormatInt(revision, 10))
		http.Error(w, "revision conflict", http.StatusPreconditionFailed)
	default:
		writeValue(w, store.Value{Revision: revision})
	}
}

// loseReply says whether the reply of this write is to be lost, and how late it
// takes effect.
func (s *Server) takeLostReply() (lost bool, delay time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Writes++
	if s.faults.LoseReplies == 0 {
		return false, 0
	}
	s.faults.LoseReplies--
	return true, time.Duration(s.faults.LateWriteMs) * time.Millisecond
}

// swap is the compare-and-swap.
func (s *Server) compareAndSwap(key string, want int64, data []byte) (revision int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if have := s.values[key].Revision; have != want {
		return have, false
	}
	return s.set(key, data), true
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	end := time.NewTimer(wait)
	defer end.Stop()
	key := strings.TrimPrefix(r.URL.Path, store.PathWatch)
	s.mu.Lock()
	s.counts.Watches++
	s.mu.Unlock()
	for {
		s.mu.Lock()
		v, changed, down := s.values[key], s.changed, s.faults.Down
		s.mu.Unlock()
		if down {
			abortConnection(w)
			return
		}
		if v.Revision != 0 && v.Revision != after {
			writeValue(w, v)
			return
		}
		select {
		case <-changed:
		case <-end.C:
			writeValue(w, store.Value{Revision: after})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) listProcesses(w http.ResponseWriter, _ *http.Request) {
	s.mu.Lock()
	s.counts.Reads++
	p := s.processes
	s.mu.Unlock()
	_ = json.NewEncoder(w).Encode(p)
}

// LoadProcesses sets the platform's list from JSON.
func (s *Server) LoadProcesses(data []byte) (err error) {
	var p store.Processes
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Wrap(err, "list of processes")
	}
	s.SetProcesses(p)
	return nil
}
