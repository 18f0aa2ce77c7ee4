package engine_test

import (
	"fmt"
	"strings"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

// obeyedWithin is the time within which a change is to be obeyed everywhere, from
// the brief: "after a few seconds", and 5 seconds in the project's own target.
const propagationLimit = 5 * time.Second

// checkSend checks promise 7 for one attempt: no new work for a data centre that
// has been out for a few seconds.
func (w *world) checkDataCentreIn(n *node, c event.SendAttempt) {
	s := w.servers[c.Server]
	since, out := w.outSince[s.DataCentre]
	if out && w.now.Sub(since) > propagationLimit {
		w.fail("promise 7: %s sent to %s, whose data centre is out since %v", n.id, s.ID, w.now.Sub(since))
	}
}

// checkReply checks what a caller got against what the fake servers did.
func (w *world) checkReply(a *call) {
	if a.answer != nil {
		w.checkAnswer(a)
	}
}

// checkAnswer checks promises 3, 4 and 5: every result is of its own group and of
// the answer's snapshot and epoch, and the coverage is that of the results.
func (w *world) checkAnswer(a *call) {
	got := a.answer
	answered := map[string]bool{}
	for _, r := range got.Results {
		fields := strings.Split(string(r.Body), "/")
		if fields[1] != r.Group {
			w.fail("promise 3: the result of group %s is %q", r.Group, r.Body)
		}
		if !got.Replayed && (fields[2] != fmt.Sprint(got.Snapshot) || fields[3] != fmt.Sprint(got.Coverage.Epoch)) {
			w.fail("promise 4: the result %q is in an answer of snapshot %d and epoch %d", r.Body, got.Snapshot, got.Coverage.Epoch)
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
		w.fail("promise 5: coverage is stated as %v, want %v", got.Coverage.Fraction, want)
	}
	if len(got.Coverage.Answered) != len(answered) || len(got.Coverage.Answered)+len(got.Coverage.Missing) != len(got.Coverage.Asked) {
		w.fail("promise 5: asked %d, answered %d, missing %d, results of %d groups", len(got.Coverage.Asked), len(got.Coverage.Answered), len(got.Coverage.Missing), len(answered))
	}
	if a.request.Key == "" && asked != model.KeySpace {
		w.fail("promise 5: asked %d positions, want all %d", asked, model.KeySpace)
	}
}

// checkEnd checks what must hold when everything has come to rest: promises 1 and
// 2, and that every caller of a live instance got a reply.
func (w *world) checkFinalState() {
	for key, n := range w.runsByKey {
		if n > 1 {
			w.fail("promise 1: the request with key %q ran %d times", key, n)
		}
	}
	ran := map[string]bool{}
	for _, a := range w.calls {
		switch {
		case a.answer != nil && a.request.IdempotencyKey != "":
			ran[a.request.IdempotencyKey] = true
		case a.answer == nil && a.refusal == nil && !a.lost:
			w.fail("%s never replied to the request of %v", a.node.id, a.at.Sub(w.start))
		}
	}
	for key := range ran {
		if w.runsByKey[key] != 1 {
			w.fail("promise 1: an answer says that %q ran, and it ran %d times", key, w.runsByKey[key])
		}
	}
	w.checkNotRun()
}

// checkNotRun checks promise 2: of a request that was refused as not run, no
// server ever ran a part.
func (w *world) checkNotRun() {
	for _, a := range w.calls {
		if a.refusal != nil && a.refusal.Outcome == event.OutcomeNotRun && w.startedQueries[a.query] {
			w.fail("promise 2: query %s was refused as not run (%s), and ran", a.query, a.refusal.Code)
		}
	}
}

// report is what a failing run prints.
func (w *world) report() string {
	return strings.Join(w.violations, "\n") + "\nafter the faults:\n" + strings.Join(w.faultLog, "\n")
}
