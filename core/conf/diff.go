package conf

import (
	"fmt"
	"strings"

	"hyssoppitch/core/model"
)

// contextLines is the number of unchanged lines shown around a change.
const contextLines = 2

// Diff returns the lines in which two configurations differ, with "-" before the lines
// that only a has, "+" before those that only b has, and unchanged lines around them.
// It returns "" if there are none. It ignores the version and the change ID.
func Diff(a, b model.Config) (text string, err error) {
	a.Version, b.Version = 0, 0
	a.Change, b.Change = "", ""
	from, err := Print(a)
	if err != nil {
		return "", err
	}
	to, err := Print(b)
	if err != nil {
		return "", err
	}
	return diffLines(strings.Split(string(from), "\n"), strings.Split(string(to), "\n")), nil
}

// diffLines skips the common lines at the start and at the end, and aligns the others
// by their longest common subsequence.
func diffLines(a, b []string) string {
	head := 0
	for head < len(a) && head < len(b) && a[head] == b[head] {
		head++
	}
	if head == len(a) && head == len(b) {
		return ""
	}
	tail := 0
	for tail < len(a)-head && tail < len(b)-head && a[len(a)-1-tail] == b[len(b)-1-tail] {
		tail++
	}
	var out strings.Builder
	for _, line := range a[max(0, head-contextLines):head] {
		fmt.Fprintf(&out, "  %s\n", line)
	}
	writeAligned(&out, a[head:len(a)-tail], b[head:len(b)-tail])
	for _, line := range a[len(a)-tail : min(len(a), len(a)-tail+contextLines)] {
		fmt.Fprintf(&out, "  %s\n", line)
	}
	return out.String()
}

// maxAlignedLines limits the alignment table to about 16 million cells. Longer texts
// are shown as removed and added in full.
const maxAlignedLines = 4096

// writeAligned writes the difference of two texts, aligned by their longest common
// subsequence.
func writeAligned(out *strings.Builder, a, b []string) {
	if len(a) > maxAlignedLines || len(b) > maxAlignedLines {
		writeLines(out, "-", a)
		writeLines(out, "+", b)
		return
	}
	length := suffixLCSLengths(a, b)
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			fmt.Fprintf(out, "  %s\n", a[i])
			i++
			j++
		case length[i+1][j] >= length[i][j+1]:
			fmt.Fprintf(out, "- %s\n", a[i])
			i++
		default:
			fmt.Fprintf(out, "+ %s\n", b[j])
			j++
		}
	}
	writeLines(out, "-", a[i:])
	writeLines(out, "+", b[j:])
}

// writeLines writes lines with a mark in front of each.
func writeLines(out *strings.Builder, mark string, lines []string) {
	for _, line := range lines {
		fmt.Fprintf(out, "%s %s\n", mark, line)
	}
}

// suffixLCSLengths returns the length of the longest common subsequence of each pair
// of suffixes: element [i][j] is that of a[i:] and b[j:].
func suffixLCSLengths(a, b []string) [][]int32 {
	length := make([][]int32, len(a)+1)
	for i := range length {
		length[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				length[i][j] = length[i+1][j+1] + 1
			} else {
				length[i][j] = max(length[i+1][j], length[i][j+1])
			}
		}
	}
	return length
}
