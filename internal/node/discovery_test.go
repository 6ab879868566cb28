package node

import (
	"errors"
	"fmt"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// startDiscovery starts a discovery service and returns its address. It answers the nth call, from 1 on, with the text
// that respond returns, or closes the connection if that is "".
func startDiscovery(t *testing.T, respond func(n int, query url.Values) string) netip.AddrPort {
	var calls atomic.Int64
	return netip.MustParseAddrPort(startBackend(t, respondWith(func(r *http.Request, _ []byte) string {
		return respond(int(calls.Add(1)), r.URL.Query())
	})))
}

// jsonList returns a response of discovery with one backend.
func jsonList(version int, full bool, state, addr string) string {
	return okResponse(fmt.Sprintf(`{"version":%d,"full":%v,"servers":[{"id":"s-00000001","addr":%q,"zone":"z","kind":"k","cell":1,"state":%q,"weight":1,"started_ms":0}]}`,
		version, full, addr, state))
}

// An invalid list counts as a failed call and crashes nothing. The module requests the list again, and the watch
// continues from the known version. A change to draining takes effect.
func TestDiscovery(t *testing.T) {
	t.Parallel()
	for _, pushed := range []bool{false, true} {
		var got atomic.Int64
		addr := startBackend(t, respondWith(func(r *http.Request, _ []byte) string {
			if r.URL.Path == "/order" { // not a probe of the module
				got.Add(1)
			}
			return okResponse("x")
		}))
		drain := make(chan struct{})
		releaseDrain := sync.OnceFunc(func() { close(drain) })
		c := &Config{Settings: testSettings(), KnownBackends: backendList{version: 1}}
		c.Settings.ListOnRequest = !pushed
		c.Discovery = startDiscovery(t, func(n int, q url.Values) string {
			switch n {
			case 1:
				return okResponse(`{"version":"x"`)
			case 2:
				return jsonList(5, false, "asleep", addr)
			case 3:
				return "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n"
			}
			switch since := q.Get("since"); since { // the node repeats a call that timed out
			case "1":
				return jsonList(7, true, "ready", addr)
			case "7":
				<-drain
				return jsonList(8, false, "draining", addr)
			case "8":
			default:
				t.Errorf("call %d: got since %q, want 1, 7 or 8", n, since)
			}
			return ""
		})
		t.Cleanup(releaseDrain)
		n := startNode(t, c)
		n.waitReady(t, 503)
		n.waitReady(t, 200)
		// Only a refused order is sent again, and it has not run: the backend gets one order, however slow the machine is.
		if resp, _ := n.sendUntilServed(t, requestText("order", "9.5", "b")); resp.StatusCode != 200 {
			t.Errorf("with a ready backend: got status %d, want 200", resp.StatusCode)
		}
		releaseDrain()
		n.waitReady(t, 503)
		if resp, _ := n.sendRequest(t, requestText("order", "9.5", "b")); resp.StatusCode != 503 || got.Load() != 1 {
			t.Errorf("with a draining backend: got status %d and %d requests, want 503 and none", resp.StatusCode, got.Load()-1)
		}
		n.stop()
	}
}

// On SIGHUP the node calls discovery at its new address, at once and for changes only: all nodes move together, and
// discovery has no time for a full list to each of them. If its versions do not continue the old ones, the node
// requests the full list. The watch at the old address hangs. An invalid file changes nothing, and several reloads in
// a row do no harm.
func TestReload(t *testing.T) {
	t.Parallel()
	for _, c := range []struct{ pushed, renumbered bool }{{false, false}, {true, false}, {false, true}, {true, true}} {
		pushed := c.pushed
		addr := startBackend(t, respondWith(func(*http.Request, []byte) string { return okResponse("x") }))
		want, answers := []string{"40", "41"}, []string{jsonList(41, false, "ready", addr)}
		if c.renumbered {
			want, answers = []string{"40", "", "7"}, []string{jsonList(7, false, "draining", addr), jsonList(7, true, "ready", addr)}
		}
		unblock, oldCalls := make(chan struct{}), make(chan struct{}, 9)
		release := sync.OnceFunc(func() { close(unblock) })
		c := &Config{Settings: testSettings(), KnownBackends: backendList{version: 40}}
		c.Settings.ListOnRequest = !pushed
		c.Discovery = startDiscovery(t, func(int, url.Values) string {
			oldCalls <- struct{}{}
			<-unblock
			return ""
		})
		calls := make(chan string, 99)
		newAddress := startDiscovery(t, func(n int, q url.Values) string {
			calls <- q.Get("since")
			if n <= len(answers) {
				return answers[n-1]
			}
			<-unblock
			return ""
		})
		files := make(chan error)
		c.reload = func() (*Config, error) {
			if err := <-files; err != nil {
				return nil, err
			}
			return &Config{Discovery: newAddress}, nil
		}
		n := startNode(t, c)
		t.Cleanup(release)
		receive(t, "the first call", oldCalls)
		n.sighup <- syscall.SIGHUP
		files <- errors.New("bad")
		n.waitReady(t, 503)
		for range 3 {
			n.sighup <- syscall.SIGHUP
			files <- nil
		}
		n.waitReady(t, 200)
		for i := range want {
			select {
			case got := <-calls:
				if got != want[i] {
					t.Errorf("%+v: call %d: got since %q, want %q", c, i+1, got, want[i])
				}
			case <-time.After(testTimeout):
				t.Errorf("%+v: call %d is missing", c, i+1)
			}
		}
		n.stop()
		release()
		if err := receive(t, "the end of the node", n.ended); err != nil {
			t.Error(err)
		}
	}
}

func TestConfig(t *testing.T) {
	t.Parallel()
	const good = `{"name":"n0","listen":"127.0.0.1:80","discovery":"127.0.0.1:81","seed":"8c1f30d27a5be964","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"peer_listen":"127.0.0.1:82","peers":["127.0.0.1:82"],"peers_all":"127.0.0.1:83","known":{"version":4,"full":true,"servers":[]},
		"settings":{"balancers":3,"caps":{"connect_timeout_ns":250000000},"classes":[{"name":"c","effect":"fragile"}]}}`
	load := func(text string, more map[string]string) (*Config, error) {
		path := filepath.Join(t.TempDir(), "config.json")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return LoadConfig(func(name string) string {
			if name == "GW_CONFIG" {
				return path
			}
			return more[name]
		})
	}
	c, err := load(good, map[string]string{"GW_LISTEN": "127.0.0.1:99"})
	if err != nil || c.Listen.Port() != 99 || c.KnownBackends.version != 4 || c.Settings.Nodes != 3 || uint64(c.Seed) != 0x8c1f30d27a5be964 {
		t.Errorf("valid file with GW_LISTEN: got %+v, error %v", c, err)
	}
	for _, bad := range [][2]string{{`{"name"`, `{"nam`}, {`"n0"`, `""`}, {`"127.0.0.1:80"`, `"x"`}, {`"127.0.0.1:81"`, `""`}, {`8c1f`, `xyz`},
		{`1024`, `3`}, {`192`, `-1`}, {`"peers":["127`, `"peers":["x`}, {`"full":true`, `"full":3`}, {`"fragile"`, `"odd"`}, {`250000000`, `0`}, {`"settings"`, `"other"`}} {
		if _, err := load(strings.Replace(good, bad[0], bad[1], 1), nil); err == nil || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s instead of %s: got error %v, want one line", bad[1], bad[0], err)
		}
	}
	if c, err := load(strings.Replace(good, `{"version":4,"full":true,"servers":[]}`, "null", 1), nil); err != nil || len(c.KnownBackends.entries) > 0 {
		t.Errorf("known is null: got error %v or entries, want neither", err)
	}
	c, err = load(good, map[string]string{"GW_DISCOVERY": "127.0.0.1:98"})
	if err != nil || c.Discovery.Port() != 98 {
		t.Errorf("valid file with GW_DISCOVERY: got %+v, error %v, want port 98", c, err)
	}
	if c, err = c.reload(); err != nil || c.Discovery.Port() != 81 {
		t.Errorf("reload: got %+v, error %v, want port 81 from the file", c, err)
	}
	if _, err := LoadConfig(func(string) string { return "" }); err == nil {
		t.Error("without GW_CONFIG: got no error")
	}
}

