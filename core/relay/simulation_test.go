package relay_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/poison"
	"hyssoppitch/core/relay"
	"hyssoppitch/core/roster"
	"hyssoppitch/core/timer"
)

const ms = time.Millisecond

// simServer is a simulated backend server in virtual time.
type simServer struct {
	id         model.ServerID
	group      string
	dataCentre string
	// freeAt holds the time at which each slot becomes free.
	freeAt []time.Time
	// maxQueue limits the requests that wait for a slot; waiting holds the time at which
	// each of them gets one.
	maxQueue int
	waiting  []time.Time
	// slowdown multiplies the service time; shedFraction is the fraction of requests that are
	// refused.
	slowdown     float64
	shedFraction float64
	// The server pauses for pauseFor in each interval of pauseEvery, first at pauseAt; a
	// zero pauseEvery means never.
	pauseEvery, pauseFor, pauseAt time.Duration
	// A dead server refuses connections, a mute one never answers, and a lossy one
	// executes each request and then breaks the connection.
	dead, mute, lossy bool
	arrivals          []time.Time
	executions        map[string]int
	// open lists the exchanges that were accepted since the last crash, and crashes counts
	// the server's crashes.
	open    []event.AttemptID
	crashes int
}

// simulation runs one relay.System against simulated servers, without a network. It simulates
// one instance only, which uses its share of the retry budget.
type simulation struct {
	*relay.System
	now         time.Time
	start       time.Time
	rand        *rand.Rand
	servers     map[model.ServerID]*simServer
	queue       timer.Queue[func()]
	open        map[event.AttemptID]bool
	lastID      event.QueryID
	serviceTime time.Duration
	// remoteDelay is the one-way network delay to servers in other data centres.
	remoteDelay time.Duration
	// linkFreeAt is when the instance's own link is free: what is sent before waits until then.
	linkFreeAt time.Time
	// callerDelay is the one-way network delay to the callers, which open a new connection for
	// each request; zero means that it is unknown to the system.
	callerDelay time.Duration
	askedAt     map[event.QueryID]time.Time
	results     []result
	requestLogs []event.RequestLog
	// groupArrivals holds the arrival times of the requests to each group.
	groupArrivals map[string][]time.Time
	// crashing is the fingerprint of the requests that crash the servers that execute them;
	// fingerprints holds the fingerprint of each request.
	crashing     model.Fingerprint
	fingerprints map[event.QueryID]model.Fingerprint
	// suspicions holds the fingerprint states that were broadcast.
	suspicions []event.Suspicion
	// spillLines holds the log lines about spillover.
	spillLines []event.StateChanged
}

// result is the answer or refusal that a caller got.
type result struct {
	id    event.QueryID
	at    time.Time
	took  time.Duration
	parts int
	// refusal is the code, or empty for an answer.
	refusal event.RefusalCode
	outcome event.Outcome
	retry   time.Duration
	relayed *event.Reply
}

var (
	dataCentres = []string{"dc0", "dc1", "dc2"}
	regions     = map[string]string{"dc0": "r0", "dc1": "r1", "dc2": "r2"}
)

