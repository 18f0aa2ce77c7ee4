package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["slashes"] = playSlashes }

// playSlashes sends requests whose path begins with two slashes on a route for all paths. It is a
// trial and no case: no page names a disruption for it.
func playSlashes(w *world) (v verdict, err error) {
	if err := w.addServers("post-register", 14, nil); err != nil {
		return v, err
	}
	all := cardRoute("post-register", "unsafe")
	all["prefix"] = "/"
	w.putConfig(all)
	if err := w.startDeployment(); err != nil {
		return v, err
	}
	time.Sleep(boundStableWindow)
	c := &client{}
	sent := map[string]string{}
	for i := range 20 {
		target := fmt.Sprintf("/ward/post-%d?part=all", i)
		if w.trouble && i%2 == 1 {
			target = "/" + target
		}
		a := w.send(c, query{node: w.nodes[i%len(w.nodes)], method: http.MethodPost, target: target, header: []string{"Content-Length: 0"}, timeout: 8 * time.Second})
		sent[a.request] = target
	}
	changed, example := 0, ""
	for _, r := range w.allRuns() {
		if r.target != sent[r.request] || r.host != "desk.example" {
			changed++
			example = fmt.Sprintf("%s was sent as %q for host desk.example and run as %q for host %s", r.request, sent[r.request], r.target, r.host)
		}
	}
	v.broken = changed > 0
	v.detail = fmt.Sprintf("UNASKED: %d of %d requests ran with another path or host than the client sent", changed, len(sent))
	if example != "" {
		v.detail += "; " + example
	}
	return v, nil
}
