package fleet

import "slices"

// AllowedRegions returns the regions to whose upstreams a request of the route and the
// organisation may be sent, sorted, nil for any. org is nil on public routes. Where both have
// lists, both apply, so that the result may be empty: the request may be sent nowhere.
func AllowedRegions(route *Route, org *Organisation) []string {
	allowed := slices.Clone(route.AllowedRegions)
	switch {
	case org == nil || org.AllowedRegions == nil:
	case allowed == nil:
		allowed = slices.Clone(org.AllowedRegions)
	default:
		allowed = slices.DeleteFunc(allowed, func(r string) bool { return !slices.Contains(org.AllowedRegions, r) })
	}
	slices.Sort(allowed)
	return allowed
}
