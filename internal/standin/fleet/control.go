package fleet

import (
	"encoding/json"
	"net/http"
	"time"

	"hyssoppitch/core/model"
)

// URL paths of a fleet's control interface.
const (
	PathOrder  = "/control/order"
	PathLedger = "/control/ledger"
	PathStats  = "/control/stats"
)

// Order is a request to change the behaviour of some servers of a fleet.
type Order struct {
	// Servers is a pattern for server IDs, as used by path.Match.
	Servers string `json:"servers"`
	// Faults, if present, replaces the injected faults.
	Faults *Faults `json:"faults,omitempty"`
	// Action is "crash", "stop", "chill" (make cold) or "reset-peaks".
	Action string `json:"action,omitempty"`
	// Snapshots and Epoch, if Snapshots is present, replace the snapshots and the shard
	// map version that the servers serve.
	Snapshots []model.Snapshot `json:"snapshots,omitempty"`
	Epoch     model.MapEpoch   `json:"map-epoch,omitempty"`
}

// Execute executes an order and returns the number of servers that it matches.
func (f *Fleet) Execute(o Order) int {
	servers := f.Match(o.Servers)
	for _, s := range servers {
		if o.Faults != nil {
			s.SetFaults(*o.Faults)
		}
		if o.Snapshots != nil {
			s.SetData(o.Snapshots, o.Epoch)
		}
		switch o.Action {
		case "crash":
			s.Crash()
		case "stop":
			s.Stop()
		case "chill":
			s.MakeCold()
		case "reset-peaks":
			s.ResetPeaks()
		}
	}
	return len(servers)
}

// Control returns the HTTP handler of the control interface.
func (f *Fleet) Control() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+PathOrder, func(w http.ResponseWriter, r *http.Request) {
		var o Order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		_ = json.NewEncoder(w).Encode(f.Execute(o))
	})
	mux.HandleFunc("GET "+PathLedger, func(w http.ResponseWriter, _ *http.Request) {
		_ = json.NewEncoder(w).Encode(f.Ledger())
	})
	mux.HandleFunc("GET "+PathStats, func(w http.ResponseWriter, _ *http.Request) {
		out := map[model.ServerID]Stats{}
		for _, s := range f.servers {
			out[s.ID] = s.Stats()
		}
		_ = json.NewEncoder(w).Encode(out)
	})
	return mux
}

// sameRegionDelay is the one-way delay between two data centres of one region.
const sameRegionDelay = time.Millisecond

// DelayBetween returns a function that computes the delay between two data centres: zero
// within a data centre, sameRegionDelay within a region, and oneWay between regions.
func DelayBetween(c model.Config, oneWay time.Duration) func(from, to string) time.Duration {
	region := map[string]string{}
	for _, d := range c.DataCentres {
		region[d.Name] = d.Region
	}
	return func(from, to string) time.Duration {
		switch {
		case from == to:
			return 0
		case region[from] == region[to]:
			return sameRegionDelay
		default:
			return oneWay
		}
	}
}
