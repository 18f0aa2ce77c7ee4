package engine_test

import (
	"fmt"
	"strings"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// propagationLimit is the time within which a change must take effect on all instances.
// The requirement is "after a few seconds"; the target of this project is 5 seconds.
const propagationLimit = 5 * time.Second

// checkDataCentreIn checks that an attempt doesn't go to a data centre that was taken
// out of service longer ago than propagationLimit.
func (w *simulation) checkDataCentreIn(n *node, c event.SendAttempt) {
	s := w.servers[c.Server]
	since, out := w.outSince[s.DataCentre]
	if out && w.now.Sub(since) > propagationLimit {
		w.fail("%s sent to %s, whose data centre was taken out %v ago", n.id, s.ID, w.now.Sub(since))
	}
}

// checkReply checks a caller's answer.
func (w *simulation) checkReply(c *call) {
	if c.answer != nil {
		w.checkAnswer(c)
	}
}

// checkAnswer checks that every result comes from its own group and has the snapshot
// and map epoch of the answer, and that the stated coverage matches the results.
func (w *simulation) checkAnswer(c *call) {
	got := c.answer
	answered := map[string]bool{}
	for _, r := range got.Results {
		fields := strings.Split(string(r.Body), "/")
		if fields[1] != r.Group {
			w.fail("wrong group: the result listed for group %s is %q", r.Group, r.Body)
		}
		if !got.Replayed && (fields[2] != fmt.Sprint(got.Snapshot) || fields[3] != fmt.Sprint(got.Coverage.Epoch)) {
			w.fail("mixed versions: the result %q is in an answer of snapshot %d and epoch %d", r.Body, got.Snapshot, got.Coverage.Epoch)
		}
		answered[r.Group] = true
	}
	var asked, covered uint32
	for _, g := range got.Coverage.Asked {
		asked += g.Keys.Size()
		if answered[g.Group] {
			covered += g.Keys.Size()
		}
	}
	if want := float64(covered) / float64(asked); got.Coverage.Fraction != want {
		w.fail("wrong coverage: got fraction %v, want %v", got.Coverage.Fraction, want)
	}
	if len(got.Coverage.Answered) != len(answered) || len(got.Coverage.Answered)+len(got.Coverage.Missing) != len(got.Coverage.Asked) {
		w.fail("wrong coverage: asked %d, answered %d, missing %d, results of %d groups", len(got.Coverage.Asked), len(got.Coverage.Answered), len(got.Coverage.Missing), len(answered))
	}
	if c.request.Key == "" && asked != model.KeySpace {
		w.fail("wrong coverage: asked %d positions, want all %d", asked, model.KeySpace)
	}
}

// checkFinalState checks what must hold when the simulation is idle: non-idempotent
// requests ran at most once, requests refused as not run did not run, and every caller of
// a live instance got a reply.
func (w *simulation) checkFinalState() {
	for key, n := range w.runsByKey {
		if n > 1 {
			w.fail("at most once: the request with key %q ran %d times", key, n)
		}
	}
	ran := map[string]bool{}
	for _, c := range w.calls {
		switch {
		case c.answer != nil && c.request.IdempotencyKey != "":
			ran[c.request.IdempotencyKey] = true
		case c.answer == nil && c.refusal == nil && !c.lost:
			w.fail("%s never replied to the request of %v", c.node.id, c.at.Sub(w.start))
		}
	}
	for key := range ran {
		if w.runsByKey[key] != 1 {
			w.fail("at most once: an answer states that %q ran, but it ran %d times", key, w.runsByKey[key])
		}
	}
	w.checkNotRun()
}

// checkNotRun checks that no server ever ran a part of a request that was refused as
// not run.
func (w *simulation) checkNotRun() {
	for _, c := range w.calls {
		if c.refusal != nil && c.refusal.Outcome == event.OutcomeNotRun && w.startedQueries[c.query] {
			w.fail("wrong outcome: query %s was refused as not run (%s), but ran", c.query, c.refusal.Code)
		}
	}
}

// report returns the violations and the faults of the run, for the message of a failed
// test.
func (w *simulation) report() string {
	return strings.Join(w.violations, "\n") + "\nafter these faults:\n" + strings.Join(w.faultLog, "\n")
}
