package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/platform"
	"hyssoppitch/platform/stand"
)

const (
	groupCount       = 6
	replicasPerGroup = 3
	// orderGroup is the group that executes orders: requests that must run at most once.
	orderGroup = "single"
	// routeTimeout is the timeout of all routes. drainGrace is how long a server may still
	// get requests after it has announced that it is draining.
	routeTimeout = 1500 * time.Millisecond
	drainGrace   = 3 * time.Second

	listenPort, readyPort, controlPort = 8001, 8002, 8003
)

var dataCentres = []string{"dc0", "dc1", "dc2"}

// instance is an instance of hyssoppitch, running as a process of its own.
type instance struct {
	name, listenAddress, readyAddress, controlAddress string
	// store is the proxy between this instance and the store.
	store        *proxy
	settingsPath string
	logFile      *os.File

	mu  sync.Mutex
	cmd *exec.Cmd
	// exited is closed when the process has ended.
	exited <-chan struct{}
	// interruptedAt is when the process was last killed, suspended or resumed, and
	// terminatedAt when it was last sent SIGTERM.
	interruptedAt, terminatedAt time.Time
}

// backend is a backend server stand-in behind a proxy.
type backend struct {
	*stand.Server
	proxy *proxy
	// drainingSince is when the server announced that it is draining, or zero. replaced is
	// set together with it.
	drainingSince time.Time
	replaced      bool
	// starts counts the starts of the server. It serves as the start time in the server's
	// entry, which need only differ between starts. crashed is set from a crash until the
	// restart.
	starts  int64
	crashed bool
}

// deployment is a set of real processes of hyssoppitch among stand-ins.
type deployment struct {
	dir       string
	program   string
	seed      uint64
	rand      *rand.Rand
	store     *stand.Store
	instances []*instance

	mu       sync.Mutex
	backends map[string]*backend
	// retired holds the replaced servers, for the checks at the end.
	retired       []*backend
	configVersion uint64
	// previousVersion is the version of the configuration before configVersion, or zero.
	previousVersion uint64
	config          platform.ConfigDocument
	lastID          int
	// crashesByGroup counts the crashes of servers by group.
	crashesByGroup map[string]int
	// storeFaultAt is when a fault of the store or of a connection to it last began or
	// ended.
	storeFaultAt time.Time
	evacuatedAt  map[string]time.Time
	checks       *checks
	rollouts     []*rollout
	// mostLimited is the largest number of requests of quotaCustomer in a window, and limitedBound
	// the bound on it.
	mostLimited  int
	limitedBound float64
}

// newDeployment starts the stand-ins and the given number of instances.
func newDeployment(program, dir string, seed uint64, instances int) (w *deployment, err error) {
	defer func() { err = errors.Wrap(err, "start deployment") }()
	w = &deployment{
		dir: dir, program: program, seed: seed, rand: rand.New(rand.NewPCG(seed, 7)),
		backends: map[string]*backend{}, evacuatedAt: map[string]time.Time{}, crashesByGroup: map[string]int{}, checks: &checks{requests: map[string]*sentRequest{}},
	}
	w.store, err = stand.NewStore()
	if err != nil {
		return nil, err
	}
	for g := range groupCount {
		for r := range replicasPerGroup {
			if err := w.addServer(groupName(g), dataCentres[r]); err != nil {
				return nil, err
			}
		}
	}
	for _, dc := range append(dataCentres, dataCentres...) {
		if err := w.addServer(orderGroup, dc); err != nil {
			return nil, err
		}
	}
	if err := w.addRollouts(); err != nil {
		return nil, err
	}
	w.putNextConfig()
	return w, w.addInstances(instances)
}

func groupName(g int) string { return fmt.Sprintf("g%d", g) }

