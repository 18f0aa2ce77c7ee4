package roster

import (
	"time"

	"hyssoppitch/core/event"
)

// This file decides what the listing of a directory changes that was restored from an older
// copy. Operators and servers write their entries again, but the listing may come before that:
// until they do, what was known before takes precedence over older entries, and what the copy
// lacks is kept for some time.

const (
	// departureTTL is the time for which removed servers are remembered. It exceeds the age of
	// the copies from which directories are restored.
	departureTTL = 2 * time.Minute
	// maxDepartures limits the removed servers that are remembered.
	maxDepartures = 4096
	// evacuationGrace is the time for which evacuations that the copy lacks are kept.
	evacuationGrace = 5 * time.Second
)

// departure is a server that was removed.
type departure struct {
	life     string
	sequence uint64
	at       time.Time
	// leaving and awayUntil are what the server has said of itself.
	leaving   bool
	awayUntil time.Time
}

// recordDeparture remembers a server that is being removed.
func (t *Table) recordDeparture(now time.Time, s *Server) {
	if len(t.departed) >= maxDepartures {
		for key, d := range t.departed {
			if now.Sub(d.at) > departureTTL {
				delete(t.departed, key)
			}
		}
	}
	if len(t.departed) < maxDepartures {
		t.departed[s.Key] = departure{life: s.Life, sequence: s.Sequence, at: now, leaving: s.Leaving, awayUntil: s.awayUntil}
	}
}

// outdated reports whether an entry of a restored directory is older than what is known of its
// server.
func (t *Table) outdated(now time.Time, c event.DirectoryChange) bool {
	r := c.Server
	if r == nil {
		return false
	}
	if s := t.servers[c.Key]; s != nil {
		if r.Life != s.Life {
			return r.Life < s.Life
		}
		return r.Sequence < s.Sequence || (r.Sequence == s.Sequence && s.Draining)
	}
	d, ok := t.departed[c.Key]
	if !ok || now.Sub(d.at) > departureTTL {
		return false
	}
	return r.Life < d.life || (r.Life == d.life && r.Sequence <= d.sequence)
}

// handleUnlisted handles a known key that a full listing lacks. An evacuation that a restored
// directory lacks is kept for evacuationGrace.
func (t *Table) handleUnlisted(now time.Time, key string) []event.StateChanged {
	if _, ok := t.evacuated[key]; ok && !t.restoredAt.IsZero() && now.Before(t.restoredAt.Add(evacuationGrace)) {
		t.unconfirmed[key] = true
		return nil
	}
	return t.handleMissing(now, key)
}

// endUnconfirmed ends the evacuations that were not written again in time.
func (t *Table) endUnconfirmed(now time.Time) (changes []event.StateChanged) {
	if len(t.unconfirmed) == 0 || t.unreachable || now.Before(t.restoredAt.Add(evacuationGrace)) {
		return nil
	}
	for _, key := range t.keys() {
		if t.unconfirmed[key] {
			changes = append(changes, t.handleMissing(now, key)...)
		}
	}
	return changes
}
