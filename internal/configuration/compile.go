package configuration

import (
	"time"
)

// Limits that apply if the document does not set them.
const (
	defaultMaxHeaderBytes = 16 << 10
	defaultMaxBodyBytes   = 4 << 20
	defaultHeaderTimeout  = 5 * time.Second
	defaultIdleTimeout    = 60 * time.Second
)

// Check returns an error of kind fault.InvalidConfiguration if a document is invalid. It does not compare the version of the
// document with the current one.
func Check(d *Document) error {
	_, err := Compile(d)
	return err
}

// Compile checks a document and returns its snapshot, or an error of kind fault.InvalidConfiguration that lists the
// problems.
func Compile(d *Document) (*Snapshot, error) {
	snapshot, err := compile(d, &problemCollector{withoutPaths: true})
	if err != nil {
		// The first pass leaves out the paths because of their cost. A second one adds them to the problems.
		return compile(d, &problemCollector{})
	}
	return snapshot, nil
}

// compile returns the snapshot of a document, and adds the problems of the document to the collector.
func compile(d *Document, collector *problemCollector) (*Snapshot, error) {
	c := newCompiler(d, collector)
	c.checkVersion()
	c.compileServices()
	c.compileRoutes()
	c.compileTenants()
	c.compileLimits()
	if err := collector.error(); err != nil {
		return nil, err
	}
	return c.snapshot, nil
}

// compiler builds one snapshot from the root of a document.
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

// checkVersion records a problem if the version field is not the version of the document, by which it is ordered.
func (c *compiler) checkVersion() {
	if version := c.root.version(); version != c.snapshot.Version {
		c.root.field(versionField).addProblem("it is %d, not %d", version, c.snapshot.Version)
	}
}

// requiredList returns the elements of a top-level list, and records a problem if the list is missing.
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

// readService reads one element of the list of services.
func readService(n node) *Service {
	return &Service{
		Name:            n.field(nameField).requiredText(),
		HealthPath:      n.field("healthPath").text(),
		ConnectionLimit: int(n.field("connectionLimit").count()),
		Engine:          readEngine(n.field("inferenceEngine")),
	}
}

// readEngine reads the description of an inference engine. It returns nil if there is none.
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

// addService adds a service, or records a problem if its name is taken.
func (c *compiler) addService(n node, s *Service) {
	if c.snapshot.servicesByName[s.Name] != nil {
		n.addProblem("two services are named %q", s.Name)
		return
	}
	c.snapshot.servicesByName[s.Name] = s
	c.snapshot.Services = append(c.snapshot.Services, s)
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

// readTenant reads one element of the list of tenants.
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

// addTenant adds a tenant, or records a problem if its name is taken. A key that another tenant has is a problem too.
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

// compileLimits compiles the limits that apply to clients.
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

// orDefault returns a value, or the fallback if the value is 0.
func orDefault[T int | time.Duration](value, fallback T) T {
	if value == 0 {
		return fallback
	}
	return value
}
