package chain

import (
	"bytes"
	"reflect"
	"testing"

	"nickelline/internal/segment"
	"nickelline/internal/view"
)

func testView() view.View {
	return view.View{Chain: 4, Epoch: 3, Members: []view.Member{
		{Replica: 1, Name: "one", Zone: "a", Address: addressOf(0), Joined: 1},
		{Replica: 2, Name: "two", Zone: "b", Address: addressOf(1), Joined: 3},
	}}
}

func TestEnvelopeCodec(t *testing.T) {
	session := Session{Generation: 3, Number: 9}
	bodies := []Body{
		Attach{Session: session, Broken: true},
		Connect{Session: session},
		History{Session: session, Generation: 2, Committed: 5, Runs: []Run{{1, 0, 4}, {3, 5, 9}}},
		Start{Session: session, Generation: 2, Match: Position{1, 4}, Target: 9},
		SnapshotChunk{Session: session, Generation: 2, Position: Position{1, 4}, Total: 9, Offset: 3, Data: bytes.Repeat([]byte{7}, 300_000)},
		Append{Session: session, Previous: Position{1, 4}, Committed: 3, Barrier: 8},
		Append{Session: session, Previous: Position{1, 4}, Entries: []segment.Entry{
			{Epoch: 1, Sequence: 5, Data: bytes.Repeat([]byte{1}, 4<<20)},
			{Epoch: 2, Sequence: 6, Data: []byte{2}},
		}},
		Acknowledge{Session: session, Synced: 1, Stored: 2, Barrier: 3, SnapshotBytes: 4, Ready: true},
		ViewRequest{},
		ViewNotice{View: testView()},
	}
	for _, body := range bodies {
		e := Envelope{Chain: 4, Epoch: 3, Sender: 77, Receiver: 78, Body: body}
		data, err := encodeEnvelope(e)
		if err != nil {
			t.Fatalf("%T: %v", body, err)
		}
		got, err := decodeEnvelope(data)
		if err != nil {
			t.Fatalf("%T: %v", body, err)
		}
		if !reflect.DeepEqual(got, e) {
			t.Errorf("%T: got %+v, want %+v", body, got, e)
		}
	}
}

func TestManySmallEntriesFitIntoAMessage(t *testing.T) {
	m := Append{Previous: Position{1, 0}}
	for i := range 20_000 {
		m.Entries = append(m.Entries, segment.Entry{Epoch: 1, Sequence: uint64(i + 1), Data: []byte{byte(i)}})
	}
	data, err := encodeEnvelope(Envelope{Body: m})
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeEnvelope(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got.Body, Body(m)) {
		t.Fatalf("decoded entries differ: got %d, want %d", len(got.Body.(Append).Entries), len(m.Entries))
	}
}

func TestRecordCodec(t *testing.T) {
	want := Record{View: testView(), CompleteEpoch: 2, Generation: 6}
	data, err := encodeRecord(want)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decodeRecord(data)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, %v; want %+v", got, err, want)
	}
}

func TestAgreementCodec(t *testing.T) {
	sender := testView().Members[0]
	prepare := view.Prepare{Epoch: 4, Number: view.ProposalNumber{Round: 1, Replica: 2}}
	accept := view.Accept{Epoch: 4, Number: view.ProposalNumber{Round: 1, Replica: 2}, View: testView()}
	for _, want := range []agreementRequest{
		{chain: 4, sender: sender, prepare: &prepare},
		{chain: 4, sender: sender, accept: &accept},
		{chain: 4, sender: sender, join: true},
		{chain: 4, sender: sender},
	} {
		data, err := want.encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeAgreementRequest(data)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v; want %+v", got, err, want)
		}
	}
	promise := view.Promise{Epoch: 4, Sender: sender, Votes: true}
	accepted := view.Accepted{Epoch: 4, Granted: true}
	for _, want := range []agreementResponse{{view: testView()}, {view: testView(), promise: &promise}, {accepted: &accepted}} {
		data, err := want.encode()
		if err != nil {
			t.Fatal(err)
		}
		got, err := decodeAgreementResponse(data)
		if err != nil || !reflect.DeepEqual(got, want) {
			t.Errorf("got %+v, %v; want %+v", got, err, want)
		}
	}
}
