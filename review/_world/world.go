// Command world plays the cases of the review: it starts instances of hyssoppitch as separate
// processes among stand-ins of the platform's store, of servers and of clients, causes the
// disruption of the case and checks its rule by what clients and servers have seen.
//
//	world CASE FOLDER
//
// It writes FOLDER/record.txt. The exit code is 1 if the rule was broken, 0 if it held, and 2 if
// the case couldn't run. With TROUBLE=0 in the environment the disruption is left out.
package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// maxTime ends a case that takes too long.
const maxTime = 115 * time.Second

// program is what the deploy file builds and runs.
const program = "target/hyssoppitch"

// The zones of the small deployment; two of its four machines are in the first one.
var zones = map[string]string{"kingston-a": "surrey", "mandeville-a": "middlesex", "montego-a": "cornwall"}

var machineZones = []string{"kingston-a", "kingston-a", "mandeville-a", "montego-a"}

var serverZones = []string{"kingston-a", "mandeville-a", "montego-a"}

// The bounds of the small deployment that the cases use.
const (
	boundDrain        = 3 * time.Second
	boundGrace        = 6 * time.Second
	boundStableWindow = 4 * time.Second
	boundRetryRatio   = 0.2
	boundRetrySlack   = 52
)

// record is the file record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newRecord(folder string) (*record, error) {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	return &record{file: f, start: time.Now()}, err
}

func (r *record) event(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// at returns a time as record.txt shows it.
func (r *record) at(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(r.start).Seconds()) }

// world is a small deployment.
type world struct {
	record  *record
	trouble bool
	dir     string
	// host is the loopback address of the instances.
	host    string
	taken   map[string]bool
	store   *store
	servers []*server
	nodes   []*node
	// proxied is set if the settings name proxies as seeds, so that the instances' connections to
	// each other go through them.
	proxied bool
	proxies []*proxy
	version int
	// coldPerSecond is the rate that a cold server takes; zero means no limit.
	coldPerSecond float64

	mu      sync.Mutex
	runs    []run
	answers []answer
	lastID  atomic.Uint64
}

func (w *world) beginRun(r run) (index int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs = append(w.runs, r)
	w.record.event("server %s runs %s: %s %s, host %s", r.server, r.request, r.method, r.target, r.host)
	return len(w.runs) - 1
}

func (w *world) endRun(index int, finished bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	r := &w.runs[index]
	r.ended, r.finished = time.Now(), finished
	if finished {
		w.record.event("server %s has finished %s", r.server, r.request)
	} else {
		w.record.event("server %s drops %s: its connection was closed", r.server, r.request)
	}
}

func (w *world) allRuns() []run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]run(nil), w.runs...)
}

func (w *world) allAnswers() []answer {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]answer(nil), w.answers...)
}

// addServers starts and registers servers of a service, spread over the zones.
func (w *world) addServers(service string, count int, change func(*server)) error {
	for i := range count {
		s := &server{id: fmt.Sprintf("%s-%d", service, i+1), service: service, zone: serverZones[i%len(serverZones)], w: w}
		if change != nil {
			change(s)
		}
		if err := s.start(); err != nil {
			return err
		}
		s.register()
		w.servers = append(w.servers, s)
	}
	return nil
}

// route is one route of the configuration.
type route map[string]any

