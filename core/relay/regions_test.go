package relay_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"hyssoppitch/core/event"
	"hyssoppitch/core/model"
	"hyssoppitch/core/relay"
)

// moveRoute activates a new version of the table, in which only servers of the given regions may execute
// requests of the route.
func (w *simulation) moveRoute(regions ...string) {
	table := *w.Table()
	table.Version++
	table.Routes = []model.Route{table.Routes[0]}
	table.Routes[0].Regions = regions
	w.Configure(&table)
}

// arrivalsByRegion counts the arrivals at servers by region.
func (w *simulation) arrivalsByRegion() map[string]int {
	out := map[string]int{}
	w.eachServer(func(_ int, s *simServer) {
		if n := len(s.arrivals); n > 0 {
			out[regions[s.dataCentre]] += n
		}
	})
	return out
}

// TestLaterAttemptsStayInRegionsInForce guards against attempts that go to a region which only the routing
// table of the request's arrival allows: a request may take longer than a new version to be in force.
func TestLaterAttemptsStayInRegionsInForce(t *testing.T) {
	single := singleRoute()
	single.Idempotent, single.Attempts, single.Timeout, single.Target = true, 3, 8*time.Second, 500*ms
	gather := gatherRoute()
	gather.Attempts, gather.Timeout, gather.Target = 3, 8*time.Second, 0
	tests := []struct {
		name  string
		route model.Route
		// impair changes the servers before the request, and whether its fingerprint is suspected.
		impair  func(s *simServer)
		suspect bool
	}{
		{"retry after a broken connection", single, func(s *simServer) { s.lossy, s.slowdown = true, 20 }, false},
		{"retry after a rejection", single, func(s *simServer) { s.shedFraction = 1 }, false},
		{"hedge", single, func(s *simServer) { s.mute = true }, false},
		{"legs", gather, func(s *simServer) { s.lossy, s.slowdown = true, 20 }, false},
		{"hedged legs", gather, func(s *simServer) { s.mute = true }, false},
		{"isolated attempt", gather, func(s *simServer) { s.lossy, s.slowdown = true, 20 }, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			route := test.route
			route.Regions = []string{"r0", "r2"}
			w := newSimulation(1, 3, route)
			w.eachServer(func(_ int, s *simServer) { test.impair(s) })
			if test.suspect {
				w.Suspects.RecordCrash(w.now, model.Identity{Fingerprint: 7}, false)
			}
			w.sendWithFingerprint(7)
			w.run(5 * ms)
			before := fmt.Sprint(w.arrivalsByRegion())
			w.moveRoute("r1")
			w.run(10 * time.Second)
			if got, want := fmt.Sprint(w.arrivalsByRegion()), before; got != want {
				t.Errorf("arrivals by region: got %s, want %s as before the change", got, want)
			}
			if len(w.results) != 1 || w.InFlight() != 0 {
				t.Errorf("got %d answers and %d requests in flight, want one and none", len(w.results), w.InFlight())
			}
		})
	}
}

// TestRequestWithoutCommonRegionIsRefusedAtOnce guards against a request that waits for its deadline, or for as long
// as it may be held, since no region is allowed by the table of its arrival and the active one.
func TestRequestWithoutCommonRegionIsRefusedAtOnce(t *testing.T) {
	single := singleRoute()
	single.Timeout = 8 * time.Second
	gather := gatherRoute()
	gather.Timeout, gather.Target = 8*time.Second, 4*time.Second
	tests := []struct {
		name  string
		route model.Route
		// requests are sent at once, as many as are needed to hold some of them.
		requests int
	}{
		{"single", single, 1},
		{"held", gather, 300},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			route := test.route
			route.Regions = []string{"r0"}
			w := newSimulation(1, 1, route)
			w.eachServer(func(_ int, s *simServer) { s.shedFraction, s.mute = 1, true })
			if test.requests > 1 {
				w.eachServer(func(_ int, s *simServer) { s.shedFraction = 0 })
			}
			for range test.requests {
				w.sendRequest()
			}
			before := len(w.arrivalsByRegion())
			w.moveRoute("r1")
			w.run(200 * ms)
			running := 0
			w.eachServer(func(_ int, s *simServer) { running += len(s.open) })
			if got, want := len(w.results), test.requests-running; got != want || before != 1 {
				t.Fatalf("got %d refusals, %d requests in progress and arrivals in %d regions, want %d refusals and one region", got, running, before, want)
			}
			for _, r := range w.results {
				if r.refusal == "" || r.outcome != event.OutcomeNotRun || r.retry <= 0 {
					t.Fatalf("got %+v, want a refusal as not run, with a time to retry", r)
				}
			}
		})
	}
}

