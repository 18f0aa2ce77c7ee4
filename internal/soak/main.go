// Command soak runs the real program as separate processes among stand-ins for the
// platform's store and servers, disturbs them from outside in a drawn order, and checks
// the promises to callers and servers while it runs.
//
//	go run ./internal/soak -seeds 50 -first 1
package main

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

func main() {
	seeds := flag.Int("seeds", 1, "number of seeds")
	first := flag.Uint64("first", 1, "first seed")
	minutes := flag.Float64("minutes", 0, "stop starting seeds after this time; 0: no bound")
	trouble := flag.Duration("trouble", 8*time.Second, "time in which faults begin")
	nodes := flag.Int("instances", 4, "number of instances")
	keep := flag.String("keep", "", "directory for the logs of seeds that failed")
	flag.Parse()
	os.Exit(runSeeds(*seeds, *first, *minutes, *trouble, *nodes, *keep))
}

func runSeeds(seeds int, first uint64, minutes float64, trouble time.Duration, nodes int, keep string) (code int) {
	dir, err := os.MkdirTemp("", "hyssoppitch-soak")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program, err := build(dir)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	began := time.Now()
	bad, ran := 0, 0
	for i := range seeds {
		if minutes > 0 && time.Since(began).Minutes() > minutes {
			break
		}
		seed := first + uint64(i)
		home := filepath.Join(dir, fmt.Sprint("seed-", seed))
		if keep != "" {
			home = filepath.Join(keep, fmt.Sprint("seed-", seed))
		}
		report, problems := runSeed(program, home, seed, trouble, nodes)
		ran++
		fmt.Printf("seed %d: %s\n", seed, report)
		for _, p := range problems {
			fmt.Printf("seed %d: FAILED: %s\n", seed, p)
		}
		if len(problems) > 0 {
			bad++
		}
	}
	fmt.Printf("%d passed, %d failed\n", ran-bad, bad)
	if bad > 0 {
		return 1
	}
	return 0
}

// build builds the program into a directory.
func build(dir string) (program string, err error) {
	program = filepath.Join(dir, "hyssoppitch")
	if out, err := exec.Command("go", "build", "-o", program, "hyssoppitch/cmd/hyssoppitch").CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "build: %s", out)
	}
	return program, nil
}

const (
	// clientsPerInstance is the number of clients, half of which keep their connections.
	clientsPerInstance = 4
	// clientPause is the wait of a client between two requests.
	clientPause = 60 * time.Millisecond
	// calmTime is how long after the last fault all must be well again.
	calmTime = 4 * time.Second
)

// runSeed plays one seed and returns a line on it and what broke a promise.
func runSeed(program, dir string, seed uint64, trouble time.Duration, nodes int) (report string, problems []string) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", []string{err.Error()}
	}
	w, err := newWorld(program, dir, seed, nodes)
	if err != nil {
		return "", []string{err.Error()}
	}
	defer w.close()
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range clientsPerInstance * len(w.nodes) {
		clients.Go(func() { w.client(i, stop) })
	}
	drawn := w.disturb(trouble)
	time.Sleep(calmTime)
	w.checkRecovered()
	close(stop)
	clients.Wait()
	time.Sleep(routeTimeout)
	w.settle()
	c := w.checks
	report = fmt.Sprintf("%d answered (%d in part), %d refused, %d failed; %s", c.answered, c.partial, c.refused, c.failed, strings.Join(drawn, ", "))
	return report, c.problems
}

// disturb draws faults for a time, and returns their names when all are undone.
func (w *world) disturb(trouble time.Duration) (drawn []string) {
	var undoing sync.WaitGroup
	busy := map[string]bool{}
	var mu sync.Mutex
	for end := time.Now().Add(trouble); time.Now().Before(end); {
		f := faults[w.rand.IntN(len(faults))]
		lasts := time.Duration(200+w.rand.IntN(2000)) * time.Millisecond
		pause := time.Duration(w.rand.IntN(1200)) * time.Millisecond
		mu.Lock()
		again := busy[f.name]
		mu.Unlock()
		if !again {
			drawn = append(drawn, f.name)
			if undo := f.do(w); undo != nil {
				mu.Lock()
				busy[f.name] = true
				mu.Unlock()
				undoing.Go(func() {
					time.Sleep(lasts)
					undo()
					mu.Lock()
					busy[f.name] = false
					mu.Unlock()
				})
			}
		}
		time.Sleep(pause)
	}
	undoing.Wait()
	return drawn
}

// client sends requests to one instance until it is stopped. A client that keeps its
// connection does so until the process is gone.
func (w *world) client(n int, stop <-chan struct{}) {
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: n%2 == 1, MaxIdleConnsPerHost: 1}}
	in := w.nodes[n%len(w.nodes)]
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(clientPause):
		}
		order := k%4 == 0
		path := "/find/"
		if order {
			path = "/order/"
		}
		w.ask(c, in, fmt.Sprintf("c%d-%d", n, k), path, order)
	}
}

const (
	// recoveryTries is the number of requests to each instance, all but one of which must be
	// answered in full, and recoveryRounds how often that is tried while the machine leaves
	// the instance without a processor for longer than starvedFor.
	recoveryTries  = 20
	recoveryRounds = 6
	starvedFor     = 50 * time.Millisecond
)

// checkRecovered checks that every instance serves the newest version in full.
func (w *world) checkRecovered() {
	w.mu.Lock()
	path := w.config.Routes[1].Prefix
	w.mu.Unlock()
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, in := range w.nodes {
		for round := range recoveryRounds {
			before, full := waits(in.pid()), 0
			for k := range recoveryTries {
				if w.ask(c, in, fmt.Sprintf("r%d-%d-%d", i, round, k), path, false) {
					full++
				}
			}
			if full >= recoveryTries-1 {
				break
			}
			waited := starved(before, waits(in.pid()))
			if waited < starvedFor || round == recoveryRounds-1 {
				w.checks.fail("%s: %d of %d requests to the newest route %s were answered in full, %v after the last fault; a thread waited %v for a processor",
					in.name, full, recoveryTries, path, calmTime, waited)
				break
			}
		}
	}
}