// newSimulation returns a simulation with groups of three servers each, one in each of three
// data centres.
func newSimulation(seed uint64, groups int, route model.Route) *simulation {
	w := &simulation{
		start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), rand: rand.New(rand.NewPCG(seed, 1)),
		servers: map[model.ServerID]*simServer{}, open: map[event.AttemptID]bool{},
		askedAt: map[event.QueryID]time.Time{}, serviceTime: 10 * ms, remoteDelay: 8 * ms, groupArrivals: map[string][]time.Time{},
		fingerprints: map[event.QueryID]model.Fingerprint{},
	}
	w.now = w.start
	table := roster.New()
	w.System = &relay.System{
		Self: model.Instance{ID: "i0", Incarnation: 1, DataCentre: "dc0"}, Servers: table, Out: w,
		Rand: rand.New(rand.NewPCG(seed, 2)), Suspects: &poison.Table{}, Broadcaster: w,
		Options: relay.Options{Regions: regions, Retries: relay.RetryBudget{
			Ratio: 0.2, Slack: 52, Window: 10 * time.Second,
		}},
	}
	w.Init()
	w.SetMembership(relay.Membership{Live: []model.InstanceID{"i0", "i1", "i2", "i3"}, Settled: true})
	route.Name, route.Host, route.Prefix = "r", "h", "/a/"
	rt := &model.RoutingTable{Version: 1}
	var changes []event.DirectoryChange
	for g := range groups {
		group := fmt.Sprintf("g%d", g)
		rt.Pools = append(rt.Pools, model.Pool{Group: group, Connections: 30})
		if route.LeastCoverage > 0 {
			route.Gather = append(route.Gather, group)
		} else {
			route.Shares = append(route.Shares, model.Share{Group: group, Weight: 1})
		}
		for i, dc := range dataCentres {
			s := &simServer{
				id: model.ServerID(fmt.Sprintf("s%d-%d", g, i)), group: group, dataCentre: dc,
				freeAt: make([]time.Time, 3), maxQueue: 18, slowdown: 1, executions: map[string]int{},
			}
			w.servers[s.id] = s
			changes = append(changes, event.DirectoryChange{Key: string(s.id), Server: &model.Registration{
				ID: s.id, Life: "1", Address: string(s.id), Group: group, DataCentre: dc, Slots: 3,
			}})
		}
	}
	rt.Routes = []model.Route{route}
	w.Configure(rt)
	table.Apply(w.now, event.DirectoryRead{Changes: changes, Full: true})
	return w
}

// gatherRoute returns a route that asks all groups; nine of ten are sufficient for an answer.
func gatherRoute() model.Route {
	return model.Route{
		Idempotent: true, Attempts: 2, Timeout: 1500 * ms, Target: 150 * ms, LeastCoverage: 0.89, MergeTop: 5,
	}
}

// eachServer calls f for the servers in order of ID.
func (w *simulation) eachServer(f func(i int, s *simServer)) {
	ids := make([]string, 0, len(w.servers))
	for id := range w.servers {
		ids = append(ids, string(id))
	}
	slices.Sort(ids)
	for i, id := range ids {
		f(i, w.servers[model.ServerID(id)])
	}
}

// Emit implements relay.Outbox.
func (w *simulation) Emit(c event.Command) {
	switch c := c.(type) {
	case event.SendExchange:
		w.serve(c)
	case event.CheckServer:
		s := w.servers[c.Server]
		w.at(w.now.Add(w.networkDelay(s)), func() {
			w.HandleServerChecked(w.now, event.ServerChecked{Number: c.Number, Server: c.Server, Reached: !s.dead, ConnectedAt: w.now})
		})
	case event.CancelExchange:
		w.at(w.now, func() { w.ended(event.ExchangeEnded{Attempt: c.Attempt, Kind: event.TimedOut}) })
	case event.RoutedAnswer:
		r := result{id: c.Query, at: w.now, took: w.now.Sub(w.askedAt[c.Query]), parts: 1, relayed: c.Relayed}
		if c.Merged != nil {
			r.parts = len(c.Merged.Stamps)
		}
		w.results = append(w.results, r)
	case event.RoutedRefusal:
		w.results = append(w.results, result{
			id: c.Query, at: w.now, took: w.now.Sub(w.askedAt[c.Query]), refusal: c.Code, outcome: c.Outcome, retry: c.RetryAfter,
		})
	case event.StateChanged:
		if c.Kind == "spillover" {
			w.spillLines = append(w.spillLines, c)
		}
	case event.RequestLog:
		w.requestLogs = append(w.requestLogs, c)
	}
}

// Broadcast implements relay.Broadcaster.
func (w *simulation) Broadcast(m event.Message) {
	if m.Suspects != nil {
		w.suspicions = append(w.suspicions, *m.Suspects)
	}
}

// at schedules f to be called at time t.
func (w *simulation) at(t time.Time, f func()) { w.queue.Set(t, f) }

// ended reports the end of an exchange to the system, unless it has ended before.
func (w *simulation) ended(e event.ExchangeEnded) {
	if w.open[e.Attempt] {
		delete(w.open, e.Attempt)
		w.HandleExchangeEnded(w.now, e)
	}
}

