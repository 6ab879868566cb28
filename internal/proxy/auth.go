package proxy

import (
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

// tenantFor returns the tenant whose API key a request carries, or nil if the route needs no key.
func (p *Proxy) tenantFor(current *configuration.Current, route *configuration.Route, r *request) (*configuration.Tenant, error) {
	if route.Public || !current.RequiresKey() {
		return nil, nil
	}
	return p.authenticate(current, r.key())
}

// batchTenant returns the name of the tenant whose API key a batch API request carries. It is empty if no key is needed.
func (p *Proxy) batchTenant(current *configuration.Current, r *request) (string, error) {
	if !current.RequiresKey() {
		return "", nil
	}
	tenant, err := p.authenticate(current, r.key())
	return tenantName(tenant), err
}

// authenticate returns the tenant that an API key belongs to. It fails unless the configuration is proved to be current.
func (p *Proxy) authenticate(current *configuration.Current, key string) (*configuration.Tenant, error) {
	if err := p.checkProof(current); err != nil {
		return nil, err
	}
	tenant := current.Tenant(key)
	if tenant == nil {
		return nil, fault.New(fault.Unauthorized, "unknown API key")
	}
	return tenant, nil
}

// checkProof fails if the latest proof that the configuration is current is older than MaxProofAge: a newer configuration
// may have revoked keys of this one.
func (p *Proxy) checkProof(current *configuration.Current) error {
	if p.options.MaxProofAge <= 0 || current.ProofAge() <= p.options.MaxProofAge {
		return nil
	}
	return fault.New(fault.NotReady, "configuration is not proved to be current")
}

// ifCurrent returns err, which follows from the configuration, if the configuration is proved to be current. Otherwise it
// returns the error of checkProof.
func (p *Proxy) ifCurrent(current *configuration.Current, err error) error {
	if stale := p.checkProof(current); stale != nil {
		return stale
	}
	return err
}

// tenantName returns the name of a tenant, or an empty string for nil.
func tenantName(tenant *configuration.Tenant) string {
	if tenant == nil {
		return ""
	}
	return tenant.Name
}
