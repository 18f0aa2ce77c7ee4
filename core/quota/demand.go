package quota

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

const (
	// demandTTL is the time for which an instance that is no longer heard of keeps its part of
	// the limits. It may be cut off from this instance only, and still send requests.
	demandTTL = 15 * time.Second
	// announceInterval is the time between two announcements of an unchanged demand, and
	// changeFraction the relative change of a route's demand that is announced at once.
	announceInterval = 3 * time.Second
	changeFraction   = 0.25
	// remoteWeight is the weight of the demand of an instance in another data centre than the
	// server, whose own servers are nearer.
	remoteWeight = 1.0 / 8
	// minimumFraction is the fraction of the mean demand that is added to the demand of each
	// instance, so that one whose demand begins has a part already.
	minimumFraction = 0.25
)

// Demand holds the demand of all instances, and computes from it this instance's part of the
// servers' limits. Instances that hold the same announcements compute parts that add up to one.
// An instance without an announcement counts with the mean demand.
type Demand struct {
	Self    model.InstanceID
	entries map[model.InstanceID]*demandEntry
	// seenAt holds when each instance was last live.
	seenAt map[model.InstanceID]time.Time
	// number counts this instance's announcements.
	number uint64
	// atLeast is the number of instances to assume if fewer are known.
	atLeast int
	// parts caches the results of Part until the next change or announcement.
	parts map[partKey]float64
}

type demandEntry struct {
	event.InstanceDemand
	receivedAt time.Time
	// unsent is set until the entry was passed on to the peers.
	unsent bool
}

type partKey struct{ group, dataCentre string }

// NewDemand returns the demand as known to an instance that has just started.
func NewDemand(self model.InstanceID) *Demand {
	return &Demand{Self: self, entries: map[model.InstanceID]*demandEntry{}, seenAt: map[model.InstanceID]time.Time{}}
}

// SetLive records which instances are live, and forgets those that have not been for demandTTL.
func (d *Demand) SetLive(now time.Time, live []model.InstanceID, atLeast int) {
	d.atLeast, d.parts = atLeast, nil
	for _, id := range live {
		d.seenAt[id] = now
	}
	for id, at := range d.seenAt {
		if now.Sub(at) > demandTTL {
			d.Forget(id)
		}
	}
	for id, e := range d.entries {
		if now.Sub(e.receivedAt) > demandTTL {
			delete(d.entries, id)
		}
	}
}

// Forget removes an instance that has left.
func (d *Demand) Forget(id model.InstanceID) {
	delete(d.seenAt, id)
	delete(d.entries, id)
	d.parts = nil
}

// Announce sets this instance's own demand, if it has changed or was last announced long ago.
func (d *Demand) Announce(now time.Time, own event.InstanceDemand) {
	e := d.entries[d.Self]
	if e != nil && now.Sub(e.receivedAt) < announceInterval && similar(e.Routes, own.Routes) {
		return
	}
	d.number++
	own.Number = d.number
	d.entries[d.Self] = &demandEntry{InstanceDemand: own, receivedAt: now, unsent: true}
	d.parts = nil
}

// similar reports whether no route's demand has changed by more than changeFraction.
func similar(a, b map[string]float64) bool {
	for _, pair := range [][2]map[string]float64{{a, b}, {b, a}} {
		for route, rate := range pair[0] {
			if rate > pair[1][route]*(1+changeFraction) {
				return false
			}
		}
	}
	return true
}

// Apply records the announcement of another instance, unless it is older than the known one.
func (d *Demand) Apply(now time.Time, a event.InstanceDemand) {
	e := d.entries[a.Instance]
	if a.Instance == d.Self || (e != nil && !newer(a, e.InstanceDemand)) {
		return
	}
	d.entries[a.Instance] = &demandEntry{InstanceDemand: a, receivedAt: now, unsent: true}
	d.seenAt[a.Instance] = now
	d.parts = nil
}

// newer reports whether a was announced after b by the same instance.
func newer(a, b event.InstanceDemand) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Number > b.Number
}

// TakeUnsent returns the announcements that were not passed on yet, in order of instance.
func (d *Demand) TakeUnsent() (out []event.InstanceDemand) {
	for _, a := range d.All() {
		if e := d.entries[a.Instance]; e.unsent {
			e.unsent = false
			out = append(out, a)
		}
	}
	return out
}

// All returns all announcements in order of instance.
func (d *Demand) All() (out []event.InstanceDemand) {
	for _, e := range d.entries {
		out = append(out, e.InstanceDemand)
	}
	slices.SortFunc(out, func(a, b event.InstanceDemand) int { return cmp.Compare(a.Instance, b.Instance) })
	return out
}

// Part returns this instance's part, in [0, 1], of the limits of the servers of a group in a
// data centre. weight returns which fraction of a route's requests goes to the group, and
// selfDataCentre is the data centre of this instance.
func (d *Demand) Part(group, dataCentre, selfDataCentre string, weight func(route string) float64) float64 {
	key := partKey{group, dataCentre}
	if part, ok := d.parts[key]; ok {
		return part
	}
	part := d.computePart(dataCentre, selfDataCentre, weight)
	if d.parts == nil {
		d.parts = map[partKey]float64{}
	}
	d.parts[key] = part
	return part
}

// computePart computes the result of Part. It adds in a fixed order, so that the result is
// reproducible.
func (d *Demand) computePart(dataCentre, selfDataCentre string, weight func(route string) float64) float64 {
	known := d.All()
	weights := map[string]float64{}
	demands := make([]float64, len(known))
	var sum float64
	for i, a := range known {
		for _, route := range slices.Sorted(maps.Keys(a.Routes)) {
			if _, ok := weights[route]; !ok {
				weights[route] = weight(route)
			}
			demands[i] += weights[route] * a.Routes[route]
		}
		sum += demands[i]
	}
	instances := max(1, d.atLeast, d.count())
	if sum == 0 {
		return 1 / float64(instances)
	}
	mean := sum / float64(len(known))
	minimum := minimumFraction * mean
	var own, total float64
	for i, a := range known {
		share := (demands[i] + minimum) * distanceWeight(a.DataCentre, dataCentre)
		total += share
		if a.Instance == d.Self {
			own = share
		}
	}
	unknown := instances - len(known)
	if own == 0 {
		// This instance has announced nothing yet.
		own = (mean + minimum) * distanceWeight(selfDataCentre, dataCentre)
		total += own
		unknown--
	}
	total += float64(max(0, unknown)) * (mean + minimum)
	return own / total
}

// distanceWeight returns the weight of an instance's demand at a server.
func distanceWeight(instance, server string) float64 {
	if instance == server {
		return 1
	}
	return remoteWeight
}

// count returns the number of instances that count: those that were live lately.
func (d *Demand) count() int {
	n := len(d.seenAt)
	if _, ok := d.seenAt[d.Self]; !ok {
		n++
	}
	return n
}

// Copy returns a copy that can compute parts without changing d.
func (d *Demand) Copy() *Demand {
	c := *d
	c.parts = nil
	return &c
}
