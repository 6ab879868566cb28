package simnet

import (
	"net/netip"
	"testing"
	"time"
)

var (
	first  = netip.MustParseAddrPort("10.0.0.1:1")
	second = netip.MustParseAddrPort("10.0.0.2:1")
)

func testNetwork() *Network {
	n := New(1, Conditions{MinimumDelay: time.Millisecond, MaximumDelay: 5 * time.Millisecond})
	n.Start(first)
	n.Start(second)
	return n
}

func run(n *Network) {
	for n.Step() {
	}
}

func TestMessagesOfALinkArriveInOrder(t *testing.T) {
	n := testNetwork()
	var got []int
	for i := range 100 {
		n.Send(first, second, func() { got = append(got, i) })
	}
	run(n)
	if len(got) != 100 {
		t.Fatalf("messages: got %d, want 100", len(got))
	}
	for i, v := range got {
		if i != v {
			t.Fatalf("got message %d at position %d, want them in order", v, i)
		}
	}
}

func TestPartitionIsUnidirectional(t *testing.T) {
	n := testNetwork()
	n.Partition(first, second, true)
	var forward, backward bool
	n.Send(first, second, func() { forward = true })
	n.Send(second, first, func() { backward = true })
	run(n)
	if forward || !backward {
		t.Fatalf("delivered forward, backward: got %v, %v; want false, true", forward, backward)
	}
}

func TestStopDropsMessagesInTransit(t *testing.T) {
	n := testNetwork()
	var got bool
	n.Send(first, second, func() { got = true })
	n.After(second, time.Second, func() { got = true })
	n.Stop(second)
	n.Start(second)
	run(n)
	if got {
		t.Fatal("message or timer of a stopped process: got it in the next process, want it dropped")
	}
}

func TestFrozenProcessHandlesMessagesAfterThaw(t *testing.T) {
	n := testNetwork()
	var at time.Duration
	n.Freeze(second)
	n.Send(first, second, func() { at = n.Now() })
	n.At(n.Now()+time.Second, func() { n.Thaw(second) })
	thaw := n.Now() + time.Second
	run(n)
	if at != thaw {
		t.Fatalf("message handled at %v, want %v", at, thaw)
	}
}
