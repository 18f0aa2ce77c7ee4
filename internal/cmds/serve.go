package cmds

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"runtime/debug"
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

// logQueueLines is the maximum number of log lines waiting to be written; further lines are
// dropped.
const logQueueLines = 4096

// Run implements the command. It checks the settings before it opens any port.
func (c *ServeCmd) Run(s *streams) error {
	settings, err := setup.Load(c.Settings)
	if err != nil {
		return exitError{code: ExitBadInput, err: err}
	}
	if c.Check {
		_, _ = fmt.Fprintf(s.out, "%s: ok\n", c.Settings)
		return nil
	}
	if os.Getenv("GOMEMLIMIT") == "" {
		debug.SetMemoryLimit(node.MemoryLimit(settings))
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	defer signal.Stop(reload)
	logs := &log.AsyncWriter{ChannelSize: logQueueLines, DiscardOnFull: true, Writer: &log.IOWriter{Writer: s.out}}
	defer func() { _ = logs.Close() }()
	dependencies := node.Dependencies{Memory: node.NewGuard(settings, node.SystemClock{}), Log: &log.Logger{Level: log.InfoLevel, Writer: logs}}
	if settings.Routed.Enabled {
		directory := platform.NewDirectory(settings.Store, dependencies.Memory)
		defer directory.Close()
		dependencies.Platform = &node.Platform{Directory: directory, HeaderNames: platform.Headers(), Rollouts: directory}
	}
	n, err := node.New(settings, dependencies)
	if err != nil {
		return err
	}
	go watchSettings(ctx, reload, c.Settings, n)
	_, _ = fmt.Fprintf(s.out, "listen %s control %s\n", n.Address(), n.ControlAddress())
	return n.Run(ctx)
}

// settingsPollInterval is the time between two checks of the settings file, which may change
// without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings of an instance on a signal or when the file has changed,
// until ctx is done.
func watchSettings(ctx context.Context, signals <-chan os.Signal, path string, n *node.Node) {
	tick := time.NewTicker(settingsPollInterval)
	defer tick.Stop()
	last := modTime(path)
	for {
		select {
		case <-ctx.Done():
			return
		case <-signals:
		case <-tick.C:
			if at := modTime(path); at.Equal(last) {
				continue
			}
		}
		last = modTime(path)
		n.Reload(setup.Load(path))
	}
}

// modTime returns the modification time of a file, or the zero time if that can't be read.
func modTime(path string) time.Time {
	info, err := os.Stat(path)
	if err != nil {
		return time.Time{}
	}
	return info.ModTime()
}

// SettingsCmd prints a table of the settings.
type SettingsCmd struct{}

// Run implements the command.
func (c *SettingsCmd) Run(s *streams) error {
	_, err := fmt.Fprint(s.out, setup.Describe())
	return err
}
