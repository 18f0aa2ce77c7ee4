package poison

import (
	"slices"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBelief: what is believed of a fingerprint after deaths and answers, in order.
func TestBelief(t *testing.T) {
	const (
		death  = "death"
		alone  = "death alone"
		answer = "answer"
	)
	tests := []struct {
		name  string
		steps []string
		want  event.SuspicionState
	}{
		{"nothing happened", nil, 0},
		{"a server died", []string{death}, event.SuspicionRaised},
		{"two servers died, neither with it alone", []string{death, death}, event.SuspicionRaised},
		{"a server died with it alone", []string{death, alone}, event.SuspicionCondemned},
		{"it was answered", []string{death, answer}, 0},
		{"it was answered and is suspected again", []string{death, answer, death}, event.SuspicionRaised},
		{"an answer comes too late", []string{death, alone, answer}, event.SuspicionCondemned},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			var table Table
			for _, step := range test.steps {
				switch step {
				case answer:
					table.Clear(start, 1)
				default:
					table.RecordCrash(start, 1, step == alone)
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

// TestSpreadingComesToRest: word that brings nothing new is not passed on.
func TestSpreadingComesToRest(t *testing.T) {
	var a, b Table
	news := []event.Suspicion{a.RecordCrash(start, 1, false), a.RecordCrash(start, 1, true)}
	for _, n := range news {
		if !b.Apply(start, n) {
			t.Errorf("%v: got nothing new, want news", n)
		}
		if b.Apply(start, n) {
			t.Errorf("%v once more: got news, want nothing new", n)
		}
	}
	if b.Apply(start, news[0]) {
		t.Error("an older suspicion after the condemnation: got news, want nothing new")
	}
}

// TestCondemned: only what is condemned and has not expired is told to a new instance.
func TestCondemned(t *testing.T) {
	var table Table
	table.RecordCrash(start, 3, true)
	table.RecordCrash(start, 1, true)
	table.RecordCrash(start, 2, false)
	for _, test := range []struct {
		after time.Duration
		want  []model.Fingerprint
	}{{0, []model.Fingerprint{1, 3}}, {condemnedLife, nil}} {
		var got []model.Fingerprint
		for _, n := range table.Condemned(start.Add(test.after)) {
			got = append(got, n.Fingerprint)
		}
		if !slices.Equal(got, test.want) {
			t.Errorf("after %v: got %v, want %v", test.after, got, test.want)
		}
	}
}
