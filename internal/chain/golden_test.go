package chain

import (
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"testing"

	"nickelline/internal/golden"
	"nickelline/internal/peer"
	"nickelline/internal/segment"
	"nickelline/internal/view"
)

// The values in these tests differ from each other and from zero, so that the tests notice a field that moved.

func goldenMember(number byte) view.Member {
	return view.Member{
		Replica: view.ReplicaID(0x1000 + uint64(number)),
		Name:    "member-" + string('a'+rune(number)),
		Zone:    "zone-" + string('p'+rune(number)),
		Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 20, 30, number}), 7600+uint16(number)),
		Joined:  0x2000 + uint64(number),
	}
}

func goldenView() view.View {
	return view.View{
		Chain:   0x31,
		Epoch:   0x32,
		Members: []view.Member{goldenMember(1), goldenMember(2)},
		Voters:  []view.Member{goldenMember(1), goldenMember(2), goldenMember(3)},
	}
}

func TestGoldenEnvelopes(t *testing.T) {
	session := Session{Generation: 0x41, Number: 0x42}
	position := Position{Epoch: 0x51, Sequence: 0x52}
	tests := []struct {
		name string
		body Body
	}{
		{"attach", Attach{Session: session}},
		{"attach-broken", Attach{Session: session, Broken: true}},
		{"connect", Connect{Session: session}},
		{"history", History{
			Session:    session,
			Generation: 0x61,
			Committed:  0x62,
			Runs:       []Run{{Epoch: 0x63, First: 0x64, Last: 0x65}, {Epoch: 0x66, First: 0x67, Last: 0x68}},
		}},
		{"start", Start{Session: session, Generation: 0x71, Match: position, Target: 0x72}},
		{"snapshot", SnapshotChunk{
			Session:    session,
			Generation: 0x81,
			Position:   position,
			Total:      0x82,
			Offset:     0x83,
			Data:       []byte("snapshot data"),
		}},
		{"append", Append{
			Session:  session,
			Previous: position,
			Entries: []segment.Entry{
				{Epoch: 0x91, Sequence: position.Sequence + 1, Data: []byte("first entry")},
				{Epoch: 0x92, Sequence: position.Sequence + 2, Data: []byte("second entry, longer")},
			},
			Committed: 0x93,
			Barrier:   0x94,
		}},
		{"append-empty", Append{Session: session, Previous: position, Committed: 0x95, Barrier: 0x96}},
		{"acknowledge", Acknowledge{Session: session, Synced: 0xa1, Stored: 0xa2, Barrier: 0xa3, SnapshotBytes: 0xa4}},
		{"acknowledge-ready", Acknowledge{Session: session, Synced: 0xa5, Stored: 0xa6, Barrier: 0xa7, SnapshotBytes: 0xa8, Ready: true}},
		{"view-request", ViewRequest{}},
		{"view-notice", ViewNotice{View: goldenView()}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			want := Envelope{Chain: 0x11, Epoch: 0x12, Sender: 0x13, Receiver: 0x14, Body: test.body}
			encoded, err := encodeEnvelope(want)
			if err != nil {
				t.Fatalf("encode: %v", err)
			}
			stored := golden.Bytes(t, "envelope-"+test.name+".hex", encoded)
			got, err := decodeEnvelope(stored)
			if err != nil {
				t.Fatalf("decode: %v", err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("decoded: got %+v, want %+v", got, want)
			}
		})
	}
}

func TestGoldenAgreementRequests(t *testing.T) {
	number := view.ProposalNumber{Round: 0xb1, Replica: 0xb2}
	tests := []struct {
		name    string
		request agreementRequest
	}{
		{"prepare", agreementRequest{prepare: &view.Prepare{Epoch: 0xb3, Number: number}}},
		{"accept", agreementRequest{accept: &view.Accept{Epoch: 0xb4, Number: number, View: goldenView()}}},
		{"join", agreementRequest{join: true}},
		{"confirm", agreementRequest{confirm: 0xb5}},
		{"view", agreementRequest{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			want := test.request
			want.chain = 0xb6
			want.sender = goldenMember(4)
			encoded, err := want.encode()
			if err != nil {
				t.Fatalf("encode: %v", err)
			}
			stored := golden.Bytes(t, "agreement-request-"+test.name+".hex", encoded)
			got, err := decodeAgreementRequest(stored)
			if err != nil {
				t.Fatalf("decode: %v", err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("decoded: got %+v, want %+v", got, want)
			}
		})
	}
}

func TestGoldenAgreementResponses(t *testing.T) {
	number := view.ProposalNumber{Round: 0xc1, Replica: 0xc2}
	promised := view.ProposalNumber{Round: 0xc3, Replica: 0xc4}
	tests := []struct {
		name     string
		response agreementResponse
	}{
		{"promise", agreementResponse{promise: &view.Promise{
			Epoch:    0xc5,
			Number:   number,
			Sender:   goldenMember(5),
			Votes:    true,
			Granted:  true,
			Promised: promised,
			Accepted: &view.Proposal{Number: view.ProposalNumber{Round: 0xc6, Replica: 0xc7}, View: goldenView()},
			Complete: true,
			Leaving:  true,
		}}},
		{"accepted", agreementResponse{accepted: &view.Accepted{Epoch: 0xc8, Number: number, Granted: true, Promised: promised}}},
		{"confirmed", agreementResponse{confirmed: true}},
		{"nothing", agreementResponse{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			want := test.response
			want.view = goldenView()
			encoded, err := want.encode()
			if err != nil {
				t.Fatalf("encode: %v", err)
			}
			stored := golden.Bytes(t, "agreement-response-"+test.name+".hex", encoded)
			got, err := decodeAgreementResponse(stored)
			if err != nil {
				t.Fatalf("decode: %v", err)
			}
			if !reflect.DeepEqual(got, want) {
				t.Errorf("decoded: got %+v, want %+v", got, want)
			}
		})
	}
}

func TestGoldenProposeRequest(t *testing.T) {
	want := proposeRequest{chain: 0xd1, command: []byte("a command")}
	encoded, err := want.encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	got, err := decodeProposeRequest(golden.Bytes(t, "propose-request.hex", encoded))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded: got %+v, %v; want %+v", got, err, want)
	}
}

