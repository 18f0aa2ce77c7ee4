package fleet

import (
	"encoding/json"
	"net/http"
	"time"

	"hyssoppitch/core/model"
)

// Paths of a fleet's control interface.
const (
	PathOrder  = "/control/order"
	PathLedger = "/control/ledger"
	PathStats  = "/control/stats"
)

// Order tells some servers of a fleet to change.
type Order struct {
	// Servers is a pattern of server IDs, as of path.Match.
	Servers string `json:"servers"`
	// Faults replaces the faults; absent leaves them.
	Faults *Faults `json:"faults,omitempty"`
	// Action is "crash", "stop", "chill" or "reset-peaks".
	Action string `json:"action,omitempty"`
	// Snapshots and Epoch, when given, are what the servers serve from now on.
	Snapshots []model.Snapshot `json:"snapshots,omitempty"`
	Epoch     model.MapEpoch   `json:"map-epoch,omitempty"`
}

// Carry carries out an order. It returns the number of servers concerned.
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

// Control returns the control interface.
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

// localDelay is the one-way delay between two processes of one region.
const sameRegionDelay = time.Millisecond

// Between returns a delay function: oneWay between data centres of different
// regions, localDelay between others.
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
