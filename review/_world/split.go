package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["split"] = playSplit }

const (
	// splitRate is the load in requests per second.
	splitRate = 60
	// seedLag is the bound seed-lag-s.
	seedLag = 3 * time.Second
	// greyFraction is the fraction of requests that the servers fail for greyTime.
	greyFraction = 0.6
	greyTime     = 9 * time.Second
)

// playSplit replaces the three machines that the settings name as seeds by others at new
// addresses. The seeds in the settings are stale for seedLag; then each instance gets a settings
// file with the new ones, and a SIGHUP. Later the servers fail a part of their requests.
func playSplit(w *world) (v verdict, err error) {
	var grey atomic.Bool
	fails := func(*http.Request) bool { return grey.Load() && rand.Float64() < greyFraction }
	if err := w.addServers("post-register", 14, func(s *server) {
		s.fails = fails
		s.work = func(*http.Request) time.Duration { return 30 * time.Millisecond }
	}); err != nil {
		return v, err
	}
	w.putConfig(cardRoute("post-register", "safe"))
	if err := w.startDeployment(); err != nil {
		return v, err
	}
	time.Sleep(boundStableWindow)
	stop := make(chan struct{})
	group := w.load(splitRate, stop, func() string { return fmt.Sprintf("/card/%d", rand.IntN(1000000)) })
	time.Sleep(2 * time.Second)
	if w.trouble {
		if err := w.replaceSeeds(); err != nil {
			return v, err
		}
	}
	time.Sleep(14 * time.Second)
	w.record.event("all servers of post-register fail %.1f of their requests from now on", greyFraction)
	grey.Store(true)
	time.Sleep(greyTime)
	grey.Store(false)
	w.record.event("the servers are sound again")
	time.Sleep(2 * time.Second)
	close(stop)
	group.Wait()
	extra, allowed, at := w.worstRetryWindow()
	v.broken = float64(extra) > allowed
	v.detail = fmt.Sprintf("BUDGET: in the %v before %s post-register got %d arrivals beyond the first of each request, %.1f are allowed", boundWindow, w.record.at(at), extra, allowed)
	return v, nil
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

// worstRetryWindow returns the window of the retry budget in which the arrivals beyond the first
// of each request exceed the bound most, or come closest to it.
func (w *world) worstRetryWindow() (extra int, allowed float64, end time.Time) {
	seen := map[string]bool{}
	var extras, sent []time.Time
	for _, r := range w.allRuns() {
		if seen[r.request] {
			extras = append(extras, r.began)
		}
		seen[r.request] = true
	}
	for _, a := range w.allAnswers() {
		sent = append(sent, a.sent)
	}
	slices.SortFunc(extras, time.Time.Compare)
	count := func(times []time.Time, end time.Time) (n int) {
		for _, t := range times {
			if !t.After(end) && end.Sub(t) < boundWindow {
				n++
			}
		}
		return n
	}
	worst := -1e9
	for _, at := range extras {
		n := count(extras, at)
		requests := max(count(sent, at), count(sent, at.Add(-boundWindow)), count(sent, at.Add(-boundWindow/2)))
		bound := boundRetryRatio*float64(requests) + boundRetrySlack
		if float64(n)-bound > worst {
			worst, extra, allowed, end = float64(n)-bound, n, bound, at
		}
	}
	return extra, allowed, end
}
