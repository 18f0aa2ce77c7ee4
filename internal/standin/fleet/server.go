package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/back"
)

// Stats holds counters of a server.
type Stats struct {
	// Runs counts executed requests; Sheds counts requests refused because of overload.
	Runs  int `json:"runs"`
	Sheds int `json:"sheds"`
	// Crashes counts all crashes; Overloads counts those caused by too many concurrent
	// requests while the server was cold.
	Crashes   int `json:"crashes"`
	Overloads int `json:"overloads"`
	// InFlight is the current number of requests. Peak is its maximum since the last
	// ResetPeaks, and ColdPeak its maximum while the server was cold.
	InFlight int `json:"in-flight"`
	Peak     int `json:"peak"`
	ColdPeak int `json:"cold-peak"`
	// LastRun is the time at which the last execution began.
	LastRun time.Time `json:"last-run"`
}

// Server is one backend server stand-in.
type Server struct {
	model.Server
	fleet    *Fleet
	service  string
	group    model.Group
	slots    int
	maxConns int

	mu   sync.Mutex
	http *http.Server
	boot string
	// runsSinceCold counts the requests executed since the last cold start. The server is
	// warm once the count reaches runsUntilWarm. With Options.StartWarm, it starts at
	// runsUntilWarm.
	runsSinceCold int
	faults        Faults
	snapshots     []model.Snapshot
	epoch         model.MapEpoch
	stats         Stats
	// usedSlots contains an element per request that occupies a slot.
	usedSlots chan struct{}
}

func newServer(f *Fleet, svc *model.Service, g model.Group, b model.Server) *Server {
	s := &Server{
		Server: b, fleet: f, service: svc.Name, group: g, slots: svc.Slots, maxConns: svc.Connections,
		epoch: svc.Epoch, snapshots: f.options.Snapshots, usedSlots: make(chan struct{}, svc.Slots),
	}
	if f.options.StartWarm {
		s.runsSinceCold = runsUntilWarm
	}
	return s
}

// listen starts the server with a new boot identity.
func (s *Server) listen() (err error) {
	defer func() { err = errors.Wrapf(err, "server %s", s.ID) }()
	l, err := net.Listen("tcp", s.Address)
	if err != nil {
		return err
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+back.PathRun, s.handleRun)
	mux.HandleFunc("GET "+back.PathStatus, s.handleStatus)
	server := &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	s.mu.Lock()
	s.http = server
	s.boot = s.fleet.nextBoot()
	s.mu.Unlock()
	go func() { _ = server.Serve(&limitedListener{Listener: l, server: s}) }()
	return nil
}

// stop stops the server and closes its connections.
func (s *Server) stop() {
	s.mu.Lock()
	server := s.http
	s.mu.Unlock()
	if server != nil {
		_ = server.Close()
	}
}

// limitedListener limits the number of connections and delays their first read.
type limitedListener struct {
	net.Listener
	server    *Server
	mu        sync.Mutex
	openConns int
}

// Accept implements net.Listener. It closes connections beyond the limit at once.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.mu.Lock()
		full := l.openConns >= l.server.maxConns
		if !full {
			l.openConns++
		}
		l.mu.Unlock()
		if !full {
			return &delayedConn{Conn: c, listener: l}, nil
		}
		_ = c.Close()
	}
}

// delayedConn delays the first read of a connection by ConnectTime.
type delayedConn struct {
	net.Conn
	listener  *limitedListener
	firstRead sync.Once
	closeOnce sync.Once
}

// Read implements net.Conn.
func (c *delayedConn) Read(b []byte) (int, error) {
	c.firstRead.Do(func() { time.Sleep(c.listener.server.fleet.options.ConnectTime) })
	return c.Conn.Read(b)
}

// Close implements net.Conn.
func (c *delayedConn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		c.listener.openConns--
		c.listener.mu.Unlock()
	})
	return c.Conn.Close()
}

// SetFaults replaces the injected faults of a server.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// SetData sets the snapshots and the shard map version that a server serves.
func (s *Server) SetData(snapshots []model.Snapshot, epoch model.MapEpoch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshots, s.epoch = snapshots, epoch
}

// MakeCold makes a server cold without a restart.
func (s *Server) MakeCold() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runsSinceCold = 0
}

// Stats returns the counters of a server.
func (s *Server) Stats() Stats {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.stats
}

// ResetPeaks sets Peak and ColdPeak to zero.
func (s *Server) ResetPeaks() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.Peak, s.stats.ColdPeak = 0, 0
}

// Warm reports whether the server is warm and can handle full load.
func (s *Server) Warm() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.runsSinceCold >= runsUntilWarm
}

