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

// Check tells what is invalid in a document, whatever version is current. The error is of kind
// fault.InvalidConfiguration.
func Check(d *Document) error {
	_, err := Compile(d)
	return err
}

// Compile checks a document and makes its snapshot.
func Compile(d *Document) (*Snapshot, error) {
	snapshot, err := compile(d, &problemCollector{withoutPaths: true})
	if err != nil {
		// Once more, for the paths of the problems.
		return compile(d, &problemCollector{})
	}
	return snapshot, nil
}

func compile(d *Document, r *problemCollector) (*Snapshot, error) {
	c := newCompiler(d, r)
	c.services()
	c.routes()
	c.tenants()
	c.limits()
	if err := r.error(); err != nil {
		return nil, err
	}
	return c.snapshot, nil
}

// compiler builds one snapshot.
type compiler struct {
	root     node
	snapshot *Snapshot
}

func newCompiler(d *Document, r *problemCollector) *compiler {
	return &compiler{
		root: node{collector: r, value: d.root},
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

// requiredList gives the elements of a top-level list that every document has.
func (c *compiler) requiredList(name string) []node {
	list := c.root.field(name)
	if list.absent() {
		list.addProblem("it is missing")
	}
	return list.list()
}

func (c *compiler) services() {
	for _, n := range c.requiredList(servicesField) {
		if n.object() {
			c.addService(n, readService(n))
		}
	}
}

func readService(n node) *Service {
	return &Service{
		Name:            n.field(nameField).requiredText(),
		HealthPath:      n.field("healthPath").text(),
		ConnectionLimit: int(n.field("connectionLimit").count()),
		Engine:          readEngine(n.field("inferenceEngine")),
	}
}

func readEngine(n node) *Engine {
	if n.absent() || !n.object() {
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

func (c *compiler) addService(n node, s *Service) {
	if c.snapshot.servicesByName[s.Name] != nil {
		n.addProblem("two services are named %q", s.Name)
		return
	}
	c.snapshot.servicesByName[s.Name] = s
	c.snapshot.Services = append(c.snapshot.Services, s)
}

func (c *compiler) routes() {
	for _, n := range c.requiredList(routesField) {
		if n.object() {
			c.addRoute(n, c.readRoute(n))
		}
	}
}

func (c *compiler) readRoute(n node) *Route {
	r := &Route{
		Name:             n.field(nameField).requiredText(),
		Host:             normalHost(n.field("hostname").requiredText()),
		Prefix:           readPrefix(n.field("pathPrefix")),
		Kind:             kindNames[n.field("routeKind").text()],
		TargetLatency:    n.field("targetLatencyMs").milliseconds(),
		GapTarget:        n.field("gap_aim_ms").milliseconds(),
		CompletionTarget: n.field("completionTargetMs").milliseconds(),
		Retention:        n.field("retentionS").seconds(),
		Priority:         int(n.field("priority").whole()),
		Split:            c.readSplit(n),
		MaxAttempts:      max(1, int(n.field("maxAttempts").count())),
		Public:           n.field("public").flag(),
		SessionAffinity:  n.field("sessionAffinity").flag(),
		Resumable:        n.field("resumable").flag(),
		MaxQueuedTokens:  n.field("maxQueuedTokens").count(),
	}
	r.Timeout = readTimeout(n.field("timeoutMs"), r.Kind)
	return r
}

func readPrefix(n node) string {
	prefix := n.requiredText()
	if prefix != "" && !(strings.HasPrefix(prefix, "/") && strings.HasSuffix(prefix, "/")) {
		n.addProblem("%q must start and end with a slash", prefix)
	}
	return prefix
}

// readTimeout reads a time-out, which must not be 0. Routes of batch jobs may have none: it does not apply to items.
func readTimeout(n node, kind Kind) time.Duration {
	if n.absent() {
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

// readSplit reads the services of a route: one under "service", or several with weights under "trafficSplit", which
// goes first where both are given.
func (c *compiler) readSplit(n node) []WeightedService {
	single := n.field("service")
	parts := n.field("trafficSplit")
	if !single.absent() {
		service := c.readServiceName(single)
		if len(parts.list()) == 0 {
			return []WeightedService{{Service: service, Weight: 1}}
		}
	}
	return c.readSplitList(parts)
}

func (c *compiler) readServiceName(n node) *Service {
	name := n.requiredText()
	service := c.snapshot.servicesByName[name]
	if service == nil {
		n.addProblem("there is no service named %q", name)
	}
	return service
}

func (c *compiler) readSplitList(parts node) []WeightedService {
	var split []WeightedService
	total := 0.0
	for _, part := range parts.list() {
		if !part.object() {
			continue
		}
		service := c.readServiceName(part.field("service"))
		weight := part.field("weight").number()
		total += weight
		if weight > 0 {
			split = append(split, WeightedService{Service: service, Weight: weight})
		}
	}
	if total == 0 {
		parts.addProblem("the weights sum to 0")
	}
	return split
}

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

func (c *compiler) tenants() {
	list := c.root.field(tenantsField)
	c.snapshot.tenantsDeclared = !list.absent()
	for _, n := range list.list() {
		if n.object() {
			c.addTenant(n, readTenant(n))
		}
	}
}

func readTenant(n node) *Tenant {
	priority := n.field("priority")
	t := &Tenant{
		Name:          n.field(nameField).requiredText(),
		Priority:      int(priority.whole()),
		HasPriority:   !priority.absent(),
		RatePerSecond: n.field("ratePerS").number(),
		Burst:         n.field("burstSize").number(),
	}
	for _, key := range n.field("apiKeys").list() {
		t.Keys = append(t.Keys, key.requiredText())
	}
	return t
}

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

func (c *compiler) limits() {
	n := c.root.field(limitsField)
	if !n.absent() {
		n.object()
	}
	c.snapshot.Limits = Limits{
		MaxHeaderBytes: orDefault(int(n.field("maxHeaderBytes").count()), defaultMaxHeaderBytes),
		MaxBodyBytes:   orDefault(int(n.field("maxBodyBytes").count()), defaultMaxBodyBytes),
		HeaderTimeout:  orDefault(n.field("headerTimeoutMs").milliseconds(), defaultHeaderTimeout),
		IdleTimeout:    orDefault(n.field("idleTimeoutMs").milliseconds(), defaultIdleTimeout),
	}
}

func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
