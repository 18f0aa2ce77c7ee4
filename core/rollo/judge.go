package rollo

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
)

const (
	// judgeWindow is the time over which recent answers are judged apart from all others, so that
	// a version that turns bad late is found as soon as one that is bad from the start. It exceeds
	// the delay of the counts.
	judgeWindow = 4 * time.Second
	// latestWindow is the time over which the answers of the other servers show what is expected of
	// the version: trouble that begins or ends for all servers must not tell against it or for it.
	latestWindow = time.Second
	// windowPrior is the weight, in answers, of all answers of the other servers beside those within
	// judgeWindow, and latestPrior that of the latter beside those within latestWindow.
	windowPrior, latestPrior = 20, 5
	// A version is bad if its bad answers exceed the expected ones by badExcess plus badSpread
	// times the square root of the expected ones. One pause of a server makes several answers
	// slow, so that the spread is larger than that of independent answers. The decision must fall
	// long before the 50th bad answer, since counts arrive up to 1.5 s late.
	badExcess = 12
	badSpread = 4
	// The same before a larger share, where less evidence suffices: few answers may be all that
	// there is. Failures are rarer at healthy servers than slow answers.
	gateFailed, gateSlow = 3, 6
	// maxFailedShare is the part of its answers that may fail, beyond the expected ones, at a version that is
	// accepted although they exceed gateFailed: among many answers some fail for other reasons.
	maxFailedShare = 0.1
	// If one server's part of bad answers is serverFactor times that of the others with the same
	// version, which have given minOtherAnswers at least, then badExcess is serverExcess instead: it
	// must still stop the version before its 50th bad answer.
	serverFactor    = 5
	minOtherAnswers = 12
	serverExcess    = 40
)

// total is the name under which the answers of all routes are judged together. No route has it.
const total = ""

// Judge judges a version by its answers, compared with those of the other servers at the same time.
// The zero value is ready for use.
type Judge struct {
	routes map[string]*evidence
	// servers holds the answers of the servers with the version, on all routes.
	servers []event.ServerCounts
}

// evidence holds the answers on one route over time.
type evidence struct {
	// marks holds cumulative counts in order of time: the first one, and those of the last
	// judgeWindow.
	marks []mark
}

// mark is the evidence up to a time.
type mark struct {
	at       time.Time
	old, new model.AnswerCounts
	// failed and slow are the numbers of the new version's answers that would be bad if it were
	// like the other servers.
	failed, slow float64
}

// Update adds the counts since the beginning of the roll-out, by route and by server.
func (j *Judge) Update(now time.Time, routes []event.RolloutCounts, servers []event.ServerCounts) {
	j.servers = servers
	if j.routes == nil {
		j.routes = map[string]*evidence{}
	}
	var all event.RolloutCounts
	for _, c := range routes {
		all.Old, all.New = all.Old.Add(c.Old), all.New.Add(c.New)
		j.update(now, c)
	}
	j.update(now, all)
}

func (j *Judge) update(now time.Time, c event.RolloutCounts) {
	v := j.routes[c.Route]
	if v == nil {
		v = &evidence{marks: []mark{{at: now}}}
		j.routes[c.Route] = v
	}
	last := v.marks[len(v.marks)-1]
	if c.New.Answers < last.new.Answers || c.Old.Answers < last.old.Answers {
		// The counts of an instance that is gone are missing: go on from here. The expectations
		// are reduced alike, so that they stay those of the counted answers.
		scale := 0.0
		if last.new.Answers > 0 {
			scale = min(1, float64(c.New.Answers)/float64(last.new.Answers))
		}
		v.marks = []mark{{at: now}, {at: now, old: c.Old, new: c.New, failed: scale * last.failed, slow: scale * last.slow}}
		return
	}
	next := mark{at: now, old: c.Old, new: c.New, failed: last.failed, slow: last.slow}
	if added := float64(c.New.Answers - last.new.Answers); added > 0 {
		window, latest := v.before(now.Add(-judgeWindow)).old, v.before(now.Add(-latestWindow)).old
		next.failed += added * rate(c.Old.Answers, latest.Answers, window.Answers, c.Old.Failed, latest.Failed, window.Failed)
		next.slow += added * rate(c.Old.Answers, latest.Answers, window.Answers, c.Old.Slow, latest.Slow, window.Slow)
	}
	v.marks = append(v.marks, next)
	// The newest mark that is older than the window is kept as its beginning.
	for len(v.marks) > 2 && now.Sub(v.marks[2].at) >= judgeWindow {
		v.marks = slices.Delete(v.marks, 1, 2)
	}
}

// before returns the newest mark at or before a time, or the first one.
func (v *evidence) before(at time.Time) mark {
	for i := len(v.marks) - 1; i > 0; i-- {
		if !v.marks[i].at.After(at) {
			return v.marks[i]
		}
	}
	return v.marks[0]
}

