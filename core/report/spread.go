package report

import (
	"fmt"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// This file passes reports on, forgets old ones, and recognizes trouble of the network.

// push queues a report that isn't queued yet.
func (t *Table) push(e entry) {
	if !e.toCollectors && t.peers.Collector != t.Self {
		return
	}
	for _, q := range t.queue {
		if q == e {
			return
		}
	}
	if len(t.queue) >= maxBurst {
		t.Counters.Dropped++
		return
	}
	t.queue = append(t.queue, e)
}

// Tick sends what is due and forgets what has expired. It returns when it must be called again; zero if
// nothing is known.
func (t *Table) Tick(now time.Time) (due time.Time) {
	if len(t.servers) == 0 {
		t.queue = nil
		t.log(now)
		return time.Time{}
	}
	if now.Before(t.nextFlush) {
		return t.nextFlush
	}
	t.nextFlush = now.Add(flushInterval)
	t.expire(now)
	t.flush(now)
	t.log(now)
	if len(t.servers) == 0 {
		return time.Time{}
	}
	return t.nextFlush
}

// expire forgets expired reports.
func (t *Table) expire(now time.Time) {
	for key, s := range t.servers {
		for id, r := range s.reports {
			if now.Sub(r.at) >= MaxAge {
				delete(s.reports, id)
			}
		}
		if len(s.reports) == 0 && now.Sub(s.healthyAt) >= MaxAge {
			delete(t.servers, key)
		}
	}
}

// flush sends queued reports, as many as are allowed.
func (t *Table) flush(now time.Time) {
	t.allowance = min(maxBurst, t.allowance+maxRate*now.Sub(t.allowedAt).Seconds())
	t.allowedAt = now
	n := min(len(t.queue), MaxEntries, int(t.allowance))
	if n == 0 {
		return
	}
	t.allowance -= float64(n)
	var all, area []event.HealthReport
	for _, q := range t.queue[:n] {
		e, ok := t.message(now, q)
		if !ok {
			continue
		}
		all = append(all, e)
		if q.toCollectors {
			area = append(area, e)
		}
	}
	t.queue = append([]entry(nil), t.queue[n:]...)
	if t.peers.Collector != t.Self {
		t.sendTo(t.peers.Collector, area, t.self)
		return
	}
	for _, id := range t.peers.Collectors {
		if id != t.Self {
			t.sendTo(id, area, 0)
		}
	}
	for _, id := range t.peers.Members {
		t.sendTo(id, all, 0)
	}
}

// message returns a queued report as it is sent, unless it has ended meanwhile.
func (t *Table) message(now time.Time, q entry) (e event.HealthReport, ok bool) {
	s := t.servers[q.server]
	if s == nil {
		return e, false
	}
	e = event.HealthReport{Server: q.server, Reporter: q.reporter, Kind: event.ReportHealthy}
	at := s.healthyAt
	if !q.healthy {
		r := s.reports[q.reporter]
		if r == nil || r.ended(s) {
			return e, false
		}
		e.Kind, e.Multiple, at = r.kind, r.multiple, r.at
	}
	e.AgeMillis = max(0, now.Sub(at).Milliseconds())
	return e, true
}

// sendTo sends reports to a peer, without its own and, unless only is zero, without those of others than
// only.
func (t *Table) sendTo(to model.InstanceID, entries []event.HealthReport, only uint32) {
	receiver := instanceKey(to)
	var out []event.HealthReport
	for _, e := range entries {
		if e.Reporter != receiver && (only == 0 || e.Reporter == only) {
			out = append(out, e)
		}
	}
	if len(out) == 0 || to == "" {
		return
	}
	t.Counters.MessagesSent++
	t.Counters.EntriesSent += uint64(len(out))
	t.Out.Send(to, event.Message{Reports: &event.HealthReports{Entries: out}})
}

// findNetworkTrouble finds the data centres whose instances report most servers of another one.
func (t *Table) findNetworkTrouble(now time.Time) {
	if !t.networkAt.IsZero() && now.Sub(t.networkAt) < flushInterval {
		return
	}
	t.networkAt = now
	// from counts the servers that instances of only one data centre report, by that and their own one.
	from := map[[2]string]int{}
	for key, s := range t.servers {
		seen, one := map[string]bool{}, ""
		for id, r := range s.reports {
			if s.applies(now, r) && r.kind == event.ReportSlow {
				one = t.reporters[id]
				seen[one] = true
			}
		}
		if len(seen) == 1 {
			from[[2]string{one, t.known[key]}]++
		}
	}
	clear(t.network)
	for pair, n := range from {
		if n >= minNetworkServers && 2*n > t.inDataCentre[pair[1]] && pair[0] != "" {
			if t.network == nil {
				t.network = map[[2]string]bool{}
			}
			t.network[pair] = true
		}
	}
}

// reported returns the number of servers that two instances report.
func (t *Table) reported(now time.Time) (n int) {
	for key := range t.servers {
		if _, ok := t.Verdict(now, key, false); ok {
			n++
		}
	}
	return n
}

// log logs a change of the number of reported servers.
func (t *Table) log(now time.Time) {
	if now.Sub(t.loggedAt) < minLogInterval {
		return
	}
	n := t.reported(now)
	if n == t.logged {
		return
	}
	t.Out.Emit(event.StateChanged{
		Kind: "server-reports", Name: string(t.Self), From: fmt.Sprint(t.logged), To: fmt.Sprint(n),
		Cause: "number of servers that at least two instances report as slow or failing",
	})
	t.logged, t.loggedAt = n, now
}

// Status is the state of the exchange, for metrics.
type Status struct {
	Counters
	// Servers is the number of servers that at least two instances report.
	Servers int `json:"reports-servers"`
}

// Status returns the state of the exchange.
func (t *Table) Status(now time.Time) Status {
	return Status{Counters: t.Counters, Servers: t.reported(now)}
}