// addServer starts a server in a group and data centre and registers it.
func (w *deployment) addServer(group, dataCentre string) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.lastID++
	s, err := stand.NewServer(fmt.Sprintf("s%d", w.lastID), group, dataCentre, "127.0.0.1:0")
	if err != nil {
		return err
	}
	p, err := newProxy(s.Address())
	if err != nil {
		return err
	}
	b := &backend{Server: s, proxy: p, starts: 1}
	s.OnCrash(func() { w.crash(b) })
	w.backends[s.ID] = b
	w.register(b, "ready")
	return nil
}

// register writes the entry of a server to the store.
func (w *deployment) register(b *backend, state string) {
	w.store.PutServer(b.ID, platform.ServerEntry{
		Group: b.Group, Address: b.proxy.address(), DataCentre: b.DataCentre, Slots: 3, State: state, StartMillis: b.starts,
	})
}

// restartDelay is the time that a crashed server is down.
const restartDelay = 1500 * time.Millisecond

// crash makes a server look like a process that ended and restarts after restartDelay.
func (w *deployment) crash(b *backend) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if b.crashed || b.replaced {
		return
	}
	b.crashed = true
	w.crashesByGroup[b.Group]++
	restart := b.proxy.crash()
	time.AfterFunc(restartDelay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := restart(); err != nil {
			w.checks.fail("server %s can't be restarted: %v", b.ID, err)
		}
		b.crashed = false
		b.starts++
		if !b.replaced {
			w.register(b, "ready")
		}
	})
}

// putNextConfig writes the next version of the configuration. Each version has a route of
// its own, by which checkRecovered recognizes it.
func (w *deployment) putNextConfig() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.previousVersion = w.configVersion
	w.configVersion += 1 + uint64(w.rand.IntN(3))
	gather := make([]string, groupCount)
	for g := range gather {
		gather[g] = groupName(g)
	}
	customers := tenants(w.configVersion)
	d := platform.ConfigDocument{Version: w.configVersion, Tenants: &customers}
	for _, prefix := range []string{"/find/", fmt.Sprintf("/v%d/", w.configVersion)} {
		d.Routes = append(d.Routes, platform.RouteEntry{
			Name: prefix, Host: "soak", Prefix: prefix, Kind: "safe", TimeoutMillis: 1500, TargetMillis: 150,
			Gather: gather, MergeTop: 5, LeastCoverage: 0.6, Attempts: 2,
		})
	}
	d.Routes = append(d.Routes, platform.RouteEntry{
		Name: "order", Host: "soak", Prefix: "/order/", Kind: "unsafe", TimeoutMillis: 1500, TargetMillis: 300,
		Group: orderGroup, Attempts: 2,
	})
	for prefix, group := range map[string]string{"/limited/": orderGroup, "/good/": "good", "/bad/": "bad"} {
		d.Routes = append(d.Routes, platform.RouteEntry{
			Name: prefix, Host: "soak", Prefix: prefix, Kind: "safe", TimeoutMillis: 1500, TargetMillis: 150, Group: group, Attempts: 2,
		})
	}
	w.config = d
	w.store.PutConfig(d)
}

// loopbackAddress returns an address for an instance that differs from those of other seeds
// and of other soak runs on this machine.
func loopbackAddress(seed uint64, instance, port int) string {
	return fmt.Sprintf("127.%d.%d.%d:%d", 20+seed%200, 1+os.Getpid()%250, 1+instance, port)
}

