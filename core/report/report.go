// Package report shares what single instances have found out about backend servers that are slow,
// unresponsive or failing. In a large fleet an instance meets a given server too rarely to notice by
// itself.
//
// An instance sends its reports to the collector of its area (package usage), which passes them to the
// other collectors and to its members. A report raises the rank of a server only together with one of
// another instance or with evidence of this one's own. It expires unless it is renewed.
package report

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

const (
	// MinInstances is the number of instances from which reports are exchanged. In a smaller deployment
	// each instance has enough evidence of its own.
	MinInstances = 12
	// MaxAge is the age at which a report expires. Each instance lets it expire up to expirySpread
	// earlier, so that not all return to the server at once.
	MaxAge       = 3 * time.Second
	expirySpread = 800 * time.Millisecond
	// renewAge is the age up to which an instance's report isn't renewed, and the reports of two others
	// make a further one unnecessary.
	renewAge = 1200 * time.Millisecond
	// enough is the number of reporters that are passed on, and that suffice to raise the rank of a
	// server.
	enough = 2
	// confirmTime is the age up to which slow answers that a pause may explain confirm a report.
	confirmTime = 500 * time.Millisecond
	// returnSpread is the time over which the instances return to a server that has recovered.
	returnSpread = time.Second
	// sameReport is the difference of age within which two reports of an instance are taken for the
	// same: the age doesn't include the time in the network.
	sameReport = 200 * time.Millisecond
	// flushInterval is the minimum time between two messages to a peer.
	flushInterval = 100 * time.Millisecond
	// MaxEntries limits the reports of a message, maxRate those that are sent to each peer per second,
	// and maxBurst those that are sent at once or wait, when many servers become slow together.
	MaxEntries = 32
	maxRate    = 40
	maxBurst   = 96
	// MaxMultiple limits the reported latency.
	MaxMultiple = 20
	// maxServers limits the servers that reports are kept for.
	maxServers = 4096
	// minNetworkServers is the number of servers of a data centre, if it is more than half of them,
	// whose reports by one data centre show trouble of the network between the two.
	minNetworkServers = 3
	// failureRate is assumed for a server that is reported to fail.
	failureRate = 0.3
	// minLogInterval is the minimum time between two log lines.
	minLogInterval = time.Second
)

// Sender sends messages to peers and logs changes of state.
type Sender interface {
	Send(to model.InstanceID, m event.Message)
	Emit(c event.Command)
}

// Peers says who exchanges reports with whom.
type Peers struct {
	// Collector is the collector of this instance's area, and Collectors holds all collectors.
	Collector  model.InstanceID
	Collectors []model.InstanceID
	// Members are the other instances of the area, if this instance is its collector.
	Members []model.InstanceID
}

// Counters counts the work of a table.
type Counters struct {
	// Made counts the reports on servers that this instance made, Recovered those that a server has
	// recovered, and Withheld those that it didn't make because it found most servers of a data
	// centre, or of all, slow.
	Made      uint64 `json:"reports-made"`
	Recovered uint64 `json:"reports-recovered"`
	Withheld  uint64 `json:"reports-withheld"`
	// Received counts the reports received that were new, MessagesSent and EntriesSent what was sent,
	// and Dropped the reports that exceeded the limits or named unknown servers or instances.
	Received     uint64 `json:"reports-received"`
	MessagesSent uint64 `json:"reports-messages-sent"`
	EntriesSent  uint64 `json:"reports-entries-sent"`
	Dropped      uint64 `json:"reports-dropped"`
	// Avoided counts the choices among servers in which one was ranked lower by reports, and Probes
	// those in which reports were passed over to find out whether the server has recovered.
	Avoided uint64 `json:"reports-applied"`
	Probes  uint64 `json:"reports-probes"`
}

// evidence is the latest report of one instance on a server.
type evidence struct {
	kind     event.ReportKind
	multiple int
	at       time.Time
	// passedAt is the evidence's time when it was last queued for others; zero if it wasn't.
	passedAt time.Time
}

// server holds the reports on one server.
type server struct {
	// spread is the draw of this instance, in [0, 1), by which it returns earlier or later than others.
	spread  float64
	reports map[uint32]*evidence
	// healthyAt is when the latest answer in time arrived that was reported, and returnAt when this
	// instance applies it to the reports before it.
	healthyAt, returnAt time.Time
}

// entry identifies a report that is to be sent.
type entry struct {
	server   uint64
	reporter uint32
	healthy  bool
	// toCollectors is set for a report of the own area.
	toCollectors bool
}

