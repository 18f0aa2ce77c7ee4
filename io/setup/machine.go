package setup

import (
	"math"

	"hyssoppitch/core/conf"
)

// Machine describes what the machine gives the process. The limits on what clients use are derived
// from it.
type Machine struct {
	// MemoryMB may have a fraction, as platforms divide machines.
	MemoryMB    float64 `json:"memory-mb" help:"memory of the process and its sockets, in units of 2^20 bytes" want:"32 or more; 0: what the operating system lets the process use"`
	Descriptors int     `json:"descriptors" help:"descriptors that the process may have open" want:"128 or more; 0: as many as the operating system allows"`
}

// Callers are the limits on callers' connections and requests, beside those of the routing
// configuration.
type Callers struct {
	Connections int `json:"connections" help:"open connections of callers" want:"1 or more; 0: by machine"`
	PerAddress  int `json:"connections-per-address" help:"open connections of callers from one IP number; a balancer may forward many callers from one" want:"1 or more; 0: only the total is limited"`
	HeaderLines int `json:"header-lines" help:"lines of a header section" want:"64 or more"`
}

const (
	minMemoryMB    = 32
	maxMemoryMB    = 1 << 24
	minDescriptors = 128
	minHeaderLines = 64
)

func (m *Machine) check(ps *conf.Problems) {
	// The comparison is false for a number that is not finite, too.
	if m.MemoryMB != 0 && !(m.MemoryMB >= minMemoryMB && m.MemoryMB <= maxMemoryMB) {
		ps.Add("machine.memory-mb", m.MemoryMB, "32 or more; 0: what the operating system lets the process use")
	}
	if m.Descriptors != 0 && (m.Descriptors < minDescriptors || m.Descriptors > math.MaxInt32) {
		ps.Add("machine.descriptors", m.Descriptors, "128 or more; 0: as many as the operating system allows")
	}
}

func (c *Callers) check(ps *conf.Problems) {
	if c.Connections < 0 {
		ps.Add("callers.connections", c.Connections, "1 or more; 0: by machine")
	}
	if c.PerAddress < 0 {
		ps.Add("callers.connections-per-address", c.PerAddress, "1 or more; 0: only the total is limited")
	}
	if c.HeaderLines < minHeaderLines {
		ps.Add("callers.header-lines", c.HeaderLines, "64 or more")
	}
}
