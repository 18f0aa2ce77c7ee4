package rollo

import (
	"fmt"
	"time"

	"hyssoppitch/core/model"
)

const (
	// probeShare is the part of the requests, in 1/1000, for the target version until the rate of
	// requests is known, and the least one after that.
	probeShare, minShare = 50, 20
	// maxShare bounds the share of a version for which there is little evidence.
	maxShare = 500
	// raisedShare is the share that shows how a version behaves under load, if usualExposure or more is
	// the allowed part of the requests.
	raisedShare, usualExposure = 150, 0.1
	// Requests are observed until observeUntil of the time of a roll-out, and with a larger share
	// until raisedUntil. The evidence of late faults is worth the time, but the rest must suffice
	// to move all requests and to write the result, also after a short outage of the directory.
	observeUntil, raisedUntil = 0.66, 0.76
	// minEnd is the least time for the rest, unless the whole time is too short.
	minEnd = 6 * time.Second
	// fullFraction is the part of the time for which all requests go to the target version before
	// it is accepted, between minFull and maxFull: it is tested under full load.
	fullFraction     = 0.06
	minFull, maxFull = time.Second, 3 * time.Second
	// endMargin is the time before the deadline at which a roll-out is completed although not all
	// instances have confirmed it, and failMargin the time at which it is rolled back if it could
	// not be completed. Both allow for the write, and for the time until the order was seen. They
	// are at most marginFraction of the roll-out's time.
	endMargin      = 2500 * time.Millisecond
	failMargin     = 1200 * time.Millisecond
	marginFraction = 0.125
	// exposureFraction is the part of the allowed share that is used if a version turns out bad at
	// the last moment. The rest covers the delay of counts and of decisions, as slackFraction does
	// for the slack.
	exposureFraction = 0.8
	slackFraction    = 0.4
	// countDelay is how late the counts of the other instances arrive. A stage whose answers must count
	// lasts that much longer, but no more than settleFraction of a roll-out's time.
	countDelay     = 1500 * time.Millisecond
	settleFraction = 0.125
	// decisionDelay is the assumed time from a bad answer until no instance uses the version.
	decisionDelay = 700 * time.Millisecond
	// A version with less than minNewAnswers answers is not accepted if the other servers have
	// given more than manyOldAnswers.
	minNewAnswers, manyOldAnswers = 5, 200
)

// Facts is what an instance knows about the servers and instances of a roll-out.
type Facts struct {
	// TargetServers is the number of usable servers with the target version.
	TargetServers int
	// Confirmed is set if all live instances apply the newest stage and have no exchange in
	// flight at an old server.
	Confirmed bool
}

// Next returns the status that follows from what is known now, and whether it differs from the
// current one.
func (t *Table) Next(now time.Time, r *Rollout, f Facts) (next model.RolloutStatus, changed bool) {
	if !r.Running() {
		return r.Status, false
	}
	p := plan{now: now, order: r.Order, settings: t.Settings, facts: f}
	p.old, p.new = r.Judge.Totals()
	if !r.Current() {
		next = model.RolloutStatus{
			Group: r.Group, Version: r.Order.Version, State: model.RolloutRunning, Stage: model.StageProbe, SharePerMille: p.share(probeShare),
			OrderRevision: r.Order.Revision, Duration: r.Order.Duration, StartedAt: model.MillisOf(r.SeenAt), Reason: "ordered",
		}
		next.Base, next.Rejected = r.history()
	} else {
		next = r.Status
		p.startedAt, p.changedAt = next.StartedAt.Time(), next.ChangedAt.Time()
		if !p.advance(&next, &r.Judge) {
			return r.Status, false
		}
	}
	next.ChangedAt, next.Old, next.New, next.Revision = model.MillisOf(now), p.old, p.new, 0
	return next, true
}

// RollBack returns the status of a roll-out whose target version is bad.
func (r *Rollout) RollBack(now time.Time, reason string) model.RolloutStatus {
	next := r.Status
	next.State, next.Stage, next.SharePerMille, next.Reason = model.RolloutRolledBack, model.StageDone, 0, reason
	next.ChangedAt, next.Revision = model.MillisOf(now), 0
	next.Old, next.New = r.Judge.Totals()
	return next
}

// plan computes the next stage.
type plan struct {
	now                  time.Time
	startedAt, changedAt time.Time
	order                *model.RolloutOrder
	settings             Settings
	facts                Facts
	old, new             model.AnswerCounts
}

// share limits a share by what a bad version may get.
func (p *plan) share(perMille int) int {
	if p.settings.ExposureShare <= 0 && p.settings.ExposureSlack <= 0 {
		return 0
	}
	return min(perMille, maxShare)
}

// raisedShare returns the share for the stage of that name. It is smaller if little exposure is allowed.
func (p *plan) raisedShare() int {
	return p.share(int(raisedShare * min(1, p.settings.ExposureShare/usualExposure)))
}

