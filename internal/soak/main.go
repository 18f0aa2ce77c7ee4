// Command soak runs hyssoppitch as separate processes among stand-ins for the platform's
// store and servers. It injects faults from outside, in an order drawn from a seed, and
// checks the guarantees to callers and servers.
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
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// options holds the command line options.
type options struct {
	seedCount     int
	firstSeed     uint64
	maxMinutes    float64
	faultPeriod   time.Duration
	instanceCount int
	parallelSeeds int
	logDir        string
}

func main() {
	var o options
	flag.IntVar(&o.seedCount, "seeds", 1, "number of seeds")
	flag.Uint64Var(&o.firstSeed, "first", 1, "first seed")
	flag.Float64Var(&o.maxMinutes, "minutes", 0, "start no further seeds after this many minutes; 0: no limit")
	flag.DurationVar(&o.faultPeriod, "trouble", 8*time.Second, "period during which faults are injected")
	flag.IntVar(&o.instanceCount, "instances", 4, "number of instances")
	flag.IntVar(&o.parallelSeeds, "at-once", 1, "number of seeds that run concurrently")
	flag.StringVar(&o.logDir, "keep", "", "directory for the logs of all seeds")
	flag.Parse()
	os.Exit(runSeeds(o))
}

// runSeeds runs all seeds, prints their reports and returns the exit code.
func runSeeds(o options) (code int) {
	dir, err := os.MkdirTemp("", "hyssoppitch-soak")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program, err := buildProgram(dir)
	if err != nil {
		fmt.Println(err)
		return 1
	}
	start := time.Now()
	var ran, failed atomic.Int64
	next := make(chan uint64)
	var workers sync.WaitGroup
	for range o.parallelSeeds {
		workers.Go(func() {
			for seed := range next {
				seedDir := filepath.Join(dir, fmt.Sprint("seed-", seed))
				if o.logDir != "" {
					seedDir = filepath.Join(o.logDir, fmt.Sprint("seed-", seed))
				}
				report, problems := runSeed(program, seedDir, seedPlan{seed: seed, faultPeriod: o.faultPeriod, instanceCount: o.instanceCount, faultKinds: len(faults)})
				ran.Add(1)
				if len(problems) > 0 {
					failed.Add(1)
				}
				fmt.Print(formatReport(seed, report, problems))
			}
		})
	}
	for i := range o.seedCount {
		if o.maxMinutes > 0 && time.Since(start).Minutes() > o.maxMinutes {
			break
		}
		next <- o.firstSeed + uint64(i)
	}
	close(next)
	workers.Wait()
	fmt.Printf("%d passed, %d failed\n", ran.Load()-failed.Load(), failed.Load())
	if failed.Load() > 0 {
		return 1
	}
	return 0
}

// formatReport returns the printed report on a seed, with one line per problem.
func formatReport(seed uint64, report string, problems []string) string {
	out := fmt.Sprintf("seed %d: %s\n", seed, report)
	for _, p := range problems {
		out += fmt.Sprintf("seed %d: FAILED: %s\n", seed, p)
	}
	return out
}

// buildProgram builds hyssoppitch into a directory and returns the path of the program.
func buildProgram(dir string) (program string, err error) {
	program = filepath.Join(dir, "hyssoppitch")
	if out, err := exec.Command("go", "build", "-o", program, "hyssoppitch/cmd/hyssoppitch").CombinedOutput(); err != nil {
		return "", errors.Wrapf(err, "go build: %s", out)
	}
	return program, nil
}

const (
	// clientsPerInstance is the number of clients of each instance. Half of them keep their
	// connections.
	clientsPerInstance = 4
	// requestInterval is the delay of a client between two requests with baseInstances
	// instances. It grows in proportion to the number of instances, so that the total
	// request rate stays about the same.
	requestInterval = 60 * time.Millisecond
	baseInstances   = 4
	// recoveryTime is the time after the last fault by which the deployment must have
	// recovered.
	recoveryTime = 4 * time.Second
)

// seedPlan configures the run of one seed.
type seedPlan struct {
	seed          uint64
	faultPeriod   time.Duration
	instanceCount int
	// faultKinds limits the faults that are drawn to the first ones of the list.
	faultKinds int
}

