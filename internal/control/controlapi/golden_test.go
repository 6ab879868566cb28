package controlapi

import (
	"bytes"
	"encoding/json"
	"reflect"
	"testing"

	"nickelline/internal/golden"
)

// goldenStatus sets every field to a value of its own.
var goldenStatus = Status{
	Node: "control-1",
	Configuration: ConfigurationState{
		Version:  11,
		Routes:   12,
		Services: 13,
		Tenants:  14,
	},
	Chain: ChainState{
		Epoch:           21,
		Head:            true,
		Replicas:        []string{"control-1", "control-2"},
		Voters:          []string{"control-1", "control-2", "control-3"},
		ToleratedLosses: 22,
		Committed:       23,
		Appended:        24,
	},
	Placement: PlacementState{
		Version: 31,
		Partitions: []PartitionState{
			{Partition: 32, Epoch: 33, Stores: []string{"store-1"}, Learners: []string{"store-2"}},
			{Partition: 34, Epoch: 35, Stores: []string{"store-2"}},
		},
	},
	Retirements: []RetirementState{
		{Node: "store-3", State: RetirementInProgress},
		{Node: "store-4", State: RetirementCompleted},
	},
	Members: []MemberState{
		{Node: "control-1", Role: "control", Zone: "zone-a", Address: "10.0.0.1:7660", State: "alive"},
		{Node: "store-3", Role: "store", Zone: "zone-b", Address: "10.0.0.2:7660", State: "suspect", Leaving: true},
	},
	FailingDisks: []DiskState{{Node: "store-5", FailingSeconds: 41.5, Failures: 42, Error: "sync segment: input/output error"}},
}

func TestGoldenBodies(t *testing.T) {
	for _, c := range []struct {
		name string
		body any
	}{
		{"status.json", &goldenStatus},
		{"taken.json", &ConfigurationAccepted{Version: 41}},
		{"retire_order.json", &RetireRequest{DurationS: 1.5}},
		{"retirement.json", &Retirement{State: RetirementInProgress}},
		{"failure.json", &ErrorBody{Error: "reason"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			encoded, err := json.Marshal(c.body)
			if err != nil {
				t.Fatal(err)
			}
			golden.Text(t, c.name, string(encoded)+"\n")
			decoded := reflect.New(reflect.TypeOf(c.body).Elem()).Interface()
			decoder := json.NewDecoder(bytes.NewReader(golden.Read(t, c.name)))
			decoder.DisallowUnknownFields()
			if err := decoder.Decode(decoded); err != nil {
				t.Fatalf("decode: %v", err)
			}
			if !reflect.DeepEqual(decoded, c.body) {
				t.Errorf("decoded %+v, want %+v", decoded, c.body)
			}
		})
	}
}

func TestGoldenPaths(t *testing.T) {
	for _, c := range []struct{ got, want string }{
		{ConfigurationPath, "/-/configuration"},
		{RetirePath, "/-/retire/"},
		{StatusPath, "/-/status"},
		{MatchHeader, "If-Match"},
	} {
		if c.got != c.want {
			t.Errorf("got %q, want %q", c.got, c.want)
		}
	}
}