// putConfig writes a configuration. Services are those of the servers.
func (w *world) putConfig(routes ...route) {
	w.version += 3
	var services []map[string]any
	seen := map[string]bool{}
	for _, s := range w.servers {
		if !seen[s.service] {
			seen[s.service] = true
			services = append(services, map[string]any{
				"name": s.service, "health-path": "/health", "max-conns": 96, "protocol": "h1", "tls": false, "warmup-s": 3.0, "cold-per-s": w.coldPerSecond,
			})
		}
	}
	w.store.put("op/config", map[string]any{
		"version": w.version, "routes": routes, "services": services,
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
}

// cardRoute is a route to one service like that of post-card.
func cardRoute(service, kind string) route {
	return route{
		"name": "r-card", "host": "desk.example", "prefix": "/card/", "type": kind, "timeout-ms": 8000, "target-latency-ms": 500,
		"priority": 2, "service": service, "max-attempts": 2, "allowed-regions": []string{},
	}
}

// node is an instance of hyssoppitch.
type node struct {
	name, zone, front, ready, control string
	seeds                             []string
	w                                 *world
	cmd                               *exec.Cmd
	exited                            chan struct{}
}

// freeAddress returns a loopback address with a port that is free now, and that it hasn't returned
// before. Each run has a host of its own, so that no other process takes the port before the
// instance opens it.
func (w *world) freeAddress() (string, error) {
	for {
		l, err := net.Listen("tcp", w.host+":0")
		if err != nil {
			return "", err
		}
		_ = l.Close()
		if address := l.Addr().String(); !w.taken[address] {
			w.taken[address] = true
			return address, nil
		}
	}
}

// newNode chooses the addresses of an instance.
func (w *world) newNode(name, zone string) (n *node, err error) {
	n = &node{name: name, zone: zone, w: w}
	for _, p := range []*string{&n.front, &n.ready, &n.control} {
		if *p, err = w.freeAddress(); err != nil {
			return nil, err
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.nodes = append(w.nodes, n)
	return n, nil
}

// writeSettings writes the settings file as the template deploy/settings.json does.
func (n *node) writeSettings() (path string, err error) {
	data, err := json.Marshal(map[string]any{
		"instance": n.name, "data-centre": n.zone, "listen": n.front, "control": n.control, "store": n.w.store.address(), "seeds": n.seeds,
		"shutdown": map[string]string{"grace": "6s", "lag": "3s", "drain": "3s"},
		"routed": map[string]any{
			"enabled": true, "ready": n.ready, "regions": zones, "retry-ratio": boundRetryRatio, "retry-slack": boundRetrySlack, "retry-window": "10s",
		},
	})
	if err != nil {
		return "", err
	}
	path = filepath.Join(n.w.dir, n.name+".json")
	return path, os.WriteFile(path, data, 0o600)
}

// start starts the process of an instance with the command of the deploy file.
func (n *node) start() error {
	path, err := n.writeSettings()
	if err != nil {
		return err
	}
	log, err := os.OpenFile(filepath.Join(n.w.dir, n.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(program, "serve", "--settings", path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return err
	}
	n.w.mu.Lock()
	n.cmd, n.exited = cmd, make(chan struct{})
	n.w.mu.Unlock()
	n.w.record.event("instance %s in %s starts, seeds %v", n.name, n.zone, n.seeds)
	go func(exited chan struct{}) {
		_ = cmd.Wait()
		n.w.record.event("instance %s has ended: %v", n.name, cmd.ProcessState)
		close(exited)
	}(n.exited)
	return nil
}

func (n *node) signal(s syscall.Signal) {
	n.w.record.event("instance %s gets %v", n.name, s)
	_ = n.cmd.Process.Signal(s)
}

// running reports whether the process of an instance has not ended.
func (n *node) running() bool {
	if n.exited == nil {
		return false
	}
	select {
	case <-n.exited:
		return false
	default:
		return true
	}
}

// startDeployment starts the four machines of the small deployment; the first three are seeds.
func (w *world) startDeployment() error {
	var seeds []string
	for i, zone := range machineZones {
		n, err := w.newNode(fmt.Sprintf("front-%s-%d", zone, i+1), zone)
		if err != nil {
			return err
		}
		if i >= 3 {
			continue
		}
		seeds = append(seeds, n.control)
		if w.proxied {
			p, err := newProxy(n.control)
			if err != nil {
				return err
			}
			w.proxies = append(w.proxies, p)
			seeds[i] = p.address
		}
	}
	for _, n := range w.nodes {
		n.seeds = seeds
		if err := n.start(); err != nil {
			return err
		}
	}
	return w.awaitReady(w.nodes...)
}

// recordMembers records which other instances each instance counts as alive. The check of a rule
// doesn't use it.
func (w *world) recordMembers() {
	for _, n := range w.runningNodes() {
		reply, err := http.Get("http://" + n.control + "/v1/status")
		if err != nil {
			continue
		}
		var status struct {
			Members []struct {
				ID     string `json:"id"`
				State  string `json:"state"`
				Linked bool   `json:"linked"`
			} `json:"members"`
		}
		_ = json.NewDecoder(reply.Body).Decode(&status)
		_ = reply.Body.Close()
		w.record.event("members of %s: %+v", n.name, status.Members)
	}
}

// awaitReady waits until instances are ready.
func (w *world) awaitReady(nodes ...*node) error {
	end := time.Now().Add(15 * time.Second)
	for _, n := range nodes {
		for {
			reply, err := http.Get("http://" + n.ready + "/v1/readiness")
			if err == nil {
				_ = reply.Body.Close()
				if reply.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(end) {
				return fmt.Errorf("instance %s is not ready", n.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	w.record.event("%d instances are ready", len(nodes))
	return nil
}

// runningNodes returns the instances whose processes run.
func (w *world) runningNodes() (out []*node) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, n := range w.nodes {
		if n.running() {
			out = append(out, n)
		}
	}
	return out
}

// close ends all processes that the case started.
func (w *world) close() {
	for _, n := range w.nodes {
		if n.running() {
			_ = n.cmd.Process.Kill()
			<-n.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(w.dir)
	}
}

// verdict is the result of a case.
type verdict struct {
	broken bool
	detail string
}

// cases holds what each case does.
var cases = map[string]func(w *world) (verdict, error){}

func main() { os.Exit(play()) }

func play() (code int) {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: world CASE FOLDER")
		return 2
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	w := &world{record: r, trouble: os.Getenv("TROUBLE") != "0", taken: map[string]bool{}}
	w.host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 2+rand.IntN(250))
	if w.dir, err = os.MkdirTemp("", "hyssoppitch-review"); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer w.close()
	r.event("case %s, disruption: %t", os.Args[1], w.trouble)
	type result struct {
		v   verdict
		err error
	}
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan result, 1)
	go func() {
		var out result
		if w.store, out.err = newStore(); out.err == nil {
			out.v, out.err = cases[os.Args[1]](w)
		}
		done <- out
	}()
	var out result
	select {
	case out = <-done:
	case <-interrupted:
		out.err = errors.New("interrupted")
	case <-time.After(maxTime):
		out.err = fmt.Errorf("the case took longer than %v", maxTime)
	}
	switch {
	case out.err != nil:
		code = 2
		r.event("couldn't run: %v", out.err)
		fmt.Println("couldn't run:", out.err)
	case out.v.broken:
		code = 1
		r.event("rule broken: %s", out.v.detail)
		fmt.Println("rule broken:", out.v.detail)
	default:
		r.event("rule held: %s", out.v.detail)
		fmt.Println("rule held:", out.v.detail)
	}
	return code
}
