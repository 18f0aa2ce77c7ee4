package roster

import "hyssoppitch/core/event"

// This file decides which of the servers that are listed at one address is there. The entry of a server that has
// ended stays for some seconds, in which another one may get its address.

// address holds the servers that are listed at one address. Another writer may list any number of them, so a change
// takes constant time, but for the search for the latest one after that has left or was superseded.
type address struct {
	servers map[*Server]struct{}
	// latest is the one that started last, of those for which no other server has answered; nil if there is none.
	// It is not valid while stale is set.
	latest *Server
	stale  bool
}

// occupy records a server at its address.
func (t *Table) occupy(s *Server) (changes []event.StateChanged) {
	a := t.addresses[s.Address]
	if a == nil {
		a = &address{servers: map[*Server]struct{}{}}
		t.addresses[s.Address] = a
	}
	s.address = a
	a.servers[s] = struct{}{}
	switch {
	case a.stale:
	case a.latest == nil:
		a.latest = s
	case a.latest.Life != s.Life:
		changes = append(changes, event.StateChanged{
			Kind: "address", Name: s.Address, From: a.latest.occupant(), To: s.occupant(), Cause: "both are listed",
		})
		if a.latest.Life < s.Life {
			a.latest = s
		}
	}
	return changes
}

// vacate removes a server from its address.
func (t *Table) vacate(s *Server) {
	a := s.address
	delete(a.servers, s)
	a.stale = a.stale || a.latest == s
	if len(a.servers) == 0 {
		delete(t.addresses, s.Address)
	}
}

// addressTaken reports whether a server that started later is listed at the address. Servers with the same start are
// told apart by their replies only. Logs call such a server replaced.
func (s *Server) addressTaken() bool {
	a := s.address
	if a == nil {
		return false
	}
	if a.stale {
		a.latest, a.stale = nil, false
		for o := range a.servers {
			if !o.Superseded && (a.latest == nil || a.latest.Life < o.Life) {
				a.latest = o
			}
		}
	}
	return a.latest != nil && s.Life < a.latest.Life
}

// occupant describes the server in logs of its address.
func (s *Server) occupant() string {
	return string(s.ID) + " of group " + s.Group + ", data centre " + s.DataCentre + ", started " + s.Life
}
