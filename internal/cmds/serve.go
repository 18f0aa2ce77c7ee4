package cmds

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"hyssoppitch/io/node"
	"hyssoppitch/io/setup"
)

// ServeCmd runs an instance.
type ServeCmd struct {
	Settings string `help:"Settings file, in JSON; see the command settings." required:"" placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`
}

// Run implements the command. Settings are checked before any port is opened.
func (c *ServeCmd) Run(s *streams) error {
	settings, err := setup.Load(c.Settings)
	if err != nil {
		return exitError{code: ExitBadInput, err: err}
	}
	if c.Check {
		_, _ = fmt.Fprintf(s.out, "%s: ok\n", c.Settings)
		return nil
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	n, err := node.New(settings, node.Parts{Log: &log.Logger{Level: log.InfoLevel, Writer: &log.IOWriter{Writer: s.err}}})
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(s.out, "listen %s control %s\n", n.Address(), n.ControlAddress())
	return n.Run(ctx)
}

// SettingsCmd describes the settings.
type SettingsCmd struct{}

// Run implements the command.
func (c *SettingsCmd) Run(s *streams) error {
	_, err := fmt.Fprint(s.out, setup.Describe())
	return err
}
