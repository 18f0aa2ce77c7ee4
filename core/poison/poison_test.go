package poison

import (
	"slices"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestSuspicionTransitions checks the state of a fingerprint after a sequence of crashes and
// answers.
func TestSuspicionTransitions(t *testing.T) {
	const (
		crash         = "crash"
		isolatedCrash = "isolated crash"
		answer        = "answer"
	)
	tests := []struct {
		name  string
		steps []string
		want  event.SuspicionState
	}{
		{"nothing happened", nil, 0},
		{"one crash", []string{crash}, event.SuspicionRaised},
		{"two crashes, neither isolated", []string{crash, crash}, event.SuspicionRaised},
		{"crash of an isolated attempt", []string{crash, isolatedCrash}, event.SuspicionCondemned},
		{"cleared by an answer", []string{crash, answer}, 0},
		{"suspected again after an answer", []string{crash, answer, crash}, event.SuspicionRaised},
		{"answer after the condemnation", []string{crash, isolatedCrash, answer}, event.SuspicionCondemned},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			for _, step := range test.steps {
				switch step {
				case answer:
					table.Clear(start, 1)
				default:
					table.RecordCrash(start, 1, step == isolatedCrash)
				}
			}
			var got event.SuspicionState
			if e := table.Get(start, 1); e != nil {
				got = e.State
			}
			if got != test.want {
				t.Errorf("got %v, want %v", got, test.want)
			}
		})
	}
}

// TestApplyIgnoresKnownSuspicions checks that Apply reports an update as new only once:
// otherwise instances would pass updates on to each other without end.
func TestApplyIgnoresKnownSuspicions(t *testing.T) {
	var a, b Table
	updates := []event.Suspicion{a.RecordCrash(start, 1, false), a.RecordCrash(start, 1, true)}
	for _, u := range updates {
		if !b.Apply(start, u) {
			t.Errorf("%v: got false, want true for a new update", u)
		}
		if b.Apply(start, u) {
			t.Errorf("%v again: got true, want false for a known update", u)
		}
	}
	if b.Apply(start, updates[0]) {
		t.Error("suspicion after the condemnation: got true, want false")
	}
}

// TestCondemnedListsUnexpiredOnly checks that Condemned omits suspected and expired entries.
func TestCondemnedListsUnexpiredOnly(t *testing.T) {
	var table Table
	table.RecordCrash(start, 3, true)
	table.RecordCrash(start, 1, true)
	table.RecordCrash(start, 2, false)
	for _, test := range []struct {
		after time.Duration
		want  []model.Fingerprint
	}{{0, []model.Fingerprint{1, 3}}, {condemnedTTL, nil}} {
		var got []model.Fingerprint
		for _, s := range table.Condemned(start.Add(test.after)) {
			got = append(got, s.Fingerprint)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("after %v: got %v, want %v", test.after, got, test.want)
		}
	}
}
