// Package rollo decides roll-outs: it holds the operators' orders and the status of each group's
// last roll-out, divides the requests of a group between the versions of its servers, judges a
// version by its answers in comparison with those of the other servers, and determines the next
// stage. Package relay chooses the servers accordingly and counts the answers; package engine
// decides which instance writes the status, and exchanges counts and decisions with the others.
package rollo

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// Settings bound what a bad version may do.
type Settings struct {
	// ExposureShare is the part of a group's requests, from an order to its deadline, that a bad
	// version may get, and ExposureSlack the number of requests that it may get besides.
	ExposureShare float64
	ExposureSlack float64
	// Rollback is the time within which a bad version must get no more requests after its 50th
	// bad answer.
	Rollback time.Duration
}

// shortRollback is the time for a rollback below which half of the evidence must suffice: counts and
// decisions take up to 1.5 s.
const shortRollback = 2 * time.Second

// Excess returns the number of bad answers beyond the expected ones from which on a version is bad.
func (s Settings) Excess() float64 {
	if s.Rollback > 0 && s.Rollback < shortRollback {
		return badExcess / 2
	}
	return badExcess
}

// Rollout holds what is known of the roll-outs of one group.
type Rollout struct {
	Group string
	// Order is the order in force; nil if it was withdrawn. SeenAt is when it was first seen.
	Order  *model.RolloutOrder
	SeenAt time.Time
	// Status is the newest status, which applies; Stored is the one in the directory. Both are
	// zero if there is none.
	Status, Stored model.RolloutStatus
	// Judge judges the target version of the order.
	Judge Judge

	// restoredAt is when the directory was last restored from an older copy: for some time after
	// it the order may be written again with another revision.
	restoredAt time.Time
	// removed is the last withdrawn order, for the case that it was missing from an older copy.
	removed *model.RolloutOrder
}

// Current reports whether the status is that of the order in force.
func (r *Rollout) Current() bool {
	return r.Order != nil && r.Status.OrderRevision == r.Order.Revision && r.Status.Version == r.Order.Version
}

// fulfilled reports whether an earlier roll-out has completed what the order asks for.
func (r *Rollout) fulfilled() bool {
	return r.Order != nil && r.Status.State == model.RolloutCompleted && r.Status.Version == r.Order.Version
}

// outdated reports whether the status is that of an order that is newer than the known one: the
// instance has not read it yet.
func (r *Rollout) outdated() bool {
	return r.Order != nil && r.Status.OrderRevision > r.Order.Revision
}

// Running reports whether the order in force is not decided yet.
func (r *Rollout) Running() bool {
	return r.Order != nil && !r.fulfilled() && !r.outdated() && (!r.Current() || !r.Status.Final())
}

// unsaved reports whether the directory lacks a final status.
func (r *Rollout) unsaved() bool {
	return r.Status.Final() && (r.Stored.State != r.Status.State || r.Stored.Version != r.Status.Version ||
		r.Stored.OrderRevision != r.Status.OrderRevision)
}

// Table holds the roll-outs by group. The zero value is not usable; see New.
type Table struct {
	Settings Settings

	groups    map[string]*Rollout
	divisions map[string]*Division
	// orderKeys and statusKeys map directory keys to groups.
	orderKeys, statusKeys map[string]string
	era                   uint64
	// loaded is set once the full directory has been read.
	loaded bool
	// hold is set while the instance may miss decisions.
	hold bool
}

// New returns an empty table.
func New(s Settings) *Table {
	return &Table{
		Settings: s, groups: map[string]*Rollout{}, divisions: map[string]*Division{},
		orderKeys: map[string]string{}, statusKeys: map[string]string{},
	}
}

// Get returns the roll-out of a group, or nil if there was none.
func (t *Table) Get(group string) *Rollout { return t.groups[group] }

// All returns all roll-outs in order of group.
func (t *Table) All() (out []*Rollout) {
	for _, group := range slices.Sorted(maps.Keys(t.groups)) {
		out = append(out, t.groups[group])
	}
	return out
}

// Unfinished returns the roll-outs that are running or whose final status is not stored, in order of
// group.
func (t *Table) Unfinished() (out []*Rollout) {
	for _, r := range t.All() {
		if r.Running() || r.unsaved() {
			out = append(out, r)
		}
	}
	return out
}

// row returns the roll-out of a group, and adds it if it is missing.
func (t *Table) row(group string) *Rollout {
	r := t.groups[group]
	if r == nil {
		r = &Rollout{Group: group}
		t.groups[group] = r
	}
	return r
}

// Apply applies what was read of the directory, and returns the resulting changes of state.
func (t *Table) Apply(now time.Time, read event.DirectoryRead) (changes []event.StateChanged) {
	if read.Era > t.era {
		if t.loaded {
			for _, r := range t.groups {
				r.restored(now, read.Revision)
			}
		}
		t.era = read.Era
	}
	present := map[string]bool{}
	for _, c := range read.Changes {
		present[c.Key] = true
		switch {
		case c.Order != nil:
			t.orderKeys[c.Key] = c.Order.Group
			changes = append(changes, t.setOrder(now, *c.Order)...)
		case c.Rollout != nil:
			t.statusKeys[c.Key] = c.Rollout.Group
			changes = append(changes, t.SetStored(*c.Rollout)...)
		case c.Problem != "" || c.Server != nil || c.Routing != nil || c.Evacuated != "":
		default:
			changes = append(changes, t.removeKey(c.Key)...)
		}
	}
	if read.Full {
		t.loaded = true
		for _, key := range slices.Sorted(maps.Keys(t.orderKeys)) {
			if !present[key] {
				changes = append(changes, t.removeKey(key)...)
			}
		}
		for key := range t.statusKeys {
			if !present[key] {
				t.removeKey(key)
			}
		}
	}
	return changes
}

