package cmds

import (
	"context"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/phuslu/log"

	"hyssoppitch/io/node"
	"hyssoppitch/io/setup"
	"hyssoppitch/platform"
)

// ServeCmd runs an instance.
type ServeCmd struct {
	Settings string `help:"Settings file, in JSON; see the command settings." required:"" placeholder:"FILE"`
	Check    bool   `help:"Check the settings and exit."`
}

// logQueue is the number of log lines that wait to be written; more are dropped.
const logQueue = 4096

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
	logs := &log.AsyncWriter{ChannelSize: logQueue, DiscardOnFull: true, Writer: &log.IOWriter{Writer: s.out}}
	defer func() { _ = logs.Close() }()
	parts := node.Parts{Log: &log.Logger{Level: log.InfoLevel, Writer: logs}}
	if settings.Routed.Enabled {
		directory := platform.NewDirectory(settings.Store)
		defer directory.Close()
		parts.Platform = &node.Platform{Directory: directory, Names: platform.Headers()}
	}
	n, err := node.New(settings, parts)
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
