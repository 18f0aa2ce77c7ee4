package engine_test

import (
	"fmt"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// testConfig returns a configuration with one service, whose groups have one server in
// each of three data centres.
func testConfig(groups int) model.Config {
	c := model.Config{DataCentres: []model.DataCentre{
		{Name: "dc0", Region: "r0", State: model.DataCentreIn},
		{Name: "dc1", Region: "r1", State: model.DataCentreIn},
		{Name: "dc2", Region: "r2", State: model.DataCentreIn},
	}}
	svc := model.Service{
		Name: "desk", Epoch: 1, Slots: 3, Connections: 30,
		Classes: []model.Class{
			{Name: "lookup", Deadline: model.Duration(250 * time.Millisecond), LeastCoverage: 0.5},
			{Name: "urgent", Urgent: true, Deadline: model.Duration(250 * time.Millisecond), LeastCoverage: 1},
			{Name: "order", NonIdempotent: true, Deadline: model.Duration(2 * time.Second), LeastCoverage: 1},
		},
	}
	for g := range groups {
		group := model.Group{Name: fmt.Sprintf("g%d", g), Keys: model.Range{
			From: uint32(g * model.KeySpace / groups), To: uint32((g + 1) * model.KeySpace / groups),
		}}
		for r := range 3 {
			n := 3*g + r
			group.Servers = append(group.Servers, model.Server{
				ID: model.ServerID(fmt.Sprintf("s%d-%d", g, r)), Address: fmt.Sprintf("127.0.0.1:%d", 2000+n), DataCentre: fmt.Sprintf("dc%d", r),
			})
		}
		svc.Groups = append(svc.Groups, group)
	}
	c.Services = []model.Service{svc}
	return c
}

func lookup() event.Request { return event.Request{Service: "desk", Body: []byte("look")} }

func order(key string) event.Request {
	return event.Request{Service: "desk", Class: "order", Key: key, IdempotencyKey: key, Body: []byte(key)}
}

// warmUp runs the simulation under load until every server is warm.
func (w *simulation) warmUp(t *testing.T) {
	t.Helper()
	w.advance(3 * time.Second)
	for range 1000 {
		for _, n := range w.nodes {
			n.call(lookup())
		}
		w.advance(20 * time.Millisecond)
		if w.allWarm() {
			w.advance(time.Second)
			return
		}
	}
	t.Fatalf("servers are not warm after %v", w.now.Sub(w.start))
}

// allWarm reports whether every server is warm and every node regards it as warm.
func (w *simulation) allWarm() bool {
	for _, id := range w.ids {
		if w.servers[id].warmth < runsUntilWarm {
			return false
		}
	}
	for _, n := range w.nodes {
		for _, b := range n.engine.Servers.Rows {
			if b.State.String() != "warm" {
				return false
			}
		}
	}
	return true
}

// finish runs the simulation until it is idle and fails the test on any violation.
func (w *simulation) finish(t *testing.T) {
	t.Helper()
	w.advance(5 * time.Second)
	w.checkFinalState()
	if len(w.violations) > 0 {
		t.Error(w.report())
	}
}

// TestWarmUpDoesNotOverloadColdServers checks that servers which start cold don't crash
// because of overload, and that the service answers in full once they are warm.
func TestWarmUpDoesNotOverloadColdServers(t *testing.T) {
	w := newSimulation(1, testConfig(4), 4)
	w.warmUp(t)
	for _, id := range w.ids {
		if got := w.servers[id].overloads; got != 0 {
			t.Errorf("server %s: crashed %d times because of overload, want 0", id, got)
		}
	}
	c := w.nodes[0].call(lookup())
	w.finish(t)
	if c.answer == nil || c.answer.Status != event.StatusComplete {
		t.Errorf("got %+v %+v, want a complete answer", c.answer, c.refusal)
	}
}
