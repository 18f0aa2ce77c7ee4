package main

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"strings"
	"sync"
	"time"

	"hyssoppitch/platform"
	"hyssoppitch/platform/stand"
)

// sent is one request of a client.
type sent struct {
	order bool
	// status is that of the answer; zero if there was none.
	status int
	// crossed is set when the connection ended without an answer while the instance was
	// leaving: the request may have crossed the close, unless a server got it.
	crossed bool
}

// checks collects what clients saw, and what broke a promise.
type checks struct {
	mu       sync.Mutex
	problems []string
	sent     map[string]*sent
	answered int
	partial  int
	refused  int
	failed   int
}

func (c *checks) fail(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.problems) < 20 {
		c.problems = append(c.problems, time.Now().UTC().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
}

// clientSlack is what is added to a route's timeout for the way and a busy machine.
const clientSlack = time.Second

// ask sends one request to an instance and checks its answer. It returns whether the
// request succeeded with all parts.
func (w *world) ask(client *http.Client, in *instance, id, target string, order bool) (full bool) {
	names := platform.Headers()
	method := http.MethodGet
	var body io.Reader
	if order {
		// A reader of this type can't be read again, so that net/http never repeats it.
		method, body = http.MethodPost, io.NopCloser(strings.NewReader(id))
	}
	r, err := http.NewRequest(method, "http://"+in.front+target, body)
	if err != nil {
		w.checks.fail("request %s: %v", id, err)
		return false
	}
	r.Host = "soak"
	r.Header.Set(names.Request, id)
	r.Header.Set(names.Timeout, "2000")
	reused := false
	r = r.WithContext(httptrace.WithClientTrace(r.Context(), &httptrace.ClientTrace{
		GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused },
	}))
	s := &sent{order: order}
	w.checks.mu.Lock()
	w.checks.sent[id] = s
	w.checks.mu.Unlock()
	pid := in.pid()
	before := waits(pid)
	began := time.Now()
	reply, err := client.Do(r)
	var data []byte
	if err == nil {
		data, err = io.ReadAll(reply.Body)
		_ = reply.Body.Close()
	}
	took := time.Since(began)
	hurt, leaving := in.disturbed(began)
	if err != nil {
		refused := strings.Contains(err.Error(), "connection refused")
		switch {
		case hurt || refused:
		case leaving:
			w.checks.mu.Lock()
			s.crossed = true
			w.checks.mu.Unlock()
		default:
			w.checks.fail("request %s to %s ended without an answer after %v (kept connection %v): %v", id, in.name, took, reused, err)
		}
		return false
	}
	// Seeds 7, 8 and 33 showed instances whose threads got no processor for 2.5 s on a
	// machine with more to do than it has processors: that time is not the program's.
	waited := starved(before, waits(pid))
	if took-waited > routeTimeout+clientSlack && !hurt {
		w.checks.fail("request %s to %s was answered after %v; a thread of the instance waited %v for a processor meanwhile", id, in.name, took, waited)
	}
	w.checks.count(s, reply.StatusCode)
	if reply.StatusCode/100 != 2 {
		w.checkRefusal(id, reply)
		return false
	}
	if order {
		w.checkRelayed(id, reply, data)
		return true
	}
	return w.checkMerged(id, reply, data)
}

func (c *checks) count(s *sent, status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s.status = status
	switch status {
	case http.StatusOK:
		c.answered++
	case http.StatusServiceUnavailable:
		c.refused++
	default:
		c.failed++
	}
}

func (w *world) checkRefusal(id string, reply *http.Response) {
	if _, ok := reply.Header[platform.Headers().Stamp]; ok && !strings.Contains(reply.Header.Get(platform.Headers().Stamp), id) {
		w.checks.fail("request %s: status %d with the signature of another request", id, reply.StatusCode)
	}
}

// checkRelayed checks an answer that is a server's own.
func (w *world) checkRelayed(id string, reply *http.Response, data []byte) {
	stamp := reply.Header.Get(platform.Headers().Stamp)
	if !strings.HasPrefix(stamp, singles+".") || !strings.HasSuffix(stamp, "."+id) || string(data) != stand.Body(singles, id) {
		w.checks.fail("request %s: answer %q with signature %q", id, data, stamp)
	}
}

