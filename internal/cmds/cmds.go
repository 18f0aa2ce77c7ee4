// Package cmds owns the command line of hyssoppitch: its commands, flags, output
// and exit codes. What a command does is left to packages node, admin and front.
package cmds

import (
	"fmt"
	"io"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/io/admin"
)

// Exit codes; README.md and docs/operators.md list them.
const (
	ExitOK = 0
	// ExitFailed: the command failed; nothing is known to have changed.
	ExitFailed = 1
	// ExitBadInput: a flag, a settings file or a configuration is wrong. Nothing
	// was done.
	ExitBadInput = 2
	// ExitConflict: the accepted configuration is not the one named. Nothing was
	// changed.
	ExitConflict = 3
	// ExitUnknown: it is not known whether a change or a request took effect.
	ExitUnknown = 4
	// ExitNotEverywhere: a change was accepted, but is not in force on every
	// listed instance yet.
	ExitNotEverywhere = 5
	// ExitPartial: a query's answer covers less than was asked.
	ExitPartial = 6
	// ExitNotRun: a request was refused and did not run.
	ExitNotRun = 7
)

const about = `A query tier over many shards: one snapshot, a true statement of coverage, and
non-idempotent requests at most once.

Exit codes: 0 done; 1 failed; 2 bad flag, settings or configuration, nothing done;
3 the accepted configuration is another version, nothing changed; 4 not known
whether it took effect; 5 accepted but not in force everywhere yet; 6 the answer
covers less than was asked; 7 refused and not run.`

// CLI is the whole command line.
type CLI struct {
	Serve      ServeCmd      `cmd:"" help:"Run an instance until SIGTERM or SIGINT, then leave gracefully."`
	Settings   SettingsCmd   `cmd:"" help:"Print a table of the settings of serve."`
	Config     ConfigCmd     `cmd:"" help:"Check, compare, apply and show configurations."`
	DataCentre DataCentreCmd `cmd:"" name:"data-centre" help:"Take a data centre out, or back in."`
	Query      QueryCmd      `cmd:"" help:"Send one request to an instance and print its answer."`
	Status     StatusCmd     `cmd:"" help:"Show the instances, the configuration in force on each, and the servers by state."`
}

// streams are the standard streams of a command.
type streams struct {
	in  io.Reader
	out io.Writer
	err io.Writer
}

// exitError is an error with an exit code of its own.
type exitError struct {
	code int
	err  error
}

// Error implements error.
func (e exitError) Error() string { return e.err.Error() }

// Unwrap returns the cause.
func (e exitError) Unwrap() error { return e.err }

// exited is panicked by kong's exit hook, to end parsing after --help.
type exited int

// Main runs one command and returns its exit code.
func Main(args []string, in io.Reader, out, errOut io.Writer) (code int) {
	defer func() {
		if v := recover(); v != nil {
			e, ok := v.(exited)
			if !ok {
				panic(v)
			}
			code = int(e)
		}
	}()
	var cli CLI
	parser, err := kong.New(&cli, kong.Name("hyssoppitch"), kong.Description(about),
		kong.Writers(out, errOut), kong.Exit(func(c int) { panic(exited(c)) }),
		kong.UsageOnError(), kong.ConfigureHelp(kong.HelpOptions{Compact: true}))
	if err != nil {
		return fail(errOut, err)
	}
	command, err := parser.Parse(args)
	if err != nil {
		return fail(errOut, exitError{code: ExitBadInput, err: err})
	}
	return fail(errOut, command.Run(&streams{in: in, out: out, err: errOut}))
}

// fail prints an error and returns the exit code that it stands for.
func fail(w io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	_, _ = fmt.Fprintf(w, "hyssoppitch: %s\n", err)
	var own exitError
	var problems conf.Problems
	switch {
	case errors.As(err, &own):
		return own.code
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

// storeFlags name the store and bound the calls to it.
type storeFlags struct {
	Store   string        `help:"IP number and port of the platform's store." required:"" placeholder:"IP:PORT"`
	Timeout time.Duration `help:"How long to wait in all." default:"10s"`
}
