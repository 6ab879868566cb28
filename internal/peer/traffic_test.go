package peer

import (
	"net/netip"
	"testing"
)

// Sent bytes are counted for the package that owns the kind, separately for peers in the same zone and in other zones.
// A datagram that is too large to be sent is not counted.
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
	a.SendDatagram(b.Address(), Message{Kind: MemberKinds + 1, Body: body})
	a.SendDatagram(b.Address(), Message{Kind: MemberKinds + 1, Body: make([]byte, MaxDatagramBytes)})
	select {
	case <-received:
	case <-testContext(t).Done():
		t.Fatal("no datagram arrived in time")
	}
	within := func(sent uint64) bool { return sent >= size && sent < size+2*frameOverheadBytes }
	if sent := a.Sent(GossipKinds); sent.SameZone != 0 || !within(sent.OtherZones) {
		t.Errorf("sent by the caller: got %+v, want the request in OtherZones only", sent)
	}
	if sent := b.Sent(GossipKinds); sent.OtherZones != 0 || !within(sent.SameZone) {
		t.Errorf("sent by the responder: got %+v, want the response in SameZone only", sent)
	}
	if sent := a.Sent(MemberKinds); sent.SameZone != 0 || !within(sent.OtherZones) {
		t.Errorf("datagrams sent: got %+v, want one datagram in OtherZones only", sent)
	}
	if sent := a.Sent(ChainKinds); sent != (Traffic{}) {
		t.Errorf("sent by a package without messages: got %+v, want nothing", sent)
	}
	byPackage := a.SentByPackage()
	if len(byPackage) != 2 || byPackage[0].Package != "member" || byPackage[1].Package != "gossip" || byPackage[1].Traffic != a.Sent(GossipKinds) {
		t.Errorf("SentByPackage: got %+v, want member and gossip only", byPackage)
	}
}
