package claim

import (
	"maps"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// Result is the result of an attempt to claim a key.
type Result int

// The results of a claim.
const (
	// Granted: the claim is recorded in the store for this query.
	Granted Result = iota + 1
	// Taken: another query has claimed the key; Entry is its claim.
	Taken
	// StoreDown: the claim could not be recorded in time. It is not used, and it is
	// released if it is written to the store later.
	StoreDown
	// Full: the partition has no space for another claim, or its stored value can't be
	// decoded.
	Full
)

// Decision is the result of the claim of a query.
type Decision struct {
	Query  event.QueryID
	Result Result
	// Entry is the claim recorded in the store, for Granted and Taken.
	Entry Entry
}

// pendingClaim is a claim that is not yet decided.
type pendingClaim struct {
	entry    Entry
	deadline time.Time
	// writeSent is set once a write with the claim was sent: from then on the claim
	// may be recorded in the store.
	writeSent bool
}

// stateUpdate is a state to be recorded for one of this instance's own claims.
type stateUpdate struct {
	entry Entry
	// due is when to write the update even if no claim shares the write.
	due time.Time
}

// partition holds the known entries of one partition and the changes to write to it.
type partition struct {
	key string
	// loaded is set while entries and revision are those last read from, or written
	// to, the store.
	loaded   bool
	revision int64
	entries  []Entry
	// readAt is when entries were last read from the store; a write doesn't count.
	readAt  time.Time
	claims  []*pendingClaim
	updates []stateUpdate
	// op is the store call in flight, or zero, and opEra the era in which it began. opIsSwap is
	// set if it is a write, of sentEntries.
	op          uint64
	opIsSwap    bool
	opEra       uint64
	sentEntries []Entry
	// retryAt is the earliest time of the next call after one without an answer.
	retryAt time.Time
	// lost holds the known claims that the store may have lost. They are written again from
	// restoreAt on, and once more from recheckAt on; zero if not.
	lost []Entry
	// heard holds the recent claims of which peers have told this instance.
	heard                []Entry
	restoreAt, recheckAt time.Time
}

// Outbox receives the commands of a ledger.
type Outbox interface {
	Emit(c event.Command)
}

// Ledger makes the claims of this instance and records their outcomes.
type Ledger struct {
	// Self is this instance, in whose name claims are made.
	Self model.Instance
	// Out receives the store calls.
	Out Outbox

	partitions map[string]*partition
	// active lists the partitions with pending changes or a call in flight, in the
	// order in which they became active.
	active []*partition
	// ops maps the store calls in flight to their partitions.
	ops       map[uint64]*partition
	lastOp    uint64
	decisions []Decision
	// era is the era of the store, and grantsFrom the time before which no claim is granted
	// because the store was restored from an older copy, or may have been: starting is set while
	// only this instance's start is the reason.
	era        uint64
	grantsFrom time.Time
	starting   bool
	// unshared holds the claims that the peers have not been told of.
	unshared []Entry
}

// NewLedger returns a ledger without claims.
func NewLedger(self model.Instance, out Outbox) *Ledger {
	return &Ledger{Self: self, Out: out, partitions: map[string]*partition{}, ops: map[uint64]*partition{}}
}

// Claim starts to claim a key for a query. Decisions returns the decision, no later
// than at the first call of Tick after the deadline.
func (l *Ledger) Claim(now time.Time, q event.QueryID, d Digest, fingerprint model.Fingerprint, deadline time.Time) {
	p := l.partition(d.Partition())
	p.claims = append(p.claims, &pendingClaim{
		entry: Entry{
			Digest: d, RequestFingerprint: fingerprint, Instance: l.Self.ID, Incarnation: l.Self.Incarnation, Query: q,
			ClaimedAt: now.Unix(), State: Claimed,
		},
		deadline: deadline,
	})
	l.advance(now, p)
}

// Resolve records the outcome of a granted claim; answer is the answer of a request
// that ran, and nil otherwise.
func (l *Ledger) Resolve(now time.Time, e Entry, s State, answer *Answer) {
	e.State = s
	if answer != nil && len(answer.Result) <= maxResultBytes {
		e.Answer = answer
	}
	l.unshared = append(l.unshared, e)
	p := l.partition(e.Digest.Partition())
	p.updates = append(p.updates, stateUpdate{entry: e, due: now.Add(maxBatchDelay)})
	l.advance(now, p)
}

// Decisions returns the decisions made since the last call.
func (l *Ledger) Decisions() []Decision {
	out := l.decisions
	l.decisions = nil
	return out
}

// PendingCount returns the number of claims and outcomes that are not yet recorded in
// the store.
func (l *Ledger) PendingCount() int {
	n := 0
	for _, p := range l.active {
		n += len(p.claims) + len(p.updates)
	}
	return n
}

// Tick expires the claims whose deadline has passed and makes the store calls that
// are due. It returns when it must be called again, or the zero time.
func (l *Ledger) Tick(now time.Time) (due time.Time) {
	for _, p := range slices.Clone(l.active) {
		l.expireClaims(now, p)
		l.advance(now, p)
		due = earlier(due, p.due(l.grantsFrom))
	}
	l.active = slices.DeleteFunc(l.active, func(p *partition) bool { return p.idle() })
	return due
}

// idle reports whether the partition has no pending changes and no call in flight.
func (p *partition) idle() bool {
	return len(p.claims) == 0 && len(p.updates) == 0 && p.op == 0 && p.restoreAt.IsZero()
}

// due returns when the partition next needs a tick: at the first deadline of a claim
// and, while no call is in flight, at the time of its next call. Claims are not granted before
// grantsFrom.
func (p *partition) due(grantsFrom time.Time) (at time.Time) {
	for _, c := range p.claims {
		at = earlier(at, c.deadline)
	}
	if p.op != 0 {
		return at
	}
	nextCall := p.restoreAt
	if len(p.claims) > 0 {
		claimsAt := p.retryAt
		if claimsAt.Before(grantsFrom) {
			claimsAt = grantsFrom
		}
		nextCall = earlier(nextCall, claimsAt)
	}
	for _, u := range p.updates {
		nextCall = earlier(nextCall, u.due)
	}
	if !nextCall.IsZero() && nextCall.Before(p.retryAt) {
		nextCall = p.retryAt
	}
	return earlier(at, nextCall)
}

// earlier returns the earlier of two times, of which a zero one is ignored.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

// partition returns the partition with a store key, created on first use, and adds it
// to the active ones.
func (l *Ledger) partition(key string) *partition {
	p := l.partitions[key]
	if p == nil {
		p = &partition{key: key}
		l.partitions[key] = p
	}
	if !slices.Contains(l.active, p) {
		l.active = append(l.active, p)
	}
	return p
}

// expireClaims decides the claims whose deadline has passed as StoreDown. If a claim
// was sent to the store, where it may be recorded now or later, it is released by an
// update.
func (l *Ledger) expireClaims(now time.Time, p *partition) {
	p.claims = slices.DeleteFunc(p.claims, func(c *pendingClaim) bool {
		if now.Before(c.deadline) {
			return false
		}
		l.decide(c, StoreDown, c.entry)
		if c.writeSent {
			c.entry.State = Released
			p.updates = append(p.updates, stateUpdate{entry: c.entry, due: now})
		}
		return true
	})
}

// decide adds the decision on a claim.
func (l *Ledger) decide(c *pendingClaim, result Result, e Entry) {
	l.decisions = append(l.decisions, Decision{Query: c.entry.Query, Result: result, Entry: e})
}

// advance makes the partition's next store call, if one is due and none is in flight.
func (l *Ledger) advance(now time.Time, p *partition) {
	if p.op != 0 || now.Before(p.retryAt) || !l.hasDueWork(now, p) {
		return
	}
	p.retryAt = time.Time{}
	if !p.loaded {
		l.registerOp(p, false)
		l.Out.Emit(event.StoreGet{Op: p.op, Key: p.key})
		return
	}
	l.write(now, p)
}

// hasDueWork reports whether the partition has claims that may be granted, updates that are due,
// or claims to be written again.
func (l *Ledger) hasDueWork(now time.Time, p *partition) bool {
	if (len(p.claims) > 0 && l.mayGrant(now)) || p.restoreDue(now) {
		return true
	}
	return slices.ContainsFunc(p.updates, func(u stateUpdate) bool { return !now.Before(u.due) })
}

// mayGrant reports whether claims may be granted.
func (l *Ledger) mayGrant(now time.Time) bool { return !now.Before(l.grantsFrom) }

// partitionKeys returns the keys of the known partitions in order.
func (l *Ledger) partitionKeys() []string { return slices.Sorted(maps.Keys(l.partitions)) }

// registerOp assigns the next operation number to a store call of a partition.
func (l *Ledger) registerOp(p *partition, opIsSwap bool) {
	l.lastOp++
	p.op, p.opIsSwap, p.opEra = l.lastOp, opIsSwap, l.era
	l.ops[p.op] = p
}

// write merges all claims and updates into the known entries and writes the result by
// compare-and-swap.
func (l *Ledger) write(now time.Time, p *partition) {
	if l.refreshUndecided(now, p) {
		return
	}
	next := l.merge(now, p)
	if p.restoreDue(now) {
		if slices.EqualFunc(next, p.entries, func(a, b Entry) bool { return a.sameClaim(b) && a.State == b.State }) {
			p.endRestore()
			l.advance(now, p)
			return
		}
	} else if len(p.updates) == 0 && (len(p.claims) == 0 || !l.mayGrant(now)) {
		return
	}
	value, err := encode(next)
	if err != nil || len(value) > maxValueBytes {
		l.refuseAsFull(p)
		return
	}
	if l.mayGrant(now) {
		for _, c := range p.claims {
			c.writeSent = true
		}
	}
	p.sentEntries = next
	l.registerOp(p, true)
	l.Out.Emit(event.StoreSwap{Op: p.op, Key: p.key, Revision: p.revision, Value: value})
}

// refreshUndecided rereads the partition if a key to claim is claimed in the known
// entries by another query without an outcome, and these were not read within
// maxReadAge: the other instance may have recorded the outcome since.
func (l *Ledger) refreshUndecided(now time.Time, p *partition) bool {
	stale := slices.ContainsFunc(p.claims, func(c *pendingClaim) bool {
		e, ok := find(p.entries, c.entry.Digest)
		return ok && e.State == Claimed && !e.sameClaim(c.entry)
	})
	if !stale || now.Sub(p.readAt) <= maxReadAge {
		return false
	}
	p.loaded = false
	l.registerOp(p, false)
	l.Out.Emit(event.StoreGet{Op: p.op, Key: p.key})
	return true
}

// refuseAsFull decides all pending claims of a partition as Full. Claims that the store has lost
// can't be written again either.
func (l *Ledger) refuseAsFull(p *partition) {
	p.lost, p.restoreAt, p.recheckAt = nil, time.Time{}, time.Time{}
	for _, c := range p.claims {
		l.decide(c, Full, c.entry)
	}
	p.claims = nil
}

// find returns the entry with a digest, if there is one.
func find(entries []Entry, d Digest) (Entry, bool) {
	i := slices.IndexFunc(entries, func(e Entry) bool { return e.Digest == d })
	if i < 0 {
		return Entry{}, false
	}
	return entries[i], true
}

// merge decides the claims of keys that other queries have claimed as Taken. It
// returns the known entries with the remaining claims and the updates merged in, and
// without the claims that are older than Retention.
func (l *Ledger) merge(now time.Time, p *partition) []Entry {
	oldest := now.Add(-Retention).Unix()
	next := slices.DeleteFunc(slices.Clone(p.entries), func(e Entry) bool { return e.ClaimedAt < oldest })
	for _, e := range p.lost {
		next = mergeLost(next, e)
	}
	p.updates = slices.DeleteFunc(p.updates, func(u stateUpdate) bool {
		i := slices.IndexFunc(next, func(e Entry) bool { return e.Digest == u.entry.Digest })
		switch {
		case i < 0:
			next = append(next, u.entry)
		case next[i].sameClaim(u.entry) && next[i].State != u.entry.State:
			next[i] = u.entry
		default:
			// Another claim of the key is recorded, or this state is recorded already.
			return true
		}
		return false
	})
	if !l.mayGrant(now) {
		return next
	}
	p.claims = slices.DeleteFunc(p.claims, func(c *pendingClaim) bool {
		i := slices.IndexFunc(next, func(e Entry) bool { return e.Digest == c.entry.Digest })
		switch {
		case i < 0:
			next = append(next, c.entry)
		case next[i].sameClaim(c.entry):
			return false
		case next[i].State == Released:
			next[i] = c.entry
		default:
			l.decide(c, Taken, next[i])
			return true
		}
		return false
	})
	return next
}

// StoreDone processes the end of a store call. It returns false if the call was not
// made by the ledger.
func (l *Ledger) StoreDone(now time.Time, d event.StoreDone) bool {
	p := l.ops[d.Op]
	if p == nil {
		return false
	}
	delete(l.ops, d.Op)
	if d.Era > l.era {
		l.SetEra(now, d.Era)
	}
	earlier := d.Era < l.era
	p.op = 0
	switch {
	case d.Result == event.StoreUnknown || earlier || (p.opIsSwap && p.opEra != l.era):
		// A reply of an earlier era is from a copy that was replaced. A write that was based on
		// one may have taken effect in this one.
		p.loaded = false
		p.retryAt = now.Add(retryDelay)
	case p.opIsSwap && d.Result == event.StoreOK:
		l.applyWrite(now, p, d.Revision)
	case p.opIsSwap:
		p.loaded = false
	default:
		l.applyRead(now, p, d)
	}
	l.expireClaims(now, p)
	l.advance(now, p)
	return true
}

// applyWrite updates the known entries after a successful write.
func (l *Ledger) applyWrite(now time.Time, p *partition, revision int64) {
	p.revision = revision
	p.entries = p.sentEntries
	l.confirmStored(now, p)
}

// applyRead updates the known entries from the value that was read.
func (l *Ledger) applyRead(now time.Time, p *partition, d event.StoreDone) {
	entries, err := decode(d.Value)
	if err != nil {
		// The value is not in the format of this package. It is not overwritten, so that
		// no key of the partition can be claimed.
		l.refuseAsFull(p)
		return
	}
	p.loaded, p.revision, p.entries, p.readAt = true, d.Revision, entries, now
	l.confirmStored(now, p)
}

// confirmStored grants the claims that are recorded in the store and removes the
// updates that are.
func (l *Ledger) confirmStored(now time.Time, p *partition) {
	p.claims = slices.DeleteFunc(p.claims, func(c *pendingClaim) bool {
		if !l.mayGrant(now) {
			return false
		}
		e, ok := find(p.entries, c.entry.Digest)
		if !ok || !e.sameClaim(c.entry) {
			return false
		}
		l.decide(c, Granted, e)
		l.unshared = append(l.unshared, e)
		return true
	})
	p.updates = slices.DeleteFunc(p.updates, func(u stateUpdate) bool {
		e, ok := find(p.entries, u.entry.Digest)
		return ok && e.sameClaim(u.entry) && e.State == u.entry.State
	})
}
