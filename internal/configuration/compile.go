package configuration

import (
	"strings"
	"time"
)

// Limits that hold where the document does not state them.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
)

// Check returns an error of kind fault.InvalidConfiguration if a document is invalid, whatever version is current.
func Check(d *Document) error {
	_, err := Compile(d)
	return err
}

// Compile checks a document and returns its snapshot.
func Compile(d *Document) (*Snapshot, error) {
	snapshot, err := compile(d, &problemCollector{withoutPaths: true})
	if err != nil {
		// A second pass finds the paths of the problems.
		return compile(d, &problemCollector{})
	}
	return snapshot, nil
}

// compile makes the snapshot of a document, and collects the problems of the document.
func compile(d *Document, collector *problemCollector) (*Snapshot, error) {
	c := newCompiler(d, collector)
	c.compileServices()
	c.compileRoutes()
	c.compileTenants()
	c.compileLimits()
	if err := collector.error(); err != nil {
		return nil, err
	}
	return c.snapshot, nil
}

// compiler builds one snapshot.
type compiler struct {
	root     node
	snapshot *Snapshot
}

func newCompiler(d *Document, collector *problemCollector) *compiler {
	return &compiler{
		root: node{collector: collector, value: d.root},
		snapshot: &Snapshot{
			Version:        d.version,
			hosts:          map[string]*hostRoutes{},
			routesByName:   map[string]*Route{},
			servicesByName: map[string]*Service{},
			tenantsByKey:   map[string]*Tenant{},
			tenantsByName:  map[string]*Tenant{},
		},
	}
}

// requiredList returns the elements of a top-level list that every document has.
func (c *compiler) requiredList(name string) []node {
	list := c.root.field(name)
	if list.isAbsent() {
		list.addProblem("it is missing")
	}
	return list.list()
}

// compileServices compiles the list of services.
func (c *compiler) compileServices() {
	for _, n := range c.requiredList(servicesField) {
		if n.requireObject() {
			c.addService(n, readService(n))
		}
	}
}

// readService returns a service.
func readService(n node) *Service {
	return &Service{
		Name:            n.field(nameField).requiredText(),
		HealthPath:      n.field("healthPath").text(),
		ConnectionLimit: int(n.field("connectionLimit").count()),
		Engine:          readEngine(n.field("inferenceEngine")),
	}
}

// readEngine returns the description of an engine, nil if absent.
func readEngine(n node) *Engine {
	if n.isAbsent() || !n.requireObject() {
		return nil
	}
	engine := &Engine{
		CapacitySlots:      int(n.field("capacitySlots").count()),
		CacheTokenCapacity: n.field("cacheTokenCapacity").count(),
		TokenSizeBytes:     int64(n.field("tokenSizeBytes").number()),
		Stride:             int(n.field("stride").number()),
	}
	for _, model := range n.field("models").list() {
		engine.Models = append(engine.Models, model.field(nameField).text())
	}
	return engine
}

// addService adds a service unless its name is taken.
func (c *compiler) addService(n node, s *Service) {
	if c.snapshot.servicesByName[s.Name] != nil {
		n.addProblem("two services are named %q", s.Name)
		return
	}
	c.snapshot.servicesByName[s.Name] = s
	c.snapshot.Services = append(c.snapshot.Services, s)
}

// compileRoutes compiles the list of routes. Services must have been compiled.
func (c *compiler) compileRoutes() {
	for _, n := range c.requiredList(routesField) {
		if n.requireObject() {
			c.addRoute(n, c.readRoute(n))
		}
	}
}

// readRoute returns a route.
func (c *compiler) readRoute(n node) *Route {
	r := &Route{
		Name:             n.field(nameField).requiredText(),
		Host:             normalizeHost(n.field("hostname").requiredText()),
		Prefix:           readPrefix(n.field("pathPrefix")),
		Kind:             kindNames[n.field("routeKind").text()],
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

// readPrefix returns a path prefix, which starts and ends with a slash.
func readPrefix(n node) string {
	prefix := n.requiredText()
	if prefix != "" && !(strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")) {
		n.addProblem("%q must start and end with a slash", prefix)
	}
	return prefix
}

// readTimeout returns a timeout, which must not be 0. Routes of batch jobs may have none: it does not apply to items.
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

// readSplit returns the services of a route: one under "service", or several with weights under "trafficSplit", which takes
// precedence where both are given.
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

// readServiceName returns the service that a field names.
func (c *compiler) readServiceName(n node) *Service {
	name := n.requiredText()
	service := c.snapshot.servicesByName[name]
	if service == nil {
		n.addProblem("there is no service named %q", name)
	}
	return service
}

// readSplitList returns the services of a list with weights. Those of weight 0 are checked, and left out.
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

// addRoute adds a route unless its name, or its host and prefix, are taken.
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

// compileTenants compiles the list of tenants.
func (c *compiler) compileTenants() {
	list := c.root.field(tenantsField)
	c.snapshot.hasTenants = !list.isAbsent()
	for _, n := range list.list() {
		if n.requireObject() {
			c.addTenant(n, readTenant(n))
		}
	}
}

// readTenant returns a tenant.
func readTenant(n node) *Tenant {
	priority := n.field("priority")
	t := &Tenant{
		Name:          n.field(nameField).requiredText(),
		Priority:      int(priority.integer()),
		HasPriority:   !priority.isAbsent(),
		RatePerSecond: n.field("ratePerS").number(),
		Burst:         n.field("burstSize").number(),
	}
	for _, key := range n.field("apiKeys").list() {
		t.Keys = append(t.Keys, key.requiredText())
	}
	return t
}

// addTenant adds a tenant unless its name is taken.
func (c *compiler) addTenant(n node, t *Tenant) {
	if c.snapshot.tenantsByName[t.Name] != nil {
		n.addProblem("two tenants are named %q", t.Name)
		return
	}
	for _, key := range t.Keys {
		if other := c.snapshot.tenantsByKey[key]; other != nil && other != t {
			n.addProblem("tenant %q shares a key with tenant %q", t.Name, other.Name)
		}
		c.snapshot.tenantsByKey[key] = t
	}
	c.snapshot.tenantsByName[t.Name] = t
	c.snapshot.Tenants = append(c.snapshot.Tenants, t)
}

// compileLimits compiles the limits of clients.
func (c *compiler) compileLimits() {
	n := c.root.field(limitsField)
	if !n.isAbsent() {
		n.requireObject()
	}
	c.snapshot.Limits = Limits{
		MaxHeaderBytes: orDefault(int(n.field("maxHeaderBytes").count()), defaultMaxHeaderBytes),
		MaxBodyBytes:   orDefault(int(n.field("maxBodyBytes").count()), defaultMaxBodyBytes),
		HeaderTimeout:  orDefault(n.field("headerTimeoutMs").milliseconds(), defaultHeaderTimeout),
		IdleTimeout:    orDefault(n.field("idleTimeoutMs").milliseconds(), defaultIdleTimeout),
	}
}

// orDefault returns a value, or a fallback for 0.
func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
