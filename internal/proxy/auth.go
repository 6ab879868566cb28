package proxy

import (
	"nickelline/internal/configuration"
	"nickelline/internal/fault"
)

// tenantFor returns the tenant whose API key a request carries, or nil if the route needs no key. A submission on a public batch
// route is identified like the later calls about its job, which name no route.
func (p *Proxy) tenantFor(current *configuration.Current, route *configuration.Route, r *request) (*configuration.Tenant, error) {
	switch {
	case route.Public && route.Kind == configuration.Batch:
		return p.jobOwner(current, r)
	case route.Public || !current.RequiresKey():
		return nil, nil
	}
	return p.authenticate(current, r.key())
}

// jobOwner returns the tenant whose jobs a batch API request is about: the one whose API key the request carries, or nil, which owns
// the jobs that were submitted without a key.
func (p *Proxy) jobOwner(current *configuration.Current, r *request) (*configuration.Tenant, error) {
	if !current.RequiresKey() || r.key() == "" {
		return nil, nil
	}
	return p.authenticate(current, r.key())
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
