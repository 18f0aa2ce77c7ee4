package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

func init() { cases["8"] = coldWhileSilent }

const (
	coldPerSecond = 10.0
	warmupTime    = 3 * time.Second
	// allowedCold is cold-per-s x warmup-overage + warmup-slack of the site file.
	allowedCold = coldPerSecond*1.5 + 5
	// The disruption: the store is silent, and the servers are down meanwhile.
	silentFor  = 5700 * time.Millisecond
	serverDown = 2 * time.Second
)

// coldWhileSilent: the servers of a service crash and start again, cold, under the ids that they had,
// while the platform's store is silent. A cold server may get few requests a second of all machines.
func coldWhileSilent(r *record, trouble bool) bool {
	st := newStore(20 * time.Second)
	var mu sync.Mutex
	var arrivals []run
	coldUntil := map[string]time.Time{}
	var servers []*server
	for _, z := range zones[:3] {
		s := newServer("i-care-"+z.region, "care-notes", z, 4, 16, func() time.Duration {
			return time.Duration(10+rand.IntN(20)) * time.Millisecond
		})
		s.onRun = func(u run) {
			mu.Lock()
			defer mu.Unlock()
			if u.at.Before(coldUntil[u.server]) {
				arrivals = append(arrivals, u)
				r.line("cold server %s gets %s", u.server, u.id)
			}
		}
		s.start()
		servers = append(servers, s)
		st.put("servers/"+s.id, s.entry("ready", 4))
	}
	c := config(1, []map[string]any{route("r-note", "/note/", "care-notes")}, []string{"care-notes"})
	c["services"].([]map[string]any)[0]["cold-per-s"] = coldPerSecond
	st.put("op/config", c)
	var proxies []*proxy
	d := newDeployment(4, func(int) string {
		p := newProxy(st.address())
		proxies = append(proxies, p)
		return p.address()
	})
	d.startAll()
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(22 * time.Second)
	var group sync.WaitGroup
	for n := range 24 {
		in := d.instances[n%len(d.instances)]
		group.Go(func() {
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
			for k := 0; time.Now().Before(stop); k++ {
				q, err := http.NewRequest(http.MethodGet, fmt.Sprintf("http://%s/note/%d", in.front, k), nil)
				if err != nil {
					fatal("%v", err)
				}
				q.Host = "notes.example"
				q.Header.Set("Hyssoppitch-Request-Id", fmt.Sprintf("%02x%06x%08x", n, k, rand.Uint32()))
				q.Header.Set("Hyssoppitch-Deadline-Ms", "3000")
				if a, err := client.Do(q); err == nil {
					_, _ = io.Copy(io.Discard, a.Body)
					_ = a.Body.Close()
				}
				time.Sleep(time.Duration(50+rand.IntN(150)) * time.Millisecond)
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		r.line("the store falls silent")
		for _, p := range proxies {
			p.set("silent")
		}
		time.AfterFunc(silentFor, func() {
			r.line("the store answers again")
			for _, p := range proxies {
				p.set("")
			}
		})
		time.Sleep(500 * time.Millisecond)
	}
	r.line("the servers crash")
	for _, s := range servers {
		s.crash()
	}
	time.Sleep(serverDown)
	for _, s := range servers {
		mu.Lock()
		coldUntil[s.id] = time.Now().Add(warmupTime)
		mu.Unlock()
		entry := s.entry("ready", 4)
		entry["born"], entry["warmup-left-ms"] = time.Now().UnixMilli(), warmupTime.Milliseconds()
		s.restart()
		write := func() { st.put("servers/"+s.id, entry) }
		if trouble {
			// A server that can't reach the store registers once it can.
			time.AfterFunc(silentFor-serverDown-500*time.Millisecond, func() {
				entry["warmup-left-ms"] = max(0, time.Until(coldUntil[s.id]).Milliseconds())
				write()
			})
		} else {
			write()
		}
		r.line("server %s starts again, cold for %v", s.id, warmupTime)
	}
	group.Wait()
	mu.Lock()
	defer mu.Unlock()
	most, where := 0, ""
	for i, first := range arrivals {
		n := 0
		for _, u := range arrivals[i:] {
			if u.server == first.server && u.at.Sub(first.at) < time.Second {
				n++
			}
		}
		if n > most {
			most, where = n, first.server
		}
	}
	r.say("%d requests reached cold servers; most in one second: %d at %s, %.0f are allowed", len(arrivals), most, where, allowedCold)
	return float64(most) > allowedCold
}
