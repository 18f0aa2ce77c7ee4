// Package route implements rendezvous hashing: it assigns a key to an owner among a set of
// instances. It keeps no state. Instances with different views may compute different owners
// for a key; the caller must make sure that two owners at once do no harm.
package route

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"hyssoppitch/core/model"
)

// weight returns the rendezvous weight of an instance for a key.
func weight(key string, id model.InstanceID) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(key)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(string(id))
	return d.Sum64()
}

// Owner returns the instance with the highest weight for the key, or "" if there are no
// instances. The order of ids doesn't matter.
func Owner(key string, ids []model.InstanceID) model.InstanceID {
	var best model.InstanceID
	var bestWeight uint64
	for _, id := range ids {
		w := weight(key, id)
		if best == "" || w > bestWeight || (w == bestWeight && id < best) {
			best, bestWeight = id, w
		}
	}
	return best
}

// RankedOwners returns the n instances with the highest weights for the key in descending
// order, or all of them if there are fewer.
func RankedOwners(key string, ids []model.InstanceID, n int) []model.InstanceID {
	type ranked struct {
		id     model.InstanceID
		weight uint64
	}
	all := make([]ranked, len(ids))
	for i, id := range ids {
		all[i] = ranked{id: id, weight: weight(key, id)}
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
