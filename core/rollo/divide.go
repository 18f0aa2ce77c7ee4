package rollo

import (
	"slices"

	"hyssoppitch/core/model"
)

// Side is the side of a roll-out that the servers of a version belong to.
type Side int

// The sides of a roll-out.
const (
	// SideOld servers get the requests that SideNew doesn't get.
	SideOld Side = iota
	// SideNew servers have the target version of a running roll-out.
	SideNew
	// SideExcluded servers get no requests.
	SideExcluded
)

// Division divides the requests of a group between the versions of its servers. It is immutable.
type Division struct {
	// Target is the target version of a running roll-out, or empty.
	Target string
	// PerMille is the part of the requests that goes to servers with the target version.
	PerMille int

	// base is the only version besides Target that gets requests; empty if all of them do.
	base     string
	rejected []string
}

// Side returns the side that the servers of a version belong to.
func (d *Division) Side(version string) Side {
	switch {
	case d.Target != "" && version == d.Target:
		return SideNew
	case d.base != "" && version != d.base, slices.Contains(d.rejected, version):
		return SideExcluded
	}
	return SideOld
}

// Division returns the division of a group's requests, or nil if its servers are used without
// regard to their versions.
func (t *Table) Division(group string) *Division { return t.divisions[group] }

// SetHold sets whether this instance may miss decisions: it then sends nothing to target versions, since
// it would not learn that one is bad. In the last stage all requests go to the target version.
func (t *Table) SetHold(hold bool) {
	if hold == t.hold {
		return
	}
	t.hold = hold
	for _, r := range t.groups {
		t.divide(r)
	}
}

// maxRejected limits the rejected versions that are remembered; the oldest are forgotten.
const maxRejected = 8

// history returns what the roll-outs before the order in force have decided: the version that the
// last completed one has introduced, and those that must get no requests.
func (r *Rollout) history() (base string, rejected []string) {
	s := &r.Status
	if s.State == "" || r.Current() {
		return s.Base, s.Rejected
	}
	base, rejected = s.Base, slices.Clone(s.Rejected)
	if s.State == model.RolloutCompleted {
		return s.Version, nil
	}
	if (s.State == model.RolloutRolledBack || r.Order != nil) && !slices.Contains(rejected, s.Version) {
		// A version whose roll-out was replaced by another one is not proven.
		rejected = append(rejected, s.Version)
	}
	if r.Order != nil {
		rejected = slices.DeleteFunc(rejected, func(v string) bool { return v == r.Order.Version })
	}
	return base, rejected[max(0, len(rejected)-maxRejected):]
}

// divide recomputes the division of a group.
func (t *Table) divide(r *Rollout) {
	d := &Division{}
	switch {
	case r.fulfilled() || (r.Order == nil && r.Status.State == model.RolloutCompleted):
		d.base = r.Status.Version
	case (r.Current() || r.outdated()) && r.Status.State == model.RolloutCompleted:
		d.base = r.Status.Version
	case (r.Current() || r.outdated()) && r.Status.State == model.RolloutRolledBack:
		d.base = r.Status.Base
		d.rejected = append(slices.Clone(r.Status.Rejected), r.Status.Version)
	case r.outdated():
		d.base, d.rejected = r.Status.Base, r.Status.Rejected
		d.Target, d.PerMille = r.Status.Version, r.Status.SharePerMille
	default:
		d.base, d.rejected = r.history()
		if r.Order != nil {
			d.Target = r.Order.Version
		}
		if r.Current() {
			d.PerMille = r.Status.SharePerMille
		}
	}
	if t.hold && r.Status.Stage < model.StageFull {
		d.PerMille = 0
	}
	if d.Target == "" && d.base == "" && len(d.rejected) == 0 {
		delete(t.divisions, r.Group)
		return
	}
	t.divisions[r.Group] = d
}
