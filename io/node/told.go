package node

import (
	"time"

	"github.com/phuslu/log"

	"hyssoppitch/core/event"
)

const (
	// failedPerSecond, impairedPerSecond and ordinaryPerSecond bound the requests of each
	// weight whose decisions are logged, a second.
	failedPerSecond   = 20
	impairedPerSecond = 5
	ordinaryPerSecond = 0.5
)

// teller logs the decisions on requests, as many as its rates allow. It is used from
// one goroutine.
type teller struct {
	clock Clock
	log   *log.Logger
	rates map[event.LogSeverity]*rate
}

// rate is a token bucket that holds the tokens of one second.
type rate struct {
	perSecond float64
	tokens    float64
	filledAt  time.Time
	// dropped counts what was held back since the last that was let through.
	dropped int
}

func newTeller(c Clock, l *log.Logger) *teller {
	now := c.Now()
	return &teller{clock: c, log: l, rates: map[event.LogSeverity]*rate{
		event.LogFailed:   {perSecond: failedPerSecond, tokens: 1, filledAt: now},
		event.LogImpaired: {perSecond: impairedPerSecond, tokens: 1, filledAt: now},
		event.LogOrdinary: {perSecond: ordinaryPerSecond, tokens: 1, filledAt: now},
	}}
}

// allow takes a token, and returns how many were refused one since the last.
func (r *rate) allow(now time.Time) (ok bool, dropped int) {
	r.tokens = min(r.tokens+r.perSecond*now.Sub(r.filledAt).Seconds(), max(1, r.perSecond))
	r.filledAt = now
	if r.tokens < 1 {
		r.dropped++
		return false, 0
	}
	r.tokens--
	dropped, r.dropped = r.dropped, 0
	return true, dropped
}

// tell logs one line for the request and one for each decision on it.
func (t *teller) tell(c event.RequestLog) {
	ok, dropped := t.rates[c.Severity].allow(t.clock.Now())
	if !ok {
		return
	}
	line := t.log.Info().Str("request", c.RequestID).Uint64("query", uint64(c.Query)).Str("route", c.Route).
		Uint64("version", c.Version).Str("outcome", c.Outcome).Dur("elapsed", c.Elapsed)
	if dropped > 0 {
		line = line.Int("requests-not-logged", dropped)
	}
	line.Msg("request-ended")
	for _, s := range c.Steps {
		line := t.log.Info().Str("request", c.RequestID).Uint64("query", uint64(c.Query)).Dur("at", s.At)
		if s.Group != "" {
			line = line.Str("group", s.Group)
		}
		if s.Server != "" {
			line = line.Str("server", string(s.Server))
		}
		if s.Expected > 0 {
			line = line.Dur("expected", s.Expected)
		}
		if s.Cause != "" {
			line = line.Str("why", s.Cause)
		}
		line.Msg(s.Decision)
	}
}
