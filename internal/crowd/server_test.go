package crowd

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"hyssoppitch/platform"
)

const (
	// faultyServers is the number of servers that send what is no answer, and faultyConnections the
	// maximum number of connections to each of them, of which an instance opens nine in ten.
	faultyServers     = 14
	faultyConnections = 8
	// faultyCallers is the number of callers whose requests go to these servers.
	faultyCallers = 60
	// faultyTime is how long they call.
	faultyTime = 5 * time.Second
)

// instances has an element for each instance of a parallel test: more of them would leave too little processor
// time for each to be sent as much as it can take.
var instances = make(chan struct{}, 3)

// runParallel runs a test in parallel with a few others.
func runParallel(t *testing.T) {
	t.Helper()
	t.Parallel()
	instances <- struct{}{}
	t.Cleanup(func() { <-instances })
}

// faultyReply is what a server sends in place of a reply.
type faultyReply struct {
	name string
	// head is sent once, then chunk up to repeats times, or until the connection is closed if repeats is
	// zero. The server waits for pause before each chunk. After the last one it keeps the connection open.
	head, chunk string
	repeats     int
	pause       time.Duration
}

// okHead is the head of a valid reply, without its end.
const okHead = "HTTP/1.1 200 OK\r\nHyssoppitch-Request-Id: %[1]s\r\nHyssoppitch-Server-Stamp: st\r\n"

// faultyReplies are replies that never end. What a server sends before it falls silent is within the
// limits on a single reply, so that only all of them together are too much.
var faultyReplies = func() []faultyReply {
	block := strings.Repeat("x", 32<<10)
	lines := strings.Repeat("a:\r\n", 1000)
	names := headerNames(7_000)
	chunked := okHead + "Transfer-Encoding: chunked\r\n\r\n"
	long := okHead + "Content-Length: 16000000\r\n\r\n"
	return []faultyReply{
		{name: "bytes without end", chunk: block},
		{name: "header line without end", head: okHead + "X-Long: ", chunk: block},
		{name: "short header lines without end", head: okHead, chunk: lines},
		{name: "many names just short of the end of a head", head: okHead + names, repeats: -1},
		{name: "many short lines just short of the end of a head", head: okHead + strings.Repeat("a:\r\n", 15_000), repeats: -1},
		{name: "short header lines in a trickle", head: okHead, chunk: lines, pause: 100 * time.Millisecond},
		{name: "interim replies without end", chunk: strings.Repeat("HTTP/1.1 103 Early\r\nLink: a\r\n\r\n", 100)},
		{name: "many names of interim replies just short of the end", head: "HTTP/1.1 103 Early\r\n" + names, repeats: -1},
		{name: "trailers without end", head: chunked + "0\r\n", chunk: lines},
		{name: "chunk extension without end", head: chunked + "8;", chunk: block},
		{name: "body without end", head: okHead + "Content-Length: 9000000000000\r\n\r\n", chunk: block},
		{name: "body in a trickle", head: okHead + "Content-Length: 9000000000000\r\n\r\n", chunk: block, pause: 20 * time.Millisecond},
		{name: "body in tiny chunks without end", head: chunked, chunk: strings.Repeat("1\r\nx\r\n", 5_000)},
		{name: "body until the connection closes", head: okHead + "Connection: close\r\n\r\n", chunk: block},
		{name: "body just short of its end", head: long, chunk: block, repeats: 488},
		{name: "bodies of usual size just short of their end", head: okHead + "Content-Length: 65536\r\n\r\n", chunk: block[:65_000/2], repeats: 2},
		{name: "whole long bodies", head: long, chunk: strings.Repeat("x", 16_000), repeats: 1000},
	}
}()

// namedReplies returns the faulty replies with the given names.
func namedReplies(t *testing.T, names ...string) (replies []faultyReply) {
	t.Helper()
	for _, reply := range faultyReplies {
		if slices.Contains(names, reply.name) {
			replies = append(replies, reply)
		}
	}
	if len(replies) != len(names) {
		t.Fatalf("got %d faulty replies, want %q", len(replies), names)
	}
	return replies
}

// startFaultyServer starts a server that serves each connection with a function.
func startFaultyServer(t *testing.T, serve func(c net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	open := map[net.Conn]bool{}
	var group sync.WaitGroup
	t.Cleanup(func() {
		_ = l.Close()
		mu.Lock()
		for c := range open {
			_ = c.Close()
		}
		mu.Unlock()
		group.Wait()
	})
	group.Go(func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			mu.Lock()
			open[c] = true
			mu.Unlock()
			group.Go(func() {
				serve(c)
				_ = c.Close()
				mu.Lock()
				delete(open, c)
				mu.Unlock()
			})
		}
	})
	return l.Addr().String()
}

