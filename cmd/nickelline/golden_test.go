package main

import (
	"bytes"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/alecthomas/kong"

	"nickelline/internal/admission"
	"nickelline/internal/chain"
	"nickelline/internal/control/controlapi"
	"nickelline/internal/fault"
	"nickelline/internal/golden"
	"nickelline/internal/metrics"
	"nickelline/internal/peer"
	"nickelline/internal/proxy"
	"nickelline/internal/quota"
	"nickelline/internal/store"
)

// helpOf returns the help text of a command.
func helpOf(t *testing.T, command ...string) string {
	t.Helper()
	t.Setenv("COLUMNS", "") // the width of the terminal is not part of the text
	var output bytes.Buffer
	var line commandLine
	exited := false
	parser, err := newParser(&line, kong.Writers(&output, &output), kong.Exit(func(int) { exited = true }))
	if err != nil {
		t.Fatal(err)
	}
	// Printing help normally exits the program. kong.Exit prevents that here, so parsing continues and may report missing
	// arguments.
	_, _ = parser.Parse(append(command, "--help"))
	if !exited {
		t.Fatalf("%q --help: got no exit, want one", command)
	}
	return output.String()
}

func TestHelpIsUnchanged(t *testing.T) {
	commands := map[string][]string{
		"nickelline":     nil,
		"proxy":          {"proxy"},
		"control":        {"control"},
		"store":          {"store"},
		"config":         {"config"},
		"config-get":     {"config", "get"},
		"config-put":     {"config", "put"},
		"config-patch":   {"config", "patch"},
		"config-check":   {"config", "check"},
		"retire":         {"retire"},
		"status":         {"status"},
		"settings":       {"settings"},
		"settings-check": {"settings", "check"},
	}
	for _, name := range slices.Sorted(maps.Keys(commands)) {
		t.Run(name, func(t *testing.T) {
			golden.Text(t, "help/"+name+".txt", helpOf(t, commands[name]...))
		})
	}
}

func sampleStatus() *controlapi.Status {
	return &controlapi.Status{
		Node:          "frontend-a-1",
		Configuration: controlapi.ConfigurationState{Version: 7, Routes: 3, Services: 2, Tenants: 5},
		Chain: controlapi.ChainState{
			Epoch:           4,
			Head:            true,
			Replicas:        []string{"frontend-a-1", "frontend-b-1"},
			Voters:          []string{"frontend-a-1", "frontend-b-1", "frontend-c-1"},
			ToleratedLosses: 1,
			Committed:       40,
			Appended:        41,
		},
		Placement: controlapi.PlacementState{Version: 9, Partitions: []controlapi.PartitionState{
			{Partition: 0, Epoch: 6, Stores: []string{"storage-a-1", "storage-b-1"}, Learners: []string{"storage-c-1"}},
			{Partition: 1, Epoch: 8, Stores: []string{"storage-b-1"}},
		}},
		Retirements: []controlapi.RetirementState{{Node: "storage-a-1", State: controlapi.RetirementInProgress}},
		Members: []controlapi.MemberState{
			{Node: "frontend-a-1", Role: "control", Zone: "a", Address: "127.0.0.1:7660", State: "alive"},
			{Node: "storage-a-1", Role: "store", Zone: "a", Address: "127.0.0.2:7662", State: "suspect", Leaving: true},
		},
		FailingDisks: []controlapi.DiskState{
			{Node: "storage-a-1", FailingSeconds: 1.5, Failures: 15, Error: "sync segment: input/output error"},
		},
	}
}

func TestStatusIsUnchanged(t *testing.T) {
	var asJSON, asTable bytes.Buffer
	if err := printJSON(&asJSON, sampleStatus()); err != nil {
		t.Fatal(err)
	}
	if err := printStatus(&asTable, sampleStatus()); err != nil {
		t.Fatal(err)
	}
	golden.Text(t, "status.json", asJSON.String())
	golden.Text(t, "status.txt", asTable.String())
}

func samplePoolStats() admission.Stats {
	return admission.Stats{
		Backends: 6, Ejected: 1, InFlight: 4, Others: 2.5,
		Latency: 120 * time.Millisecond, UnloadedLatency: 80 * time.Millisecond,
		LiveFraction: 0.75, Shared: true,
		Classes: []admission.ClassStats{{
			Class:    admission.ClassLive,
			Picks:    map[string]uint64{"normal near": 11},
			Refusals: map[string]uint64{"shed": 12},
			Outcomes: map[string]uint64{"ok": 13},
			FirstByteTimes: admission.FirstByteTimes{
				Bounds: []time.Duration{25 * time.Millisecond, 50 * time.Millisecond},
				Counts: []uint64{1, 2, 3},
				Sum:    time.Second,
			},
			DropFraction: 0.25,
			Modes:        map[string]int{"normal": 5, "blocking": 1},
		}},
	}
}

// TestMetricsAreUnchanged checks the names and labels of the metrics, which operators depend on.
func TestMetricsAreUnchanged(t *testing.T) {
	var w metrics.Writer
	writeTraffic(&w, []peer.PackageTraffic{{Package: "gossip", Traffic: peer.Traffic{SameZone: 100, OtherZones: 200}}})
	writePool(&w, metrics.Label{Name: "service", Value: "models"}, samplePoolStats())
	writeRequests(&w, proxy.Stats{
		ErrorResponses:   map[fault.Kind]uint64{fault.Overloaded: 21, fault.QuotaExceeded: 22},
		BackendResponses: 23, Attempts: 24, Retries: 25, Executions: 26, Repeated: 27,
	})
	writeLeases(&w, quota.Stats{
		Leases: 31, Rate: 32.5, Waiting: 33,
		Admissions: quota.Admissions{FromLeases: 34, FromAllocator: 35, Refunded: 36},
	})
	writeAllocator(&w, quota.AllocatorStats{InGrace: true, Unreclaimed: 51, HighestLevel: 0.5, Granted: 52, Returned: 53.5})
	writeItems(&w, store.Stats{
		Partitions: 41, Heads: 42,
		Lagging: 46, LongestLag: 47 * time.Second, Failing: 56, Unopened: 57,
		Disk:   chain.DiskStatus{Failures: 58},
		Routes: map[string]store.RouteStats{"push": {Waiting: 43, Late: 44, Running: 45}},
		Held:   map[string]map[string]uint64{"push": {"no_route": 54, "refused": 55}},
	})
	golden.Text(t, "metrics.txt", w.String())
}

// TestErrorKindsAreUnchanged checks the names of the error kinds, which are label values of metrics, and their responses.
func TestErrorKindsAreUnchanged(t *testing.T) {
	var lines bytes.Buffer
	for _, kind := range fault.Kinds() {
		answer := fault.ResponseFor(kind)
		if err := printJSON(&lines, map[string]any{
			"kind": kind.String(), "status": answer.Status, "notExecuted": answer.NotExecuted,
		}); err != nil {
			t.Fatal(err)
		}
	}
	golden.Text(t, "error-kinds.json", lines.String())
}
