// Package cmds implements the command line of hyssoppitch: its commands, flags,
// output and exit codes. Packages node, admin and front do the work of the commands.
package cmds

import (
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/io/admin"
	"hyssoppitch/io/node"
	"hyssoppitch/io/store"
)

// Exit codes; README.md and docs/operators.md list them.
const (
	ExitOK = 0
	// ExitFailed: the command failed; nothing is known to have changed.
	ExitFailed = 1
	// ExitBadInput: a flag, a settings file or a configuration is invalid. Nothing
	// was done.
	ExitBadInput = 2
	// ExitConflict: the accepted configuration has another version than the change
	// is based on. Nothing was changed.
	ExitConflict = 3
	// ExitUnknown: it is not known whether a change or a request took effect.
	ExitUnknown = 4
	// ExitNotEverywhere: a change was accepted, but is not yet in force (active) on every
	// listed instance.
	ExitNotEverywhere = 5
	// ExitPartial: the answer covers only a fraction of the requested keys.
	ExitPartial = 6
	// ExitNotRun: a request was refused and not executed.
	ExitNotRun = 7
)

const description = `A query tier over many shards: answers from one snapshot, with an exact statement
of coverage, and non-idempotent requests executed at most once.

Exit codes: 0 done; 1 failed; 2 bad flag, settings or configuration, nothing done;
3 the accepted configuration has another version, nothing changed; 4 not known
whether it took effect; 5 accepted but not in force everywhere yet; 6 the answer
covers less than was asked; 7 refused and not run.`

// CLI declares the command line for the parser; each field is a command.
type CLI struct {
	Serve      ServeCmd      `cmd:"" help:"Run an instance until SIGTERM or SIGINT, then leave gracefully."`
	Settings   SettingsCmd   `cmd:"" help:"Print a table of the settings of serve."`
	Config     ConfigCmd     `cmd:"" help:"Check, compare, apply and show configurations."`
	DataCentre DataCentreCmd `cmd:"" name:"data-centre" help:"Take a data centre out, or back in."`
	Query      QueryCmd      `cmd:"" help:"Send one request to an instance and print its answer."`
	Explain    ExplainCmd    `cmd:"" help:"Ask an instance where a request would be sent now, and why, without sending it."`
	Rollouts   RolloutsCmd   `cmd:"" help:"Show the roll-outs of new versions of servers: orders, state, share, counts and reason."`
	Status     StatusCmd     `cmd:"" help:"Show the instances, the configuration in force on each, and the servers by state."`
}

// streams holds the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// exitError is an error that determines the exit code.
type exitError struct {
	code int
	err  error
}

// Error implements the error interface.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the wrapped error.
func (e exitError) Unwrap() error { return e.err }

// parserExit is the exit code of a request by the parser to end the program, as after
// --help. Kong's exit hook panics with it, and Main recovers it.
type parserExit int

// Main runs the command in args and returns its exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) (code int) {
	defer func() {
		if v := recover(); v != nil {
			e, ok := v.(parserExit)
			if !ok {
				panic(v)
			}
			code = int(e)
		}
	}()
	var cli CLI
	parser, err := kong.New(&cli, kong.Name("hyssoppitch"), kong.Description(description),
		kong.Writers(out, errOut), kong.Exit(func(c int) { panic(parserExit(c)) }),
		kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		return reportError(errOut, err)
	}
	command, err := parser.Parse(args)
	if err != nil {
		return reportError(errOut, exitError{code: ExitBadInput, err: err})
	}
	return reportError(errOut, command.Run(&streams{in: in, out: out, err: errOut}))
}

// reportError prints err, if any, and returns the exit code for it.
func reportError(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(w, "hyssoppitch: %s\n", err)
	var withCode exitError
	var problems conf.Problems
	switch {
	case errors.As(err, &withCode):
		return withCode.code
	case errors.As(err, &problems):
		return ExitBadInput
	case errors.Is(err, admin.ErrConflict):
		return ExitConflict
	case errors.Is(err, admin.ErrUnknown):
		return ExitUnknown
	default:
		return ExitFailed
	}
}

// storeFlags holds the address of the store and the timeout of the calls to it.
type storeFlags struct {
	Store   string        `help:"IP number and port of the platform's store." required:"" placeholder:"IP:PORT"`
	Timeout time.Duration `help:"How long to wait in all." default:"10s"`
}

// newStore returns a client of the store for a command.
func newStore(address string) *store.Client { return store.New(address, node.DefaultGuard()) }
