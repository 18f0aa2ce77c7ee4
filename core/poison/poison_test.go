package poison

import (
	"slices"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// identity returns the identity of requests with a fingerprint and the given headers.
func identity(f model.Fingerprint, headers ...string) model.Identity {
	return model.Identity{Fingerprint: f, Traits: model.NewTraits(headers)}
}

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
					table.Clear(start, identity(1))
				default:
					table.RecordCrash(start, identity(1), step == isolatedCrash)
				}
			}
			var got event.SuspicionState
			if e := table.Get(start, identity(1)); e != nil {
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
	updates := []event.Suspicion{a.RecordCrash(start, identity(1), false), a.RecordCrash(start, identity(1), true)}
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
	table.RecordCrash(start, identity(3), true)
	table.RecordCrash(start, identity(1), true)
	table.RecordCrash(start, identity(2), false)
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

// TestChangedHeadersAreRecognized guards against a request that crashes servers and has a header of
// its own each time: it is recognized by what stays the same, and the requests of other callers are
// not affected.
func TestChangedHeadersAreRecognized(t *testing.T) {
	var table Table
	caller := func(trace string) model.Identity {
		return identity(1, "User-Agent:desk", "Cookie:a=1", "Traceparent:"+trace)
	}
	table.RecordCrash(start, caller("1"), false)
	if table.Get(start, caller("2")) != nil {
		t.Error("after one crash: a request with another header is suspected, though nothing shows which headers matter")
	}
	if !table.Resembles(start, caller("2")) {
		t.Error("after one crash: a request with another header doesn't resemble the suspected one")
	}
	table.Clear(start, identity(1, "User-Agent:desk", "Cookie:a=2", "Traceparent:9"))
	if !table.Resembles(start, caller("2")) || table.Resembles(start, identity(1, "User-Agent:desk", "Cookie:a=3", "Traceparent:8")) {
		t.Error("after an answer to another caller: its requests still resemble the suspected one, or those of the first caller don't")
	}
	table.RecordCrash(start, caller("2"), false)
	if e := table.Get(start, caller("3")); e == nil || e.State != event.SuspicionRaised || len(e.Traits) != 2 {
		t.Fatalf("after two crashes: got %+v, want a suspicion with the two headers that stay the same", e)
	}
	others := []model.Identity{
		identity(1), identity(1, "User-Agent:desk"), identity(1, "User-Agent:desk", "Cookie:a=2", "Traceparent:3"),
		identity(2, "User-Agent:desk", "Cookie:a=1", "Traceparent:3"),
	}
	for _, other := range others {
		table.Clear(start, other)
	}
	table.RecordCrash(start, caller("3"), true)
	if e := table.Get(start, caller("4")); e == nil || e.State != event.SuspicionCondemned {
		t.Errorf("after a crash of an isolated attempt: got %+v, want a condemned entry", e)
	}
	for _, other := range others {
		if e := table.Get(start, other); e != nil {
			t.Errorf("request %+v of another caller: got %+v, want no suspicion", other, e)
		}
	}
	// The caller gets another cookie.
	renewed := func(trace string) model.Identity {
		return identity(1, "User-Agent:desk", "Cookie:a=7", "Traceparent:"+trace)
	}
	table.RecordCrash(start, renewed("5"), false)
	if e := table.Get(start, renewed("6")); e == nil || e.State != event.SuspicionRaised {
		t.Errorf("after a crash with another cookie: got %+v, want a suspicion", e)
	}
}

// TestEntriesAreBounded checks that a request that never has two headers in common with an earlier one
// doesn't fill the table.
func TestEntriesAreBounded(t *testing.T) {
	var table Table
	for i := range 100 {
		table.Apply(start, event.Suspicion{Fingerprint: 1, Traits: model.Traits{uint64(i)}, State: event.SuspicionRaised, Generation: 1})
	}
	if got := table.Len(); got != maxPerFingerprint {
		t.Errorf("entries of one fingerprint: got %d, want %d", got, maxPerFingerprint)
	}
	for i := range 2 * maxEntries {
		table.RecordCrash(start.Add(time.Duration(i)), identity(model.Fingerprint(i)), false)
	}
	if got := table.Len(); got != maxEntries {
		t.Errorf("entries: got %d, want %d", got, maxEntries)
	}
}
