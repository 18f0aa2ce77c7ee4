package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["silent"] = playSilent }

// silentTime is the time from the moment at which connections go silent to the release: the
// machines are in touch again by then.
const silentTime = 12 * time.Second

// playSilent lets the connections between the machines go silent for good, while new ones work.
// Later the servers of a service are released: three new ones start, cold, and the old ones leave.
func playSilent(w *world) (v verdict, err error) {
	if err := w.addServers("circuit-desk", 3, coldWork); err != nil {
		return v, err
	}
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
	added, err := w.release()
	if err != nil {
		return v, err
	}
	time.Sleep(warmupTime + time.Second)
	close(stop)
	group.Wait()
	return w.checkColdServers(added), nil
}
