// Package trial measures a complete deployment in one process: it starts a demo.World,
// warms it up, sends load at a steady rate while a fault is active, and prints what
// callers received and how many attempts the backend servers got. Only the command line
// of the stand-ins imports it.
package trial

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
	"hyssoppitch/core/query"
	"hyssoppitch/decl/sample"
	"hyssoppitch/internal/standin/demo"
	"hyssoppitch/internal/standin/fleet"
	"hyssoppitch/internal/standin/load"
	"hyssoppitch/io/setup"
)

// Plan configures a measurement.
type Plan struct {
	// Scenarios lists the names of the scenarios to run; if empty, all are run.
	Scenarios []string
	Policy    limit.Policy
	Hedging   bool
	// Rate is the number of requests per second.
	Rate     float64
	Duration time.Duration
	Seed     uint64
}

// Result is the outcome of one scenario, printed as one line of JSON.
type Result struct {
	Scenario string       `json:"scenario"`
	Policy   limit.Policy `json:"policy"`
	Hedging  bool         `json:"hedging"`
	// WarmUpSeconds is the time in seconds, under a light load, until every instance
	// regarded every server as warm.
	WarmUpSeconds float64 `json:"warmed-in-s"`
	// ExtraPerLeg is the mean number of attempts beyond the first one of a leg, and
	// ShedsPerLeg the mean number of refusals by overloaded servers.
	ExtraPerLeg float64 `json:"extra"`
	ShedsPerLeg float64 `json:"sheds"`
	// Hedges, Warming and Retries count the extra attempts by kind. OverBudget counts
	// the attempts that the retry budget did not allow.
	Hedges     uint64 `json:"hedges"`
	Warming    uint64 `json:"warming"`
	Retries    uint64 `json:"retries"`
	OverBudget uint64 `json:"over-budget"`
	// Overloads counts the crashes of cold servers that got more work than they can
	// handle.
	Overloads int         `json:"overloads"`
	Report    load.Report `json:"report"`
}

const (
	service        = "circuit-desk"
	runTime        = 6 * time.Millisecond
	connectTime    = 6 * time.Millisecond
	regionDelay    = 8 * time.Millisecond
	straggleMillis = 120
	// overloadFactor multiplies the plan's rate to exceed the servers' capacity.
	overloadFactor          = 12
	instances               = 4
	warmUpRequestsPerSecond = 60
	warmUpStep              = 500 * time.Millisecond
	warmUpTimeout           = 40 * time.Second
	// faultStartFraction and faultEndFraction are the fractions of the duration after
	// which the fault begins and ends.
	faultStartFraction = 0.25
	faultEndFraction   = 0.6
)

// scenario is a fault, with the functions that begin and end it.
type scenario struct {
	name  string
	begin func(w *demo.World)
	end   func(w *demo.World)
	// rateFactor multiplies the plan's rate.
	rateFactor float64
}

// scenarios returns all scenarios.
func scenarios() []scenario {
	noFault := func(*demo.World) {}
	return []scenario{
		{name: "steady", begin: noFault, end: noFault, rateFactor: 1},
		{name: "straggler", rateFactor: 1, begin: func(w *demo.World) {
			w.Fleet.Execute(fleet.Order{Servers: service + ".g0[0-4].s0", Faults: &fleet.Faults{StraggleMs: straggleMillis}})
		}, end: func(w *demo.World) { w.Fleet.Execute(fleet.Order{Servers: "*", Faults: &fleet.Faults{}}) }},
		{name: "data-centre", rateFactor: 1, begin: func(w *demo.World) { setDataCentre(w, model.DataCentreOut) }, end: func(w *demo.World) {
			// The servers restart while the data centre is out of service, so they
			// are cold when it comes back.
			for _, s := range w.Fleet.InDataCentre("hill") {
				s.Crash()
			}
			time.Sleep(time.Second)
			setDataCentre(w, model.DataCentreIn)
		}},
		{name: "restart", rateFactor: 1, begin: func(w *demo.World) {
			w.Fleet.Execute(fleet.Order{Servers: service + ".*.s1", Action: "crash"})
		}, end: noFault},
		{name: "overload", begin: noFault, end: noFault, rateFactor: overloadFactor},
		{name: "snapshots", rateFactor: 1, begin: func(w *demo.World) {
			go rollOutSnapshots(w)
		}, end: noFault},
	}
}

// setDataCentre sets the state of the data centre "hill" and ignores errors.
func setDataCentre(w *demo.World, s model.DataCentreState) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	_ = w.SetDataCentre(ctx, "hill", s)
}

// rollOutSnapshots makes the servers serve the next snapshots, one server after another.
func rollOutSnapshots(w *demo.World) {
	for v := model.Snapshot(2); v < 5; v++ {
		for _, s := range w.Fleet.Match(service + ".*") {
			s.SetData([]model.Snapshot{v - 1, v}, 1)
			time.Sleep(20 * time.Millisecond)
		}
	}
}