// Table holds the reports that an instance knows.
type Table struct {
	Self     model.InstanceID
	Out      Sender
	Rand     *rand.Rand
	Counters Counters

	peers     Peers
	self      uint32
	reporters map[uint32]string
	// known maps the servers to their data centres, and inDataCentre counts them.
	known        map[uint64]string
	inDataCentre map[string]int
	servers      map[uint64]*server
	queue        []entry
	nextFlush    time.Time
	// allowance is the number of reports that may be sent to each peer, as of allowedAt.
	allowance float64
	allowedAt time.Time
	// network holds the pairs of data centres between which reports show trouble of the network, as of
	// networkAt.
	network   map[[2]string]bool
	networkAt time.Time
	logged    int
	loggedAt  time.Time
}

// New returns an empty table.
func New(self model.Instance, out Sender, r *rand.Rand) *Table {
	return &Table{Self: self.ID, Out: out, Rand: r, self: instanceKey(self.ID), reporters: map[uint32]string{}, servers: map[uint64]*server{}}
}

// Key returns the key of an incarnation of a server.
func Key(id model.ServerID, life string) uint64 {
	return xxhash.Sum64String(string(id) + "\x00" + life)
}

func instanceKey(id model.InstanceID) uint32 {
	return uint32(xxhash.Sum64String(string(id)) >> 32) //nolint:gosec // 32 bits remain
}

// SetPeers sets the live instances and who exchanges reports with whom.
func (t *Table) SetPeers(live []model.Instance, p Peers) {
	clear(t.reporters)
	for _, m := range live {
		t.reporters[instanceKey(m.ID)] = m.DataCentre
	}
	t.peers = p
}

// SetServers sets the data centres of the servers. Reports on others are dropped.
func (t *Table) SetServers(known map[uint64]string) {
	t.known, t.inDataCentre = known, map[string]int{}
	for _, dataCentre := range known {
		t.inDataCentre[dataCentre]++
	}
	for key := range t.servers {
		if _, ok := known[key]; !ok {
			delete(t.servers, key)
		}
	}
}

// Empty reports whether no report is known.
func (t *Table) Empty() bool { return len(t.servers) == 0 }

// Report records that an exchange of this instance with a server was slow or failed.
func (t *Table) Report(now time.Time, key uint64, kind event.ReportKind, multiple float64) {
	e := event.HealthReport{Server: key, Reporter: t.self, Kind: kind}
	if kind == event.ReportSlow {
		e.Multiple = int(max(1, min(multiple, MaxMultiple)))
	}
	if t.add(now, now, e, true) {
		t.Counters.Made++
	}
}

// ReportHealthy records an answer in time to a request that was sent at a time. Others are told if there
// are older reports of slowness.
func (t *Table) ReportHealthy(now, sentAt time.Time, key uint64) {
	s := t.servers[key]
	if s == nil {
		return
	}
	var last time.Time
	for _, r := range s.reports {
		if r.kind == event.ReportSlow && now.Sub(r.at) < MaxAge && r.at.After(last) {
			last = r.at
		}
	}
	if last.IsZero() || !sentAt.After(last) || s.healthyAt.After(last) {
		return
	}
	t.Counters.Recovered++
	t.add(now, now, event.HealthReport{Server: key, Reporter: t.self, Kind: event.ReportHealthy}, true)
}

// Handle applies the reports of a peer. Those from a member of the area are passed on to the other
// collectors and the members, those from another collector only to the members.
func (t *Table) Handle(now time.Time, from model.InstanceID, m *event.HealthReports) {
	fromArea := !slices.Contains(t.peers.Collectors, from)
	for _, e := range m.Entries {
		if _, known := t.reporters[e.Reporter]; !known || e.Reporter == t.self {
			t.Counters.Dropped++
			continue
		}
		if t.add(now, now.Add(-time.Duration(e.AgeMillis)*time.Millisecond), e, fromArea) {
			t.Counters.Received++
		}
	}
}

