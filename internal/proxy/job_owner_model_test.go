package proxy

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"nickelline/internal/batch"
)

// This file checks calls about batch jobs against a model of what PROTOCOL.md promises of them, while tenants and keys change: a job
// that was accepted is read and ended by those to whom it belongs, and by nobody else.

// ownerModel is what the model knows: who has which key, and whose the accepted jobs are.
type ownerModel struct {
	// owners holds the tenant of each key; nil: the configuration has no tenants.
	owners map[string]string
	jobs   map[batch.Key]bool
	ended  map[batch.Key]bool
}

// caller returns the tenant that a call comes from, empty for a caller without a key, and false for one with an unknown key. Keys say
// nothing while there are no tenants.
func (m *ownerModel) caller(key string) (tenant string, known bool) {
	if m.owners == nil || key == "" {
		return "", true
	}
	tenant, known = m.owners[key]
	return tenant, known
}

// ownerCall is a step of a history: a change of the tenants if Tenants is set, else a call.
type ownerCall struct {
	Change bool
	// Owners holds the tenant of each key after the change; nil: no tenants.
	Owners map[string]string
	Method string
	Public bool // a submission goes to the public route
	Job    string
	Key    string
}

func drawOwnerCall(t *rapid.T) ownerCall {
	keys := []string{"k1", "k2", "k3"}
	if rapid.IntRange(0, 4).Draw(t, "kind") == 0 {
		c := ownerCall{Change: true}
		if rapid.IntRange(0, 3).Draw(t, "tenants") > 0 {
			c.Owners = map[string]string{}
			for _, key := range keys {
				if tenant := rapid.SampledFrom([]string{"", "t1", "t2"}).Draw(t, key); tenant != "" {
					c.Owners[key] = tenant
				}
			}
			c.Owners["k0"] = "t0" // there is always a tenant
		}
		return c
	}
	return ownerCall{
		Method: rapid.SampledFrom([]string{http.MethodPost, http.MethodPost, http.MethodGet, http.MethodGet, http.MethodDelete}).Draw(t, "method"),
		Public: rapid.Bool().Draw(t, "public"),
		Job:    rapid.SampledFrom([]string{"9c41d07be2a35f60", "9c41d07be2a35f61"}).Draw(t, "job"),
		Key:    rapid.SampledFrom(append(keys, "")).Draw(t, "key"),
	}
}

// tenantsOf returns the tenants of a configuration as JSON.
func tenantsOf(t *testing.T, owners map[string]string) string {
	t.Helper()
	if owners == nil {
		return "null"
	}
	keys := map[string][]string{}
	for key, tenant := range owners {
		keys[tenant] = append(keys[tenant], key)
	}
	type tenant struct {
		Name    string   `json:"name"`
		APIKeys []string `json:"apiKeys"`
	}
	tenants := []tenant{}
	for name, own := range keys {
		tenants = append(tenants, tenant{Name: name, APIKeys: own})
	}
	text, err := json.Marshal(tenants)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// check carries out a call, and returns what breaks a promise, or an empty string.
func (m *ownerModel) check(t *testing.T, s *testProxy, api *storedBatch, c ownerCall) string {
	tenant, known := m.caller(c.Key)
	own := batch.Key{Tenant: tenant, Identifier: c.Job}
	switch c.Method {
	case http.MethodPost:
		path := "/batch/7c"
		if c.Public {
			path = "/public-batch/7c"
		}
		text := strings.ReplaceAll(batchCall(c.Method, path, c.Key), testID, c.Job)
		allowed := known && (c.Key != "" || c.Public || m.owners == nil)
		status := s.roundTrip(t, text).StatusCode
		if (status == http.StatusAccepted) != allowed {
			return fmt.Sprintf("submission %+v by %v: got status %d, allowed: %v", c, m.owners, status, allowed)
		}
		if allowed {
			m.jobs[own] = true
		}
	case http.MethodGet:
		for _, target := range []string{"/-/lots/" + c.Job, "/-/items/" + c.Job + "?identifier=e5"} {
			status := s.roundTrip(t, batchCall(c.Method, target, c.Key)).StatusCode
			if (status == http.StatusOK) != (known && m.jobs[own]) {
				return fmt.Sprintf("read %+v of %s by %v: got status %d, jobs are %v", c, target, m.owners, status, m.jobs)
			}
		}
	case http.MethodDelete:
		status := s.roundTrip(t, batchCall(c.Method, "/-/lots/"+c.Job, c.Key)).StatusCode
		if known && m.jobs[own] && status != http.StatusOK {
			return fmt.Sprintf("end %+v by %v: got status %d", c, m.owners, status)
		}
		if known && status == http.StatusOK {
			m.ended[own] = true
		}
	}
	for key := range m.jobs {
		if !api.jobs[key] || api.ended[key] != m.ended[key] {
			return fmt.Sprintf("after %+v by %v: job %v is stored: %v, ended: %v, want stored, ended: %v",
				c, m.owners, key, api.jobs[key], api.ended[key], m.ended[key])
		}
	}
	return ""
}

// TestJobsUnderChangesOfTenants guards against a job that is read or ended by somebody else than those to whom it belongs, or not by
// them, whatever the operator does to tenants and keys meanwhile.
func TestJobsUnderChangesOfTenants(t *testing.T) {
	api := newStoredBatch()
	s := startTestProxy(t, func(o *Options) { o.Batch = api })
	rapid.Check(t, func(drawn *rapid.T) {
		calls := rapid.SliceOfN(rapid.Custom(drawOwnerCall), 1, 20).Draw(drawn, "calls")
		clear(api.jobs)
		clear(api.ended)
		model := &ownerModel{jobs: map[batch.Key]bool{}, ended: map[batch.Key]bool{}}
		s.setTenants(t, "null")
		for _, c := range calls {
			if c.Change {
				model.owners = c.Owners
				s.setTenants(t, tenantsOf(t, c.Owners))
				continue
			}
			if broken := model.check(t, s, api, c); broken != "" {
				drawn.Fatal(broken)
			}
		}
	})
}
