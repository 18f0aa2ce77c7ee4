package claim

import (
	"slices"
	"time"
)

// This file records claims again that the store has lost because it was restored from an older
// copy. Each instance knows the claims that it has read or written, and those of which its peers
// have told it, as the claimant may be down by then. While the instances write them again, no
// claim is granted: the store may not hold yet the one that the key has.

const (
	// grantDelay is the time after a restoration is noticed within which no claim is granted. All
	// instances notice it within some 2 s, by their watch of the store, and write their claims
	// again at once and, in case a write of the era before has replaced them, after recheckDelay.
	grantDelay   = 5 * time.Second
	recheckDelay = 4 * time.Second
	// maxCopyAge is the age of claims that are written again. It exceeds the age of the copies
	// from which stores are restored, and clocks may differ by some seconds.
	maxCopyAge = 2 * time.Minute
	// maxHeard limits the claims of peers that are kept for one partition.
	maxHeard = 256
)

// TakeUnshared returns this instance's claims that were granted or resolved since the last call,
// for its peers; nil if there are none.
func (l *Ledger) TakeUnshared() (data []byte, err error) {
	if len(l.unshared) == 0 {
		return nil, nil
	}
	defer func() { l.unshared = nil }()
	return encode(l.unshared)
}

// Learn remembers the claims of a peer.
func (l *Ledger) Learn(now time.Time, data []byte) (err error) {
	entries, err := decode(data)
	if err != nil {
		return err
	}
	oldest := now.Add(-maxCopyAge).Unix()
	for _, e := range entries {
		key := e.Digest.Partition()
		p := l.partitions[key]
		if p == nil {
			p = &partition{key: key}
			l.partitions[key] = p
		}
		p.heard = mergeLost(p.heard, e)
		p.heard = slices.DeleteFunc(p.heard, func(e Entry) bool { return e.ClaimedAt < oldest })
		p.heard = p.heard[max(0, len(p.heard)-maxHeard):]
	}
	return nil
}

// SetEra records the era of the store, which rises each time the store is restored from an older
// copy. It is called with each reply of the store.
func (l *Ledger) SetEra(now time.Time, era uint64) {
	if era <= l.era {
		return
	}
	l.starting = l.era == 0
	l.era = era
	l.grantsFrom = now.Add(grantDelay)
	if l.starting {
		// The store may have been restored just before this instance started.
		return
	}
	for _, key := range l.partitionKeys() {
		l.restorePartition(now, l.partitions[key])
	}
}

// ConfirmEra records that a peer has known the current era of the store for some time. An instance
// that has just started need not wait then: the peers have had time to write lost claims again.
func (l *Ledger) ConfirmEra(now time.Time, knownFor time.Duration) {
	if l.starting && knownFor >= grantDelay {
		l.starting = false
		l.grantsFrom = now
	}
}

// restorePartition schedules the recent claims of a partition to be written again.
func (l *Ledger) restorePartition(now time.Time, p *partition) {
	known := p.entries
	if p.opIsSwap && p.op != 0 {
		known = p.sentEntries
	}
	oldest := now.Add(-maxCopyAge).Unix()
	for _, e := range slices.Concat(p.lost, p.heard, known) {
		if e.ClaimedAt >= oldest {
			p.lost = mergeLost(p.lost, e)
		}
	}
	p.loaded, p.entries, p.retryAt = false, nil, time.Time{}
	if len(p.lost) == 0 {
		return
	}
	p.restoreAt, p.recheckAt = now, now.Add(recheckDelay)
	l.partition(p.key)
}

// mergeLost merges a known claim into entries that may lack it or hold an older state of the key.
func mergeLost(entries []Entry, e Entry) []Entry {
	for i, stored := range entries {
		if stored.Digest != e.Digest {
			continue
		}
		sameClaim := stored.sameClaim(e)
		if (sameClaim && stored.State == Claimed) || (!sameClaim && stored.State == Released) {
			entries[i] = e
		}
		return entries
	}
	return append(entries, e)
}

// endRestore ends a pass of writing claims again, once the store holds them. The first pass is
// followed by another one.
func (p *partition) endRestore() {
	p.restoreAt = p.recheckAt
	p.recheckAt = time.Time{}
	if p.restoreAt.IsZero() {
		p.lost = nil
	}
	// The next pass reads the partition again.
	p.loaded = false
}

// restoreDue reports whether claims of the partition are to be written again now.
func (p *partition) restoreDue(now time.Time) bool {
	return !p.restoreAt.IsZero() && !now.Before(p.restoreAt)
}
