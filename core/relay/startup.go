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
	// registrationTime is the time after the directory was loaded within which servers may
	// still register: those whose entries lapsed during an outage of the directory are back
	// within about two seconds.
	registrationTime = 2 * time.Second
)

// earlyRequest is a request that arrived before the directory was loaded, or before enough of its
// servers had registered.
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
func (s *System) awaitDirectory(now, arrivedAt time.Time, r event.RoutedRequest) bool {
	return !s.directoryFailed && s.keepEarly(now, arrivedAt, r)
}

// awaitServers keeps a request for which too few servers are registered, if the directory was
// loaded only recently.
func (s *System) awaitServers(now, arrivedAt time.Time, r event.RoutedRequest) bool {
	return now.Sub(s.loadedAt) < registrationTime && s.keepEarly(now, arrivedAt, r)
}

// keepEarly keeps a request until the directory changes or its wait is over. It returns false if
// its wait is over or too many requests wait.
func (s *System) keepEarly(now, arrivedAt time.Time, r event.RoutedRequest) bool {
	wait := maxStartWait
	if r.CallerTimeout > 0 {
		wait = min(wait, time.Duration(maxStartWaitFraction*float64(r.CallerTimeout)))
	}
	end := s.beforeStop(arrivedAt.Add(wait))
	if !now.Before(end) || len(s.early) >= maxStartQueue {
		return false
	}
	s.early = append(s.early, earlyRequest{RoutedRequest: r, arrivedAt: arrivedAt})
	s.timers.Set(end, timerEvent{kind: timerStartWait, request: r.Query})
	return true
}

// DirectoryChanged serves the requests that waited for the directory or its servers, if a routing
// table is known. It is called after each change of the directory.
func (s *System) DirectoryChanged(now time.Time) {
	s.directoryFailed = false
	if !s.ready() {
		return
	}
	if s.loadedAt.IsZero() {
		s.loadedAt = now
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

// endStartWait refuses a request that has waited for too long.
func (s *System) endStartWait(now time.Time, id event.QueryID) {
	i := s.earlyIndex(id)
	switch {
	case i < 0:
	case s.ready():
		r := s.early[i]
		s.early = slices.Delete(s.early, i, i+1)
		s.serve(now, r.arrivedAt, r.RoutedRequest)
	default:
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
