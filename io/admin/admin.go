// Package admin implements the operators' commands: reading the accepted configuration,
// replacing it by compare-and-swap, pushing it to the instances, and asking the instances
// which configuration is active. The command line in internal/cmds prints the results.
package admin

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"hyssoppitch/core/conf"
	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/io/node"
	"hyssoppitch/io/store"
)

// Errors that commands distinguish.
var (
	// ErrConflict is returned when the accepted configuration is not the version that
	// the change was made from. Nothing was changed.
	ErrConflict = errors.New("the accepted configuration is another version")
	// ErrUnknown is returned when the store did not answer. The change may or may not
	// have been accepted.
	ErrUnknown = errors.New("it is not known whether the change was accepted")
)

const (
	// confirmTimeout limits the time in which a write whose reply was lost is confirmed by
	// reading.
	confirmTimeout = 5 * time.Second
	// pollInterval is the delay between two reads of the store, or of the instances'
	// statuses.
	pollInterval = 100 * time.Millisecond
	// callTimeout limits one call to an instance.
	callTimeout = 2 * time.Second
	// maxReplyBytes is the maximum size of the reply of an instance. Its status has some hundred bytes for each
	// instance and server.
	maxReplyBytes = 16 << 20
)

// Store is the part of the platform's key-value service that the commands use.
type Store interface {
	Get(ctx context.Context, key string) (store.Value, error)
	Swap(ctx context.Context, key string, revision int64, data []byte) (store.Value, error)
	Processes(ctx context.Context) (store.Processes, error)
}

// Current is the accepted configuration, as read from the store.
type Current struct {
	Config model.Config
	Root   conf.Root
	// Revision is the revision of the root in the store, in its Era; zero when there is none yet.
	Revision int64
	Era      uint64
}

// Read returns the accepted configuration. Its version is zero when no configuration has
// been accepted yet.
func Read(ctx context.Context, s Store) (c Current, err error) {
	defer func() { err = errors.Wrap(err, "read configuration") }()
	v, err := s.Get(ctx, conf.RootKey)
	c.Era = v.Era
	if err != nil || v.Revision == 0 {
		return c, err
	}
	c.Revision = v.Revision
	c.Root, err = conf.ParseRoot(v.Data)
	if err != nil {
		return c, err
	}
	parts := map[conf.Digest][]byte{}
	for _, d := range c.Root.Digests() {
		part, err := s.Get(ctx, conf.PartPrefix+string(d))
		if err != nil {
			return c, err
		}
		parts[d] = part.Data
	}
	c.Config, err = conf.Join(c.Root, parts)
	return c, err
}

// Accepted is a configuration that the store has accepted, in the form in which it is
// stored.
type Accepted struct {
	Root  conf.Root
	Parts []conf.Part
}

// Apply replaces version from of the configuration by c. change identifies this change
// and must be unique. Apply fails with ErrConflict when another version is accepted, and
// with ErrUnknown when the store did not answer and a later read did not show whether the
// write took effect.
func Apply(ctx context.Context, s Store, c model.Config, from uint64, change string) (a Accepted, err error) {
	defer func() { err = errors.Wrapf(err, "apply configuration made from version %d", from) }()
	current, err := Read(ctx, s)
	if err != nil {
		return a, err
	}
	if current.Config.Version != from {
		return a, errors.Wrapf(ErrConflict, "version %d by change %q is accepted", current.Config.Version, current.Config.Change)
	}
	c.Version, c.Change = from+1, change
	if err := conf.Check(&c); err != nil {
		return a, err
	}
	a.Root, a.Parts, err = conf.Split(c)
	if err != nil {
		return a, err
	}
	a.Root.Era = current.Era
	if err := writeParts(ctx, s, a.Parts); err != nil {
		return a, err
	}
	return a, writeRoot(ctx, s, a.Root, current.Revision)
}

// writeParts writes the parts that the store doesn't have yet. The key of a part holds
// its digest, so a part that exists already has the same content.
func writeParts(ctx context.Context, s Store, parts []conf.Part) error {
	for _, p := range parts {
		_, err := s.Swap(ctx, conf.PartPrefix+string(p.Digest), 0, p.Data)
		if err != nil && !errors.Is(err, store.ErrConflict) {
			return err
		}
	}
	return nil
}

// writeRoot replaces the root, by which the configuration becomes the accepted one.
func writeRoot(ctx context.Context, s Store, r conf.Root, revision int64) error {
	data, err := json.Marshal(r)
	if err != nil {
		return err
	}
	_, err = s.Swap(ctx, conf.RootKey, revision, data)
	switch {
	case err == nil:
		return nil
	case errors.Is(err, store.ErrRefused):
		return err
	}
	// The reply was lost, or another root is stored: read the root to find out which.
	return confirmWrite(ctx, s, r, revision)
}

