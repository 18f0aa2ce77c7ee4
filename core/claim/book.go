package claim

import (
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// Verdict is the result of an attempt to claim.
type Result int

// The verdicts on a claim.
const (
	// Granted: the claim is this query's and stands in the store.
	Granted Result = iota + 1
	// Taken: another query holds the claim; Entry tells which and its state.
	Taken
	// StoreDown: the claim could not be made in time. It will not be used, and
	// if it lands in the store after all it is released.
	StoreDown
	// Full: the partition holds no more.
	Full
)

// Decision tells a query how its claim went.
type Decision struct {
	Query  event.QueryID
	Result Result
	// Entry is the claim that stands, for Granted and Taken.
	Entry Entry
}

// pending is a claim that is wanted and not yet decided.
type pending struct {
	entry  Entry
	giveUp time.Time
	// written is set once a write that holds the claim was sent: from then on it
	// may stand in the store.
	written bool
}

// update is a state to be recorded for one of this instance's own claims.
type update struct {
	entry Entry
	// due is when to write it even if no claim shares the write.
	due time.Time
}

// partition is what this instance knows and wants of one value.
type partition struct {
	key string
	// known is set while entries and revision are those last seen in the store.
	known    bool
	revision int64
	entries  []Entry
	// readAt is when entries were last read, rather than written.
	readAt  time.Time
	claims  []*pending
	updates []update
	// op is the store call in flight, or zero; swap says that it is a write of
	// the value sent.
	op   uint64
	swap bool
	sent []Entry
	// retryAt delays the next call after one that was not answered.
	retryAt time.Time
}

// Outbox is what Book needs to emit commands.
type Outbox interface {
	Emit(c event.Command)
}

// Book makes and settles this instance's claims.
type Ledger struct {
	// Self names the claimant.
	Self model.Instance
	// Out takes the store calls.
	Out Outbox

	partitions map[string]*partition
	// order lists the partitions with work, in order of their first work.
	order     []*partition
	ops       map[uint64]*partition
	lastOp    uint64
	decisions []Decision
}

// NewBook returns an empty book.
func NewLedger(self model.Instance, out Outbox) *Ledger {
	return &Ledger{Self: self, Out: out, partitions: map[string]*partition{}, ops: map[uint64]*partition{}}
}

// Claim starts to claim a key for a query. The decision comes from Decisions,
// not later than giveUp plus one tick.
func (b *Ledger) Claim(now time.Time, q event.QueryID, d Digest, body model.Fingerprint, giveUp time.Time) {
	p := b.partition(d.Partition())
	p.claims = append(p.claims, &pending{
		entry: Entry{
			Digest: d, RequestFingerprint: body, Instance: b.Self.ID, Incarnation: b.Self.Incarnation, Query: q,
			ClaimedAt: now.Unix(), State: Claimed,
		},
		giveUp: giveUp,
	})
	b.advance(now, p)
}

// Settle records the state of a claim that was granted; answer is that of a
// request that ran, else nil.
func (b *Ledger) Resolve(now time.Time, e Entry, s State, answer *Answer) {
	e.State = s
	if answer != nil && len(answer.Result) <= maxResult {
		e.Answer = answer
	}
	p := b.partition(e.Digest.Partition())
	p.updates = append(p.updates, update{entry: e, due: now.Add(batchWait)})
	b.advance(now, p)
}

// Decisions returns the decisions made since the last call.
func (b *Ledger) Decisions() []Decision {
	out := b.decisions
	b.decisions = nil
	return out
}

// Unsettled returns the number of claims and outcomes that wait for the store.
func (b *Ledger) PendingCount() int {
	n := 0
	for _, p := range b.order {
		n += len(p.claims) + len(p.updates)
	}
	return n
}

// Tick gives up what is overdue and makes the calls that are due. It returns
// when it wants to be called again, or the zero time.
func (b *Ledger) Tick(now time.Time) (due time.Time) {
	for _, p := range slices.Clone(b.order) {
		b.giveUp(now, p)
		b.advance(now, p)
		due = earlier(due, p.due())
	}
	b.order = slices.DeleteFunc(b.order, func(p *partition) bool { return p.idle() })
	return due
}

func (p *partition) idle() bool {
	return len(p.claims) == 0 && len(p.updates) == 0 && p.op == 0
}

// due returns when the partition next needs a tick: for the first claim to give
// up, and, while no call is in flight, for its next call.
func (p *partition) due() (at time.Time) {
	for _, c := range p.claims {
		at = earlier(at, c.giveUp)
	}
	if p.op != 0 {
		return at
	}
	var call time.Time
	if len(p.claims) > 0 {
		call = p.retryAt
	}
	for _, u := range p.updates {
		call = earlier(call, u.due)
	}
	if !call.IsZero() && call.Before(p.retryAt) {
		call = p.retryAt
	}
	return earlier(at, call)
}

// earlier returns the earlier of two times; the zero time is none.
func earlier(a, b time.Time) time.Time {
	if a.IsZero() || (!b.IsZero() && b.Before(a)) {
		return b
	}
	return a
}

func (b *Ledger) partition(key string) *partition {
	p := b.partitions[key]
	if p == nil {
		p = &partition{key: key}
		b.partitions[key] = p
	}
	if !slices.Contains(b.order, p) {
		b.order = append(b.order, p)
	}
	return p
}

// giveUp decides the overdue claims as StoreDown. One that may stand in the
// store, or may yet come to stand there, is released later.
func (b *Ledger) giveUp(now time.Time, p *partition) {
	p.claims = slices.DeleteFunc(p.claims, func(c *pending) bool {
		if now.Before(c.giveUp) {
			return false
		}
		b.decide(c, StoreDown, c.entry)
		if c.written {
			c.entry.State = Released
			p.updates = append(p.updates, update{entry: c.entry, due: now})
		}
		return true
	})
}

func (b *Ledger) decide(c *pending, v Result, e Entry) {
	b.decisions = append(b.decisions, Decision{Query: c.entry.Query, Result: v, Entry: e})
}

// advance makes the partition's next store call, if it needs one and none is in
// flight.
func (b *Ledger) advance(now time.Time, p *partition) {
	if p.op != 0 || now.Before(p.retryAt) || !p.wants(now) {
		return
	}
	p.retryAt = time.Time{}
	if !p.known {
		b.call(p, false)
		b.Out.Emit(event.StoreGet{Op: p.op, Key: p.key})
		return
	}
	b.write(now, p)
}

// wants reports whether the partition has work that is due.
func (p *partition) wants(now time.Time) bool {
	if len(p.claims) > 0 {
		return true
	}
	return slices.ContainsFunc(p.updates, func(u update) bool { return !now.Before(u.due) })
}

func (b *Ledger) call(p *partition, swap bool) {
	b.lastOp++
	p.op, p.swap = b.lastOp, swap
	b.ops[p.op] = p
}

// write merges all claims and updates into the known entries and swaps them in.
func (b *Ledger) write(now time.Time, p *partition) {
	if b.refreshTaken(now, p) {
		return
	}
	next := b.merge(now, p)
	if len(p.claims) == 0 && len(p.updates) == 0 {
		return
	}
	value, err := encode(next)
	if err != nil || len(value) > maxValue {
		b.full(p)
		return
	}
	for _, c := range p.claims {
		c.written = true
	}
	p.sent = next
	b.call(p, true)
	b.Out.Emit(event.StoreSwap{Op: p.op, Key: p.key, Revision: p.revision, Value: value})
}

// refreshTaken rereads the partition when a wanted key is claimed and undecided
// in the known entries: its holder may have settled it since.
func (b *Ledger) refreshTaken(now time.Time, p *partition) bool {
	stale := slices.ContainsFunc(p.claims, func(c *pending) bool {
		e, ok := find(p.entries, c.entry.Digest)
		return ok && e.State == Claimed && !e.same(c.entry)
	})
	if !stale || now.Sub(p.readAt) <= freshFor {
		return false
	}
	p.known = false
	b.call(p, false)
	b.Out.Emit(event.StoreGet{Op: p.op, Key: p.key})
	return true
}

// full refuses the claims that do not fit.
func (b *Ledger) full(p *partition) {
	for _, c := range p.claims {
		b.decide(c, Full, c.entry)
	}
	p.claims = nil
}

func find(entries []Entry, d Digest) (Entry, bool) {
	i := slices.IndexFunc(entries, func(e Entry) bool { return e.Digest == d })
	if i < 0 {
		return Entry{}, false
	}
	return entries[i], true
}

// merge decides the claims that others hold, and returns the entries with the
// remaining claims and the updates put in and what is past retention left out.
func (b *Ledger) merge(now time.Time, p *partition) []Entry {
	oldest := now.Add(-Retention).Unix()
	next := slices.DeleteFunc(slices.Clone(p.entries), func(e Entry) bool { return e.ClaimedAt < oldest })
	p.updates = slices.DeleteFunc(p.updates, func(u update) bool {
		i := slices.IndexFunc(next, func(e Entry) bool { return e.Digest == u.entry.Digest })
		switch {
		case i < 0:
			next = append(next, u.entry)
		case next[i].same(u.entry) && next[i].State != u.entry.State:
			next[i] = u.entry
		default:
			// Another claim of the key stands, or this one is recorded.
			return true
		}
		return false
	})
	p.claims = slices.DeleteFunc(p.claims, func(c *pending) bool {
		i := slices.IndexFunc(next, func(e Entry) bool { return e.Digest == c.entry.Digest })
		switch {
		case i < 0:
			next = append(next, c.entry)
		case next[i].same(c.entry):
			return false
		case next[i].State == Released:
			next[i] = c.entry
		default:
			b.decide(c, Taken, next[i])
			return true
		}
		return false
	})
	return next
}

// StoreDone takes in the end of a store call. It returns false for a call that
// is not the book's.
func (b *Ledger) StoreDone(now time.Time, d event.StoreDone) bool {
	p := b.ops[d.Op]
	if p == nil {
		return false
	}
	delete(b.ops, d.Op)
	p.op = 0
	switch {
	case d.Result == event.StoreUnknown:
		p.known = false
		p.retryAt = now.Add(retryWait)
	case p.swap && d.Result == event.StoreOK:
		b.landed(p, d.Revision)
	case p.swap:
		p.known = false
	default:
		b.read(now, p, d)
	}
	b.giveUp(now, p)
	b.advance(now, p)
	return true
}

// landed takes in a write that took effect.
func (b *Ledger) landed(p *partition, revision int64) {
	p.revision = revision
	p.entries = p.sent
	b.confirm(p)
}

// read takes in the partition's value.
func (b *Ledger) read(now time.Time, p *partition, d event.StoreDone) {
	entries, err := decode(d.Value)
	if err != nil {
		// Not our format: nothing can be claimed here, and nothing overwritten.
		b.full(p)
		return
	}
	p.known, p.revision, p.entries, p.readAt = true, d.Revision, entries, now
	b.confirm(p)
}

// confirm grants the claims that stand in the store and drops the updates that
// do.
func (b *Ledger) confirm(p *partition) {
	p.claims = slices.DeleteFunc(p.claims, func(c *pending) bool {
		e, ok := find(p.entries, c.entry.Digest)
		if !ok || !e.same(c.entry) {
			return false
		}
		b.decide(c, Granted, e)
		return true
	})
	p.updates = slices.DeleteFunc(p.updates, func(u update) bool {
		e, ok := find(p.entries, u.entry.Digest)
		return ok && e.same(u.entry) && e.State == u.entry.State
	})
}
