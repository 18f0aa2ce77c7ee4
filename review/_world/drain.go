package main

import (
	"fmt"
	"math/rand/v2"
	"time"
)

func init() { cases["drain"] = playDrain }

// cutInterval is the pause between two cuts of the waiting watches.
const cutInterval = time.Second

// playDrain takes a server away by removing its entry, while the store cuts the watches that wait.
func playDrain(w *world) (v verdict, err error) {
	if err := w.addServers("post-register", 14, nil); err != nil {
		return v, err
	}
	w.putConfig(cardRoute("post-register", "safe"))
	if err := w.startDeployment(); err != nil {
		return v, err
	}
	stop := make(chan struct{})
	group := w.load(45, stop, func() string { return fmt.Sprintf("/card/%d", rand.IntN(1000000)) })
	time.Sleep(boundStableWindow + time.Second)
	cut := func() {
		if w.trouble {
			w.store.cutWatches()
		}
	}
	// The server has left without reporting that it drains, and goes on serving for a while.
	leaving := w.servers[0]
	cut()
	time.Sleep(50 * time.Millisecond)
	removed := w.store.remove("servers/" + leaving.id)
	w.record.event("the store acknowledges that the entry of %s is removed", leaving.id)
	for range 5 {
		time.Sleep(cutInterval)
		cut()
	}
	time.Sleep(4 * time.Second)
	close(stop)
	group.Wait()
	late, last := 0, time.Duration(0)
	for _, r := range w.allRuns() {
		if r.server == leaving.id && r.began.Sub(removed) > boundDrain {
			late++
			last = max(last, r.began.Sub(removed))
		}
	}
	v.broken = late > 0
	v.detail = fmt.Sprintf("DRAIN: %d requests reached %s later than %v after the store had acknowledged that it is gone, the last one after %v", late, leaving.id, boundDrain, last.Round(time.Millisecond))
	return v, nil
}
