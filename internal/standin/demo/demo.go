package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/decl/sample"
	"hyssoppitch/internal/standin/fleet"
	"hyssoppitch/internal/standin/load"
	"hyssoppitch/io/front"
)

const (
	demoTimeout     = 25 * time.Second
	demoService     = "circuit-desk"
	demoRunTime     = 5 * time.Millisecond
	demoConnectTime = 6 * time.Millisecond
	demoRegionDelay = 8 * time.Millisecond
	demoInstances   = 4
)

// Run starts a deployment, sends a query, kills servers and an instance, and sends the
// query again. It returns an error if an answer or its coverage is wrong.
func Run(ctx context.Context, out io.Writer) (err error) {
	defer func() { err = errors.Wrap(err, "demo") }()
	ctx, cancel := context.WithTimeout(ctx, demoTimeout)
	defer cancel()
	config, err := sample.Authority(sample.Layout{IP: "127.0.0.1", BasePort: 1}).Config()
	if err != nil {
		return err
	}
	printf := func(format string, args ...any) { _, _ = fmt.Fprintf(out, format+"\n", args...) }
	printf("starting a store, %d backend servers and %d instances in %d data centres", countServers(config), demoInstances, len(config.DataCentres))
	w, err := Start(ctx, Plan{Config: config, Instances: demoInstances, Fleet: fleet.Options{
		RunTime: demoRunTime, ConnectTime: demoConnectTime, Delay: fleet.DelayBetween(config, demoRegionDelay), Snapshots: []model.Snapshot{7},
	}})
	if err != nil {
		return err
	}
	defer w.Close()
	printf("configuration version 1 is active on every instance; the servers are cold, and one instance at a time may send to each of them")
	if err := w.warmUp(ctx, printf); err != nil {
		return err
	}
	return w.showFaults(ctx, printf)
}

func countServers(c model.Config) (n int) {
	for _, s := range c.Services {
		for _, g := range s.Groups {
			n += len(g.Servers)
		}
	}
	return n
}

// lookup sends the demonstration's query to an instance.
func (w *World) lookup(ctx context.Context, in *Instance, class string) (a front.Answer, took time.Duration, err error) {
	start := time.Now()
	reply, err := w.Send(ctx, in, demoService, front.Query{Class: class, Query: json.RawMessage(`{"street":"Harbour Road"}`)}, "")
	if err != nil {
		return a, 0, err
	}
	if reply.Answer == nil {
		return a, 0, errors.Newf("refused: %s: %s (%s)", reply.Problem.Title, reply.Problem.Detail, reply.Problem.Outcome)
	}
	return *reply.Answer, time.Since(start), nil
}

// warmUp sends queries until every instance has given a complete answer.
func (w *World) warmUp(ctx context.Context, printf func(string, ...any)) error {
	start := time.Now()
	queries := 0
	for _, in := range w.Instances {
		for {
			queries++
			a, _, err := w.lookup(ctx, in, "lookup")
			if err == nil && a.Status == event.StatusComplete {
				break
			}
			if ctx.Err() != nil {
				return errors.Newf("no complete answer from %s: %v", in.Settings.Instance, err)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	printf("every instance answers completely after %d queries in %.1f s", queries, time.Since(start).Seconds())
	return nil
}

// showFaults sends the query before and after the faults and checks the answers.
func (w *World) showFaults(ctx context.Context, printf func(string, ...any)) error {
	before, took, err := w.lookup(ctx, w.Instances[0], "lookup")
	if err != nil {
		return err
	}
	printf("\na lookup at %s took %.1f ms:", w.Instances[0].Settings.Instance, milliseconds(took))
	printAnswer(printf, before)
	printf("\nkilling server circuit-desk.g03.s1, every server of group g07, and instance %s", w.Instances[1].Settings.Instance)
	for _, s := range append(w.Fleet.Match("circuit-desk.g03.s1"), w.Fleet.Match("circuit-desk.g07.*")...) {
		s.Stop()
	}
	w.Instances[1].Kill()
	after, took, err := w.lookup(ctx, w.Instances[0], "lookup")
	if err != nil {
		return err
	}
	printf("\nthe next lookup took %.1f ms:", milliseconds(took))
	printAnswer(printf, after)
	if err := checkMissingGroup(after); err != nil {
		return err
	}
	return w.showIdempotency(ctx, printf)
}

// checkMissingGroup checks that exactly the group whose servers were all killed is
// missing from the answer.
func checkMissingGroup(a front.Answer) error {
	if len(a.Coverage.Missing) != 1 || a.Coverage.Missing[0].Group != "g07" || len(a.Results) != 9 {
		return errors.Newf("coverage: got %+v, want all groups but g07", a.Coverage)
	}
	return nil
}

// showIdempotency sends one work order twice, through two instances, and checks that it
// is executed once.
func (w *World) showIdempotency(ctx context.Context, printf func(string, ...any)) error {
	const key = "order-4711"
	q := front.Query{Class: "work-order", Key: "post-0815", Query: json.RawMessage(`{"order":"mount banner","post":"0815"}`)}
	printf("\na work order with Idempotency-Key %s, sent through %s and again through %s:", key, w.Instances[0].Settings.Instance, w.Instances[2].Settings.Instance)
	for _, in := range []*Instance{w.Instances[0], w.Instances[2]} {
		reply, err := w.sendUntilResolved(ctx, in, q, key)
		if err != nil {
			return err
		}
		if reply.Answer == nil {
			return errors.Newf("refused: %s: %s", reply.Problem.Title, reply.Problem.Detail)
		}
		printf("  %s: outcome %s, replayed %t, result %s", in.Settings.Instance, reply.Answer.Outcome, reply.Answer.Replayed, reply.Answer.Results[0].Body)
	}
	if n := w.Fleet.Runs(key); n != 1 {
		return errors.Newf("the work order was executed %d times, want once", n)
	}
	printf("  the backend servers executed it once")
	return nil
}

// printAnswer prints the coverage of an answer and its first results.
func printAnswer(printf func(string, ...any), a front.Answer) {
	printf("  %s, from snapshot %d: %d of %d groups, %.1f%% of the keys", a.Status, a.Snapshot,
		len(a.Coverage.Answered), len(a.Coverage.Asked), 100*a.Coverage.Fraction)
	for _, m := range a.Coverage.Missing {
		printf("  missing: group %s, keys [%d, %d), reason %s", m.Group, m.Keys.From, m.Keys.To, m.Reason)
	}
	for _, r := range a.Results[:min(2, len(a.Results))] {
		printf("  %s: %s", r.Group, r.Body)
	}
	printf("  and %d more groups", len(a.Results)-min(2, len(a.Results)))
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// sendUntilResolved sends a non-idempotent request and, like a caller, sends it again
// while an earlier request with the same key is still in progress.
func (w *World) sendUntilResolved(ctx context.Context, in *Instance, q front.Query, key string) (reply load.Reply, err error) {
	for {
		reply, err = w.Send(ctx, in, demoService, q, key)
		if err != nil || reply.Problem == nil || reply.Problem.Title != event.RefuseInProgress || ctx.Err() != nil {
			return reply, err
		}
		time.Sleep(100 * time.Millisecond)
	}
}
