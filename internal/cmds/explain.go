package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/relay"
	"hyssoppitch/io/node"
)

// ExplainCmd asks an instance where a request would be sent.
type ExplainCmd struct {
	Instance   string        `help:"IP number and port of the instance's control listener." required:"" placeholder:"IP:PORT"`
	Host       string        `help:"Host of the request." required:""`
	Path       string        `help:"Path of the request; it begins with a slash." required:""`
	Method     string        `help:"Method of the request. Routes don't depend on it." default:"GET"`
	Customer   string        `help:"Name of a customer."`
	DataCentre string        `name:"data-centre" help:"Decide as an instance of this data centre would, by what the instance has measured."`
	Output     string        `help:"Form of the output." enum:"text,json" default:"text"`
	Timeout    time.Duration `help:"How long to wait." default:"10s"`
}

// maxExplanation is the maximum size of an explanation: some 300 bytes for each server.
const maxExplanation = 16 << 20

// Run implements the command.
func (c *ExplainCmd) Run(s *streams) error {
	if _, err := netip.ParseAddrPort(c.Instance); err != nil {
		return exitError{code: ExitBadInput, err: errors.Newf("--instance %q: an IP number and port are required", c.Instance)}
	}
	if !strings.HasPrefix(c.Path, "/") {
		return exitError{code: ExitBadInput, err: errors.Newf("--path %q: it must begin with a slash", c.Path)}
	}
	data, err := c.ask()
	if err != nil {
		return err
	}
	var x relay.Explanation
	if err := json.Unmarshal(data, &x); err != nil {
		return errors.Wrapf(err, "reply of instance %s", c.Instance)
	}
	if c.Output == "json" {
		out := json.NewEncoder(s.out)
		out.SetIndent("", "  ")
		return out.Encode(x)
	}
	return c.print(s.out, x)
}

// ask returns the reply of the instance.
func (c *ExplainCmd) ask() (data []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	query := url.Values{"host": {c.Host}, "path": {c.Path}, "customer": {c.Customer}, "data-centre": {c.DataCentre}}
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.Instance+node.PathExplain+"?"+query.Encode(), nil)
	if err != nil {
		return nil, errors.Wrapf(err, "ask instance %s", c.Instance)
	}
	reply, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, errors.Wrapf(err, "instance %s does not answer", c.Instance)
	}
	defer func() { _ = reply.Body.Close() }()
	if data, err = io.ReadAll(io.LimitReader(reply.Body, maxExplanation)); err != nil {
		return nil, errors.Wrapf(err, "instance %s", c.Instance)
	}
	switch reply.StatusCode {
	case http.StatusOK:
		return data, nil
	case http.StatusBadRequest, http.StatusNotFound:
		return nil, exitError{code: ExitBadInput, err: errors.Newf("instance %s: %s", c.Instance, strings.TrimSpace(string(data)))}
	default:
		return nil, errors.Newf("instance %s: status %d, %s", c.Instance, reply.StatusCode, strings.TrimSpace(string(data)))
	}
}

// print prints an explanation as text.
func (c *ExplainCmd) print(out io.Writer, x relay.Explanation) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintf(w, "%s %s%s: route %s of version %d, target %d ms, idempotent %v; instance %s, data centre %s\n",
		c.Method, c.Host, c.Path, x.Route, x.Version, x.TargetMs, x.Idempotent, x.Instance, x.DataCentre)
	if t := x.Customer; t != nil && t.Limited {
		_, _ = fmt.Fprintf(w, "customer %s: %g of %g requests left in the window, sums of all instances %v\n", t.Name, t.Left, t.Quota, t.Current)
	} else if t != nil {
		_, _ = fmt.Fprintf(w, "customer %s: no quota\n", t.Name)
	}
	_, _ = fmt.Fprintf(w, "outcome: %s\n", x.Outcome)
	_, _ = fmt.Fprintln(w, "GROUP\tSERVER\tDATA CENTRE\tDISTANCE\tIN FLIGHT\tEXPECTED\tCOST\tSLOWNESS\tFAILURES\tRESULT")
	for _, g := range x.Groups {
		for _, b := range g.Servers {
			result := b.Excluded
			if b.ID == g.Chosen {
				result = "chosen"
			}
			_, _ = fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%d of %d\t%v\t%v\t%.2f\t%.2f\t%s\n", g.Group, b.ID, b.DataCentre, b.Distance, b.InFlight, b.Capacity,
				time.Duration(b.ExpectedUs)*time.Microsecond, time.Duration(b.CostUs)*time.Microsecond, b.Slowness, b.FailureRate, orDash(result))
		}
		_, _ = fmt.Fprintf(w, "%s\tweight %.3f, kept near %.2f, retry budget left %.1f\n", g.Group, g.Weight, g.Kept, g.Left)
	}
	return w.Flush()
}