// TestMalformedAnswerIsNoList guards against an answer of discovery whose head is malformed being taken for the list.
func TestMalformedAnswerIsNoList(t *testing.T) {
	t.Parallel()
	list := jsonList(7, true, "ready", "127.0.0.1:1")
	withLine := func(line string) string { return strings.Replace(list, "\r\n", "\r\n"+line, 1) }
	for name, c := range map[string]struct {
		text string
		ok   bool
	}{
		"proper":             {list, true},
		"after an interim":   {"HTTP/1.1 103 Early Hints\r\n\r\n" + list, true},
		"blank in a name":    {withLine("X A: a\r\n"), false},
		"blank after a name": {withLine("X-A : a\r\n"), false},
		"folded line":        {withLine("X-A: a\r\n b\r\n"), false},
		"status 000":         {strings.Replace(list, "200", "000", 1), false},
		"status 000 before":  {"HTTP/1.1 000 x\r\n\r\n" + list, false},
		"another version":    {strings.Replace(list, "HTTP/1.1", "HTTP/2.0", 1), false},
		"malformed interim":  {"HTTP/1.1 103 Early Hints\r\nX A: a\r\n\r\n" + list, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			d := newDiscovery(startDiscovery(t, func(int, url.Values) string { return c.text }), discardLog)
			for range 3 { // on one connection, if the answers are proper
				if l, err := d.fetch(t.Context()); (err == nil) != c.ok {
					t.Errorf("fetch: got %d backends, %v", len(l.entries), err)
				}
			}
		})
	}
}
