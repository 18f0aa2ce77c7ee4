// Package spill decides whether a request stays in the caller's data centre or is sent to
// servers farther away. It prefers near servers as long as they are expected to answer within
// the request's target with a margin, and leaves the choice to the ranking by cost otherwise.
//
// The decision uses only what an instance has measured itself. All instances of a data centre
// measure the same servers, so that they come to similar results without messages.
package spill

import (
	"time"
)

// Distance is the distance of a server from this instance.
type Distance int

// The distances, nearest first.
const (
	OwnDataCentre Distance = iota
	OwnRegion
	OtherRegion
	distances
)

// String returns the name used in counters and logs.
func (d Distance) String() string {
	switch d {
	case OwnDataCentre:
		return "own-data-centre"
	case OwnRegion:
		return "own-region"
	default:
		return "other-region"
	}
}

const (
	// singleMargin and legMargin are the fractions of the time left until the target that an
	// answer may be expected to take from a preferred server. For a request to one group that
	// leaves room for a pause of 200 ms at a target of 500 ms. A gathering request is as slow
	// as the slowest of dozens of legs, which takes some three times the mean.
	singleMargin = 0.45
	legMargin    = 0.25
	// maxSlowness is the slowness from which on a server is not preferred, whatever the target: it
	// is impaired, or requests of other instances queue there. A healthy server of a slower
	// machine, at 1.3 times the mean, is below it. With 1.5, 1 to 2 more of 1,000 requests were
	// late than by cost alone when other instances overloaded a near server.
	maxSlowness = 1.4
	// foreignFraction reduces margin and slowness at servers that are farther away than the
	// nearest ones: work from elsewhere leaves a server before its own work does, so that two
	// data centres don't spill to each other.
	foreignFraction = 0.75
	// maxFailureRate is the failure rate from which on a server is not preferred. After one
	// failure it takes about 3.5 s to fall below it.
	maxFailureRate = 0.03
	// returnDelay is the time without signs of overload after which work begins to return,
	// and returnTime the time in which all of it does. The delay is longer than the half-life
	// of the health estimates, which would otherwise make a loaded server look idle.
	returnDelay = 2 * time.Second
	returnTime  = 4 * time.Second
	// spillingBelow is the kept fraction below which a flow counts as spilling.
	spillingBelow = 0.9
)

// Key identifies a flow: the requests of a route for a group, from this data centre.
type Key struct{ Route, Group string }

// Request is what the decision needs to know of a request.
type Request struct {
	Key
	// Left is the time left until the answer must be ready to reach the caller within the
	// target; zero or less if the target has passed.
	Left time.Duration
	// Gathers is set for a leg of a request to several groups.
	Gathers bool
	// Nearest is the distance of the nearest server that the rules allow, whether or not it
	// takes a request now.
	Nearest Distance
	// NearestOverdue is set if a server at that distance doesn't take the request now and has an
	// exchange that takes far longer than expected.
	NearestOverdue bool
}

// Candidate is a server that may get the request now.
type Candidate struct {
	Distance Distance
	// Cost ranks the servers if none is preferred.
	Cost time.Duration
	// Latency is the expected latency without exchanges in flight, and Load the number of
	// exchanges in flight per slot.
	Latency time.Duration
	Load    float64
	// Slowness is the last measured slowness, and FailureRate the fraction of failed exchanges.
	Slowness    float64
	FailureRate float64
	// Overdue is set while an exchange takes far longer than expected, as in a pause.
	Overdue bool
}

// expected returns the expected latency including the wait for a slot.
func (c *Candidate) expected() time.Duration {
	return time.Duration(float64(c.Latency) * (1 + c.Load))
}

// faulty reports whether a server has a fault, as opposed to too much load.
func (c *Candidate) faulty() bool { return c.Overdue || c.FailureRate > maxFailureRate }

// limits returns the expected latency up to which, and the slowness below which, a server at a
// distance is preferred.
func (r *Request) limits(d Distance) (latency time.Duration, slowness float64) {
	margin, slowness := singleMargin, maxSlowness
	if r.Gathers {
		margin = legMargin
	}
	if d > r.Nearest {
		margin *= foreignFraction
		slowness = 1 + foreignFraction*(slowness-1)
	}
	return time.Duration(margin * float64(r.Left)), slowness
}

