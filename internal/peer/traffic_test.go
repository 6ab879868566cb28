package peer

import (
	"net/netip"
	"testing"
)

// What is sent counts for the package of its kind, by whether the peer is in the own zone; what is not sent does not.
func TestTrafficIsCounted(t *testing.T) {
	a, b := listen(t), listen(t)
	b.Handle(GossipKinds, echo)
	received := make(chan Message, 1)
	b.HandleDatagram(MemberKinds+1, func(_ netip.AddrPort, m Message) { received <- m })
	a.SetSameZone(func(to netip.AddrPort) bool { return to != b.Address() })
	a.Start()
	b.Start()
	const size = 1000
	body := make([]byte, size)
	if _, err := a.Call(testContext(t), b.Address(), Message{Kind: GossipKinds, Body: body}); err != nil {
		t.Fatal(err)
	}
	a.Datagram(b.Address(), Message{Kind: MemberKinds + 1, Body: body})
	a.Datagram(b.Address(), Message{Kind: MemberKinds + 1, Body: make([]byte, MaxDatagram)})
	select {
	case <-received:
	case <-testContext(t).Done():
		t.Fatal("no datagram arrived in time")
	}
	within := func(sent uint64) bool { return sent >= size && sent < size+2*frameFields }
	if sent := a.Sent(GossipKinds); sent.SameZone != 0 || !within(sent.OtherZones) {
		t.Errorf("sent by the caller: got %+v", sent)
	}
	if sent := b.Sent(GossipKinds); sent.OtherZones != 0 || !within(sent.SameZone) {
		t.Errorf("sent by the responder: got %+v", sent)
	}
	if sent := a.Sent(MemberKinds); sent.SameZone != 0 || !within(sent.OtherZones) {
		t.Errorf("datagrams sent: got %+v", sent)
	}
	if sent := a.Sent(ChainKinds); sent != (Traffic{}) {
		t.Errorf("sent by a package without messages: got %+v, want nothing", sent)
	}
	byPackage := a.SentByPackage()
	if len(byPackage) != 2 || byPackage[0].Package != "member" || byPackage[1].Package != "gossip" || byPackage[1].Traffic != a.Sent(GossipKinds) {
		t.Errorf("SentByPackage: got %+v", byPackage)
	}
}
