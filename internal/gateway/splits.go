package gateway

import (
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/eelgrassbay/eelgrassbay/internal/fleet"
)

// pickService picks one of a route's services by weight. An ID picks the same one at each
// instance that has the route, and other weights change that for as few IDs as they can
// (weighted rendezvous hashing). Without an ID the pick is random.
func pickService(r *fleet.Route, id string) string {
	if id == "" {
		id = strconv.FormatUint(rand.Uint64(), 16)
	}
	best, least := "", math.Inf(1)
	for _, service := range servicesOf(r) {
		weight := 0
		for _, t := range r.Targets {
			if t.Service == service {
				weight += t.Weight
			}
		}
		// Of exponential variables, each is the least one in proportion to its rate.
		uniform := float64(xxhash.Sum64String(service+"\x00"+id)>>11+1) / (1 << 53)
		if at := -math.Log(uniform) / float64(weight); best == "" || at < least {
			best, least = service, at
		}
	}
	return best
}

// servicesOf returns the services of a route, each once.
func servicesOf(r *fleet.Route) (out []string) {
	for _, t := range r.Targets {
		if !slices.Contains(out, t.Service) {
			out = append(out, t.Service)
		}
	}
	return out
}

// streamRoute identifies a route over versions of the configuration.
type streamRoute struct{ host, pathPrefix string }

func streamRouteOf(r *fleet.Route) streamRoute { return streamRoute{r.Host, r.PathPrefix} }

// routeServices is which services the routes of streams have and had within the time in which
// streams are resumed. It is not safe for concurrent use.
type routeServices struct {
	config *fleet.Config
	routes map[streamRoute][]string
	former map[streamRoute]map[string]time.Duration // services and when they were the route's last
}

// apply records the configuration in force and reports whether it is another one.
func (s *routeServices) apply(now time.Duration, config *fleet.Config) bool {
	if config == s.config {
		return false
	}
	routes := map[streamRoute][]string{}
	for _, r := range config.Routes {
		if r.Kind == fleet.KindStream && r.Resumable {
			routes[streamRouteOf(r)] = servicesOf(r)
		}
	}
	for route, services := range s.routes {
		for _, service := range services {
			if !slices.Contains(routes[route], service) {
				s.left(now, route, service)
			}
		}
	}
	s.config, s.routes = config, routes
	return true
}

func (s *routeServices) left(now time.Duration, route streamRoute, service string) {
	if s.former == nil {
		s.former = map[streamRoute]map[string]time.Duration{}
	}
	if s.former[route] == nil {
		s.former[route] = map[string]time.Duration{}
	}
	s.former[route][service] = now
}

// expire forgets services that left their route before since and reports whether there were any.
func (s *routeServices) expire(since time.Duration) (expired bool) {
	for route, services := range s.former {
		for service, at := range services {
			if at < since {
				delete(services, service)
				expired = true
			}
		}
		if len(services) == 0 {
			delete(s.former, route)
		}
	}
	return expired
}

// formerOf returns the services that a route had and has no more, sorted.
func (s *routeServices) formerOf(r *fleet.Route) (out []string) {
	for service := range s.former[streamRouteOf(r)] {
		if !slices.Contains(servicesOf(r), service) {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// groups returns the services that share a route with others.
func (s *routeServices) groups() (out [][]string) {
	for route, services := range s.routes {
		group := slices.Clone(services)
		for service := range s.former[route] {
			if !slices.Contains(group, service) {
				group = append(group, service)
			}
		}
		if len(group) > 1 {
			out = append(out, group)
		}
	}
	return out
}
