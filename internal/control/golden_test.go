package control

import (
	"net/netip"
	"reflect"
	"testing"
	"time"

	"nickelline/internal/golden"
)

var (
	goldenStore  = Store{Name: "store-1", Replica: 0x1112131415161718}
	goldenStores = []Store{
		{Name: "store-2", Replica: 0x2122232425262728},
		{Name: "store-3", Replica: 0x3132333435363738},
	}
	goldenAdded   = Leaseholder{Address: netip.MustParseAddrPort("10.1.2.3:7661"), Generation: 0x4142434445464748}
	goldenRemoved = Leaseholder{Address: netip.MustParseAddrPort("10.4.5.6:7662"), Generation: 0x5152535455565758}
)

func TestGoldenCommands(t *testing.T) {
	for _, c := range []struct {
		name    string
		command Command
	}{
		{"command_configure_put", Command{Configure: &Configure{Match: 11, Body: []byte("put body")}}},
		{"command_configure_patch", Command{Configure: &Configure{Patch: true, Match: 12, Body: []byte("patch body")}}},
		{"command_retire", Command{Retire: &Retire{
			Store:    goldenStore,
			Duration: 1234 * time.Millisecond,
			Stores:   goldenStores,
			Minimum:  21,
		}}},
		{"command_complete", Command{CompleteRetirement: &CompleteRetirement{
			Store:           goldenStore,
			CurrentReplica:  0x6162636465666768,
			ExpectedVersion: 31,
		}}},
		{"command_place", Command{ReplacePlacement: &ReplacePlacement{
			ExpectedVersion:  41,
			ExpectedRevision: 42,
			Table:            []byte("placement table"),
		}}},
		{"command_holders", Command{ChangeLeaseholders: &ChangeLeaseholders{
			Epoch:            51,
			ExpectedRevision: 52,
			Add:              []Leaseholder{goldenAdded},
			Remove:           []Leaseholder{goldenRemoved},
		}}},
		{"command_reserves", Command{ChangeLeaseholders: &ChangeLeaseholders{
			Epoch:            53,
			ExpectedRevision: 54,
			SpendAll:         true,
			Keep:             []string{"kept", "kept too"},
			Spend:            []string{"spent"},
		}}},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden.RoundTrip(t, c.name+".hex", &c.command, EncodeCommand, DecodeCommand)
		})
	}
}

func TestGoldenResults(t *testing.T) {
	encode := func(r Result) ([]byte, error) { return EncodeResult(r), nil }
	for _, c := range []struct {
		name    string
		outcome Outcome
		number  uint8
	}{
		{"malformed", Malformed, 0},
		{"accepted", Accepted, 1},
		{"repeated", Repeated, 2},
		{"invalid", Invalid, 3},
		{"version_mismatch", VersionMismatch, 4},
		{"refused", Refused, 5},
	} {
		t.Run(c.name, func(t *testing.T) {
			if uint8(c.outcome) != c.number {
				t.Errorf("got number %d, want %d", c.outcome, c.number)
			}
			golden.RoundTrip(t, "result_"+c.name+".hex", Result{Outcome: c.outcome, Version: 61, Text: "reason"}, encode, DecodeResult)
		})
	}
}

func TestGoldenReport(t *testing.T) {
	type forwardedReport struct {
		Report    Report
		Forwarded bool
	}
	encode := func(r forwardedReport) ([]byte, error) { return encodeReport(r.Report, r.Forwarded) }
	decode := func(data []byte) (forwardedReport, error) {
		report, forwarded, err := decodeReport(data)
		return forwardedReport{Report: report, Forwarded: forwarded}, err
	}
	chains := []ChainStatus{
		{Chain: 71, Epoch: 72, Complete: true, Running: 73},
		{Chain: 74, Epoch: 75, CaughtUp: true, Running: 76},
	}
	for _, c := range []struct {
		name  string
		value forwardedReport
	}{
		{"report_forwarded", forwardedReport{Report{Store: goldenStore, Chains: chains}, true}},
		{"report_impaired", forwardedReport{Report{Store: goldenStore, Chains: chains, Impaired: true}, false}},
		{"report_disk_trouble", forwardedReport{Report{Store: goldenStore, Impaired: true, DiskTrouble: &DiskTrouble{
			For: 77 * time.Millisecond, Failures: 78, Error: "79",
		}}, false}},
	} {
		t.Run(c.name, func(t *testing.T) {
			golden.RoundTrip(t, c.name+".hex", c.value, encode, decode)
		})
	}
}

// goldenChange makes the configuration of the golden snapshot. goldenRefusedChange is refused, as it builds on a version that
// does not exist yet.
var (
	goldenChange        = Configure{Body: []byte(documentText(81, 82))}
	goldenRefusedChange = Configure{Match: 99, Body: []byte(documentText(100, 83))}
)

// goldenReserves are the tenants whose reserves are kept in the golden snapshot.
var goldenReserves = []string{"kept", "kept too"}

// Commands and snapshots that earlier versions of the program wrote without reserves are decoded as having none.
func TestEncodingsWithoutReservesAreRead(t *testing.T) {
	command, err := DecodeCommand(golden.ReadBytes(t, "command_holders_without_reserves.hex"))
	want := &Command{ChangeLeaseholders: &ChangeLeaseholders{
		Epoch:            51,
		ExpectedRevision: 52,
		Add:              []Leaseholder{goldenAdded},
		Remove:           []Leaseholder{goldenRemoved},
	}}
	if err != nil || !reflect.DeepEqual(command, want) {
		t.Errorf("command: got %+v, error %v; want %+v", command, err, want)
	}
	restored := NewMachine()
	if err := restored.Restore(golden.ReadBytes(t, "snapshot_without_reserves.hex")); err != nil {
		t.Fatalf("restore: %v", err)
	}
	checkGoldenState(t, restored.State(), LeaseholderSet{Epoch: 51, Revision: 1, Members: []Leaseholder{goldenAdded, goldenRemoved}})
}

