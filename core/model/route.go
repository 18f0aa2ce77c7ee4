package model

import (
	"strings"
	"time"
)

// Route defines how the requests for one path prefix of one host are handled.
type Route struct {
	// Name is unique within a routing table.
	Name string
	Host string
	// Prefix is a path prefix of complete segments: it begins and ends with a slash.
	Prefix string
	// Idempotent requests may be executed more than once.
	Idempotent bool
	// Timeout is the time limit for an answer. Target is the latency goal: an answer
	// within it has the full value for the caller. Zero means none.
	Timeout time.Duration
	Target  time.Duration
	// Attempts is the maximum number of backend servers of one group that may
	// execute a request; at least 1.
	Attempts int
	// Priority ranks the routes; 0 is the most urgent.
	Priority int
	// Public requests need no key of a customer.
	Public bool
	// Regions lists the regions whose servers may execute a request; empty allows all.
	Regions []string
	// Shares distributes the requests among groups in proportion to their weights. A
	// route has either Shares or Gather.
	Shares []Share
	// Gather lists the groups that all get the request; the answer is merged from
	// their replies.
	Gather []string
	// MergeTop is the number of records in a merged answer.
	MergeTop int
	// LeastCoverage is the minimum fraction of the groups in Gather, in [0, 1], that must
	// answer; with fewer the request is refused.
	LeastCoverage float64
}

// Share is the share of a route's requests that one group gets.
type Share struct {
	Group string
	// Weight is relative to the other shares of the route; it is above zero.
	Weight float64
}

// Pool holds the limits of the backend servers of one group.
type Pool struct {
	Group string
	// Connections is the number of connections that one server accepts from all
	// instances together; zero means no limit.
	Connections int
	// ColdPerSecond is the number of requests per second that a cold server can take
	// from all instances together; zero means no limit.
	ColdPerSecond float64
	// WarmUp is how long a server is cold after a start.
	WarmUp time.Duration
}

// CallerLimits limits the size of callers' requests. Zero means no limit.
type CallerLimits struct {
	HeaderBytes int
	BodyBytes   int64
}

// RoutingTable is one version of the routes and the limits. A published table is
// immutable.
type RoutingTable struct {
	// Version increases with each change. Zero means that no table has been read yet.
	Version uint64
	Routes  []Route
	Pools   []Pool
	Limits  CallerLimits
	// RequireKeys is set if the configuration lists customers, even if none of them is valid. A
	// request then needs the key of one of Customers, unless its route is public.
	RequireKeys bool
	Customers   []Customer
	// Problems describes the parts of the configuration that are invalid and left out.
	Problems []string
}

// Match returns the route of the host whose prefix is the longest that the path begins
// with, or nil if there is none.
func (t *RoutingTable) Match(host, path string) (best *Route) {
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Host == host && strings.HasPrefix(path, r.Prefix) && (best == nil || len(r.Prefix) > len(best.Prefix)) {
			best = r
		}
	}
	return best
}

// Pool returns the limits of a group's servers. A group without an entry has no
// limits.
func (t *RoutingTable) Pool(group string) Pool {
	for _, p := range t.Pools {
		if p.Group == group {
			return p
		}
	}
	return Pool{Group: group}
}

// Customer returns the customer with a name, or nil.
func (t *RoutingTable) Customer(name string) *Customer {
	for i := range t.Customers {
		if t.Customers[i].Name == name {
			return &t.Customers[i]
		}
	}
	return nil
}

// Groups returns the groups that a request of the route may be sent to.
func (r *Route) Groups() []string {
	if len(r.Gather) > 0 {
		return r.Gather
	}
	out := make([]string, len(r.Shares))
	for i, s := range r.Shares {
		out[i] = s.Group
	}
	return out
}

// Registration is a backend server's own entry in the directory.
type Registration struct {
	// ID identifies the server. A restarted server may register with the same ID.
	ID ServerID
	// Life identifies one incarnation of the server with this ID. That of a later one is
	// usually greater; the server's clock may have been set back meanwhile.
	Life string
	// Sequence increases with each entry that an incarnation writes; zero if unknown.
	Sequence   uint64
	Address    string
	DataCentre string
	Group      string
	// Slots is the number of requests that the server executes concurrently.
	Slots int
	// Draining is set by a server that is shutting down.
	Draining bool
	// ColdFor is how long the server stays cold, from the time when the registration
	// was read.
	ColdFor time.Duration
	// Version is the version of the server's program; empty if the server names none.
	Version string `cbor:",omitempty" json:",omitempty"`
}
