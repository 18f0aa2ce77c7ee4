package node

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/engine"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/relay"
	"hyssoppitch/core/report"
	"hyssoppitch/core/usage"
	"hyssoppitch/io/feed"
	"hyssoppitch/io/guard"
	"hyssoppitch/io/pass"
	"hyssoppitch/io/peer"
)

// Paths of the HTTP interface for operators.
const (
	PathStatus = "/v1/status"
	PathConfig = "/v1/config"
	PathPush   = "/v1/push"
	PathVars   = "/debug/vars"
	// PathExplain says where a request would be sent.
	PathExplain = "/v1/explain"
)

// maxPushBytes is the maximum size of a pushed configuration, if the memory allows it.
const maxPushBytes = 64 << 20

// Status is the state of an instance, as the status endpoint returns it.
type Status struct {
	Instance model.Instance `json:"instance"`
	// NotReadyReason is the reason why the instance should get no new requests; it is empty
	// when the instance is ready.
	NotReadyReason string `json:"not-ready,omitempty"`
	Leaving        bool   `json:"leaving"`
	// Version and Change identify the active configuration.
	Version uint64 `json:"version"`
	Change  string `json:"change"`
	// StoreReachable is false while the store doesn't answer. The instance then
	// receives configuration changes only from its peers and from pushes.
	StoreReachable bool           `json:"store-reachable"`
	Members        []MemberStatus `json:"members"`
	// ServersByState counts the backend servers in each state.
	ServersByState map[string]int `json:"servers-by-state"`
	Servers        []ServerStatus `json:"servers,omitempty"`
}

// MemberStatus is the state of one instance as recorded by another.
type MemberStatus struct {
	ID         model.InstanceID `json:"id"`
	Address    string           `json:"address"`
	DataCentre string           `json:"data-centre"`
	State      string           `json:"state"`
	Linked     bool             `json:"linked"`
	Version    uint64           `json:"version"`
}

// ServerStatus is the state of one backend server as recorded by an instance.
type ServerStatus struct {
	ID         model.ServerID   `json:"id"`
	DataCentre string           `json:"data-centre"`
	State      string           `json:"state"`
	Boot       string           `json:"boot"`
	InFlight   int              `json:"in-flight"`
	Limit      float64          `json:"limit"`
	Allowance  int              `json:"allowance,omitempty"`
	Owner      model.InstanceID `json:"owner,omitempty"`
	LatencyUs  int64            `json:"latency-us"`
	Snapshots  []model.Snapshot `json:"snapshots"`
}

// Push is the body of a request to PathPush: a configuration that the store has
// accepted. The operators' command sends it to the instances, so that they get the
// configuration even if the store goes down before they read it there.
type Push struct {
	Root  conf.Root              `json:"root"`
	Parts map[conf.Digest][]byte `json:"parts"`
}

func (n *Node) controlHandler() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(peer.Path, n.peers)
	mux.Handle("GET "+PathVars, n.stats)
	mux.HandleFunc("GET "+PathStatus, n.serveStatus)
	mux.HandleFunc("GET "+PathConfig, n.serveConfig)
	mux.HandleFunc("GET "+PathExplain, n.serveExplain)
	mux.HandleFunc("POST "+PathPush, n.servePush)
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok\n") })
	return mux
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}