// TestRegionsOfCustomerAndRouteBind guards against requests of a customer that reach a region which only one of
// its route and the customer itself allows.
func TestRegionsOfCustomerAndRouteBind(t *testing.T) {
	tests := []struct {
		route, customer []string
		// want lists the regions that may get requests; if there are any, some of them do.
		want []string
	}{
		{nil, []string{"r2"}, []string{"r2"}},
		{[]string{"r0", "r1"}, []string{"r1", "r2"}, []string{"r1"}},
		{[]string{"r1"}, nil, []string{"r1"}},
		{[]string{"r0"}, []string{"r2"}, nil},
	}
	for _, test := range tests {
		t.Run(fmt.Sprint(test.route, test.customer), func(t *testing.T) {
			route := gatherRoute()
			route.Regions = test.route
			w, _ := newCustomerSimulation(route, 0)
			table := *w.Table()
			table.Version++
			table.Customers = []model.Customer{{Name: "a", Keys: []model.KeyDigest{model.DigestOf("ka")}, Regions: test.customer}}
			w.Configure(&table)
			for range 40 {
				w.sendWithKey("/a/x", "ka")
				w.run(50 * ms)
			}
			got := slices.Sorted(maps.Keys(w.arrivalsByRegion()))
			if !slices.Equal(got, test.want) {
				t.Errorf("regions with requests: got %v, want %v", got, test.want)
			}
		})
	}
}

// TestLaterAttemptsFollowRegionsOfCustomer guards against attempts in a region that the customer has left while
// the request was in progress.
func TestLaterAttemptsFollowRegionsOfCustomer(t *testing.T) {
	w, _ := newCustomerSimulation(gatherRoute(), 0)
	table := *w.Table()
	table.Version++
	table.Customers = []model.Customer{{Name: "a", Keys: []model.KeyDigest{model.DigestOf("ka")}, Regions: []string{"r0", "r2"}}}
	w.Configure(&table)
	w.eachServer(func(_ int, s *simServer) { s.mute = true })
	w.sendWithKey("/a/x", "ka")
	w.run(5 * ms)
	before := fmt.Sprint(w.arrivalsByRegion())
	moved := table
	moved.Version++
	moved.Customers = []model.Customer{{Name: "a", Keys: table.Customers[0].Keys, Regions: []string{"r1"}}}
	w.Configure(&moved)
	w.run(3 * time.Second)
	if got, want := fmt.Sprint(w.arrivalsByRegion()), before; got != want {
		t.Errorf("arrivals by region: got %s, want %s as before the change", got, want)
	}
}

// TestExplanationNamesRegionsOfCustomer guards against an explanation that has servers get requests of a customer
// that its regions rule out.
func TestExplanationNamesRegionsOfCustomer(t *testing.T) {
	w, _ := newCustomerSimulation(gatherRoute(), 0)
	table := *w.Table()
	table.Version++
	table.Customers = []model.Customer{{Name: "a", Keys: []model.KeyDigest{model.DigestOf("ka")}, Regions: []string{"r2"}}}
	w.Configure(&table)
	x, err := w.Explain(w.now, relay.Question{Host: "h", Path: "/a/x", Customer: "a"})
	if err != nil {
		t.Fatal(err)
	}
	for _, g := range x.Groups {
		for _, b := range g.Servers {
			if got, want := b.Excluded == "", b.DataCentre == "dc2"; got != want {
				t.Errorf("server %s in %s: got excluded %q, want allowed %t", b.ID, b.DataCentre, b.Excluded, want)
			}
		}
	}
}
