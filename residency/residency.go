// Package residency restricts requests to regions: a route may state in which regions its requests are served.
package residency

import "slices"

// Regions is the set of regions in which a request may be served. The zero value allows all regions. It is immutable.
type Regions struct {
	restricted bool
	names      []string
}

// Of returns the set of the named regions, or all regions if there are no names.
func Of(names []string) Regions {
	return Regions{restricted: len(names) > 0, names: slices.Clone(names)}
}

// Allows reports whether a request may be served in the region. An unknown region, which has an empty name, is only allowed if
// all regions are.
func (r Regions) Allows(region string) bool {
	return !r.restricted || region != "" && slices.Contains(r.names, region)
}

// Intersect returns the regions that both sets allow.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.restricted:
		return other
	case !other.restricted:
		return r
	}
	both := Regions{restricted: true}
	for _, name := range r.names {
		if other.Allows(name) {
			both.names = append(both.names, name)
		}
	}
	return both
}

// IsRestricted reports whether not all regions are allowed.
func (r Regions) IsRestricted() bool { return r.restricted }

// Names returns the allowed regions, nil if all are.
func (r Regions) Names() []string { return slices.Clone(r.names) }
