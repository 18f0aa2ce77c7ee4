package main

import (
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"time"
)

func init() { cases["lost"] = playLost }

const (
	// lostSentAfter is when the requests are sent, counted from the SIGTERM; the page leaves out
	// requests that are sent later than 3 s after it. All of them could be answered within the
	// grace period of 6 s.
	lostSentAfter = time.Second
	// The first lostKept requests go to the end at their servers, whatever happens to their
	// connections, and need lostKeptWork: they are finished just before the last sixth of the
	// grace period. The others need from lostMinWork to lostMaxWork.
	lostRequests = 25
	lostKept     = 10
	lostKeptWork = 3945 * time.Millisecond
	lostMinWork  = 3500 * time.Millisecond
	lostMaxWork  = 4700 * time.Millisecond
)

// lostWork returns the time that a server needs for the request with the given number.
func lostWork(number int) time.Duration {
	if number < lostKept {
		return lostKeptWork
	}
	return lostMinWork + (lostMaxWork-lostMinWork)*time.Duration(number-lostKept)/(lostRequests-lostKept-1)
}

// playLost stops an instance with SIGTERM while it serves requests that take a few seconds.
func playLost(w *world) (v verdict, err error) {
	slow := func(r *http.Request) time.Duration {
		var number int
		if _, err := fmt.Sscanf(r.URL.Path, "/card/long/%d", &number); err == nil {
			return lostWork(number)
		}
		return 120 * time.Millisecond
	}
	if err := w.addServers("post-register", 14, func(s *server) {
		s.work = slow
		s.keepsOn = func(r *http.Request) bool {
			var number int
			_, err := fmt.Sscanf(r.URL.Path, "/card/long/%d", &number)
			return err == nil && number < lostKept
		}
	}); err != nil {
		return v, err
	}
	w.putConfig(cardRoute("post-register", "unsafe"))
	if err := w.startDeployment(); err != nil {
		return v, err
	}
	time.Sleep(4 * time.Second)
	target := w.nodes[0]
	c := &client{}
	// Open the connections before the stop, as clients that keep them do.
	var group sync.WaitGroup
	for range lostRequests {
		group.Go(func() {
			w.send(c, query{node: target, method: http.MethodPost, target: "/card/short", header: []string{"Content-Length: 0"}, timeout: 8 * time.Second})
		})
	}
	group.Wait()
	stopped := time.Now()
	if w.trouble {
		target.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(stopped.Add(lostSentAfter)))
	answers := make([]answer, lostRequests)
	for i := range answers {
		group.Go(func() {
			answers[i] = w.send(c, query{node: target, method: http.MethodPost, target: fmt.Sprintf("/card/long/%d", i), header: []string{"Content-Length: 0"}, timeout: 8 * time.Second})
		})
	}
	group.Wait()
	time.Sleep(time.Until(stopped.Add(boundGrace + time.Second)))
	runs := map[string]run{}
	for _, r := range w.allRuns() {
		runs[r.request] = r
	}
	lost, finished, late := 0, 0, 0
	for _, a := range answers {
		r, ran := runs[a.request]
		if a.err == nil || !ran {
			continue
		}
		if r.ended.IsZero() || r.ended.Sub(stopped) >= boundGrace*5/6 {
			late++
			continue
		}
		lost++
		how := "dropped"
		if r.finished {
			finished++
			how = "finished"
		}
		w.record.event("%s: begun by %s %s after the SIGTERM, %s by it after %s; its connection ended without an answer after %s",
			a.request, r.server, since(stopped, r.began), how, since(stopped, r.ended), since(stopped, a.ended))
	}
	v.broken = lost > 0
	v.detail = fmt.Sprintf("LOST: %d of %d requests were passed on and cut without an answer, though no server was at work in the last sixth of the grace period; their servers had finished %d of them and dropped the others when the instance closed the connection; for %d more a server was at work in the last sixth", lost, lostRequests, finished, late)
	return v, nil
}

// since returns the time from one moment to another in milliseconds.
func since(from, to time.Time) time.Duration { return to.Sub(from).Round(time.Millisecond) }
