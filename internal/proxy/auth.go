package proxy

import (
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

// tenantFor returns the tenant whose API key a request carries, or nil if the route needs no key.
func (p *Proxy) tenantFor(snapshot *configuration.Snapshot, route *configuration.Route, r *request) (*configuration.Tenant, error) {
	if route.Public || !snapshot.RequiresKey() {
		return nil, nil
	}
	return p.authenticate(snapshot, r)
}

// batchTenant returns the name of the tenant whose API key a batch API request carries. It is empty if no key is needed.
func (p *Proxy) batchTenant(snapshot *configuration.Snapshot, r *request) (string, error) {
	if !snapshot.RequiresKey() {
		return "", nil
	}
	tenant, err := p.authenticate(snapshot, r)
	return tenantName(tenant), err
}

// authenticate returns the tenant whose API key a request carries. It fails unless the configuration is proved to be
// current.
func (p *Proxy) authenticate(snapshot *configuration.Snapshot, r *request) (*configuration.Tenant, error) {
	if err := p.checkProof(); err != nil {
		return nil, err
	}
	tenant := snapshot.Tenant(r.key())
	if tenant == nil {
		return nil, fault.New(fault.Unauthorized, "unknown API key")
	}
	return tenant, nil
}

// checkProof fails if the latest proof that the configuration is current is older than MaxProofAge: a newer configuration
// may have revoked keys of this one.
func (p *Proxy) checkProof() error {
	if p.options.MaxProofAge <= 0 || p.options.ProofAge() <= p.options.MaxProofAge {
		return nil
	}
	return fault.New(fault.NotReady, "configuration is not proved to be current")
}

// ifCurrent returns err, which follows from the configuration, if the configuration is proved to be current. Otherwise it
// returns the error of checkProof.
func (p *Proxy) ifCurrent(err error) error {
	if stale := p.checkProof(); stale != nil {
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