// preferred reports whether a server is expected to answer in time with a margin.
func (r *Request) preferred(c *Candidate) bool {
	latency, slowness := r.limits(c.Distance)
	return !c.faulty() && c.Slowness < slowness && c.expected() <= latency
}

// keepable returns the fraction of a flow that a server of the nearest distance should keep: all
// of it while it is expected to answer within the margin, and nothing if it would answer late. The
// instance's own exchanges in flight play no part: their number is exact and current, so that each
// request can follow it without damping.
func (r *Request) keepable(c *Candidate) float64 {
	latency, slowness := r.limits(c.Distance)
	kept := 1.0
	if c.Latency > latency {
		kept = float64(r.Left-c.Latency) / float64(r.Left-latency)
	}
	if c.Slowness >= slowness {
		kept = min(kept, slowness/c.Slowness)
	}
	return max(0, kept)
}

// Table holds the flows of an instance. The zero value has none. It is not safe for concurrent use.
type Table struct {
	flows map[Key]*flow
}

// flow is the state of one flow.
type flow struct {
	// kept is the fraction that prefers the nearest servers, in [0, 1], as of the last sign of
	// overload at overloadedAt.
	kept         float64
	overloadedAt time.Time
	// credit adds up kept; a request prefers the nearest servers when it reaches 1. It is in
	// [0, 1).
	credit   float64
	spilling bool
}

// keptAt returns the fraction that prefers the nearest servers at the given time.
func (f *flow) keptAt(now time.Time) float64 {
	returning := now.Sub(f.overloadedAt) - returnDelay
	return min(1, f.kept+max(0, float64(returning)/float64(returnTime)))
}

// observe records the fraction that the nearest servers can keep now. It falls at once and rises
// slowly.
func (f *flow) observe(now time.Time, keepable float64) {
	if keepable < 1 {
		f.kept, f.overloadedAt = min(f.keptAt(now), keepable), now
	}
}

// draw reports whether the next request prefers the nearest servers.
func (f *flow) draw(now time.Time) bool {
	f.credit += f.keptAt(now)
	if f.credit < 1 {
		return false
	}
	f.credit--
	return true
}

// Choose returns the index of the server for a request, or -1 if there are no candidates. began is set
// if its flow begins to spill by this decision.
func (t *Table) Choose(now time.Time, r Request, candidates []Candidate) (index int, began bool) {
	index = -1
	var best [distances]int
	for d := range best {
		best[d] = -1
	}
	keepable, near, sound := 0.0, 0, 0
	for i := range candidates {
		c := &candidates[i]
		if index < 0 || c.Cost < candidates[index].Cost {
			index = i
		}
		if r.preferred(c) && (best[c.Distance] < 0 || c.Cost < candidates[best[c.Distance]].Cost) {
			best[c.Distance] = i
		}
		if c.Distance == r.Nearest {
			near++
			if !c.faulty() {
				sound++
				keepable = max(keepable, r.keepable(c))
			}
		}
	}
	if r.Left <= 0 {
		// The answer is late wherever the request goes; the cheapest server has it soonest.
		return index, false
	}
	f := t.flow(r.Key)
	if sound > 0 || (near == 0 && !r.NearestOverdue) {
		// A fault passes, or the server loses its requests by the ranking. It says nothing of
		// the capacity of the data centre, unlike the lack of any server that takes requests.
		f.observe(now, keepable)
	}
	began = !f.spilling && f.keptAt(now) < spillingBelow
	f.spilling = f.spilling || began
	if best[r.Nearest] >= 0 {
		if f.draw(now) {
			return best[r.Nearest], began
		}
		return index, began
	}
	for d := r.Nearest + 1; d < distances; d++ {
		if best[d] >= 0 {
			return best[d], began
		}
	}
	return index, began
}

// flow returns a flow, which keeps everything at first.
func (t *Table) flow(k Key) *flow {
	f := t.flows[k]
	if f == nil {
		f = &flow{kept: 1}
		if t.flows == nil {
			t.flows = map[Key]*flow{}
		}
		t.flows[k] = f
	}
	return f
}
