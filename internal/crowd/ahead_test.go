package crowd

import (
	"strings"
	"sync"
	"testing"
	"time"
)

const (
	// aheadClients is the number of clients that send requests ahead, and aheadDescriptors the descriptors of the
	// instance, which can accept all of them.
	aheadClients     = 600
	aheadDescriptors = 2000
	// aheadTime is how long the instance works on what was sent.
	aheadTime = 3 * time.Second
	// impliedMemoryMB is the limit on the data of an instance without a machine in its settings. A program
	// without requests maps half of it.
	impliedMemoryMB = 256
)

// ahead returns a client that sends requests without reading the answers, until nothing more is taken from it.
func ahead(request string) client {
	return client{endless: strings.Repeat(request, 1+64<<10/len(request)), repeats: 1 << 20}
}

// checkAhead sends a crowd whose clients send all at once, and checks what the instance uses.
func (in *instance) checkAhead(t *testing.T, c client) {
	t.Helper()
	in.checkWhile(t, func() int { return in.sendParallel(t, in.listen, aheadClients, aheadClients, c) })
}

// checkWhile checks what the instance and its sockets use while a function sends crowds, and while it works on what
// was sent. The function returns the maximum number of descriptors.
func (in *instance) checkWhile(t *testing.T, send func() (descriptorPeak int)) {
	t.Helper()
	done := make(chan int, 1)
	go func() {
		peak := send()
		time.Sleep(aheadTime)
		done <- peak
	}()
	var total, unread, unsent int64
	for {
		// A process that ended has no status; check says why.
		select {
		case <-in.ended:
			t.Fatalf("the process ended\n%s", in.output)
		case descriptorPeak := <-done:
			t.Logf("resident memory and socket buffers %d KB, of which unread %d, unsent %d", total>>10, unread>>10, unsent>>10)
			if got, want := total, int64(in.memoryMB<<20); got > want {
				t.Errorf("resident memory and socket buffers: got %d bytes, want at most %d", got, want)
			}
			in.check(t, descriptorPeak)
			return
		case <-time.After(50 * time.Millisecond):
		}
		received, sent := in.socketBytes(t)
		if sum := in.residentMemory(t) + received + sent; sum > total {
			total, unread, unsent = sum, received, sent
		}
	}
}

// aheadRequests are requests that clients send ahead, by what is answered. The answers of one.example are those of
// the faulty servers.
const (
	smallAnswer = "GET /read HTTP/1.1\r\nHost: crowd.example\r\n\r\n"
	largeAnswer = "GET /x HTTP/1.1\r\nHost: one.example\r\nHyssoppitch-Request-Id: a\r\n\r\n"
	varsAnswer  = "GET /debug/vars HTTP/1.1\r\nHost: crowd.example\r\n\r\n"
)

// largeReply is a reply of 256 KiB.
var largeReply = faultyReply{head: okHead + "Content-Length: 262144\r\n\r\n", chunk: strings.Repeat("x", 262_144), repeats: 1}

// startInstanceOfLargeReplies starts an instance on a machine, with servers whose replies are large.
func startInstanceOfLargeReplies(t *testing.T, m machine) *instance {
	t.Helper()
	return startInstanceOf(t, m, "i0", startStoreOfFaultyServers(t, largeReply, faultyConnections), true)
}

// aheadCrowds are crowds of clients that send requests ahead.
var aheadCrowds = []struct {
	name string
	client
}{
	{"small answers", ahead(smallAnswer)},
	{"large answers", ahead(largeAnswer)},
	{"refused requests", ahead("GET /x HTTP/1.1\r\nHost: unknown.example\r\n\r\n")},
	{"requests of many header lines", ahead("GET /read HTTP/1.1\r\nHost: crowd.example\r\n" + headerNames(200) + "\r\n")},
	{"requests with a body", ahead(head + "Content-Length: 8000\r\n\r\n" + strings.Repeat("x", 8000))},
	{"large answers that are read slowly", slowly(largeAnswer)},
}

// slowly returns a client that sends requests ahead and reads the answers slowly.
func slowly(request string) client {
	c := ahead(request)
	c.slow = true
	return c
}

// TestRequestsAheadStayWithinTheMachine guards against clients that send requests one after the other, read none of
// the answers, and take more memory together than the machine has.
func TestRequestsAheadStayWithinTheMachine(t *testing.T) {
	for _, test := range aheadCrowds {
		t.Run(test.name, func(t *testing.T) {
			in := startInstanceOfLargeReplies(t, machine{memoryMB: memoryMB, descriptors: aheadDescriptors})
			in.checkAhead(t, test.client)
		})
	}
}

// TestClientsOfAllListenersStayWithinTheMachine guards against clients that keep to the bounds of each listener and
// together exceed those of the machine.
func TestClientsOfAllListenersStayWithinTheMachine(t *testing.T) {
	in := startInstanceOfLargeReplies(t, machine{memoryMB: memoryMB, descriptors: aheadDescriptors})
	var clients []client
	for _, c := range crowds {
		clients = append(clients, c.client)
	}
	for _, c := range aheadCrowds {
		clients = append(clients, c.client)
	}
	clients = append(clients, ahead(varsAnswer), slowly(varsAnswer))
	in.checkWhile(t, func() (peak int) {
		var group sync.WaitGroup
		var mu sync.Mutex
		for _, address := range []string{in.listen, in.control, in.ready, in.metrics} {
			n := aheadClients / len(clients)
			if address != in.listen {
				n /= 3
			}
			for _, c := range clients {
				group.Go(func() {
					descriptors := in.sendParallel(t, address, n, n, c)
					mu.Lock()
					defer mu.Unlock()
					peak = max(peak, descriptors)
				})
			}
		}
		group.Wait()
		return peak
	})
}

// TestInstanceWithoutMachineStaysWithinItsLimits guards against settings without a machine, by which an instance took
// memory without a bound while the operating system gave it a limited amount.
func TestInstanceWithoutMachineStaysWithinItsLimits(t *testing.T) {
	tests := []struct {
		name string
		client
	}{
		{"bodies just short of their end", client{text: head + "Content-Length: 262144\r\n\r\n" + strings.Repeat("x", 262_100)}},
		{"whole bodies", client{text: head + "Content-Length: 262144\r\n\r\n" + strings.Repeat("x", 262_144)}},
		{"whole requests of many names", client{text: get + headerNames(7_000) + "\r\n"}},
		{"small answers", ahead(smallAnswer)},
		{"large answers", ahead(largeAnswer)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := startInstanceOfLargeReplies(t, machine{memoryMB: impliedMemoryMB, descriptors: aheadDescriptors, limited: true})
			in.checkAhead(t, test.client)
		})
	}
}
