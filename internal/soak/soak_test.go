package main

import (
	"testing"
	"time"
)

// regressions are seeds that failed once, each with its cause.
var regressions = []uint64{
	4, // A request crossed the closing of a listener; see sent.crossed.
	8, // An instance got no processor for 2.5 s; see starved.
}

// TestSoak plays two seeds and those that failed once, with real processes.
func TestSoak(t *testing.T) {
	program, err := build(t.TempDir())
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range append([]uint64{1, 2}, regressions...) {
		report, problems := runSeed(program, t.TempDir(), seed, 4*time.Second, 4)
		t.Logf("seed %d: %s", seed, report)
		for _, p := range problems {
			t.Errorf("seed %d: %s", seed, p)
		}
	}
}