// serveRequests calls a function for each request on a connection until it returns an error. The body of the
// request was read before.
func serveRequests(c net.Conn, answer func(r *http.Request, body []byte) error) {
	reader := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		body, _ := io.ReadAll(r.Body)
		if answer(r, body) != nil {
			return
		}
	}
}

// serve answers the requests on a connection.
func (f *faultyReply) serve(c net.Conn) {
	serveRequests(c, func(r *http.Request, _ []byte) error {
		return f.write(c, strings.Replace(f.head, "%[1]s", r.Header.Get(platform.Headers().Request), 1))
	})
}

// write sends a reply with a head.
func (f *faultyReply) write(c net.Conn, head string) error {
	_, err := io.WriteString(c, head)
	for i := 0; err == nil && (f.repeats == 0 || i < f.repeats); i++ {
		time.Sleep(f.pause)
		_, err = io.WriteString(c, f.chunk)
	}
	return err
}

// startInstanceWithFaultyServers starts an instance whose routes lead to an ordinary server, to faulty ones
// that form one group, and to all of them, of which each is a group then.
func startInstanceWithFaultyServers(t *testing.T, reply faultyReply, connections int) *instance {
	t.Helper()
	return startInstanceAt(t, startStoreOfFaultyServers(t, reply, connections), true)
}

// startStoreOfFaultyServers starts a store with these routes and servers, and returns its address.
func startStoreOfFaultyServers(t *testing.T, reply faultyReply, connections int) string {
	t.Helper()
	store := startStoreOfServer(t)
	now := time.Now().UnixMilli()
	pools := []platform.ServiceEntry{{Group: "group", Connections: 32}, {Group: "faulty", Connections: connections}}
	var shards []string
	for i := range faultyServers {
		address := startFaultyServer(t, reply.serve)
		shard := fmt.Sprintf("shard%d", i)
		shards = append(shards, shard)
		pools = append(pools, platform.ServiceEntry{Group: shard, Connections: connections})
		for _, group := range []string{"faulty", shard} {
			id := fmt.Sprintf("%s-%d", group, i)
			store.PutServer(id, platform.ServerEntry{Group: group, Address: address, DataCentre: "bay", Slots: 4, State: "ready", StartMillis: now, Sequence: 1})
		}
	}
	store.PutConfig(platform.ConfigDocument{
		Version: 1,
		Routes: []platform.RouteEntry{
			{Name: "read", Host: "crowd.example", Prefix: "/", Kind: "safe", TimeoutMillis: 5000, TargetMillis: 1000, Group: "group", Attempts: 2},
			{Name: "one", Host: "one.example", Prefix: "/", Kind: "safe", TimeoutMillis: 3000, TargetMillis: 1000, Group: "faulty", Attempts: 3},
			{Name: "all", Host: "all.example", Prefix: "/", Kind: "safe", TimeoutMillis: 3000, TargetMillis: 1000, Gather: shards, MergeTop: 5, LeastCoverage: 0.5, Attempts: 2},
			{Name: "order", Host: "order.example", Prefix: "/", Kind: "unsafe", TimeoutMillis: 3000, TargetMillis: 1000, Group: "faulty", Attempts: 2},
		},
		Pools:  pools,
		Limits: platform.LimitsEntry{HeaderBytes: maxHeaderBytes, BodyBytes: maxBodyBytes},
	})
	return store.Address()
}