// rewriteTime is the time after a restoration of the directory within which operators write their
// entries again.
const rewriteTime = 15 * time.Second

// restored handles a restoration of the directory from an older copy. Revisions above that of the copy
// are given out again: what is known must not count as newer than what is written from now on.
func (r *Rollout) restored(now time.Time, revision uint64) {
	r.restoredAt = now
	r.Stored = model.RolloutStatus{}
	for _, o := range []**model.RolloutOrder{&r.Order, &r.removed} {
		if *o != nil {
			older := **o
			older.Revision = min(older.Revision, revision)
			*o = &older
		}
	}
	r.Status.OrderRevision = min(r.Status.OrderRevision, revision)
}

// setOrder records an order.
func (t *Table) setOrder(now time.Time, o model.RolloutOrder) []event.StateChanged {
	r := t.row(o.Group)
	known := r.Order
	if known == nil {
		known = r.removed
	}
	restored := !r.restoredAt.IsZero() && now.Sub(r.restoredAt) < rewriteTime
	if known != nil && restored && known.Version == o.Version && known.Duration == o.Duration {
		// The same order, written again or with the revision of the older copy.
		if r.Status.OrderRevision == known.Revision {
			r.Status.OrderRevision = o.Revision
		}
		r.Order, r.removed = &o, nil
		t.divide(r)
		return nil
	}
	if r.Order != nil && o.Revision <= r.Order.Revision {
		return nil
	}
	r.Order, r.removed = &o, nil
	r.SeenAt, r.Judge = now, Judge{}
	if r.Current() {
		// The instance has started during the roll-out.
		r.SeenAt = r.Status.StartedAt.Time()
	}
	t.divide(r)
	return []event.StateChanged{{
		Kind: "rollout-order", Name: o.Group, To: o.Version,
		Cause: fmt.Sprintf("revision %d, to be completed within %v", o.Revision, o.Duration),
	}}
}

// removeKey handles the removal of an order or a status from the directory.
func (t *Table) removeKey(key string) []event.StateChanged {
	if group, ok := t.statusKeys[key]; ok {
		// What was decided stays in force; a final status is written again.
		delete(t.statusKeys, key)
		t.groups[group].Stored = model.RolloutStatus{}
		return nil
	}
	group, ok := t.orderKeys[key]
	if !ok {
		return nil
	}
	delete(t.orderKeys, key)
	r := t.groups[group]
	if r.Order == nil {
		return nil
	}
	from := r.Order.Version
	r.Order, r.removed = nil, r.Order
	t.divide(r)
	return []event.StateChanged{{Kind: "rollout-order", Name: group, From: from, To: "withdrawn"}}
}

// SetStored records the status that the directory holds.
func (t *Table) SetStored(s model.RolloutStatus) []event.StateChanged {
	r := t.row(s.Group)
	if s.Revision < r.Stored.Revision {
		return nil
	}
	r.Stored = s
	return t.adopt(r, s, true)
}

// Adopt applies a status that is not read from the directory: an own decision, or that of a peer. It
// reports whether the status was new.
func (t *Table) Adopt(s model.RolloutStatus) (changes []event.StateChanged, adopted bool) {
	r := t.row(s.Group)
	before := r.Status
	changes = t.adopt(r, s, false)
	return changes, before.Stage != r.Status.Stage || before.OrderRevision != r.Status.OrderRevision || before.State != r.Status.State
}

// adopt applies a status if it is newer than the known one. Of two final states for one order the
// stored one applies.
func (t *Table) adopt(r *Rollout, s model.RolloutStatus, stored bool) []event.StateChanged {
	k := r.Status
	switch {
	case k.State == "":
	case s.OrderRevision != k.OrderRevision:
		if s.OrderRevision < k.OrderRevision {
			return nil
		}
	case s.Stage < k.Stage:
		return nil
	case s.Stage == k.Stage && (!stored || s.State == k.State):
		if s.State == k.State && s.Revision > k.Revision {
			r.Status.Revision = s.Revision
		}
		return nil
	}
	r.Status = s
	if r.Current() {
		r.SeenAt = s.StartedAt.Time()
	}
	t.divide(r)
	return []event.StateChanged{{
		Kind: "rollout", Name: s.Group, From: describe(k), To: describe(s),
		Cause: fmt.Sprintf("%s; new version: %d answers, %d failed, %d slow; others: %d, %d, %d", s.Reason,
			s.New.Answers, s.New.Failed, s.New.Slow, s.Old.Answers, s.Old.Failed, s.Old.Slow),
	}}
}

// describe returns the form of a status in logs.
func describe(s model.RolloutStatus) string {
	if s.State == "" {
		return ""
	}
	if s.Final() {
		return fmt.Sprintf("%s %s", s.Version, s.State)
	}
	return fmt.Sprintf("%s %s, stage %s, share %d/1000", s.Version, s.State, s.Stage, s.SharePerMille)
}

// Entries returns the orders and the stored statuses as directory changes, in order of key.
func (t *Table) Entries() (out []event.DirectoryChange) {
	for _, key := range slices.Sorted(maps.Keys(t.orderKeys)) {
		if o := t.groups[t.orderKeys[key]].Order; o != nil {
			out = append(out, event.DirectoryChange{Key: key, Order: o})
		}
	}
	for _, key := range slices.Sorted(maps.Keys(t.statusKeys)) {
		if s := t.groups[t.statusKeys[key]].Stored; s.State != "" {
			out = append(out, event.DirectoryChange{Key: key, Rollout: &s})
		}
	}
	return out
}
