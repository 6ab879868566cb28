package configuration

import (
	"strings"
	"time"
)

// compileRoutes compiles the list of routes. The services must have been compiled before.
func (c *compiler) compileRoutes() {
	for _, n := range c.requiredList(routesField) {
		if n.requireObject() {
			c.addRoute(n, c.readRoute(n))
		}
	}
}

// readRoute reads one element of the list of routes.
func (c *compiler) readRoute(n node) *Route {
	r := &Route{
		Name:             n.field(nameField).requiredText(),
		Host:             normalizeHost(n.field("hostname").requiredText()),
		Prefix:           readPrefix(n.field("pathPrefix")),
		Kind:             kindsByName[n.field("routeKind").text()],
		TargetLatency:    n.field("targetLatencyMs").milliseconds(),
		GapTarget:        n.field("gap_aim_ms").milliseconds(),
		CompletionTarget: n.field("completionTargetMs").milliseconds(),
		Retention:        n.field("retentionS").seconds(),
		Priority:         int(n.field("priority").integer()),
		Split:            c.readSplit(n),
		MaxAttempts:      max(1, int(n.field("maxAttempts").count())),
		Public:           n.field("public").boolean(),
		SessionAffinity:  n.field("sessionAffinity").boolean(),
		Resumable:        n.field("resumable").boolean(),
		MaxQueuedTokens:  n.field("maxQueuedTokens").count(),
	}
	r.Timeout = readTimeout(n.field("timeoutMs"), r.Kind)
	return r
}

// readPrefix reads a path prefix, which must start and end with a slash.
func readPrefix(n node) string {
	prefix := n.requiredText()
	if prefix != "" && !(strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")) {
		n.addProblem("%q must start and end with a slash", prefix)
	}
	return prefix
}

// readTimeout reads the timeout of a route, which must be above 0. Only routes of kind Batch may omit it, because it does not
// apply to the items of batch jobs.
func readTimeout(n node, kind Kind) time.Duration {
	if n.isAbsent() {
		if kind != Batch {
			n.addProblem("it is missing")
		}
		return 0
	}
	timeout := n.milliseconds()
	if timeout == 0 {
		n.addProblem("it must be above 0")
	}
	return timeout
}

// readSplit reads the services of a route: one under "service", or several with weights under "trafficSplit". If both are
// given, a "trafficSplit" that is not empty takes precedence.
func (c *compiler) readSplit(n node) []WeightedService {
	single := n.field("service")
	split := n.field("trafficSplit")
	if !single.isAbsent() {
		service := c.readServiceName(single)
		if len(split.list()) == 0 {
			return []WeightedService{{Service: service, Weight: 1}}
		}
	}
	return c.readSplitList(split)
}

// readServiceName returns the service that a field names, and records a problem if there is none.
func (c *compiler) readServiceName(n node) *Service {
	name := n.requiredText()
	service := c.snapshot.servicesByName[name]
	if service == nil {
		n.addProblem("there is no service named %q", name)
	}
	return service
}

// readSplitList reads a list of services with weights. Services of weight 0 are checked too, but left out of the result.
func (c *compiler) readSplitList(list node) []WeightedService {
	var split []WeightedService
	total := 0.0
	for _, entry := range list.list() {
		if !entry.requireObject() {
			continue
		}
		service := c.readServiceName(entry.field("service"))
		weight := entry.field("weight").number()
		total += weight
		if weight > 0 {
			split = append(split, WeightedService{Service: service, Weight: weight})
		}
	}
	if total == 0 {
		list.addProblem("the weights sum to 0")
	}
	return split
}

// addRoute adds a route, or records a problem if its name, or its host and prefix together, are taken.
func (c *compiler) addRoute(n node, r *Route) {
	if c.snapshot.routesByName[r.Name] != nil {
		n.addProblem("two routes are named %q", r.Name)
		return
	}
	host := c.snapshot.hosts[r.Host]
	if host == nil {
		host = &hostRoutes{byPrefix: map[string]*Route{}}
		c.snapshot.hosts[r.Host] = host
	}
	if other := host.byPrefix[r.Prefix]; other != nil {
		n.addProblem("route %q has the host and the prefix of route %q", r.Name, other.Name)
		return
	}
	host.add(r)
	c.snapshot.routesByName[r.Name] = r
	c.snapshot.Routes = append(c.snapshot.Routes, r)
}
