package control

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"nickelline/internal/control/controlapi"
	"nickelline/internal/golden"
	"nickelline/internal/member"
	"nickelline/internal/placement"
	"nickelline/internal/settings"
	"nickelline/internal/view"
)

// responseRecorder records the responses of the operator's API as a text for a golden file.
type responseRecorder struct {
	api  *testAPI
	text strings.Builder
}

// record makes a call and writes the status, the headers that callers rely on, and the body to the text.
func (a *responseRecorder) record(method, path, match, body string) {
	got := a.api.call(method, path, match, body)
	fmt.Fprintf(&a.text, "%s %s\nIf-Match: %s\n%s\n-> %d\n", method, path, match, body, got.status)
	for _, name := range []string{"Content-Type", "ETag", "Location", "Retry-After"} {
		if value := got.header.Get(name); value != "" {
			fmt.Fprintf(&a.text, "%s: %s\n", name, value)
		}
	}
	fmt.Fprintf(&a.text, "%s\n\n", got.body)
}

func TestGoldenConfigurationAnswers(t *testing.T) {
	a := &responseRecorder{api: newTestAPI(t)}
	const path = controlapi.ConfigurationPath
	a.record(http.MethodGet, path, "", "")
	a.record(http.MethodPut, path, "", documentText(3, 10))
	a.record(http.MethodPut, path, "x", documentText(3, 10))
	a.record(http.MethodPut, path, "0", "{")
	a.record(http.MethodPut, path, "0", documentText(3, 0))
	a.record(http.MethodPut, path, "3", documentText(3, 10))
	a.record(http.MethodPatch, path, "0", patchText(3, 10))
	a.record(http.MethodPut, path, "0", documentText(3, 10))
	a.record(http.MethodPut, path, "0", documentText(3, 10))
	a.record(http.MethodPut, path, "0", documentText(3, 11))
	a.record(http.MethodPatch, path, `"3"`, patchText(5, 20))
	a.record(http.MethodGet, path, "", "")
	golden.Text(t, "api_configuration.txt", a.text.String())
}

func TestGoldenRetirementAnswers(t *testing.T) {
	a := &responseRecorder{api: newTestAPI(t)}
	const path = controlapi.RetirePath
	a.record(http.MethodPost, path+"x", "", `{"durationS":10}`)
	a.record(http.MethodGet, path+"a", "", "")
	a.record(http.MethodPost, path+"a", "", `{"durationS":`)
	a.record(http.MethodPost, path+"a", "", `{"durationS":10}`)
	a.record(http.MethodPost, path+"a", "", "")
	a.record(http.MethodGet, path+"a", "", "")
	a.record(http.MethodPost, path+"b", "", `{"durationS":10}`)
	if _, err := a.api.replica.Propose(t.Context(), mustEncodeCommand(t, complete("a", 1, 0))); err != nil {
		t.Fatal(err)
	}
	a.record(http.MethodGet, path+"a", "", "")
	golden.Text(t, "api_retirement.txt", a.text.String())
}

func TestGoldenFaultAnswers(t *testing.T) {
	a := &responseRecorder{api: newTestAPI(t)}
	calls := func() {
		a.record(http.MethodPut, controlapi.ConfigurationPath, "0", documentText(3, 10))
		a.record(http.MethodGet, controlapi.ConfigurationPath, "", "")
		a.record(http.MethodPost, controlapi.RetirePath+"a", "", "")
		a.record(http.MethodGet, controlapi.RetirePath+"a", "", "")
	}
	a.api.replica.fail(errNotReady)
	calls()
	a.api.replica.fail(errUnclear)
	calls()
	golden.Text(t, "api_faults.txt", a.text.String())
}

// goldenStatusControl returns a Control without a replica of the chain that knows a placement and members in several states.
func goldenStatusControl(t *testing.T) *Control {
	t.Helper()
	first := view.Member{Replica: 1, Name: "store-1", Zone: "zone-a", Address: netip.MustParseAddrPort("10.0.0.1:7660")}
	second := view.Member{Replica: 2, Name: "store-2", Zone: "zone-b", Address: netip.MustParseAddrPort("10.0.0.2:7660")}
	table, err := placement.Encode(placement.Table{Version: 7, Partitions: []placement.Partition{
		{View: view.View{Chain: 1, Epoch: 3, Members: []view.Member{first, second}}},
		{View: view.View{Chain: 2, Epoch: 4, Members: []view.Member{second}}, Learners: []view.Member{first}},
	}})
	if err != nil {
		t.Fatal(err)
	}
	machine := goldenMachine(t)
	applyAndCheck(t, machine, &Command{ReplacePlacement: &ReplacePlacement{ExpectedVersion: 1, ExpectedRevision: 3, Table: table}}, Accepted)
	members := &fixedMembers{table: member.NewTable(
		member.Member{Name: "store-1", Role: storeRole, Zone: "zone-a", Address: first.Address, State: member.Alive},
		member.Member{Name: "store-2", Role: storeRole, Zone: "zone-b", Address: second.Address, State: member.Suspect, Leaving: true},
		member.Member{Name: "proxy-1", Role: "proxy", Zone: "zone-c", Address: netip.MustParseAddrPort("10.0.0.3:7660"), State: member.Dead},
	)}
	return &Control{
		reports: newReportStore(),
		options: Options{Settings: &settings.Settings{NodeName: "control-1"}, Members: members},
		machine: machine,
	}
}

// fixedMembers is a table of members that does not change.
type fixedMembers struct{ table *member.Table }

func (f *fixedMembers) Table() *member.Table { return f.table }

func (f *fixedMembers) OnChange(func(*member.Table)) {}

// A node without a replica responds to status calls itself, and redirects all other calls.
func TestGoldenAnswersWithoutReplica(t *testing.T) {
	status := goldenStatusControl(t).Status
	otherNode := func() (netip.AddrPort, bool) { return netip.MustParseAddrPort("10.0.0.9:7659"), true }
	for _, c := range []struct {
		name  string
		other func() (netip.AddrPort, bool)
	}{
		{"api_redirect.txt", otherNode},
		{"api_no_replica_known.txt", noOtherNode},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &responseRecorder{api: startTestAPI(t, nil, status, c.other)}
			a.record(http.MethodGet, controlapi.StatusPath, "", "")
			a.record(http.MethodPut, controlapi.ConfigurationPath, "0", documentText(3, 10))
			a.record(http.MethodGet, controlapi.RetirePath+"a?x=y", "", "")
			golden.Text(t, c.name, a.text.String())
		})
	}
}
