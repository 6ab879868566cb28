package batch

import (
	"reflect"
	"testing"
	"time"

	"nickelline/internal/golden"
)

// goldenItem returns an item whose fields differ from one another and from those of an item of another number.
func goldenItem(number int64) Item {
	digit := string(rune('0' + number))
	return Item{
		Identifier: "identifier " + digit,
		Path:       "/path/" + digit,
		Headers:    []Header{{Name: "Name-1-" + digit, Value: "value 1 " + digit}, {Name: "Name-2-" + digit, Value: "value 2 " + digit}},
		Body:       []byte("body " + digit),
		Tokens:     0x0102030405060700 + number,
	}
}

func goldenKey(number int) Key {
	digit := string(rune('0' + number))
	return Key{Tenant: "tenant " + digit, Identifier: "job " + digit}
}

var goldenTerms = Terms{Retention: 0x6162636465666768, MaxAttempts: 0x71727374}

func goldenRoute(number int) RouteRef {
	digit := string(rune('0' + number))
	return RouteRef{Name: "route " + digit, Host: "host-" + digit + ".example", Prefix: "/prefix/" + digit + "/"}
}

func TestCommandFormat(t *testing.T) {
	clock := ClockReading{Source: 0x1112131415161718, Elapsed: 0x2122232425262728}
	ended := goldenKey(7)
	tests := []struct {
		name string
		file string
		want Command
	}{
		{name: "tick", file: "command-tick.hex", want: Command{Clock: clock}},
		{name: "take", file: "command-take.hex", want: Command{Clock: clock, Submit: &Submit{
			Job:             Job{Key: goldenKey(1), Route: goldenRoute(1), Terms: goldenTerms, Items: []Item{goldenItem(1), goldenItem(2)}},
			MaxQueuedTokens: 0x3132333435363738,
		}}},
		{name: "append", file: "command-append.hex", want: Command{Clock: clock, Append: []Result{
			{
				Key: goldenKey(2), Index: 0x41424344, State: Waiting, Content: []byte("checkpoint"),
				From: 0x51525354, Events: 0x61626364, LastEvent: "last event",
			},
			{Key: goldenKey(3), Index: 0x71727374, State: Completed, Content: []byte("result"), From: 0x81828384},
			{Key: goldenKey(4), Index: 0x91929394, State: Abandoned},
		}}},
		{name: "end", file: "command-end.hex", want: Command{Clock: clock, End: &ended}},
		{name: "fail", file: "command-fail.hex", want: Command{Clock: clock, Fail: []Failure{
			{Key: goldenKey(8), Index: 0xa1a2a3a4, ServerErrors: 0xb1b2b3b4}, {Key: goldenKey(9), Index: 0xc1c2c3c4, ServerErrors: 0xd1d2d3d4},
		}}},
		{name: "drop", file: "command-drop.hex", want: Command{Clock: clock, Drop: []Key{goldenKey(5), goldenKey(6)}}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			encoded, err := EncodeCommand(&test.want)
			if err != nil {
				t.Fatalf("encode: %v", err)
			}
			got, err := DecodeCommand(golden.Bytes(t, test.file, encoded))
			if err != nil {
				t.Fatalf("decode: %v", err)
			}
			if !reflect.DeepEqual(*got, test.want) {
				t.Errorf("decoded command: got %+v, want %+v", *got, test.want)
			}
		})
	}
}

func TestOutcomeFormat(t *testing.T) {
	for want, encoded := range map[Outcome]byte{Done: 0, QuotaExceeded: 1, Malformed: 2} {
		if got := EncodeOutcome(want); len(got) != 1 || got[0] != encoded {
			t.Errorf("outcome %d: got %v, want %d", want, got, encoded)
		}
		if got := DecodeOutcome([]byte{encoded}); got != want {
			t.Errorf("outcome of %d: got %d, want %d", encoded, got, want)
		}
	}
}

// goldenMachine returns a state with a running job, an ended one, and one that was ended before it was submitted.
func goldenMachine() *Machine {
	m := New(nil)
	m.clock = clock{now: 0x1112131415161718, last: ClockReading{Source: 0x2122232425262728, Elapsed: 0x3132333435363738}}
	m.ordinal = 0x4142434445464748
	running := &job{
		key: goldenKey(1), route: goldenRoute(1), ordinal: 0x5152535455565758, submittedAt: 0x6162636465666768, submitted: true,
		items: []item{
			{Item: goldenItem(1), serverErrors: 0xe1e2e3e4, checkpoints: checkpoints{
				{events: 0x71727374, lastEvent: "event 1", content: []byte("checkpoint 1")},
				{events: 0x81828384, lastEvent: "event 2", content: []byte("checkpoint 2")},
			}},
			{Item: Item{Identifier: "completed", Tokens: 5}, state: Completed, content: []byte("result")},
			{Item: Item{Identifier: "abandoned", Tokens: 6}, state: Abandoned},
		},
		positions: []uint32{2, 1},
	}
	ended := &job{
		key: goldenKey(2), route: goldenRoute(2), ordinal: 0x5152535455565759, submittedAt: 3 * time.Second,
		submitted: true, ended: true, items: []item{{Item: Item{Identifier: "ended", Tokens: 7}}}, positions: []uint32{},
	}
	endedBefore := &job{
		key: goldenKey(3), ordinal: 0x515253545556575a, submittedAt: 4 * time.Second, ended: true, items: []item{}, positions: []uint32{},
	}
	for _, j := range []*job{running, ended, endedBefore} {
		m.jobs[j.key] = j
	}
	m.charge(running.account(), running.items[0].Tokens)
	return m
}

func TestSnapshotFormat(t *testing.T) {
	want := goldenMachine()
	stored := golden.Bytes(t, "snapshot.hex", want.Snapshot())
	got := New(nil)
	if err := got.Restore(stored); err != nil {
		t.Fatalf("restore: %v", err)
	}
	if !reflect.DeepEqual(got, want) {
		t.Errorf("restored state: got %+v, want %+v", got, want)
	}
	for key, wantJob := range want.jobs {
		if gotJob := got.jobs[key]; !reflect.DeepEqual(gotJob, wantJob) {
			t.Errorf("job %v: got %+v, want %+v", key, gotJob, wantJob)
		}
	}
}
