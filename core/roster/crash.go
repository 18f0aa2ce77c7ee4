package roster

import (
	"slices"
	"time"

	"hyssoppitch/core/model"
)

const (
	// crashWindow is the time after a broken exchange within which a refused connection
	// shows that the server crashed: connections to a dead process are refused at once.
	crashWindow = 2 * time.Second
	// maxBroken limits the broken exchanges that are kept per server.
	maxBroken = 32
)

// Broken is an exchange whose connection broke while the server may have been executing it.
type Broken struct {
	model.Identity
	// WasIsolated is set if the request was suspected of crashing servers and was isolated: it
	// was executed by this server only, with no other isolated request.
	WasIsolated bool
	at          time.Time
}

// ConnectionBroke records that the connection of an exchange broke before a reply.
func (h *Health) ConnectionBroke(now time.Time, id model.Identity, isolated bool) {
	h.broken = append(h.broken, Broken{Identity: id, WasIsolated: isolated, at: now})
	if len(h.broken) > maxBroken {
		h.broken = h.broken[1:]
	}
}

// dropSurvived removes the exchanges that broke before sentAt, the time of sending of a
// request that the server answered: the server had not crashed.
func (h *Health) dropSurvived(sentAt time.Time) {
	n := 0
	for n < len(h.broken) && h.broken[n].at.Before(sentAt) {
		n++
	}
	h.broken = h.broken[n:]
}

// Reached records that the server accepted a connection at the given time, so that it had not crashed
// before. It reports whether other exchanges broke later.
func (h *Health) Reached(at time.Time) (brokeLater bool) {
	h.broken = slices.DeleteFunc(h.broken, func(b Broken) bool { return !b.at.After(at) })
	return len(h.broken) > 0
}

// TakeBroken returns and removes the broken exchanges that were in flight at a crash. It is
// called when a refused connection shows that the server crashed.
func (h *Health) TakeBroken(now time.Time) (recent []Broken) {
	for _, b := range h.broken {
		if now.Sub(b.at) <= crashWindow {
			recent = append(recent, b)
		}
	}
	h.broken = nil
	return recent
}
