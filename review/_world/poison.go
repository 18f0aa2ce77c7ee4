package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"time"
)

func init() { cases["poison"] = playPoison }

const (
	// poisonRequests is how often the crashing request comes, and poisonInterval the pause.
	poisonRequests = 30
	poisonInterval = time.Second
)

// playPoison sends a request again and again that crashes the servers that run it. Path, caller
// and body are always the same; a tracing header differs, as each attempt is a span of its own.
func playPoison(w *world) (v verdict, err error) {
	crashes := func(r *http.Request) bool { return w.trouble && strings.HasSuffix(r.URL.Path, "/bad") }
	if err := w.addServers("post-register", 14, func(s *server) { s.crashes = crashes }); err != nil {
		return v, err
	}
	w.putConfig(cardRoute("post-register", "safe"))
	if err := w.startDeployment(); err != nil {
		return v, err
	}
	time.Sleep(boundStableWindow + time.Second)
	stop := make(chan struct{})
	group := w.load(45, stop, func() string { return fmt.Sprintf("/card/%d", rand.IntN(1000)) })
	c := &client{}
	ids := map[string]bool{}
	for i := range poisonRequests {
		trace := fmt.Sprintf("Traceparent: 00-%016x%016x-%016x-01", rand.Uint64(), rand.Uint64(), rand.Uint64())
		if os.Getenv("SAME_HEADER") != "" {
			trace = "Traceparent: 00-4bf92f3577b34da6a3ce929d0e0e4736-00f067aa0ba902b7-01"
		}
		a := w.send(c, query{
			node: w.nodes[i%len(w.nodes)], method: http.MethodGet, target: "/card/bad",
			header: []string{"User-Agent: council-desk/4.1", trace}, timeout: 8 * time.Second,
		})
		ids[a.request] = true
		time.Sleep(time.Until(a.sent.Add(poisonInterval)))
	}
	close(stop)
	group.Wait()
	// The rule counts the attempts of clients that reach servers later than the stable window
	// after the third crash.
	crashed := 0
	var third time.Time
	late := map[string]int{}
	for _, r := range w.allRuns() {
		if !ids[r.request] {
			continue
		}
		crashed++
		if crashed == 3 {
			third = r.began
		}
		if !third.IsZero() && r.began.Sub(third) > boundStableWindow {
			late[r.request]++
		}
	}
	if !w.trouble {
		return verdict{detail: fmt.Sprintf("BUDGET: the request crashes no server; it ran %d times", crashed)}, nil
	}
	v.broken = len(late) > 3
	v.detail = fmt.Sprintf("BUDGET: the request crashed %d servers; %d retries reached servers later than %v after the third crash, at most 3 are allowed", crashed, len(late), boundStableWindow)
	return v, nil
}
