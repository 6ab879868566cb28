package control

import (
	"fmt"
	"testing"
	"time"
)

// documentText makes a valid configuration with one route and one tenant.
func documentText(version uint64, timeoutMs int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r","hostname":"h","pathPrefix":"/p/","routeKind":"idempotent",`+
		`"timeoutMs":%d,"service":"s"}],"services":[{"name":"s"}],"limits":{},"tenants":[{"name":"t","apiKeys":["k"]}]}`, version, timeoutMs)
}

func patchText(version uint64, timeoutMs int) string {
	return fmt.Sprintf(`{"version":%d,"upsert":{"routes":[{"name":"r","hostname":"h","pathPrefix":"/p/","timeoutMs":%d,"service":"s"}]}}`,
		version, timeoutMs)
}

func put(match uint64, body string) *Command {
	return &Command{Configure: &Configure{Match: match, Body: []byte(body)}}
}

func patch(match uint64, body string) *Command {
	return &Command{Configure: &Configure{Match: match, Body: []byte(body), Patch: true}}
}

func mustEncodeCommand(t testing.TB, c *Command) []byte {
	t.Helper()
	encoded, err := EncodeCommand(c)
	if err != nil {
		t.Fatal(err)
	}
	return encoded
}

func mustApply(t testing.TB, m *Machine, c *Command) Result {
	t.Helper()
	result, err := DecodeResult(m.Apply(1, mustEncodeCommand(t, c)))
	if err != nil {
		t.Fatal(err)
	}
	return result
}

func applyAndCheck(t *testing.T, m *Machine, c *Command, want Outcome) {
	t.Helper()
	if got := mustApply(t, m, c); got.Outcome != want {
		t.Fatalf("got outcome %d (%s), want %d", got.Outcome, got.Text, want)
	}
}

func retire(name string, replica uint64) *Command {
	stores := []Store{{"a", 1}, {"b", 2}, {"c", 3}, {"d", 4}}
	return &Command{Retire: &Retire{Store: Store{name, replica}, Duration: 10 * time.Second, Stores: stores, Minimum: 2}}
}

func complete(name string, replica, version uint64) *Command {
	return &Command{CompleteRetirement: &CompleteRetirement{Store: Store{name, replica}, ExpectedVersion: version}}
}
