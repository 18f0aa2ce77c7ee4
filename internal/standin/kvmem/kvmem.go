// Package kvmem is a stand-in for the platform's key-value service. It keeps values
// in memory, implements the protocol of io/store, and injects the faults of the real
// service on request. Only demonstrations and tests import it.
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

// Paths of the control interface. A PUT to PathFaults sets the faults, and to
// PathProcesses the platform's list of processes. A GET of PathCounts returns Counts.
const (
	PathFaults    = "/control/faults"
	PathProcesses = "/control/processes"
	PathCounts    = "/control/counts"
)

// maxValueBytes is the maximum size of a value.
const maxValueBytes = 1 << 20

// Faults configures the faults that the stand-in injects.
type Faults struct {
	// Down closes the connection of every call without a reply.
	Down bool `json:"down"`
	// SlowMs delays every call, in milliseconds.
	SlowMs int `json:"slow-ms"`
	// LoseReplies is the number of next writes that take effect but get no reply.
	LoseReplies int `json:"lose-replies"`
	// LateWriteMs delays the effect of a write whose reply is lost, in
	// milliseconds.
	LateWriteMs int `json:"late-write-ms"`
}

// Counts holds the number of calls since the start.
type Counts struct {
	Reads   int `json:"reads"`
	Writes  int `json:"writes"`
	Watches int `json:"watches"`
}

// Server is a store stand-in.
type Server struct {
	mu       sync.Mutex
	values   map[string]store.Value
	revision int64
	// changed is closed and replaced at each write and each change of the faults.
	changed   chan struct{}
	faults    Faults
	processes store.Processes
	counts    Counts
	// era is named in all replies unless it is empty.
	era string

	listener net.Listener
	http     *http.Server
}

// Start starts a server on a listener; it runs until Close.
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

// Address returns the IP address and port of the server.
func (s *Server) Address() string { return s.listener.Addr().String() }

// Close stops the server and closes its connections.
func (s *Server) Close() { _ = s.http.Close() }

// SetFaults replaces the injected faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
	s.wakeWatchers()
}

// SetProcesses replaces the platform's list of processes.
func (s *Server) SetProcesses(p store.Processes) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.processes = p
}

// Counts returns the number of calls so far.
func (s *Server) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counts
}

// Value returns the value of a key.
func (s *Server) Value(key string) store.Value {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.values[key]
}

// Restore overwrites a key unconditionally, like a store that was restored from an older
// copy.
func (s *Server) Restore(key string, data []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.set(key, data)
}

// SetEra sets the era that all replies name; empty for none.
func (s *Server) SetEra(era string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.era = era
}

// wakeWatchers wakes all watch calls. The caller holds s.mu.
func (s *Server) wakeWatchers() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// set writes a key. The caller holds s.mu.
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
		if s.era != "" {
			w.Header().Set(store.HeaderEra, s.era)
		}
		s.mu.Unlock()
		time.Sleep(time.Duration(f.SlowMs) * time.Millisecond)
		if f.Down {
			abortConnection(w)
			return
		}
		next(w, r)
	}
}

// abortConnection closes the connection without a reply.
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
	expected, _ := strconv.ParseInt(r.Header.Get(store.HeaderRevision), 10, 64)
	key := r.PathValue("key")
	lost, delay := s.takeLostReply()
	if delay > 0 {
		time.AfterFunc(delay, func() { s.compareAndSwap(key, expected, data) })
		abortConnection(w)
		return
	}
	revision, ok := s.compareAndSwap(key, expected, data)
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

// takeLostReply reports whether the reply to this write is lost, and the delay after
// which the write then takes effect.
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

// compareAndSwap writes a key if its revision is the expected one. It returns the key's
// revision afterwards.
func (s *Server) compareAndSwap(key string, expected int64, data []byte) (revision int64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if current := s.values[key].Revision; current != expected {
		return current, false
	}
	return s.set(key, data), true
}

func (s *Server) watch(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
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
		case <-timeout.C:
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

// LoadProcesses sets the platform's list of processes from JSON.
func (s *Server) LoadProcesses(data []byte) (err error) {
	var p store.Processes
	if err := json.Unmarshal(data, &p); err != nil {
		return errors.Wrap(err, "list of processes")
	}
	s.SetProcesses(p)
	return nil
}
