package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"syscall"
	"time"
)

func init() { cases["split"] = playSplit }

const (
	// seedLag is the bound seed-lag-s.
	seedLag = 3 * time.Second
	// splitTime is the time from the new settings to the release.
	splitTime = 10 * time.Second
)

// playSplit replaces the three machines that the settings name as seeds by others at new
// addresses. The seeds in the settings are stale for seedLag; then each instance gets a settings
// file with the new ones, and a SIGHUP. Later the servers of a service are released.
func playSplit(w *world) (v verdict, err error) {
	if err := w.addServers("circuit-desk", 3, coldWork); err != nil {
		return v, err
	}
	w.coldPerSecond = coldPerSecond
	w.putConfig(cardRoute("circuit-desk", "safe"))
	if err := w.startDeployment(); err != nil {
		return v, err
	}
	time.Sleep(boundStableWindow)
	stop := make(chan struct{})
	group := w.load(coldRate, stop, func() string { return fmt.Sprintf("/card/%d", rand.IntN(1000000)) })
	time.Sleep(2 * time.Second)
	if w.trouble {
		if err := w.replaceSeeds(); err != nil {
			return v, err
		}
	}
	time.Sleep(splitTime)
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

// replaceSeeds ends the first three machines for good and starts others in their places.
func (w *world) replaceSeeds() error {
	old := slices.Clone(w.nodes)
	stale := old[0].seeds
	for _, n := range old[:3] {
		n.signal(syscall.SIGKILL)
	}
	var seeds []string
	var added []*node
	for i, n := range old[:3] {
		next, err := w.newNode(fmt.Sprintf("front-%s-%d", n.zone, 5+i), n.zone)
		if err != nil {
			return err
		}
		next.seeds = stale
		seeds, added = append(seeds, next.control), append(added, next)
	}
	for _, n := range added {
		if err := n.start(); err != nil {
			return err
		}
	}
	time.Sleep(seedLag)
	for _, n := range append(added, old[3]) {
		n.seeds = seeds
		if _, err := n.writeSettings(); err != nil {
			return err
		}
		w.record.event("the settings of %s name the seeds %v", n.name, seeds)
		n.signal(syscall.SIGHUP)
	}
	return w.awaitReady(append(added, old[3])...)
}
