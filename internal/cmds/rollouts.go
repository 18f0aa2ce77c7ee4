package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"text/tabwriter"
	"time"

	"hyssoppitch/core/model"
	"hyssoppitch/io/node"
	"hyssoppitch/platform"
)

// RolloutsCmd shows the roll-outs of new versions of servers.
type RolloutsCmd struct {
	storeFlags
	JSON bool `name:"json" help:"Print JSON."`
}

// rolloutRow is one roll-out: an order, the status of the last roll-out of its service, or both.
type rolloutRow struct {
	Service string `json:"service"`
	// Ordered is the version that is ordered; empty if there is no order.
	Ordered string `json:"ordered-version,omitempty"`
	// The other fields are those of the status; they are empty if there is none yet.
	Version string             `json:"target-version,omitempty"`
	State   model.RolloutState `json:"state,omitempty"`
	Stage   string             `json:"stage,omitempty"`
	Share   float64            `json:"share"`
	Target  model.AnswerCounts `json:"target-answers"`
	Others  model.AnswerCounts `json:"other-answers"`
	Changed time.Time          `json:"changed,omitzero"`
	Reason  string             `json:"reason,omitempty"`
}

// Run implements the command.
func (c *RolloutsCmd) Run(s *streams) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	directory := platform.NewDirectory(c.Store, node.DefaultGuard())
	defer directory.Close()
	orders, statuses, problems, err := directory.Rollouts(ctx)
	if err != nil {
		return err
	}
	rows := rolloutRows(orders, statuses)
	for _, p := range problems {
		_, _ = fmt.Fprintf(s.err, "unreadable: %s\n", p)
	}
	if c.JSON {
		out := json.NewEncoder(s.out)
		out.SetIndent("", "  ")
		return out.Encode(rows)
	}
	w := tabwriter.NewWriter(s.out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(w, "SERVICE\tORDERED\tTARGET\tSTATE\tSTAGE\tSHARE\tANSWERS (FAILED, SLOW)\tOTHERS\tCHANGED\tREASON")
	for _, r := range rows {
		changed := ""
		if !r.Changed.IsZero() {
			changed = r.Changed.Format(time.RFC3339)
		}
		_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%.3f\t%s\t%s\t%s\t%s\n", r.Service, orDash(r.Ordered), orDash(r.Version), orDash(string(r.State)),
			orDash(r.Stage), r.Share, answers(r.Target), answers(r.Others), orDash(changed), orDash(r.Reason))
	}
	return w.Flush()
}

// rolloutRows joins orders and statuses by service. Both are in order of service.
func rolloutRows(orders []model.RolloutOrder, statuses []model.RolloutStatus) (rows []rolloutRow) {
	rows = []rolloutRow{}
	at := map[string]int{}
	for _, st := range statuses {
		at[st.Group] = len(rows)
		rows = append(rows, rolloutRow{
			Service: st.Group, Version: st.Version, State: st.State, Stage: st.Stage.String(), Share: float64(st.SharePerMille) / 1000,
			Target: st.New, Others: st.Old, Changed: st.ChangedAt.Time(), Reason: st.Reason,
		})
	}
	for _, o := range orders {
		i, ok := at[o.Group]
		if !ok {
			i = len(rows)
			rows = append(rows, rolloutRow{Service: o.Group})
		}
		rows[i].Ordered = o.Version
	}
	return rows
}

// answers returns the form of counts in the table.
func answers(c model.AnswerCounts) string {
	return fmt.Sprintf("%d (%d, %d)", c.Answers, c.Failed, c.Slow)
}

// orDash returns "-" in place of an empty text.
func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
