package relay

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoppitch/core/model"
	"hyssoppitch/core/usage"
)

// This file applies retry budgets to the sums of all instances.

const (
	// minSlackPart is the part of the slack, in extra attempts per window, from which an instance
	// keeps to its own part, such as 32 instances with a slack of 202. With less, instances that meet a slow server deny most hedges while
	// the budget of the fleet is hardly used.
	minSlackPart = 3
	// pooledSlackFraction is the fraction of the slack that is used by sums, and
	// unseenSlackFraction the fraction for extra attempts of others that are not visible yet.
	pooledSlackFraction = 0.6
	unseenSlackFraction = 0.2
	// restartSlackFraction is the fraction of the slack that is used by sums for a window after all
	// instances have started again: what those before have left.
	restartSlackFraction = 0.2
	// partSlackFraction is the fraction of the slack that is divided among instances without current
	// sums. The rest covers the rounding of parts at random.
	partSlackFraction = 0.95
	// partFraction is the least fraction of its part that an instance without current sums uses for
	// hedges. Parts are a few attempts, so that a reserve for retries would take a third of them.
	partFraction = 1
	// keptConfigurations is the number of routing tables after which the requests of a route that
	// is gone no longer count for its groups.
	keptConfigurations = 16
)

// requestCounter is the counter of the requests of a route with certain groups. After a re-partition
// the route has another counter, so that its new groups don't count requests that they did not get.
type requestCounter struct {
	key usage.Key
	// weights holds the part of the requests that each group gets.
	weights map[string]float64
	// configuration is the number of the last routing table that held the route.
	configuration int
}

// requestCounters finds the counters of requests.
type requestCounters struct {
	byKey         map[usage.Key]*requestCounter
	byRoute       map[*model.Route]usage.Key
	byGroup       map[string][]*requestCounter
	configuration int
}

// newRequestCounter returns the counter of a route. It is the same at all instances.
func newRequestCounter(r *model.Route) *requestCounter {
	c := &requestCounter{weights: map[string]float64{}}
	var id strings.Builder
	if len(r.Gather) > 0 {
		groups := slices.Clone(r.Gather)
		slices.Sort(groups)
		for _, group := range groups {
			c.weights[group] = 1
			id.WriteString(group + "\n")
		}
	} else {
		var total float64
		for _, share := range r.Shares {
			total += share.Weight
		}
		for _, share := range r.Shares {
			c.weights[share.Group] += share.Weight / total
			fmt.Fprintf(&id, "%s %s\n", share.Group, strconv.FormatFloat(share.Weight, 'g', -1, 64))
		}
	}
	c.key = usage.Key{Kind: usage.Requests, Name: fmt.Sprintf("%s %x", r.Name, xxhash.Sum64String(id.String()))}
	return c
}

// configure records the routes of a new routing table.
func (s *requestCounters) configure(t *model.RoutingTable) {
	if s.byKey == nil {
		s.byKey = map[usage.Key]*requestCounter{}
	}
	s.configuration++
	s.byRoute, s.byGroup = map[*model.Route]usage.Key{}, map[string][]*requestCounter{}
	for i := range t.Routes {
		c := newRequestCounter(&t.Routes[i])
		c.configuration = s.configuration
		s.byRoute[&t.Routes[i]] = c.key
		s.byKey[c.key] = c
	}
	for key, c := range s.byKey {
		if s.configuration-c.configuration > keptConfigurations {
			delete(s.byKey, key)
			continue
		}
		for group := range c.weights {
			s.byGroup[group] = append(s.byGroup[group], c)
		}
	}
	for _, counters := range s.byGroup {
		slices.SortFunc(counters, func(a, b *requestCounter) int { return strings.Compare(a.key.Name, b.key.Name) })
	}
}

// countRequest counts a request for the budgets of its groups.
func (s *System) countRequest(now time.Time, r *model.Route) {
	if s.Usage == nil {
		return
	}
	if key, ok := s.requestCounters.byRoute[r]; ok {
		s.Usage.Add(now, key, 1)
	}
	if s.PoolsBudgets() {
		s.Usage.Want(now)
	}
}

// PoolsBudgets reports whether retry budgets are kept by the sums of all instances, because the part
// of an instance is small.
func (s *System) PoolsBudgets() bool {
	r := s.Options.Retries
	return s.Usage != nil && s.members.Settled && s.members.Shares > 1 && r.Slack*slackFraction/float64(s.members.Shares) < minSlackPart
}

// pooledBudgetAllows reports whether one more extra attempt fits into the given fraction of the group's
// budget over all instances. ownLimit is the limit of this instance for itself, and extra the number of
// its extra attempts in the window.
func (s *System) pooledBudgetAllows(now time.Time, group string, fraction, ownLimit float64, extra int) bool {
	r := s.Options.Retries
	key := usage.Key{Kind: usage.Extra, Name: group}
	used := s.Usage.Fleet(now, key)
	var requests, othersRequests float64
	for _, c := range s.requestCounters.byGroup[group] {
		sum := s.Usage.Fleet(now, c.key)
		requests += c.weights[group] * float64(sum.Events())
		othersRequests += c.weights[group] * float64(sum.Others)
	}
	if used.Current {
		s.recordBudgetUse(float64(used.Events()), r.Ratio*requests+r.Slack)
	}
	if used.Fresh {
		slack := r.Slack * used.Scale()
		limit := r.Ratio*ratioFraction*requests + pooledSlackFraction*slack
		if 2*float64(used.Events()) >= limit {
			s.Usage.MarkHot(now, key)
		}
		s.Usage.Counters.FreshDecisions++
		return float64(used.Events()+1)+max(0, float64(used.Expected)-unseenSlackFraction*slack) <= fraction*limit
	}
	restarted := now.Sub(s.StartedAt) < r.Window
	if used.Current && restarted && 2*used.Covered > used.Shares {
		// The sums hold all attempts since most instances have started. Those before were limited to
		// pooledSlackFraction and unseenSlackFraction of the slack.
		s.Usage.MarkHot(now, key)
		s.Usage.Counters.FreshDecisions++
		limit := r.Ratio*ratioFraction*requests + restartSlackFraction*r.Slack*used.Scale()
		return float64(used.Events()+1) <= fraction*limit
	}
	s.Usage.Counters.PartDecisions++
	// What others have used while their attempts were visible is not available again before it has
	// left the window.
	whole := r.Ratio*ratioFraction*othersRequests + (pooledSlackFraction+unseenSlackFraction)*r.Slack
	left := 0.0
	if whole > 0 {
		left = max(0, 1-float64(used.Others)/whole)
	}
	if !restarted {
		ownLimit += (partSlackFraction - slackFraction) * r.Slack / float64(s.members.Shares)
		fraction = max(fraction, partFraction)
	}
	return extra+1 <= s.Usage.Part(now, key, fraction*ownLimit*left)
}

// recordBudgetUse records how much of a group's whole budget is used.
func (s *System) recordBudgetUse(extra, allowed float64) {
	if allowed > 0 {
		s.Counters.BudgetPeakPerMille = max(s.Counters.BudgetPeakPerMille, uint64(1000*extra/allowed))
	}
}
