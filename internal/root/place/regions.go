package place

import "slices"

// Regions are the regions that a request may use: nil for any, and none if it is empty but not nil.
type Regions []string

// Bound reports whether the request may not use any region.
func (r Regions) Bound() bool {
	return r != nil
}

// Allows reports whether the request may use the region. A region that is not known has the name "", which only a request that is not bound may use.
func (r Regions) Allows(region string) bool {
	return !r.Bound() || (region != "" && slices.Contains(r, region))
}

// Intersect returns the regions that both allow.
func (r Regions) Intersect(o Regions) Regions {
	switch {
	case !r.Bound():
		return o
	case !o.Bound():
		return r
	}
	both := Regions{}
	for _, region := range r {
		if o.Allows(region) {
			both = append(both, region)
		}
	}
	return both
}
