package crowd

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// client is what one client of a crowd sends before it falls silent. It never reads, unless it is slow.
type client struct {
	// text is sent once, and then endless up to repeats times.
	text, endless string
	repeats       int
	// slow is set if it reads the answers, a few bytes at a time.
	slow bool
}

// readSlowly reads what arrives until the connection is closed.
func readSlowly(c net.Conn) {
	var piece [64]byte
	for {
		if _, err := c.Read(piece[:]); err != nil {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
}

const (
	get  = "GET /read HTTP/1.1\r\nHost: crowd.example\r\n"
	head = "POST /read HTTP/1.1\r\nHost: crowd.example\r\n"
	// connections is the number of clients of a crowd.
	connections = 300
)

// headerNames returns empty header lines of different names.
func headerNames(n int) string {
	var out strings.Builder
	for i := range n {
		fmt.Fprintf(&out, "h%d:\r\n", i)
	}
	return out.String()
}

// send starts a crowd, waits until all of its clients have sent what the instance takes, and
// keeps their connections open until the test ends. descriptorPeak is the maximum number of
// descriptors that the instance had open meanwhile.
func (in *instance) send(t *testing.T, address string, n int, c client) (descriptorPeak int) {
	t.Helper()
	return in.sendParallel(t, address, n, 32, c)
}

// sendParallel does the same with a number of clients that send at a time.
func (in *instance) sendParallel(t *testing.T, address string, n, parallel int, c client) (descriptorPeak int) {
	t.Helper()
	var group sync.WaitGroup
	slots := make(chan struct{}, parallel)
	var mu sync.Mutex
	var open []net.Conn
	t.Cleanup(func() {
		for _, conn := range open {
			_ = conn.Close()
		}
	})
	done := make(chan struct{})
	for range n {
		group.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			conn, err := net.DialTimeout("tcp", address, 2*time.Second)
			if err != nil {
				return
			}
			mu.Lock()
			open = append(open, conn)
			mu.Unlock()
			if c.slow {
				go readSlowly(conn)
			}
			// A client that isn't read from would block here. It stays connected.
			_ = conn.SetWriteDeadline(time.Now().Add(2 * time.Second))
			_, err = conn.Write([]byte(c.text))
			for i := 0; err == nil && i < c.repeats; i++ {
				_, err = conn.Write([]byte(c.endless))
			}
		})
	}
	go func() { group.Wait(); close(done) }()
	for {
		descriptorPeak = max(descriptorPeak, in.openDescriptors(t))
		select {
		case <-done:
			return descriptorPeak
		case <-time.After(20 * time.Millisecond):
		}
	}
}

// check checks that an instance survived a crowd within the bounds of its machine.
func (in *instance) check(t *testing.T, descriptorPeak int) {
	t.Helper()
	in.awaitAnswer(t, "after the crowd")
	descriptorPeak = max(descriptorPeak, in.openDescriptors(t))
	memory := in.peakMemory(t)
	t.Logf("peak memory %d KB, descriptors %d", memory>>10, descriptorPeak)
	if got, want := memory, int64(in.memoryMB<<20); got > want {
		t.Errorf("peak memory: got %d bytes, want at most %d", got, want)
	}
	if got, want := descriptorPeak, in.descriptors; got > want {
		t.Errorf("open descriptors: got %d, want at most %d", got, want)
	}
	select {
	case <-in.ended:
		t.Errorf("the process ended\n%s", in.output)
	default:
	}
}

var crowds = []struct {
	name string
	n    int
	client
}{
	{"head over the limit in one line", connections, client{text: head + "X-Long: " + strings.Repeat("x", 1<<20)}},
	{"head without end", connections, client{text: head, endless: strings.Repeat("X-More: yyyyyyyyyyyyyyyyyyyyyyyy\r\n", 1000), repeats: 100}},
	{"empty lines without end", connections, client{endless: strings.Repeat("\r\n", 10_000), repeats: 20}},
	{"body just short of its end", connections, client{text: head + "Content-Length: 262144\r\n\r\n" + strings.Repeat("x", 262_100)}},
	{"body in tiny chunks without end", connections, client{text: head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("a\r\nxxxxxxxxxx\r\n", 25_000)}},
	{"whole bodies", connections, client{text: head + "Content-Length: 262144\r\n\r\n" + strings.Repeat("x", 262_144)}},
	{"whole bodies one after the other", connections / 3, client{endless: head + "Content-Length: 262144\r\n\r\n" + strings.Repeat("x", 262_144), repeats: 10}},
	{"legal head of many empty lines", connections, client{text: head + strings.Repeat("a:\r\n", 16_000)}},
	{"legal head of many names", connections, client{text: head + headerNames(7_000)}},
	{"legal head of many odd lines", connections, client{text: head + "a:\r\n" + strings.Repeat(" x\r\n", 15_000)}},
	{"whole requests of many empty lines", connections, client{text: get + strings.Repeat("a:\r\n", 16_000) + "\r\n"}},
	{"whole requests of many names", connections, client{text: get + headerNames(7_000) + "\r\n"}},
	{"answers that are never read", connections, client{endless: strings.Repeat("GET /read HTTP/1.1\r\nHost: crowd.example\r\n\r\n", 100), repeats: 100}},
	{"idle connections beyond the descriptors", 2 * descriptors, client{}},
}

