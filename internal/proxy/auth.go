package proxy

import (
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

// tenantFor returns the tenant whose key a request carries; nil where the route needs none.
func (p *Proxy) tenantFor(snapshot *configuration.Snapshot, route *configuration.Route, r *request) (*configuration.Tenant, error) {
	if route.Public || !snapshot.RequiresKey() {
		return nil, nil
	}
	return p.authenticate(snapshot, r)
}

// callTenant returns the name of the tenant whose key a call about batch jobs carries.
func (p *Proxy) callTenant(snapshot *configuration.Snapshot, r *request) (string, error) {
	if !snapshot.RequiresKey() {
		return "", nil
	}
	tenant, err := p.authenticate(snapshot, r)
	return tenantName(tenant), err
}

// authenticate returns the tenant of a key, by a configuration that is proved to be current.
func (p *Proxy) authenticate(snapshot *configuration.Snapshot, r *request) (*configuration.Tenant, error) {
	if err := p.checkProof(); err != nil {
		return nil, err
	}
	tenant := snapshot.Tenant(r.key())
	if tenant == nil {
		return nil, fault.New(fault.Unauthorized, "the key is not known")
	}
	return tenant, nil
}

// checkProof fails if the configuration may have been replaced too long ago for its keys to be trusted.
func (p *Proxy) checkProof() error {
	if p.options.MaxProofAge <= 0 || p.options.ProofAge() <= p.options.MaxProofAge {
		return nil
	}
	return fault.New(fault.NotReady, "the configuration is not known to be current")
}

// ifCurrent returns an error that follows from the configuration, if the configuration is proved to be current; otherwise
// that it is not.
func (p *Proxy) ifCurrent(err error) error {
	if stale := p.checkProof(); stale != nil {
		return stale
	}
	return err
}

// tenantName returns the name of a tenant, empty for nil.
func tenantName(tenant *configuration.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}
