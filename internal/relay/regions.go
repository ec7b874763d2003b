package relay

import (
	"net/http"
	"net/url"
)

// headerRegions has the regions to whose upstreams a relayed request may be sent, one a line
// and escaped as in a query. headerRegionsSet is there if a list applies, also an empty one.
const (
	headerRegions    = "Eelgrass-Regions"
	headerRegionsSet = "Eelgrass-Regions-Apply"
)

// SetRegions adds the allowed regions to the headers of a relayed request, nil for any.
func SetRegions(h http.Header, regions []string) {
	h.Del(headerRegions)
	h.Del(headerRegionsSet)
	if regions == nil {
		return
	}
	h.Set(headerRegionsSet, "1")
	for _, r := range regions {
		h.Add(headerRegions, url.QueryEscape(r))
	}
}

// Regions returns the allowed regions of a peer's request, nil for any. One that cannot be
// decoded allows nothing.
func Regions(h http.Header) []string {
	if h.Get(headerRegionsSet) == "" {
		return nil
	}
	regions := []string{}
	for _, text := range h.Values(headerRegions) {
		if r, err := url.QueryUnescape(text); err == nil {
			regions = append(regions, r)
		}
	}
	return regions
}
