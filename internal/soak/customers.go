package main

import (
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"hyssoppitch/platform"
	"hyssoppitch/platform/stand"
)

const (
	// usualCustomer sends the requests of all usual clients and has no quota. quotaCustomer sends
	// more than its quota.
	usualCustomer, quotaCustomer = "usual", "limited"

	quotaRate, quotaBurst    = 20, 10
	quotaWindow              = 5 * time.Second
	quotaOverage, quotaSlack = 0.1, 20
	// quotaClientInterval is the delay of a client of quotaCustomer between two requests. There is
	// one for each instance, so that four instances get about twice its rate.
	quotaClientInterval = 80 * time.Millisecond
)

// versionKey is the key of usualCustomer that only one version of the configuration contains.
func versionKey(version uint64) string { return fmt.Sprintf("key-of-version-%d", version) }

// tenants returns the customers of a version of the configuration. Each customer also has a key, its
// name, that all versions contain.
func tenants(version uint64) []platform.TenantEntry {
	return []platform.TenantEntry{
		{Name: usualCustomer, Keys: []string{usualCustomer, versionKey(version)}},
		{Name: quotaCustomer, Keys: []string{quotaCustomer}, RatePerSecond: quotaRate, Burst: quotaBurst},
	}
}

// customerOf returns the customer whose key the request with an ID carries.
func customerOf(id string) string {
	if strings.HasPrefix(id, "q") {
		return quotaCustomer
	}
	return usualCustomer
}

// runQuotaClient sends requests of quotaCustomer to one instance until stop is closed.
func (w *deployment) runQuotaClient(n int, stop <-chan struct{}) {
	w.sendPeriodically(w.instances[n], fmt.Sprintf("q%d", n), "/limited/", quotaClientInterval, stop)
}

// sendPeriodically sends safe requests to one instance until stop is closed.
func (w *deployment) sendPeriodically(in *instance, client, prefix string, interval time.Duration, stop <-chan struct{}) {
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for k := 0; ; k++ {
		select {
		case <-stop:
			return
		case <-time.After(interval):
		}
		id := fmt.Sprintf("%s-%d", client, k)
		w.sendAndCheck(c, in, id, prefix+id, false)
	}
}

// checkKeys checks that every instance accepts the key of the newest version of the configuration and
// no longer the one of the version before. A request with a removed key must get 401 and reach no
// server.
func (w *deployment) checkKeys() {
	w.mu.Lock()
	newest, previous := w.configVersion, w.previousVersion
	w.mu.Unlock()
	c := &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for i, in := range w.instances {
		for _, test := range []struct {
			version uint64
			valid   bool
		}{{newest, true}, {previous, false}} {
			id := fmt.Sprintf("k%d-%d", i, test.version)
			if !test.valid {
				w.checks.forbid(id, "a request with a removed key")
			}
			status, err := w.sendWithKey(c, in, id, versionKey(test.version))
			if err != nil || (status == http.StatusUnauthorized) == test.valid {
				w.checks.fail("%s: request with the key of version %d got status %d, error %v; the newest version is %d, and the key is valid: %t",
					in.name, test.version, status, err, newest, test.valid)
			}
		}
	}
}

// sendWithKey sends a search with a key and returns the status of the answer.
func (w *deployment) sendWithKey(c *http.Client, in *instance, id, key string) (status int, err error) {
	r, err := http.NewRequest(http.MethodGet, "http://"+in.listenAddress+"/find/"+id, nil)
	if err != nil {
		return 0, err
	}
	r.Host = "soak"
	r.Header.Set(platform.Headers().Request, id)
	r.Header.Set(platform.Headers().CallerTimeout, "2000")
	r.Header.Set(platform.Headers().Key, key)
	w.checks.add(id, &sentRequest{})
	reply, err := c.Do(r)
	if err != nil {
		return 0, err
	}
	return reply.StatusCode, reply.Body.Close()
}

// checkCustomer checks the headers that a server got with a request: the name of its customer, and
// no key.
func (w *deployment) checkCustomer(server string, r stand.Run) {
	if want := []string{customerOf(r.Request)}; !slices.Equal(r.Customers, want) {
		w.checks.fail("request %s reached server %s with the customers %q, want %q", r.Request, server, r.Customers, want)
	}
	if len(r.Keys) > 0 {
		w.checks.fail("request %s reached server %s with %d keys, want none", r.Request, server, len(r.Keys))
	}
}

// checkQuota checks that in no window more requests of quotaCustomer were executed than its quota
// allows. A request that was executed more than once in a window counts once.
func (w *deployment) checkQuota(runs []stand.Run) {
	var limited []stand.Run
	for _, r := range runs {
		if customerOf(r.Request) == quotaCustomer {
			limited = append(limited, r)
		}
	}
	slices.SortFunc(limited, func(a, b stand.Run) int { return a.At.Compare(b.At) })
	bound := (quotaRate*quotaWindow.Seconds()+quotaBurst)*(1+quotaOverage) + quotaSlack
	var most struct {
		requests int
		from     time.Time
	}
	first, inWindow := 0, map[string]int{}
	for _, r := range limited {
		inWindow[r.Request]++
		for ; r.At.Sub(limited[first].At) >= quotaWindow; first++ {
			if id := limited[first].Request; inWindow[id] > 1 {
				inWindow[id]--
			} else {
				delete(inWindow, id)
			}
		}
		if len(inWindow) > most.requests {
			most.requests, most.from = len(inWindow), limited[first].At
		}
	}
	w.mostLimited, w.limitedBound = most.requests, bound
	if float64(most.requests) > bound {
		w.checks.fail("%d requests of customer %s were executed within %v from %s, want at most %.0f",
			most.requests, quotaCustomer, quotaWindow, most.from.UTC().Format("15:04:05.000"), bound)
	}
}
