package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/phuslu/log"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/model"
	"hyssoppitch/io/node"
	"hyssoppitch/io/setup"
)

// instanceSettings returns the settings of an instance that relays requests, listens on ports that the
// system chooses, and knows the given seeds.
func instanceSettings(id model.InstanceID, seeds ...string) setup.Settings {
	s := setup.Default()
	s.Instance, s.DataCentre, s.Seeds = id, "dc0", seeds
	s.Listen, s.Control, s.Store = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:1"
	s.Shutdown = setup.Shutdown{}
	s.Routed.Enabled = true
	return s
}

// runInstance runs an instance until the test ends.
func runInstance(t *testing.T, s setup.Settings) *node.Node {
	t.Helper()
	n, err := node.New(s, node.Dependencies{
		Log: &log.Logger{Level: log.ErrorLevel}, Platform: &node.Platform{Directory: fixedDirectory{}, HeaderNames: headerNames},
	})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := n.Run(ctx); err != nil {
			t.Errorf("instance %s ended with %v", s.Instance, err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

// linkedPeers returns the peers that an instance has links to.
func linkedPeers(n *node.Node) (linked []model.InstanceID) {
	n.View(func(e *engine.Engine) { linked = e.Members.Linked() })
	return linked
}

// TestReloadAppliesSeeds guards against instances that keep the seeds with which they started: after all
// seeds were replaced, and the settings with them, the instances find each other.
func TestReloadAppliesSeeds(t *testing.T) {
	// Nothing listens at the old seeds.
	const stale = "127.0.0.1:9"
	first, second := instanceSettings("first", stale), instanceSettings("second", stale)
	a, b := runInstance(t, first), runInstance(t, second)
	time.Sleep(500 * time.Millisecond)
	if got := len(linkedPeers(a)) + len(linkedPeers(b)); got > 0 {
		t.Fatalf("links with stale seeds: got %d, want none", got)
	}
	first.Seeds, second.Seeds = []string{a.ControlAddress(), b.ControlAddress()}, []string{a.ControlAddress(), b.ControlAddress()}
	a.Reload(first, nil)
	b.Reload(second, nil)
	for end := time.Now().Add(3 * time.Second); len(linkedPeers(a)) != 1 || len(linkedPeers(b)) != 1; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(end) {
			t.Fatalf("3s after the reload: got links to %v and %v, want one each", linkedPeers(a), linkedPeers(b))
		}
	}
	// Settings that name the seeds as before change nothing.
	a.Reload(first, nil)
	time.Sleep(200 * time.Millisecond)
	if got := linkedPeers(a); len(got) != 1 {
		t.Errorf("after another reload: got links to %v, want one", got)
	}
}
