// Package load is a stand-in for callers. It sends requests at random times with a
// steady mean rate, whether or not earlier ones were answered, and summarizes the
// replies. Only demonstrations and tests import it.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/io/front"
	"hyssoppitch/io/stats"
)

// Plan configures the requests to send.
type Plan struct {
	// Instances holds the addresses of the instances, which get requests in turn.
	Instances []string
	Service   string
	Class     string
	// Rate is the mean number of requests per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
	// Key and IdempotencyKey, if not nil, return the routing key and the idempotency
	// key of the n-th request.
	Key            func(n int) string
	IdempotencyKey func(n int) string
}

// Report summarizes the replies.
type Report struct {
	Sent     int `json:"sent"`
	Complete int `json:"complete"`
	Partial  int `json:"partial"`
	// Thin counts answers below the least coverage.
	Thin int `json:"thin"`
	// NotRun counts refusals of requests that no server ran, and Unknown refusals of
	// requests that a server may have run.
	NotRun  int `json:"not-run"`
	Unknown int `json:"unknown"`
	// Broken counts requests whose connection failed or whose reply was incomplete.
	Broken int `json:"broken"`
	// Refusals counts refusals by title.
	Refusals map[string]int `json:"refusals"`
	// Missing counts missing groups by reason.
	Missing map[string]int `json:"missing"`
	// Coverage is the mean covered fraction of the answers.
	Coverage float64 `json:"coverage"`
	// Latency is measured from the time at which a request was due to its answer.
	Latency stats.Latency `json:"latency"`
}

// Reply is the reply to one request: an answer or a problem.
type Reply struct {
	Answer  *front.Answer
	Problem *front.Problem
	// RetryAfter is the value of the Retry-After header field.
	RetryAfter string
	Status     int
}

// Send sends one request and returns the reply. An error means that no complete reply
// arrived. With a deadline of zero, the deadline of the class applies.
func Send(ctx context.Context, c *http.Client, address, service string, q front.Query, key string, deadline time.Duration) (reply Reply, err error) {
	defer func() { err = errors.Wrapf(err, "send request to %s", address) }()
	data, err := json.Marshal(q)
	if err != nil {
		return reply, err
	}
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+front.PathQuery+service, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return reply, err
	}
	r.ContentLength = int64(len(data))
	if key != "" {
		r.Header.Set(front.HeaderIdempotencyKey, key)
	}
	if deadline > 0 {
		r.Header.Set(front.HeaderDeadline, strconv.FormatInt(deadline.Milliseconds(), 10))
	}
	response, err := c.Do(r)
	if err != nil {
		return reply, err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return reply, err
	}
	reply.Status, reply.RetryAfter = response.StatusCode, response.Header.Get("Retry-After")
	if response.StatusCode == http.StatusOK {
		reply.Answer = &front.Answer{}
		return reply, json.Unmarshal(body, reply.Answer)
	}
	reply.Problem = &front.Problem{}
	return reply, json.Unmarshal(body, reply.Problem)
}

// collector accumulates replies.
type collector struct {
	mu          sync.Mutex
	report      Report
	coverageSum float64
	latency     *hdrhistogram.Histogram
}

// Run executes a plan and waits for the last reply.
func Run(ctx context.Context, p Plan) Report {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512}}
	defer client.CloseIdleConnections()
	random := rand.New(rand.NewPCG(p.Seed, p.Seed))
	c := &collector{latency: hdrhistogram.New(1, 60_000_000, 3)}
	c.report.Refusals, c.report.Missing = map[string]int{}, map[string]int{}
	var group sync.WaitGroup
	start := time.Now()
	due := start
	for n := 0; due.Sub(start) < p.Duration && ctx.Err() == nil; n++ {
		time.Sleep(time.Until(due))
		at := due // due changes while the goroutine runs.
		group.Go(func() { c.sendOne(ctx, client, p, n, at) })
		due = due.Add(time.Duration(random.ExpFloat64() / p.Rate * float64(time.Second)))
	}
	group.Wait()
	return c.summary()
}

func (c *collector) sendOne(ctx context.Context, client *http.Client, p Plan, n int, due time.Time) {
	q := front.Query{Class: p.Class, Query: json.RawMessage(fmt.Sprintf(`{"n":%d}`, n))}
	var key string
	if p.Key != nil {
		q.Key = p.Key(n)
	}
	if p.IdempotencyKey != nil {
		key = p.IdempotencyKey(n)
	}
	reply, err := Send(ctx, client, p.Instances[n%len(p.Instances)], p.Service, q, key, 0)
	c.add(reply, err, time.Since(due))
}

func (c *collector) add(reply Reply, err error, took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &c.report
	r.Sent++
	switch {
	case err != nil:
		r.Broken++
	case reply.Answer != nil:
		c.addAnswer(*reply.Answer, took)
	case reply.Problem.Outcome == event.OutcomeNotRun:
		r.NotRun++
		r.Refusals[string(reply.Problem.Title)]++
	default:
		r.Unknown++
		r.Refusals[string(reply.Problem.Title)]++
	}
}

func (c *collector) addAnswer(a front.Answer, took time.Duration) {
	r := &c.report
	switch a.Status {
	case event.StatusComplete:
		r.Complete++
	case event.StatusPartial:
		r.Partial++
	default:
		r.Thin++
	}
	for _, m := range a.Coverage.Missing {
		r.Missing[string(m.Reason)]++
	}
	c.coverageSum += a.Coverage.Fraction
	_ = c.latency.RecordValue(took.Microseconds())
}

func (c *collector) summary() Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.report
	if answers := r.Complete + r.Partial + r.Thin; answers > 0 {
		r.Coverage = c.coverageSum / float64(answers)
	}
	r.Latency = stats.Summary(c.latency)
	return r
}
