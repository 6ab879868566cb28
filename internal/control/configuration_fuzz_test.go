package control

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"nickelline/internal/configuration"
)

// changeSeparator stands between the changes of a fuzz input.
const changeSeparator = "\n"

// FuzzAcceptedConfigurationIsReadable guards against a configuration that is acknowledged, while other processes cannot read what is
// in force. Its input is a document and patches, one a line.
func FuzzAcceptedConfigurationIsReadable(f *testing.F) {
	for _, changes := range [][]string{
		{documentText(1, 10), `{"version":2,"upsert":{"version":[{"name":"2"}]}}`},
		{documentText(1, 10), `{"version":2,"remove":{"version":["2"],"limits":["x"],"tenants":["t"]}}`},
		{documentText(1, 10), `{"version":2,"upsert":{"tenants":[]}}`, `{"version":3,"upsert":{"tenants":[{"name":"t","apiKeys":["k"]}]}}`},
		{documentText(1, 10), `{"version":2,"limits":{"idleTimeoutMs":1e3,"maxBodyBytes":null}}`, `{"version":2.0e1,"upsert":{"limits":{}}}`},
		{documentText(1, 10), `{"version":2,"upsert":{"services":[{"name":"\ud800"},{"name":"s","x":1e400}]}}`},
		{documentText(1, 10), `{"version":2,"remove":{"routes":["r"],"services":["s"]}}`},
		{documentText(1, 10), `{"version":2,"upsert":{"pools":[{"name":"p"}]}}`, documentText(7, 20)},
		{`{"version":1,"routes":[],"services":[],"tenants":null,"pools":[{"name":"p"}]}`, `{"version":2,"upsert":{"pools":[{"name":"p","n":0.1}]}}`},
	} {
		f.Add(strings.ReplaceAll(strings.Join(changes, changeSeparator), "\t", ""))
	}
	f.Fuzz(func(t *testing.T, changes string) {
		replica := &soleReplica{machine: NewMachine()}
		s := newService(replica, replica.machine, nil, 0)
		for i, body := range strings.Split(changes, changeSeparator) {
			before := replica.machine.State()
			result, err := s.Configure(t.Context(), &Configure{Patch: i > 0, Match: before.Version(), Body: []byte(body)})
			after := replica.machine.State()
			switch {
			case err == nil && result.Outcome == Accepted:
				checkState(t, after, body)
			case after != before:
				t.Fatalf("change %q was not accepted (%v, %v) and altered the state", body, result.Outcome, err)
			}
		}
	})
}

// soleReplica is a chain of one replica.
type soleReplica struct {
	machine  *Machine
	sequence uint64
}

func (r *soleReplica) Propose(_ context.Context, command []byte) ([]byte, error) {
	r.sequence++
	return r.machine.Apply(r.sequence, command), nil
}

func (r *soleReplica) Barrier(context.Context) error { return nil }

// checkState checks that what other processes are sent reads back as what is in force here, and again after a snapshot.
func checkState(t *testing.T, state *State, change string) {
	t.Helper()
	document, snapshot, err := configuration.Read(state.EncodedDocument())
	if err != nil {
		t.Fatalf("change %q was accepted and cannot be read: %v", change, err)
	}
	if document.Version() != state.Version() || snapshot.Version != state.Configuration.Version || snapshot.RequiresKey() != state.Configuration.RequiresKey() ||
		len(snapshot.Routes) != len(state.Configuration.Routes) || len(snapshot.Tenants) != len(state.Configuration.Tenants) {
		t.Fatalf("change %q: version %d reads back as version %d with other contents", change, state.Version(), document.Version())
	}
	if !bytes.Equal(document.Encode(), state.EncodedDocument()) {
		t.Fatalf("change %q: %s is encoded again as %s", change, state.EncodedDocument(), document.Encode())
	}
	restored, _, _, err := decodeState(encodeState(state, nil, nil))
	if err != nil || restored.Version() != state.Version() {
		t.Fatalf("change %q: a snapshot of the state cannot be restored: %v", change, err)
	}
}
