// Package tools implements the command line of the stand-ins. Only the command
// standin imports it, for demonstrations and tests.
package tools

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/limit"
	"hyssoppitch/core/model"
	"hyssoppitch/internal/standin/demo"
	"hyssoppitch/internal/standin/fleet"
	"hyssoppitch/internal/standin/kvmem"
	"hyssoppitch/internal/standin/load"
	"hyssoppitch/internal/standin/trial"
)

// CLI declares the command line. Each field is a command.
type CLI struct {
	Store StoreCmd `cmd:"" help:"Run a key-value store; PUT faults to /control/faults."`
	Fleet FleetCmd `cmd:"" help:"Run every backend server of a configuration; POST faults to the control address."`
	Load  LoadCmd  `cmd:"" help:"Send requests at a steady rate and print what came back."`
	Demo  DemoCmd  `cmd:"" help:"Run the whole path in this process, break it, and print the answers."`
	Trial TrialCmd `cmd:"" help:"Run the whole path in this process under load and a fault, and print what was measured."`
}

// Main runs the command in args and returns its exit code.
func Main(args []string, out, errOut io.Writer) int {
	var cli CLI
	parser, err := kong.New(&cli, kong.Name("standin"), kong.Writers(out, errOut))
	if err == nil {
		var command *kong.Context
		if command, err = parser.Parse(args); err == nil {
			ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
			defer stop()
			command.BindTo(ctx, (*context.Context)(nil))
			command.BindTo(out, (*io.Writer)(nil))
			err = command.Run()
		}
	}
	if err != nil {
		_, _ = fmt.Fprintf(errOut, "standin: %s\n", err)
		return 1
	}
	return 0
}

// StoreCmd runs a key-value store stand-in.
type StoreCmd struct {
	Listen    string `help:"IP number and port." default:"127.0.0.1:7000"`
	Processes string `help:"JSON file with the platform's list of processes." placeholder:"FILE"`
}

// Run implements the command.
func (c *StoreCmd) Run(ctx context.Context, out io.Writer) (err error) {
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen %q", c.Listen)
	}
	s := kvmem.Start(l)
	defer s.Close()
	if c.Processes != "" {
		data, err := os.ReadFile(c.Processes)
		if err != nil {
			return err
		}
		if err := s.LoadProcesses(data); err != nil {
			return err
		}
	}
	_, _ = fmt.Fprintf(out, "store %s\n", s.Address())
	<-ctx.Done()
	return nil
}

// FleetCmd runs backend server stand-ins.
type FleetCmd struct {
	Config    string        `help:"Configuration that declares the servers." required:"" placeholder:"FILE"`
	Control   string        `help:"IP number and port for faults and the ledger." default:"127.0.0.1:7100"`
	RunTime   time.Duration `help:"Time that a warm server takes for one request." default:"5ms"`
	Connect   time.Duration `help:"Time that a new connection costs." default:"6ms"`
	OneWay    time.Duration `help:"One-way delay between two regions." default:"8ms"`
	StartWarm bool          `help:"Start warm."`
}

// Run implements the command.
func (c *FleetCmd) Run(ctx context.Context, out io.Writer) (err error) {
	data, err := os.ReadFile(c.Config)
	if err != nil {
		return err
	}
	config, err := conf.Parse(data)
	if err != nil {
		return err
	}
	f, err := fleet.Start(config, fleet.Options{
		RunTime: c.RunTime, ConnectTime: c.Connect, StartWarm: c.StartWarm,
		Delay: fleet.DelayBetween(config, c.OneWay), Snapshots: []model.Snapshot{1},
	})
	if err != nil {
		return err
	}
	defer f.Close()
	l, err := net.Listen("tcp", c.Control)
	if err != nil {
		return errors.Wrapf(err, "control %q", c.Control)
	}
	control := &http.Server{Handler: f.Control(), ReadHeaderTimeout: time.Second}
	defer func() { _ = control.Close() }()
	go func() { _ = control.Serve(l) }()
	_, _ = fmt.Fprintf(out, "fleet of %d servers, control %s\n", len(f.Match("*")), l.Addr())
	<-ctx.Done()
	return nil
}

// LoadCmd sends requests and prints a report of the replies.
type LoadCmd struct {
	Instance []string      `help:"Where an instance takes requests; several are used in turn." required:"" placeholder:"IP:PORT"`
	Service  string        `help:"Service to ask." required:""`
	Class    string        `help:"Class of the requests."`
	Rate     float64       `help:"Requests per second, at random times, whatever the answers do." default:"50"`
	Duration time.Duration `help:"How long to send." default:"10s"`
	Seed     uint64        `help:"Seed of the arrivals." default:"1"`
}

// Run implements the command.
func (c *LoadCmd) Run(ctx context.Context, out io.Writer) error {
	report := load.Run(ctx, load.Plan{
		Instances: c.Instance, Service: c.Service, Class: c.Class, Rate: c.Rate, Duration: c.Duration, Seed: c.Seed,
	})
	e := json.NewEncoder(out)
	e.SetIndent("", "  ")
	return e.Encode(report)
}

// TrialCmd measures a deployment under load and faults.
type TrialCmd struct {
	Scenario  []string      `help:"Scenarios; all when none is named." enum:"steady,straggler,data-centre,restart,overload,snapshots" sep:","`
	Policy    limit.Policy  `help:"Policy for the limits of warm servers: share or adaptive." default:"adaptive"`
	NoHedging bool          `help:"Send no second attempts of slow legs."`
	Rate      float64       `help:"Requests per second." default:"60"`
	Duration  time.Duration `help:"How long each scenario lasts." default:"8s"`
	Seed      uint64        `help:"Seed of the arrivals." default:"1"`
}

// Run implements the command.
func (c *TrialCmd) Run(ctx context.Context, out io.Writer) error {
	return trial.Run(ctx, out, trial.Plan{
		Scenarios: c.Scenario, Policy: c.Policy, Hedging: !c.NoHedging, Rate: c.Rate, Duration: c.Duration, Seed: c.Seed,
	})
}

// DemoCmd runs the demonstration.
type DemoCmd struct{}

// Run implements the command.
func (c *DemoCmd) Run(ctx context.Context, out io.Writer) error { return demo.Run(ctx, out) }
