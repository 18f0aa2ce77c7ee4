package relay

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
)

const (
	// maxStartWait and maxStartWaitFraction limit the time for which a request waits for the
	// directory of an instance that has just started; the latter is a fraction of the caller's
	// timeout. The directory usually arrives sooner.
	maxStartWait         = 500 * time.Millisecond
	maxStartWaitFraction = 0.25
	// maxStartQueue is the maximum number of such requests.
	maxStartQueue = 512
)

// earlyRequest is a request that arrived before the directory was loaded.
type earlyRequest struct {
	event.RoutedRequest
	arrivedAt time.Time
}

// ready reports whether requests can be matched with a route.
func (s *System) ready() bool { return s.Servers.Loaded() && s.table.Version != 0 }

// awaitDirectory keeps a request until the directory is loaded. It returns false if the request
// must be refused instead: the directory doesn't answer, or too many requests wait. After a
// loss of all instances the caller's retry would reach another one that has just started, and
// callers retry only a few times.
func (s *System) awaitDirectory(now time.Time, r event.RoutedRequest) bool {
	if s.directoryFailed || len(s.early) >= maxStartQueue {
		return false
	}
	wait := maxStartWait
	if r.CallerTimeout > 0 {
		wait = min(wait, time.Duration(maxStartWaitFraction*float64(r.CallerTimeout)))
	}
	s.early = append(s.early, earlyRequest{RoutedRequest: r, arrivedAt: now})
	s.timers.Set(now.Add(wait), timerEvent{kind: timerStartWait, request: r.Query})
	return true
}

// DirectoryLoaded serves the requests that waited for the directory, if a routing table is known
// as well.
func (s *System) DirectoryLoaded(now time.Time) {
	s.directoryFailed = false
	if !s.ready() {
		return
	}
	early := s.early
	s.early = nil
	for _, r := range early {
		s.serve(now, r.arrivedAt, r.RoutedRequest)
	}
}

// DirectoryFailed refuses the requests that wait for the directory, which doesn't answer. Until
// it does, requests don't wait.
func (s *System) DirectoryFailed(now time.Time) {
	s.directoryFailed = true
	for len(s.early) > 0 {
		s.refuseEarly(now, 0, "the directory doesn't answer")
	}
}

// endStartWait refuses a request that has waited for the directory for too long.
func (s *System) endStartWait(now time.Time, id event.QueryID) {
	if i := s.earlyIndex(id); i >= 0 {
		s.refuseEarly(now, i, "the directory has not been read yet")
	}
}

// earlyIndex returns the index of a waiting request, or -1.
func (s *System) earlyIndex(id event.QueryID) int {
	return slices.IndexFunc(s.early, func(r earlyRequest) bool { return r.Query == id })
}

// refuseEarly refuses a waiting request.
func (s *System) refuseEarly(now time.Time, index int, detail string) {
	r := s.early[index]
	s.early = slices.Delete(s.early, index, index+1)
	q := &Request{RoutedRequest: r.RoutedRequest, ArrivedAt: r.arrivedAt, Version: s.table.Version}
	s.refuse(now, q, event.RefuseNotReady, longRetryAfter, detail)
}

// dropEarly forgets a waiting request whose caller has disconnected. It reports whether there
// was one.
func (s *System) dropEarly(id event.QueryID) bool {
	i := s.earlyIndex(id)
	if i < 0 {
		return false
	}
	s.early = slices.Delete(s.early, i, i+1)
	s.Counters.CallersDisconnected++
	return true
}
