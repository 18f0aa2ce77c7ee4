package guard_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"hyssoppitch/io/guard"
)

type systemClock struct{}

func (systemClock) Now() time.Time { return time.Now() }

// site is a server behind a guard. It answers with the length of the body.
type site struct {
	guard    *guard.Guard
	listener *guard.Listener
	address  string

	mu sync.Mutex
	// ran holds the paths of the requests that were executed.
	ran []string
	// run, if set, is called with the connection of each request.
	run func(c *guard.Conn)
	// hold is closed to let requests for /hold end, and holding gets a value for each that began.
	hold    chan struct{}
	holding chan struct{}
}

func newSite(t *testing.T, budget int64, o guard.ListenerOptions) *site {
	t.Helper()
	raw, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &site{
		guard:   guard.New(systemClock{}, guard.Limits{Budget: budget, HeaderLines: 32768}),
		address: raw.Addr().String(), hold: make(chan struct{}), holding: make(chan struct{}, 16),
	}
	o.HeaderBytes = 64 << 10
	s.listener = s.guard.Listen(raw, o)
	server := &http.Server{
		Handler: guard.Handler(s), ConnContext: guard.ConnContext, ConnState: guard.SetState,
		MaxHeaderBytes: 1 << 20, ReadHeaderTimeout: 10 * time.Second,
	}
	go func() { _ = server.Serve(s.listener) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *site) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := guard.ReadBody(w, r, 1<<20)
	if err != nil {
		w.Header().Set("Connection", "close")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	s.mu.Lock()
	s.ran = append(s.ran, r.URL.Path)
	s.mu.Unlock()
	if s.run != nil {
		s.run(guard.ConnOf(r.Context()))
	}
	if r.URL.Path == "/hold" {
		s.holding <- struct{}{}
		<-s.hold
	}
	_, _ = fmt.Fprint(w, len(body))
}

// client is a connection to a site.
type client struct {
	net.Conn
	reader *bufio.Reader
}

func (s *site) dial(t *testing.T) *client {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.Close() })
	_ = c.SetDeadline(time.Now().Add(20 * time.Second))
	return &client{Conn: c, reader: bufio.NewReader(c)}
}

// send writes text, in pieces if piece is not zero. A failure shows in the answer.
func (c *client) send(text string, piece int) {
	if piece == 0 {
		piece = len(text)
	}
	for len(text) > 0 {
		n, err := io.WriteString(c, text[:min(piece, len(text))])
		if err != nil {
			return
		}
		text = text[n:]
	}
}

// answer reads one answer and returns its status and body, or the error as its text.
func (c *client) answer() string {
	reply, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		return "error"
	}
	body, err := io.ReadAll(reply.Body)
	if err != nil {
		return "error"
	}
	return strings.TrimSpace(fmt.Sprintf("%d %s", reply.StatusCode, body))
}

func post(path string, size, sent int) string {
	return fmt.Sprintf("POST %s HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", path, size, strings.Repeat("x", sent))
}

// TestRequestsInsideTheLimitsAreServed guards against a limit that a single request inside the
// operators' limits reaches by its form: the budget here is smaller than some of these requests.
func TestRequestsInsideTheLimitsAreServed(t *testing.T) {
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n"
	tests := []struct {
		name, text string
		piece      int
		want       []string
	}{
		{"empty lines first", "\r\n\r\n\n" + get + "\r\n", 1, []string{"200 0"}},
		{"pipelined", strings.Repeat(get+"\r\n", 3) + post("/a", 5, 5) + get + "\r\n", 0, []string{"200 0", "200 0", "200 0", "200 5", "200 0"}},
		{"empty line between requests", post("/a", 5, 5) + "\r\n" + get + "\r\n", 0, []string{"200 5", "200 0"}},
		{"body of the maximum size", post("/a", 1<<20, 1<<20), 0, []string{"200 1048576"}},
		{"tiny chunks", "POST /a HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1\r\nx\r\n", 60_000) + "0\r\n\r\n", 0, []string{"200 60000"}},
		{"chunked and with a length", "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nxx\r\n0\r\n\r\n", 1, []string{"200 2"}},
		{"body of one chunk and its edge", post("/a", 18<<10, 18<<10), 0, []string{"200 18432"}},
		{"many header lines", get + strings.Repeat("a:\r\n", 16_000) + "\r\n", 0, []string{"200 0"}},
		{"long header line", get + "X: " + strings.Repeat("x", 65_000) + "\r\n\r\n", 0, []string{"200 0"}},
		{"folded header lines", get + "X: a\r\n" + strings.Repeat(" b\r\n", 1000) + "\r\n", 0, []string{"200 0"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, 64<<10, guard.ListenerOptions{Connections: 4, Active: 1})
			c := s.dial(t)
			go c.send(test.text, test.piece)
			for i, want := range test.want {
				if got := c.answer(); got != want {
					t.Errorf("answer %d: got %s, want %s", i, got, want)
				}
			}
			if got := s.guard.Status(); got.Counters != (guard.Counters{}) {
				t.Errorf("counters: got %+v, want none", got.Counters)
			}
		})
	}
}

