package crowd

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssoppitch/platform"
	"hyssoppitch/platform/stand"
)

const (
	// memoryMB and descriptors describe the machine in the instance's settings. They are the
	// bounds that the tests check.
	memoryMB    = 64
	descriptors = 400
	// maxHeaderBytes and maxBodyBytes are the limits in the operators' configuration.
	maxHeaderBytes = 64 << 10
	maxBodyBytes   = 256 << 10
	// testTimeout limits every wait. Only a test that hangs reaches it.
	testTimeout = 60 * time.Second
)

var program string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "hyssoppitch-crowd")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	program = filepath.Join(dir, "hyssoppitch")
	if out, err := exec.Command("go", "build", "-o", program, "hyssoppitch/cmd/hyssoppitch").CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// instance is a running process with its store and server.
type instance struct {
	cmd    *exec.Cmd
	ended  chan struct{}
	output *lockedBuffer
	// listen, control, ready and metrics are the addresses of its listeners.
	listen, control, ready, metrics string
	routed                          bool
	machine
}

// machine is what an instance may use.
type machine struct {
	memoryMB, descriptors int
	// limited is set if limits on the process say so, and not its settings. The memory is the limit on its data then,
	// which the kernel enforces and which counts what is mapped.
	limited bool
}

// command returns the command that runs an instance on the machine.
func (m machine) command(settings string) *exec.Cmd {
	if !m.limited {
		return exec.Command(program, "serve", "--settings", settings)
	}
	limits := fmt.Sprintf(`ulimit -n %d && ulimit -d %d && exec "$0" "$@"`, m.descriptors, m.memoryMB<<10)
	c := exec.Command("sh", "-c", limits, program, "serve", "--settings", settings)
	// The stacks of threads count as data, of which there are as many as processors.
	c.Env = append(os.Environ(), "GOMAXPROCS=4")
	return c
}

// lockedBuffer keeps the output of a process.
type lockedBuffer struct {
	mu   sync.Mutex
	data bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (n int, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.data.Write(p)
}

// String returns the end of the output, or the begin of what the runtime says when it ends the process.
func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	text := b.data.String()
	const limit = 4000
	for _, start := range []string{"\nfatal error: ", "\nruntime: "} {
		if _, rest, ok := strings.Cut(text, start); ok {
			return start + rest[:min(len(rest), limit)]
		}
	}
	return text[max(0, len(text)-limit):]
}

// fail ends a test that can't read what the system says of the process, mostly since it ended.
func (in *instance) fail(t *testing.T, err error) {
	t.Helper()
	select {
	case <-in.ended:
		t.Fatalf("the process ended\n%s", in.output)
	case <-time.After(time.Second):
		t.Fatalf("%v\n%s", err, in.output)
	}
}

// lastPort is the last port that freeAddress returned, guarded by portMu. The ports are below the range of outgoing
// connections, one of which would otherwise take a free one.
var (
	portMu   sync.Mutex
	lastPort = 10000
)

// freeAddress returns a free address on a loopback IP address that is derived from the process
// ID, so that no concurrent run of these tests on this machine uses it.
func freeAddress(t *testing.T) string {
	t.Helper()
	portMu.Lock()
	defer portMu.Unlock()
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 100+pid>>16&0x7f, pid>>8&0xff, pid&0xff)
	for {
		lastPort++
		address := net.JoinHostPort(ip, strconv.Itoa(lastPort))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
}

// startInstance starts an instance and waits until it answers an ordinary request.
func startInstance(t *testing.T, routed bool) *instance {
	t.Helper()
	return startInstanceAt(t, startStore(t), routed)
}

// startInstanceAt does the same with a store that is running, and with addresses of peers.
func startInstanceAt(t *testing.T, store string, routed bool, seeds ...string) *instance {
	t.Helper()
	return startInstanceOn(t, memoryMB, "i0", store, routed, seeds...)
}

// startInstanceOn does the same for a machine with the given memory, and with a name.
func startInstanceOn(t *testing.T, memory int, name, store string, routed bool, seeds ...string) *instance {
	t.Helper()
	return startInstanceOf(t, machine{memoryMB: memory, descriptors: descriptors}, name, store, routed, seeds...)
}