// add records a report and queues it if others need it. It returns false if the report is not new.
func (t *Table) add(now, at time.Time, e event.HealthReport, toCollectors bool) (added bool) {
	if _, ok := t.known[e.Server]; !ok || now.Sub(at) >= MaxAge {
		t.Counters.Dropped++
		return false
	}
	s := t.servers[e.Server]
	if e.Kind == event.ReportHealthy {
		return s != nil && t.addHealthy(now, at, s, e, toCollectors)
	}
	if s == nil {
		if len(t.servers) >= maxServers {
			t.Counters.Dropped++
			return false
		}
		s = &server{spread: t.Rand.Float64(), reports: map[uint32]*evidence{}}
		t.servers[e.Server] = s
	}
	r := s.reports[e.Reporter]
	if r == nil {
		r = &evidence{}
		s.reports[e.Reporter] = r
	}
	if !r.at.IsZero() && at.Sub(r.at) < sameReport {
		return false
	}
	r.kind, r.multiple, r.at = e.Kind, e.Multiple, at
	if s.needs(now, e.Reporter) {
		r.passedAt = at
		t.push(entry{server: e.Server, reporter: e.Reporter, toCollectors: toCollectors})
	}
	return true
}

// addHealthy records that a server has recovered, and queues it.
func (t *Table) addHealthy(now, at time.Time, s *server, e event.HealthReport, toCollectors bool) (added bool) {
	for _, r := range s.reports {
		added = added || r.kind == event.ReportSlow && r.at.After(s.healthyAt) && !r.at.After(at)
	}
	if !added {
		return false
	}
	s.healthyAt, s.returnAt = at, now.Add(time.Duration(s.spread*float64(returnSpread)))
	t.push(entry{server: e.Server, reporter: e.Reporter, healthy: true, toCollectors: toCollectors})
	return true
}

// needs reports whether a new report of an instance is to be passed on: neither an earlier one of the same
// instance nor those of others that were passed on suffice.
func (s *server) needs(now time.Time, reporter uint32) bool {
	passed := 0
	for id, o := range s.reports {
		if o.passedAt.IsZero() || now.Sub(o.passedAt) >= renewAge || (o.kind == event.ReportSlow && !o.passedAt.After(s.healthyAt)) {
			continue
		}
		if id == reporter {
			return false
		}
		passed++
	}
	return passed < enough
}

// ended reports whether the server has recovered since the report.
func (r *evidence) ended(s *server) bool {
	return r.kind == event.ReportSlow && !r.at.After(s.healthyAt)
}

// applies reports whether a report counts. One that a recovery has ended does until the instance returns
// to the server.
func (s *server) applies(now time.Time, r *evidence) bool {
	return now.Sub(r.at) < MaxAge-time.Duration(s.spread*float64(expirySpread)) && (!r.ended(s) || now.Before(s.returnAt))
}

// Verdict is what reports say of a server.
type Verdict struct {
	// Multiple is the server's latency as a multiple of that of a healthy server; zero if nothing is
	// known.
	Multiple float64
	// FailureRate is the fraction of failed exchanges to assume.
	FailureRate float64
}

// Verdict returns what the reports say of a server. ok is false unless two instances have reported it, or
// one other has and suspected is set because of weak evidence of this instance's own.
func (t *Table) Verdict(now time.Time, key uint64, suspected bool) (v Verdict, ok bool) {
	s := t.servers[key]
	if s == nil {
		return v, false
	}
	t.findNetworkTrouble(now)
	reporters, own := 0, false
	multiples := [enough]int{}
	failing := false
	for id, r := range s.reports {
		if !s.applies(now, r) || (len(t.network) > 0 && t.network[[2]string{t.reporters[id], t.known[key]}]) {
			continue
		}
		reporters++
		own = own || id == t.self
		failing = failing || r.kind == event.ReportFailing
		// The second highest, as one report alone may exaggerate.
		switch {
		case r.multiple > multiples[0]:
			multiples[1], multiples[0] = multiples[0], r.multiple
		case r.multiple > multiples[1]:
			multiples[1] = r.multiple
		}
	}
	if reporters < enough && (reporters == 0 || own || !suspected) {
		return v, false
	}
	v.Multiple = float64(multiples[0])
	if multiples[1] > 0 {
		v.Multiple = float64(multiples[1])
	}
	if failing {
		v.FailureRate = failureRate
	}
	return v, true
}

// Confirms reports whether slow answers of this instance that a pause may explain are worth a report on a
// server: two instances have reported it, or another one has just now. A pause that follows an older
// report of one instance would otherwise confirm it.
func (t *Table) Confirms(now time.Time, key uint64) bool {
	s := t.servers[key]
	if s == nil {
		return false
	}
	for id, r := range s.reports {
		if id != t.self && now.Sub(r.at) < confirmTime && s.applies(now, r) {
			return true
		}
	}
	_, ok := t.Verdict(now, key, false)
	return ok
}