// rate returns the fraction of bad answers of the other servers that is expected now, given the
// cumulative numbers of all and of bad answers: now and at the beginnings of latestWindow and of
// judgeWindow. With few answers in the one the fraction in the other counts as well, and with few in
// both that since the beginning.
func rate(answers, answersLatest, answersWindow, bad, badLatest, badWindow uint64) float64 {
	if answers == 0 {
		return 0
	}
	part := func(answersBefore, badBefore uint64, prior, weight float64) float64 {
		return (float64(bad-min(bad, badBefore)) + weight*prior) / (float64(answers-min(answers, answersBefore)) + weight)
	}
	window := part(answersWindow, badWindow, float64(bad)/float64(answers), windowPrior)
	return part(answersLatest, badLatest, window, latestPrior)
}

// comparison holds the answers of the version on a route over a time, and how many of them would be bad if
// it were like the other servers.
type comparison struct {
	answers, failed, slow        float64
	expectedFailed, expectedSlow float64
}

// Bad returns why the version is bad, or "". excess is the number of bad answers beyond the expected
// ones that a single spread allows; see Settings.Excess.
func (j *Judge) Bad(excess float64) (reason string) {
	if j.oneServer() {
		// The fault of a server is not that of its version, up to a limit.
		excess = max(excess, serverExcess)
	}
	return j.check(func(c comparison) bool {
		return exceeds(c.failed+c.slow, c.expectedFailed+c.expectedSlow, excess) ||
			exceeds(c.failed, c.expectedFailed, excess) || exceeds(c.slow, c.expectedSlow, excess)
	})
}

// Doubtful returns why the version must not get a larger share, or "".
func (j *Judge) Doubtful() (reason string) {
	if j.oneServer() {
		return ""
	}
	return j.check(func(c comparison) bool {
		return exceeds(c.failed, c.expectedFailed, gateFailed) || exceeds(c.slow, c.expectedSlow, gateSlow)
	})
}

// Unacceptable returns why a version that gets all requests must not be accepted, or "". No other servers
// show what is expected at that time, so that slow answers, which many things delay, and single failures
// among many answers don't tell against it.
func (j *Judge) Unacceptable() (reason string) {
	if j.oneServer() {
		return ""
	}
	return j.check(func(c comparison) bool {
		return exceeds(c.failed, c.expectedFailed, gateFailed) && c.failed-c.expectedFailed >= maxFailedShare*c.answers
	})
}

// oneServer reports whether the bad answers are those of one server, while the others with the same
// version give good ones.
func (j *Judge) oneServer() bool {
	var sum, worst model.AnswerCounts
	bad := func(c model.AnswerCounts) uint64 { return c.Failed + c.Slow }
	for _, s := range j.servers {
		sum = sum.Add(s.Counts)
		if bad(s.Counts) > bad(worst) {
			worst = s.Counts
		}
	}
	others, othersBad := sum.Answers-worst.Answers, bad(sum)-bad(worst)
	return others >= minOtherAnswers && serverFactor*othersBad*worst.Answers <= bad(worst)*others
}

// exceeds reports whether a number of bad answers is too far above the expected number.
func exceeds(bad, expected, excess float64) bool {
	return bad-expected >= excess+badSpread*math.Sqrt(expected)
}

// check returns the first route, and the time, for which f holds.
func (j *Judge) check(f func(comparison) bool) (reason string) {
	for _, name := range slices.Sorted(maps.Keys(j.routes)) {
		v := j.routes[name]
		last := v.marks[len(v.marks)-1]
		for _, from := range []mark{v.marks[0], v.before(last.at.Add(-judgeWindow))} {
			// Counts may be corrected downwards after the loss of an instance.
			c := comparison{
				answers:        float64(last.new.Answers - min(last.new.Answers, from.new.Answers)),
				failed:         float64(last.new.Failed) - float64(from.new.Failed),
				slow:           float64(last.new.Slow) - float64(from.new.Slow),
				expectedFailed: last.failed - from.failed, expectedSlow: last.slow - from.slow,
			}
			if !f(c) {
				continue
			}
			where := "all routes"
			if name != total {
				where = fmt.Sprintf("route %q", name)
			}
			return fmt.Sprintf("%s: of %.0f answers %.0f failed, %.0f of them expected, and %.0f slow, %.0f expected",
				where, c.answers, c.failed, c.expectedFailed, c.slow, c.expectedSlow)
		}
	}
	return ""
}

// Totals returns the counts of all routes.
func (j *Judge) Totals() (old, target model.AnswerCounts) {
	if v := j.routes[total]; v != nil {
		last := v.marks[len(v.marks)-1]
		return last.old, last.new
	}
	return old, target
}