// Run runs the scenarios of a plan and writes one JSON object per scenario to out.
func Run(ctx context.Context, out io.Writer, p Plan) (err error) {
	defer func() { err = errors.Wrap(err, "trial") }()
	for _, s := range scenarios() {
		if len(p.Scenarios) > 0 && !slices.Contains(p.Scenarios, s.name) {
			continue
		}
		r, err := measure(ctx, p, s)
		if err != nil {
			return err
		}
		if err := json.NewEncoder(out).Encode(r); err != nil {
			return err
		}
	}
	return nil
}

// measure starts a deployment, warms it up and measures one scenario.
func measure(ctx context.Context, p Plan, s scenario) (r Result, err error) {
	defer func() { err = errors.Wrapf(err, "scenario %q", s.name) }()
	config, err := sample.Authority(sample.Layout{IP: "127.0.0.1", BasePort: 1}).Config()
	if err != nil {
		return r, err
	}
	config.Services = slices.DeleteFunc(config.Services, func(svc model.Service) bool { return svc.Name != service })
	w, err := demo.Start(ctx, demo.Plan{Config: config, Instances: instances, Fleet: fleet.Options{
		RunTime: runTime, ConnectTime: connectTime, Delay: fleet.DelayBetween(config, regionDelay), Snapshots: []model.Snapshot{1},
	}, Settings: func(s *setup.Settings) { s.Limits.Policy, s.Hedging = p.Policy, p.Hedging }})
	if err != nil {
		return r, err
	}
	defer w.Close()
	warmUpTime, err := warmUp(ctx, w, p.Seed)
	if err != nil {
		return r, err
	}
	before := sumCounters(w)
	begin := time.AfterFunc(time.Duration(faultStartFraction*float64(p.Duration)), func() { s.begin(w) })
	defer begin.Stop()
	end := time.AfterFunc(time.Duration(faultEndFraction*float64(p.Duration)), func() { s.end(w) })
	defer end.Stop()
	r = Result{Scenario: s.name, Policy: p.Policy, Hedging: p.Hedging, WarmUpSeconds: warmUpTime.Seconds()}
	r.Report = load.Run(ctx, load.Plan{
		Instances: w.Addresses(), Service: service, Rate: p.Rate * s.rateFactor, Duration: p.Duration, Seed: p.Seed,
	})
	r.setCounts(before, sumCounters(w))
	for _, b := range w.Fleet.Match("*") {
		r.Overloads += b.Stats().Overloads
	}
	return r, nil
}

// warmUp sends a light load until every instance regards every server as warm. It
// returns the time that this took.
func warmUp(ctx context.Context, w *demo.World, seed uint64) (took time.Duration, err error) {
	start := time.Now()
	for w.ColdServers() > 0 {
		if time.Since(start) > warmUpTimeout {
			return 0, errors.Newf("%d servers are still cold after %s of load", w.ColdServers(), warmUpTimeout)
		}
		load.Run(ctx, load.Plan{Instances: w.Addresses(), Service: service, Rate: warmUpRequestsPerSecond, Duration: warmUpStep, Seed: seed})
	}
	return time.Since(start), nil
}

// setCounts sets the counts and ratios of a result from the counters before and after
// the measurement.
func (r *Result) setCounts(before, after totals) {
	r.Hedges = after.counters.AttemptsHedge - before.counters.AttemptsHedge
	r.Warming = after.counters.AttemptsWarming - before.counters.AttemptsWarming
	r.Retries = after.counters.AttemptsRetry - before.counters.AttemptsRetry
	r.OverBudget = after.counters.BudgetRefused - before.counters.BudgetRefused
	legs := float64(after.counters.AttemptsFirst - before.counters.AttemptsFirst)
	if legs == 0 {
		return
	}
	r.ExtraPerLeg = float64(r.Hedges+r.Warming+r.Retries) / legs
	r.ShedsPerLeg = float64(after.sheds-before.sheds) / legs
}

// totals holds counters summed over all instances and servers.
type totals struct {
	counters query.Counters
	sheds    uint64
}

func sumCounters(w *demo.World) (t totals) {
	for _, in := range w.Instances {
		in.Node.View(func(e *engine.Engine) { t.add(e.Queries.Counters) })
	}
	for _, s := range w.Fleet.Match("*") {
		t.sheds += uint64(s.Stats().Sheds)
	}
	return t
}

func (t *totals) add(c query.Counters) {
	t.counters.AttemptsFirst += c.AttemptsFirst
	t.counters.AttemptsRetry += c.AttemptsRetry
	t.counters.AttemptsHedge += c.AttemptsHedge
	t.counters.AttemptsWarming += c.AttemptsWarming
	t.counters.BudgetRefused += c.BudgetRefused
}
