package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

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
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	logs := &log.AsyncWriter{ChannelSize: logQueue, DiscardOnFull: true, Writer: &log.IOWriter{Writer: s.out}}
	defer func() { _ = logs.Close() }()
	parts := node.Dependencies{Log: &log.Logger{Level: log.InfoLevel, Writer: logs}}
	if settings.Routed.Enabled {
		directory := platform.NewDirectory(settings.Store)
		defer directory.Close()
		parts.Platform = &node.Platform{Directory: directory, HeaderNames: platform.Headers()}
	}
	n, err := node.New(settings, parts)
	if err != nil {
		return err
	}
	go reloadLoop(ctx, reload, c.Settings, n)
	_, _ = fmt.Fprintf(s.out, "listen %s control %s\n", n.Address(), n.ControlAddress())
	return n.Run(ctx)
}

// fileInterval is the time between two looks at the settings file: it may change
// without a signal.
const fileInterval = 2 * time.Second

// reloadLoop hands changed settings to an instance, on a signal or when the file has
// changed, until the context ends.
func reloadLoop(ctx context.Context, signals <-chan os.Signal, path string, n *node.Node) {
	tick := time.NewTicker(fileInterval)
	defer tick.Stop()
	last := modified(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-tick.C:
			if at := modified(path); at.Equal(last) {
				continue
			}
		}
		last = modified(path)
		n.Reload(setup.Load(path))
	}
}

// modified returns when a file was last changed, or the zero time if it can't be read.
func modified(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// SettingsCmd describes the settings.
type SettingsCmd struct{}

// Run implements the command.
func (c *SettingsCmd) Run(s *streams) error {
	_, err := fmt.Fprint(s.out, setup.Describe())
	return err
}