// serve simulates one exchange.
func (w *simulation) serve(c event.SendExchange) {
	w.open[c.Attempt] = true
	s := w.servers[c.Server]
	networkDelay := w.networkDelay(s)
	ended := event.ExchangeEnded{Attempt: c.Attempt, Server: c.Server}
	w.at(c.Deadline, func() { w.ended(event.ExchangeEnded{Attempt: c.Attempt, Kind: event.TimedOut}) })
	if s.dead {
		ended.Kind = event.NotSent
		w.at(w.now.Add(2*networkDelay), func() { w.ended(ended) })
		return
	}
	arrive := w.now.Add(networkDelay)
	if w.linkFreeAt.After(w.now) {
		arrive = w.linkFreeAt.Add(networkDelay)
	}
	s.arrivals = append(s.arrivals, arrive)
	w.groupArrivals[s.group] = append(w.groupArrivals[s.group], arrive)
	slot := 0
	for i := range s.freeAt {
		if s.freeAt[i].Before(s.freeAt[slot]) {
			slot = i
		}
	}
	begin := arrive
	if s.freeAt[slot].After(begin) {
		begin = s.freeAt[slot]
	}
	serviceTime := time.Duration(float64(w.serviceTime) * math.Exp(0.35*w.rand.NormFloat64()) * s.slowdown)
	s.waiting = slices.DeleteFunc(s.waiting, func(t time.Time) bool { return !t.After(arrive) })
	if len(s.waiting) >= s.maxQueue || w.rand.Float64() < s.shedFraction {
		ended.Kind, ended.Reason = event.Refused, event.RefusedShed
		w.at(arrive.Add(networkDelay), func() { w.ended(ended) })
		return
	}
	s.executions[c.RequestID]++
	if begin.After(arrive) {
		s.waiting = append(s.waiting, begin)
	}
	s.open = append(s.open, c.Attempt)
	if f := w.fingerprints[c.Attempt.Query]; f != 0 && f == w.crashing {
		w.at(begin.Add(ms), func() { w.crash(s) })
		return
	}
	finish := s.resumeTime(w.start, begin).Add(serviceTime)
	s.freeAt[slot] = finish
	switch {
	case s.mute:
		return
	case s.lossy:
		ended.Kind = event.Died
	default:
		ended.Kind = event.Answered
		ended.Reply = &event.Reply{Status: 200, Stamp: string(s.id), Body: make([]byte, 16)}
	}
	w.at(finish.Add(networkDelay), func() { w.ended(ended) })
}

// crashDowntime is how long a crashed server refuses connections.
const crashDowntime = 3 * time.Second

// crash breaks the open exchanges of a server, which refuses connections for crashDowntime.
func (w *simulation) crash(s *simServer) {
	if s.dead {
		return
	}
	s.dead = true
	s.crashes++
	open := s.open
	s.open, s.waiting = nil, nil
	for i := range s.freeAt {
		s.freeAt[i] = w.now
	}
	for _, id := range open {
		w.ended(event.ExchangeEnded{Attempt: id, Kind: event.Died})
	}
	w.at(w.now.Add(crashDowntime), func() { s.dead = false })
}

// networkDelay returns the one-way network delay to a server.
func (w *simulation) networkDelay(s *simServer) time.Duration {
	if s.dataCentre == "dc0" {
		return 200 * time.Microsecond
	}
	return w.remoteDelay
}

// resumeTime returns t, or the end of the server's pause if it is paused at t.
func (s *simServer) resumeTime(start, t time.Time) time.Time {
	if s.pauseEvery == 0 {
		return t
	}
	into := (t.Sub(start) - s.pauseAt) % s.pauseEvery
	if into < 0 {
		into += s.pauseEvery
	}
	if into < s.pauseFor {
		return t.Add(s.pauseFor - into)
	}
	return t
}

// sendRequest sends one request with a fingerprint of its own.
func (w *simulation) sendRequest() event.QueryID {
	return w.sendWithFingerprint(model.Fingerprint(1<<32 + w.lastID))
}

// sendWithFingerprint sends one request with the given fingerprint and headers.
func (w *simulation) sendWithFingerprint(f model.Fingerprint, headers ...string) event.QueryID {
	return w.sendLike(f, f, headers...)
}

