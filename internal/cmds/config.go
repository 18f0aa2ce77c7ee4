package cmds

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/ulid/v2"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/model"
	"hyssoppitch/decl/sample"
	"hyssoppitch/io/admin"
)

// ConfigCmd groups the configuration commands.
type ConfigCmd struct {
	PrintExample PrintExampleCmd `cmd:"" help:"Print an example configuration."`
	Check        CheckCmd        `cmd:"" help:"Check a configuration file; name every field that is wrong."`
	Diff         DiffCmd         `cmd:"" help:"Show what a file would change in the accepted configuration."`
	Apply        ApplyCmd        `cmd:"" help:"Put a file in the place of the accepted configuration."`
	Show         ShowCmd         `cmd:"" help:"Print the accepted configuration."`
}

// PrintExampleCmd prints an example configuration.
type PrintExampleCmd struct {
	Deployment string `help:"Which example." enum:"authority,trust" default:"authority"`
}

// Run implements the command.
func (c *PrintExampleCmd) Run(s *streams) error {
	layout := sample.Layout{IP: "127.0.0.1", BasePort: 21000}
	if c.Deployment == "trust" {
		return sample.Trust(layout).Print(s.out)
	}
	return sample.Authority(layout).Print(s.out)
}

// readConfig reads and checks a configuration file; path "-" is the standard input.
func readConfig(s *streams, path string) (c model.Config, err error) {
	data, err := readInput(s, path)
	if err != nil {
		return c, exitError{code: ExitBadInput, err: err}
	}
	c, err = conf.Parse(data)
	if err != nil {
		return c, exitError{code: ExitBadInput, err: errors.Wrap(err, path)}
	}
	return c, nil
}

func readInput(s *streams, path string) ([]byte, error) {
	if path == "-" {
		return io.ReadAll(s.in)
	}
	return os.ReadFile(path)
}

// CheckCmd checks a configuration file.
type CheckCmd struct {
	File string `arg:"" help:"Configuration in JSON; - is the standard input."`
}

// Run implements the command.
func (c *CheckCmd) Run(s *streams) error {
	config, err := readConfig(s, c.File)
	if err != nil {
		return err
	}
	servers := 0
	for _, svc := range config.Services {
		for _, g := range svc.Groups {
			servers += len(g.Servers)
		}
	}
	_, err = fmt.Fprintf(s.out, "%s: ok: %d services, %d servers, %d data centres\n", c.File, len(config.Services), servers, len(config.DataCentres))
	return err
}

// DiffCmd compares a file with the accepted configuration.
type DiffCmd struct {
	storeFlags
	File string `arg:"" help:"Configuration in JSON; - is the standard input."`
}

// Run implements the command.
func (c *DiffCmd) Run(s *streams) error {
	config, err := readConfig(s, c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	current, err := admin.Read(ctx, newStore(c.Store))
	if err != nil {
		return err
	}
	text, err := conf.Diff(current.Config, config)
	if err != nil {
		return err
	}
	_, err = fmt.Fprintf(s.out, "from version %d\n%s", current.Config.Version, text)
	return err
}

// ShowCmd prints the accepted configuration.
type ShowCmd struct {
	storeFlags
}

// Run implements the command.
func (c *ShowCmd) Run(s *streams) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	current, err := admin.Read(ctx, newStore(c.Store))
	if err != nil {
		return err
	}
	data, err := conf.Print(current.Config)
	if err != nil {
		return err
	}
	_, err = s.out.Write(data)
	return err
}

// applyFlags holds the flags common to the commands that change the configuration.
type applyFlags struct {
	storeFlags
	Instance []string `help:"Control address of an instance, beside those that the platform lists. Repeatable." placeholder:"IP:PORT"`
	JSON     bool     `help:"Print the result as JSON."`
}

// ApplyCmd replaces the accepted configuration with that of a file.
type ApplyCmd struct {
	applyFlags
	From *uint64 `help:"Version that the file was made from; by default the file's own version field." placeholder:"VERSION"`
	File string  `arg:"" help:"Configuration in JSON; - is the standard input."`
}

// Run implements the command.
func (c *ApplyCmd) Run(s *streams) error {
	config, err := readConfig(s, c.File)
	if err != nil {
		return err
	}
	from := config.Version
	if c.From != nil {
		from = *c.From
	}
	return c.apply(s, config, from)
}

// ApplyResult is the outcome of a change, printed as JSON for scripts.
type ApplyResult struct {
	Version   uint64           `json:"version"`
	Change    string           `json:"change"`
	InForce   bool             `json:"in-force-everywhere"`
	Instances []admin.Instance `json:"instances"`
}