// addInstances writes the settings of n instances and starts their processes.
func (w *deployment) addInstances(n int) error {
	var seeds []string
	for i := range n {
		in := &instance{
			name: fmt.Sprintf("i%d", i), listenAddress: loopbackAddress(w.seed, i, listenPort),
			readyAddress: loopbackAddress(w.seed, i, readyPort), controlAddress: loopbackAddress(w.seed, i, controlPort),
		}
		var err error
		if in.store, err = newProxy(w.store.Address()); err != nil {
			return err
		}
		if in.logFile, err = os.Create(filepath.Join(w.dir, in.name+".log")); err != nil {
			return err
		}
		if i < 3 {
			seeds = append(seeds, in.controlAddress)
		}
		w.instances = append(w.instances, in)
	}
	for i, in := range w.instances {
		data, err := json.Marshal(map[string]any{
			"instance": in.name, "data-centre": dataCentres[i%len(dataCentres)], "listen": in.listenAddress, "control": in.controlAddress,
			"store": in.store.address(), "seeds": seeds,
			"shutdown": map[string]string{"grace": "6s", "lag": "1s", "drain": "2s"},
			"routed": map[string]any{
				"enabled": true, "ready": in.readyAddress, "retry-ratio": 0.2, "retry-slack": 50, "retry-window": "10s",
				"regions":      map[string]string{"dc0": "r0", "dc1": "r1", "dc2": "r2"},
				"quota-window": quotaWindow.String(), "quota-overage": quotaOverage, "quota-slack": quotaSlack,
				"exposure-share": exposureShare, "exposure-slack": exposureSlack, "rollback": "5s",
			},
		})
		if err != nil {
			return err
		}
		in.settingsPath = filepath.Join(w.dir, in.name+".json")
		if err := os.WriteFile(in.settingsPath, data, 0o600); err != nil {
			return err
		}
		in.mu.Lock()
		err = w.startInstance(in)
		in.mu.Unlock()
		if err != nil {
			return err
		}
	}
	return nil
}

// startInstance starts the process of an instance. The caller holds in.mu.
func (w *deployment) startInstance(in *instance) error {
	cmd := exec.Command(w.program, "serve", "--settings", in.settingsPath)
	cmd.Stdout, cmd.Stderr = in.logFile, in.logFile
	if err := cmd.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	in.cmd, in.exited = cmd, exited
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	return nil
}

// pid returns the process ID of an instance.
func (in *instance) pid() int {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cmd.Process.Pid
}

// signal sends a signal to the process of an instance. It returns the channel that is closed
// when that process has ended.
func (in *instance) signal(s syscall.Signal) (exited <-chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	switch s {
	case syscall.SIGTERM:
		in.terminatedAt = time.Now()
	case syscall.SIGHUP:
	default:
		in.interruptedAt = time.Now()
	}
	// Signal fails if the process has ended. The fault that ended it also restarts it.
	_ = in.cmd.Process.Signal(s)
	return in.exited
}

// restart waits until a process has ended, kills it if that takes too long, and starts it
// again unless another fault has done so in the meantime.
func (w *deployment) restart(in *instance, exited <-chan struct{}) {
	select {
	case <-exited:
	case <-time.After(7 * time.Second):
		if interrupted, _ := in.recentFaults(time.Now().Add(-8 * time.Second)); !interrupted {
			w.checks.fail("%s is still running 7s after SIGTERM", in.name)
		}
		_ = in.signal(syscall.SIGKILL)
		<-exited
	}
	in.mu.Lock()
	defer in.mu.Unlock()
	if in.exited != exited {
		return
	}
	if err := w.startInstance(in); err != nil {
		w.checks.fail("%s can't be started: %v", in.name, err)
	}
}

// recentFaults reports whether an instance was interrupted (killed, suspended or resumed) or
// sent SIGTERM since a time. It counts faults shortly before that time too, because their
// effects last.
func (in *instance) recentFaults(since time.Time) (interrupted, leaving bool) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.interruptedAt.After(since.Add(-time.Second)), in.terminatedAt.After(since.Add(-8 * time.Second))
}

// close stops all processes and stand-ins.
func (w *deployment) close() {
	for _, in := range w.instances {
		in.mu.Lock()
		if in.cmd != nil {
			_ = in.cmd.Process.Kill()
			<-in.exited
		}
		in.mu.Unlock()
		in.store.close()
		_ = in.logFile.Close()
	}
	for _, b := range w.backends {
		b.Close()
		b.proxy.close()
	}
	for _, o := range w.rollouts {
		for _, servers := range o.servers {
			for _, s := range servers {
				s.Close()
			}
		}
	}
	w.store.Close()
}
