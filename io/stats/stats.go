// Package stats owns what an instance counts: counters and, per service and class,
// a histogram of the time to an answer. It serves them as expvar variables. The
// number of variables is bounded by the configuration: what it doesn't name is
// counted under one name. What the counters mean is left to those who count.
package stats

import (
	"encoding/json"
	"expvar"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxMicros is the longest time that is told apart, in microseconds.
	maxLatencyMicros = 60_000_000
	// digits is the precision of a histogram.
	significantDigits = 2
	// maxClasses bounds the number of histograms.
	maxClasses = 512
)

// Class names a histogram.
type Class struct {
	Service string
	Class   string
}

// other is the histogram of what the configuration doesn't name.
var unlisted = Class{Service: "other", Class: "other"}

// Set is the variables of one instance. It is safe for use by many goroutines.
type Set struct {
	vars *expvar.Map

	mu      sync.Mutex
	classes map[Class]*hdrhistogram.Histogram
}

// New returns a set without variables.
func New() *Set {
	s := &Set{vars: new(expvar.Map).Init(), classes: map[Class]*hdrhistogram.Histogram{}}
	s.Publish("latency-by-class", s.latencies)
	s.Publish("runtime", runtimeVars)
	return s
}

// Publish adds a variable whose value is read each time that it is shown. It must
// marshal to JSON.
func (s *Set) Publish(name string, read func() any) {
	s.vars.Set(name, expvar.Func(read))
}

// Allow makes room for the classes of a configuration; those that are gone keep
// their histograms up to maxClasses in all.
func (s *Set) Register(classes []Class) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range classes {
		if s.classes[c] == nil && len(s.classes) < maxClasses {
			s.classes[c] = newHistogram()
		}
	}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, maxLatencyMicros, significantDigits)
}

// Record counts the time to an answer.
func (s *Set) Record(c Class, d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h := s.classes[c]
	if h == nil {
		h = s.classes[unlisted]
	}
	if h == nil {
		h = newHistogram()
		s.classes[unlisted] = h
	}
	// A longer time than maxMicros is counted there.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// Latency sums up a histogram, in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-us"`
	P90   int64 `json:"p90-us"`
	P99   int64 `json:"p99-us"`
	P999  int64 `json:"p999-us"`
	Max   int64 `json:"max-us"`
}

// Summary returns the figures of a histogram.
func Summary(h *hdrhistogram.Histogram) Latency {
	return Latency{
		Count: h.TotalCount(), P50: h.ValueAtQuantile(50), P90: h.ValueAtQuantile(90),
		P99: h.ValueAtQuantile(99), P999: h.ValueAtQuantile(99.9), Max: h.Max(),
	}
}

func (s *Set) latencies() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make(map[string]Latency, len(s.classes))
	for c, h := range s.classes {
		out[c.Service+"/"+c.Class] = Summary(h)
	}
	return out
}

// Runtime is what is shown of the process.
type Runtime struct {
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heap-bytes"`
	SysBytes   uint64 `json:"sys-bytes"`
	GCCycles   uint32 `json:"collections"`
}

func runtimeVars() any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Runtime{Goroutines: runtime.NumGoroutine(), HeapBytes: m.HeapAlloc, SysBytes: m.Sys, GCCycles: m.NumGC}
}

// ServeHTTP writes all variables as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintln(w, s.vars.String())
}

// Read returns the variables as a JSON object.
func (s *Set) Read() json.RawMessage { return json.RawMessage(s.vars.String()) }
