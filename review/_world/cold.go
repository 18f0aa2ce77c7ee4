package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"time"
)

func init() { cases["cold"] = playCold }

const (
	// coldPerSecond is what a cold server takes. The bound allows warmupOverage times that and
	// warmupSlack more.
	coldPerSecond = 10.0
	warmupOverage = 1.5
	warmupSlack   = 5.0
	// coldRate is the load in requests per second, and warmupTime how long a server stays cold.
	coldRate   = 90
	warmupTime = 3 * time.Second
	// storeDownTime is how long the store is silent, and serverDownTime how long the servers
	// are down meanwhile.
	storeDownTime  = 5700 * time.Millisecond
	serverDownTime = 1500 * time.Millisecond
)

// playCold lets all servers of a service crash and start again, cold and under the IDs that they
// had, while the store is silent. With STORE=up in the environment the store goes on answering.
func playCold(w *world) (v verdict, err error) {
	work := func(*http.Request) time.Duration { return 15 * time.Millisecond }
	if err := w.addServers("circuit-desk", 3, func(s *server) { s.work = work }); err != nil {
		return v, err
	}
	w.coldPerSecond = coldPerSecond
	w.putConfig(cardRoute("circuit-desk", "safe"))
	if err := w.startDeployment(); err != nil {
		return v, err
	}
	stop := make(chan struct{})
	group := w.load(coldRate, stop, func() string { return fmt.Sprintf("/card/%d", rand.IntN(1000000)) })
	time.Sleep(boundStableWindow + time.Second)
	if w.trouble {
		if os.Getenv("STORE") != "up" {
			w.store.setSilent(true)
			time.AfterFunc(storeDownTime, func() { w.store.setSilent(false) })
		}
		time.Sleep(500 * time.Millisecond)
		for _, s := range w.servers {
			s.warmup = warmupTime
			s.crash(serverDownTime, "a fault of its own")
		}
	}
	time.Sleep(storeDownTime + 2*time.Second)
	close(stop)
	group.Wait()
	return w.checkColdServers(w.servers), nil
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
