package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["7"] = bigWatch }

const (
	// The bounds of the site file.
	configApply  = 3 * time.Second
	stableWindow = 4 * time.Second
	storeHistory = 20 * time.Second
	// The disruption: the cut, and the changes of the configuration meanwhile.
	cutFor    = 5500 * time.Millisecond
	stormFor  = 4 * time.Second
	stormGap  = 330 * time.Millisecond
	idleCount = 5 * 350
)

// bigWatch: the configuration has grown by many routes. The one machine that is left is cut off from the
// store while the configuration changes in quick succession. Once it is in touch again, it must follow.
func bigWatch(r *record, trouble bool) bool {
	zones, retrySlack = pspbaZones, 52
	st := newStore(storeHistory)
	services := []string{"post-register", "council-feed"}
	var mu sync.Mutex
	ranAt := map[string]string{}
	for _, service := range services {
		for _, z := range zones[:3] {
			s := newServer("i-"+service+"-"+z.region, service, z, 4, 16, func() time.Duration {
				return time.Duration(5+rand.IntN(10)) * time.Millisecond
			})
			s.onRun = func(u run) {
				mu.Lock()
				defer mu.Unlock()
				ranAt[u.id] = service
			}
			s.start()
			st.put("servers/"+s.id, s.entry("ready", 4))
		}
	}
	version, idle := 0, 0
	// put writes the next version, in which the route goes to a service, and returns the time of the
	// acknowledgement.
	put := func(service string) time.Time {
		version++
		routes := []map[string]any{route("r-card", "/card/", service)}
		for i := range idle {
			routes = append(routes, route(fmt.Sprintf("r-idle%05d", i), fmt.Sprintf("/idle%05d/", i), "post-register"))
		}
		at := st.put("op/config", config(version, routes, services))
		r.line("version %d of %d routes and %d bytes is acknowledged, the route goes to %s", version, len(routes), st.size("op/config"), service)
		return at
	}
	put("post-register")
	var proxies []*proxy
	d := newDeployment(4, func(int) string {
		p := newProxy(st.address())
		proxies = append(proxies, p)
		return p.address()
	})
	d.startAll()
	time.Sleep(2 * time.Second)
	for range 5 {
		idle += 350
		put("post-register")
		time.Sleep(time.Second)
	}
	last := d.instances[2]
	if trouble {
		for i, in := range d.instances {
			if i != 2 {
				r.line("%s loses power for good", in.name)
				_ = in.cmd.Process.Kill()
			}
		}
	}
	time.Sleep(6 * time.Second)
	inTouch := time.Now()
	if trouble {
		r.line("%s is cut off from the store", last.name)
		proxies[2].set("silent")
		time.AfterFunc(cutFor, func() {
			r.line("the cut ends")
			proxies[2].set("")
		})
		inTouch = inTouch.Add(cutFor + stableWindow)
	}
	var acknowledged time.Time
	for begin := time.Now(); time.Since(begin) < stormFor; time.Sleep(stormGap) {
		acknowledged = put("council-feed")
	}
	due := acknowledged.Add(configApply)
	if inTouch.After(due) {
		due = inTouch
	}
	stop := time.Now().Add(25 * time.Second)
	client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
	counted, stale := 0, 0
	for n := 0; time.Now().Before(stop); n++ {
		id := fmt.Sprintf("%08x%08x", n, rand.Uint32())
		q, err := http.NewRequest(http.MethodGet, "http://"+last.front+"/card/"+id, nil)
		if err != nil {
			fatal("%v", err)
		}
		q.Host = "notes.example"
		q.Header.Set("Hyssoppitch-Request-Id", id)
		q.Header.Set("Hyssoppitch-Deadline-Ms", "3000")
		sent := time.Now()
		what := "no answer"
		if a, err := client.Do(q); err == nil {
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
			what = a.Status
		}
		mu.Lock()
		service := ranAt[id]
		mu.Unlock()
		note := ""
		if sent.After(due) {
			counted++
			if service == "post-register" {
				stale++
				note = fmt.Sprintf(", %.1f s after the acknowledgement of version %d: only older versions allow it", sent.Sub(acknowledged).Seconds(), version)
			}
		}
		r.line("request %s to %s: %s, run by %q%s", id, last.name, what, service, note)
		time.Sleep(100 * time.Millisecond)
	}
	r.say("%d requests were sent in touch and later than config-apply-ms after the last acknowledgement; %d were run by the old service", counted, stale)
	return stale > 0
}

// route is an entry of a configuration.
func route(name, prefix, service string) map[string]any {
	return map[string]any{
		"name": name, "host": "notes.example", "prefix": prefix, "type": "safe", "timeout-ms": 3000, "target-latency-ms": 300,
		"priority": 2, "service": service, "max-attempts": 2, "allowed-regions": []string{},
	}
}
