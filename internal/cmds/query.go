package cmds

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/event"
	"hyssoppitch/io/admin"
	"hyssoppitch/io/front"
)

// QueryCmd sends one request to an instance.
type QueryCmd struct {
	Service        string        `arg:"" help:"Service to ask."`
	Query          string        `arg:"" optional:"" default:"{}" help:"Query, as JSON; it is passed to the backend servers as it is."`
	Instance       string        `help:"IP number and port where the instance takes requests." required:"" placeholder:"IP:PORT"`
	Class          string        `help:"Class of the request; by default the service's first."`
	Key            string        `help:"Routing key: ask only the group that holds it."`
	IdempotencyKey string        `help:"Name of a non-idempotent request: sent again, it does not run again."`
	Deadline       time.Duration `help:"Deadline; by default the class's."`
	JSON           bool          `help:"Print the body of the reply as it is."`
}

// replyTimeoutSlack is added to the deadline to allow for network delay.
const replyTimeoutSlack = 5 * time.Second

// maxAnswerBytes is the maximum size of an answer: results of 4 MiB of 16 groups.
const maxAnswerBytes = 64 << 20

// Run implements the command.
func (c *QueryCmd) Run(s *streams) error {
	reply, body, err := c.send()
	var withCode exitError
	switch {
	case errors.As(err, &withCode):
		return err
	case err != nil:
		// The instance may have read the request before the connection failed.
		return exitError{code: ExitUnknown, err: err}
	}
	if c.JSON {
		_, _ = fmt.Fprintln(s.out, string(body))
	}
	if reply.StatusCode != http.StatusOK {
		return c.refusalError(body)
	}
	var a front.Answer
	if err := json.Unmarshal(body, &a); err != nil {
		return errors.Wrap(err, "answer")
	}
	if !c.JSON {
		PrintAnswer(s.out, a)
	}
	if a.Status != event.StatusComplete {
		return exitError{code: ExitPartial, err: errors.Newf("the answer covers %.1f%% of the requested keys", 100*a.Coverage.Fraction)}
	}
	return nil
}

func (c *QueryCmd) send() (reply *http.Response, body []byte, err error) {
	defer func() { err = errors.Wrapf(err, "query %q", c.Service) }()
	if !json.Valid([]byte(c.Query)) {
		return nil, nil, exitError{code: ExitBadInput, err: errors.Newf("query: got %q, want JSON", c.Query)}
	}
	data, err := json.Marshal(front.Query{Class: c.Class, Key: c.Key, Query: json.RawMessage(c.Query)})
	if err != nil {
		return nil, nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Deadline+replyTimeoutSlack)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+c.Instance+front.PathQuery+c.Service, io.NopCloser(bytes.NewReader(data)))
	if err != nil {
		return nil, nil, err
	}
	r.ContentLength = int64(len(data))
	if c.IdempotencyKey != "" {
		r.Header.Set(front.HeaderIdempotencyKey, c.IdempotencyKey)
	}
	if c.Deadline > 0 {
		r.Header.Set(front.HeaderDeadline, strconv.FormatInt(c.Deadline.Milliseconds(), 10))
	}
	reply, err = http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = reply.Body.Close() }()
	body, err = io.ReadAll(io.LimitReader(reply.Body, maxAnswerBytes+1))
	if len(body) > maxAnswerBytes {
		return reply, nil, errors.Newf("the answer has more than %d bytes", maxAnswerBytes)
	}
	return reply, body, err
}

// refusalError converts the body of a refusal to an error with an exit code.
func (c *QueryCmd) refusalError(body []byte) error {
	var p front.Problem
	if err := json.Unmarshal(body, &p); err != nil {
		return exitError{code: ExitUnknown, err: errors.Wrap(err, "refusal")}
	}
	code := ExitUnknown
	if p.Outcome == event.OutcomeNotRun {
		code = ExitNotRun
	}
	return exitError{code: code, err: errors.Newf("%s: %s (outcome: %s)", p.Title, p.Detail, p.Outcome)}
}

// PrintAnswer prints an answer as readable text.
func PrintAnswer(w io.Writer, a front.Answer) {
	_, _ = fmt.Fprintf(w, "%s answer of class %s from snapshot %d: %d of %d groups, %.1f%% of the requested keys\n",
		a.Status, a.Class, a.Snapshot, len(a.Coverage.Answered), len(a.Coverage.Asked), 100*a.Coverage.Fraction)
	for _, m := range a.Coverage.Missing {
		_, _ = fmt.Fprintf(w, "  missing %s, keys [%d, %d): %s\n", m.Group, m.Keys.From, m.Keys.To, m.Reason)
	}
	for _, r := range a.Results {
		_, _ = fmt.Fprintf(w, "  %s %s\n", r.Group, r.Body)
	}
}

// StatusCmd prints the status of the instances.
type StatusCmd struct {
	Store    string        `help:"IP number and port of the platform's store, to list the instances." placeholder:"IP:PORT"`
	Instance []string      `help:"Control address of an instance, beside those listed. Repeatable." placeholder:"IP:PORT"`
	Servers  bool          `help:"List every backend server as each instance sees it."`
	Timeout  time.Duration `help:"How long to wait in all." default:"5s"`
	JSON     bool          `help:"Print as JSON."`
}

// Run implements the command.
func (c *StatusCmd) Run(s *streams) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	addresses := append([]string(nil), c.Instance...)
	if c.Store != "" {
		listed, err := admin.Instances(ctx, newStore(c.Store))
		if err != nil && len(addresses) == 0 {
			return err
		}
		addresses = append(addresses, listed...)
	}
	if len(addresses) == 0 {
		return exitError{code: ExitBadInput, err: errors.New("no instances given: use --store or --instance")}
	}
	statuses := admin.Statuses(ctx, addresses, c.Servers)
	if c.JSON {
		return json.NewEncoder(s.out).Encode(statuses)
	}
	for _, i := range statuses {
		printInstance(s.out, i)
	}
	return nil
}

func printInstance(w io.Writer, i admin.Instance) {
	if i.Status == nil {
		_, _ = fmt.Fprintf(w, "%s not reached: %s\n", i.Address, i.Error)
		return
	}
	st := i.Status
	state := "ready"
	if st.NotReadyReason != "" {
		state = "not ready: " + st.NotReadyReason
	}
	storeState := "reachable"
	if !st.StoreReachable {
		storeState = "unreachable, changes arrive only from peers"
	}
	_, _ = fmt.Fprintf(w, "%s %s in %s: %s; version %d in force; store %s\n",
		i.Address, st.Instance.ID, st.Instance.DataCentre, state, st.Version, storeState)
	for _, m := range st.Members {
		_, _ = fmt.Fprintf(w, "  instance %-12s %-8s linked %-5t version %d\n", m.ID, m.State, m.Linked, m.Version)
	}
	for _, name := range []string{"warm", "cold", "draining", "down", "unknown"} {
		if n := st.ServersByState[name]; n > 0 {
			_, _ = fmt.Fprintf(w, "  servers %-9s %d\n", name, n)
		}
	}
	for _, b := range st.Servers {
		_, _ = fmt.Fprintf(w, "  server %-24s %-9s in flight %d of %.1f, latency %d us, owner %s\n",
			b.ID, b.State, b.InFlight, b.Limit, b.LatencyUs, b.Owner)
	}
}
