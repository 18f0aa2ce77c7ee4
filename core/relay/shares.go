package relay

import "hyssoppitch/core/model"

// weightedPicker distributes the requests of one route over its shares by weighted round
// robin, so that each sequence of requests matches the weights as closely as whole numbers
// allow.
type weightedPicker struct {
	// credit is the number of requests by which each group is behind its share. Its sum is
	// constant.
	credit map[string]float64
}

// pickShare returns the group for the next request of a route with shares.
func (s *System) pickShare(r *model.Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Group
	}
	d := s.pickers[r.Name]
	if d == nil || !d.matches(r) {
		d = &weightedPicker{credit: map[string]float64{}}
		for _, share := range r.Shares {
			// Random initial credits prevent all instances from sending their first
			// requests to the same group.
			d.credit[share.Group] = s.Rand.Float64()
		}
		s.pickers[r.Name] = d
	}
	var total float64
	for _, share := range r.Shares {
		total += share.Weight
	}
	best := ""
	for _, share := range r.Shares {
		d.credit[share.Group] += share.Weight / total
		if best == "" || d.credit[share.Group] > d.credit[best] {
			best = share.Group
		}
	}
	d.credit[best]--
	return best
}

// matches reports whether the picker has exactly the groups of a route.
func (d *weightedPicker) matches(r *model.Route) bool {
	for _, share := range r.Shares {
		if _, ok := d.credit[share.Group]; !ok {
			return false
		}
	}
	return len(d.credit) == len(r.Shares)
}