// Crash stops the server at once. It restarts cold after restartDelay.
func (s *Server) Crash() {
	s.mu.Lock()
	s.stats.Crashes++
	s.runsSinceCold = 0
	s.mu.Unlock()
	s.stop()
	time.AfterFunc(restartDelay, func() {
		for !s.fleet.isClosed() && s.listen() != nil {
			time.Sleep(restartDelay)
		}
	})
}

// Stop stops the server permanently.
func (s *Server) Stop() { s.stop() }

// capacity returns the number of concurrent requests that the server can handle. The
// caller holds s.mu.
func (s *Server) capacity() int {
	if s.runsSinceCold >= runsUntilWarm {
		return s.slots * (1 + queuePerSlot)
	}
	return 1 + s.runsSinceCold*s.slots/runsUntilWarm
}

// admit counts a request as in flight or returns the reason to refuse it. It sets crash
// if the request overloads a cold server.
func (s *Server) admit() (refusal event.RefusalReason, crash bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.faults.Drain:
		return event.RefusedDraining, false
	case s.faults.Shed:
		s.stats.Sheds++
		return event.RefusedShed, false
	}
	cold := s.runsSinceCold < runsUntilWarm
	if s.stats.InFlight >= s.capacity() {
		if cold {
			s.stats.Overloads++
			return "", true
		}
		s.stats.Sheds++
		return event.RefusedShed, false
	}
	s.stats.InFlight++
	s.stats.Peak = max(s.stats.Peak, s.stats.InFlight)
	if cold {
		s.stats.ColdPeak = max(s.stats.ColdPeak, s.stats.InFlight)
	}
	return "", false
}

// release counts a request as no longer in flight.
func (s *Server) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.stats.InFlight--
}

// poisonMarker marks a query that crashes every server that executes it.
const poisonMarker = `"poison":true`

func (s *Server) handleRun(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(r.Context(), timeoutOf(r))
	defer cancel()
	s.waitNetworkDelay(ctx, r)
	s.mu.Lock()
	faults := s.faults
	s.mu.Unlock()
	if faults.Cut == CutBefore {
		abortConnection(w)
		return
	}
	if reason := s.dataRefusal(r); reason != "" {
		s.refuse(w, r, reason)
		return
	}
	refusal, crash := s.admit()
	if crash || (refusal == "" && strings.Contains(strings.ReplaceAll(string(body), " ", ""), poisonMarker)) {
		s.Crash()
		return
	}
	if refusal != "" {
		s.refuse(w, r, refusal)
		return
	}
	done := s.execute(ctx, r, body)
	s.release()
	if !done {
		abortConnection(w)
		return
	}
	s.sleep(ctx, time.Duration(faults.LateMs)*time.Millisecond)
	s.waitNetworkDelay(ctx, r)
	if faults.Cut == CutAfter {
		abortConnection(w)
		return
	}
	s.writeAnswer(w, r, faults)
}

// execute waits for a slot and executes the request. It returns false if the caller
// disconnected or the deadline passed before the execution began.
func (s *Server) execute(ctx context.Context, r *http.Request, body []byte) bool {
	select {
	case s.usedSlots <- struct{}{}:
		defer func() { <-s.usedSlots }()
	case <-ctx.Done():
		return false
	}
	if ctx.Err() != nil {
		return false
	}
	s.mu.Lock()
	s.stats.Runs++
	s.stats.LastRun = time.Now()
	serviceTime := s.fleet.options.RunTime
	if s.runsSinceCold < runsUntilWarm {
		serviceTime *= coldSlowdown
	}
	serviceTime += time.Duration(s.faults.StraggleMs) * time.Millisecond
	s.mu.Unlock()
	if once := r.Header.Get(back.HeaderOnce); once != "" {
		s.fleet.record(Run{Once: once, Server: s.ID, Attempt: r.Header.Get(back.HeaderAttempt), Body: string(body), At: time.Now()})
		// The execution of a non-idempotent request is not cancelled once it has begun.
		ctx = context.WithoutCancel(ctx)
	}
	s.sleep(ctx, serviceTime)
	s.mu.Lock()
	s.runsSinceCold++
	s.mu.Unlock()
	return true
}

