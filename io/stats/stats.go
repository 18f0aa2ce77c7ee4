// Package stats holds the metrics of an instance: published variables and, for each
// service and class, a histogram of the latency of answers. It serves them in the format
// of expvar. The number of histograms is limited by the configuration: only registered
// classes have their own, and latencies of any other class share one histogram. What a
// variable means is defined by the package that publishes it.
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
	// maxLatencyMicros is the highest value of a histogram, in microseconds.
	maxLatencyMicros = 60_000_000
	// significantDigits is the precision of a histogram.
	significantDigits = 2
	// maxClasses limits the number of histograms: Register adds none once there are as many.
	maxClasses = 512
)

// Class identifies a histogram.
type Class struct {
	Service string
	Class   string
}

// unlisted names the histogram that all classes without a registered histogram share.
var unlisted = Class{Service: "other", Class: "other"}

// Set holds the variables of one instance. It is safe for concurrent use.
type Set struct {
	vars *expvar.Map

	mu      sync.Mutex
	classes map[Class]*hdrhistogram.Histogram
}

// New returns a set with the latency histograms and the variables of the process.
func New() *Set {
	s := &Set{vars: new(expvar.Map).Init(), classes: map[Class]*hdrhistogram.Histogram{}}
	s.Publish("latency-by-class", s.latencies)
	s.Publish("runtime", runtimeVars)
	return s
}

// Publish adds a variable. read is called each time that the variables are read; its
// result must marshal to JSON.
func (s *Set) Publish(name string, read func() any) {
	s.vars.Set(name, expvar.Func(read))
}

// Register adds a histogram for each class, as long as there are fewer than maxClasses
// in all. Classes that the configuration no longer has keep their histograms.
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

// Record adds the latency of an answer to the histogram of its class.
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
	// Longer latencies are counted as maxLatencyMicros.
	_ = h.RecordValue(min(max(d.Microseconds(), 1), maxLatencyMicros))
}

// Latency is a summary of a histogram. All values but Count are in microseconds.
type Latency struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50-us"`
	P90   int64 `json:"p90-us"`
	P99   int64 `json:"p99-us"`
	P999  int64 `json:"p999-us"`
	Max   int64 `json:"max-us"`
}

// Summary returns the summary of a histogram.
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

// Runtime holds figures of the Go runtime of the process.
type Runtime struct {
	Goroutines int    `json:"goroutines"`
	HeapBytes  uint64 `json:"heap-bytes"`
	SysBytes   uint64 `json:"sys-bytes"`
	GCCycles   uint32 `json:"collections"`
	// HeapResident is the memory of the heap that the operating system has not got back, and HeapGoal the
	// size of the heap at which the running or next collection is to end.
	HeapResident uint64 `json:"heap-resident-bytes"`
	HeapGoal     uint64 `json:"heap-goal-bytes"`
	Stacks       uint64 `json:"stack-bytes"`
	// GCTime is the fraction of the processor time since the start that collections took.
	GCTime float64 `json:"collection-time"`
}

func runtimeVars() any {
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return Runtime{
		Goroutines: runtime.NumGoroutine(), HeapBytes: m.HeapAlloc, SysBytes: m.Sys, GCCycles: m.NumGC,
		HeapResident: m.HeapSys - m.HeapReleased, HeapGoal: m.NextGC, Stacks: m.StackInuse, GCTime: m.GCCPUFraction,
	}
}

// ServeHTTP writes all variables as one JSON object.
func (s *Set) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_, _ = fmt.Fprintln(w, s.vars.String())
}

// Read returns the variables as a JSON object.
func (s *Set) Read() json.RawMessage { return json.RawMessage(s.vars.String()) }
