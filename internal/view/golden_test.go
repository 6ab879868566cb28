package view

import (
	"math/rand/v2"
	"net/netip"
	"testing"

	"nickelline/internal/golden"
	"nickelline/internal/segment"
	"nickelline/internal/simnet"
)

// The golden messages give every field a distinct value, so that two fields that change places are detected.
var (
	goldenMember = Member{
		Replica: 0x1112131415161718,
		Name:    "control-1",
		Zone:    "zone-a",
		Address: netip.MustParseAddrPort("10.1.2.3:7660"),
		Joined:  21,
	}
	goldenVoter = Member{
		Replica: 0x2122232425262728,
		Name:    "control-2",
		Zone:    "zone-b",
		Address: netip.MustParseAddrPort("10.4.5.6:7661"),
		Joined:  22,
	}
	goldenView = View{
		Chain:   31,
		Epoch:   32,
		Members: []Member{goldenMember},
		Voters:  []Member{goldenMember, goldenVoter},
	}
	goldenProposal = ProposalNumber{Round: 41, Replica: 0x4142434445464748}
	goldenPromised = ProposalNumber{Round: 51, Replica: 0x5152535455565758}
	goldenAccepted = Proposal{
		Number: ProposalNumber{Round: 61, Replica: 0x6162636465666768},
		View:   goldenView,
	}
	goldenSeeds = []netip.AddrPort{
		netip.MustParseAddrPort("10.7.8.9:7662"),
		netip.MustParseAddrPort("10.10.11.12:7663"),
	}
)

func TestGoldenView(t *testing.T) {
	golden.RoundTrip(t, "view.hex", goldenView, Encode, Decode)
}

func TestGoldenViewWithoutVoters(t *testing.T) {
	value := goldenView.Clone()
	value.Voters = nil
	golden.RoundTrip(t, "view_without_voters.hex", value, Encode, Decode)
}

func TestGoldenMember(t *testing.T) {
	golden.RoundTrip(t, "member.hex", goldenMember, EncodeMember, DecodeMember)
}

func TestGoldenPrepare(t *testing.T) {
	value := Prepare{Epoch: 71, Number: goldenProposal}
	golden.RoundTrip(t, "prepare.hex", value, EncodePrepare, DecodePrepare)
}

func TestGoldenPromise(t *testing.T) {
	// Each flag is set in one message only, so that two flags that change places are detected.
	for _, c := range []struct {
		name  string
		value Promise
	}{
		{"promise_granted", Promise{Granted: true, Accepted: &goldenAccepted}},
		{"promise_votes", Promise{Votes: true}},
		{"promise_complete", Promise{Complete: true}},
		{"promise_leaving", Promise{Leaving: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			c.value.Epoch = 72
			c.value.Number = goldenProposal
			c.value.Promised = goldenPromised
			c.value.Sender = goldenMember
			golden.RoundTrip(t, c.name+".hex", c.value, EncodePromise, DecodePromise)
		})
	}
}

func TestGoldenAccept(t *testing.T) {
	value := Accept{Epoch: 73, Number: goldenProposal, View: goldenView}
	golden.RoundTrip(t, "accept.hex", value, EncodeAccept, DecodeAccept)
}

func TestGoldenAccepted(t *testing.T) {
	value := Accepted{Epoch: 74, Number: goldenProposal, Granted: true, Promised: goldenPromised}
	golden.RoundTrip(t, "accepted.hex", value, EncodeAccepted, DecodeAccepted)
}

// goldenAcceptorRecord holds the contents of the acceptor's file.
type goldenAcceptorRecord struct {
	State AcceptorState
	Seeds []netip.AddrPort
}

func TestGoldenAcceptorState(t *testing.T) {
	encode := func(r goldenAcceptorRecord) ([]byte, error) { return EncodeAcceptorState(r.State, r.Seeds) }
	decode := func(data []byte) (goldenAcceptorRecord, error) {
		state, seeds, err := DecodeAcceptorState(data)
		return goldenAcceptorRecord{State: state, Seeds: seeds}, err
	}
	value := goldenAcceptorRecord{
		State: AcceptorState{Epoch: 75, Promised: goldenPromised, Accepted: &goldenAccepted},
		Seeds: goldenSeeds,
	}
	golden.RoundTrip(t, "acceptor_state.hex", value, encode, decode)
}

// LoadIdentity finds the identity file by its name and decodes the bytes of the golden file.
func TestGoldenIdentity(t *testing.T) {
	disk := simnet.NewDisk(rand.New(rand.NewPCG(1, 1)))
	fileSystem := disk.Mount()
	const replica = ReplicaID(0x8182838485868788)
	content := []byte{0x88, 0x87, 0x86, 0x85, 0x84, 0x83, 0x82, 0x81}
	committed := golden.Bytes(t, "identity.hex", content)
	if err := fileSystem.MakeDirectory("/data"); err != nil {
		t.Fatal(err)
	}
	if err := segment.SaveRecord(fileSystem, "/data/replica", committed); err != nil {
		t.Fatal(err)
	}
	got, created, err := LoadIdentity(fileSystem, "/data")
	if err != nil || created || got != replica {
		t.Errorf("got %x, created %v, %v; want %x", got, created, err, replica)
	}
}
