package proxy

import (
	"net"
	"strings"
	"testing"
	"time"

	"nickelline/internal/forward"
)

func TestAuthentication(t *testing.T) {
	for _, c := range []struct {
		name   string
		text   string
		age    time.Duration // age of the proof that the configuration is current
		status int
		tenant string
	}{
		{"key of a tenant", requestText("/many/x", "", ""), 0, 200, "t1"},
		{"another key", strings.Replace(requestText("/many/x", "", ""), testKey, "k3", 1), 0, 200, "t2"},
		{"unknown key", strings.Replace(requestText("/many/x", "", ""), testKey, "k9", 1), 0, 401, ""},
		{"no key", strings.Replace(requestText("/many/x", "", ""), "Bearer "+testKey, "", 1), 0, 401, ""},
		{"a tenant that the client names", requestText("/many/x", "Nickelline-Tenant-Name: t2\r\n", ""), 0, 200, "t1"},
		{"public", strings.Replace(requestText("/open/x", "Nickelline-Tenant-Name: t2\r\n", ""), testKey, "k9", 1), 0, 200, ""},
		{"no route", requestText("/none/x", "", ""), 0, 404, ""},
		{"another host", strings.Replace(requestText("/many/x", "", ""), testHost, "other", 1), 0, 404, ""},
		{"stale, key", requestText("/many/x", "", ""), time.Minute, 503, ""},
		{"stale, unknown key", strings.Replace(requestText("/many/x", "", ""), testKey, "k9", 1), time.Minute, 503, ""},
		{"stale, no route", requestText("/none/x", "", ""), time.Minute, 503, ""},
		{"stale, public", requestText("/open/x", "", ""), time.Minute, 200, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			b := startBackend(t, okReply(""))
			s := startTestProxy(t, nil, b)
			s.setProofAge(c.age)
			if a := s.roundTrip(t, c.text); a.StatusCode != c.status {
				t.Errorf("status: got %d, want %d", a.StatusCode, c.status)
			}
			if sent := len(b.requests) > 0; sent != (c.status == 200) {
				t.Fatalf("request sent to the backend: got %v, want %v", sent, c.status == 200)
			}
			if c.status == 200 {
				if tenant := (<-b.requests).Header.Get(forward.HeaderTenant); tenant != c.tenant {
					t.Errorf("tenant: got %q, want %q", tenant, c.tenant)
				}
			}
		})
	}
}

func TestProofIsCheckedBeforeEachAttempt(t *testing.T) {
	var s *testProxy
	full := startBackend(t, func(b *backend, r received, conn net.Conn) bool {
		s.setProofAge(time.Minute)
		return replyAndClose(responseText(503, notExecutedField, ""))(b, r, conn)
	})
	good := startBackend(t, okReply(""))
	s = startTestProxy(t, nil, full, good)
	if a := s.post(t, "/many/x"); a.StatusCode != 503 || len(good.requests) > 0 {
		t.Errorf("got status %d and %d requests to the second backend, want 503 and 0", a.StatusCode, len(good.requests))
	}
}

// TestKeyIsCheckedBeforeEachAttempt guards against a further attempt with a key that a newer configuration has revoked or given
// to another tenant since the request was routed.
func TestKeyIsCheckedBeforeEachAttempt(t *testing.T) {
	for _, c := range []struct {
		name    string
		tenants string
		status  int
		sent    int // requests to the second backend
	}{
		{"still a key of the tenant", `[{"name":"t1","apiKeys":["k1"]}]`, 200, 1},
		{"revoked", `[{"name":"t1","apiKeys":["k2"]}]`, 401, 0},
		{"of another tenant", `[{"name":"t1","apiKeys":["k2"]},{"name":"t2","apiKeys":["k1"]}]`, 401, 0},
		{"no keys at all", `[]`, 401, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			var s *testProxy
			full := startBackend(t, func(b *backend, r received, conn net.Conn) bool {
				s.setTenants(t, c.tenants)
				return fullReply(b, r, conn)
			})
			good := startBackend(t, okReply(""))
			s = startTestProxy(t, nil, full, good)
			if a := s.post(t, "/many/x"); a.StatusCode != c.status || len(good.requests) != c.sent {
				t.Errorf("got status %d and %d requests to the second backend, want %d and %d", a.StatusCode, len(good.requests), c.status, c.sent)
			}
		})
	}
}
