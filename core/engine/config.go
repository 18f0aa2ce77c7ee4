package engine

import (
	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// holder keeps the configuration in force and collects the parts of the next.
type configState struct {
	// inForce is never changed once it is handed out; a new one takes its place.
	active *model.Config
	// root is that of inForce.
	root conf.Root
	// next is the newest root seen that is not in force yet; its Version is zero
	// when there is none, else above that of inForce.
	pending conf.Root
	// from is the peer that next came from, "" for the store.
	from model.InstanceID
	// parts holds the documents of root and next, and is served to peers.
	parts map[conf.Digest][]byte
}

// rootSeen starts to fetch the parts of a newer configuration. An older or equal
// version is ignored, whoever sends it: a configuration never reverts.
func (e *Engine) receiveRoot(r conf.Root, from model.InstanceID) {
	h := &e.config
	if r.Version <= h.active.Version || r.Version < h.pending.Version {
		return
	}
	h.pending, h.from = r, from
	e.fetchMissingParts()
}

// fetchNext asks for the parts that are missing: from the peer that sent the root
// and from the store, so that one of them is enough.
func (e *Engine) fetchMissingParts() {
	h := &e.config
	missingParts := h.missingParts()
	if len(missingParts) == 0 {
		e.activatePending()
		return
	}
	e.Emit(event.FetchParts{Digests: missingParts})
	if h.from != "" {
		e.Send(h.from, event.Message{GetParts: &event.GetParts{Digests: missingParts}})
	}
}

// missing returns the digests of next that parts lacks.
func (h *configState) missingParts() (out []conf.Digest) {
	for _, d := range h.pending.Digests() {
		if _, ok := h.parts[d]; !ok {
			out = append(out, d)
		}
	}
	return out
}

// partSeen takes in a part that is wanted.
func (e *Engine) receivePart(p event.PartReceived) {
	h := &e.config
	if h.pending.Version == 0 || !conf.Matches(p.Digest, p.Data) {
		return
	}
	for _, d := range h.missingParts() {
		if d == p.Digest {
			h.parts[d] = p.Data
		}
	}
	if len(h.missingParts()) == 0 {
		e.activatePending()
	}
}

// adopt puts next into force and passes its root on.
func (e *Engine) activatePending() {
	h := &e.config
	c, err := conf.Join(h.pending, h.parts)
	if err != nil {
		e.Emit(event.StateChanged{Kind: "configuration", Name: "next", To: "rejected", Cause: err.Error()})
		h.pending = conf.Root{}
		return
	}
	h.active, h.root = &c, h.pending
	h.pending = conf.Root{}
	h.dropUnusedParts()
	e.Servers.Load(h.active)
	e.Warm.SetMembers(e.lastTick, e.live)
	e.Queries.Configure(h.active)
	deferredUpdates := e.deferredUpdates
	e.deferredUpdates = nil
	e.applyServerUpdates("", deferredUpdates)
	e.Emit(event.ActivateConfig{Config: c})
	e.Emit(event.StateChanged{Kind: "configuration", Name: c.Change, To: "in-force", Cause: "accepted by the store"})
	e.broadcastExcept(h.from, event.Message{Root: &event.RootUpdate{Root: h.root}})
}

// dropParts drops the documents that the root in force doesn't name.
func (h *configState) dropUnusedParts() {
	keep := map[conf.Digest][]byte{}
	for _, d := range h.root.Digests() {
		keep[d] = h.parts[d]
	}
	h.parts = keep
}
