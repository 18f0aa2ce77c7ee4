package main

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"
)

// program is the program as the deploy file builds it.
const program = "target/hyssoppitch"

func listen() net.Listener {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	return l
}

// freeAddress returns a loopback address that was free just now. Its port is below those that the
// system gives to outgoing connections.
func freeAddress() string {
	for range 1000 {
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", 10_000+rand.IntN(20_000)))
		if err == nil {
			defer func() { _ = l.Close() }()
			return l.Addr().String()
		}
	}
	fatal("no free port")
	return ""
}

// zone is a zone of a site, with its region and the limits of its machines.
type zone struct {
	name, region string
	memoryMB     int
	fds          int
}

// zones holds the zones of the machines of a case. These are those of the site kowhai-rides.
var zones = []zone{
	{"akl-west", "akl", 414, 6150}, {"wlg-hutt", "wlg", 804, 12300}, {"chc-north", "chc", 284, 4100}, {"akl-west", "akl", 414, 6150},
}

// retrySlack is the bound of that site.
var retrySlack = 54

// pspbaZones are those of the site pspba-hyssop.
var pspbaZones = []zone{
	{"kingston-a", "surrey", 414, 6150}, {"mandeville-a", "middlesex", 544, 8200}, {"montego-a", "cornwall", 284, 4100}, {"kingston-a", "surrey", 414, 6150},
}

// instance is a process of hyssoppitch.
type instance struct {
	name                           string
	zone                           zone
	front, ready, control, metrics string
	settings                       string
	log                            *os.File
	cmd                            *exec.Cmd
	exited                         chan struct{}
	state                          error
}

// deployment holds the processes of a case and what they are started with.
type deployment struct {
	dir       string
	instances []*instance
}

// newDeployment prepares n instances with settings as the template of the deploy file makes them for
// the site. storeOf returns the address at which an instance reaches the store.
func newDeployment(n int, storeOf func(i int) string) *deployment {
	dir, err := os.MkdirTemp("", "stage")
	if err != nil {
		fatal("%v", err)
	}
	d := &deployment{dir: dir}
	var seeds []string
	for i := range n {
		in := &instance{
			name: fmt.Sprintf("front-%s-%d", zones[i].name, i), zone: zones[i],
			front: freeAddress(), ready: freeAddress(), control: freeAddress(), metrics: freeAddress(),
		}
		if i < 3 {
			seeds = append(seeds, in.control)
		}
		d.instances = append(d.instances, in)
	}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z.name] = z.region
	}
	for i, in := range d.instances {
		data, err := json.MarshalIndent(map[string]any{
			"instance": in.name, "data-centre": in.zone.name, "listen": in.front, "control": in.control, "metrics": in.metrics,
			"store": storeOf(i), "seeds": seeds,
			"machine":  map[string]any{"memory-mb": in.zone.memoryMB, "descriptors": in.zone.fds},
			"shutdown": map[string]string{"grace": "6s", "lag": "3s", "drain": "3s"},
			"routed": map[string]any{
				"enabled": true, "ready": in.ready, "regions": regions, "spill": true,
				"retry-ratio": 0.2, "retry-slack": retrySlack, "retry-window": "10s",
			},
		}, "", "  ")
		if err != nil {
			fatal("%v", err)
		}
		in.settings = filepath.Join(dir, in.name+".json")
		if err := os.WriteFile(in.settings, data, 0o600); err != nil {
			fatal("%v", err)
		}
		if in.log, err = os.Create(filepath.Join(dir, in.name+".log")); err != nil {
			fatal("%v", err)
		}
	}
	onExit(d.close)
	return d
}

// start starts an instance as the deploy file does.
func (d *deployment) start(in *instance) {
	cmd := exec.Command(program, "serve", "--settings", in.settings)
	cmd.Stdout, cmd.Stderr = in.log, in.log
	if err := cmd.Start(); err != nil {
		fatal("start %s: %v", in.name, err)
	}
	exited := make(chan struct{})
	in.cmd, in.exited = cmd, exited
	go func() {
		in.state = cmd.Wait()
		close(exited)
	}()
}

// startAll starts all instances and waits until they are ready.
func (d *deployment) startAll() {
	for _, in := range d.instances {
		d.start(in)
	}
	for _, in := range d.instances {
		in.awaitReady()
	}
}

func (in *instance) isReady() bool {
	client := &http.Client{Timeout: time.Second}
	r, err := client.Get("http://" + in.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == http.StatusOK
}

func (in *instance) awaitReady() {
	for range 200 {
		if in.isReady() {
			return
		}
		time.Sleep(50 * time.Millisecond)
	}
	fatal("%s is not ready after 10 s", in.name)
}

func (d *deployment) close() {
	for _, in := range d.instances {
		if in.cmd != nil {
			_ = in.cmd.Process.Kill()
			<-in.exited
		}
		_ = in.log.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs are kept in", d.dir)
	}
}

// record writes lines to record.txt.
type record struct {
	mu    sync.Mutex
	file  *os.File
	begin time.Time
}

func newRecord(folder string) *record {
	f, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fatal("%v", err)
	}
	return &record{file: f, begin: time.Now()}
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%9.3f  %s\n", time.Since(r.begin).Seconds(), fmt.Sprintf(format, args...))
}

// say writes a line to record.txt and to the standard output.
func (r *record) say(format string, args ...any) {
	r.line(format, args...)
	fmt.Printf(format+"\n", args...)
}
