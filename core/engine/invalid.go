package engine

import (
	"fmt"
	"math"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// maxAge is the maximum age in a message. Larger ones would overflow a time.Duration.
const maxAge = 10 * 365 * 24 * time.Hour

// refuseMessage logs that a message of a peer was ignored because of an invalid field.
func (e *Engine) refuseMessage(from model.InstanceID, problem string) {
	e.Emit(event.StateChanged{Kind: "peer-message", Name: string(from), To: "refused", Cause: problem})
}

// invalidField returns which field of a message has a value that no instance sends, with the
// value, or "". Such a message is ignored as a whole: a part of it could not be trusted either.
func invalidField(m event.Message) (problem string) {
	switch {
	case m.Ping != nil:
		return invalidEra(m.Ping.StoreEra)
	case m.Pong != nil:
		return invalidEra(m.Pong.StoreEra)
	case m.Members != nil:
		for _, u := range m.Members.Updates {
			if problem := invalidMember(u); problem != "" {
				return problem
			}
		}
	case m.Rollouts != nil:
		return invalidRollouts(m.Rollouts)
	case m.Directory != nil:
		return invalidDirectory(m.Directory)
	case m.RateLimits != nil:
		return invalidRateLimits(m.RateLimits)
	case m.UsageReport != nil:
		return invalidUsage(m.UsageReport)
	case m.UsageSums != nil:
		return invalidUsage(m.UsageSums)
	case m.Reports != nil:
		return invalidReports(m.Reports)
	case m.Restart != nil:
		if r := m.Restart; r.Key == "" || r.ColdMicros < 0 || r.ColdMicros > maxAge.Microseconds() || r.AgeMicros < 0 || r.AgeMicros > maxAge.Microseconds() {
			return fmt.Sprintf("restart of server %q: cold for %d us, age %d us", r.Key, r.ColdMicros, r.AgeMicros)
		}
	case m.Suspects != nil:
		if t := m.Suspects.Traits; !t.Valid() {
			return fmt.Sprintf("suspects: fingerprint %s: %d traits, too many or not in ascending order", m.Suspects.Fingerprint, len(t))
		}
		if s := m.Suspects.State; s < event.SuspicionRaised || s > event.SuspicionCondemned {
			return fmt.Sprintf("suspicion: state %d", s)
		}
	}
	return ""
}

// invalidEra returns the invalid field of a peer's era of the store, or "".
func invalidEra(v event.StoreEra) (problem string) {
	if v.EraAgeMicros < 0 || v.EraAgeMicros > maxAge.Microseconds() {
		return fmt.Sprintf("era %d of the store: age %d us", v.Era, v.EraAgeMicros)
	}
	return ""
}

// invalidRateLimits returns the invalid field of a report of rate limits, or "".
func invalidRateLimits(m *event.RateLimits) (problem string) {
	for _, s := range m.Servers {
		switch {
		case s.Server == "" || s.Group == "":
			return fmt.Sprintf("rate limits: server %q of group %q", s.Server, s.Group)
		case !isRate(s.PerSecond):
			return fmt.Sprintf("rate limits: server %q: %g requests per second", s.Server, s.PerSecond)
		case s.AgeMicros < 0 || s.AgeMicros > maxAge.Microseconds():
			return fmt.Sprintf("rate limits: server %q: age %d us", s.Server, s.AgeMicros)
		}
	}
	for _, d := range m.Demands {
		if d.Instance == "" {
			return fmt.Sprintf("rate limits: demand without an instance, data centre %q", d.DataCentre)
		}
		for route, rate := range d.Routes {
			if !isRate(rate) {
				return fmt.Sprintf("rate limits: instance %q: route %q: %g requests per second", d.Instance, route, rate)
			}
		}
	}
	return ""
}

// isRate reports whether a number is a valid rate: finite, and zero or more.
func isRate(f float64) bool { return f >= 0 && !math.IsInf(f, 0) }

// invalidMember returns the invalid field of a member's update, or "".
func invalidMember(u event.MemberUpdate) (problem string) {
	switch {
	case u.Instance.ID == "":
		return fmt.Sprintf("members: no instance ID, address %q", u.Instance.Address)
	case u.State < event.MemberAlive || u.State > event.MemberLeft:
		return fmt.Sprintf("members: instance %q: state %d", u.Instance.ID, u.State)
	}
	return ""
}

// invalidRollouts returns the invalid field of a message about roll-outs, or "".
func invalidRollouts(m *event.Rollouts) (problem string) {
	for _, s := range m.Decided {
		if !validRollout(&s) {
			return fmt.Sprintf("rollouts: status of group %q, version %q, state %q, stage %d", s.Group, s.Version, s.State, s.Stage)
		}
	}
	for _, r := range m.Reports {
		if r.Group == "" || r.Stage < model.StageNone || r.Stage > model.StageDone || r.OldInFlight < 0 {
			return fmt.Sprintf("rollouts: report on group %q, stage %d, %d exchanges", r.Group, r.Stage, r.OldInFlight)
		}
	}
	return ""
}

// validRollout reports whether a status has values that an instance sends.
func validRollout(s *model.RolloutStatus) bool {
	final := s.State == model.RolloutCompleted || s.State == model.RolloutRolledBack
	return s.Group != "" && s.Version != "" && (final || s.State == model.RolloutRunning) && final == (s.Stage == model.StageDone) &&
		s.Stage > model.StageNone && s.Stage <= model.StageDone && s.SharePerMille >= 0 && s.SharePerMille <= 1000 && s.Duration >= 0
}

// invalidDirectory returns the invalid field of a directory update, or "". The full content
// holds a routing table: an instance without one doesn't send its copy.
func invalidDirectory(u *event.DirectoryUpdate) (problem string) {
	switch {
	case u.AgeMicros < 0 || u.AgeMicros > maxAge.Microseconds():
		return fmt.Sprintf("directory: age %d us", u.AgeMicros)
	case u.RecoveredMicros < 0 || u.RecoveredMicros > maxAge.Microseconds():
		return fmt.Sprintf("directory: recovered %d us ago", u.RecoveredMicros)
	case !u.Full && u.BaseRevision > u.Revision:
		return fmt.Sprintf("directory: base revision %d of revision %d", u.BaseRevision, u.Revision)
	}
	hasTable := false
	for _, c := range u.Changes {
		r := c.Server
		switch {
		case c.Key == "":
			return "directory: entry without a key"
		case r != nil && (r.ID == "" || r.Address == "" || r.Group == ""):
			return fmt.Sprintf("directory: entry %q: server %q of group %q at address %q", c.Key, r.ID, r.Group, r.Address)
		case c.Order != nil && (c.Order.Group == "" || c.Order.Version == "" || c.Order.Duration <= 0):
			return fmt.Sprintf("directory: entry %q: order for group %q, version %q, duration %v", c.Key, c.Order.Group, c.Order.Version, c.Order.Duration)
		case c.Rollout != nil && !validRollout(c.Rollout):
			return fmt.Sprintf("directory: entry %q: status of group %q, state %q, stage %d", c.Key, c.Rollout.Group, c.Rollout.State, c.Rollout.Stage)
		case c.Routing != nil:
			if at := slices.IndexFunc(c.Routing.Customers, func(c model.Customer) bool { return !c.Valid() }); at >= 0 {
				invalid := &c.Routing.Customers[at]
				return fmt.Sprintf("directory: customer %q: %g requests per second, burst %g", invalid.Name, invalid.RatePerSecond, invalid.Burst)
			}
			hasTable = true
		}
	}
	if u.Full && !hasTable {
		return fmt.Sprintf("directory: full content of %d entries without a routing table", len(u.Changes))
	}
	return ""
}

const (
	// maxUsageEntries and maxUsageCount limit a message of counters. No instance holds more
	// counters, or has counted more events.
	maxUsageEntries = 1 << 14
	maxUsageCount   = 1 << 50
	maxUsageCovered = 1 << 20
)

// invalidUsage returns the invalid field of a message of counters, or "".
func invalidUsage(m *event.Usage) (problem string) {
	switch {
	case m.Epoch == 0:
		return "usage: epoch 0"
	case m.SentAt <= 0 || m.Echo < 0:
		return fmt.Sprintf("usage: sent at %d, echo %d", m.SentAt, m.Echo)
	case m.CollectingMillis < 0 || m.CollectingMillis > maxAge.Milliseconds():
		return fmt.Sprintf("usage: collecting for %d ms", m.CollectingMillis)
	case len(m.Entries) > maxUsageEntries:
		return fmt.Sprintf("usage: %d entries", len(m.Entries))
	}
	for _, c := range m.Covered {
		if c.WindowMillis < 0 || c.Instances < 0 || c.Instances > maxUsageCovered {
			return fmt.Sprintf("usage: %d instances covered in a window of %d ms", c.Instances, c.WindowMillis)
		}
	}
	for _, u := range m.Entries {
		if u.Count > maxUsageCount || u.Total > maxUsageCount || u.Recent > u.Count {
			return fmt.Sprintf("usage: entry %x: count %d, recent %d, total %d", u.Key, u.Count, u.Recent, u.Total)
		}
	}
	return ""
}