// TestCallersStayWithinTheMachine guards against callers that exhaust the memory or the
// descriptors of an instance with routed requests.
func TestCallersStayWithinTheMachine(t *testing.T) {
	for _, test := range crowds {
		t.Run(test.name, func(t *testing.T) {
			in := startInstance(t, true)
			in.check(t, in.send(t, in.listen, test.n, test.client))
		})
	}
}

// TestMixedCallersStayWithinTheMachine guards against a mix that keeps to each bound alone.
func TestMixedCallersStayWithinTheMachine(t *testing.T) {
	in := startInstance(t, true)
	peak := 0
	for _, c := range crowds {
		peak = max(peak, in.send(t, in.listen, c.n/5, c.client))
	}
	in.check(t, peak)
}

// TestOtherListenersStayWithinTheMachine guards against clients of the listeners for declared
// services, operators, readiness and metrics.
func TestOtherListenersStayWithinTheMachine(t *testing.T) {
	long := client{text: head + "X-Long: " + strings.Repeat("x", 1<<20)}
	query := "POST /v1/query/service HTTP/1.1\r\nHost: crowd.example\r\nContent-Length: 1048576\r\n\r\n" + strings.Repeat(" ", 1_048_000)
	// The frame announces 2,000,000 bytes, with a mask of zeros.
	hello := "GET /peer HTTP/1.1\r\nHost: crowd.example\r\nConnection: Upgrade\r\nUpgrade: websocket\r\nSec-WebSocket-Version: 13\r\n" +
		"Sec-WebSocket-Key: AAAAAAAAAAAAAAAAAAAAAA==\r\n\r\n\x82\xff\x00\x00\x00\x00\x00\x1e\x84\x80\x00\x00\x00\x00"
	push := "POST /v1/push HTTP/1.1\r\nHost: crowd.example\r\nContent-Length: 60000000\r\n\r\n"
	tests := []struct {
		name    string
		routed  bool
		address func(in *instance) string
		n       int
		client
	}{
		{"native queries just short of their end", false, func(in *instance) string { return in.listen }, 200, client{text: query}},
		{"native heads over the limit", false, func(in *instance) string { return in.listen }, connections, long},
		{"pushes just short of their end", true, func(in *instance) string { return in.control }, 8, client{text: push, endless: strings.Repeat(" ", 1<<20), repeats: 50}},
		{"control heads over the limit", true, func(in *instance) string { return in.control }, connections, long},
		{"idle control connections", true, func(in *instance) string { return in.control }, 2 * descriptors, client{}},
		{"links without a hello", true, func(in *instance) string { return in.control }, connections, client{text: hello + strings.Repeat("x", 1<<20)}},
		{"metrics that are never read", true, func(in *instance) string { return in.metrics }, connections, client{endless: strings.Repeat("GET /debug/vars HTTP/1.1\r\nHost: crowd.example\r\n\r\n", 100), repeats: 100}},
		{"readiness heads over the limit", true, func(in *instance) string { return in.ready }, connections, long},
		{"idle readiness connections", true, func(in *instance) string { return in.ready }, 2 * descriptors, client{}},
		{"metrics heads over the limit", true, func(in *instance) string { return in.metrics }, connections, long},
		{"idle metrics connections", true, func(in *instance) string { return in.metrics }, 2 * descriptors, client{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := startInstance(t, test.routed)
			in.check(t, in.send(t, test.address(in), test.n, test.client))
		})
	}
}

// TestHeadBeyondTheMachineIsRefused guards against a limit on header sections that is that of a large machine on a
// small one: a few of them would fill the memory for all requests.
func TestHeadBeyondTheMachineIsRefused(t *testing.T) {
	in := startInstance(t, false)
	for size, want := range map[int]int{32 << 10: http.StatusOK, 192 << 10: http.StatusRequestHeaderFieldsTooLarge} {
		c, err := net.DialTimeout("tcp", in.listen, 5*time.Second)
		if err != nil {
			t.Fatal(err)
		}
		_ = c.SetDeadline(time.Now().Add(testTimeout))
		// The instance may refuse before it has read all.
		_, _ = fmt.Fprintf(c, "GET /healthz HTTP/1.1\r\nHost: crowd.example\r\nX-Long: %s\r\n\r\n", strings.Repeat("x", size))
		reply, err := http.ReadResponse(bufio.NewReader(c), nil)
		if err != nil {
			t.Fatalf("head of %d bytes: %v", size, err)
		}
		_ = reply.Body.Close()
		_ = c.Close()
		if got := reply.StatusCode; got != want {
			t.Errorf("head of %d bytes: got status %d, want %d", size, got, want)
		}
	}
}

// TestIdleConnectionsOnAllListeners guards against listeners that stay within their own limits and
// together leave no descriptors for servers and the store.
func TestIdleConnectionsOnAllListeners(t *testing.T) {
	in := startInstance(t, true)
	peak := 0
	for _, address := range []string{in.listen, in.control, in.ready, in.metrics} {
		peak = max(peak, in.send(t, address, descriptors, client{}))
	}
	in.check(t, peak)
}
