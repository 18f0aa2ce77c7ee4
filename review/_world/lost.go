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
	lostRequests = 40
	lostKept     = 16
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

// lostStops is the number of machines that are stopped and started, one after the other.
const lostStops = 3

// lostRequest is one of the requests that are sent to an instance around its stop.
type lostRequest struct {
	answer
	// stopped is when the instance got SIGTERM.
	stopped time.Time
}

// playLost stops and starts instances in turn while they serve requests that take a few seconds.
func playLost(w *world) (v verdict, err error) {
	number := func(r *http.Request) (n int, long bool) {
		_, err := fmt.Sscanf(r.URL.Path, "/card/long/%d", &n)
		return n, err == nil
	}
	if err := w.addServers("post-register", 14, func(s *server) {
		s.work = func(r *http.Request) time.Duration {
			if n, long := number(r); long {
				return lostWork(n)
			}
			return 120 * time.Millisecond
		}
		s.keepsOn = func(r *http.Request) bool {
			n, long := number(r)
			return long && n < lostKept
		}
	}); err != nil {
		return v, err
	}
	w.putConfig(cardRoute("post-register", "unsafe"))
	if err := w.startDeployment(); err != nil {
		return v, err
	}
	time.Sleep(boundStableWindow)
	var requests []lostRequest
	for _, n := range w.nodes[:lostStops] {
		sent, err := w.stopWithRequests(n)
		if err != nil {
			return v, err
		}
		requests = append(requests, sent...)
	}
	return w.checkLost(requests), nil
}

// stopWithRequests opens connections to an instance, stops it, sends a request on each of the
// connections, and starts it again once it has ended.
func (w *world) stopWithRequests(n *node) (sent []lostRequest, err error) {
	c := &client{}
	var group sync.WaitGroup
	post := func(target string) answer {
		return w.send(c, query{node: n, method: http.MethodPost, target: target, header: []string{"Content-Length: 0"}, timeout: 8 * time.Second})
	}
	for range lostRequests {
		group.Go(func() { post("/card/short") })
	}
	group.Wait()
	stopped := time.Now()
	if w.trouble {
		n.signal(syscall.SIGTERM)
	}
	time.Sleep(time.Until(stopped.Add(lostSentAfter)))
	sent = make([]lostRequest, lostRequests)
	for i := range sent {
		group.Go(func() { sent[i] = lostRequest{answer: post(fmt.Sprintf("/card/long/%d", i)), stopped: stopped} })
	}
	group.Wait()
	time.Sleep(time.Until(stopped.Add(boundGrace + time.Second)))
	if w.trouble {
		if n.running() {
			return nil, fmt.Errorf("instance %s has not ended", n.name)
		}
		if err := n.start(); err != nil {
			return nil, err
		}
		if err := w.awaitReady(n); err != nil {
			return nil, err
		}
	}
	// Planned work must not follow a start too closely: the next requests are sent when the
	// machine has been running for the stable window.
	time.Sleep(boundStableWindow)
	return sent, nil
}

// checkLost checks the rule LOST for requests around a stop.
func (w *world) checkLost(requests []lostRequest) (v verdict) {
	runs := map[string]run{}
	for _, r := range w.allRuns() {
		runs[r.request] = r
	}
	lost, finished, late := 0, 0, 0
	for _, a := range requests {
		r, ran := runs[a.request]
		if a.err == nil || !ran {
			continue
		}
		if r.ended.IsZero() || r.ended.Sub(a.stopped) >= boundGrace*5/6 {
			late++
			continue
		}
		lost++
		how := "dropped"
		if r.finished {
			finished++
			how = "finished"
		}
		w.record.event("%s: begun by %s %s after the SIGTERM of %s, %s by it after %s; its connection ended without an answer after %s",
			a.request, r.server, since(a.stopped, r.began), a.node, how, since(a.stopped, r.ended), since(a.stopped, a.ended))
	}
	v.broken = lost > 0
	v.detail = fmt.Sprintf("LOST: %d of %d requests were passed on and cut without an answer, though no server was at work in the last sixth of the grace period; their servers had finished %d of them and dropped the others when the instance closed the connection; for %d more a server was at work in the last sixth", lost, len(requests), finished, late)
	return v
}

// since returns the time from one moment to another in milliseconds.
func since(from, to time.Time) time.Duration { return to.Sub(from).Round(time.Millisecond) }
