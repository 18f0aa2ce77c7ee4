package engine

import (
	"time"

	"hyssoppitch/core/model"
	"hyssoppitch/core/relay"
	"hyssoppitch/core/usage"
)

// SetRelayOptions changes the options of routed requests. Events that were counted before keep
// counting.
func (e *Engine) SetRelayOptions(o relay.Options) {
	e.Relay.Options = o
	e.applyUsageOptions()
}

// applyUsageOptions applies the options of routed requests to the counters.
func (e *Engine) applyUsageOptions() {
	o := &e.Relay.Options
	e.Quotas.SetOptions(o.Quota)
	e.Usage.SetWindow(usage.Extra, o.Retries.Window)
	e.Usage.SetWindow(usage.Requests, o.Retries.Window)
}

// maxIdleExchange is the number of instances up to which sums for retry budgets are exchanged while there are
// no requests. The links of a collector cost more than 5 KB per second in a larger idle fleet.
const maxIdleExchange = 160

// updateUsage tells the counters which instances there are, and requests the links that the exchange
// of sums needs.
func (e *Engine) updateUsage(now time.Time) {
	if e.Relay == nil {
		return
	}
	var live []model.Instance
	for _, m := range e.Members.Rows() {
		if m.IsLive() {
			live = append(live, m.Instance)
		}
	}
	e.Usage.SetMembers(now, live, e.shares)
	// Sums are provisional for a window after the exchange begins, so that it begins before the first
	// request where its cost allows. An instance without links assumes more others than there are.
	q := e.Relay.Options.Quota
	e.Usage.SetWanted(usage.Extra, e.linkedOnce && e.Relay.PoolsBudgets() && len(live) <= maxIdleExchange)
	e.Usage.SetWanted(usage.Admitted, e.linkedOnce && (q.Overage > 0 || q.Slack > 0))
	peers := e.Usage.Peers(now)
	if e.updateReports(now, live) && len(peers) == 0 {
		peers = e.Usage.Links()
	}
	e.Members.SetPreferred(peers)
}