// dataRefusal returns the reason for a refusal if the server doesn't serve the snapshot
// or the shard map version of a request.
func (s *Server) dataRefusal(r *http.Request) event.RefusalReason {
	s.mu.Lock()
	defer s.mu.Unlock()
	epoch, _ := strconv.ParseUint(r.Header.Get(back.HeaderEpoch), 10, 64)
	if model.MapEpoch(epoch) != s.epoch {
		return event.RefusedEpoch
	}
	want, _ := strconv.ParseUint(r.Header.Get(back.HeaderSnapshot), 10, 64)
	for _, v := range s.snapshots {
		if v == model.Snapshot(want) {
			return ""
		}
	}
	return event.RefusedSnapshot
}

func timeoutOf(r *http.Request) time.Duration {
	ms, err := strconv.Atoi(r.Header.Get(back.HeaderTimeout))
	if err != nil {
		return time.Minute
	}
	return time.Duration(ms) * time.Millisecond
}

// waitNetworkDelay waits for the one-way network delay between the sender's data centre
// and the server's.
func (s *Server) waitNetworkDelay(ctx context.Context, r *http.Request) {
	if s.fleet.options.Delay != nil {
		s.sleep(ctx, s.fleet.options.Delay(r.Header.Get(back.HeaderDataCentre), s.DataCentre))
	}
}

// sleep waits for d or until ctx is done.
func (s *Server) sleep(ctx context.Context, d time.Duration) {
	if d <= 0 {
		return
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}

// setStateHeaders sets the header fields that describe the server's state.
func (s *Server) setStateHeaders(h http.Header) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h.Set(back.HeaderBoot, s.boot)
	h.Set(back.HeaderSnapshots, back.FormatSnapshots(s.snapshots))
	h.Set(back.HeaderServerEpoch, strconv.FormatUint(uint64(s.epoch), 10))
	if s.faults.Drain {
		h.Set(back.HeaderDraining, "true")
	}
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, reason event.RefusalReason) {
	h := w.Header()
	s.setStateHeaders(h)
	h.Set(back.HeaderAttempt, r.Header.Get(back.HeaderAttempt))
	h.Set(back.HeaderGroup, r.Header.Get(back.HeaderGroup))
	h.Set(back.HeaderNotRun, string(reason))
	w.WriteHeader(http.StatusServiceUnavailable)
}

// Reply is the body of the stand-in's answers.
type Reply struct {
	Server   model.ServerID `json:"server"`
	Group    string         `json:"group"`
	Snapshot string         `json:"snapshot"`
	Found    int            `json:"found"`
}

func (s *Server) writeAnswer(w http.ResponseWriter, r *http.Request, f Faults) {
	h := w.Header()
	s.setStateHeaders(h)
	snapshot := r.Header.Get(back.HeaderSnapshot)
	body, _ := json.Marshal(Reply{Server: s.ID, Group: s.group.Name, Snapshot: snapshot, Found: int(s.group.Keys.Size())})
	h.Set("Content-Type", "application/json")
	h.Set(back.HeaderAttempt, r.Header.Get(back.HeaderAttempt))
	h.Set(back.HeaderGroup, s.group.Name)
	h.Set(back.HeaderSnapshot, snapshot)
	h.Set(back.HeaderEpoch, r.Header.Get(back.HeaderEpoch))
	h.Set(back.HeaderDigest, back.DigestOf(body))
	h.Set("Content-Length", strconv.Itoa(len(body)))
	switch f.Reply {
	case ReplyCrossed:
		h.Set(back.HeaderAttempt, "another/1/1/0/1")
	case ReplyGroup:
		h.Set(back.HeaderGroup, "another")
	case ReplyAltered:
		body[len(body)/2] ^= 1
	case ReplyTruncated:
		w.WriteHeader(http.StatusOK)
		_, _ = w.Write(body[:len(body)/2])
		_ = http.NewResponseController(w).Flush()
		abortConnection(w)
		return
	}
	_, _ = w.Write(body)
}

func (s *Server) handleStatus(w http.ResponseWriter, r *http.Request) {
	s.waitNetworkDelay(r.Context(), r)
	s.mu.Lock()
	out := back.Status{Boot: s.boot, Draining: s.faults.Drain && !s.faults.StatusLies, Snapshots: s.snapshots, Epoch: s.epoch}
	silent := s.faults.StatusSilent
	s.mu.Unlock()
	if silent {
		abortConnection(w)
		return
	}
	s.waitNetworkDelay(r.Context(), r)
	w.Header().Set(back.HeaderAttempt, r.Header.Get(back.HeaderAttempt))
	_ = json.NewEncoder(w).Encode(out)
}

// abortConnection closes the connection without a reply.
func abortConnection(w http.ResponseWriter) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err == nil {
		_ = conn.Close()
	}
}

// String returns the server's ID and address.
func (s *Server) String() string { return fmt.Sprintf("%s (%s)", s.ID, s.Address) }