// TestExpectContinue guards against a body that is waited for without the interim reply.
func TestExpectContinue(t *testing.T) {
	s := newSite(t, 1<<20, guard.ListenerOptions{Connections: 4})
	c := s.dial(t)
	c.send("POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 20000\r\nExpect: 100-continue\r\n\r\n", 0)
	if line, err := c.reader.ReadString('\n'); err != nil || !strings.HasPrefix(line, "HTTP/1.1 100") {
		t.Fatalf("interim reply: got %q %v, want 100", line, err)
	}
	_, _ = c.reader.ReadString('\n')
	c.send(strings.Repeat("x", 20_000), 0)
	if got, want := c.answer(), "200 20000"; got != want {
		t.Errorf("answer: got %s, want %s", got, want)
	}
}

// awaitHeld waits until connections hold from low to high bytes.
func (s *site) awaitHeld(t *testing.T, low, high int64) {
	t.Helper()
	for end := time.Now().Add(10 * time.Second); ; time.Sleep(time.Millisecond) {
		held := s.guard.Status().HeldBytes
		if held >= low && held <= high {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("held: got %d bytes, want %d to %d", held, low, high)
		}
	}
}

// TestFullBudgetClosesWhatHeldMostForLongest guards against a full budget that shuts out a new
// caller, and against a closed connection whose request still runs.
func TestFullBudgetClosesWhatHeldMostForLongest(t *testing.T) {
	s := newSite(t, 320<<10, guard.ListenerOptions{Connections: 16})
	large, small := s.dial(t), s.dial(t)
	large.send(post("/large", 256<<10, 200<<10), 0)
	s.awaitHeld(t, 190<<10, 220<<10)
	small.send(post("/small", 256<<10, 40<<10), 0)
	s.awaitHeld(t, 230<<10, 270<<10)
	newcomer := s.dial(t)
	newcomer.send(post("/new", 100<<10, 100<<10), 0)
	if got, want := newcomer.answer(), "200 102400"; got != want {
		t.Errorf("new caller: got %s, want %s", got, want)
	}
	if got, want := large.answer(), "error"; got != want {
		t.Errorf("caller that held most: got %s, want a closed connection", got)
	}
	// What the new caller held is released after its answer was written.
	s.awaitHeld(t, 1, 60<<10)
	small.send(strings.Repeat("x", 216<<10), 0)
	if got, want := small.answer(), "200 262144"; got != want {
		t.Errorf("caller that held less: got %s, want %s", got, want)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if got, want := strings.Join(s.ran, " "), "/new /small"; got != want {
		t.Errorf("executed: got %s, want %s", got, want)
	}
}

// TestRequestsInProgressAreNotClosed guards against a request that is executed and then cut off
// to make room, and against a refused one that runs.
func TestRequestsInProgressAreNotClosed(t *testing.T) {
	tests := []struct {
		name    string
		budget  int64
		options guard.ListenerOptions
		second  string
		want    string
	}{
		{"budget", 128 << 10, guard.ListenerOptions{Connections: 16}, post("/second", 100<<10, 100<<10), "503"},
		{"requests in progress", 1 << 20, guard.ListenerOptions{Connections: 16, Active: 1}, post("/second", 1, 1), "503"},
		{"connections", 1 << 20, guard.ListenerOptions{Connections: 1}, "", "error"},
		{"connections of an address", 1 << 20, guard.ListenerOptions{Connections: 16, PerAddress: 1}, "", "error"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			s := newSite(t, test.budget, test.options)
			first := s.dial(t)
			first.send(post("/hold", 100<<10, 100<<10), 0)
			<-s.holding
			second := s.dial(t)
			go second.send(test.second, 0)
			if got := second.answer(); got != test.want {
				t.Errorf("second: got %s, want %s", got, test.want)
			}
			close(s.hold)
			if got, want := first.answer(), "200 102400"; got != want {
				t.Errorf("first: got %s, want %s", got, want)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			if got, want := strings.Join(s.ran, " "), "/hold"; got != want {
				t.Errorf("executed: got %s, want %s", got, want)
			}
		})
	}
}

// TestLongestIdleConnectionMakesRoom guards against a full listener that shuts out callers while
// connections are idle, and against closing one that is used more than one that is not.
func TestLongestIdleConnectionMakesRoom(t *testing.T) {
	s := newSite(t, 1<<20, guard.ListenerOptions{Connections: 3})
	const get = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	var clients []*client
	// ask sends a request and waits until the connection is idle again.
	ask := func(c *client) string {
		c.send(get, 0)
		answer := c.answer()
		for end := time.Now().Add(10 * time.Second); s.listener.Active() > 0 && time.Now().Before(end); {
			time.Sleep(time.Millisecond)
		}
		return answer
	}
	for i := range 3 {
		clients = append(clients, s.dial(t))
		if got, want := ask(clients[i]), "200 0"; got != want {
			t.Fatalf("caller %d: got %s, want %s", i, got, want)
		}
	}
	if got, want := ask(clients[0]), "200 0"; got != want {
		t.Fatalf("caller 0 again: got %s, want %s", got, want)
	}
	if got, want := ask(s.dial(t)), "200 0"; got != want {
		t.Errorf("new caller: got %s, want %s", got, want)
	}
	if got, want := clients[1].answer(), "error"; got != want {
		t.Errorf("caller that was idle longest: got %s, want a closed connection", got)
	}
	for _, i := range []int{0, 2} {
		if got, want := ask(clients[i]), "200 0"; got != want {
			t.Errorf("caller %d: got %s, want %s", i, got, want)
		}
	}
}