func (n *Node) serveStatus(w http.ResponseWriter, r *http.Request) {
	withServers := r.URL.Query().Get("servers") != ""
	now := n.clock.Now()
	var s Status
	if !n.View(func(e *engine.Engine) { s = statusOf(now, e, withServers) }) {
		http.Error(w, "this instance has stopped", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, s)
}

// serveExplain says where a request would be sent now. It sends nothing.
func (n *Node) serveExplain(w http.ResponseWriter, r *http.Request) {
	v := r.URL.Query()
	question := relay.Question{Host: v.Get("host"), Path: v.Get("path"), Customer: v.Get("customer"), DataCentre: v.Get("data-centre")}
	if question.Host == "" || !strings.HasPrefix(question.Path, "/") {
		http.Error(w, fmt.Sprintf("host %q, path %q: a host, and a path that begins with a slash, are required", question.Host, question.Path), http.StatusBadRequest)
		return
	}
	now := n.clock.Now()
	var x relay.Explanation
	err := errors.New("this instance serves no routed requests")
	if !n.View(func(e *engine.Engine) {
		if e.Relay != nil {
			x, err = e.Relay.Explain(now, question)
		}
	}) {
		http.Error(w, "this instance has stopped", http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusNotFound)
		return
	}
	writeJSON(w, x)
}

// statusOf copies the status out of the engine's tables.
func statusOf(now time.Time, e *engine.Engine, withServers bool) Status {
	c := e.Config()
	s := Status{
		Instance: e.Self, NotReadyReason: e.NotReadyReason(now), Leaving: e.Leaving(),
		Version: c.Version, Change: c.Change, StoreReachable: !e.StoreDown(),
		ServersByState: map[string]int{},
	}
	for _, m := range e.Members.Rows() {
		version := m.Version
		if m.ID == e.Self.ID {
			version = c.Version
		}
		s.Members = append(s.Members, MemberStatus{
			ID: m.ID, Address: m.Address, DataCentre: m.DataCentre,
			State: m.State.String(), Linked: m.Linked, Version: version,
		})
	}
	for _, b := range e.Servers.Rows {
		s.ServersByState[b.State.String()]++
		if withServers {
			s.Servers = append(s.Servers, ServerStatus{
				ID: b.ID, DataCentre: b.DataCentre, State: b.State.String(), Boot: b.Boot,
				InFlight: b.InFlight, Limit: b.Limit, Allowance: b.Allowance, Owner: e.Warm.Owner(b),
				LatencyUs: b.Latency.Microseconds(), Snapshots: b.Snapshots,
			})
		}
	}
	return s
}

func (n *Node) serveConfig(w http.ResponseWriter, _ *http.Request) {
	var c model.Config
	if !n.View(func(e *engine.Engine) { c = e.Config() }) {
		http.Error(w, "this instance has stopped", http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, c)
}

func (n *Node) servePush(w http.ResponseWriter, r *http.Request) {
	// A request that is alone may exceed the budget, so its limit is the budget if that is lower.
	data, err := guard.ReadBody(w, r, min(maxPushBytes, n.guard.Status().BudgetBytes))
	if errors.Is(err, guard.ErrFull) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var p Push
	if err := conf.DecodeStrict(data, &p); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	n.Post(event.RootReceived{Root: p.Root})
	for _, d := range p.Root.Digests() {
		if body, ok := p.Parts[d]; ok {
			n.Post(event.PartReceived{Digest: d, Data: body})
		}
	}
	w.WriteHeader(http.StatusAccepted)
}

// publishVars publishes the engine's counters and the status as variables.
func (n *Node) publishVars() {
	n.stats.Publish("counters", func() any {
		var out any
		n.View(func(e *engine.Engine) { out = e.Queries.Counters })
		return out
	})
	n.stats.Publish("clients", func() any { return n.guard.Status() })
	n.stats.Publish("links", func() any { return n.peers.Counters() })
	if n.routed != nil {
		n.publishRoutedVars()
	}
	n.stats.Publish("state", func() any {
		now := n.clock.Now()
		var out Status
		n.View(func(e *engine.Engine) { out = statusOf(now, e, false) })
		return out
	})
}

// RoutedStatus holds an instance's counters of routed requests.
type RoutedStatus struct {
	relay.Counters
	// Customers counts the requests of each customer.
	Customers map[string]relay.CustomerCounts `json:"customers,omitempty"`
	// Spill counts the exchanges that stay in the instance's data centre and those that leave it.
	Spill relay.SpillStatus `json:"spillover"`
	// Usage holds the counters of the exchange of sums between instances.
	Usage usage.Status `json:"usage"`
	// Reports holds the counters of the exchange of reports on servers.
	Reports report.Status `json:"server-reports"`
	// DirectoryReads counts the calls to the platform's store.
	DirectoryReads feed.Counters `json:"directory-reads"`
	// Version is the version of the active routing table, and Revision the revision of
	// the directory.
	Version  uint64 `json:"routing-version"`
	Revision uint64 `json:"directory-revision"`
	// Era counts how often the directory was restored from an older copy.
	Era uint64 `json:"directory-era"`
	// DirectoryAgeMicros is the time since the directory's content was last known to be
	// current, in microseconds.
	DirectoryAgeMicros int64 `json:"directory-age-us"`
	DirectoryReachable bool  `json:"directory-reachable"`
	Servers            int   `json:"servers"`
	InFlight           int   `json:"requests-in-flight"`
	// ConnectionCounters counts the connections to backend servers and their use.
	pass.ConnectionCounters
	// Rollouts holds the roll-outs of new versions of servers, and RolloutWork counts what this
	// instance has done for them.
	Rollouts    []RolloutRow           `json:"rollouts,omitempty"`
	RolloutWork engine.RolloutCounters `json:"rollout-work"`
}

// RolloutRow is the state of one roll-out as an instance knows it.
type RolloutRow struct {
	Group   string             `json:"group"`
	Version string             `json:"target-version"`
	State   model.RolloutState `json:"state"`
	Stage   string             `json:"stage"`
	// SharePerMille is the part of the requests for the target version, in 1/1000.
	SharePerMille int    `json:"share-per-mille"`
	Reason        string `json:"reason"`
	// Target and Others count the answers that this instance knows of.
	Target model.AnswerCounts `json:"target-answers"`
	Others model.AnswerCounts `json:"other-answers"`
}

// rolloutRows returns the roll-outs of an engine.
func rolloutRows(e *engine.Engine) (out []RolloutRow) {
	for _, r := range e.Rollouts.All() {
		if r.Status.State == "" {
			continue
		}
		row := RolloutRow{
			Group: r.Group, Version: r.Status.Version, State: r.Status.State, Stage: r.Status.Stage.String(),
			SharePerMille: r.Status.SharePerMille, Reason: r.Status.Reason,
		}
		row.Others, row.Target = r.Judge.Totals()
		out = append(out, row)
	}
	return out
}

// publishRoutedVars publishes the counters of routed requests as variables.
func (n *Node) publishRoutedVars() {
	n.stats.Publish("routed", func() any {
		now := n.clock.Now()
		var out RoutedStatus
		n.View(func(e *engine.Engine) {
			at, asOf := e.DirectoryPosition()
			out = RoutedStatus{
				Counters: e.Relay.Counters, Customers: e.Relay.CustomerCounts(), Version: e.Relay.Table().Version, Revision: at.Revision, Era: at.Era,
				DirectoryAgeMicros: now.Sub(asOf).Microseconds(), DirectoryReachable: !e.Roster.Unreachable(),
				Servers: e.Roster.Len(), InFlight: e.Relay.InFlight(), Usage: e.Usage.Status(now), Reports: e.Reports.Status(now),
				Rollouts: rolloutRows(e), RolloutWork: e.RolloutCounters(),
				Spill: e.Relay.SpillStatus(now),
			}
		})
		out.DirectoryReads = n.routed.directory.Counters()
		out.ConnectionCounters = n.routed.backends.Connections()
		return out
	})
}
