package view

import (
	"reflect"
	"testing"
)

func TestCodec(t *testing.T) {
	v := testView()
	v.Chain = 7
	promise := Promise{
		Epoch: 5, Number: ProposalNumber{1, 2}, Sender: testMember(4), Votes: true, Granted: true, Promised: ProposalNumber{3, 4},
		Accepted: &Proposal{Number: ProposalNumber{5, 6}, View: v}, Complete: true, Leaving: true,
	}
	roundTrip(t, v, Encode, Decode)
	v.Voters = []Member{testMember(1), testMember(9)}
	roundTrip(t, v, Encode, Decode)
	roundTrip(t, testMember(3), EncodeMember, DecodeMember)
	roundTrip(t, Prepare{Epoch: 5, Number: ProposalNumber{1, 2}}, EncodePrepare, DecodePrepare)
	roundTrip(t, promise, EncodePromise, DecodePromise)
	roundTrip(t, Accept{Epoch: 5, Number: ProposalNumber{1, 2}, View: v}, EncodeAccept, DecodeAccept)
	roundTrip(t, Accepted{Epoch: 5, Number: ProposalNumber{1, 2}, Granted: true, Promised: ProposalNumber{3, 4}}, EncodeAccepted, DecodeAccepted)
}

func roundTrip[T any](t *testing.T, value T, encode func(T) ([]byte, error), decode func([]byte) (T, error)) {
	t.Helper()
	data, err := encode(value)
	if err != nil {
		t.Fatal(err)
	}
	got, err := decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if !reflect.DeepEqual(got, value) {
		t.Fatalf("got %+v, want %+v", got, value)
	}
}