// call sends requests to the faulty servers for a time, and checks what the instance uses.
func (in *instance) call(t *testing.T, d time.Duration) {
	t.Helper()
	done := in.startCalls(d)
	peak := 0
	for {
		peak = max(peak, in.openDescriptors(t))
		select {
		case <-done:
			in.check(t, peak)
			return
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// startCalls starts to send requests to the faulty servers for a time, and closes done at its end.
func (in *instance) startCalls(d time.Duration) (done <-chan struct{}) {
	end := time.Now().Add(d)
	var group sync.WaitGroup
	for i := range faultyCallers {
		host := []string{"one.example", "all.example", "order.example"}[i%3]
		group.Go(func() {
			client := &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{}}
			defer client.CloseIdleConnections()
			for n := 0; time.Now().Before(end); n++ {
				r, err := http.NewRequest(http.MethodPost, "http://"+in.listen+"/x", strings.NewReader("body"))
				if err != nil {
					return
				}
				r.Host = host
				r.Header.Set(platform.Headers().Request, fmt.Sprintf("%d-%d", i, n))
				reply, err := client.Do(r)
				if err != nil {
					time.Sleep(10 * time.Millisecond)
					continue
				}
				_, _ = io.Copy(io.Discard, reply.Body)
				_ = reply.Body.Close()
				time.Sleep(5 * time.Millisecond)
			}
		})
	}
	ended := make(chan struct{})
	go func() { group.Wait(); close(ended) }()
	return ended
}

// TestFaultyServersStayWithinTheMachine guards against servers that exhaust the memory of an instance with
// bytes that are no answer.
func TestFaultyServersStayWithinTheMachine(t *testing.T) {
	for _, reply := range faultyReplies {
		t.Run(reply.name, func(t *testing.T) {
			runParallel(t)
			in := startInstanceWithFaultyServers(t, reply, faultyConnections)
			in.call(t, faultyTime)
		})
	}
}

// TestUnreadRepliesStayWithinTheMachine guards against servers that fill the receive buffers of an instance
// that gets no processor time: what has arrived and was not read counts as its memory.
func TestUnreadRepliesStayWithinTheMachine(t *testing.T) {
	for _, reply := range namedReplies(t, "bytes without end", "body without end", "whole long bodies") {
		t.Run(reply.name, func(t *testing.T) {
			// More connections than that would exceed the descriptors.
			in := startInstanceWithFaultyServers(t, reply, 18)
			done := in.startCalls(faultyTime)
			peak := int64(0)
			for range 3 {
				time.Sleep(time.Second)
				if err := in.cmd.Process.Signal(syscall.SIGSTOP); err != nil {
					t.Fatal(err)
				}
				time.Sleep(500 * time.Millisecond)
				peak = max(peak, in.residentMemory(t)+in.unreadBytes(t))
				if err := in.cmd.Process.Signal(syscall.SIGCONT); err != nil {
					t.Fatal(err)
				}
			}
			<-done
			t.Logf("resident memory and unread bytes: %d KB", peak>>10)
			if got, want := peak, int64(memoryMB<<20); got > want {
				t.Errorf("resident memory and unread bytes: got %d, want at most %d", got, want)
			}
			in.check(t, 0)
		})
	}
}

// TestCallersAndFaultyServersStayWithinTheMachine guards against a crowd of callers beside faulty servers that
// keep to their bounds alone.
func TestCallersAndFaultyServersStayWithinTheMachine(t *testing.T) {
	for _, reply := range namedReplies(t, "many names just short of the end of a head", "short header lines in a trickle",
		"body without end", "body in a trickle", "whole long bodies") {
		t.Run(reply.name, func(t *testing.T) {
			runParallel(t)
			in := startInstanceWithFaultyServers(t, reply, faultyConnections)
			done := in.startCalls(faultyTime)
			peak := 0
			for _, c := range crowds {
				peak = max(peak, in.send(t, in.listen, c.n/5, c.client))
			}
			<-done
			in.check(t, peak)
		})
	}
}

// linkedInstances and linkedMemoryMB are the number of instances of TestLinkedInstancesStayWithinTheirMachines
// and the memory of their machines.
const linkedInstances, linkedMemoryMB = 4, 136

// TestLinkedInstancesStayWithinTheirMachines guards against what faulty servers, a crowd of callers and links to
// other instances take together.
func TestLinkedInstancesStayWithinTheirMachines(t *testing.T) {
	for _, reply := range namedReplies(t, "many names just short of the end of a head", "body without end", "body in a trickle",
		"whole long bodies") {
		t.Run(reply.name, func(t *testing.T) {
			store := startStoreOfFaultyServers(t, reply, faultyConnections)
			var fleet []*instance
			var seeds []string
			for i := range linkedInstances {
				in := startInstanceOn(t, linkedMemoryMB, fmt.Sprintf("i%d", i), store, true, seeds...)
				fleet, seeds = append(fleet, in), append(seeds, in.control)
			}
			var group sync.WaitGroup
			for _, in := range fleet {
				group.Go(func() {
					done := in.startCalls(faultyTime)
					for _, c := range crowds {
						in.send(t, in.listen, c.n/10, c.client)
					}
					<-done
				})
			}
			group.Wait()
			for _, in := range fleet {
				in.check(t, 0)
			}
		})
	}
}
