package node_test

import (
	"testing"
	"time"

	"hyssoppitch/core/engine"
	"hyssoppitch/core/model"
	"hyssoppitch/io/node"
)

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
	a, _, _ := runInstance(t, first, nil)
	b, _, _ := runInstance(t, second, nil)
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