// startInstanceOf does the same for any machine.
func startInstanceOf(t *testing.T, m machine, name, store string, routed bool, seeds ...string) *instance {
	t.Helper()
	in := &instance{
		listen: freeAddress(t), control: freeAddress(t), ready: freeAddress(t), metrics: freeAddress(t),
		routed: routed, machine: m, ended: make(chan struct{}), output: &lockedBuffer{},
	}
	settings := map[string]any{
		"instance": name, "data-centre": "bay", "listen": in.listen, "control": in.control,
		"store": store, "metrics": in.metrics, "seeds": append([]string{}, seeds...),
	}
	if !m.limited {
		settings["machine"] = map[string]any{"memory-mb": m.memoryMB, "descriptors": m.descriptors}
	}
	if routed {
		settings["routed"] = map[string]any{"enabled": true, "ready": in.ready}
	}
	data, err := json.Marshal(settings)
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(t.TempDir(), "settings.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	in.cmd = m.command(path)
	in.cmd.Stdout, in.cmd.Stderr = in.output, in.output
	if err := in.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() { _ = in.cmd.Wait(); close(in.ended) }()
	t.Cleanup(func() {
		_ = in.cmd.Process.Kill()
		<-in.ended
	})
	in.awaitAnswer(t, "at the start")
	return in
}

// startStore starts a store with a configuration and one server, and returns its address.
func startStore(t *testing.T) string {
	t.Helper()
	store := startStoreOfServer(t)
	store.PutConfig(platform.ConfigDocument{
		Version: 1,
		Routes: []platform.RouteEntry{
			{Name: "read", Host: "crowd.example", Prefix: "/", Kind: "safe", TimeoutMillis: 5000, TargetMillis: 1000, Group: "group", Attempts: 2},
		},
		Pools:  []platform.ServiceEntry{{Group: "group", Connections: 32}},
		Limits: platform.LimitsEntry{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes},
	})
	return store.Address()
}

// startStoreOfServer starts a store and an ordinary server of the group "group".
func startStoreOfServer(t *testing.T) *stand.Store {
	t.Helper()
	store, err := stand.NewStore()
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(store.Close)
	server, err := stand.NewServer("s0", "group", "bay", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(server.Close)
	store.PutServer("s0", platform.ServerEntry{
		Group: "group", Address: server.Address(), DataCentre: "bay", Slots: 8, State: "ready",
		StartMillis: time.Now().UnixMilli(), Sequence: 1,
	})
	return store
}

// ordinaryRequest sends one small request on a new connection.
func (in *instance) ordinaryRequest() error {
	c, err := net.DialTimeout("tcp", in.listen, 5*time.Second)
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	path := "/read"
	if !in.routed {
		path = "/healthz"
	}
	if _, err := fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: crowd.example\r\nHyssoppitch-Request-Id: ordinary\r\n\r\n", path); err != nil {
		return err
	}
	reply, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return err
	}
	body, err := io.ReadAll(reply.Body)
	if err == nil && reply.StatusCode != http.StatusOK {
		err = fmt.Errorf("status %d: %s", reply.StatusCode, body)
	}
	return err
}

// awaitAnswer sends an ordinary request until it is answered.
func (in *instance) awaitAnswer(t *testing.T, when string) {
	t.Helper()
	for end := time.Now().Add(testTimeout); ; {
		err := in.ordinaryRequest()
		if err == nil {
			return
		}
		select {
		case <-in.ended:
			t.Fatalf("the process ended %s\n%s", when, in.output)
		case <-time.After(50 * time.Millisecond):
		}
		if time.Now().After(end) {
			t.Fatalf("no ordinary request was answered %s: %v\n%s", when, err, in.output)
		}
	}
}

// peakMemory returns the maximum resident memory of the process so far, in bytes.
func (in *instance) peakMemory(t *testing.T) int64 {
	t.Helper()
	return in.statusBytes(t, "VmHWM:")
}

// residentMemory returns the resident memory of the process, in bytes.
func (in *instance) residentMemory(t *testing.T) int64 {
	t.Helper()
	return in.statusBytes(t, "VmRSS:")
}

// statusBytes returns a size from the status of the process, in bytes.
func (in *instance) statusBytes(t *testing.T, field string) int64 {
	t.Helper()
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", in.cmd.Process.Pid))
	if err != nil {
		in.fail(t, err)
	}
	_, rest, _ := strings.Cut(string(data), field)
	line, _, _ := strings.Cut(rest, "\n")
	kb, err := strconv.ParseInt(strings.TrimSpace(strings.TrimSuffix(line, "kB")), 10, 64)
	if err != nil {
		in.fail(t, fmt.Errorf("%s %q: %w", field, line, err))
	}
	return kb << 10
}

// openDescriptors returns the number of descriptors that the process has open.
func (in *instance) openDescriptors(t *testing.T) int {
	t.Helper()
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", in.cmd.Process.Pid))
	if err != nil {
		in.fail(t, err)
	}
	return len(entries)
}

// unreadBytes returns the number of bytes that have arrived at the sockets of the process and that it has
// not read.
func (in *instance) unreadBytes(t *testing.T) int64 {
	t.Helper()
	unread, _ := in.socketBytes(t)
	return unread
}

// socketBytes returns the number of bytes that the sockets of the process hold: unread ones, and those that were
// not taken by the other side.
func (in *instance) socketBytes(t *testing.T) (unread, unsent int64) {
	t.Helper()
	dir := fmt.Sprintf("/proc/%d/fd/", in.cmd.Process.Pid)
	entries, err := os.ReadDir(dir)
	if err != nil {
		in.fail(t, err)
	}
	sockets := map[string]bool{}
	for _, e := range entries {
		// A descriptor may be closed meanwhile.
		target, _ := os.Readlink(dir + e.Name())
		if inode, ok := strings.CutPrefix(target, "socket:["); ok {
			sockets[strings.TrimSuffix(inode, "]")] = true
		}
	}
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/net/tcp", in.cmd.Process.Pid))
	if err != nil {
		in.fail(t, err)
	}
	for line := range strings.Lines(string(data)) {
		// The fifth field has the bytes to be sent and to be read, the tenth the inode.
		fields := strings.Fields(line)
		if len(fields) < 10 || !sockets[fields[9]] {
			continue
		}
		var out, in int64
		if _, err := fmt.Sscanf(fields[4], "%x:%x", &out, &in); err != nil {
			t.Fatalf("/proc/net/tcp: %q: %v", line, err)
		}
		unread += in
		unsent += out
	}
	return unread, unsent
}
