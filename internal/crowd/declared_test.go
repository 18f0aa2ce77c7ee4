package crowd

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/decl"
	"hyssoppitch/internal/standin/kvmem"
	"hyssoppitch/io/admin"
	"hyssoppitch/io/back"
	"hyssoppitch/io/front"
	"hyssoppitch/io/node"
	"hyssoppitch/io/store"
)

// faultyService is a declared service whose servers become faulty.
type faultyService struct {
	reply faultyReply
	// statuses is set if the replies to reads of the status are faulty, and not those to attempts.
	statuses bool
	// faulty is set once the servers are faulty. Servers that always were would get few attempts.
	faulty atomic.Bool
}

// serve answers the requests on a connection.
func (f *faultyService) serve(c net.Conn) {
	serveRequests(c, func(r *http.Request, _ []byte) error {
		head := "HTTP/1.1 200 OK\r\n"
		for _, name := range []string{back.HeaderAttempt, back.HeaderGroup, back.HeaderSnapshot, back.HeaderEpoch} {
			head += name + ": " + r.Header.Get(name) + "\r\n"
		}
		isStatus := r.URL.Path == back.PathStatus
		if f.faulty.Load() && isStatus == f.statuses {
			// What the reply for routed requests says of the request is said above.
			faulty := f.reply.head
			if rest, ok := strings.CutPrefix(faulty, okHead); ok {
				faulty = head + rest
			}
			return f.reply.write(c, faulty)
		}
		answer := "{}"
		if isStatus {
			answer = `{"boot":"b1","snapshots":[1],"map-epoch":1}`
		}
		_, err := fmt.Fprintf(c, "%sContent-Length: %d\r\n\r\n%s", head, len(answer), answer)
		return err
	})
}

// declaredQuery is a request to all groups of the declared service of these tests.
const declaredQuery = `{"query":{}}`

// startInstanceWithFaultyService starts an instance with a declared service of faulty servers, each of them a
// group.
func startInstanceWithFaultyService(t *testing.T, f *faultyService) *instance {
	t.Helper()
	var groups [][]decl.Server
	for i := range faultyServers {
		address := startFaultyServer(t, f.serve)
		groups = append(groups, []decl.Server{{ID: fmt.Sprintf("s%d", i), Address: address, DataCentre: "bay"}})
	}
	st := startStoreOfService(t, groups)
	in := startInstanceAt(t, st.Address(), false)
	st.SetProcesses(store.Processes{Instances: []event.ListedInstance{{ID: "i0", Address: in.control, DataCentre: "bay", State: event.ListedLive}}})
	for end := time.Now().Add(testTimeout); ; time.Sleep(50 * time.Millisecond) {
		reply, err := http.Get("http://" + in.listen + front.PathReady)
		if err == nil {
			_ = reply.Body.Close()
			if reply.StatusCode == http.StatusOK {
				return in
			}
		}
		if time.Now().After(end) {
			t.Fatalf("the instance isn't ready: %v\n%s", err, in.output)
		}
	}
}

// startStoreOfService starts a store with a declared service.
func startStoreOfService(t *testing.T, groups [][]decl.Server) *kvmem.Server {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	st := kvmem.Start(l)
	t.Cleanup(st.Close)
	d := &decl.Deployment{}
	d.DataCentre("bay", "west")
	d.Service(decl.Service{
		Name: "shards", MapEpoch: 1, Slots: faultyConnections, Connections: 4 * faultyConnections,
		Classes: []decl.Class{{Name: "read", Deadline: 2 * time.Second, LeastCoverage: 0.5}}, Groups: groups,
	})
	config, err := d.Config()
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	client := store.New(st.Address(), node.DefaultGuard())
	defer client.Close()
	if _, err := admin.Apply(ctx, client, config, 0, "start"); err != nil {
		t.Fatal(err)
	}
	return st
}

// query sends requests of some callers to the declared service for a time.
func (in *instance) query(callers int, d time.Duration) {
	end := time.Now().Add(d)
	var group sync.WaitGroup
	for range callers {
		group.Go(func() {
			client := &http.Client{Transport: &http.Transport{}, Timeout: 5 * time.Second}
			defer client.CloseIdleConnections()
			for time.Now().Before(end) {
				if reply, err := client.Post("http://"+in.listen+front.PathQuery+"shards", "application/json", bytes.NewReader([]byte(declaredQuery))); err == nil {
					_, _ = io.Copy(io.Discard, reply.Body)
					_ = reply.Body.Close()
				}
			}
		})
	}
	group.Wait()
}

// warmCallers is the number of callers that warm the servers up. Cold ones take few requests.
const warmCallers = 8

// warmServers sends requests to the declared service until its servers are warm.
func (in *instance) warmServers(t *testing.T) {
	t.Helper()
	want := fmt.Sprintf(`"warm":%d`, faultyServers)
	for end := time.Now().Add(testTimeout); ; {
		in.query(warmCallers, 500*time.Millisecond)
		status, err := http.Get("http://" + in.control + "/v1/status")
		if err != nil {
			t.Fatal(err)
		}
		body, _ := io.ReadAll(status.Body)
		_ = status.Body.Close()
		if strings.Contains(string(body), want) {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("not all servers are warm: %s", body)
		}
	}
}

// TestFaultyDeclaredServersStayWithinTheMachine guards against servers of a declared service that exhaust
// the memory of an instance with replies to attempts.
func TestFaultyDeclaredServersStayWithinTheMachine(t *testing.T) {
	// A body within the limit of these services, and a valid answer at its end.
	replies := append(slices.Clone(faultyReplies), faultyReply{
		name: "whole bodies of 4 MB", head: okHead + "Content-Length: 4000000\r\n\r\n", chunk: `"` + strings.Repeat("x", 3_999_998) + `"`, repeats: 1,
	})
	for _, reply := range replies {
		t.Run(reply.name, func(t *testing.T) {
			runParallel(t)
			(&faultyService{reply: reply}).check(t)
		})
	}
}

// TestFaultyStatusesStayWithinTheMachine does the same for reads of the status.
func TestFaultyStatusesStayWithinTheMachine(t *testing.T) {
	replies := append(slices.Clone(faultyReplies), faultyReply{
		name: "status of many snapshots", head: okHead + "Content-Length: 4000000\r\n\r\n",
		chunk: `{"snapshots":[1` + strings.Repeat(",1", 1_990_000) + "]}" + strings.Repeat(" ", 19_983), repeats: 1,
	})
	for _, reply := range replies {
		t.Run(reply.name, func(t *testing.T) {
			runParallel(t)
			(&faultyService{reply: reply, statuses: true}).check(t)
		})
	}
}

// check checks what an instance uses while the servers of the service are faulty.
func (f *faultyService) check(t *testing.T) {
	t.Helper()
	in := startInstanceWithFaultyService(t, f)
	if !f.statuses {
		in.warmServers(t)
	}
	f.faulty.Store(true)
	in.query(faultyCallers, faultyTime)
	in.check(t, 0)
}