// A report that an earlier version of the program sent tells of no trouble.
func TestReportWithoutDiskTroubleIsRead(t *testing.T) {
	report, _, err := decodeReport(golden.ReadBytes(t, "report_without_disk_trouble.hex"))
	if err != nil || !report.Impaired || report.DiskTrouble != nil || report.Store != goldenStore {
		t.Errorf("report: got %+v, error %v; want it impaired, without trouble", report, err)
	}
}

// goldenMachine returns a machine whose state has an element of each kind that a snapshot contains.
func goldenMachine(t *testing.T) *Machine {
	t.Helper()
	m := NewMachine()
	applyAndCheck(t, m, &Command{Configure: &goldenChange}, Accepted)
	applyAndCheck(t, m, &Command{Configure: &goldenRefusedChange}, VersionMismatch)
	applyAndCheck(t, m, &Command{Retire: &Retire{Store: goldenStore, Duration: 1234 * time.Millisecond}}, Accepted)
	applyAndCheck(t, m, &Command{CompleteRetirement: &CompleteRetirement{Store: goldenStore, CurrentReplica: 0x6162636465666768}}, Accepted)
	applyAndCheck(t, m, &Command{Retire: &Retire{Store: goldenStores[0], Duration: 5678 * time.Millisecond}}, Accepted)
	applyAndCheck(t, m, &Command{ReplacePlacement: &ReplacePlacement{ExpectedRevision: 3, Table: []byte("placement table")}}, Accepted)
	applyAndCheck(t, m, &Command{ChangeLeaseholders: &ChangeLeaseholders{
		Epoch: 51,
		Add:   []Leaseholder{goldenAdded, goldenRemoved},
		Keep:  goldenReserves,
	}}, Accepted)
	replacement := Leaseholder{Address: goldenAdded.Address, Generation: goldenAdded.Generation + 1}
	applyAndCheck(t, m, changeLeaseholders(51, 1, []Leaseholder{replacement}, nil), Accepted)
	return m
}

func TestGoldenSnapshot(t *testing.T) {
	committed := golden.Bytes(t, "snapshot.hex", goldenMachine(t).Snapshot())
	restored := NewMachine()
	if err := restored.Restore(committed); err != nil {
		t.Fatalf("restore: %v", err)
	}
	golden.Bytes(t, "snapshot.hex", restored.Snapshot())
	checkGoldenState(t, restored.State(), LeaseholderSet{
		Epoch:    51,
		Revision: 2,
		Members:  []Leaseholder{{Address: goldenAdded.Address, Generation: goldenAdded.Generation + 1}, goldenRemoved},
		Former:   []Leaseholder{goldenAdded},
		Reserves: goldenReserves,
	})
	if !restored.HasAccepted(goldenChange.Digest()) {
		t.Error("HasAccepted of the accepted change: got false, want true")
	}
	if !restored.refused.has(goldenRefusedChange.Digest()) {
		t.Error("history of refused changes: got no digest of the refused change")
	}
}

func checkGoldenState(t *testing.T, state *State, wantLeaseholders LeaseholderSet) {
	t.Helper()
	if got := state.Version(); got != 81 {
		t.Errorf("got configuration version %d, want 81", got)
	}
	golden.Text(t, "snapshot_document.json", string(state.EncodedDocument()))
	wantRetirements := []Retirement{
		{Store: Store{Name: "store-1", Replica: 0x6162636465666768}, Duration: 1234 * time.Millisecond, Completed: true},
		{Store: goldenStores[0], Duration: 5678 * time.Millisecond},
	}
	if !reflect.DeepEqual(state.Retirements, wantRetirements) {
		t.Errorf("got retirements %+v, want %+v", state.Retirements, wantRetirements)
	}
	if state.RetirementRevision != 3 || state.PlacementVersion != 1 || string(state.Placement) != "placement table" {
		t.Errorf("got revision %d, placement %d %q; want 3, 1 \"placement table\"", state.RetirementRevision, state.PlacementVersion, state.Placement)
	}
	if !reflect.DeepEqual(state.Leaseholders, wantLeaseholders) {
		t.Errorf("got leaseholders %+v, want %+v", state.Leaseholders, wantLeaseholders)
	}
}

// Snapshots contain the digests of changes, which are compared with those of later changes. So digests must not change.
func TestGoldenDigest(t *testing.T) {
	for _, c := range []struct {
		name   string
		change Configure
		want   Digest
	}{
		{"put", Configure{Match: 11, Body: []byte("body")}, Digest{High: 0xd128c1c1651378b0, Low: 0x3ea1422c6d642344}},
		{"patch", Configure{Patch: true, Match: 11, Body: []byte("body")}, Digest{High: 0xd3ff21eaaa0befd9, Low: 0x42adb32a2a2c459b}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := c.change.Digest(); got != c.want {
				t.Errorf("got %#x, want %#x", got, c.want)
			}
		})
	}
}

func TestGoldenNumbersAndNames(t *testing.T) {
	if reportKind != 0x600 {
		t.Errorf("got message kind %#x of reports, want 0x600", reportKind)
	}
	if controlChain != 0 {
		t.Errorf("got control chain %d, want 0", controlChain)
	}
	if chainDirectory != "control" {
		t.Errorf("got directory %q of the control chain, want %q", chainDirectory, "control")
	}
}
