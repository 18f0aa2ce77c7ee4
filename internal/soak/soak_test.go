package main

import (
	"fmt"
	"testing"
	"time"
)

// regressions are seeds that failed once, with the number of kinds of faults that were drawn
// from then. Each case bears its cause.
var regressions = []struct {
	seed  uint64
	faultKinds int
	cause string
}{
	{2, 14, "ports taken, one instance restarted twice, or no processor: its log was not kept"},
	{4, 14, "a request crossed the closing of a listener; see sent.crossed"},
	{5, 14, "ports taken, one instance restarted twice, or no processor: its log was not kept"},
	{7, 14, "an instance got no processor for 2.5 s; see starved"},
	{8, 14, "an instance got no processor for 2.5 s"},
	{18, 14, "ports taken, one instance restarted twice, or no processor: its log was not kept"},
	{20, 14, "an instance without a tick for 2.6 s, beside a hunt; no counts of that run, not traced"},
	{32, 14, "an instance got no processor for 2.2 s"},
	{33, 14, "an instance got no processor for 3 s"},
	{36, 14, "ports taken, one instance restarted twice, or no processor: its log was not kept"},
	{148, 15, "a connection kept from before told that a crashed server was alive; see Back.Check"},
	{150, 15, "the soak signalled a process that had ended, and waited for the next one to end"},
	{38, 14, "ports taken, one instance restarted twice, or no processor: its log was not kept"},
}

// atOnce is the number of seeds that the tests play at a time; no two of them are the same, as
// the seed is in the addresses.
const atOnce = 3

// TestSoak plays two seeds and those that failed once, with real processes.
func TestSoak(t *testing.T) {
	program, err := buildProgram(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	plans := []seedPlan{{seed: 1, faultKinds: len(faults)}, {seed: 3, faultKinds: len(faults)}}
	for _, r := range regressions {
		plans = append(plans, seedPlan{seed: r.seed, faultKinds: r.faultKinds})
	}
	slots := make(chan struct{}, atOnce)
	for _, p := range plans {
		t.Run(fmt.Sprintf("seed %d of %d kinds", p.seed, p.faultKinds), func(t *testing.T) {
			t.Parallel()
			slots <- struct{}{}
			defer func() { <-slots }()
			p.faultPeriod, p.instanceCount = 4*time.Second, 4
			report, problems := runSeed(program, t.TempDir(), p)
			t.Log(report)
			for _, problem := range problems {
				t.Error(problem)
			}
		})
	}
}
