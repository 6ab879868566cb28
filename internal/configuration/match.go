package configuration

import "strings"

// hostRoutes holds the routes of one host by their prefixes.
type hostRoutes struct {
	byPrefix map[string]*Route
	// longestPrefix is the length of the longest key of byPrefix: longer prefixes of a path need not be looked up.
	longestPrefix int
}

func (h *hostRoutes) add(r *Route) {
	h.byPrefix[r.Prefix] = r
	h.longestPrefix = max(h.longestPrefix, len(r.Prefix))
}

// match returns the route with the longest prefix that path starts with, nil if there is none. All prefixes end with a slash.
func (h *hostRoutes) match(path string) *Route {
	for end := min(len(path), h.longestPrefix); end > 0; end-- {
		if path[end-1] != '/' {
			continue
		}
		if route, found := h.byPrefix[path[:end]]; found {
			return route
		}
	}
	return nil
}

// Match returns the route for the Host header and the path (without the query) of a request: among the routes of the host, the
// one with the longest matching prefix. It returns nil if there is none.
func (s *Snapshot) Match(host, path string) *Route {
	routes, found := s.hosts[normalizeHost(host)]
	if !found {
		return nil
	}
	return routes.match(path)
}

// RouteByName returns the route with a name, nil if there is none.
func (s *Snapshot) RouteByName(name string) *Route { return s.routesByName[name] }

// RouteAt returns the route of a host, in lower case and without a port, and exactly a prefix, nil if there is none.
func (s *Snapshot) RouteAt(host, prefix string) *Route {
	if routes := s.hosts[host]; routes != nil {
		return routes.byPrefix[prefix]
	}
	return nil
}

// ServiceByName returns the service with a name, nil if there is none.
func (s *Snapshot) ServiceByName(name string) *Service { return s.servicesByName[name] }

// RequiresKey reports whether requests on routes that are not public need the API key of a tenant: it is true if the document
// has a list of tenants, even an empty one.
func (s *Snapshot) RequiresKey() bool { return s.hasTenants }

// Tenant returns the tenant of an API key, nil if there is none.
func (s *Snapshot) Tenant(key string) *Tenant { return s.tenantsByKey[key] }

// TenantByName returns the tenant with a name, nil if there is none.
func (s *Snapshot) TenantByName(name string) *Tenant { return s.tenantsByName[name] }

// Choose returns a service with a probability proportional to its weight in Split, nil if Split is empty. u is a uniformly
// distributed random number in [0, 1).
func (r *Route) Choose(u float64) *Service {
	if len(r.Split) == 0 {
		return nil
	}
	total := 0.0
	for _, weighted := range r.Split {
		total += weighted.Weight
	}
	remaining := u * total
	for _, weighted := range r.Split {
		if remaining < weighted.Weight {
			return weighted.Service
		}
		remaining -= weighted.Weight
	}
	return r.Split[len(r.Split)-1].Service
}

// normalizeHost returns a host in lower case and without a port.
func normalizeHost(host string) string {
	if colon := strings.LastIndexByte(host, ':'); colon >= 0 && isDigits(host[colon+1:]) {
		host = host[:colon]
	}
	return strings.ToLower(host)
}

func isDigits(text string) bool {
	for i := range len(text) {
		if text[i] < '0' || text[i] > '9' {
			return false
		}
	}
	return true
}