// apply replaces the accepted configuration with config, if its version is from, and
// waits until config is active on every listed instance.
func (c *applyFlags) apply(s *streams, config model.Config, from uint64) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	st := newStore(c.Store)
	addresses := append([]string(nil), c.Instance...)
	// The instances are listed first, since the store may become unavailable right after
	// the change.
	if listed, err := admin.Instances(ctx, st); err == nil {
		addresses = append(addresses, listed...)
	}
	accepted, err := admin.Apply(ctx, st, config, from, ulid.Make().String())
	if errors.Is(err, admin.ErrConflict) {
		c.showConflict(ctx, s, st, config)
	}
	if err != nil {
		return err
	}
	admin.Push(ctx, addresses, accepted)
	statuses, everywhere := admin.AwaitVersion(ctx, addresses, accepted.Root.Version)
	result := ApplyResult{Version: accepted.Root.Version, Change: accepted.Root.Change, InForce: everywhere, Instances: statuses}
	if err := c.print(s, result); err != nil {
		return err
	}
	if !everywhere {
		return exitError{code: ExitNotEverywhere, err: errors.Newf("version %d is accepted, but not in force on every listed instance after %s", result.Version, c.Timeout)}
	}
	return nil
}

// showConflict prints the difference between config and the configuration that was
// accepted in the meantime.
func (c *applyFlags) showConflict(ctx context.Context, s *streams, st admin.Store, config model.Config) {
	current, err := admin.Read(ctx, st)
	if err != nil {
		return
	}
	if text, err := conf.Diff(current.Config, config); err == nil {
		_, _ = fmt.Fprintf(s.err, "the configuration to apply differs from accepted version %d:\n%s", current.Config.Version, text)
	}
}

func (c *applyFlags) print(s *streams, r ApplyResult) error {
	if c.JSON {
		return json.NewEncoder(s.out).Encode(r)
	}
	_, err := fmt.Fprintf(s.out, "accepted version %d (change %s)\n", r.Version, r.Change)
	for _, i := range r.Instances {
		if i.Status == nil {
			_, err = fmt.Fprintf(s.out, "  %-21s not reached: %s\n", i.Address, i.Error)
			continue
		}
		_, err = fmt.Fprintf(s.out, "  %-21s %-12s version %d in force\n", i.Address, i.Status.Instance.ID, i.Status.Version)
	}
	return err
}

// DataCentreCmd groups the data centre commands.
type DataCentreCmd struct {
	Out DataCentreOutCmd `cmd:"" help:"Send no new work to a data centre."`
	In  DataCentreInCmd  `cmd:"" help:"Send work to a data centre again."`
}

// DataCentreOutCmd takes a data centre out of service.
type DataCentreOutCmd struct {
	dataCentreFlags
}

// Run implements the command.
func (c *DataCentreOutCmd) Run(s *streams) error { return c.setState(s, model.DataCentreOut) }

// DataCentreInCmd puts a data centre back into service.
type DataCentreInCmd struct {
	dataCentreFlags
}

// Run implements the command.
func (c *DataCentreInCmd) Run(s *streams) error { return c.setState(s, model.DataCentreIn) }

type dataCentreFlags struct {
	applyFlags
	Name string `arg:"" help:"Name of the data centre."`
}

// conflictRetryDelay is the delay before a change is retried after a concurrent change.
const conflictRetryDelay = 20 * time.Millisecond

// setState changes the state of one data centre and retries on a conflict. The change is
// always based on the accepted version and alters nothing else, so concurrent changes of
// other operators are kept.
func (c *dataCentreFlags) setState(s *streams, state model.DataCentreState) error {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	for {
		config, err := c.configWithState(ctx, state)
		if err != nil {
			return err
		}
		err = c.apply(s, config, config.Version)
		if !errors.Is(err, admin.ErrConflict) || ctx.Err() != nil {
			return err
		}
		time.Sleep(conflictRetryDelay)
	}
}

// configWithState returns the accepted configuration with the data centre's state changed.
func (c *dataCentreFlags) configWithState(ctx context.Context, state model.DataCentreState) (config model.Config, err error) {
	current, err := admin.Read(ctx, newStore(c.Store))
	if err != nil {
		return config, err
	}
	config = current.Config
	config.DataCentres = append([]model.DataCentre(nil), config.DataCentres...)
	for i := range config.DataCentres {
		if config.DataCentres[i].Name == c.Name {
			config.DataCentres[i].State = state
			return config, nil
		}
	}
	return config, exitError{code: ExitBadInput, err: errors.Newf("data centre %q is not declared in version %d of the configuration", c.Name, config.Version)}
}
