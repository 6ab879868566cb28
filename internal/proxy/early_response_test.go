package proxy

import (
	"slices"
	"strings"
	"testing"

	"nickelline/internal/configuration"
	"nickelline/internal/forward"
)

// unwritableBytes is the size of a body that does not fit into the socket buffers of a connection.
const unwritableBytes = 8 << 20

// TestRequestRunsOnceThoughItsBackendRespondsEarly guards against a request that may not be repeated being run at several
// backends, and then being answered as not run, because its backend responded and closed the connection before it had read the
// body.
func TestRequestRunsOnceThoughItsBackendRespondsEarly(t *testing.T) {
	for name, c := range map[string]struct {
		respond reply
		status  int
		body    string
	}{
		"success":            {okReply("placed"), 200, "placed"},
		"server error":       {failedReply, 500, "failed"},
		"reset, no response": {closeWithoutReply, 502, ""},
	} {
		t.Run(name, func(t *testing.T) {
			var backends []*backend
			for range 3 {
				b := &backend{leavesBody: true}
				backends = append(backends, b.start(t, c.respond))
			}
			quota := &fakeQuota{tokens: 1, refunded: make(chan struct{}, 1)}
			s := startTestProxy(t, func(o *Options) { o.Quota = quota }, backends...)
			s.setLimits(func(l *configuration.Limits) { l.MaxBodyBytes = unwritableBytes })
			a := s.roundTrip(t, requestText("/once/x", "", strings.Repeat("x", unwritableBytes)))
			if a.StatusCode != c.status || a.err != nil {
				t.Errorf("response: got %d %q %v, want %d", a.StatusCode, a.body, a.err, c.status)
			}
			if sealed := a.Header.Get(forward.HeaderResponseSeal) != ""; sealed != (c.body != "") || sealed && a.body != c.body {
				t.Errorf("response: got body %q and header %v, want body %q of the backend", a.body, a.Header, c.body)
			}
			if counts := s.requestCounts(); !slices.Equal(counts, []int{1, 0, 0}) {
				t.Errorf("requests by backend: got %v, want [1 0 0]", counts)
			}
			if left := quota.left(); left != 0 {
				t.Errorf("tokens after the request: got %d, want 0, since it may have run", left)
			}
		})
	}
}
