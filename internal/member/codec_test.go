package member

import (
	"net/netip"
	"reflect"
	"testing"
)

func sampleMember() Member {
	return Member{
		Name:         "frontend-1",
		Role:         "control",
		Zone:         "zone",
		Region:       "region",
		Address:      netip.MustParseAddrPort("10.1.2.3:7660"),
		ControlPlane: netip.MustParseAddrPort("10.1.2.3:8407"),
		Replica:      1 << 63,
		Generation:   2,
		Incarnation:  3,
		State:        Suspect,
		Leaving:      true,
	}
}

func TestMessageRoundTrip(t *testing.T) {
	sample := sampleMember()
	other := Member{Address: netip.MustParseAddrPort("255.255.255.255:65535")}
	for _, want := range []message{
		{messageType: pingMessage, sequence: 7, running: 5, digest: 1 << 60},
		{messageType: ackMessage, sequence: 7, generation: 9, records: []Member{sample, other}},
		{messageType: indirectPingMessage, sequence: 7, target: sample.Address, assertions: []assertion{sample.assertion(), other.assertion()}},
		{messageType: rumorMessage, records: []Member{other}, assertions: []assertion{sample.assertion()}},
	} {
		data, err := want.encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeMessage(data)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, want %+v", got, want)
		}
	}
}

func TestExchangeRoundTrip(t *testing.T) {
	request := exchangeRequest{digest: 5, self: sampleMember()}
	data, err := request.encode()
	if err != nil {
		t.Fatal(err)
	}
	gotRequest, err := decodeExchangeRequest(data)
	if err != nil || gotRequest != request {
		t.Errorf("got %+v (%v), want %+v", gotRequest, err, request)
	}
	response := exchangeResponse{records: []Member{sampleMember(), sampleMember()}}
	if data, err = response.encode(); err != nil {
		t.Fatal(err)
	}
	gotResponse, err := decodeExchangeResponse(data)
	if err != nil || !reflect.DeepEqual(gotResponse, response) {
		t.Errorf("got %+v (%v), want %+v", gotResponse, err, response)
	}
}

func TestInvalidMessagesAreRejected(t *testing.T) {
	withoutAddress := message{messageType: rumorMessage, assertions: []assertion{{state: Dead}}}
	unknownState := message{messageType: rumorMessage, records: []Member{{Address: sampleMember().Address, State: Left + 1}}}
	for _, m := range []message{withoutAddress, unknownState} {
		data, err := m.encode()
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decodeMessage(data); err == nil {
			t.Errorf("decode %+v: got no error, want one", m)
		}
	}
	for _, data := range [][]byte{nil, {1, 2, 3}, make([]byte, 8), make([]byte, 16)} {
		if m, err := decodeMessage(data); err == nil && len(m.records)+len(m.assertions) > 0 {
			t.Errorf("decode %v: got %+v, want an error or no updates", data, m)
		}
	}
}