// at returns the time that is a fraction of the roll-out's time after its start, but early enough for
// minEnd after it.
func (p *plan) at(fraction float64) time.Time {
	d := p.order.Duration
	after := time.Duration(fraction * float64(d))
	if latest := time.Duration(fraction / raisedUntil * float64(max(d-minEnd, d/2))); after > latest {
		after = latest
	}
	return p.startedAt.Add(after)
}

// full returns the least time for which all requests go to the target version before it is accepted. The
// counts of the answers are awaited besides.
func (p *plan) full() time.Duration {
	return min(max(time.Duration(fullFraction*float64(p.order.Duration)), minFull), maxFull)
}

// settle returns how long the counts of a stage are awaited.
func (p *plan) settle() time.Duration {
	return min(countDelay, time.Duration(settleFraction*float64(p.order.Duration)))
}

// observeShare returns the share for the stage of observation: as much as the allowed exposure leaves
// after the stages that follow, and at a low rate of requests as much as the slack allows.
func (p *plan) observeShare() int {
	d, observed := p.order.Duration.Seconds(), p.at(observeUntil).Sub(p.now).Seconds()
	if observed <= 0 {
		return minShare
	}
	later := (p.full() + p.settle() + decisionDelay).Seconds() + float64(p.raisedShare())/1000*p.at(raisedUntil).Sub(p.at(observeUntil)).Seconds()
	share := (exposureFraction*p.settings.ExposureShare*d - later) / observed
	share = max(minShare/1000.0, min(share, probeShare/1000.0))
	// A rate that is too low would give too large a share.
	rate := float64(p.old.Answers+p.new.Answers) / max((p.now.Sub(p.startedAt)-countDelay).Seconds(), 0.5)
	share += slackFraction * p.settings.ExposureSlack / (max(rate, 0.1) * observed)
	return p.share(int(1000 * share))
}

// advance changes a status to the next stage, and reports whether there is a change.
func (p *plan) advance(s *model.RolloutStatus, j *Judge) bool {
	deadline := p.startedAt.Add(p.order.Duration)
	scale := min(1, marginFraction*p.order.Duration.Seconds()/endMargin.Seconds())
	failAt, endAt := deadline.Add(-time.Duration(scale*float64(failMargin))), deadline.Add(-time.Duration(scale*float64(endMargin)))
	if reason := j.Bad(p.settings.Excess()); reason != "" {
		return p.rollBack(s, reason)
	}
	if !p.now.Before(failAt) {
		reason := fmt.Sprintf("not completed by the deadline, in stage %s", s.Stage)
		if p.facts.TargetServers == 0 {
			reason = "no server of the target version by the deadline"
		}
		return p.rollBack(s, reason)
	}
	if p.facts.TargetServers == 0 {
		return false
	}
	switch s.Stage {
	case model.StageProbe:
		probe := max(min(3*time.Second, p.order.Duration/8), p.order.Duration/16)
		if p.now.Sub(p.changedAt) < probe {
			return false
		}
		return p.move(s, model.StageObserve, p.observeShare(), "the rate of requests is known")
	case model.StageObserve:
		if p.now.Before(p.at(observeUntil)) || p.now.Sub(p.changedAt) < p.order.Duration/8 {
			return false
		}
		if reason := j.Doubtful(); reason != "" {
			return p.rollBack(s, reason)
		}
		if p.unproven() {
			return false
		}
		return p.move(s, model.StageRaised, max(s.SharePerMille, p.raisedShare()), "no bad answers beyond those of the other servers")
	case model.StageRaised:
		if p.now.Before(p.at(raisedUntil)) || p.now.Sub(p.changedAt) < max(p.order.Duration/20, p.settle()) {
			return false
		}
		if reason := j.Doubtful(); reason != "" {
			return p.rollBack(s, reason)
		}
		return p.move(s, model.StageFull, 1000, "no bad answers beyond those of the other servers")
	case model.StageFull:
		held := p.now.Sub(p.changedAt)
		atEnd := !p.now.Before(endAt)
		if held < p.full() || (!atEnd && (held < p.full()+p.settle() || !p.facts.Confirmed)) {
			return false
		}
		if reason := j.Unacceptable(); reason != "" {
			return p.rollBack(s, reason)
		}
		s.State, s.Reason = model.RolloutCompleted, "all instances use the target version"
		if !p.facts.Confirmed {
			s.Reason = "the deadline is near; not all instances have confirmed that they use the target version"
		}
		s.Stage = model.StageDone
		return true
	}
	return false
}

// unproven reports whether the target version has given too few answers to be accepted, although the
// other servers have given many: its servers don't answer.
func (p *plan) unproven() bool {
	return p.new.Answers < minNewAnswers && p.old.Answers > manyOldAnswers
}

func (p *plan) move(s *model.RolloutStatus, stage model.RolloutStage, perMille int, reason string) bool {
	s.Stage, s.SharePerMille, s.Reason = stage, perMille, reason
	return true
}

func (p *plan) rollBack(s *model.RolloutStatus, reason string) bool {
	s.State, s.Stage, s.SharePerMille, s.Reason = model.RolloutRolledBack, model.StageDone, 0, reason
	return true
}
