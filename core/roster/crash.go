package roster

import (
	"time"

	"hyssoppitch/core/model"
)

const (
	// crashWindow is how long after an exchange broke off a refused connection shows that
	// the server had crashed: a process that is gone refuses connections at once.
	crashWindow = 2 * time.Second
	// maxBroken bounds the exchanges that are remembered per server.
	maxBroken = 32
)

// Broken is an exchange that broke off while its server may have been running it.
type Broken struct {
	Fingerprint model.Fingerprint
	// Alone is set when the request was suspected to crash servers and was tried on this
	// one alone.
	Alone bool
	at    time.Time
}

// BrokeOff records that an exchange ended without a reply.
func (h *Health) ConnectionBroke(now time.Time, f model.Fingerprint, alone bool) {
	h.broken = append(h.broken, Broken{Fingerprint: f, Alone: alone, at: now})
	if len(h.broken) > maxBroken {
		h.broken = h.broken[1:]
	}
}

// survived drops what broke off before a time at which the server was sent something that
// it answered: it had not crashed.
func (h *Health) dropSurvived(sentAt time.Time) {
	n := 0
	for n < len(h.broken) && h.broken[n].at.Before(sentAt) {
		n++
	}
	h.broken = h.broken[n:]
}

// Reached records that the server takes connections: it had not crashed.
func (h *Health) Reached() { h.broken = nil }

// Crashed returns, once each, the exchanges in flight at a crash that a refused connection
// shows.
func (h *Health) TakeBroken(now time.Time) (recent []Broken) {
	for _, b := range h.broken {
		if now.Sub(b.at) <= crashWindow {
			recent = append(recent, b)
		}
	}
	h.broken = nil
	return recent
}
