package engine

import (
	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// holder keeps the configuration in force and collects the parts of the next.
type holder struct {
	// inForce is never changed once it is handed out; a new one takes its place.
	inForce *model.Config
	// root is that of inForce.
	root conf.Root
	// next is the newest root seen that is not in force yet; its Version is zero
	// when there is none, else above that of inForce.
	next conf.Root
	// from is the peer that next came from, "" for the store.
	from model.InstanceID
	// parts holds the documents of root and next, and is served to peers.
	parts map[conf.Digest][]byte
}

// rootSeen starts to fetch the parts of a newer configuration. An older or equal
// version is ignored, whoever sends it: a configuration never reverts.
func (e *Engine) rootSeen(r conf.Root, from model.InstanceID) {
	h := &e.config
	if r.Version <= h.inForce.Version || r.Version < h.next.Version {
		return
	}
	h.next, h.from = r, from
	e.fetchNext()
}

// fetchNext asks for the parts that are missing: from the peer that sent the root
// and from the store, so that one of them is enough.
func (e *Engine) fetchNext() {
	h := &e.config
	missing := h.missing()
	if len(missing) == 0 {
		e.adopt()
		return
	}
	e.Emit(event.FetchParts{Digests: missing})
	if h.from != "" {
		e.Send(h.from, event.Message{GetParts: &event.GetParts{Digests: missing}})
	}
}

// missing returns the digests of next that parts lacks.
func (h *holder) missing() (out []conf.Digest) {
	for _, d := range h.next.Digests() {
		if _, ok := h.parts[d]; !ok {
			out = append(out, d)
		}
	}
	return out
}

// partSeen takes in a part that is wanted.
func (e *Engine) partSeen(p event.PartReceived) {
	h := &e.config
	if h.next.Version == 0 || !conf.Matches(p.Digest, p.Data) {
		return
	}
	for _, d := range h.missing() {
		if d == p.Digest {
			h.parts[d] = p.Data
		}
	}
	if len(h.missing()) == 0 {
		e.adopt()
	}
}

// adopt puts next into force and passes its root on.
func (e *Engine) adopt() {
	h := &e.config
	c, err := conf.Join(h.next, h.parts)
	if err != nil {
		e.Emit(event.StateChanged{Kind: "configuration", Name: "next", To: "rejected", Cause: err.Error()})
		h.next = conf.Root{}
		return
	}
	h.inForce, h.root = &c, h.next
	h.next = conf.Root{}
	h.dropParts()
	e.Servers.Load(h.inForce)
	e.Warm.SetMembers(e.lastTick, e.live)
	e.Queries.Configure(h.inForce)
	unplaced := e.unplaced
	e.unplaced = nil
	e.serversTold("", unplaced)
	e.Emit(event.ActivateConfig{Config: c})
	e.Emit(event.StateChanged{Kind: "configuration", Name: c.Change, To: "in-force", Cause: "accepted by the store"})
	e.broadcastBut(h.from, event.Message{Root: &event.RootUpdate{Root: h.root}})
}

// dropParts drops the documents that the root in force doesn't name.
func (h *holder) dropParts() {
	keep := map[conf.Digest][]byte{}
	for _, d := range h.root.Digests() {
		keep[d] = h.parts[d]
	}
	h.parts = keep
}
