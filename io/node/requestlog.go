package node

import (
	"time"

	"github.com/phuslu/log"

	"hyssoppitch/core/event"
)

const (
	// failedPerSecond, impairedPerSecond, ordinaryPerSecond and rejectedPerSecond are the maximum numbers of
	// requests of each severity that are logged per second.
	failedPerSecond   = 20
	impairedPerSecond = 5
	ordinaryPerSecond = 0.5
	rejectedPerSecond = 2
)

// requestLogger logs requests and the decisions on them, at a limited rate for each
// severity. It is not safe for concurrent use.
type requestLogger struct {
	clock   Clock
	log     *log.Logger
	buckets map[event.LogSeverity]*tokenBucket
}

// tokenBucket limits a rate. Its capacity is the number of tokens of one second, but at
// least one.
type tokenBucket struct {
	perSecond float64
	tokens    float64
	filledAt  time.Time
	// dropped counts the refusals since the last token was taken.
	dropped int
}

func newRequestLogger(c Clock, l *log.Logger) *requestLogger {
	now := c.Now()
	return &requestLogger{clock: c, log: l, buckets: map[event.LogSeverity]*tokenBucket{
		event.LogFailed:   {perSecond: failedPerSecond, tokens: 1, filledAt: now},
		event.LogImpaired: {perSecond: impairedPerSecond, tokens: 1, filledAt: now},
		event.LogOrdinary: {perSecond: ordinaryPerSecond, tokens: 1, filledAt: now},
		event.LogRejected: {perSecond: rejectedPerSecond, tokens: 1, filledAt: now},
	}}
}

// allow takes a token if there is one, and then returns how many calls were refused
// since the previous token was taken.
func (b *tokenBucket) allow(now time.Time) (ok bool, dropped int) {
	b.tokens = min(b.tokens+b.perSecond*now.Sub(b.filledAt).Seconds(), max(1, b.perSecond))
	b.filledAt = now
	if b.tokens < 1 {
		b.dropped++
		return false, 0
	}
	b.tokens--
	dropped, b.dropped = b.dropped, 0
	return true, dropped
}

// logRequest logs one line for the request and one for each decision on it.
func (r *requestLogger) logRequest(c event.RequestLog) {
	ok, dropped := r.buckets[c.Severity].allow(r.clock.Now())
	if !ok {
		return
	}
	line := r.log.Info().Str("request", c.RequestID).Uint64("query", uint64(c.Query)).Str("route", c.Route).
		Uint64("version", c.Version).Str("outcome", c.Outcome).Dur("elapsed", c.Elapsed).
		Dur("queued", c.Queued).Dur("network-time", c.NetworkTime)
	if c.Customer != "" {
		line = line.Str("customer", c.Customer)
	}
	if dropped > 0 {
		line = line.Int("requests-not-logged", dropped)
	}
	line.Msg("request-ended")
	for _, s := range c.Steps {
		line := r.log.Info().Str("request", c.RequestID).Uint64("query", uint64(c.Query)).Dur("at", s.At)
		if s.Group != "" {
			line = line.Str("group", s.Group)
		}
		if s.Server != "" {
			line = line.Str("server", string(s.Server))
		}
		if s.DataCentre != "" {
			line = line.Str("data-centre", s.DataCentre)
		}
		if s.Expected > 0 {
			line = line.Dur("expected", s.Expected)
		}
		if s.Use.Connection > 0 {
			line = line.Uint64("connection", s.Use.Connection).Int("exchange", s.Use.Exchange).
				Dur("connect", s.Use.Connect).Dur("time-left", s.Use.TimeLeft).Dur("first-byte", s.Use.FirstByte)
		}
		if s.Cause != "" {
			line = line.Str("why", s.Cause)
		}
		line.Msg(s.Decision)
	}
}
