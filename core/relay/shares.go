package relay

import "hyssoppitch/core/model"

// dealer deals the requests of one route out to its shares, so that each stretch of
// requests meets the weights as closely as whole numbers allow.
type weightedPicker struct {
	// credit is what each group is owed, in requests; the sum is zero.
	credit map[string]float64
}

// deal returns the group for the next request of a route with shares.
func (s *System) pickShare(r *model.Route) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Group
	}
	d := s.pickers[r.Name]
	if d == nil || !d.matches(r) {
		d = &weightedPicker{credit: map[string]float64{}}
		for _, share := range r.Shares {
			// Instances start at different points, so that they don't all send their
			// first requests to the same group.
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

// fits reports whether the dealer holds just the groups of a route.
func (d *weightedPicker) matches(r *model.Route) bool {
	for _, share := range r.Shares {
		if _, ok := d.credit[share.Group]; !ok {
			return false
		}
	}
	return len(d.credit) == len(r.Shares)
}
