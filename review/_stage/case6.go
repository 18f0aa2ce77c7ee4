package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"
)

var cases = map[string]func(r *record, trouble bool) (broken bool){
	"6": lateAnswer,
}

func config(version int, routes []map[string]any, services []string) map[string]any {
	var pools []map[string]any
	for _, name := range services {
		pools = append(pools, map[string]any{
			"name": name, "health-path": "/health", "max-conns": 43, "protocol": "h1", "tls": false, "warmup-s": 3.0, "cold-per-s": 0.0,
		})
	}
	return map[string]any{
		"version": version, "routes": routes, "services": pools,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	}
}

// lateAnswer: a server rejects some requests as not run, and some of its answers come a second time,
// where the next answer on the connection is expected. No unsafe request may run twice.
func lateAnswer(r *record, trouble bool) bool {
	st := newStore(20 * time.Second)
	var mu sync.Mutex
	runs := map[string]int{}
	var servers []*server
	for _, z := range zones[:3] {
		s := newServer("i-"+z.region, "roster-sync", z, 4, 16, func() time.Duration {
			return time.Duration(30+rand.IntN(60)) * time.Millisecond
		})
		s.onRun = func(u run) {
			mu.Lock()
			runs[u.id]++
			n := runs[u.id]
			mu.Unlock()
			r.line("server %s begins to work on %s (run %d)", u.server, u.id, n)
		}
		s.onAnswer = func(s *server, id string, status int, extra bool, _, _ string) {
			if extra {
				r.line("server %s sends its last answer on the connection, to %s, a second time", s.id, id)
				return
			}
			r.line("server %s answers %s with %d", s.id, id, status)
		}
		s.start()
		servers = append(servers, s)
		st.put("servers/"+s.id, s.entry("ready", 4))
	}
	st.put("op/config", config(1, []map[string]any{{
		"name": "r-note", "host": "notes.example", "prefix": "/note/", "type": "unsafe", "timeout-ms": 3000, "target-latency-ms": 300,
		"priority": 2, "service": "roster-sync", "max-attempts": 2, "allowed-regions": []string{"akl"},
	}}, []string{"roster-sync"}))
	d := newDeployment(4, func(int) string { return st.address() })
	d.startAll()
	time.Sleep(3 * time.Second)
	stop := time.Now().Add(80 * time.Second)
	if trouble {
		go func() {
			for time.Now().Before(stop) {
				r.line("server %s: rejects 0.45 of the requests, 0.03 of its answers come a second time, late", servers[0].id)
				servers[0].set(traits{shed: 0.45, extraLate: 0.03})
				time.Sleep(5 * time.Second)
				servers[0].set(traits{shed: 0.45})
				time.Sleep(1500 * time.Millisecond)
				r.line("server %s: sound", servers[0].id)
				servers[0].set(traits{})
				time.Sleep(500 * time.Millisecond)
			}
		}()
	}
	statuses := map[string]int{}
	var group sync.WaitGroup
	for c := range 24 {
		in := d.instances[c%len(d.instances)]
		group.Go(func() {
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
			for n := 0; time.Now().Before(stop); n++ {
				id := fmt.Sprintf("%02x%06x%08x", c, n, rand.Uint32())
				q, err := http.NewRequest(http.MethodPost, "http://"+in.front+"/note/"+id, io.NopCloser(strings.NewReader("a note")))
				if err != nil {
					fatal("%v", err)
				}
				q.Host = "notes.example"
				q.Header.Set("Hyssoppitch-Request-Id", id)
				q.Header.Set("Hyssoppitch-Deadline-Ms", "3000")
				r.line("client sends %s to %s", id, in.name)
				a, err := client.Do(q)
				what := "no answer"
				if err == nil {
					_, _ = io.Copy(io.Discard, a.Body)
					_ = a.Body.Close()
					what = a.Status
				}
				r.line("client gets for %s: %s", id, what)
				mu.Lock()
				statuses[id] = 0
				if err == nil {
					statuses[id] = a.StatusCode
				}
				mu.Unlock()
				time.Sleep(time.Duration(300+rand.IntN(300)) * time.Millisecond)
			}
		})
	}
	group.Wait()
	time.Sleep(time.Second)
	mu.Lock()
	defer mu.Unlock()
	twice, refused, ok := 0, 0, 0
	for id, status := range statuses {
		if status == 200 {
			ok++
		}
		if runs[id] > 1 {
			twice++
			r.say("%s ran %d times; the client got %d", id, runs[id], status)
		}
		if runs[id] > 0 && (status == 429 || status == 503 || status == 408 || status == 421) {
			refused++
			r.say("%s was refused with %d and ran", id, status)
		}
	}
	r.say("%d unsafe requests, %d answered with 200, %d ran more than once, %d were refused and ran", len(statuses), ok, twice, refused)
	return twice+refused > 0
}