// runSeed runs one seed. It returns a summary and the violated guarantees.
func runSeed(program, dir string, p seedPlan) (report string, problems []string) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return "", []string{err.Error()}
	}
	w, err := newDeployment(program, dir, p.seed, p.instanceCount)
	if err != nil {
		return "", []string{err.Error()}
	}
	defer w.close()
	time.Sleep(time.Second)
	stop := make(chan struct{})
	var clients sync.WaitGroup
	for i := range clientsPerInstance * len(w.instances) {
		clients.Go(func() { w.runClient(i, stop) })
	}
	for i, in := range w.instances {
		clients.Go(func() { w.runQuotaClient(i, stop) })
		clients.Go(func() { w.runHostileClient(i, stop) })
		for _, o := range w.rollouts {
			clients.Go(func() {
				w.sendPeriodically(in, fmt.Sprintf("%c%d", o.group[0], i), "/"+o.group+"/", rolloutInterval, stop)
			})
		}
	}
	var decisions sync.WaitGroup
	for _, o := range w.rollouts {
		duration := p.faultPeriod + rolloutTime
		w.order(o, duration)
		decisions.Go(func() { w.awaitDecision(o, duration) })
	}
	injected := w.injectFaults(p.faultPeriod, faults[:p.faultKinds])
	lastFault := time.Now()
	// Adds a key and removes one, which checkKeys expects to be in force after recoveryTime.
	w.putNextConfig()
	time.Sleep(recoveryTime)
	w.checkRecovered()
	w.checkKeys()
	decisions.Wait()
	close(stop)
	clients.Wait()
	time.Sleep(routeTimeout)
	w.checkExecutions(lastFault)
	c := w.checks
	report = fmt.Sprintf("%d answered (%d in part), %d refused, %d above quota, %d failed; at most %d of %.0f requests in a quota window; %s",
		c.answered, c.partial, c.refused, c.overQuota, c.failed, w.mostLimited, w.limitedBound, strings.Join(injected, ", "))
	for _, o := range w.rollouts {
		if !o.decidedAt.IsZero() {
			report += fmt.Sprintf("; roll-out of %s decided after %.1fs", o.group, o.decidedAt.Sub(o.orderedAt).Seconds())
		}
	}
	return report, c.problems
}

// injectFaults injects randomly drawn faults for a period, waits until all are undone, and
// returns their names in order. A fault is not injected again while it is active.
func (w *deployment) injectFaults(period time.Duration, faults []fault) (injected []string) {
	var pending sync.WaitGroup
	active := map[string]bool{}
	var mu sync.Mutex
	for end := time.Now().Add(period); time.Now().Before(end); {
		f := faults[w.rand.IntN(len(faults))]
		duration := time.Duration(200+w.rand.IntN(2000)) * time.Millisecond
		pause := time.Duration(w.rand.IntN(1200)) * time.Millisecond
		mu.Lock()
		alreadyActive := active[f.name]
		mu.Unlock()
		if !alreadyActive {
			injected = append(injected, f.name)
			if undo := f.inject(w); undo != nil {
				mu.Lock()
				active[f.name] = true
				mu.Unlock()
				pending.Go(func() {
					time.Sleep(duration)
					undo()
					mu.Lock()
					active[f.name] = false
					mu.Unlock()
				})
			}
		}
		time.Sleep(pause)
	}
	pending.Wait()
	return injected
}

// runClient sends requests to one instance until stop is closed. Every fourth request is an
// order, the others are searches. Clients with an even number keep their connection until the
// process ends.
func (w *deployment) runClient(n int, stop <-chan struct{}) {
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: n%2 == 1, MaxIdleConnsPerHost: 1}}
	in := w.instances[n%len(w.instances)]
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(requestInterval * time.Duration(max(1, len(w.instances)/baseInstances))):
		}
		order := k%4 == 0
		path := "/find/"
		if order {
			path = "/order/"
		}
		id := fmt.Sprintf("c%d-%d", n, k)
		w.sendAndCheck(c, in, id, path+id, order)
	}
}

const (
	// recoveryRequests is the number of requests to each instance, of which at most one may
	// get less than a complete answer. The check is repeated, up to recoveryRounds times in
	// all, if a thread of the instance waited longer than starvationThreshold for a CPU.
	recoveryRequests    = 20
	recoveryRounds      = 6
	starvationThreshold = 50 * time.Millisecond
)

// checkRecovered checks that every instance serves the newest version of the configuration
// with complete answers.
func (w *deployment) checkRecovered() {
	w.mu.Lock()
	path := w.config.Routes[1].Prefix
	w.mu.Unlock()
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, in := range w.instances {
		for round := range recoveryRounds {
			before, full := cpuWaits(in.pid()), 0
			for k := range recoveryRequests {
				id := fmt.Sprintf("r%d-%d-%d", i, round, k)
				if w.sendAndCheck(c, in, id, path+id, false) {
					full++
				}
			}
			if full >= recoveryRequests-1 {
				break
			}
			cpuWait := maxCPUWait(before, cpuWaits(in.pid()))
			if cpuWait < starvationThreshold || round == recoveryRounds-1 {
				w.checks.fail("%s: %d of %d requests to the newest route %s got a complete answer, %v after the last fault; a thread waited %v for a CPU; %s",
					in.name, full, recoveryRequests, path, recoveryTime, cpuWait, w.describeCopies())
				break
			}
		}
	}
}
