package engine

import (
	"encoding/json"
	"fmt"
	"slices"
	"time"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/route"
)

// configState holds the active configuration and collects the parts of a newer one.
type configState struct {
	// active is immutable once it is published; a new configuration replaces it.
	active *model.Config
	// root is the root of active.
	root conf.Root
	// pending is the newest received root that is not active yet. Its Version is zero
	// if there is none, else above the Version of active.
	pending conf.Root
	// from is the peer that sent pending, "" for the store.
	from model.InstanceID
	// parts holds the documents of root and pending, and is served to peers.
	parts map[conf.Digest][]byte
	// pendingCost is the memory that the documents of pending in parts take when they are decoded.
	pendingCost int64
	// stored is the root that the store holds, at storedRevision, as last read at storedAt.
	// Its Version is zero if the store holds none.
	stored         conf.Root
	storedRevision int64
	storedAt       time.Time
	// rewritingSince is when the parts of root were written to a store that had lost it; zero
	// while it is not being written.
	rewritingSince time.Time
}

// rewriteDelay is the time after which an instance writes the active configuration to a store that
// has lost it; it is multiplied by the instance's position in the order of writers.
const rewriteDelay = time.Second

// recordStoredRoot records the root that the store holds.
func (e *Engine) recordStoredRoot(now time.Time, v event.RootReceived) {
	s := &e.config
	s.stored, s.storedRevision, s.storedAt, s.rewritingSince = v.Root, v.Revision, now, time.Time{}
}

// rewriteStoredRoot writes the active configuration to the store if that holds an older one: it was
// restored from an older copy. The parts are written one interval before the root.
func (e *Engine) rewriteStoredRoot(now time.Time) {
	s := &e.config
	if s.storedAt.IsZero() || e.storeDown || !s.root.Newer(s.stored) {
		return
	}
	live := e.Members.Live()
	rank := slices.Index(route.RankedOwners("root", live, len(live)), e.Self.ID)
	if now.Sub(s.storedAt) < time.Duration(rank)*rewriteDelay {
		return
	}
	if s.rewritingSince.IsZero() {
		s.rewritingSince = now
		for _, d := range s.root.Digests() {
			e.Emit(event.StoreSwap{Key: conf.PartPrefix + string(d), Value: s.parts[d]})
		}
		return
	}
	if now.Sub(s.rewritingSince) < maintenanceInterval {
		return
	}
	s.rewritingSince = time.Time{}
	data, err := json.Marshal(s.root)
	if err != nil {
		e.Emit(event.StateChanged{Kind: "configuration", Name: s.root.Change, To: "not-written", Cause: err.Error()})
		return
	}
	e.Emit(event.StoreSwap{Key: conf.RootKey, Revision: s.storedRevision, Value: data})
	e.Emit(event.StateChanged{
		Kind: "configuration", Name: s.root.Change, To: "written-again",
		Cause: fmt.Sprintf("the store holds version %d, %d is active", s.stored.Version, s.root.Version),
	})
}

// receiveRoot starts to fetch the parts of a newer configuration. Any other one is ignored
// whatever its source, so that a configuration never reverts.
func (e *Engine) receiveRoot(r conf.Root, from model.InstanceID) {
	s := &e.config
	if !r.Newer(s.root) || s.pending.Newer(r) {
		return
	}
	s.pending, s.from = r, from
	s.dropUnusedParts()
	e.fetchMissingParts()
}

// fetchMissingParts requests the missing parts both from the peer that sent the root
// and from the store, so that one of them is enough.
func (e *Engine) fetchMissingParts() {
	s := &e.config
	missingParts := s.missingParts()
	if len(missingParts) == 0 {
		e.activatePending()
		return
	}
	e.Emit(event.FetchParts{Digests: missingParts})
	if s.from != "" {
		e.Send(s.from, event.Message{GetParts: &event.GetParts{Digests: missingParts}})
	}
}

// missingParts returns the digests in pending whose documents are not in parts.
func (s *configState) missingParts() (out []conf.Digest) {
	for _, d := range s.pending.Digests() {
		if _, ok := s.parts[d]; !ok {
			out = append(out, d)
		}
	}
	return out
}

// receivePart stores a part if it is missing, and activates the pending configuration
// if it was the last one.
func (e *Engine) receivePart(p event.PartReceived) {
	s := &e.config
	if s.pending.Version == 0 || !conf.Matches(p.Digest, p.Data) {
		return
	}
	missing := s.missingParts()
	if !slices.Contains(missing, p.Digest) {
		return
	}
	s.pendingCost += conf.DocumentCost(p.Data)
	if e.configBytes > 0 && s.pendingCost > e.configBytes {
		e.Emit(event.StateChanged{Kind: "configuration", Name: s.pending.Change, To: "rejected", Cause: fmt.Sprintf("it takes more than the %d bytes of memory that there are for it", e.configBytes)})
		s.pending = conf.Root{}
		s.dropUnusedParts()
		return
	}
	s.parts[p.Digest] = p.Data
	if len(missing) == 1 {
		e.activatePending()
	}
}

// activatePending activates the pending configuration and forwards its root to peers.
func (e *Engine) activatePending() {
	s := &e.config
	c, err := conf.Join(s.pending, s.parts)
	if err != nil {
		e.Emit(event.StateChanged{Kind: "configuration", Name: "next", To: "rejected", Cause: err.Error()})
		s.pending = conf.Root{}
		return
	}
	s.active, s.root = &c, s.pending
	s.pending = conf.Root{}
	s.dropUnusedParts()
	e.Servers.Load(s.active)
	e.Warm.SetMembers(e.lastTick, e.liveInstances)
	e.Queries.Configure(s.active)
	deferredUpdates := e.deferredUpdates
	e.deferredUpdates = nil
	e.applyServerUpdates("", deferredUpdates)
	e.Emit(event.ActivateConfig{Config: c})
	e.Emit(event.StateChanged{Kind: "configuration", Name: c.Change, To: "in-force", Cause: "accepted by the store"})
	e.broadcastExcept(s.from, event.Message{Root: &event.RootUpdate{Root: s.root}})
}

// dropUnusedParts deletes the documents that neither the active nor the pending root refers to.
func (s *configState) dropUnusedParts() {
	keep := map[conf.Digest][]byte{}
	for _, d := range s.root.Digests() {
		keep[d] = s.parts[d]
	}
	s.pendingCost = 0
	for _, d := range s.pending.Digests() {
		if data, ok := s.parts[d]; ok {
			keep[d] = data
			s.pendingCost += conf.DocumentCost(data)
		}
	}
	s.parts = keep
}