func TestGoldenProposeResponse(t *testing.T) {
	want := proposeResponse{result: []byte("the result of a command")}
	encoded, err := want.encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	got, err := decodeProposeResponse(golden.Bytes(t, "propose-response.hex", encoded))
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("decoded: got %+v, %v; want %+v", got, err, want)
	}
}

func TestGoldenBarrierRequest(t *testing.T) {
	want := barrierRequest{chain: 0xd1}
	encoded, err := want.encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	got, err := decodeBarrierRequest(golden.Bytes(t, "barrier-request.hex", encoded))
	if err != nil || got != want {
		t.Errorf("decoded: got %+v, %v; want %+v", got, err, want)
	}
}

func TestGoldenBarrierResponse(t *testing.T) {
	want := barrierResponse{sequence: 0xd2, epoch: 0xd3}
	encoded, err := want.encode()
	if err != nil {
		t.Fatalf("encode: %v", err)
	}
	got, err := decodeBarrierResponse(golden.Bytes(t, "barrier-response.hex", encoded))
	if err != nil || got != want {
		t.Errorf("decoded: got %+v, %v; want %+v", got, err, want)
	}
}

func TestGoldenMessageKinds(t *testing.T) {
	tests := []struct {
		name string
		got  peer.Kind
		want peer.Kind
	}{
		{"envelope", kindEnvelope, 0x300},
		{"propose", kindPropose, 0x301},
		{"barrier", kindBarrier, 0x302},
		{"agreement", kindAgreement, 0x303},
	}
	for _, test := range tests {
		if test.got != test.want {
			t.Errorf("kind of %s: got %#x, want %#x", test.name, test.got, test.want)
		}
	}
}

// goldenNode returns a node that can only write the record and acceptor files.
func goldenNode(t *testing.T) *Node {
	t.Helper()
	return &Node{options: Options{FileSystem: segment.OSFileSystem{}, Directory: t.TempDir()}}
}

// checkGoldenFile compares a file that a node has written with the golden file, and replaces it with the golden file.
func checkGoldenFile(t *testing.T, n *Node, name string) {
	t.Helper()
	path := filepath.Join(n.options.Directory, name)
	written, err := os.ReadFile(path)
	if err != nil {
		t.Fatalf("read: %v", err)
	}
	stored := golden.Bytes(t, "file-"+name+".hex", written)
	if err := os.WriteFile(path, stored, 0o644); err != nil {
		t.Fatalf("write: %v", err)
	}
}

func TestGoldenRecordFile(t *testing.T) {
	n := goldenNode(t)
	want := Record{View: goldenView(), CompleteEpoch: 0xe1, Generation: 0xe2, LostEpoch: 0xe3}
	if err := (&diskWriter{node: n}).saveRecord(want); err != nil {
		t.Fatalf("save: %v", err)
	}
	checkGoldenFile(t, n, "record")
	got, err := loadRecord(n.options)
	if err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("loaded: got %+v, %v; want %+v", got, err, want)
	}
}

func TestGoldenAcceptorFile(t *testing.T) {
	n := goldenNode(t)
	want := view.AcceptorState{
		Epoch:    0xf1,
		Promised: view.ProposalNumber{Round: 0xf2, Replica: 0xf3},
		Accepted: &view.Proposal{Number: view.ProposalNumber{Round: 0xf4, Replica: 0xf5}, View: goldenView()},
	}
	seeds := []netip.AddrPort{goldenMember(6).Address, goldenMember(7).Address}
	written := &voter{node: n, seeds: seeds, acceptor: view.NewAcceptor(want)}
	if err := written.save(); err != nil {
		t.Fatalf("save: %v", err)
	}
	checkGoldenFile(t, n, "acceptor")
	opened, err := openVoter(n, nil)
	if err != nil {
		t.Fatalf("open: %v", err)
	}
	if got := opened.acceptor.State(); !reflect.DeepEqual(got, want) {
		t.Errorf("state: got %+v, want %+v", got, want)
	}
	if !reflect.DeepEqual(opened.seeds, seeds) {
		t.Errorf("seeds: got %v, want %v", opened.seeds, seeds)
	}
}

func TestGoldenDirectoryNames(t *testing.T) {
	if LogDirectory != "log" {
		t.Errorf("directory of the log: got %q, want %q", LogDirectory, "log")
	}
}