// sendLike sends one request with the given fingerprint and headers, at which servers crash as at those
// with the fingerprint effect.
func (w *simulation) sendLike(effect, f model.Fingerprint, headers ...string) event.QueryID {
	w.lastID++
	w.askedAt[w.lastID], w.fingerprints[w.lastID] = w.now, effect
	w.HandleRequest(w.now, event.RoutedRequest{
		Query: w.lastID, RequestID: fmt.Sprint(w.lastID), Host: "h", Path: "/a/x", CallerTimeout: 2500 * ms, Fingerprint: f, Traits: model.NewTraits(headers),
		NetworkTime: 4 * w.callerDelay,
	})
	return w.lastID
}

// run advances the virtual time by d.
func (w *simulation) run(d time.Duration) {
	end := w.now.Add(d)
	for {
		next := end
		for _, t := range []time.Time{w.queue.NextDue(), w.NextDue()} {
			if !t.IsZero() && t.Before(next) {
				next = t
			}
		}
		if next.After(w.now) {
			w.now = next
		}
		for {
			f, ok := w.queue.Pop(w.now)
			if !ok {
				break
			}
			f()
		}
		w.RunTimers(w.now)
		if !w.now.Before(end) {
			return
		}
	}
}

// runLoad sends requests at a rate for a time, and lets the open ones end.
func (w *simulation) runLoad(perSecond float64, d time.Duration) {
	w.sendLoad(perSecond, d)
	w.run(3 * time.Second)
}

// sendLoad sends requests at a rate for a time.
func (w *simulation) sendLoad(perSecond float64, d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.sendRequest()
		w.run(time.Duration(w.rand.ExpFloat64() / perSecond * float64(time.Second)))
	}
}

// executionCount returns how often servers executed a request.
func (w *simulation) executionCount(id event.QueryID) (n int) {
	for _, s := range w.servers {
		n += s.executions[fmt.Sprint(id)]
	}
	return n
}

// meanCredit returns the mean credit of all requests: the square of the coverage of ten
// groups for an answer within the target of 150 ms, a tenth of that for a later answer, and
// nothing for a refusal.
func (w *simulation) meanCredit() float64 {
	var sum float64
	for _, r := range w.results {
		if r.refusal != "" {
			continue
		}
		credit := math.Pow(float64(r.parts)/10, 2)
		if r.took > 150*ms {
			credit /= 10
		}
		sum += credit
	}
	return sum / float64(len(w.results))
}

// checkInvariants checks what must hold under any load: each request gets exactly one
// answer or refusal, within 1.5 s, and extra attempts stay within the retry budget.
func (w *simulation) checkInvariants(t *testing.T) {
	t.Helper()
	if got, want := len(w.results), int(w.lastID); got != want {
		t.Errorf("answers and refusals: got %d, want %d, one for each request", got, want)
	}
	for _, r := range w.results {
		if r.took > 1500*ms {
			t.Errorf("request %d: answered or refused after %v, want at most 1.5s", r.id, r.took)
		}
	}
	w.checkBudget(t)
}

// checkBudget checks the limit on extra attempts in every window of each group. The instance
// is one of four and may use a quarter of the slack.
func (w *simulation) checkBudget(t *testing.T) {
	t.Helper()
	var requestTimes []time.Time
	for id := event.QueryID(1); id <= w.lastID; id++ {
		requestTimes = append(requestTimes, w.askedAt[id])
	}
	const window = 10 * time.Second
	within := func(ts []time.Time, from, to time.Time) (n int) {
		for _, at := range ts {
			if !at.Before(from) && at.Before(to) {
				n++
			}
		}
		return n
	}
	for group, arrivals := range w.groupArrivals {
		for from := w.start; from.Before(w.now); from = from.Add(500 * ms) {
			to := from.Add(window)
			firstAttempts := within(requestTimes, from, to)
			limit := 0.2*float64(max(firstAttempts, within(requestTimes, from.Add(-window), from))) + 52.0/4
			if extra := within(arrivals, from, to) - firstAttempts; float64(extra) > limit {
				t.Fatalf("group %s from %v: got %d extra attempts, want at most %.0f", group, from.Sub(w.start), extra, limit)
			}
		}
	}
}
