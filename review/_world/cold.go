package main

import (
	"fmt"
	"net/http"
	"time"
)

const (
	// coldPerSecond is what a cold server takes. The bound allows warmupOverage times that and
	// warmupSlack more.
	coldPerSecond = 10.0
	warmupOverage = 1.5
	warmupSlack   = 5.0
	// coldRate is the load in requests per second, and warmupTime how long a server stays cold.
	coldRate   = 90
	warmupTime = 3 * time.Second
)

// coldWork sets the time that a request takes at a server.
func coldWork(s *server) {
	s.work = func(*http.Request) time.Duration { return 15 * time.Millisecond }
}

// release replaces all servers: for each one, another starts, cold, and the old one drains.
func (w *world) release() (added []*server, err error) {
	old := w.servers
	for i, s := range old {
		next := &server{id: fmt.Sprintf("%s-%d", s.service, len(old)+1+i), service: s.service, zone: s.zone, w: w, warmup: warmupTime}
		coldWork(next)
		if err := next.start(); err != nil {
			return nil, err
		}
		next.register()
		added = append(added, next)
		s.setState("draining")
		s.register()
	}
	w.servers = append(w.servers, added...)
	w.record.event("%d new servers have started, cold; the old ones drain", len(added))
	return added, nil
}

// checkColdServers checks the rule FAILBACK for servers that have started.
func (w *world) checkColdServers(servers []*server) (v verdict) {
	worst, at, which := 0, time.Time{}, ""
	for _, s := range servers {
		if n, end := w.busiestColdSecond(s); n > worst {
			worst, at, which = n, end, s.id
		}
	}
	bound := coldPerSecond*warmupOverage + warmupSlack
	v.broken = float64(worst) > bound
	v.detail = fmt.Sprintf("FAILBACK: a cold server got %d requests in one second at most, %.0f are allowed", worst, bound)
	if worst > 0 {
		v.detail += fmt.Sprintf(" (%s, in the second before %s)", which, w.record.at(at))
	}
	return v
}

// busiestColdSecond returns how many requests a server got at most in one second while it was
// cold. Only requests that were sent by their client in that second are counted.
func (w *world) busiestColdSecond(s *server) (worst int, end time.Time) {
	sent := map[string]time.Time{}
	for _, a := range w.allAnswers() {
		sent[a.request] = a.sent
	}
	from, to := s.coldPeriod()
	var began []run
	for _, r := range w.allRuns() {
		if r.server == s.id && r.began.After(from) && r.began.Before(to) {
			began = append(began, r)
		}
	}
	for _, last := range began {
		n := 0
		for _, r := range began {
			start := last.began.Add(-time.Second)
			if !r.began.After(last.began) && r.began.After(start) && sent[r.request].After(start) {
				n++
			}
		}
		if n > worst {
			worst, end = n, last.began
		}
	}
	return worst, end
}
