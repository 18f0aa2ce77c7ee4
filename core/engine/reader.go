package engine

import (
	"fmt"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/route"
)

// This file decides which instances of a data centre read the directory themselves.

const (
	// peerUpdateTimeout is the time without an update from a peer after which the second
	// instance in the order of readers reads the directory as well. Instances that read it
	// send an update about once a second.
	peerUpdateTimeout = 1600 * time.Millisecond
	// takeoverDelay is added to peerUpdateTimeout for each further instance in the order of
	// readers, up to maxTakeoverDelay, so that they don't all begin at once. It is the
	// interval at which the source is chosen.
	takeoverDelay    = maintenanceInterval
	maxTakeoverDelay = 2 * time.Second
	// firstRetryDelay and laterRetryDelay are the maximum delays between failed calls to the
	// directory, of the first two readers and the seeds, and of the others.
	firstRetryDelay = 800 * time.Millisecond
	laterRetryDelay = 2 * time.Second
	// readerTTL is how long a reader is remembered after its last update.
	readerTTL = 10 * time.Second
	// membershipSettleTime is the time after the start within which an instance that got the
	// directory from a peer doesn't become a reader: it doesn't know all members yet.
	membershipSettleTime = 2500 * time.Millisecond
)

// chooseDirectorySource decides whether this instance reads the directory itself, and
// asks a peer for it if the local copy may be stale.
func (e *Engine) chooseDirectorySource(now time.Time) {
	s := &e.directory
	switch active, cause := e.shouldReadDirectory(now); {
	case active && !s.active:
		s.active = true
		e.Emit(event.FollowDirectory{Active: true, Position: s.position, MaxRetryDelay: e.maxRetryDelay()})
		e.Emit(event.StateChanged{Kind: "directory-source", Name: string(e.Self.ID), To: "directory", Cause: cause})
	case !active && s.active:
		e.stopReadingDirectory(cause)
	}
	interval := directoryRequestInterval
	if !e.Roster.Loaded() {
		interval = startRequestInterval
		s.checkAt = now.Add(startCheckInterval)
	}
	if e.directoryMayBeStale(now) && now.Sub(s.requestedAt) >= interval {
		if peers := e.directoryPeers(now); len(peers) > 0 {
			e.requestDirectory(now, peers[s.requests%len(peers)])
		}
	}
}

// maxRetryDelay returns the maximum delay between failed calls. It is short for the first two
// readers, from which the others learn of the end of an outage.
func (e *Engine) maxRetryDelay() time.Duration {
	if e.readerRank() < 2 || e.directory.readsFirst {
		return firstRetryDelay
	}
	return laterRetryDelay
}

// stopReadingDirectory leaves the reading of the directory to peers.
func (e *Engine) stopReadingDirectory(cause string) {
	e.directory.active = false
	e.Emit(event.FollowDirectory{Active: false, Position: e.directory.position})
	e.Emit(event.StateChanged{Kind: "directory-source", Name: string(e.Self.ID), To: "peers", Cause: cause})
}

// shouldReadDirectory decides whether this instance reads the directory itself, and returns
// the reason.
func (e *Engine) shouldReadDirectory(now time.Time) (active bool, cause string) {
	s := &e.directory
	if !e.Roster.Loaded() {
		switch {
		case s.readsFirst || !now.Before(s.listAt):
			return true, "no copy from peers yet"
		case !s.listFailed && len(e.Members.Linked()) == 0 && !now.Before(s.listAt.Add(unlinkedListDelay-startListDelay)):
			return true, "no peers yet"
		}
		return false, "peers are asked first"
	}
	rank := e.readerRank()
	takeover := peerUpdateTimeout + min(time.Duration(max(rank-1, 0))*takeoverDelay, maxTakeoverDelay)
	age := now.Sub(s.peerAsOf)
	switch {
	case rank == 0 && (s.active || now.Sub(s.startedAt) > membershipSettleTime):
		return true, "first in the order of readers"
	case s.active && now.Sub(s.earlierReaderAsOf) <= peerUpdateTimeout:
		return false, "an instance that is earlier in the order of readers reads it"
	case s.active:
		return true, "no instance that is earlier in the order of readers reads it"
	case age > takeover:
		return true, fmt.Sprintf("last update from peers %s ago, number %d in the order of readers", age.Round(time.Millisecond), rank+1)
	}
	return false, "another instance of the data centre reads it"
}

// readerOrder returns the order of readers of this data centre. All live members count, with
// or without a link to this instance.
func (e *Engine) readerOrder() []model.InstanceID {
	var local []model.InstanceID
	for _, m := range e.Members.Rows() {
		if m.IsLive() && m.DataCentre == e.Self.DataCentre {
			local = append(local, m.ID)
		}
	}
	return route.RankedOwners("directory", local, len(local))
}

// readerRank returns the position of this instance in the order of readers; zero is the first.
func (e *Engine) readerRank() int {
	return max(0, slices.Index(e.readerOrder(), e.Self.ID))
}

// recordReader records an update that was read by an instance. It reports whether the update
// is to be forwarded: each reader's updates are, as several readers would not learn of each
// other otherwise.
func (e *Engine) recordReader(reader model.InstanceID, asOf time.Time) (forward bool) {
	s := &e.directory
	if reader == e.Self.ID {
		return false
	}
	order := e.readerOrder()
	if at := slices.Index(order, reader); at >= 0 && at < slices.Index(order, e.Self.ID) && asOf.After(s.earlierReaderAsOf) {
		s.earlierReaderAsOf = asOf
	}
	if s.readers == nil {
		s.readers = map[model.InstanceID]time.Time{}
	}
	for id, at := range s.readers {
		if asOf.Sub(at) > readerTTL {
			delete(s.readers, id)
		}
	}
	if asOf.Sub(s.readers[reader]) <= minForwardFreshness {
		return false
	}
	s.readers[reader] = asOf
	return true
}
