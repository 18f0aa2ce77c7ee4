package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"
)

func init() { cases["silent"] = playSilent }

// silentTime is the time from the moment at which connections go silent to the release: the
// machines are in touch again by then.
const silentTime = 12 * time.Second

// playSilent lets the connections between the machines go silent for good, while new ones work.
// Later the servers of a service are released: three new ones start, cold, and the old ones leave.
func playSilent(w *world) (v verdict, err error) {
	work := func(s *server) {
		s.work = func(*http.Request) time.Duration { return 15 * time.Millisecond }
	}
	if err := w.addServers("circuit-desk", 3, work); err != nil {
		return v, err
	}
	old := w.servers
	w.coldPerSecond = coldPerSecond
	w.putConfig(cardRoute("circuit-desk", "safe"))
	w.proxied = true
	if err := w.startDeployment(); err != nil {
		return v, err
	}
	time.Sleep(boundStableWindow)
	stop := make(chan struct{})
	group := w.load(coldRate, stop, func() string { return fmt.Sprintf("/card/%d", rand.IntN(1000000)) })
	w.recordMembers()
	if w.trouble {
		for _, p := range w.proxies {
			w.record.event("%d connections through %s to %s go silent for good", p.silence(), p.address, p.target)
		}
	}
	time.Sleep(silentTime)
	w.recordMembers()
	released := time.Now()
	for i, s := range old {
		next := &server{id: fmt.Sprintf("circuit-desk-%d", 4+i), service: s.service, zone: s.zone, w: w, warmup: warmupTime}
		work(next)
		if err := next.start(); err != nil {
			return v, err
		}
		next.register()
		w.servers = append(w.servers, next)
		s.setState("draining")
		s.register()
	}
	w.record.event("three new servers have started, cold; the old ones drain")
	time.Sleep(warmupTime + time.Second)
	close(stop)
	group.Wait()
	v = w.checkColdServers(w.servers[len(old):])
	w.record.event("release at %s", w.record.at(released))
	return v, nil
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
