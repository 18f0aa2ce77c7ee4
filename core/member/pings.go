package member

import (
	"slices"
	"time"
)

// maxOutstanding is the number of pings that are remembered without an answer. A link on which nothing
// arrives for that long is closed.
const maxOutstanding = 4

// pings measures the time to the nearest peer and back by the first answer to each ping, which goes to all
// linked peers at once.
type pings struct {
	// outstanding holds when the pings were sent to which no peer has answered yet, oldest first.
	outstanding []time.Time
	// roundTrip is the time that the first answer to the last answered ping took.
	roundTrip time.Duration
}

// RecordPing records that a ping was sent to all peers with a link.
func (v *View) RecordPing(now time.Time) {
	if !slices.ContainsFunc(v.members, func(m *Member) bool { return m.Linked }) {
		v.pings = pings{}
		return
	}
	p := &v.pings
	if len(p.outstanding) == maxOutstanding {
		p.outstanding = slices.Delete(p.outstanding, 0, 1)
	}
	p.outstanding = append(p.outstanding, now)
}

func (p *pings) answered(now, sentAt time.Time) {
	i := slices.IndexFunc(p.outstanding, func(at time.Time) bool { return at.UnixNano() == sentAt.UnixNano() })
	if i < 0 {
		return
	}
	p.roundTrip = now.Sub(p.outstanding[i])
	p.outstanding = slices.Delete(p.outstanding, 0, i+1)
}

// RoundTrip returns the time that a message to the nearest peer and its answer take at present, or zero if
// that is not known. It includes what messages wait for this machine's link and processor. While a ping is
// unanswered, it is at least the age of the ping.
func (v *View) RoundTrip(now time.Time) time.Duration {
	p := &v.pings
	if len(p.outstanding) == 0 {
		return p.roundTrip
	}
	return max(p.roundTrip, now.Sub(p.outstanding[0]))
}
