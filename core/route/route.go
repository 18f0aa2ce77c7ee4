// Package route owns rendezvous hashing: who, among a set of instances, holds a
// duty. It keeps no state; what a duty means, and how two holders at once are
// made harmless, is left to the package that asks.
package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hyssoppitch/core/model"
)

// weight returns the rendezvous weight of an instance for a duty.
func weight(duty string, id model.InstanceID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(duty)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// Holder returns the instance with the highest weight for the duty, or "" when
// there are no instances. The order of ids doesn't matter.
func Owner(duty string, ids []model.InstanceID) model.InstanceID {
	var best model.InstanceID
	var bestWeight uint64
	for _, id := range ids {
		w := weight(duty, id)
		if best == "" || w > bestWeight || (w == bestWeight && id < best) {
			best, bestWeight = id, w
		}
	}
	return best
}

// Holders returns the n instances with the highest weights for the duty, highest
// first, or all of them when there are fewer.
func RankedOwners(duty string, ids []model.InstanceID, n int) []model.InstanceID {
	type ranked struct {
		id     model.InstanceID
		weight uint64
	}
	all := make([]ranked, len(ids))
	for i, id := range ids {
		all[i] = ranked{id: id, weight: weight(duty, id)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		if a.weight != b.weight {
			if a.weight > b.weight {
				return -1
			}
			return 1
		}
		if a.id < b.id {
			return -1
		}
		return 1
	})
	n = min(n, len(all))
	out := make([]model.InstanceID, n)
	for i := range out {
		out[i] = all[i].id
	}
	return out
}