// confirmWrite reads the root to find out whether a write of it took effect. A root with
// the ID of this change means that it did; one with another ID and at least the same
// version means that it did not. While the revision is unchanged the write may still
// arrive, so confirmWrite polls until confirmTimeout.
func confirmWrite(ctx context.Context, s Store, r conf.Root, revision int64) error {
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	for {
		v, err := s.Get(ctx, conf.RootKey)
		if err == nil && v.Revision != revision {
			stored, err := conf.ParseRoot(v.Data)
			switch {
			case err != nil:
				return err
			case stored.Version == r.Version && stored.Change == r.Change:
				return nil
			case stored.Version >= r.Version:
				return errors.Wrapf(ErrConflict, "version %d by change %q is accepted", stored.Version, stored.Change)
			}
		}
		select {
		case <-ctx.Done():
			return ErrUnknown
		case <-time.After(pollInterval):
		}
	}
}

// Instance is the result of asking one instance for its status.
type Instance struct {
	Address string       `json:"address"`
	Status  *node.Status `json:"status,omitempty"`
	// Error says why there is no status.
	Error string `json:"error,omitempty"`
}

// Instances returns the control addresses of the instances that the platform lists as
// live or leaving.
func Instances(ctx context.Context, s Store) (addresses []string, err error) {
	p, err := s.Processes(ctx)
	if err != nil {
		return nil, errors.Wrap(err, "list instances")
	}
	for _, i := range p.Instances {
		if i.State == event.ListedLive || i.State == event.ListedLeaving {
			addresses = append(addresses, i.Address)
		}
	}
	return addresses, nil
}

// Statuses asks all instances for their statuses, concurrently.
func Statuses(ctx context.Context, addresses []string, withServers bool) []Instance {
	path := node.PathStatus
	if withServers {
		path += "?servers=1"
	}
	out := make([]Instance, len(addresses))
	done := make(chan struct{})
	for i, address := range addresses {
		go func() {
			out[i] = fetchStatus(ctx, address, path)
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
	return out
}

func fetchStatus(ctx context.Context, address, path string) Instance {
	var s node.Status
	if err := call(ctx, http.MethodGet, address, path, nil, &s); err != nil {
		return Instance{Address: address, Error: err.Error()}
	}
	return Instance{Address: address, Status: &s}
}

// Push sends an accepted configuration to each instance. It ignores failures: an instance
// that can't be reached gets the configuration from the store or from its peers.
func Push(ctx context.Context, addresses []string, a Accepted) {
	push := node.Push{Root: a.Root, Parts: map[conf.Digest][]byte{}}
	for _, p := range a.Parts {
		push.Parts[p.Digest] = p.Data
	}
	done := make(chan struct{})
	for _, address := range addresses {
		go func() {
			_ = call(ctx, http.MethodPost, address, node.PathPush, push, nil)
			done <- struct{}{}
		}()
	}
	for range addresses {
		<-done
	}
}

// AwaitVersion polls the instances until a version, or a later one, is active on all of
// them, or the context ends. It returns the last statuses and whether all have it.
func AwaitVersion(ctx context.Context, addresses []string, version uint64) (last []Instance, all bool) {
	for {
		last = Statuses(ctx, addresses, false)
		all = true
		for _, i := range last {
			all = all && i.Status != nil && i.Status.Version >= version
		}
		if all {
			return last, true
		}
		select {
		case <-ctx.Done():
			return last, false
		case <-time.After(pollInterval):
		}
	}
}

// call sends one request to an instance's control listener.
func call(ctx context.Context, method, address, path string, in, out any) (err error) {
	defer func() { err = errors.Wrapf(err, "instance at %s", address) }()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	body := new(bytes.Buffer)
	if in != nil {
		if err := json.NewEncoder(body).Encode(in); err != nil {
			return err
		}
	}
	r, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, body)
	if err != nil {
		return err
	}
	reply, err := http.DefaultClient.Do(r)
	if err != nil {
		return err
	}
	defer func() { _ = reply.Body.Close() }()
	if reply.StatusCode >= http.StatusMultipleChoices {
		return errors.Newf("HTTP status %d", reply.StatusCode)
	}
	if out == nil {
		return nil
	}
	limited := &io.LimitedReader{R: reply.Body, N: maxReplyBytes + 1}
	err = json.NewDecoder(limited).Decode(out)
	if limited.N <= 0 {
		return errors.Newf("the reply has more than %d bytes", maxReplyBytes)
	}
	return err
}
