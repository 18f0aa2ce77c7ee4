package merge_test

import (
	"bytes"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"hyssoppitch/core/merge"
)

func record(b byte) []byte { return bytes.Repeat([]byte{b}, merge.RecordSize) }

func TestTop(t *testing.T) {
	tests := []struct {
		name  string
		parts [][]byte
		n     int
		want  []byte
	}{
		{"no parts", nil, 3, nil},
		{"fewer records than n", [][]byte{record(1)}, 3, record(1)},
		{"duplicates are kept", [][]byte{record(2), record(2)}, 2, slices.Concat(record(2), record(2))},
		{"remainder is ignored", [][]byte{append(record(1), 9, 9, 9)}, 3, record(1)},
		{"bytes are unsigned", [][]byte{slices.Concat(record(0x7f), record(0x80))}, 1, record(0x80)},
		{"n is zero", [][]byte{record(1)}, 0, nil},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			if got := merge.Top(test.parts, test.n); !bytes.Equal(got, test.want) {
				t.Errorf("got %x, want %x", got, test.want)
			}
		})
	}
}

// TestTopIsSortedPrefix checks that Top returns the first n records of all records sorted in
// descending order.
func TestTopIsSortedPrefix(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(0, 12).Draw(t, "n")
		parts := rapid.SliceOfN(rapid.SliceOfN(rapid.Byte(), 0, 90), 0, 6).Draw(t, "parts")
		var all [][]byte
		for _, p := range parts {
			for ; len(p) >= merge.RecordSize; p = p[merge.RecordSize:] {
				all = append(all, p[:merge.RecordSize])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		want := bytes.Join(all[:min(n, len(all))], nil)
		if got := merge.Top(parts, n); !bytes.Equal(got, want) {
			t.Fatalf("got %x, want %x", got, want)
		}
	})
}