// checkMerged checks an answer of several parts: each of this request, no group twice, the
// right number left out, and the greatest records of just these parts.
func (w *world) checkMerged(id string, reply *http.Response, data []byte) (full bool) {
	names := platform.Headers()
	missing, err := strconv.Atoi(reply.Header.Get(names.Missing))
	stamps := strings.Split(reply.Header.Get(names.Stamps), ", ")
	if err != nil || missing+len(stamps) != groups || float64(len(stamps)) < 0.6*groups {
		w.checks.fail("request %s: %d parts and %q missing of %d", id, len(stamps), reply.Header.Get(names.Missing), groups)
		return false
	}
	seen := map[string]bool{}
	var records []string
	for _, stamp := range stamps {
		group, _, _ := strings.Cut(stamp, ".")
		if seen[group] || !strings.HasSuffix(stamp, "."+id) {
			w.checks.fail("request %s: part %q, of another request or a second one of its group", id, stamp)
		}
		seen[group] = true
		records = append(records, stand.Body(group, id))
	}
	// Records begin with the group's name, so that their order is that of the groups.
	want := 0
	for g := groups - 1; g >= 0 && want < 5; g-- {
		if !seen[groupName(g)] {
			continue
		}
		record := stand.Body(groupName(g), id)
		if at := want * 16; len(data) < at+16 || string(data[at:at+16]) != record {
			w.checks.fail("request %s: record %d is not the greatest but %d of parts %v", id, want, want, records)
			return false
		}
		want++
	}
	if len(data) != want*16 {
		w.checks.fail("request %s: %d bytes, want %d records", id, len(data), want)
	}
	if missing > 0 {
		w.checks.mu.Lock()
		w.checks.partial++
		w.checks.mu.Unlock()
	}
	return missing == 0
}

// settle checks, when all is over, what servers ran against what clients were told.
func (w *world) settle() {
	w.mu.Lock()
	all := append([]*backend(nil), w.retired...)
	for _, b := range w.backends {
		all = append(all, b)
	}
	w.mu.Unlock()
	runs := map[string]int{}
	for _, b := range all {
		for _, r := range b.Runs() {
			runs[r.Request]++
			late := r.At.Sub(b.leftAt)
			if !b.leftAt.IsZero() && late > drainBound && w.calm(b.leftAt) {
				w.checks.fail("request %s reached server %s %v after it had said that it leaves", r.Request, b.ID, late)
			}
		}
	}
	w.checks.mu.Lock()
	defer w.checks.mu.Unlock()
	for id, s := range w.checks.sent {
		n := runs[id]
		if s.crossed && n > 0 {
			w.checks.problems = append(w.checks.problems, fmt.Sprintf("request %s was passed on and got no answer from an instance that was leaving", id))
		}
		if s.order && n > 1 {
			w.checks.problems = append(w.checks.problems, fmt.Sprintf("order %s ran %d times", id, n))
		}
		if n > 0 && (s.status == http.StatusServiceUnavailable || s.status == http.StatusTooManyRequests) {
			w.checks.problems = append(w.checks.problems, fmt.Sprintf("request %s was refused as not run and ran %d times", id, n))
		}
	}
	for id := range runs {
		if w.checks.sent[id] == nil {
			w.checks.problems = append(w.checks.problems, fmt.Sprintf("servers ran %q, which no client sent", id))
		}
	}
}

// calm reports whether neither the store nor a process was disturbed around a change.
func (w *world) calm(at time.Time) bool {
	if w.storeHurtAt.After(at.Add(-5*time.Second)) && w.storeHurtAt.Before(at.Add(drainBound)) {
		return false
	}
	for _, in := range w.nodes {
		in.mu.Lock()
		hurt := in.hurtAt.After(at.Add(-5*time.Second)) && in.hurtAt.Before(at.Add(2*drainBound))
		in.mu.Unlock()
		if hurt {
			return false
		}
	}
	return true
}
