package main

import (
	"fmt"
	"strings"
	"time"

	"hyssoppitch/platform"
	"hyssoppitch/platform/stand"
)

const (
	// rolloutServers is the number of servers of each version.
	rolloutServers = 2
	// rolloutTime is the time from the last fault to the deadline of the roll-outs.
	rolloutTime = 9 * time.Second
	// rolloutInterval is the delay of a client between two requests to a group in a roll-out. There
	// is one for each instance and group.
	rolloutInterval = 50 * time.Millisecond
	// settleTime is how long requests may reach the other version after a roll-out is decided. It
	// allows for a request in flight and the time until all instances have read the status.
	settleTime = time.Second
	// observedTime is how long the traffic of a decided roll-out is observed.
	observedTime = 1500 * time.Millisecond

	exposureShare, exposureSlack = 0.1, 50
)

// rollout is a roll-out of version v2 to a group of servers of version v1.
type rollout struct {
	group, want string
	// servers holds the servers by version.
	servers   map[string][]*stand.Server
	orderedAt time.Time
	decidedAt time.Time
}

// addRolloutServers starts and registers the servers of a version.
func (w *deployment) addRolloutServers(o *rollout, version string) error {
	for i := range rolloutServers {
		s, err := stand.NewServer(fmt.Sprintf("%s-%s-%d", o.group, version, i), o.group, dataCentres[i], "127.0.0.1:0")
		if err != nil {
			return err
		}
		o.servers[version] = append(o.servers[version], s)
		if version != "v1" && o.want == "rolled_back" {
			s.SetBehaviour(3*time.Millisecond, 0, 0.5)
		}
		w.store.PutServer(s.ID, platform.ServerEntry{
			Group: o.group, Address: s.Address(), DataCentre: s.DataCentre, Slots: 4, State: "ready", StartMillis: 1, Version: version,
		})
	}
	return nil
}

// addRollouts starts the old servers of a group whose new version is good and of one whose new version
// is bad.
func (w *deployment) addRollouts() error {
	for _, o := range []*rollout{{group: "good", want: "completed"}, {group: "bad", want: "rolled_back"}} {
		o.servers = map[string][]*stand.Server{}
		w.rollouts = append(w.rollouts, o)
		if err := w.addRolloutServers(o, "v1"); err != nil {
			return err
		}
	}
	return nil
}

// order starts the new servers and orders their roll-out.
func (w *deployment) order(o *rollout, duration time.Duration) {
	if err := w.addRolloutServers(o, "v2"); err != nil {
		w.checks.fail("server can't be started: %v", err)
	}
	o.orderedAt = time.Now()
	w.store.PutOrder(platform.OrderEntry{Group: o.group, Version: "v2", Seconds: duration.Seconds()})
}

// awaitDecision waits for the final status of a roll-out, which must be the right one and come by the
// deadline, and then for observedTime.
func (w *deployment) awaitDecision(o *rollout, duration time.Duration) {
	for time.Since(o.orderedAt) < duration+latencySlack {
		status, ok := w.store.Status(o.group)
		if !ok || status.State == "running" {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		o.decidedAt = time.Now()
		if status.State != o.want || status.Version != "v2" {
			w.checks.fail("roll-out of group %s: got state %q of version %q (%s), want %q of v2; %s", o.group, status.State, status.Version, status.Reason, o.want, describeAnswers(status))
		}
		time.Sleep(settleTime + observedTime)
		return
	}
	status, _ := w.store.Status(o.group)
	w.checks.fail("roll-out of group %s: not decided %v after its order, %v after its deadline: %+v", o.group, duration+latencySlack, latencySlack, status)
}

// describeAnswers returns the answers on which a roll-out was decided.
func describeAnswers(s platform.StatusEntry) string {
	return fmt.Sprintf("stage %s, known answers of the new version %+v, of the old one %+v", s.Stage, s.New, s.Old)
}

// runsOf returns what the servers of a version have executed.
func (o *rollout) runsOf(version string) (runs []stand.Run) {
	for _, s := range o.servers[version] {
		runs = append(runs, s.Runs()...)
	}
	return runs
}

// checkRollout checks that, once a roll-out was decided and the last fault undone, only the servers of
// the right version were used, and that a bad version got no more than its share of the requests.
func (w *deployment) checkRollout(o *rollout, lastFault time.Time) {
	if o.decidedAt.IsZero() {
		return
	}
	right, wrong := "v2", "v1"
	if o.want == "rolled_back" {
		right, wrong = wrong, right
	}
	settled := o.decidedAt
	if lastFault.After(settled) {
		settled = lastFault
	}
	settled = settled.Add(settleTime)
	after := func(version string) (ids []string) {
		for _, r := range o.runsOf(version) {
			if r.At.After(settled) {
				ids = append(ids, r.Request)
			}
		}
		return ids
	}
	if got := after(wrong); len(got) > 0 {
		w.checks.fail("roll-out of group %s: %d requests reached %s later than %v after it was %s: %s",
			o.group, len(got), wrong, settled.Sub(o.decidedAt), o.want, strings.Join(got[:min(len(got), 5)], ", "))
	}
	if len(after(right)) == 0 {
		w.checks.fail("roll-out of group %s: no request reached %s later than %v after it was %s", o.group, right, settled.Sub(o.decidedAt), o.want)
	}
	if o.want != "rolled_back" {
		return
	}
	newer, all := len(o.runsOf("v2")), 0
	for _, version := range []string{"v1", "v2"} {
		for _, r := range o.runsOf(version) {
			if r.At.After(o.orderedAt) {
				all++
			}
		}
	}
	if bound := exposureShare*float64(all) + exposureSlack; float64(newer) > bound {
		status, _ := w.store.Status(o.group)
		w.checks.fail("roll-out of group %s: %d of %d requests reached the bad version, want at most %.0f; %s", o.group, newer, all, bound, describeAnswers(status))
	}
}
